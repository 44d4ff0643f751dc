//! RPC server: accepts connections and dispatches calls to a handler.

use crate::client::set_socket_options;
use crate::frame::{self, Frame, FrameError};
use crate::open_connections::OpenConnections;
use bytes::Bytes;
use serde::{de::DeserializeOwned, Serialize};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;

/// Maximum number of open connections.
const CONNECTIONS_MAX: usize = 1_024;
/// Maximum number of concurrent calls on one connection.
const CALLS_PER_CONNECTION_MAX: usize = 64;
/// Pause after a failed `accept`, for example when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the calls of a server.
pub trait Handler: 'static {
    /// Type of the requests.
    type Request: DeserializeOwned;
    /// Type of the answers.
    type Answer: Serialize;

    /// Answers one call, possibly after a wait for a change.
    fn handle(
        self: Rc<Self>,
        from: SocketAddr,
        request: Self::Request,
    ) -> impl Future<Output = Self::Answer> + 'static;
}

/// Accepts connections and serves their calls until `connections` are told to end.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>, connections: Rc<OpenConnections>) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = connections.stopped() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) if connections.count() < CONNECTIONS_MAX => {
                let (open, handler, connections) = (connections.open(), handler.clone(), connections.clone());
                spawn_local(async move {
                    if let Err(
                        error @ (FrameError::Version(_) | FrameError::TooLong(_) | FrameError::Message(_)),
                    ) = serve_connection(stream, from, handler, &connections).await
                    {
                        log::warn!("{from}: {error}");
                    }
                    drop(open);
                });
            }
            Ok((_, from)) => log::warn!("{from}: too many connections"),
            Err(error) => {
                log::warn!("accept: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    from: SocketAddr,
    handler: Rc<H>,
    connections: &OpenConnections,
) -> Result<(), FrameError> {
    set_socket_options(&stream);
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::new(read);
    let (answers, mut to_write) = mpsc::channel::<Bytes>(CALLS_PER_CONNECTION_MAX);
    let permits = Arc::new(Semaphore::new(CALLS_PER_CONNECTION_MAX));
    let writer = spawn_local(async move {
        while let Some(frame) = to_write.recv().await {
            if frame::write(&mut write, &frame).await.is_err() {
                return;
            }
        }
    });
    let result = loop {
        let received = tokio::select! {
            biased;
            received = next_call(&mut read, &permits) => received,
            () = connections.stopped() => break Ok(()),
        };
        let (permit, frame) = match received {
            Ok(received) => received,
            Err(error) => break Err(error),
        };
        let request = match frame.decode() {
            Ok(request) => request,
            Err(error) => break Err(error),
        };
        let (handler, answers) = (handler.clone(), answers.clone());
        spawn_local(async move {
            let answer = handler.handle(from, request).await;
            // The connection may have closed meanwhile.
            let _ = answers.send(Frame::encode(frame.call, &answer)).await;
            drop(permit);
        });
    };
    match result {
        Ok(()) => {
            // The writer ends when all calls are answered.
            drop(answers);
            let _ = writer.await;
        }
        Err(_) => writer.abort(),
    }
    result
}

/// Reads the next call once fewer than [`CALLS_PER_CONNECTION_MAX`] are in progress.
async fn next_call(
    read: &mut BufReader<OwnedReadHalf>,
    permits: &Arc<Semaphore>,
) -> Result<(OwnedSemaphorePermit, Frame), FrameError> {
    let permit =
        permits.clone().acquire_owned().await.map_err(|closed| FrameError::Io(io::Error::other(closed)))?;
    Ok((permit, frame::read(read).await?))
}
