//! Client for the platform's list, against a fake platform on loopback.

use bytes::Bytes;
use hingestage_fixtures::block_on;
use hingestage_registry::platform_list::{read, ListError};
use hingestage_rpc::workers::WorkerRecord;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Status and body of a response of the fake platform.
type Page = (u16, String);

fn worker(id: &str, state: &str) -> String {
    let rest = r#""backend":"s","addr":"10.128.0.9:8080","zone":"a","serial":"v1","capacity":2"#;
    format!(r#"{{{rest},"state":"{state}","cold_left":"1.5s","id":"{id}"}}"#)
}

fn page(workers: &[String], next: Option<&str>) -> Page {
    let next = next.map_or("null".to_owned(), |token| format!("\"{token}\""));
    (200, format!(r#"{{"members":[{}],"next_token":{next}}}"#, workers.join(",")))
}

/// Starts a fake platform that serves `pages` in order and records the requested URIs.
async fn platform(pages: Vec<Page>) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("its address");
    let requested = Rc::new(RefCell::new(Vec::new()));
    let (pages, log) = (RefCell::new(VecDeque::from(pages)), requested.clone());
    spawn_local(async move {
        let (stream, _) = listener.accept().await.expect("a caller");
        let answer = |request: Request<hyper::body::Incoming>| {
            log.borrow_mut().push(request.uri().to_string());
            let (status, body) = pages.borrow_mut().pop_front().unwrap_or((500, String::new()));
            let mut response = Response::new(Full::<Bytes>::from(body));
            *response.status_mut() = status.try_into().expect("a status");
            async move { Ok::<_, Infallible>(response) }
        };
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)).await;
    });
    (addr, requested)
}

/// Reads the list from a fake platform; returns the result and the requested URIs.
fn read_list(pages: Vec<Page>) -> (Result<Vec<WorkerRecord>, ListError>, Vec<String>) {
    block_on(async {
        let (addr, requested) = platform(pages).await;
        let read = read(addr).await;
        let requested = requested.borrow().clone();
        (read, requested)
    })
}

#[test]
fn all_pages_are_read() {
    let pages = vec![page(&[worker("i-1", "ready")], Some("p-1")), page(&[worker("i-2", "draining")], None)];
    let (workers, requested) = read_list(pages);
    let workers = workers.expect("the list");
    assert_eq!(requested, ["/workers", "/workers?page_token=p-1"]);
    let states: Vec<_> = workers.iter().map(|worker| (worker.id.as_str(), worker.draining)).collect();
    assert_eq!(states, [("i-1", false), ("i-2", true)]);
    assert_eq!((workers[0].capacity, workers[0].cold_left), (2, 1_500));
}

#[test]
fn worker_on_two_pages_is_returned_once_with_its_later_state() {
    let first = page(&[worker("i-1", "ready"), worker("i-2", "ready")], Some("p-2"));
    let (workers, _) =
        read_list(vec![first, page(&[worker("i-2", "draining"), worker("i-3", "ready")], None)]);
    let workers = workers.expect("the list");
    let states: Vec<_> = workers.iter().map(|worker| (worker.id.as_str(), worker.draining)).collect();
    assert_eq!(states, [("i-1", false), ("i-2", true), ("i-3", false)]);
}

#[test]
fn list_with_a_failed_page_is_rejected() {
    let first = || page(&[worker("i-1", "ready")], Some("p-1"));
    let refused = read_list(vec![first(), (429, String::new())]).0;
    assert!(matches!(refused, Err(ListError::Status(429))), "{refused:?}");
    let nonsense = read_list(vec![first(), (200, "{\"members\":".into())]).0;
    assert!(matches!(nonsense, Err(ListError::Unreadable(_))), "{nonsense:?}");
}
