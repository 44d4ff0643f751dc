//! Types, settings, events and actions of the gatekeeper. No logic lives here.

pub use hingestage_failover::View as SitesView;
pub use hingestage_shares::LeaseView;

/// A point in time or a span, in microseconds. Points are read off one clock that never goes back.
pub type Micros = u64;

/// A client's request, by the id its gateway gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub String);

/// A customer, whose plan's quota all its gateways share.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub String);

/// A worker process; it keeps its id when it restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// A class of requests: its place in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// A plan: its place in [`Settings::plans`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// A zone, compared for equality only.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub String);

/// The name of a number that the counter service keeps; 1 to 64 bytes without spaces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterName(pub String);

/// What a timer says when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// How often the effect of a request may happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated freely.
    Idempotent,
    /// Workers of one group drop repeats for a time.
    Deduplicated,
    /// It must not run twice.
    #[default]
    AtMostOnce,
}

/// Which workers drop each other's repeats of a deduplicated request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    #[default]
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Answered within this time, a request earns its full worth.
    pub aim: Micros,
    /// How long a client waits at most.
    pub deadline: Micros,
    /// What may be repeated.
    pub effect: Effect,
    /// Who drops repeats, for [`Effect::Deduplicated`].
    pub group: DedupGroup,
    /// How long repeats are dropped, counted from the first send that may have run.
    pub key_window: Micros,
    /// Attempts a request may have; 0 leaves it to [`Limits::max_attempts`], which is never exceeded.
    pub attempts: usize,
}

/// A plan. Quotas and ceilings hold for each customer, over all gateways together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units a second that fill the quota's store; 0 means no such quota.
    pub rate: f64,
    /// Units the quota's store holds.
    pub burst: f64,
    /// Attempts a customer may have out at once; 0 means no such quota.
    pub open: f64,
    /// Units a second that fill the ceiling's store; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Units the ceiling's store holds.
    pub ceiling_burst: f64,
    /// How far below nothing the ceiling's store may go.
    pub ceiling_slack: f64,
    /// Part of its worth that a request beyond the quota earns when served.
    pub over_earns: f64,
    /// Part of its worth that a request beyond the quota costs when sent on.
    pub over_cost: f64,
}

/// Figures of the rules that bind a gatekeeper.
#[derive(Clone, Debug, Default)]
pub struct RuleFigures {
    /// A worker starts with this share of its capacity at least.
    pub cold_from: f64,
    /// A worker is warm after this time at the latest.
    pub cold_for: Micros,
    /// A cold worker falls over when sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this time.
    pub fall_after: Micros,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts one request may have.
    pub max_attempts: usize,
    /// Whether two attempts of one request may be out together.
    pub second_copies: bool,
    /// Whether an attempt may be called off.
    pub cancel: bool,
    /// The longest retry advice that a client follows.
    pub max_retry_after: Micros,
    /// Further attempts that may be saved up; 0 leaves it to the decisions.
    pub retries_saved: f64,
    /// Whether a refusal promises that the request has not run, whatever its effect. Without that it says only
    /// that trying again is harmless.
    pub refusals_promise: bool,
}

impl Limits {
    /// Further attempts that may be saved up, where the decisions' own figure is `usual`.
    pub fn retries_saved(&self, usual: f64) -> f64 {
        if self.retries_saved > 0.0 {
            self.retries_saved
        } else {
            usual
        }
    }
}

/// What a gatekeeper is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many gatekeepers there are.
    pub instances: u32,
    /// This one's number among them, from 0.
    pub me: u32,
    /// Shortest time between two calls of `handle`.
    pub resolution: Micros,
    /// The zone this gatekeeper is in.
    pub zone: Zone,
    /// Whether there is a counter service to call.
    pub counter: bool,
    /// A call to the counter without an answer ends after this time.
    pub counter_timeout: Micros,
    /// The most units one request counts.
    pub most_units: f64,
    /// Whether a request's units are a guess that its answer settles.
    pub settles: bool,
    /// Whether changes to the list of workers must be subscribed to.
    pub subscribe: bool,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// What the deployment permits.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: RuleFigures,
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    #[default]
    Gone,
}

/// One worker as discovery lists it.
#[derive(Clone, Debug, Default)]
pub struct WorkerInfo {
    /// Which worker.
    pub id: WorkerId,
    /// Whether it takes new work.
    pub availability: Availability,
    /// Where it is.
    pub zone: Zone,
    /// The group of workers that share which keys they have seen.
    pub cell: u64,
    /// A number made of its name alone, so that all gatekeepers draw alike for it.
    pub mark: u64,
    /// Its size, for comparison with others.
    pub size: f64,
    /// When it last started; `None` means long ago.
    pub started: Option<Micros>,
    /// Less is better: it gets work only where no worker of a better tier can take it.
    pub tier: u32,
    /// Sends a second that it may get from this gateway while it is cold; `None` leaves it to the decisions.
    pub cold_rate: Option<f64>,
}

impl WorkerInfo {
    /// A warm worker that takes work, of size 1, in the nameless zone.
    pub fn ready(id: WorkerId) -> Self {
        let availability = Availability::Ready;
        let zone = Zone::default();
        WorkerInfo {
            id,
            availability,
            zone,
            cell: 0,
            mark: id.0,
            size: 1.0,
            started: None,
            tier: 0,
            cold_rate: None,
        }
    }
}

/// What a list of workers covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only what changed.
    Delta,
    /// All workers; those absent are gone.
    Full,
    /// All workers as last known before a restart, possibly stale.
    Cached,
    /// A call to discovery failed or the subscription broke; the old list holds.
    Failed,
}

/// Discovery's news about the workers.
#[derive(Clone, Debug)]
pub struct WorkerList {
    /// What it covers.
    pub scope: ListScope,
    /// The workers it names.
    pub workers: Vec<WorkerInfo>,
}

/// A client's request. Exactly one final answer is owed for it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, never seen twice.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerId,
    /// Its class; `None` when the settings do not name it.
    pub class: Option<ClassId>,
    /// The customer's plan; `None` when the settings do not name it.
    pub plan: Option<PlanId>,
    /// Units it takes from the quota.
    pub units: f64,
    /// How many gateways this customer's requests come through.
    pub gateways: u32,
    /// The first of them; the others follow it.
    pub first: u32,
    /// Time until the client gives this try up.
    pub time_left: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Answered with what can't be used, as any worker's answers may be now and then; it may have run.
    Spoilt,
    /// Called off; it may have run.
    Cancelled,
    /// Not transmitted; it never ran.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptDone {
    /// Its request.
    pub request: RequestId,
    /// Its number, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// Whether the request has its final answer.
    pub closed: bool,
    /// The true units that replace the guess.
    pub true_units: Option<f64>,
}

/// How a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterOutcome {
    /// The amount was added; this is the total.
    Total(f64),
    /// Nothing was added.
    Refused,
    /// No answer in time; the amount may have been added.
    Timeout,
}

/// Classes and plans of one version of a policy, in the order of the settings. Plans may be more than there.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// As [`Settings::classes`], and as many.
    pub classes: Vec<Class>,
    /// As [`Settings::plans`].
    pub plans: Vec<Plan>,
}

/// What a gatekeeper is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the workers.
    Workers(WorkerList),
    /// A request has come in.
    Request(Request),
    /// A timer fired.
    Timer(TimerToken),
    /// An attempt ended.
    AttemptDone(AttemptDone),
    /// The request's body is long and goes to a worker while it still comes in, or has gone there whole: until
    /// then the worker can't begin, and its time does not count.
    Uploading {
        /// The request.
        request: RequestId,
        /// Whether its last byte has gone.
        over: bool,
    },
    /// An attempt's answer has begun to stream to the client, which now owns it.
    StreamStarted {
        /// Its request.
        request: RequestId,
    },
    /// The client left; no answer is owed any more.
    ClientGone(RequestId),
    /// A call to the counter ended.
    Counter {
        /// The number called for.
        name: CounterName,
        /// How it ended.
        outcome: CounterOutcome,
    },
    /// Another process has begun to serve in this one's place, or has ended. Both are one gateway: from its
    /// start on the other's part of each ceiling fills, and this one's no more.
    Successor(bool),
    /// What is known of the fleet: how much of an even part this gateway may use, and who is gone. Without it
    /// all gateways are taken to be there.
    Fleet(LeaseView),
    /// What is believed of whole sites: how much may go there, where loads go, who is refused first. Without it
    /// all may go anywhere.
    Sites(SitesView),
    /// What requests begin under from now on; none where nothing may begin. Those in hand keep the class that
    /// they began with.
    Terms(Option<Terms>),
}

/// What a gatekeeper wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker.
    Send {
        /// Which request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Time the attempt may take.
        timeout: Micros,
        /// Time within which it must have begun to be written, or not be written at all: a repeat whose
        /// connection comes up late would reach workers that have forgotten its key.
        begin_within: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: usize,
    },
    /// Final answer: turned away, and trying again is harmless.
    Refuse {
        /// Which request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Micros,
    },
    /// Final answer: failed, with nothing promised.
    Fail(RequestId),
    /// Wake the gatekeeper.
    SetTimer {
        /// What the timer shall say.
        token: TimerToken,
        /// When, from now.
        after: Micros,
    },
    /// Add to a number of the counter service and read the total.
    Count {
        /// Which number.
        name: CounterName,
        /// How much to add; 0 only reads.
        amount: f64,
        /// How long a new number is kept.
        keep: Micros,
    },
    /// Ask discovery for changes from now on.
    Subscribe,
}
