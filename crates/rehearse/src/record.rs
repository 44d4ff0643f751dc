//! What was seen, in the order in which it happened. Nothing is judged while it is written.

use crate::policies::Policies;
use crate::sums::Spent;
use hingestage_rules::asked::Asked;
use hingestage_test_servers::worker::Spec;
use hingestage_test_servers::Seen;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// What a stand-in saw.
    Seen(Seen),
    /// A client is about to ask.
    Asks(String, Asked),
    /// A worker's life.
    Worker(String, u64, Spec),
    /// A gateway's life begins; what it knows of workers: name, state, start.
    Starts(usize, Vec<(String, String, u64)>),
    /// A gateway was killed: what it holds is not its fault.
    Killed(usize),
    /// A gateway was told to end: it answers what it has taken, and what comes then is not its fault.
    Terms(usize),
    /// Another process takes a gateway's place while it serves; what that one knows of workers. What the older one
    /// has taken in it answers.
    Succeeds(usize, Vec<(String, String, u64)>),
    /// A gateway stands still.
    Stops(usize),
    /// It goes on.
    GoesOn(usize),
    /// A connection to a worker ended at the gateway's side.
    ConnEnded(u64),
    /// A gateway ended unasked.
    Crash(usize, String),
    /// A fault strikes or is over.
    Fault(String),
    /// Figures that are read now and then.
    Sample(Sample),
    /// The machine has not run the rehearsal itself in time, since then.
    HeldUp {
        /// When the rehearsal was last known to run.
        since: Instant,
    },
    /// What became of changes of the policy, as the keepers have it at the end.
    Policies(Policies),
}

/// Figures of an instant.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Calls that the counter has had.
    pub calls: u64,
    /// Open connections by worker.
    pub connections: BTreeMap<usize, usize>,
    /// How late the harness itself was, seconds.
    pub lag: f64,
    /// Processor time of all processes.
    pub spent: Spent,
}

/// A connection to a worker.
#[derive(Clone, Copy, Debug)]
struct Conn {
    unique: u64,
    worker: usize,
    /// When the gateway wrote the first byte of the present request.
    began: Instant,
    /// Whether it is still there: what was on its way to the worker comes later than its end.
    open: bool,
}

/// The record of a run.
pub struct Record {
    /// When the run began.
    pub begun: Instant,
    entries: RefCell<Vec<(Instant, Event)>>,
    /// The last connection to workers of each number that workers know it by: as many as there are ports.
    conns: RefCell<BTreeMap<u64, Conn>>,
    uniques: RefCell<u64>,
}

impl Record {
    /// An empty one.
    pub fn new(begun: Instant) -> Rc<Record> {
        let (entries, conns, uniques) = Default::default();
        Rc::new(Record { begun, entries, conns, uniques })
    }

    /// Notes something that happens now.
    pub fn note(&self, event: Event) {
        self.note_at(Instant::now(), event);
    }

    /// Notes something that happened at an instant.
    pub fn note_at(&self, at: Instant, event: Event) {
        self.entries.borrow_mut().push((at, event));
    }

    /// A connection to a worker was opened, known to the worker by `id`. Gives its own number, which no other
    /// has: a port comes again.
    pub fn opened(&self, id: u64, worker: usize) -> u64 {
        *self.uniques.borrow_mut() += 1;
        let unique = *self.uniques.borrow();
        self.conns.borrow_mut().insert(id, Conn { unique, worker, began: Instant::now(), open: true });
        unique
    }

    /// A request begins on a connection.
    pub fn begins(&self, id: u64, at: Instant) {
        self.conns.borrow_mut().entry(id).and_modify(|conn| conn.began = at);
    }

    /// The gateway's side of a connection has ended. The worker may still be at it.
    pub fn ended(&self, unique: u64) {
        self.note(Event::ConnEnded(unique));
    }

    /// The connection is gone at both ends.
    pub fn gone(&self, id: u64, unique: u64) {
        let mut conns = self.conns.borrow_mut();
        conns
            .get_mut(&id)
            .filter(|conn| conn.unique == unique)
            .into_iter()
            .for_each(|conn| conn.open = false);
    }

    /// Open connections by worker.
    pub fn connections(&self) -> BTreeMap<usize, usize> {
        let mut by_worker = BTreeMap::new();
        for conn in self.conns.borrow().values().filter(|conn| conn.open) {
            *by_worker.entry(conn.worker).or_default() += 1;
        }
        by_worker
    }

    /// Notes what a stand-in saw. What a worker says of a connection is put into the words of the gateway's
    /// side: its own number, and the time at which the gateway wrote.
    pub fn see(&self, mut seen: Seen) {
        let conns = self.conns.borrow();
        let of = |id: &u64| conns.get(id).copied();
        match &mut seen {
            Seen::Began { conn, at, .. } | Seen::Whole { conn, began: at, .. } => {
                if let Some(known) = of(conn) {
                    (*conn, *at) = (known.unique, known.began);
                }
            }
            Seen::Answering { conn } | Seen::Wrote { conn, .. } => {
                of(conn).into_iter().for_each(|known| *conn = known.unique);
            }
            _ => {}
        }
        drop(conns);
        self.note(Event::Seen(seen));
    }

    /// All that was noted, in the order in which it was.
    pub fn take(&self) -> Vec<(Instant, Event)> {
        std::mem::take(&mut self.entries.borrow_mut())
    }
}
