//! The name server, where workers come from records.

use super::*;
use hingestage_operator::Srv;
use hingestage_srv::{SrvSettings, SECOND};
use hingestage_test_servers::dns::{Entry, Given, Mood, MOODS};
use std::net::IpAddr;
use std::rc::Weak;

const SERVICE: &str = "_registry._tcp.sala.example.org";
const PORT: u16 = 53;
/// An answer with less than this part of what a gateway was told is doubted by it: nothing is said of drains.
const SHRINK_TO: f64 = 0.5;

pub(super) fn server(net: &Net, script: &Script, world: Weak<World>) -> Rc<Dns<Sim>> {
    let given: Given = Rc::new(move |to, zone| {
        if let Some(world) = world.upgrade() {
            world.given(to, zone);
        }
    });
    let ttl = script.site.srv.map_or(0, |(_, ttl)| ttl);
    Dns::new(net.platform(DNS), SERVICE, ttl, given)
}

fn target(uid: &str) -> String {
    format!("{uid}.sala.example.org")
}

impl World {
    pub(super) fn start_dns(&self) {
        if self.script.site.srv.is_some() {
            let dns = self.dns.clone();
            self.executor.spawn(DNS, async move { drop(dns.run(address(DNS, PORT)).await) });
        }
    }

    /// Whether gateways follow the list.
    pub(super) fn follows_list(&self) -> bool {
        self.script.site.srv.is_none_or(|(beside, _)| beside)
    }

    /// What gateways are told of the name, all spans shortened as those of the site are.
    pub(super) fn srv_settings(&self) -> Option<Srv> {
        let (beside_list, _) = self.script.site.srv?;
        let settings = SrvSettings::new(SERVICE, vec![address(DNS, PORT)]).ok()?;
        let settings = SrvSettings {
            networks: vec!["127.0.0.0/8".parse().ok()?],
            lifetimes: (SECOND / 5, 60 * SECOND),
            timeout: SECOND / 4,
            retry: (SECOND / 5, SECOND),
            stale_for: 60 * SECOND,
            shrink_to: SHRINK_TO,
            shrink_for: SECOND,
            grace: 1_200_000,
            questions: 100.0,
            ..settings
        };
        Some(Srv { settings, use_discovery_list: beside_list, cold_at_start: true })
    }

    /// Lets the zone know of a worker: it has a record while it is up.
    pub(super) fn record(&self, listed: &Listed) {
        let name = target(&listed.uid);
        let at: Option<std::net::SocketAddr> = listed.endpoint.parse().ok();
        self.dns.change(|zone| {
            zone.retain(|entry| entry.target != name);
            if let (Some(at), "up") = (at, listed.state.as_str()) {
                let (port, at): (u16, Vec<IpAddr>) = (at.port(), vec![at.ip()]);
                zone.push(Entry { target: name, port, priority: 0, weight: 10, at });
            }
        });
    }

    pub(super) fn dns_turns(&self, way: &str, figure: u64) {
        match way {
            "late" => self.dns.set(Mood::Late(Duration::from_millis(figure))),
            "lost" => self.dns.set(Mood::Lost(figure)),
            "bare" => self.dns.send_along(false),
            _ => {
                let mood = MOODS.iter().find(|(word, _)| *word == way).map(|(_, mood)| *mood);
                self.dns.set(mood.unwrap_or_default());
            }
        }
    }

    pub(super) fn mend_dns(&self) {
        self.dns.set(Mood::Good);
        self.dns.send_along(true);
    }

    /// A gateway is given the whole zone as it is: what it lacks drains from now on, as far as that gateway knows.
    fn given(&self, to: std::net::SocketAddr, zone: &[Entry]) {
        let IpAddr::V4(ip) = to.ip() else { return };
        let host = u32::from(ip) & 0x00ff_ffff;
        let gateway = host.wrapping_sub(GATEWAY) as usize;
        if gateway >= self.gateways.len() {
            return;
        }
        let uid = |entry: &Entry| entry.target.split('.').next().unwrap_or_default().to_owned();
        let there: BTreeSet<String> = zone.iter().map(uid).collect();
        let before = self.resolved.borrow().get(&gateway).cloned().unwrap_or_default();
        let doubted = (there.len() as f64) < SHRINK_TO * before.len() as f64;
        let gone: Vec<String> =
            if doubted { Vec::new() } else { before.difference(&there).cloned().collect() };
        let now = if doubted { before.union(&there).cloned().collect() } else { there.clone() };
        self.resolved.borrow_mut().insert(gateway, now);
        for uid in gone {
            self.tell(gateway, uid, "draining");
        }
        // Beside the list DNS takes back its own drains alone.
        let new =
            there.difference(&before).filter(|uid| !self.follows_list() || self.listed_up(gateway, uid));
        new.for_each(|uid| self.tell(gateway, uid.clone(), "up"));
    }

    /// Whether the list's last word on a worker is that it is up.
    fn listed_up(&self, gateway: usize, uid: &str) -> bool {
        let gateway = &self.gateways[gateway];
        let changes = gateway.agents[gateway.side.get()].changes();
        changes.iter().rev().find(|listed| listed.uid == uid).is_some_and(|listed| listed.state == "up")
    }

    fn tell(&self, gateway: usize, uid: String, state: &str) {
        let boot = self.workers.borrow().iter().find(|hand| hand.uid == uid).map(|hand| hand.boot_ms);
        let Some(boot_ms) = boot else { return };
        (self.observer)(Seen::Told { gateway, uid, state: state.into(), boot_ms });
    }
}
