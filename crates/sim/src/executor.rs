//! One thread, a virtual clock, and tasks that run until nothing more can be done at an instant.
//!
//! Events of one instant are taken in an order drawn from the seed, one at a time, and after each all tasks
//! that it woke run until none is ready. Of two things that happen at the same time, either may thus come
//! first, and the same seed always gives the same run.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::future::Future;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// A machine of the world; 0 is the world itself.
pub type Host = u32;

pub use hingestage_rules::Nanos;

type Job = Box<dyn FnOnce()>;
type Ready = Arc<Mutex<VecDeque<usize>>>;

enum What {
    Timer(u64),
    Call(Job),
}

struct Due {
    at: Nanos,
    /// Drawn from the seed: the order of what happens at the same instant.
    tie: u64,
    number: u64,
    what: What,
}

impl Due {
    fn key(&self) -> (Nanos, u64, u64) {
        (self.at, self.tie, self.number)
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

struct Bell {
    task: usize,
    ready: Ready,
}

impl Wake for Bell {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        let mut ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        if !ready.contains(&self.task) {
            ready.push_back(self.task);
        }
    }
}

struct Entry {
    host: Host,
    /// None while it runs.
    future: Option<Pin<Box<dyn Future<Output = ()>>>>,
    waker: Waker,
    aborted: bool,
}

/// The heart of a simulated world. Cheap to clone.
#[derive(Clone)]
pub struct Executor(Rc<Inner>);

struct Inner {
    now: Cell<Nanos>,
    base: Instant,
    numbers: Cell<u64>,
    due: RefCell<BinaryHeap<Reverse<Due>>>,
    /// Timers that somebody waits for.
    timers: RefCell<BTreeMap<u64, Option<Waker>>>,
    tasks: RefCell<BTreeMap<usize, Entry>>,
    ready: Ready,
    rng: RefCell<fastrand::Rng>,
    panics: RefCell<Vec<(Host, String)>>,
    steps: Cell<u64>,
    /// What each turn of a task costs a machine, and until when its turns are taken.
    lags: RefCell<BTreeMap<Host, (Nanos, Nanos)>>,
    /// Tasks that wait for their turn on a machine that is busy.
    queued: RefCell<BTreeSet<usize>>,
}

thread_local! {
    static CURRENT: RefCell<Option<Executor>> = const { RefCell::new(None) };
}

/// The world that runs on this thread.
///
/// # Panics
/// Outside of one: simulated handles mean nothing there.
pub fn current() -> Executor {
    CURRENT.with(|c| c.borrow().clone()).expect("no simulated world runs on this thread")
}

impl Executor {
    /// A world at instant 0, and this thread's until the next is made. Ties are drawn from the seed.
    pub fn new(seed: u64) -> Executor {
        let executor = Executor(Rc::new(Inner {
            now: Cell::new(0),
            base: Instant::now(),
            numbers: Cell::new(0),
            due: RefCell::default(),
            timers: RefCell::default(),
            tasks: RefCell::default(),
            ready: Ready::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            panics: RefCell::default(),
            steps: Cell::new(0),
            lags: RefCell::default(),
            queued: RefCell::default(),
        }));
        CURRENT.with(|c| *c.borrow_mut() = Some(executor.clone()));
        executor
    }

    /// Time since the world began.
    pub fn nanos(&self) -> Nanos {
        self.0.now.get()
    }

    /// The same as a point that differences can be taken of; where it lies means nothing.
    pub fn instant(&self) -> Instant {
        self.0.base + Duration::from_nanos(self.nanos())
    }

    /// The point as time since the world began.
    pub fn nanos_of(&self, at: Instant) -> Nanos {
        at.saturating_duration_since(self.0.base).as_nanos() as Nanos
    }

    /// Events taken so far.
    pub fn steps(&self) -> u64 {
        self.0.steps.get()
    }

    /// A draw below `below`, which is above 0.
    pub fn draw(&self, below: u64) -> u64 {
        self.0.rng.borrow_mut().u64(0..below.max(1))
    }

    fn number(&self) -> u64 {
        self.0.numbers.set(self.0.numbers.get() + 1);
        self.0.numbers.get()
    }

    fn push(&self, at: Nanos, what: What) {
        let tie = self.0.rng.borrow_mut().u64(..);
        let due = Due { at: at.max(self.nanos()), tie, number: self.number(), what };
        self.0.due.borrow_mut().push(Reverse(due));
    }

    /// Has a job done at an instant, by the world itself.
    pub fn at(&self, at: Nanos, job: impl FnOnce() + 'static) {
        self.push(at, What::Call(Box::new(job)));
    }

    /// Starts a task of a machine. It runs for the first time before the next event.
    pub fn spawn(&self, host: Host, future: impl Future<Output = ()> + 'static) -> TaskId {
        let task = self.number() as usize;
        let waker = Waker::from(Arc::new(Bell { task, ready: self.0.ready.clone() }));
        waker.wake_by_ref();
        let entry = Entry { host, future: Some(Box::pin(future)), waker, aborted: false };
        self.0.tasks.borrow_mut().insert(task, entry);
        TaskId(task)
    }

    fn abort(&self, TaskId(task): TaskId) {
        if let Some(entry) = self.0.tasks.borrow_mut().get_mut(&task) {
            entry.aborted = true;
            entry.waker.wake_by_ref();
        }
    }

    /// Ends all tasks of a machine at once, as the death of its process does.
    pub fn kill(&self, host: Host) {
        let mut tasks = self.0.tasks.borrow_mut();
        let doomed: Vec<usize> = tasks.iter().filter(|(_, t)| t.host == host).map(|(id, _)| *id).collect();
        let entries: Vec<Entry> = doomed.iter().filter_map(|id| tasks.remove(id)).collect();
        drop(tasks);
        // What they hold is dropped with no table borrowed.
        drop(entries);
    }

    /// Makes each turn of a task on a machine take so long: one at a time, in the order of waking.
    pub fn lag(&self, host: Host, cost: Nanos) {
        self.0.lags.borrow_mut().insert(host, (cost, 0));
    }

    /// Whether a task must wait, its machine being busy; it is run when its turn comes.
    fn waits(&self, id: usize) -> bool {
        let mut lags = self.0.lags.borrow_mut();
        if lags.is_empty() || self.0.queued.borrow().contains(&id) {
            return !lags.is_empty();
        }
        let host = self.0.tasks.borrow().get(&id).map(|task| task.host);
        let Some((cost, busy)) = host.and_then(|host| lags.get_mut(&host)) else { return false };
        let turn = (*busy).max(self.nanos());
        *busy = turn + *cost;
        if turn == self.nanos() {
            return false;
        }
        self.0.queued.borrow_mut().insert(id);
        let executor = self.clone();
        self.at(turn, move || {
            executor.0.queued.borrow_mut().remove(&id);
            executor.run(id);
        });
        true
    }

    /// How many tasks a machine has.
    pub fn tasks_of(&self, host: Host) -> usize {
        self.0.tasks.borrow().values().filter(|t| t.host == host).count()
    }

    /// Panics so far: whose, and what they said.
    pub fn take_panics(&self) -> Vec<(Host, String)> {
        std::mem::take(&mut self.0.panics.borrow_mut())
    }

    /// Takes the next event due by `until` and runs what it wakes. False where there is none.
    pub fn step(&self, until: Nanos) -> bool {
        self.run_ready();
        let next = {
            let mut due = self.0.due.borrow_mut();
            match due.peek() {
                Some(Reverse(first)) if first.at <= until => due.pop(),
                _ => None,
            }
        };
        let Some(Reverse(next)) = next else {
            self.0.now.set(self.nanos().max(until));
            return false;
        };
        self.0.now.set(next.at);
        self.0.steps.set(self.0.steps.get() + 1);
        match next.what {
            What::Call(job) => job(),
            What::Timer(number) => {
                let waker = self.0.timers.borrow_mut().get_mut(&number).and_then(Option::take);
                if let Some(waker) = waker {
                    waker.wake();
                }
            }
        }
        self.run_ready();
        true
    }

    fn run_ready(&self) {
        loop {
            let next = self.0.ready.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
            let Some(id) = next else { return };
            if !self.waits(id) {
                self.run(id);
            }
        }
    }

    fn run(&self, id: usize) {
        let (mut future, waker, host) = {
            let mut tasks = self.0.tasks.borrow_mut();
            let Some(entry) = tasks.get_mut(&id) else { return };
            if entry.aborted {
                let entry = tasks.remove(&id);
                drop(tasks);
                return drop(entry);
            }
            let Some(future) = entry.future.take() else { return };
            (future, entry.waker.clone(), entry.host)
        };
        let polled =
            catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(&mut Context::from_waker(&waker))));
        match polled {
            Ok(Poll::Pending) => {
                // A task that has been ended while it ran (its machine was killed) is dropped here.
                if let Some(entry) = self.0.tasks.borrow_mut().get_mut(&id) {
                    entry.future = Some(future);
                }
            }
            Ok(Poll::Ready(())) => {
                let entry = self.0.tasks.borrow_mut().remove(&id);
                drop((future, entry));
            }
            Err(panic) => {
                let text = panic.downcast_ref::<String>().cloned();
                let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
                self.0.panics.borrow_mut().push((host, text.unwrap_or_else(|| "a panic".into())));
                self.0.tasks.borrow_mut().remove(&id);
                // A value that panicked half way may do so again while it is dropped.
                std::mem::forget(future);
            }
        }
    }

    /// Ends the world: everything in it is dropped.
    pub fn end(&self) {
        loop {
            let tasks = std::mem::take(&mut *self.0.tasks.borrow_mut());
            let due = std::mem::take(&mut *self.0.due.borrow_mut());
            if tasks.is_empty() && due.is_empty() {
                break;
            }
            drop((tasks, due));
        }
        CURRENT.with(|c| c.borrow_mut().take());
    }
}

/// A task that has been started.
#[derive(Clone, Copy, Debug)]
pub struct TaskId(usize);

impl hingestage_platform::Task for TaskId {
    fn abort(&self) {
        if let Some(executor) = CURRENT.with(|c| c.borrow().clone()) {
            executor.abort(*self);
        }
    }
}

/// Ends at an instant.
#[derive(Debug)]
pub struct Sleep {
    at: Instant,
    timer: Option<u64>,
}

impl Sleep {
    /// Ends at `at`, or at once where that is past.
    pub fn until(at: Instant) -> Sleep {
        Sleep { at, timer: None }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        let executor = current();
        if executor.instant() >= self.at {
            return Poll::Ready(());
        }
        let number = match self.timer {
            Some(number) => number,
            None => {
                let number = executor.number();
                executor.push(executor.nanos_of(self.at), What::Timer(number));
                self.timer = Some(number);
                number
            }
        };
        executor.0.timers.borrow_mut().insert(number, Some(cx.waker().clone()));
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        let Some(number) = self.timer else { return };
        if let Some(executor) = CURRENT.with(|c| c.borrow().clone()) {
            executor.0.timers.borrow_mut().remove(&number);
        }
    }
}

impl hyper::rt::Sleep for Sleep {}

#[cfg(test)]
mod tests {
    use super::*;

    fn order(seed: u64) -> Vec<u32> {
        let executor = Executor::new(seed);
        let log = Rc::new(RefCell::new(Vec::new()));
        for n in 0..3 {
            let log = log.clone();
            let at = executor.instant() + Duration::from_millis(5);
            executor.spawn(0, async move {
                Sleep::until(at).await;
                log.borrow_mut().push(n);
            });
        }
        while executor.step(10_000_000) {}
        assert_eq!(executor.nanos(), 10_000_000);
        executor.end();
        Rc::try_unwrap(log).unwrap().into_inner()
    }

    #[test]
    fn ties_come_in_every_order_and_the_same_seed_in_the_same() {
        let orders: std::collections::BTreeSet<Vec<u32>> = (0..200).map(order).collect();
        assert_eq!(orders.len(), 6);
        (0..20).for_each(|seed| assert_eq!(order(seed), order(seed)));
    }

    #[test]
    fn a_killed_machine_leaves_no_task_and_a_panic_is_told() {
        let executor = Executor::new(1);
        executor.spawn(7, std::future::pending());
        executor.spawn(7, async { panic!("{}", "oh") });
        while executor.step(1) {}
        assert_eq!((executor.tasks_of(7), executor.take_panics()), (1, vec![(7, "oh".to_owned())]));
        executor.kill(7);
        assert_eq!(executor.tasks_of(7), 0);
        executor.end();
    }
}
