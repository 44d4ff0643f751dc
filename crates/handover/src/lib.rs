//! Passes a listening socket from a process to the one that replaces it.
//!
//! The process in service [`Offer`]s its socket on a Unix socket; whoever connects gets it (`SCM_RIGHTS`,
//! unix(7)) with a greeting that names the version. The connection then stays open: its end tells the older
//! process that the newer one is gone. Both accept from one queue of the kernel, so that no connection is
//! reset when either closes its part.
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

/// What goes with the socket; another version would be another greeting.
const GREETING: &[u8] = b"hingestage 1\n";
/// How long a predecessor may take to answer: it may be busy, and a new process is expected within 6 s.
const PATIENCE: Duration = Duration::from_secs(4);
/// Pause after an offer that could not be taken up.
const PAUSE: Duration = Duration::from_millis(100);

/// Where a process that listens at `listen` offers its socket: in `folder`, which both must share. None for a
/// port that the system chooses, which no successor could name.
pub fn place(folder: &Path, listen: SocketAddr) -> Option<PathBuf> {
    let name = format!("hingestage-{}.sock", listen.to_string().replace([':', '[', ']'], "-"));
    (listen.port() != 0).then(|| folder.join(name))
}

/// A socket taken over.
pub struct Taken {
    /// The predecessor's listening socket.
    pub listener: TcpListener,
    /// The process that it came from.
    pub predecessor: Predecessor,
}

/// A process that has been succeeded. As long as this lives it knows that it has a successor.
pub struct Predecessor {
    _watch: UnixStream,
}

/// Takes the socket over from whoever offers it; none where nobody does.
///
/// # Errors
/// A predecessor is there and gives nothing of use: no answer in time, another version, another address.
pub fn take(place: &Path, listen: SocketAddr) -> io::Result<Option<Taken>> {
    // No file, or one that a killed process has left: nobody is there.
    let Ok(stream) = UnixStream::connect(place) else { return Ok(None) };
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut greeting = [0; GREETING.len()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let got =
        recvmsg(&stream, &mut [IoSliceMut::new(&mut greeting)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let passed = ancillary.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut passed) => passed.next(),
        _ => None,
    });
    if got.bytes == 0 && passed.is_none() {
        // It closed on us: it is ending, and its address will be free.
        return Ok(None);
    }
    if greeting[..got.bytes] != *GREETING {
        return Err(io::Error::other("the process in service speaks another version"));
    }
    let listener =
        TcpListener::from(passed.ok_or_else(|| io::Error::other("no socket came with the greeting"))?);
    if listener.local_addr()? != listen {
        return Err(io::Error::other("the socket passed on listens elsewhere"));
    }
    listener.set_nonblocking(true)?;
    Ok(Some(Taken { listener, predecessor: Predecessor { _watch: stream } }))
}

/// A listening socket on offer to a successor.
pub struct Offer {
    offers: UnixListener,
    listener: TcpListener,
}

impl Offer {
    /// Offers a socket at a place, also where a predecessor did. Only this user can take it.
    ///
    /// # Errors
    /// The place can't be had: no such folder, or a name too long for a socket (108 bytes).
    pub fn new(place: &Path, listener: TcpListener) -> io::Result<Offer> {
        match std::fs::remove_file(place) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let offers = UnixListener::bind(place)?;
        std::fs::set_permissions(place, std::fs::Permissions::from_mode(0o600))?;
        Ok(Offer { offers, listener })
    }

    /// Passes the socket on for ever, to one successor at a time; tells `successor` of each start before it
    /// has the socket, and of its end.
    pub async fn serve(self, successor: impl Fn(bool)) {
        loop {
            let Ok((mut stream, _)) = self.offers.accept().await else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            successor(true);
            if pass(&stream, &self.listener).is_ok() {
                // It has nothing to say; what counts is its end.
                let mut buffer = [0; 16];
                while matches!(stream.read(&mut buffer).await, Ok(n) if n > 0) {}
            }
            successor(false);
        }
    }
}

fn pass(to: impl AsFd, listener: &TcpListener) -> io::Result<()> {
    let passed = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    ancillary.push(SendAncillaryMessage::ScmRights(&passed));
    // So little always has room on a fresh connection.
    match sendmsg(to, &[IoSlice::new(GREETING)], &mut ancillary, SendFlags::NOSIGNAL)? {
        n if n == GREETING.len() => Ok(()),
        _ => Err(io::ErrorKind::WriteZero.into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;

    fn place_of(name: &str) -> PathBuf {
        std::env::temp_dir().join(format!("hingestage-handover-{}-{name}", std::process::id()))
    }

    /// What a peer that says this and then closes gives.
    fn taken_from(name: &str, says: &'static [u8]) -> io::Result<Option<Taken>> {
        let place = place_of(name);
        let offers = std::os::unix::net::UnixListener::bind(&place)?;
        let peer = std::thread::spawn(move || offers.accept().and_then(|(mut to, _)| to.write_all(says)));
        let taken = take(&place, SocketAddr::from(([127, 0, 0, 1], 9)));
        std::fs::remove_file(&place)?;
        peer.join().expect("the peer does not panic")?;
        taken
    }

    #[test]
    fn only_a_socket_with_the_greeting_of_this_version_is_taken() {
        assert!(matches!(take(&place_of("nobody"), SocketAddr::from(([127, 0, 0, 1], 9))), Ok(None)));
        assert!(matches!(taken_from("ending", b""), Ok(None)));
        for (name, says) in [("other", &b"hingestage 2\n"[..]), ("bare", GREETING)] {
            assert!(taken_from(name, says).is_err(), "{name}");
        }
    }

    /// A socket passes with its queue, and its address is looked at.
    #[tokio::test]
    async fn a_socket_passes_and_the_successors_end_is_told() -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (at, place) = (listener.local_addr()?, place_of("passes"));
        let offer = Offer::new(&place, listener)?;
        let (tell, mut told) = tokio::sync::mpsc::unbounded_channel();
        let serving = tokio::spawn(offer.serve(move |serves| {
            let _ = tell.send(serves);
        }));
        for (wanted, passes) in [(at, true), (SocketAddr::from(([127, 0, 0, 1], 9)), false)] {
            let from = place.clone();
            let taken = tokio::task::spawn_blocking(move || take(&from, wanted)).await?;
            assert_eq!(told.recv().await, Some(true));
            assert_eq!(taken.is_ok(), passes);
            if let Ok(Some(taken)) = taken {
                assert_eq!(taken.listener.local_addr()?, at);
            }
            assert_eq!(told.recv().await, Some(false), "its end goes unnoticed");
        }
        serving.abort();
        std::fs::remove_file(&place)
    }
}
