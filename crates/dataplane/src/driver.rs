//! Owns the decisions, their clock and the open requests: events in, actions out. Each request ends once.

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

/// Time kept back from each client's own, so that the last moment's answer reaches it before it leaves.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// The one final answer to a request.
pub enum Answer<S: Stream> {
    /// A worker's.
    Served(Served<S>),
    /// Trying again is harmless, and best after so long.
    Refused(Micros),
    /// Nothing is promised; whether time ran out.
    Failed {
        /// No worker answered in time.
        late: bool,
    },
}

/// A client's request as the server has read it.
pub struct Taken {
    /// Whose it is.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// The customer's plan.
    pub plan: PlanId,
    /// Units, as guessed.
    pub units: f64,
    /// Gateways that the customer's requests come through.
    pub gateways: u32,
    /// The first of them.
    pub first: u32,
    /// When the client gives up, at the latest.
    pub until: Instant,
    /// What goes on to a worker.
    pub parts: Parts,
}

struct Open<P: Platform> {
    parts: Rc<Parts>,
    class: ClassId,
    /// Where its answer goes; none once it has been given or the client has left.
    reply: Option<oneshot::Sender<Answer<P::Stream>>>,
    /// By number; none once they have ended.
    attempts: Vec<Option<Running<P>>>,
    late: bool,
}

struct Running<P: Platform> {
    worker: WorkerId,
    progress: Rc<Progress<P::Stream>>,
    task: P::Task,
    sent: Instant,
}

/// Makes the decisions of one gateway's life, from settings, seed and the time of its start, µs.
pub type MakeDecisions = fn(Settings, u64, Micros) -> Box<dyn Decide>;

/// The decisions as they are served.
pub fn gatekeeper(settings: Settings, seed: u64, now: Micros) -> Box<dyn Decide> {
    Box::new(Gatekeeper::new(settings, seed, now))
}

/// What a driver goes by.
pub struct DriverSettings {
    /// What the decisions go by.
    pub policy: Settings,
    /// For the decisions' random numbers.
    pub seed: u64,
    /// The names of the classes, for the figures.
    pub class_names: Vec<String>,
    /// Most connections to workers.
    pub workers_max: usize,
    /// A connection to a worker not established by then never is.
    pub connect_timeout: Duration,
    /// A worker closes a connection that has been idle for so long.
    pub worker_idle: Duration,
    /// What is written to workers, and what their answers mean.
    pub dialect: Rc<dyn Dialect>,
}

/// The gateway's heart.
pub struct Driver<P: Platform> {
    /// What all of it runs on.
    pub platform: P,
    /// The workers' side.
    pub workers: Workers<P>,
    /// What became of the requests.
    pub figures: RefCell<Figures>,
    subsystems: Rc<dyn Subsystems>,
    decisions: RefCell<Box<dyn Decide>>,
    /// All gateways share it, because the names of counts hold the number of a slot of time.
    clock: Clock,
    /// In order: what is called off together must not hang on a table's random keys.
    open: RefCell<BTreeMap<RequestId, Open<P>>>,
    /// The clients' own ids of all that is open.
    ids: RefCell<HashSet<HeaderValue>>,
    next: Cell<u64>,
    /// Requests taken whose answers have not been written.
    inflight: Cell<usize>,
    most_units: f64,
    events: RefCell<VecDeque<Event>>,
    feeding: Cell<bool>,
}

impl<P: Platform> Driver<P> {
    /// A driver that has heard nothing yet.
    pub fn new(
        platform: P,
        settings: DriverSettings,
        subsystems: Rc<dyn Subsystems>,
        decide: MakeDecisions,
    ) -> Rc<Self> {
        let clock = Clock::new(&platform);
        let now = clock.micros(platform.now());
        let most_units = settings.policy.max_units;
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
            most_units,
            events: RefCell::default(),
            feeding: Cell::new(false),
        })
    }

    /// The decisions' present: Unix time that runs evenly.
    pub fn micros(&self) -> Micros {
        self.clock.micros(self.platform.now())
    }

    /// Tells the platform how large the tables are that hold what is not over.
    pub fn gauge(&self) {
        self.platform.gauge("open requests", self.open.borrow().len());
        self.platform.gauge("open ids", self.ids.borrow().len());
        self.platform.gauge("pending decisions", self.decisions.borrow().pending());
    }

    /// The figures as operators read them.
    pub fn told_figures(&self, srv: Option<SrvFigures>) -> String {
        let attempts = |open: &Open<P>| {
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

    /// Tells the decisions of something, and does what they want done about it. What that leads to at once
    /// waits its turn, so that actions are carried out in the order in which they were decided.
    pub fn feed(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.feeding.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.micros();
            self.decisions.borrow_mut().handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
        self.feeding.set(false);
    }

    fn act(self: &Rc<Self>, action: Action) {
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
            // The watch is always on.
            Action::Subscribe => {}
        }
    }

    /// News of the workers. What waits for a connection to one that takes no more work is called off.
    pub fn list_workers(self: &Rc<Self>, list: WorkerList) {
        self.subsystems.listed(&list.workers, list.scope);
        self.feed(Event::Workers(list));
        self.recall_unwritten();
    }

    /// Takes a request in. Its answer comes on the channel; dropping the ticket says that the client left.
    /// One whose own id is open already is not taken: at a worker it would be a second copy of the first.
    pub fn take(self: &Rc<Self>, taken: Taken) -> Option<TakenIn<P>> {
        if !self.ids.borrow_mut().insert(taken.parts.id.clone()) {
            return None;
        }
        let plan = self.subsystems.begins(
            self.micros(),
            Beginning {
                customer: &taken.customer,
                class: taken.class,
                plan: taken.plan,
                first: taken.first,
                gateways: taken.gateways,
            },
        );
        self.next.set(self.next.get() + 1);
        let id = RequestId(self.next.get().to_string());
        let (reply, answer) = oneshot::channel();
        let open = Open {
            parts: Rc::new(taken.parts),
            class: taken.class,
            reply: Some(reply),
            attempts: Vec::new(),
            late: false,
        };
        self.inflight.set(self.inflight.get() + 1);
        self.open.borrow_mut().insert(id.clone(), open);
        let left = taken.until.saturating_duration_since(self.platform.now()).saturating_sub(ANSWER_MARGIN);
        self.feed(Event::Request(Request {
            id: id.clone(),
            customer: taken.customer,
            class: Some(taken.class),
            plan,
            units: taken.units,
            gateways: taken.gateways,
            first: taken.first,
            time_left: left.as_micros() as Micros,
        }));
        Some((Ticket { driver: self.clone(), id }, answer))
    }

    /// Requests that found no worker in time, since the start.
    pub fn requests_without_worker(&self) -> u64 {
        self.decisions.borrow().requests_without_worker()
    }

    /// Whether anything may begin.
    pub fn may_begin(&self) -> bool {
        self.subsystems.may_begin()
    }

    /// How often the effect of a class may happen, where a subsystem says so.
    pub fn effect(&self, class: ClassId) -> Option<Effect> {
        self.subsystems.effect(class)
    }

    /// The longest that a client may wait, where a subsystem says so.
    pub fn longest(&self) -> Option<Duration> {
        self.subsystems.longest()
    }

    fn send(self: &Rc<Self>, id: RequestId, worker: WorkerId, timeout: Micros, begin_within: Micros) {
        let mut all = self.open.borrow_mut();
        let Some(open) = all.get_mut(&id) else { return };
        let (parts, n) = (open.parts.clone(), open.attempts.len());
        let progress = Rc::new(Progress::default());
        let sent = self.platform.now();
        let (driver, told, request) = (self.clone(), progress.clone(), id.clone());
        self.follow_upload(&id, &parts);
        // What goes out in pieces is owed no answer yet; its end tells all the same.
        if !matches!(parts.body, RequestBody::Flow(_)) {
            self.subsystems.sent(self.micros(), worker);
        }
        let task = self.platform.spawn(async move {
            let times = Times {
                begin_by: sent + Duration::from_micros(begin_within),
                deadline: sent + Duration::from_micros(timeout),
            };
            let mut attempted = driver.workers.attempt(worker, &parts, times, &told).await;
            driver.attempt_done(&request, n, &mut attempted);
            driver.workers.give_back(worker, attempted).await;
        });
        open.attempts.push(Some(Running { worker, progress, task, sent }));
    }

    /// Tells the decisions while a long body goes out and when it is out: a worker's time counts from then.
    fn follow_upload(self: &Rc<Self>, id: &RequestId, parts: &Parts) {
        let RequestBody::Flow(flow) = &parts.body else { return };
        let (driver, flow, request) = (self.clone(), flow.clone(), id.clone());
        self.feed(Event::Uploading { request: request.clone(), over: false });
        self.platform.spawn(async move {
            if flow.ends(&driver.platform).await {
                driver.feed(Event::Uploading { request, over: true });
            }
        });
    }

    fn attempt_done(self: &Rc<Self>, id: &RequestId, n: usize, attempted: &mut Attempted<P::Stream>) {
        let ended = self.open.borrow_mut().get_mut(id).and_then(|open| {
            open.late |= attempted.outcome == Outcome::Timeout;
            let running = open.attempts.get_mut(n).and_then(Option::take)?;
            Some((running, open.parts.clone()))
        });
        let Some((running, parts)) = ended else { return };
        if let Some(served) = attempted.served.take() {
            self.answer(id, |_| Answer::Served(served));
        }
        // More units than any request has are no figure to charge a customer with.
        let true_units = attempted.true_units.filter(|n| self.most_units <= 0.0 || *n <= self.most_units);
        // What a worker takes to write its answer tells nothing of how long the work took it.
        let until = attempted.heard.unwrap_or_else(|| self.platform.now());
        let took = until.saturating_duration_since(running.sent);
        self.subsystems.ended(self.micros(), running.worker, attempted.outcome, took);
        self.subsystems.attempt_ended(&parts.id, running.worker, attempted.outcome);
        self.tell_end(id, n, attempted.outcome, took, true_units);
    }

    /// Calls an attempt off: its connection ends before the decisions hear of it, so that no further attempt
    /// can be out together with it.
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
        self.tell_end(id, n, outcome, took, None);
    }

    /// Calls off what waits for a connection to a worker that takes no more work: once told of a drain,
    /// nothing new may go out, and a connect that hangs would sit on the request for nothing.
    fn recall_unwritten(self: &Rc<Self>) {
        let mut recalled = Vec::new();
        for (id, open) in self.open.borrow().iter() {
            for (n, running) in open.attempts.iter().enumerate() {
                if running.as_ref().is_some_and(|r| r.progress.waits() && !self.workers.takes_work(r.worker))
                {
                    recalled.push((id.clone(), n));
                }
            }
        }
        recalled.iter().for_each(|(id, n)| self.cancel(id, *n));
    }

    fn tell_end(
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
        self.forget_if_over(id);
        let latency = took.as_micros() as Micros;
        let request = id.clone();
        self.feed(Event::AttemptDone(AttemptDone { request, attempt, outcome, latency, closed, true_units }));
    }

    /// The only place that answers a client.
    fn answer(&self, id: &RequestId, answer: impl FnOnce(&Open<P>) -> Answer<P::Stream>) {
        if let Some(open) = self.open.borrow_mut().get_mut(id) {
            if let Some(reply) = open.reply.take() {
                let answer = answer(open);
                let how = match &answer {
                    // How a long one ends is known when it has passed.
                    Answer::Served(Served { body: ServedBody::Flow(_), .. }) => None,
                    Answer::Served(_) => Some(Ending::Served),
                    Answer::Refused(_) => Some(Ending::Refused),
                    Answer::Failed { .. } => Some(Ending::Failed),
                };
                // A client that has just left needs none.
                if let (Ok(()), Some(how)) = (reply.send(answer), how) {
                    self.figures.borrow_mut().ended(open.class.0, how);
                }
            }
        }
        self.forget_if_over(id);
    }

    fn client_gone(self: &Rc<Self>, id: &RequestId) {
        let waited = self.open.borrow_mut().get_mut(id).and_then(|open| open.reply.take());
        if waited.is_some() {
            self.feed(Event::ClientGone(id.clone()));
            self.forget_if_over(id);
        }
    }

    fn forget_if_over(&self, id: &RequestId) {
        let mut all = self.open.borrow_mut();
        if all.get(id).is_some_and(|o| o.reply.is_none() && o.attempts.iter().all(Option::is_none)) {
            if let Some(over) = all.remove(id) {
                self.ids.borrow_mut().remove(&over.parts.id);
            }
        }
    }
}

/// A request taken in: what stands for its client, and where its answer comes.
pub type TakenIn<P> = (Ticket<P>, oneshot::Receiver<Answer<<P as Platform>::Stream>>);

/// Stands for a client that waits.
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
