//! A process that the system stops for a while, as SIGSTOP or a paused machine does: after it goes on, no request is
//! sent whose time is over. Its client has left, and workers may have forgotten its key.

use bytes::Bytes;
use hingestage_dataplane::body::RequestBody;
use hingestage_dataplane::driver::{gatekeeper, Answer, Driver, DriverSettings, IncomingRequest};
use hingestage_dataplane::hooks::DriverHooks;
use hingestage_dataplane::protocol::{Classification, RequestParts, WorkerProtocol};
use hingestage_fixtures::block_on;
use hingestage_platform::{Platform, Tokio};
use hingestage_policy::{
    Class, ClassId, CounterName, CounterOutcome, CustomerId, Limits, ListScope, Micros, Outcome, Plan,
    PlanId, Settings, WorkerId, WorkerInfo, WorkerList,
};
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Method, StatusCode};
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::io;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

const WORKER: WorkerId = WorkerId(1);
/// Time that the client waits.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the process stands still by its clock: longer than any client waits.
const STOPPED: Duration = Duration::from_secs(5);
/// How long it does by the clock of the worker, which reads meanwhile all that was written before.
const PAUSE: Duration = Duration::from_millis(20);
/// No request reads the clock so often.
const MAX_READINGS: usize = 200;
const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";

/// The system's platform, in a process that is stopped right before one of its readings of the clock.
#[derive(Clone, Default)]
struct StoppedPlatform {
    /// Readings until the stop; `None` without one.
    readings_left: Rc<Cell<Option<usize>>>,
    /// When the process went on, by the worker's clock.
    went_on: Rc<Cell<Option<Instant>>>,
}

impl StoppedPlatform {
    fn stop_at_reading(&self, reading: usize) {
        self.readings_left.set(Some(reading));
    }

    /// By how much the clock is ahead of the worker's.
    fn ahead(&self) -> Duration {
        self.went_on.get().map_or(Duration::ZERO, |_| STOPPED)
    }
}

impl Platform for StoppedPlatform {
    type Stream = <Tokio as Platform>::Stream;
    type Listener = <Tokio as Platform>::Listener;
    type Datagrams = <Tokio as Platform>::Datagrams;
    type Sleep = <Tokio as Platform>::Sleep;
    type Timer = <Tokio as Platform>::Timer;
    type Task = <Tokio as Platform>::Task;

    fn now(&self) -> Instant {
        match self.readings_left.get() {
            Some(0) => {
                self.readings_left.set(None);
                std::thread::sleep(PAUSE);
                self.went_on.set(Some(Instant::now()));
            }
            Some(left) => self.readings_left.set(Some(left - 1)),
            None => {}
        }
        Tokio.now() + self.ahead()
    }

    fn unix_time(&self) -> Duration {
        Tokio.unix_time()
    }

    fn sleep_until(&self, at: Instant) -> Self::Sleep {
        Tokio.sleep_until(at - self.ahead())
    }

    fn timer(&self) -> Self::Timer {
        Tokio.timer()
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task {
        Tokio.spawn(task)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<Self::Stream> {
        Tokio.connect(to).await
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<Self::Listener> {
        Tokio.listen(at).await
    }

    async fn datagrams(&self, at: SocketAddr, peer: Option<SocketAddr>) -> io::Result<Self::Datagrams> {
        Tokio.datagrams(at, peer).await
    }

    fn log(&self, line: fmt::Arguments) {
        Tokio.log(line);
    }
}

/// A counter that answers at once, to this gateway alone.
struct OwnCounter;

impl DriverHooks for OwnCounter {
    fn add_to_counter(&self, _name: &CounterName, amount: f64, _keep: Micros) -> Option<CounterOutcome> {
        Some(CounterOutcome::Total(amount))
    }
}

struct TestProtocol;

impl WorkerProtocol for TestProtocol {
    fn write_head(&self, _parts: &RequestParts, _worker: WorkerId, _left: Duration, headers: &mut HeaderMap) {
        headers.insert(HOST, HeaderValue::from_static("worker.local"));
    }

    fn classify(&self, _parts: &RequestParts, _status: StatusCode, _headers: &HeaderMap) -> Classification {
        Classification { outcome: Outcome::Ok, true_units: None }
    }

    fn client_headers(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }
}

/// A worker in a thread of its own. Tells when a request's first byte arrived.
fn start_worker() -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (arrivals, arrived) = channel();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let arrivals = arrivals.clone();
            std::thread::spawn(move || answer_all(stream, &arrivals));
        }
    });
    (addr, arrived)
}

fn answer_all(mut stream: TcpStream, arrivals: &Sender<Instant>) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while stream.read_exact(&mut byte).is_ok() {
        if head.is_empty() {
            let _ = arrivals.send(Instant::now());
        }
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            let _ = stream.write_all(OK_RESPONSE);
        }
    }
}

fn settings() -> DriverSettings {
    let timeout = REQUEST_TIMEOUT.as_micros() as u64;
    let class = Class { aim: timeout / 2, deadline: timeout, ..Class::default() };
    let plan = Plan { rate: 100.0, burst: 100.0, over_quota_cost: 1.0, ..Plan::default() };
    DriverSettings {
        policy: Settings {
            instances: 1,
            limits: Limits { max_attempts: 3, ..Limits::default() },
            classes: vec![class],
            plans: vec![plan],
            ..Settings::default()
        },
        seed: 1,
        class_names: vec!["read".into()],
        max_worker_connections: 8,
        connect_timeout: REQUEST_TIMEOUT,
        worker_idle_timeout: 10 * STOPPED,
        protocol: Rc::new(TestProtocol),
    }
}

fn request(id: &'static str, deadline: Instant) -> IncomingRequest {
    IncomingRequest {
        customer: CustomerId("customer".into()),
        class: ClassId(0),
        plan: PlanId(0),
        units: 1.0,
        gateway_count: 1,
        first_gateway: 0,
        deadline,
        parts: RequestParts {
            method: Method::GET,
            uri: "/".parse().unwrap(),
            id: HeaderValue::from_static(id),
            headers: HeaderMap::new(),
            body: RequestBody::Buffered(Bytes::new()),
        },
    }
}

/// Sends requests on a driver until the process is stopped at a reading of the clock in the last of them. Returns
/// whether there was such a reading, and whether the worker got that request after the process went on.
async fn is_sent_after_stop(reading: usize, requests_before: usize) -> (bool, bool) {
    let platform = StoppedPlatform::default();
    let (addr, arrived) = start_worker();
    let driver = Driver::new(platform.clone(), settings(), Rc::new(OwnCounter), gatekeeper);
    driver.workers.update(WORKER, addr, 1, true);
    driver.update_workers(WorkerList { scope: ListScope::Full, workers: vec![WorkerInfo::ready(WORKER)] });
    for _ in 0..requests_before {
        let (ticket, answer) = driver.admit(request("before", platform.now() + REQUEST_TIMEOUT)).unwrap();
        assert!(matches!(answer.await, Ok(Answer::Served(_))));
        drop(ticket);
        arrived.recv().unwrap();
        // A connection rests before it is used again.
        Tokio.sleep(PAUSE).await;
    }
    let deadline = platform.now() + REQUEST_TIMEOUT;
    platform.stop_at_reading(reading);
    let (ticket, answer) = driver.admit(request("stopped", deadline)).unwrap();
    let _ = Tokio.timeout(REQUEST_TIMEOUT, answer).await;
    drop(ticket);
    Tokio.sleep(PAUSE).await;
    let Some(went_on) = platform.went_on.get() else { return (false, false) };
    (true, arrived.try_iter().any(|at| at > went_on))
}

/// The readings of the clock at which a stop lets a request be sent too late.
fn readings_that_send_late(requests_before: usize) -> Vec<usize> {
    let mut late = Vec::new();
    for reading in 0..MAX_READINGS {
        let (stopped, is_late) = block_on(is_sent_after_stop(reading, requests_before));
        if !stopped {
            assert!(reading > 0, "no reading of the clock");
            return late;
        }
        if is_late {
            late.push(reading);
        }
    }
    panic!("more than {MAX_READINGS} readings of the clock");
}

#[test]
fn a_request_is_not_sent_on_after_its_time_when_the_process_was_stopped() {
    assert_eq!(readings_that_send_late(0), [0usize; 0], "on a new connection");
    assert_eq!(readings_that_send_late(1), [0usize; 0], "on a connection used before");
}
