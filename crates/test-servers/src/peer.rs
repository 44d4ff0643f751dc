//! What stand-ins ask of a connection beyond what served code does.

use hingestage_platform::Stream;
use socket2::SockRef;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// A connection as a stand-in holds it.
pub trait Peer: Stream {
    /// Lets the drop of this end reset the connection.
    fn reset_on_drop(&self);

    /// A number that tells it from others; none once the other side has reset it, as its address is gone then.
    /// A [`Reader`](crate::Reader) asks for it once and keeps it.
    fn id(&self) -> Option<u64>;

    /// When the program on the other side took the connection in; none while it has not, and the start of the
    /// connection where nobody can tell.
    fn accepted_at(&self) -> Option<Instant>;

    /// How many bytes written here reached the other machine before that ended the connection; none where
    /// nobody can tell.
    fn delivered(&self) -> Option<u64>;

    /// When the other side wrote the byte that ends at this offset; none where nobody can tell. Asked for
    /// with growing offsets.
    fn written_at(&self, offset: u64) -> Option<Instant>;
}

impl Peer for TcpStream {
    fn reset_on_drop(&self) {
        let _ = SockRef::from(self).set_linger(Some(Duration::ZERO));
    }

    fn id(&self) -> Option<u64> {
        let (local, peer) = (self.local_addr().ok()?, self.peer_addr().ok()?);
        Some(u64::from(local.port()) << 16 | u64::from(peer.port()))
    }

    fn accepted_at(&self) -> Option<Instant> {
        // Long ago: a real listener's backlog tells nothing.
        Some(Instant::now() - Duration::from_secs(1))
    }

    fn delivered(&self) -> Option<u64> {
        None
    }

    fn written_at(&self, _: u64) -> Option<Instant> {
        None
    }
}
