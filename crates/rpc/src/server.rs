//! RPC server: accepts connections and dispatches calls to a handler.

use crate::client::set_socket_options;
use crate::frame::{self, Frame, FrameError};
use bytes::Bytes;
use serde::{de::DeserializeOwned, Serialize};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
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

/// Accepts connections and serves their calls; never returns.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, from)) if open.get() < CONNECTIONS_MAX => {
                open.set(open.get() + 1);
                let (open, handler) = (open.clone(), handler.clone());
                spawn_local(async move {
                    if let Err(
                        error @ (FrameError::Version(_) | FrameError::TooLong(_) | FrameError::Message(_)),
                    ) = serve_connection(stream, from, handler).await
                    {
                        log::warn!("{from}: {error}");
                    }
                    open.set(open.get() - 1);
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
) -> Result<(), FrameError> {
    set_socket_options(&stream);
    let (read, mut write) = stream.into_split();
    let mut read = tokio::io::BufReader::new(read);
    let (answers, mut to_write) = mpsc::channel::<Bytes>(CALLS_PER_CONNECTION_MAX);
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(CALLS_PER_CONNECTION_MAX));
    let writer = spawn_local(async move {
        while let Some(frame) = to_write.recv().await {
            if frame::write(&mut write, &frame).await.is_err() {
                return;
            }
        }
    });
    let result = loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { break Ok(()) };
        let frame: Frame = match frame::read(&mut read).await {
            Ok(frame) => frame,
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
    writer.abort();
    result
}
