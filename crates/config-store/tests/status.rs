//! What a running store tells operators, over sockets on loopback.

use hingestage_config_store::server;
use hingestage_fixtures::{own_network, run, PLENTY};
use hingestage_node::settings::InternalPort;
use hingestage_node::Settings;
use hingestage_rpc::messages::{Change, ConfigDocument, Proposed, StoreAnswer, StoreRequest};
use hingestage_rpc::status::StoreStatus;
use hingestage_rpc::Client;
use std::path::Path;
use std::rc::Rc;
use tokio::task::spawn_local;

/// How long a change may take to be decided, milliseconds.
const DECIDED_WITHIN: u64 = 1_000;

/// A store that knows no other.
struct Stage {
    calls: Client<StoreRequest, StoreAnswer>,
}

impl Stage {
    async fn start(number: u8, bootstrap: bool) -> Stage {
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
        let stage = Stage { calls: Client::new(settings.internal_addr(InternalPort::ConfigStore)) };
        spawn_local(async move { server::serve(settings).await.expect("the store runs") });
        while stage.try_status().await.is_none() {
            tokio::task::yield_now().await;
        }
        stage
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
        let request = StoreRequest::Propose { change, wait: DECIDED_WITHIN };
        match self.calls.call(&request, PLENTY).await {
            Ok(StoreAnswer::Proposed(proposed)) => Some(proposed),
            _ => None,
        }
    }
}

#[test]
fn a_store_tells_what_it_holds_and_what_is_durable() {
    run(async {
        let stage = Stage::start(1, true).await;
        // It founds the system with its first proposal.
        while stage.status().await.recovering {
            tokio::task::yield_now().await;
        }
        let empty = stage.status().await;
        assert_eq!((empty.held, empty.in_force, empty.durable), (None, None, false));
        assert_eq!((empty.recovering, empty.members.len()), (false, 1), "it founds a system by itself");
        assert_eq!(empty.voters, ["core-1"]);
        let document = ConfigDocument::new(7, b"{}".to_vec());
        let version = document.version;
        assert_eq!(stage.propose(Change::Config(document)).await, Some(Proposed::Durable));
        let other = ConfigDocument::new(7, b"{ }".to_vec());
        assert_eq!(stage.propose(Change::Config(other)).await, Some(Proposed::SerialTaken));
        let drain = Change::Drain { zone: "north-1".into(), drained: true };
        assert_eq!(stage.propose(drain).await, Some(Proposed::Durable));
        let proxies = [("edge-1".into(), true), ("edge-2".into(), false)].into();
        assert_eq!(stage.propose(Change::Proxies(proxies)).await, Some(Proposed::Durable));
        let status = stage.status().await;
        assert_eq!((status.held, status.in_force, status.durable), (Some(version), Some(version), true));
        assert_eq!((status.proxies, status.current_age), (2, Some(0)));
        assert_eq!(status.drained, ["north-1"]);
    });
}

#[test]
fn a_store_that_lost_its_disk_says_so_and_speaks_for_nobody() {
    run(async {
        let status = Stage::start(2, false).await.status().await;
        assert!(status.recovering);
        assert_eq!((status.current_age, status.durable, status.held), (None, false, None));
    });
}
