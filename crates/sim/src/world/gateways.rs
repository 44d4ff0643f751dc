//! The gateways of a world: their lives, stops and reloads.

use super::*;

impl World {
    pub(super) fn start_gateway(self: &Rc<Self>, g: usize) {
        let gateway = &self.gateways[g];
        let host = GATEWAY + g as Host;
        let life = self.checker.borrow_mut().gateway_starts(g);
        let agent = gateway.agents[gateway.side.get()].clone();
        self.resolved.borrow_mut().remove(&g);
        let listed = if self.follows_list() { agent.changes() } else { Vec::new() };
        for listed in listed {
            let (uid, state, boot_ms) = (listed.uid, listed.state, listed.boot_ms);
            (self.observer)(Seen::Told { gateway: g, uid, state, boot_ms });
        }
        let seed = self.script.seed.wrapping_add(g as u64 * 7_919 + u64::from(life));
        let config = match self.config(g, seed) {
            Ok(config) => config,
            Err(what) => return self.checker.borrow_mut().break_rule("crash", self.executor.nanos(), what),
        };
        let (stop, stopped) = oneshot::channel();
        let (reload, reloads) = mpsc::channel(1);
        (*gateway.stop.borrow_mut(), *gateway.reloads.borrow_mut()) = (Some(stop), Some(reload));
        gateway.life.set(life);
        gateway.alive.set(true);
        gateway.stopping.set(0);
        gateway.up_at.set(self.executor.nanos() + READY - S / 10);
        *gateway.pool.borrow_mut() = Pool::new(
            self.net.platform(CLIENTS + g as Host),
            address(host, site::GATEWAY_PORT),
            self.observer.clone(),
        );
        let served = (self.options.start)(self.net.platform(host), config, stopped, reloads);
        let world = self.clone();
        self.executor.spawn(host, async move {
            let ended = served.await;
            let then = world.executor.nanos();
            let again = world.clone();
            // The process ends outside of its own task.
            world.executor.at(then, move || again.gateway_ended(g, life, ended));
        });
        let world = self.clone();
        self.executor.at(self.executor.nanos() + READY - S / 20, move || {
            let rest = (world.executor.tasks_of(host), world.net.descriptors(host));
            if world.floor.get() == (0, 0) {
                world.floor.set(rest);
            }
        });
    }

    pub(super) fn config(&self, g: usize, seed: u64) -> Result<Config, String> {
        let gateway = &self.gateways[g];
        let side = gateway.side.get();
        let agent = address(AGENT + (g * 2 + side) as Host, site::DISCOVERY_PORT);
        let counter = address(COUNTER, site::COUNTER_PORT + self.counter_side.get());
        let listen = address(GATEWAY + g as Host, site::GATEWAY_PORT);
        let known = gateway.agents[side].list();
        let own = &self.script.site;
        let extras = site::Extras {
            connect_timeout: Duration::from_millis(own.connect_timeout),
            sockets: own.sockets.0,
            keyed: own.keyed.map(|(group, window)| (group, Duration::from_millis(window))),
        };
        let text = site::config(self.gateways.len(), g, listen, agent, counter, seed, known, &extras);
        let config = Config::parse(&text.to_string(), |_| None)?;
        Ok(Config { srv: self.srv_settings(), ..config })
    }

    pub(super) fn gateway_ended(self: &Rc<Self>, g: usize, life: u32, ended: Result<(), String>) {
        let gateway = &self.gateways[g];
        if gateway.life.get() != life || !gateway.alive.get() {
            return;
        }
        if gateway.stopping.get() == 0 || ended.is_err() {
            let what = format!("gateway {g} ended by itself: {ended:?}");
            return self.checker.borrow_mut().break_rule("crash", self.executor.nanos(), what);
        }
        gateway.alive.set(false);
        self.net.kill(GATEWAY + g as Host);
        let world = self.clone();
        self.executor.at(self.executor.nanos() + S / 5, move || world.start_gateway(g));
    }

    pub(super) fn kill_gateway(self: &Rc<Self>, g: usize, back: Nanos) {
        let gateway = &self.gateways[g];
        if !gateway.alive.replace(false) {
            return;
        }
        self.checker.borrow_mut().gateway_killed(g);
        self.net.kill(GATEWAY + g as Host);
        let world = self.clone();
        self.executor.at(self.executor.nanos() + back, move || world.start_gateway(g));
    }

    pub(super) fn stop_gateway(self: &Rc<Self>, g: usize) {
        let gateway = &self.gateways[g];
        if !gateway.alive.get() || gateway.stopping.get() > 0 {
            return;
        }
        gateway.stopping.set(self.executor.nanos());
        if let Some(stop) = gateway.stop.borrow_mut().take() {
            let _ = stop.send(());
        }
        let (world, life) = (self.clone(), gateway.life.get());
        self.executor.at(self.executor.nanos() + STOPS, move || {
            let gateway = &world.gateways[g];
            if gateway.alive.get() && gateway.life.get() == life {
                let what = format!("gateway {g} goes on long after it was told to stop");
                world.checker.borrow_mut().break_rule("lost", world.executor.nanos(), what);
            }
        });
    }

    /// Sends a gateway to its other agent and to the counter's other address, or gives it a bad file.
    pub(super) fn reload(self: &Rc<Self>, g: usize, good: bool) {
        let gateway = &self.gateways[g];
        if !gateway.alive.get() || self.executor.nanos() < gateway.up_at.get() {
            return;
        }
        let reload = if good {
            let old = gateway.side.get();
            gateway.side.set(1 - old);
            self.start_agent(g, 1 - old);
            let world = self.clone();
            self.executor.at(self.executor.nanos() + 1_500 * MS, move || world.stop_agent(g, old));
            self.counter_side.set(1 - self.counter_side.get());
            self.config(g, 1)
        } else {
            Err("configuration: field `seed`: missing".to_owned())
        };
        if let Some(reloads) = gateway.reloads.borrow().as_ref() {
            let _ = reloads.try_send(reload);
        }
    }
}

pub(super) fn gateway(net: &Net, g: usize, observer: &Observer) -> Gateway {
    let agent = |side: usize| Agent::new(net.platform(AGENT + (g * 2 + side) as Host), g, observer.clone());
    let to = address(GATEWAY + g as Host, site::GATEWAY_PORT);
    Gateway {
        up_at: Cell::new(0),
        stopping: Cell::new(0),
        alive: Cell::new(false),
        life: Cell::new(0),
        side: Cell::new(0),
        agents: [agent(0), agent(1)],
        agent_up: Default::default(),
        late: Cell::new(0),
        stop: RefCell::default(),
        reloads: RefCell::default(),
        pool: RefCell::new(Pool::new(net.platform(CLIENTS + g as Host), to, observer.clone())),
    }
}
