//! Decision logic of a gateway that enforces customer plans in front of a shared worker fleet.
//!
//! [`Gatekeeper`] is a state machine without I/O: it takes the time, a random seed and events, and returns
//! actions. Each gateway process runs one; they share only the counter service. See `docs/design.md`.
//!
//! ```
//! use hingestage_policy::*;
//!
//! let settings = Settings {
//!     instances: 2,
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     classes: vec![Class { aim: 500_000, deadline: 2_000_000, ..Class::default() }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, over_quota_cost: 1.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let now = 1_000_000;
//! let mut gatekeeper = Gatekeeper::new(settings, 42, now);
//! let mut actions = Vec::new();
//! gatekeeper.handle(
//!     now,
//!     Event::Workers(WorkerList {
//!         scope: ListScope::Full,
//!         workers: vec![WorkerInfo::ready(WorkerId(7))],
//!     }),
//!     &mut actions,
//! );
//! gatekeeper.handle(
//!     now,
//!     Event::Request(Request {
//!         id: RequestId("r-1".into()),
//!         customer: CustomerId("acme".into()),
//!         class: Some(ClassId(0)),
//!         plan: Some(PlanId(0)),
//!         units: 1.0,
//!         gateways: 2,
//!         first: 0,
//!         time_left: 2_000_000,
//!     }),
//!     &mut actions,
//! );
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { worker: WorkerId(7), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
mod rules;
pub mod settings;
mod state;

pub use api::*;
pub use rules::Gatekeeper;
pub use state::{fnv, rendezvous_weight};

/// A decision state machine: the [`Gatekeeper`], or a wrapper of it in tests.
pub trait Decide {
    /// Handles one event and appends the resulting actions.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);

    /// Number of unfinished requests, calls and timers; 0 when idle.
    fn pending(&self) -> usize;

    /// Number of listed workers avoided after failures.
    fn avoided(&self) -> usize;

    /// Number of requests that found no worker in time since the start.
    fn requests_without_worker(&self) -> u64;
}

impl Decide for Gatekeeper {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Gatekeeper::handle(self, now, event, actions);
    }

    fn pending(&self) -> usize {
        Gatekeeper::pending(self)
    }

    fn avoided(&self) -> usize {
        Gatekeeper::avoided(self)
    }

    fn requests_without_worker(&self) -> u64 {
        Gatekeeper::requests_without_worker(self)
    }
}
