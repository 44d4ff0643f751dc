//! A small system, whole, judged by its clients and its workers: three core machines, four proxies, six workers.

mod support;

use hingestage_platform::{Platform, Tokio};
use hingestage_playground::clients::{promises_not_run, Ask, Client};
use hingestage_playground::layout::{Layout, PLACES};
use hingestage_playground::operator::{
    put_config, Edition, CATALOG, CATALOG_PREFIX, LASTING_KEYS, OFFERS_PREFIX, ORDERS, ORDERS_PREFIX,
    REMOVED_KEY, TENANTS,
};
use hingestage_playground::surroundings::Surroundings;
use hingestage_playground::tally::Tally;
use hingestage_test_servers::service_worker::{RunLog, ServiceWorkerMode};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use support::{block_on, is_ready, probe, serves, status, until, Threads, START_WITHIN};

/// Time for anything else.
const WITHIN: Duration = Duration::from_secs(6);
/// Clients in each zone, and the pace of each.
const CLIENTS: usize = 4;
const EVERY: Duration = Duration::from_millis(25);
/// Requests that are to be served between two steps of the test.
const BETWEEN: u64 = 200;
/// Requests that change things, sent to workers that break off.
const BROKEN: usize = 40;

/// The system and its clients.
struct System {
    layout: Layout,
    surroundings: Rc<Surroundings>,
    tally: Rc<RefCell<Tally>>,
    stop: Rc<Cell<bool>>,
    open: Rc<Cell<usize>>,
    _threads: Threads,
}

impl System {
    async fn start() -> System {
        let (layout, surroundings, threads) = support::start_system().await;
        for proxy in &layout.proxies {
            until("a proxy is ready", START_WITHIN, async || is_ready(proxy.readiness()).await).await;
            let asks = [ask(false, CATALOG_PREFIX, LASTING_KEYS[1]), ask(false, CATALOG_PREFIX, REMOVED_KEY)];
            for ask in &asks {
                until("a proxy serves", START_WITHIN, async || serves(proxy.http(), ask).await).await;
            }
        }
        let (tally, stop, open) = Default::default();
        System { layout, surroundings, tally, stop, open, _threads: threads }
    }

    fn start_clients(&self) {
        for place in PLACES.iter().flat_map(|place| [*place; CLIENTS]) {
            let client = Client::new(&self.layout, place, self.tally.clone(), self.stop.clone());
            let open = self.open.clone();
            open.set(open.get() + 1);
            Tokio.spawn(async move {
                client.run(EVERY).await;
                open.set(open.get() - 1);
            });
        }
    }

    /// Waits until clients have been served so many requests more.
    async fn serve_more(&self) {
        let goal = self.tally.borrow().served + BETWEEN;
        until("clients are served", WITHIN, async || self.tally.borrow().served >= goal).await;
    }

    async fn stop_clients(&self) {
        self.stop.set(true);
        until("clients end", WITHIN, async || self.open.get() == 0).await;
    }

    /// What workers have seen.
    fn log(&self) -> std::cell::Ref<'_, RunLog> {
        self.surroundings.log.borrow()
    }

    /// Nothing failed for any client.
    fn assert_all_served(&self) {
        let tally = self.tally.borrow();
        assert_eq!((tally.failed, tally.unknown_total()), (0, 0), "{:?}", tally.last_failure);
    }

    /// Every request ran at a worker of its route's service, with its tenant and without its key.
    fn assert_right_workers(&self) {
        for run in &self.log().runs {
            let service = if run.path.starts_with(ORDERS_PREFIX) { ORDERS } else { CATALOG };
            assert_eq!(run.service, service, "{run:?}");
            assert!(!run.brought_key, "{run:?}");
            let known = run.tenant.as_deref().is_some_and(|tenant| TENANTS.contains(&tenant));
            assert!(known || run.path.starts_with("/probe/"), "{run:?}");
        }
    }

    /// No try of a request that changes things ran twice.
    fn assert_no_second_run(&self) {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for run in self.log().runs.iter().filter(|run| run.path.starts_with(ORDERS_PREFIX)) {
            *runs.entry(run.attempt.clone()).or_default() += 1;
        }
        let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
        assert!(!runs.is_empty() && twice.is_empty(), "{twice:?}");
    }

    /// The changed configuration is in force at every proxy: its routes, and not those of the first.
    async fn change_is_in_force(&self) {
        let removed_route = probe(Edition::First);
        let added_route = ask(false, OFFERS_PREFIX, LASTING_KEYS[0]);
        let removed_key = ask(false, CATALOG_PREFIX, REMOVED_KEY);
        for proxy in &self.layout.proxies {
            let at = proxy.http();
            until("an added route is served", WITHIN, async || serves(at, &added_route).await).await;
            let refused = Some(StatusCode::UNAUTHORIZED);
            until("a removed key is refused", WITHIN, async || status(at, &removed_key).await == refused)
                .await;
            assert_eq!(status(at, &removed_route).await, Some(StatusCode::NOT_FOUND));
        }
    }

    /// A worker dies, and its address goes to a worker of the other service while the list still names the old.
    async fn reuse_an_address(&self) {
        let before = self.log().misdirected;
        let old = self.surroundings.end("i-0").await.unwrap();
        assert_eq!(old.service, CATALOG);
        self.surroundings.add("i-heir", ORDERS, old.addr, &old.zone).await.unwrap();
        let turned_away = async || self.log().misdirected > before;
        until("a request for the old worker is turned away", WITHIN, turned_away).await;
        self.serve_more().await;
        self.surroundings.publish();
        let runs = async || self.log().runs.iter().any(|run| run.worker == "i-heir");
        until("the new worker is used", WITHIN, runs).await;
    }

    /// All workers of a service run requests and break off in place of an answer.
    async fn break_off(&self, service: &str, mutating: bool, prefix: &str) {
        for hosted in self.surroundings.workers.borrow().iter() {
            if hosted.listed.service == service {
                hosted.worker.set_mode(ServiceWorkerMode::ResetsAfterRun);
            }
        }
        let ran_before = self.log().runs.len();
        for proxy in self.layout.proxies.iter().cycle().take(BROKEN) {
            let order = ask(mutating, prefix, LASTING_KEYS[0]);
            let runs = self.log().runs.len();
            let Ok(reply) = order.send_to(proxy.http()).await else { continue };
            assert!(!reply.status.is_success(), "{reply:?}");
            // No other request is under way: what ran since is this one.
            let ran = self.log().runs.len() > runs;
            assert!(!(ran && promises_not_run(reply.status)), "{reply:?}");
        }
        assert!(self.log().runs.len() > ran_before, "none of these requests ran");
    }
}

fn ask(mutating: bool, prefix: &str, key: &'static str) -> Ask {
    Ask { mutating, path: format!("{prefix}test"), key: Some(key) }
}

#[test]
fn a_small_system_serves_all_through_changes() {
    block_on(async {
        let system = System::start().await;
        system.start_clients();
        system.serve_more().await;
        put_config(&system.layout, Edition::Changed, WITHIN).await.unwrap();
        system.change_is_in_force().await;
        system.serve_more().await;
        system.reuse_an_address().await;
        system.stop_clients().await;
        system.assert_all_served();
        system.break_off(ORDERS, true, ORDERS_PREFIX).await;
        system.break_off(CATALOG, false, CATALOG_PREFIX).await;
        system.assert_no_second_run();
        system.assert_right_workers();
    });
}
