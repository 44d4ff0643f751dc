//! Status reports of a running store, over loopback sockets.

use hingestage_config_store::server;
use hingestage_fixtures::{own_network, run, PLENTY};
use hingestage_node::settings::InnerPort;
use hingestage_node::Settings;
use hingestage_rpc::messages::{Change, ConfigDocument, Proposed, StoreAnswer, StoreRequest};
use hingestage_rpc::status::StoreStatus;
use hingestage_rpc::Client;
use std::path::Path;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Timeout of a change in milliseconds.
const CHANGE_TIMEOUT: u64 = 1_000;

/// A single running store and a client of it.
struct TestStore {
    calls: Client<StoreRequest, StoreAnswer>,
}

impl TestStore {
    async fn start(number: u8, bootstrap: bool) -> TestStore {
        let data_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("status-{number}"));
        let _ = std::fs::remove_dir_all(&data_dir);
        std::fs::create_dir_all(&data_dir).expect("a directory");
        let ip = format!("{}.{number}", own_network());
        let text = format!(
            "{{node: core-1, ip: {ip}, zone: north-1, region: north, port_range: [7600, 7615], \
             seeds: ['{ip}:8202'], bootstrap: {bootstrap}, data_dir: '{}'}}",
            data_dir.display()
        );
        let settings = Rc::new(Settings::parse(&text).expect("settings"));
        let store = TestStore { calls: Client::new(settings.inner(InnerPort::ConfigStore)) };
        spawn_local(async move { server::serve(settings).await.expect("the store runs") });
        while store.try_status().await.is_none() {
            tokio::task::yield_now().await;
        }
        store
    }

    async fn try_status(&self) -> Option<StoreStatus> {
        match self.calls.call(&StoreRequest::Status, PLENTY).await {
            Ok(StoreAnswer::Status(status)) => Some(*status),
            _ => None,
        }
    }

    async fn status(&self) -> StoreStatus {
        self.try_status().await.expect("a status")
    }

    async fn propose(&self, change: Change) -> Option<Proposed> {
        let request = StoreRequest::Propose { change, wait: CHANGE_TIMEOUT };
        match self.calls.call(&request, PLENTY).await {
            Ok(StoreAnswer::Proposed(proposed)) => Some(proposed),
            _ => None,
        }
    }
}

#[test]
fn status_reports_the_accepted_and_the_durable_configuration() {
    run(async {
        let store = TestStore::start(1, true).await;
        // The store bootstraps the system with its first proposal.
        while store.status().await.recovering {
            tokio::task::yield_now().await;
        }
        let empty = store.status().await;
        assert_eq!((empty.held, empty.in_force, empty.durable), (None, None, false));
        assert_eq!(
            (empty.recovering, empty.members.len()),
            (false, 1),
            "a single founder bootstraps the system"
        );
        assert_eq!(empty.voters, ["core-1"]);
        let document = ConfigDocument::new(7, b"{}".to_vec());
        let version = document.version;
        assert_eq!(store.propose(Change::Config(document)).await, Some(Proposed::Durable));
        let other = ConfigDocument::new(7, b"{ }".to_vec());
        assert_eq!(store.propose(Change::Config(other)).await, Some(Proposed::SerialTaken));
        let drain = Change::Drain { zone: "north-1".into(), drained: true };
        assert_eq!(store.propose(drain).await, Some(Proposed::Durable));
        let proxies = [("edge-1".into(), true), ("edge-2".into(), false)].into();
        assert_eq!(store.propose(Change::Proxies(proxies)).await, Some(Proposed::Durable));
        let status = store.status().await;
        assert_eq!((status.held, status.in_force, status.durable), (Some(version), Some(version), true));
        assert_eq!((status.proxies, status.current_age), (2, Some(0)));
        assert_eq!(status.drained, ["north-1"]);
    });
}

#[test]
fn store_with_a_lost_disk_reports_that_it_is_recovering() {
    run(async {
        let status = TestStore::start(2, false).await.status().await;
        assert!(status.recovering);
        assert_eq!((status.current_age, status.durable, status.held), (None, false, None));
    });
}
