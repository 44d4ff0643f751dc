//! The answering side.

use crate::client::tune;
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

/// Connections at once.
const CONNECTIONS_MAX: usize = 1_024;
/// Calls under way on one connection.
const CALLS_MAX: usize = 64;
/// Pause where the system has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers calls.
pub trait Handler: 'static {
    /// What is asked.
    type Request: DeserializeOwned;
    /// What is answered.
    type Answer: Serialize;

    /// Answers one call, at once or when there is something to tell.
    fn handle(
        self: Rc<Self>,
        from: SocketAddr,
        request: Self::Request,
    ) -> impl Future<Output = Self::Answer> + 'static;
}

/// Takes calls in for ever.
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
                    ) = converse(stream, from, handler).await
                    {
                        log::warn!("{from}: {error}");
                    }
                    open.set(open.get() - 1);
                });
            }
            Ok((_, from)) => log::warn!("{from}: too many connections"),
            Err(error) => {
                log::warn!("accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse<H: Handler>(stream: TcpStream, from: SocketAddr, handler: Rc<H>) -> Result<(), FrameError> {
    tune(&stream);
    let (read, mut write) = stream.into_split();
    let mut read = tokio::io::BufReader::new(read);
    let (answers, mut written) = mpsc::channel::<Bytes>(CALLS_MAX);
    let under_way = std::sync::Arc::new(tokio::sync::Semaphore::new(CALLS_MAX));
    let writer = spawn_local(async move {
        while let Some(frame) = written.recv().await {
            if frame::write(&mut write, &frame).await.is_err() {
                return;
            }
        }
    });
    let result = loop {
        let Ok(permit) = under_way.clone().acquire_owned().await else { break Ok(()) };
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
            // The caller may have gone.
            let _ = answers.send(Frame::encode(frame.call, &answer)).await;
            drop(permit);
        });
    };
    writer.abort();
    result
}
