//! Passes a listening socket from a process to its successor.
//!
//! The running process [`SocketOffer`]s its socket on a Unix socket; a process that connects receives it
//! (`SCM_RIGHTS`, unix(7)) together with a versioned greeting. The connection stays open, so that either
//! process notices the end of the other. Both accept from the same kernel queue, so no connection is reset
//! when one of them closes its descriptor.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::UnixListener;

/// Sent with the socket; contains the protocol version.
const GREETING: &[u8] = b"hingestage 1\n";
/// How long to wait for the predecessor's answer.
const GREETING_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Path of the Unix socket in `folder` for a process that listens at `listen`. `None` for port 0, which a
/// successor could not identify.
pub fn socket_path(folder: &Path, listen: SocketAddr) -> Option<PathBuf> {
    let name = format!("hingestage-{}.sock", listen.to_string().replace([':', '[', ']'], "-"));
    (listen.port() != 0).then(|| folder.join(name))
}

/// A listening socket received from a predecessor.
pub struct TakenOver {
    /// The listening socket.
    pub listener: TcpListener,
    /// The process that passed it on.
    pub predecessor: Predecessor,
}

/// Keeps the connection to the predecessor open, which tells it that its successor is alive.
pub struct Predecessor {
    _watch: UnixStream,
}

/// Takes over the socket offered at `path`, or returns `None` if there is no predecessor.
///
/// # Errors
///
/// The predecessor does not answer in time, uses another version or listens at another address.
pub fn take_over(path: &Path, listen: SocketAddr) -> io::Result<Option<TakenOver>> {
    // No socket file, or one left behind by a killed process.
    let Ok(stream) = UnixStream::connect(path) else { return Ok(None) };
    stream.set_read_timeout(Some(GREETING_TIMEOUT))?;
    let mut greeting = [0; GREETING.len()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let got =
        recvmsg(&stream, &mut [IoSliceMut::new(&mut greeting)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let descriptors = ancillary.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    if got.bytes == 0 && descriptors.is_none() {
        // The predecessor is shutting down; its address will become free.
        return Ok(None);
    }
    if greeting[..got.bytes] != *GREETING {
        return Err(io::Error::other("the predecessor uses another protocol version"));
    }
    let listener =
        TcpListener::from(descriptors.ok_or_else(|| io::Error::other("the greeting carried no socket"))?);
    if listener.local_addr()? != listen {
        return Err(io::Error::other("the received socket listens at another address"));
    }
    listener.set_nonblocking(true)?;
    Ok(Some(TakenOver { listener, predecessor: Predecessor { _watch: stream } }))
}

/// Offers a listening socket to a successor.
pub struct SocketOffer {
    socket: UnixListener,
    listener: TcpListener,
}

impl SocketOffer {
    /// Offers a socket at `path`, replacing a predecessor's offer. Only processes of this user can connect.
    ///
    /// # Errors
    ///
    /// The socket can't be bound: the folder does not exist, or the path exceeds 108 bytes.
    pub fn new(path: &Path, listener: TcpListener) -> io::Result<SocketOffer> {
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let socket = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        Ok(SocketOffer { socket, listener })
    }

    /// Passes the socket on forever, to one successor at a time. Calls `successor` with true before a
    /// successor receives the socket and with false when it has ended.
    pub async fn serve(self, successor: impl Fn(bool)) {
        loop {
            let Ok((mut stream, _)) = self.socket.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            successor(true);
            if send_listener(&stream, &self.listener).is_ok() {
                // The successor sends nothing; wait for the end of the connection.
                let mut buffer = [0; 16];
                while matches!(stream.read(&mut buffer).await, Ok(n) if n > 0) {}
            }
            successor(false);
        }
    }
}

fn send_listener(to: impl AsFd, listener: &TcpListener) -> io::Result<()> {
    let descriptors = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    // A fresh connection always has room for these few bytes.
    match sendmsg(to, &[IoSlice::new(GREETING)], &mut ancillary, SendFlags::NOSIGNAL)? {
        n if n == GREETING.len() => Ok(()),
        _ => Err(io::ErrorKind::WriteZero.into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;

    fn test_path(name: &str) -> PathBuf {
        std::env::temp_dir().join(format!("hingestage-handover-{}-{name}", std::process::id()))
    }

    /// The result of taking over from a peer that sends `says` and closes.
    fn take_over_from(name: &str, says: &'static [u8]) -> io::Result<Option<TakenOver>> {
        let path = test_path(name);
        let socket = std::os::unix::net::UnixListener::bind(&path)?;
        let peer = std::thread::spawn(move || socket.accept().and_then(|(mut to, _)| to.write_all(says)));
        let taken_over = take_over(&path, SocketAddr::from(([127, 0, 0, 1], 9)));
        std::fs::remove_file(&path)?;
        peer.join().expect("the peer does not panic")?;
        taken_over
    }

    #[test]
    fn only_sockets_with_the_current_greeting_are_taken_over() {
        assert!(matches!(take_over(&test_path("nobody"), SocketAddr::from(([127, 0, 0, 1], 9))), Ok(None)));
        assert!(matches!(take_over_from("ending", b""), Ok(None)));
        for (name, says) in [("other", &b"hingestage 2\n"[..]), ("bare", GREETING)] {
            assert!(take_over_from(name, says).is_err(), "{name}");
        }
    }

    /// The socket is passed on, a wrong address is rejected, and the successor's end is noticed.
    #[tokio::test]
    async fn a_socket_is_passed_on_and_the_successors_end_is_noticed() -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (at, path) = (listener.local_addr()?, test_path("accepted"));
        let offer = SocketOffer::new(&path, listener)?;
        let (events, mut received) = tokio::sync::mpsc::unbounded_channel();
        let serving = tokio::spawn(offer.serve(move |serves| {
            let _ = events.send(serves);
        }));
        for (wanted, accepted) in [(at, true), (SocketAddr::from(([127, 0, 0, 1], 9)), false)] {
            let from = path.clone();
            let taken_over = tokio::task::spawn_blocking(move || take_over(&from, wanted)).await?;
            assert_eq!(received.recv().await, Some(true));
            assert_eq!(taken_over.is_ok(), accepted);
            if let Ok(Some(taken_over)) = taken_over {
                assert_eq!(taken_over.listener.local_addr()?, at);
            }
            assert_eq!(received.recv().await, Some(false), "the successor's end was not reported");
        }
        serving.abort();
        std::fs::remove_file(&path)
    }
}
