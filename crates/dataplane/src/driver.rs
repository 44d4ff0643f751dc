//! Drives the decision logic: feeds it events, carries out its actions and owns the open requests. Each
//! request is answered once.

use crate::body::RequestBody;
use crate::dialect::{Dialect, Parts};
use crate::hooks::{Beginning, Subsystems};
use crate::workers::{Attempted, Progress, Served, ServedBody, Times, Workers};
use hingestage_operate::{Ending, Figures, Gauges, SrvFigures};
use hingestage_platform::{Clock, Platform, Stream, Task};
use hingestage_policy::{
    Action, AttemptDone, ClassId, CustomerId, Decide, Effect, Event, Gatekeeper, Micros, Outcome, PlanId,
};
use hingestage_policy::{Request, RequestId, Settings, WorkerId, WorkerList};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time reserved before each client's deadline for delivering the answer.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// The final answer to a request.
pub enum Answer<S: Stream> {
    /// A worker's response.
    Served(Served<S>),
    /// Refused without side effects; retry after this time.
    Refused(Micros),
    /// Failed; a worker may have executed the request.
    Failed {
        /// Whether the time ran out.
        late: bool,
    },
}

/// A client request as parsed by the server.
pub struct Taken {
    /// The customer that sent it.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// The customer's plan.
    pub plan: PlanId,
    /// Estimated cost, units.
    pub units: f64,
    /// Number of gateways that serve this customer.
    pub gateways: u32,
    /// The first of these gateways.
    pub first: u32,
    /// The client's deadline.
    pub until: Instant,
    /// The request as sent to a worker.
    pub parts: Parts,
}

struct OpenRequest<P: Platform> {
    parts: Rc<Parts>,
    class: ClassId,
    /// Channel for the answer; `None` once answered or after the client has disconnected.
    reply: Option<oneshot::Sender<Answer<P::Stream>>>,
    /// By attempt number; `None` once the attempt has ended.
    attempts: Vec<Option<RunningAttempt<P>>>,
    late: bool,
}

struct RunningAttempt<P: Platform> {
    worker: WorkerId,
    progress: Rc<Progress<P::Stream>>,
    task: P::Task,
    sent: Instant,
}

/// Creates the decision logic from its settings, a seed and the start time, µs.
pub type MakeDecisions = fn(Settings, u64, Micros) -> Box<dyn Decide>;

/// The decision logic used in production.
pub fn gatekeeper(settings: Settings, seed: u64, now: Micros) -> Box<dyn Decide> {
    Box::new(Gatekeeper::new(settings, seed, now))
}

/// Settings of a driver.
pub struct DriverSettings {
    /// Settings of the decision logic.
    pub policy: Settings,
    /// Seed of the decision logic's random numbers.
    pub seed: u64,
    /// Class names, for the metrics.
    pub class_names: Vec<String>,
    /// Maximum number of connections to workers.
    pub workers_max: usize,
    /// Timeout for connecting to a worker.
    pub connect_timeout: Duration,
    /// Idle time after which workers close a connection.
    pub worker_idle: Duration,
    /// The protocol spoken with workers.
    pub dialect: Rc<dyn Dialect>,
}

/// Connects the decision logic to clients and workers.
pub struct Driver<P: Platform> {
    /// The platform it runs on.
    pub platform: P,
    /// Connections to workers.
    pub workers: Workers<P>,
    /// Request metrics.
    pub figures: RefCell<Figures>,
    subsystems: Rc<dyn Subsystems>,
    decisions: RefCell<Box<dyn Decide>>,
    /// Aligned to Unix time on all gateways, because counter names contain a time slot number.
    clock: Clock,
    /// Ordered, so that the order of cancellations is deterministic.
    open: RefCell<BTreeMap<RequestId, OpenRequest<P>>>,
    /// Client-side ids of all open requests.
    ids: RefCell<HashSet<HeaderValue>>,
    next: Cell<u64>,
    /// Admitted requests whose answers have not been written.
    inflight: Cell<usize>,
    max_units: f64,
    events: RefCell<VecDeque<Event>>,
    handling: Cell<bool>,
}

impl<P: Platform> Driver<P> {
    /// Creates a driver without workers or requests.
    pub fn new(
        platform: P,
        settings: DriverSettings,
        subsystems: Rc<dyn Subsystems>,
        decide: MakeDecisions,
    ) -> Rc<Self> {
        let clock = Clock::new(&platform);
        let now = clock.micros(platform.now());
        let max_units = settings.policy.most_units;
        Rc::new(Driver {
            workers: Workers::new(
                platform.clone(),
                settings.workers_max,
                settings.connect_timeout,
                settings.worker_idle,
                settings.dialect,
            ),
            subsystems,
            decisions: RefCell::new(decide(settings.policy, settings.seed, now)),
            clock,
            platform,
            open: RefCell::default(),
            ids: RefCell::default(),
            next: Cell::new(0),
            figures: RefCell::new(Figures::new(&settings.class_names)),
            inflight: Cell::new(0),
            max_units,
            events: RefCell::default(),
            handling: Cell::new(false),
        })
    }

    /// Current time of the decision logic: monotonic Unix time, µs.
    pub fn micros(&self) -> Micros {
        self.clock.micros(self.platform.now())
    }

    /// Reports the sizes of the tables of unfinished work to the platform.
    pub fn gauge(&self) {
        self.platform.gauge("open requests", self.open.borrow().len());
        self.platform.gauge("open ids", self.ids.borrow().len());
        self.platform.gauge("pending decisions", self.decisions.borrow().pending());
    }

    /// The metrics as JSON.
    pub fn told_figures(&self, srv: Option<SrvFigures>) -> String {
        let attempts = |open: &OpenRequest<P>| {
            open.attempts.iter().flatten().filter(|running| running.progress.came_whole()).count()
        };
        self.figures.borrow().json(Gauges {
            inflight: self.inflight.get(),
            attempts_out: self.open.borrow().values().map(attempts).sum(),
            hosts_listed: self.workers.listed(),
            hosts_down: self.decisions.borrow().avoided(),
            srv,
        })
    }

    /// Passes an event to the decision logic and carries out its actions. Events caused by an action are
    /// queued, so that actions are carried out in the order in which they were decided.
    pub fn feed(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.micros();
            self.decisions.borrow_mut().handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
        self.handling.set(false);
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, worker, timeout, begin_within } => {
                self.send(request, worker, timeout, begin_within)
            }
            Action::Cancel { request, attempt } => self.cancel(&request, attempt),
            Action::Refuse { request, retry_after } => {
                self.answer(&request, |_| Answer::Refused(retry_after))
            }
            Action::Fail(request) => self.answer(&request, |open| Answer::Failed { late: open.late }),
            Action::SetTimer { token, after } => {
                let driver = self.clone();
                let sleep = self.platform.sleep(Duration::from_micros(after));
                self.platform.spawn(async move {
                    sleep.await;
                    driver.feed(Event::Timer(token));
                });
            }
            Action::Count { name, amount, keep } => {
                if let Some(outcome) = self.subsystems.count(&name, amount, keep) {
                    self.feed(Event::Counter { name, outcome });
                }
            }
            // Discovery is always watched.
            Action::Subscribe => {}
        }
    }

    /// Updates the workers and cancels attempts that still wait for a connection to one that no longer
    /// accepts work.
    pub fn list_workers(self: &Rc<Self>, list: WorkerList) {
        self.subsystems.listed(&list.workers, list.scope);
        self.feed(Event::Workers(list));
        self.cancel_unsent();
    }

    /// Admits a request. The answer arrives on the channel; dropping the ticket signals that the client has
    /// disconnected. Returns `None` if a request with the same id is open, which a worker would take for a
    /// duplicate.
    pub fn take(self: &Rc<Self>, incoming: Taken) -> Option<TakenIn<P>> {
        if !self.ids.borrow_mut().insert(incoming.parts.id.clone()) {
            return None;
        }
        let plan = self.subsystems.begins(
            self.micros(),
            Beginning {
                customer: &incoming.customer,
                class: incoming.class,
                plan: incoming.plan,
                first: incoming.first,
                gateways: incoming.gateways,
            },
        );
        self.next.set(self.next.get() + 1);
        let id = RequestId(self.next.get().to_string());
        let (reply, answer) = oneshot::channel();
        let open = OpenRequest {
            parts: Rc::new(incoming.parts),
            class: incoming.class,
            reply: Some(reply),
            attempts: Vec::new(),
            late: false,
        };
        self.inflight.set(self.inflight.get() + 1);
        self.open.borrow_mut().insert(id.clone(), open);
        let left =
            incoming.until.saturating_duration_since(self.platform.now()).saturating_sub(ANSWER_MARGIN);
        self.feed(Event::Request(Request {
            id: id.clone(),
            customer: incoming.customer,
            class: Some(incoming.class),
            plan,
            units: incoming.units,
            gateways: incoming.gateways,
            first: incoming.first,
            time_left: left.as_micros() as Micros,
        }));
        Some((Ticket { driver: self.clone(), id }, answer))
    }

    /// Number of requests that found no worker in time, since the start.
    pub fn short(&self) -> u64 {
        self.decisions.borrow().short()
    }

    /// Whether new requests may be started.
    pub fn may_begin(&self) -> bool {
        self.subsystems.may_begin()
    }

    /// The delivery guarantee of a class, if a subsystem overrides it.
    pub fn effect(&self, class: ClassId) -> Option<Effect> {
        self.subsystems.effect(class)
    }

    /// The maximum client wait, if a subsystem overrides it.
    pub fn longest(&self) -> Option<Duration> {
        self.subsystems.longest()
    }

    fn send(self: &Rc<Self>, id: RequestId, worker: WorkerId, timeout: Micros, begin_within: Micros) {
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(&id) else { return };
        let (parts, n) = (open.parts.clone(), open.attempts.len());
        let progress = Rc::new(Progress::default());
        let sent = self.platform.now();
        let (driver, attempt_progress, request) = (self.clone(), progress.clone(), id.clone());
        self.track_upload(&id, &parts);
        // A worker owes no answer while its request is still being uploaded; only the end of such an attempt
        // is reported.
        if !matches!(parts.body, RequestBody::Flow(_)) {
            self.subsystems.sent(self.micros(), worker);
        }
        let task = self.platform.spawn(async move {
            let times = Times {
                begin_by: sent + Duration::from_micros(begin_within),
                deadline: sent + Duration::from_micros(timeout),
            };
            let mut attempted = driver.workers.attempt(worker, &parts, times, &attempt_progress).await;
            driver.finish_attempt(&request, n, &mut attempted);
            driver.workers.give_back(worker, attempted).await;
        });
        open.attempts.push(Some(RunningAttempt { worker, progress, task, sent }));
    }

    /// Reports the start and the end of a streamed upload: the worker's timeout counts from the end.
    fn track_upload(self: &Rc<Self>, id: &RequestId, parts: &Parts) {
        let RequestBody::Flow(flow) = &parts.body else { return };
        let (driver, flow, request) = (self.clone(), flow.clone(), id.clone());
        self.feed(Event::Uploading { request: request.clone(), over: false });
        self.platform.spawn(async move {
            if flow.ends(&driver.platform).await {
                driver.feed(Event::Uploading { request, over: true });
            }
        });
    }

    fn finish_attempt(self: &Rc<Self>, id: &RequestId, n: usize, attempted: &mut Attempted<P::Stream>) {
        let ended = self.open.borrow_mut().get_mut(id).and_then(|open| {
            open.late |= attempted.outcome == Outcome::Timeout;
            let running = open.attempts.get_mut(n).and_then(Option::take)?;
            Some((running, open.parts.clone()))
        });
        let Some((running, parts)) = ended else { return };
        if let Some(served) = attempted.served.take() {
            self.answer(id, |_| Answer::Served(served));
        }
        // Ignore reports above the maximum cost of a request.
        let true_units = attempted.true_units.filter(|n| self.max_units <= 0.0 || *n <= self.max_units);
        // Latency counts to the first byte of the response, without the time to transfer it.
        let until = attempted.heard.unwrap_or_else(|| self.platform.now());
        let took = until.saturating_duration_since(running.sent);
        self.subsystems.ended(self.micros(), running.worker, attempted.outcome, took);
        self.subsystems.attempt_ended(&parts.id, running.worker, attempted.outcome);
        self.report_attempt_end(id, n, attempted.outcome, took, true_units);
    }

    /// Cancels an attempt. Its connection is closed before the decision logic is notified, so that no further
    /// attempt overlaps with it.
    fn cancel(self: &Rc<Self>, id: &RequestId, n: usize) {
        let slot = self.open.borrow_mut().get_mut(id).and_then(|open| {
            let running = open.attempts.get_mut(n)?.take()?;
            Some((running, open.parts.clone()))
        });
        let Some((running, parts)) = slot else { return };
        let outcome = if running.progress.give_up() { Outcome::Cancelled } else { Outcome::NotSent };
        running.task.abort();
        let took = self.platform.since(running.sent);
        self.subsystems.ended(self.micros(), running.worker, outcome, took);
        self.subsystems.attempt_ended(&parts.id, running.worker, outcome);
        self.report_attempt_end(id, n, outcome, took, None);
    }

    /// Cancels attempts that still wait for a connection to a worker that no longer accepts work, such as a
    /// draining one.
    fn cancel_unsent(self: &Rc<Self>) {
        let mut cancelled = Vec::new();
        for (id, open) in self.open.borrow().iter() {
            for (n, running) in open.attempts.iter().enumerate() {
                if running.as_ref().is_some_and(|r| r.progress.waits() && !self.workers.takes_work(r.worker))
                {
                    cancelled.push((id.clone(), n));
                }
            }
        }
        cancelled.iter().for_each(|(id, n)| self.cancel(id, *n));
    }

    fn report_attempt_end(
        self: &Rc<Self>,
        id: &RequestId,
        attempt: usize,
        outcome: Outcome,
        took: Duration,
        true_units: Option<f64>,
    ) {
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent) {
            self.figures.borrow_mut().attempted();
        }
        let closed = self.open.borrow().get(id).is_none_or(|open| open.reply.is_none());
        self.remove_if_finished(id);
        let latency = took.as_micros() as Micros;
        let request = id.clone();
        self.feed(Event::AttemptDone(AttemptDone { request, attempt, outcome, latency, closed, true_units }));
    }

    /// Answers a client. No other function does.
    fn answer(&self, id: &RequestId, answer: impl FnOnce(&OpenRequest<P>) -> Answer<P::Stream>) {
        if let Some(open) = self.open.borrow_mut().get_mut(id) {
            if let Some(reply) = open.reply.take() {
                let answer = answer(open);
                let result = match &answer {
                    // A streamed response is counted when it ends.
                    Answer::Served(Served { body: ServedBody::Flow(_), .. }) => None,
                    Answer::Served(_) => Some(Ending::Served),
                    Answer::Refused(_) => Some(Ending::Refused),
                    Answer::Failed { .. } => Some(Ending::Failed),
                };
                // Not counted if the client has just disconnected.
                if let (Ok(()), Some(result)) = (reply.send(answer), result) {
                    self.figures.borrow_mut().ended(open.class.0, result);
                }
            }
        }
        self.remove_if_finished(id);
    }

    fn client_gone(self: &Rc<Self>, id: &RequestId) {
        let waited = self.open.borrow_mut().get_mut(id).and_then(|open| open.reply.take());
        if waited.is_some() {
            self.feed(Event::ClientGone(id.clone()));
            self.remove_if_finished(id);
        }
    }

    fn remove_if_finished(&self, id: &RequestId) {
        let mut requests = self.open.borrow_mut();
        if requests
            .get(id)
            .is_some_and(|open| open.reply.is_none() && open.attempts.iter().all(Option::is_none))
        {
            if let Some(finished) = requests.remove(id) {
                self.ids.borrow_mut().remove(&finished.parts.id);
            }
        }
    }
}

/// An admitted request: its ticket and the channel of its answer.
pub type TakenIn<P> = (Ticket<P>, oneshot::Receiver<Answer<<P as Platform>::Stream>>);

/// Represents a waiting client; dropping it signals that the client has disconnected.
pub struct Ticket<P: Platform> {
    driver: Rc<Driver<P>>,
    id: RequestId,
}

impl<P: Platform> Drop for Ticket<P> {
    fn drop(&mut self) {
        self.driver.inflight.set(self.driver.inflight.get() - 1);
        self.driver.client_gone(&self.id);
    }
}
