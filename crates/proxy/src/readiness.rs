//! `GET /ready`: whether clients are to be sent here.

use crate::server::Proxy;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// How long a caller may take over a request's head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause where the system has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers for ever.
pub(crate) async fn serve(listener: TcpListener, proxy: Rc<Proxy>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let proxy = proxy.clone();
        spawn_local(async move {
            let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
                let status = answer(&proxy, request.method(), request.uri().path());
                async move { Ok::<_, Infallible>(respond(status)) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // A caller that misbehaves ends its own connection and nothing else.
            let _ = connection.await;
        });
    }
}

fn answer(proxy: &Proxy, method: &Method, path: &str) -> StatusCode {
    match (method, path) {
        (&Method::GET, "/ready") if proxy.is_ready() => StatusCode::OK,
        (&Method::GET, "/ready") => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    }
}

fn respond(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
