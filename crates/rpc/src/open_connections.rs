//! The open connections of a server, so that a shutdown can answer what has been received.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Counts the open connections of a server and tells them to end. A connection that is told to end reads no further
/// request, answers those it has read, and closes.
#[derive(Default)]
pub struct OpenConnections {
    count: Cell<usize>,
    stopping: Cell<bool>,
    /// Notified when connections are told to end.
    stop_notify: Notify,
    /// Notified when a connection has closed.
    closed_notify: Notify,
}

/// An open connection; it is closed on drop.
pub struct OpenConnection(Rc<OpenConnections>);

impl OpenConnections {
    /// Counts a connection.
    pub fn open(self: &Rc<Self>) -> OpenConnection {
        self.count.set(self.count.get() + 1);
        OpenConnection(self.clone())
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Tells all connections to end.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.stop_notify.notify_waiters();
    }

    /// Whether connections have been told to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Waits until connections are told to end.
    pub async fn stopped(&self) {
        let notified = self.stop_notify.notified();
        if !self.stopping.get() {
            notified.await;
        }
    }

    /// Waits until no connection is open. Returns false if that takes longer than `within`.
    pub async fn all_closed(&self, within: Duration) -> bool {
        let closed = async {
            loop {
                let closed = self.closed_notify.notified();
                if self.count.get() == 0 {
                    return;
                }
                closed.await;
            }
        };
        timeout(within, closed).await.is_ok()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.closed_notify.notify_waiters();
    }
}
