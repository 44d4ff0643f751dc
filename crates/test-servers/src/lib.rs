//! Stand-ins for all that a gateway meets: workers, discovery, the counter, and clients good and bad.
//!
//! They run over the same platform seam as the gateway, on real sockets or in a simulated world, and tell an
//! [`Observer`] what passes. They keep no rules: who judges what they saw does so from their record alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod counter;
pub mod discovery;
pub mod dns;
mod message;
mod peer;
pub mod service_worker;
pub mod site;
pub mod worker;
pub mod worker_list;

pub use message::{End, Message, Reader};
pub use peer::Peer;

use std::rc::Rc;
use std::time::Instant;

/// Something that a stand-in saw or did.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A client begins to write a request.
    Asking {
        /// Its id.
        id: String,
    },
    /// A client has written a request whole.
    Asked {
        /// Its id.
        id: String,
        /// The client's connection.
        conn: u64,
    },
    /// A client has read an answer whole.
    Answered {
        /// To which request.
        id: String,
        /// Its status code.
        status: u16,
        /// Its body.
        body: Vec<u8>,
        /// Advice on when to come back, seconds.
        retry_after: Option<f64>,
    },
    /// A client's connection ended with no whole answer.
    Unanswered {
        /// To which request.
        id: String,
        /// Whether the request had reached the gateway's machine whole before that ended the connection;
        /// none where the platform can't tell.
        taken: Option<bool>,
        /// Whether it was the first request on its connection.
        first: bool,
    },
    /// A client's time is up, or it leaves before.
    Left {
        /// Which request.
        id: String,
        /// Whether its time was up.
        late: bool,
        /// Whether the gateway took its connection in at once: nobody can tell it how long one has stood in
        /// line before that.
        accepted: bool,
    },
    /// Bytes came to a client that it did not wait for.
    Unasked {
        /// The client's connection.
        conn: u64,
    },
    /// A client that behaves badly has got an error or a close, or has waited for too long.
    Rebuked {
        /// What it did.
        what: &'static str,
        /// The status it was answered with, if any; `None` for a close.
        status: Option<u16>,
        /// Whether its time ran out first.
        late: bool,
    },
    /// The first byte of an attempt was written to a worker.
    Began {
        /// Which worker.
        worker: usize,
        /// On which connection.
        conn: u64,
        /// When the gateway wrote it.
        at: Instant,
    },
    /// An attempt has come to a worker whole.
    Whole {
        /// Which worker.
        worker: usize,
        /// On which connection.
        conn: u64,
        /// The request as it came.
        message: Message,
        /// When the gateway wrote its first byte.
        began: Instant,
    },
    /// A worker has begun to run a request: its effect happens.
    Ran {
        /// Which worker.
        worker: usize,
        /// The request's id.
        id: String,
    },
    /// A worker has made an answer. It may never arrive.
    Made {
        /// For which request.
        id: String,
        /// The body.
        body: Vec<u8>,
    },
    /// A worker begins to write an answer, of whatever kind.
    Answering {
        /// On which connection.
        conn: u64,
    },
    /// A worker has written an answer whole, of whatever kind.
    Wrote {
        /// Which worker.
        worker: usize,
        /// On which connection.
        conn: u64,
        /// Whether it says that the request never ran.
        never: bool,
    },
    /// Discovery has written the state of a worker to a gateway.
    Told {
        /// To which gateway.
        gateway: usize,
        /// The worker's name.
        uid: String,
        /// Its state as written.
        state: String,
        /// When it last started, as written: Unix time in milliseconds, 0 for long ago.
        boot_ms: u64,
    },
}

/// Who hears what stand-ins see.
pub type Observer = Rc<dyn Fn(Seen)>;
