//! Readiness endpoint, `GET /ready`.

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

/// Timeout for reading a request's head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, such as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers readiness requests without end.
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
            // Errors affect only this connection.
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
