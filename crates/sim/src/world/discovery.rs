//! The agents of discovery, two for each gateway.

use super::*;

impl World {
    pub(super) fn start_agent(self: &Rc<Self>, g: usize, side: usize) {
        if self.gateways[g].agent_up[side].replace(true) {
            return;
        }
        let platform = self.net.platform(AGENT + (g * 2 + side) as Host);
        let agent = self.gateways[g].agents[side].clone();
        let at = address(AGENT + (g * 2 + side) as Host, site::DISCOVERY_PORT);
        self.executor.spawn(AGENT + (g * 2 + side) as Host, async move {
            if let Ok(listener) = platform.listen(at).await {
                agent.run(listener).await;
            }
        });
    }

    pub(super) fn stop_agent(&self, g: usize, side: usize) {
        let gateway = &self.gateways[g];
        if gateway.side.get() != side && gateway.agent_up[side].replace(false) {
            self.net.kill(AGENT + (g * 2 + side) as Host);
        }
    }

    /// Lets discovery know of a worker: each gateway's agent hears of it in its own time.
    pub(super) fn list(self: &Rc<Self>, listed: Listed) {
        self.record(&listed);
        for g in 0..self.gateways.len() {
            let (world, listed) = (self.clone(), listed.clone());
            // At the start all is known at once.
            let takes = match self.executor.nanos() < READY / 2 {
                true => 0,
                false if self.script.exact => self.gateways[g].late.get() + MS,
                false => self.gateways[g].late.get() + MS + self.executor.draw(200 * MS),
            };
            let job = move || world.gateways[g].agents.iter().for_each(|agent| agent.change(listed.clone()));
            match takes {
                0 => job(),
                takes => self.executor.at(self.executor.nanos() + takes, job),
            }
        }
    }

    pub(super) fn mend_discovery(&self, g: usize) {
        if let Some(gateway) = self.gateways.get(g) {
            gateway.late.set(0);
            gateway.agents.iter().for_each(|agent| agent.speak(true));
        }
    }
}
