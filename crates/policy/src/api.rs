//! Public types of the gatekeeper: settings, events and actions. No logic lives here.

pub use hingestage_failover::View as SitesView;
pub use hingestage_shares::LeaseView;

/// A point in time or a duration, in microseconds. Points come from one monotonic clock.
pub type Micros = u64;

/// Id of a client's request, assigned by its gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub String);

/// A customer; the quota of its plan is shared by all gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub String);

/// A worker process; it keeps its id across restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a plan in [`Settings::plans`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// An availability zone, compared for equality only.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub String);

/// Name of a number in the counter service: 1 to 64 bytes without spaces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterName(pub String);

/// Identifies a timer when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// How often the effect of a request may happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// The request may be repeated freely.
    Idempotent,
    /// The workers of a group drop repeats for some time.
    Deduplicated,
    /// The request must not run twice.
    #[default]
    AtMostOnce,
}

/// The group of workers that drop each other's repeats of a deduplicated request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupGroup {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    #[default]
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Latency target: a request answered within it has its full value.
    pub aim: Micros,
    /// Longest time that a client waits.
    pub deadline: Micros,
    /// How often the effect may happen.
    pub effect: Effect,
    /// Workers that drop repeats, for [`Effect::Deduplicated`].
    pub group: DedupGroup,
    /// How long repeats are dropped, from the first send that may have run.
    pub key_window: Micros,
    /// Maximum attempts of a request that may have reached a worker, within [`Limits::max_attempts`]; 0 for that
    /// limit alone.
    pub attempts: usize,
}

/// A plan. Quotas and ceilings apply to each customer over all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Quota refill rate, units a second; 0 for no quota.
    pub rate: f64,
    /// Quota burst, units.
    pub burst: f64,
    /// Maximum open requests of a customer; 0 for no limit.
    pub max_open: f64,
    /// Ceiling refill rate, units a second; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Ceiling burst, units.
    pub ceiling_burst: f64,
    /// Tolerated overdraft of the ceiling, units.
    pub ceiling_slack: f64,
    /// Share of its value that a request over quota earns when served.
    pub over_quota_value: f64,
    /// Share of its value that a request over quota costs when sent.
    pub over_quota_cost: f64,
}

/// Warm-up and overload limits of workers.
#[derive(Clone, Debug, Default)]
pub struct WarmUpRules {
    /// Least share of its capacity that a worker starts with.
    pub initial_capacity: f64,
    /// Longest warm-up of a worker.
    pub warm_up_time: Micros,
    /// A cold worker overloads above this multiple of its present capacity.
    pub overload_multiple: f64,
    /// Time over which that multiple is measured.
    pub overload_window: Micros,
}

/// Limits of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Maximum attempts of a request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub second_copies: bool,
    /// Whether such a copy may be sent for an attempt that is late, but neither lost nor stalled.
    pub hedge: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Longest retry advice that clients follow.
    pub max_retry_after: Micros,
    /// Maximum retry budget; 0 for the built-in default.
    pub max_retry_budget: f64,
    /// Whether a refusal promises that the request has not run, whatever its effect. Otherwise it only says
    /// that a retry is harmless.
    pub refusals_promise: bool,
}

impl Limits {
    /// Whether a late attempt gets a second copy.
    pub fn hedges(&self) -> bool {
        self.second_copies && self.hedge
    }

    /// The maximum retry budget, with `usual` as the default.
    pub fn max_retry_budget(&self, usual: f64) -> f64 {
        if self.max_retry_budget > 0.0 {
            self.max_retry_budget
        } else {
            usual
        }
    }
}

/// Configuration of a gatekeeper.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gatekeepers.
    pub instances: u32,
    /// Index of this gatekeeper, from 0.
    pub me: u32,
    /// Shortest time between two calls of `handle`.
    pub resolution: Micros,
    /// Zone of this gatekeeper.
    pub zone: Zone,
    /// Whether a counter service is available.
    pub counter: bool,
    /// Timeout of a counter call.
    pub counter_timeout: Micros,
    /// Largest number of units of a request.
    pub max_units: f64,
    /// Whether a request's units are an estimate that its answer corrects.
    pub units_estimated: bool,
    /// Whether the worker list must be subscribed to.
    pub subscribe: bool,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Warm-up and overload limits of workers.
    pub rules: WarmUpRules,
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It takes new work.
    Ready,
    /// It only finishes what it has.
    Draining,
    /// It no longer exists.
    #[default]
    Gone,
}

/// A worker as listed by discovery.
#[derive(Clone, Debug, Default)]
pub struct WorkerInfo {
    /// Id.
    pub id: WorkerId,
    /// Whether it takes new work.
    pub availability: Availability,
    /// Zone.
    pub zone: Zone,
    /// Group of workers that share the deduplication keys they have seen.
    pub cell: u64,
    /// Hash of its name, the same at every gatekeeper.
    pub hash: u64,
    /// Relative size.
    pub size: f64,
    /// Time of its last start; `None` if long ago.
    pub started: Option<Micros>,
    /// Priority, lower first: a worker gets only what no worker of a lower tier can take.
    pub tier: u32,
    /// Sends a second allowed from this gateway while it is cold; `None` for the built-in rate.
    pub cold_rate: Option<f64>,
}

impl WorkerInfo {
    /// A warm, ready worker of size 1 in the default zone.
    pub fn ready(id: WorkerId) -> Self {
        let availability = Availability::Ready;
        let zone = Zone::default();
        WorkerInfo {
            id,
            availability,
            zone,
            cell: 0,
            hash: id.0,
            size: 1.0,
            started: None,
            tier: 0,
            cold_rate: None,
        }
    }
}

/// What a worker list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed workers only.
    Delta,
    /// All workers; those absent are gone.
    Full,
    /// All workers as last known before a restart, possibly stale.
    Cached,
    /// Discovery failed or the subscription broke; the previous list holds.
    Failed,
}

/// An update of the worker list.
#[derive(Clone, Debug)]
pub struct WorkerList {
    /// What the list covers.
    pub scope: ListScope,
    /// The listed workers.
    pub workers: Vec<WorkerInfo>,
}

/// A client's request. It gets exactly one final answer.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique id.
    pub id: RequestId,
    /// The customer.
    pub customer: CustomerId,
    /// Its class; `None` if not in the settings.
    pub class: Option<ClassId>,
    /// The customer's plan; `None` if not in the settings.
    pub plan: Option<PlanId>,
    /// Units charged to the quota.
    pub units: f64,
    /// Number of gateways that this customer's requests come through.
    pub gateways: u32,
    /// Index of the first of those gateways; the others follow it.
    pub first: u32,
    /// Time until the client gives up.
    pub time_left: Micros,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker answered with an error; the request may have run.
    Error,
    /// The worker rejected it for lack of capacity; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The answer was unusable; it may have run.
    Unusable,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never transmitted; it never ran.
    NotSent,
}

/// Report of a finished attempt.
#[derive(Clone, Debug)]
pub struct AttemptDone {
    /// Its request.
    pub request: RequestId,
    /// Index of the attempt, from 0.
    pub attempt: usize,
    /// Outcome.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// Whether the request has its final answer.
    pub closed: bool,
    /// Actual units, replacing the estimate.
    pub true_units: Option<f64>,
}

/// Outcome of a counter call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterOutcome {
    /// The amount was added; the new total.
    Total(f64),
    /// Nothing was added.
    Refused,
    /// No answer in time; the amount may have been added.
    Timeout,
}

/// Classes and plans of one policy version, in the order of the settings. Plans may be added.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// As many classes as in [`Settings::classes`].
    pub classes: Vec<Class>,
    /// The plans, as in [`Settings::plans`].
    pub plans: Vec<Plan>,
}

/// An input of a gatekeeper.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list changed.
    Workers(WorkerList),
    /// A request arrived.
    Request(Request),
    /// A timer fired.
    Timer(TimerToken),
    /// An attempt ended.
    AttemptDone(AttemptDone),
    /// A request's body is still being streamed to a worker, or has been sent in full. Upload time does not
    /// count as the worker's latency.
    Uploading {
        /// The request.
        request: RequestId,
        /// Whether the last byte was sent.
        over: bool,
    },
    /// An attempt's answer has begun but makes no progress, or makes progress again. The worker may still
    /// complete it.
    Stalled {
        /// Its request.
        request: RequestId,
        /// Index of the attempt.
        attempt: usize,
        /// Whether it makes no progress.
        stalled: bool,
    },
    /// An attempt's answer began to stream to the client, so no other attempt may answer.
    StreamStarted {
        /// Its request.
        request: RequestId,
    },
    /// The client disconnected; no answer is owed any more.
    ClientGone(RequestId),
    /// A counter call ended.
    Counter {
        /// Name of the number.
        name: CounterName,
        /// Outcome.
        outcome: CounterOutcome,
    },
    /// A successor process of this gateway has started, or has ended. While it runs, it alone refills the
    /// gateway's share of each ceiling.
    Successor(bool),
    /// A new fleet view: the multiple of its even share that this gateway may use, and the absent gateways.
    /// Before the first one, all gateways count as present.
    Fleet(LeaseView),
    /// A new site view: admission by site, load placement and shedding. Before the first one, every site is
    /// admitted.
    Sites(SitesView),
    /// The classes and plans for new requests; `None` refuses all of them. Open requests keep the class that
    /// they began with.
    Terms(Option<Terms>),
}

/// An output of a gatekeeper.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Timeout of the attempt.
        timeout: Micros,
        /// Time within which writing must begin, or the attempt must be dropped: a late repeat could reach
        /// workers that no longer know its key.
        begin_within: Micros,
    },
    /// Cancels an attempt.
    Cancel {
        /// Its request.
        request: RequestId,
        /// Index of the attempt.
        attempt: usize,
    },
    /// Final answer: refused; a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry.
        retry_after: Micros,
    },
    /// Final answer: failed, without any promise.
    Fail(RequestId),
    /// Schedules a timer.
    SetTimer {
        /// Token of the timer.
        token: TimerToken,
        /// Delay from now.
        after: Micros,
    },
    /// Adds to a number in the counter service and reads its total.
    Count {
        /// Name of the number.
        name: CounterName,
        /// Amount to add; 0 only reads.
        amount: f64,
        /// Lifetime of a new number.
        keep: Micros,
    },
    /// Subscribes to worker list changes.
    Subscribe,
}
