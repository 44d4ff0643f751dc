//! Drives the decision logic: feeds it events, carries out its actions and owns the open requests. Each
//! request is answered once.

use crate::attempt_progress::AttemptProgress;
use crate::body::RequestBody;
use crate::hooks::{DriverHooks, StartingRequest};
use crate::protocol::{RequestParts, WorkerProtocol};
use crate::workers::{AttemptResult, AttemptTimes, WorkerResponse, WorkerResponseBody, Workers};
use hingestage_lifecycle::{Gauges, Metrics, RequestResult, SrvMetrics};
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
    Served(WorkerResponse<S>),
    /// Refused without side effects; retry after this time.
    Refused(Micros),
    /// Failed; a worker may have executed the request.
    Failed {
        /// Whether the time ran out.
        timed_out: bool,
    },
}

/// A client request as parsed by the server.
pub struct IncomingRequest {
    /// The customer that sent it.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// The customer's plan.
    pub plan: PlanId,
    /// Estimated cost, units.
    pub units: f64,
    /// Number of gateways that serve this customer.
    pub gateway_count: u32,
    /// The first of these gateways.
    pub first_gateway: u32,
    /// The client's deadline.
    pub deadline: Instant,
    /// The request as sent to a worker.
    pub parts: RequestParts,
}

struct OpenRequest<P: Platform> {
    parts: Rc<RequestParts>,
    class: ClassId,
    /// No attempt begins or lasts longer.
    deadline: Instant,
    /// Channel for the answer; `None` once answered or after the client has disconnected.
    reply: Option<oneshot::Sender<Answer<P::Stream>>>,
    /// By attempt number; `None` once the attempt has ended.
    attempts: Vec<Option<RunningAttempt<P>>>,
    timed_out: bool,
}

struct RunningAttempt<P: Platform> {
    worker: WorkerId,
    progress: Rc<AttemptProgress<P::Stream>>,
    task: P::Task,
    sent: Instant,
}

/// Creates the decision logic from its settings, a seed and the start time, µs.
pub type DecisionFactory = fn(Settings, u64, Micros) -> Box<dyn Decide>;

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
    pub max_worker_connections: usize,
    /// Timeout for connecting to a worker.
    pub connect_timeout: Duration,
    /// Idle time after which workers close a connection.
    pub worker_idle_timeout: Duration,
    /// The protocol spoken with workers.
    pub protocol: Rc<dyn WorkerProtocol>,
}

/// Connects the decision logic to clients and workers.
pub struct Driver<P: Platform> {
    /// The platform it runs on.
    pub platform: P,
    /// Connections to workers.
    pub workers: Workers<P>,
    /// Request metrics.
    pub metrics: RefCell<Metrics>,
    hooks: Rc<dyn DriverHooks>,
    decisions: RefCell<Box<dyn Decide>>,
    /// Aligned to Unix time on all gateways, because counter names contain a time slot number.
    clock: Clock,
    /// Ordered, so that the order of cancellations is deterministic.
    open: RefCell<BTreeMap<RequestId, OpenRequest<P>>>,
    /// Client-side ids of all open requests.
    ids: RefCell<HashSet<HeaderValue>>,
    next_id: Cell<u64>,
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
        hooks: Rc<dyn DriverHooks>,
        decide: DecisionFactory,
    ) -> Rc<Self> {
        let clock = Clock::new(&platform);
        let now = clock.micros(platform.now());
        let max_units = settings.policy.max_units;
        Rc::new(Driver {
            workers: Workers::new(
                platform.clone(),
                settings.max_worker_connections,
                settings.connect_timeout,
                settings.worker_idle_timeout,
                settings.protocol,
            ),
            hooks,
            decisions: RefCell::new(decide(settings.policy, settings.seed, now)),
            clock,
            platform,
            open: RefCell::default(),
            ids: RefCell::default(),
            next_id: Cell::new(0),
            metrics: RefCell::new(Metrics::new(&settings.class_names)),
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
    pub fn report_gauges(&self) {
        self.platform.gauge("open requests", self.open.borrow().len());
        self.platform.gauge("open ids", self.ids.borrow().len());
        self.platform.gauge("pending decisions", self.decisions.borrow().pending());
    }

    /// The metrics as JSON.
    pub fn metrics_json(&self, srv: Option<SrvMetrics>) -> String {
        let attempts = |open: &OpenRequest<P>| {
            open.attempts.iter().flatten().filter(|running| running.progress.may_be_received()).count()
        };
        self.metrics.borrow().json(Gauges {
            inflight: self.inflight.get(),
            attempts_in_flight: self.open.borrow().values().map(attempts).sum(),
            hosts_listed: self.workers.count(),
            hosts_down: self.decisions.borrow().avoided(),
            srv,
        })
    }

    /// Passes an event to the decision logic and carries out its actions. Events caused by an action are
    /// queued, so that actions are carried out in the order in which they were decided.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.platform.now();
            self.decisions.borrow_mut().handle(self.clock.micros(now), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action, now);
            }
        }
        self.handling.set(false);
    }

    /// Carries out an action that was decided at `now`. The time limits of an attempt count from there: the system may
    /// have stopped the process since.
    fn perform(self: &Rc<Self>, action: Action, now: Instant) {
        match action {
            Action::Send { request, worker, timeout, begin_within } => {
                let times = AttemptTimes {
                    begin_by: now + Duration::from_micros(begin_within),
                    deadline: now + Duration::from_micros(timeout),
                };
                self.send(request, worker, now, times)
            }
            Action::Cancel { request, attempt } => self.cancel(&request, attempt),
            Action::Refuse { request, retry_after } => {
                self.answer(&request, |_| Answer::Refused(retry_after))
            }
            Action::Fail(request) => {
                self.answer(&request, |open| Answer::Failed { timed_out: open.timed_out })
            }
            Action::SetTimer { token, after } => {
                let driver = self.clone();
                let sleep = self.platform.sleep(Duration::from_micros(after));
                self.platform.spawn(async move {
                    sleep.await;
                    driver.handle_event(Event::Timer(token));
                });
            }
            Action::Count { name, amount, keep } => {
                if let Some(outcome) = self.hooks.add_to_counter(&name, amount, keep) {
                    self.handle_event(Event::Counter { name, outcome });
                }
            }
            // Discovery is always watched.
            Action::Subscribe => {}
        }
    }

    /// Updates the workers and cancels attempts that still wait for a connection to one that no longer
    /// accepts work.
    pub fn update_workers(self: &Rc<Self>, list: WorkerList) {
        self.hooks.on_workers_update(&list.workers, list.scope);
        self.handle_event(Event::Workers(list));
        self.cancel_unsent();
    }

    /// Admits a request. The answer arrives on the channel; dropping the ticket signals that the client has
    /// disconnected. Returns `None` if a request with the same id is open, which a worker would take for a
    /// duplicate.
    pub fn admit(self: &Rc<Self>, incoming: IncomingRequest) -> Option<AdmittedRequest<P>> {
        if !self.ids.borrow_mut().insert(incoming.parts.id.clone()) {
            return None;
        }
        let plan = self.hooks.on_request_start(
            self.micros(),
            StartingRequest {
                customer: &incoming.customer,
                class: incoming.class,
                plan: incoming.plan,
                first_gateway: incoming.first_gateway,
                gateway_count: incoming.gateway_count,
            },
        );
        self.next_id.set(self.next_id.get() + 1);
        let id = RequestId(self.next_id.get().to_string());
        let (reply, answer) = oneshot::channel();
        let deadline = incoming.deadline.checked_sub(ANSWER_MARGIN).unwrap_or(incoming.deadline);
        let open = OpenRequest {
            parts: Rc::new(incoming.parts),
            class: incoming.class,
            deadline,
            reply: Some(reply),
            attempts: Vec::new(),
            timed_out: false,
        };
        self.inflight.set(self.inflight.get() + 1);
        self.open.borrow_mut().insert(id.clone(), open);
        let left = deadline.saturating_duration_since(self.platform.now());
        self.handle_event(Event::Request(Request {
            id: id.clone(),
            customer: incoming.customer,
            class: Some(incoming.class),
            plan,
            units: incoming.units,
            gateways: incoming.gateway_count,
            first: incoming.first_gateway,
            time_left: left.as_micros() as Micros,
        }));
        Some((Ticket { driver: self.clone(), id }, answer))
    }

    /// Number of requests that found no worker in time, since the start.
    pub fn requests_without_worker(&self) -> u64 {
        self.decisions.borrow().requests_without_worker()
    }

    /// Whether new requests may be started.
    pub fn may_start_requests(&self) -> bool {
        self.hooks.may_start_requests()
    }

    /// The delivery guarantee of a class, if a subsystem overrides it.
    pub fn effect(&self, class: ClassId) -> Option<Effect> {
        self.hooks.effect(class)
    }

    /// The maximum client wait, if a subsystem overrides it.
    pub fn max_wait(&self) -> Option<Duration> {
        self.hooks.max_wait()
    }

    fn send(self: &Rc<Self>, id: RequestId, worker: WorkerId, sent: Instant, times: AttemptTimes) {
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(&id) else { return };
        let AttemptTimes { begin_by, deadline } = times;
        let times =
            AttemptTimes { begin_by: begin_by.min(open.deadline), deadline: deadline.min(open.deadline) };
        let (parts, attempt) = (open.parts.clone(), open.attempts.len());
        let progress = Rc::new(self.attempt_progress(&id, attempt));
        let (driver, attempt_progress, request) = (self.clone(), progress.clone(), id.clone());
        self.track_upload(&id, &parts);
        // A worker owes no answer while its request is still being uploaded; only the end of such an attempt
        // is reported.
        if !matches!(parts.body, RequestBody::Streamed(_)) {
            self.hooks.on_attempt_start(self.micros(), worker);
        }
        let task = self.platform.spawn(async move {
            let mut result = driver.workers.attempt(worker, &parts, times, &attempt_progress).await;
            driver.finish_attempt(&request, attempt, &mut result);
            driver.workers.release(worker, result).await;
        });
        open.attempts.push(Some(RunningAttempt { worker, progress, task, sent }));
    }

    /// The progress of a new attempt. The decision logic learns when its response stalls, as only it knows whether
    /// another attempt could follow.
    fn attempt_progress(self: &Rc<Self>, id: &RequestId, attempt: usize) -> AttemptProgress<P::Stream> {
        let (driver, id) = (self.clone(), id.clone());
        AttemptProgress::new(move |stalled| {
            driver.handle_event(Event::Stalled { request: id.clone(), attempt, stalled });
        })
    }

    /// Reports the start and the end of a streamed upload: the worker's timeout counts from the end.
    fn track_upload(self: &Rc<Self>, id: &RequestId, parts: &RequestParts) {
        let RequestBody::Streamed(body) = &parts.body else { return };
        let (driver, body, request) = (self.clone(), body.clone(), id.clone());
        self.handle_event(Event::Uploading { request: request.clone(), over: false });
        self.platform.spawn(async move {
            if body.wait_until_sent(&driver.platform).await {
                driver.handle_event(Event::Uploading { request, over: true });
            }
        });
    }

    fn finish_attempt(
        self: &Rc<Self>,
        id: &RequestId,
        attempt: usize,
        result: &mut AttemptResult<P::Stream>,
    ) {
        let ended = self.open.borrow_mut().get_mut(id).and_then(|open| {
            open.timed_out |= result.outcome == Outcome::Timeout;
            let running = open.attempts.get_mut(attempt).and_then(Option::take)?;
            Some((running, open.parts.clone()))
        });
        let Some((running, parts)) = ended else { return };
        if let Some(served) = result.served.take() {
            self.answer(id, |_| Answer::Served(served));
        }
        // Ignore reports above the maximum cost of a request.
        let true_units = result.true_units.filter(|n| self.max_units <= 0.0 || *n <= self.max_units);
        // Latency counts to the first byte of the response, without the time to transfer it.
        let until = result.first_byte_at.unwrap_or_else(|| self.platform.now());
        let took = until.saturating_duration_since(running.sent);
        self.hooks.on_attempt_end(self.micros(), running.worker, result.outcome, took);
        self.hooks.on_attempt_outcome(&parts.id, running.worker, result.outcome);
        self.report_attempt_end(id, attempt, result.outcome, took, true_units);
    }

    /// Cancels an attempt. Its connection is closed before the decision logic is notified, so that no further
    /// attempt overlaps with it.
    fn cancel(self: &Rc<Self>, id: &RequestId, attempt: usize) {
        let slot = self.open.borrow_mut().get_mut(id).and_then(|open| {
            let running = open.attempts.get_mut(attempt)?.take()?;
            Some((running, open.parts.clone()))
        });
        let Some((running, parts)) = slot else { return };
        let outcome = running.progress.cancel();
        running.task.abort();
        let took = self.platform.since(running.sent);
        self.hooks.on_attempt_end(self.micros(), running.worker, outcome, took);
        self.hooks.on_attempt_outcome(&parts.id, running.worker, outcome);
        self.report_attempt_end(id, attempt, outcome, took, None);
    }

    /// Cancels attempts that still wait for a connection to a worker that no longer accepts work, such as a
    /// draining one.
    fn cancel_unsent(self: &Rc<Self>) {
        let mut cancelled = Vec::new();
        for (id, open) in self.open.borrow().iter() {
            for (attempt, running) in open.attempts.iter().enumerate() {
                if running
                    .as_ref()
                    .is_some_and(|r| r.progress.awaits_connection() && !self.workers.accepts_work(r.worker))
                {
                    cancelled.push((id.clone(), attempt));
                }
            }
        }
        cancelled.iter().for_each(|(id, attempt)| self.cancel(id, *attempt));
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
            self.metrics.borrow_mut().record_attempt();
        }
        let closed = self.open.borrow().get(id).is_none_or(|open| open.reply.is_none());
        self.remove_if_finished(id);
        let latency = took.as_micros() as Micros;
        let request = id.clone();
        self.handle_event(Event::AttemptDone(AttemptDone {
            request,
            attempt,
            outcome,
            latency,
            closed,
            true_units,
        }));
    }

    /// Answers a client. No other function does.
    fn answer(&self, id: &RequestId, answer: impl FnOnce(&OpenRequest<P>) -> Answer<P::Stream>) {
        if let Some(open) = self.open.borrow_mut().get_mut(id) {
            if let Some(reply) = open.reply.take() {
                let answer = answer(open);
                let result = match &answer {
                    // A streamed response is counted when it ends.
                    Answer::Served(WorkerResponse { body: WorkerResponseBody::Streamed(_), .. }) => None,
                    Answer::Served(_) => Some(RequestResult::Served),
                    Answer::Refused(_) => Some(RequestResult::Refused),
                    Answer::Failed { .. } => Some(RequestResult::Failed),
                };
                // Not counted if the client has just disconnected.
                if let (Ok(()), Some(result)) = (reply.send(answer), result) {
                    self.metrics.borrow_mut().record_request(open.class.0, result);
                }
            }
        }
        self.remove_if_finished(id);
    }

    fn client_gone(self: &Rc<Self>, id: &RequestId) {
        let waited = self.open.borrow_mut().get_mut(id).and_then(|open| open.reply.take());
        if waited.is_some() {
            self.handle_event(Event::ClientGone(id.clone()));
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
pub type AdmittedRequest<P> = (Ticket<P>, oneshot::Receiver<Answer<<P as Platform>::Stream>>);

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
