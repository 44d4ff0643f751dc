//! Clients, and the front that deals their requests out.

use super::*;
use hingestage_test_servers::client::{self, Ask};
use hingestage_test_servers::Reader;

impl World {
    /// Through how many gateways an account comes, and the first of them.
    fn set_of(&self, account: u64) -> (usize, usize) {
        let all = self.gateways.len();
        match self.script.site.spread {
            0 => (all, 0),
            n => (n.min(all), account as usize % all),
        }
    }

    /// The gateway that the front deals a request to: the one meant, else the next that is up.
    pub(super) fn front(&self, line: &AskLine) -> Option<usize> {
        let (n, first) = self.set_of(line.account);
        let now = self.executor.nanos();
        let up = |g: &usize| {
            let gateway = &self.gateways[*g];
            let stopping = gateway.stopping.get();
            gateway.alive.get()
                && now >= gateway.up_at.get()
                && (stopping == 0 || now < stopping + STILL_COME)
        };
        let all = self.gateways.len();
        (0..n).map(|i| (first + (line.gateway + i) % n) % all).find(up)
    }

    pub(super) fn next_ask(&self, line: &AskLine, gateway: usize) -> Ask {
        self.requests.set(self.requests.get() + 1);
        let (class, unsafe_) = (line.class.name(), line.class != Class::Pull);
        let (spread, first) = self.set_of(line.account);
        let number = self.requests.get();
        Ask {
            id: format!("{number:016x}"),
            class: class.into(),
            method: if unsafe_ { "POST" } else { "GET" },
            path: format!("/{class}/of/{}?work={}&true={}", line.account, line.work, line.units),
            tier: PLANS[line.plan].into(),
            account: line.account,
            units: line.units as f64,
            spread: (spread as u32, first as u32),
            patience: Duration::from_millis(line.patience),
            allowance: Duration::ZERO,
            body: format!("{number:x} of {gateway} ").into_bytes().repeat(line.body / 8 + 1),
            manner: match line.manner {
                Manner::Usual => client::Manner::Usual,
                Manner::Slowly(pieces) => {
                    let piece = (400 + line.body) / pieces.max(1) as usize + 1;
                    client::Manner::Slowly(piece, Duration::from_millis(1))
                }
                Manner::Leaves(after) => client::Manner::Leaves(Duration::from_micros(after)),
            },
        }
    }

    pub(super) fn ask(self: &Rc<Self>, line: &AskLine) {
        let Some(g) = self.front(line) else { return };
        let mut ask = self.next_ask(line, g);
        if line.class != Class::Pull {
            ask.body.truncate(line.body);
        } else {
            ask.body.clear();
        }
        let asked = Asked {
            gateway: g,
            life: self.gateways[g].life.get(),
            class: line.class,
            number: self.requests.get(),
            account: line.account,
            plan: line.plan,
            units: ask.units,
            line: format!("{} {}", ask.method, ask.path),
            body: ask.body.clone(),
        };
        self.checker.borrow_mut().ask(self.executor.nanos(), &ask.id, asked);
        let (pool, world) = (self.gateways[g].pool.borrow().clone(), self.clone());
        self.clients_out.set(self.clients_out.get() + 1);
        self.executor.spawn(CLIENTS + g as Host, async move {
            pool.ask(&ask).await;
            world.checker.borrow_mut().done(&ask.id);
            world.clients_out.set(world.clients_out.get() - 1);
        });
    }

    pub(super) fn rude(self: &Rc<Self>, g: usize, what: &'static str) {
        let line = AskLine::plain(g, 77, 0);
        let Some(g) = self.front(&line) else { return };
        let ask = self.next_ask(&line, g);
        let ask = Ask { body: Vec::new(), ..ask };
        let host = CLIENTS + g as Host;
        let platform = self.net.platform(host);
        let to = address(GATEWAY + g as Host, site::GATEWAY_PORT);
        let (observer, life, world) = (self.observer.clone(), self.gateways[g].life.get(), self.clone());
        let heard: Observer = Rc::new(move |seen: Seen| {
            // One that was killed owes nothing.
            if world.gateways[g].life.get() == life && world.gateways[g].alive.get() {
                observer(seen);
            }
        });
        self.executor.spawn(host, client::rude(platform, to, what, ask, heard));
    }

    /// A client sends the id of a request that is open at a gateway. The first must stay the only one.
    pub(super) fn same_id(self: &Rc<Self>, g: usize) {
        let Some(id) = self.checker.borrow().open_at(g) else { return };
        let gateway = &self.gateways[g];
        if !gateway.alive.get() {
            return;
        }
        let line = AskLine { class: Class::Push, ..AskLine::plain(g, 78, 0) };
        let ask = Ask { id: id.clone(), ..self.next_ask(&line, g) };
        let (world, host, life) = (self.clone(), CLIENTS + g as Host, gateway.life.get());
        let platform = self.net.platform(host);
        let to = address(GATEWAY + g as Host, site::GATEWAY_PORT);
        self.checker.borrow_mut().copies(&id);
        self.executor.spawn(host, async move {
            let Ok(Ok(stream)) = platform.timeout(PATIENCE, platform.connect(to)).await else { return };
            let mut reader = Reader::new(stream);
            if !reader.write(&ask.text()).await {
                return;
            }
            let heard = platform.timeout(PATIENCE, reader.message()).await;
            let gateway = &world.gateways[g];
            if gateway.life.get() != life || !gateway.alive.get() {
                return;
            }
            if heard.is_err() {
                let what = format!("id {id} sent again: neither an error nor a close");
                world.checker.borrow_mut().break_rule("bad-client", world.executor.nanos(), what);
            }
        });
    }
}

/// How long one that sends an id again waits for its answer.
const PATIENCE: Duration = Duration::from_secs(3);
