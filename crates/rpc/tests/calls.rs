//! Client and server over loopback sockets, with peers that send invalid frames, do not answer or restart.

use hingestage_fixtures::{block_on as run, listener, PLENTY};
use hingestage_rpc::{serve, CallError, Client, Handler, OpenConnections, PROTOCOL_VERSION};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};

const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
/// Length of the frame header in bytes.
const HEADER_BYTES: usize = 13;

type DoublerClient = Client<u64, u64>;

/// Doubles numbers; answers odd ones only after an even one has arrived.
#[derive(Default)]
struct Doubler {
    even: Notify,
    waiting: Cell<usize>,
}

impl Handler for Doubler {
    type Request = u64;
    type Answer = u64;

    async fn handle(self: Rc<Self>, _from: SocketAddr, request: u64) -> u64 {
        if request % 2 == 1 {
            self.waiting.set(self.waiting.get() + 1);
            self.even.notified().await;
        } else {
            self.even.notify_waiters();
        }
        request * 2
    }
}

async fn doubler() -> SocketAddr {
    let (listener, addr) = listener().await;
    spawn_local(serve(listener, Rc::new(Doubler::default()), Rc::default()));
    addr
}

/// An odd number and the answer to its call.
type OddCall = JoinHandle<(u64, Result<u64, CallError>)>;

/// Calls that wait until an even number arrives; all of them have been read.
async fn start_odd_calls(client: &Rc<DoublerClient>, handler: &Doubler) -> Vec<OddCall> {
    let start = |number: u64| {
        let client = client.clone();
        spawn_local(async move { (number, client.call(&number, PLENTY).await) })
    };
    let odd: Vec<OddCall> = (0..20).map(|number| start(2 * number + 1)).collect();
    while handler.waiting.get() < odd.len() {
        tokio::task::yield_now().await;
    }
    odd
}

async fn read_call(stream: &mut TcpStream) -> Vec<u8> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await.expect("a header");
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let mut frame = header.to_vec();
    frame.resize(HEADER_BYTES + length, 0);
    stream.read_exact(&mut frame[HEADER_BYTES..]).await.expect("a message");
    frame
}

/// Whether the server closes the connection without an answer to this frame.
async fn closes_connection(frame: &[u8]) -> bool {
    let mut stream = TcpStream::connect(doubler().await).await.expect("a connection");
    stream.write_all(frame).await.expect("sent");
    let mut answer = Vec::new();
    let end = tokio::time::timeout(PLENTY, stream.read_to_end(&mut answer)).await;
    end.is_ok() && answer.is_empty()
}

fn frame(length: u32, version: u8, body: &[u8]) -> Vec<u8> {
    [&length.to_le_bytes()[..], &[version], &7u64.to_le_bytes(), body].concat()
}

#[test]
fn server_closes_connection_on_invalid_frames() {
    run(async {
        assert!(closes_connection(&frame(1, PROTOCOL_VERSION + 1, &[4])).await, "version");
        assert!(closes_connection(&frame(u32::MAX, PROTOCOL_VERSION, &[])).await, "length");
        assert!(closes_connection(&frame(0, PROTOCOL_VERSION, &[])).await, "message");
        assert!(!closes_before_answer(&frame(1, PROTOCOL_VERSION, &[4])).await, "a proper frame");
    });
}

/// Whether the connection closes before the first byte of an answer.
async fn closes_before_answer(frame: &[u8]) -> bool {
    let mut stream = TcpStream::connect(doubler().await).await.expect("a connection");
    stream.write_all(frame).await.expect("sent");
    stream.read_u8().await.is_err()
}

#[test]
fn answer_with_other_protocol_version_breaks_the_call() {
    run(async {
        let (listener, addr) = listener().await;
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let mut answer = read_call(&mut stream).await;
            answer[4] = PROTOCOL_VERSION + 1;
            stream.write_all(&answer).await.expect("sent");
            std::future::pending::<()>().await;
        });
        assert_eq!(DoublerClient::new(addr).call(&4, PLENTY).await, Err(CallError::Broken));
    });
}

#[test]
fn concurrent_calls_are_answered_out_of_order() {
    run(async {
        let (listener, addr) = listener().await;
        let handler = Rc::new(Doubler::default());
        spawn_local(serve(listener, handler.clone(), Rc::default()));
        let client = Rc::new(DoublerClient::new(addr));
        let odd = start_odd_calls(&client, &handler).await;
        assert_eq!(client.call(&4, PLENTY).await, Ok(8));
        for call in odd {
            let (number, answer) = call.await.expect("a call");
            assert_eq!(answer, Ok(2 * number));
        }
    });
}

#[test]
fn timeout_closes_the_connection_and_the_next_call_reconnects() {
    run(async {
        let (listener, addr) = listener().await;
        let client = DoublerClient::new(addr);
        assert_eq!(client.call(&4, SHORT_TIMEOUT).await, Err(CallError::Timeout));
        let (silent, _) = listener.accept().await.expect("the first connection");
        spawn_local(serve(listener, Rc::new(Doubler::default()), Rc::default()));
        assert_eq!(client.call(&4, PLENTY).await, Ok(8));
        drop(silent);
    });
}

#[test]
fn client_reconnects_to_a_restarted_peer() {
    run(async {
        let (listener, addr) = listener().await;
        let client = DoublerClient::new(addr);
        let first_run = async {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let call = read_call(&mut stream).await;
            stream.write_all(&call).await.expect("sent");
        };
        let (answer, ()) = tokio::join!(client.call(&4, PLENTY), first_run);
        assert_eq!(answer, Ok(4));
        // The first connection closes while no call is pending.
        spawn_local(serve(listener, Rc::new(Doubler::default()), Rc::default()));
        assert_eq!(DoublerClient::new(addr).call(&4, PLENTY).await, Ok(8));
        assert_eq!(client.call(&6, PLENTY).await, Ok(12));
    });
}

#[test]
fn closed_connection_is_broken_and_closed_port_is_unreachable() {
    run(async {
        let (listener, addr) = listener().await;
        let client = DoublerClient::new(addr);
        let closes = async { drop(listener.accept().await) };
        let (answer, ()) = tokio::join!(client.call(&4, PLENTY), closes);
        assert_eq!(answer, Err(CallError::Broken));
        drop(listener);
        assert_eq!(client.call(&4, PLENTY).await, Err(CallError::Unreachable));
    });
}

#[test]
fn calls_that_have_been_read_are_answered_after_a_stop() {
    run(async {
        let (listener, addr) = listener().await;
        let handler = Rc::new(Doubler::default());
        let connections: Rc<OpenConnections> = Rc::default();
        spawn_local(serve(listener, handler.clone(), connections.clone()));
        let client = Rc::new(DoublerClient::new(addr));
        let odd = start_odd_calls(&client, &handler).await;
        connections.stop();
        assert!(!connections.all_closed(SHORT_TIMEOUT).await, "closed with calls in progress");
        handler.even.notify_waiters();
        for call in odd {
            let (number, answer) = call.await.expect("the call's task");
            assert_eq!(answer, Ok(2 * number));
        }
        assert!(connections.all_closed(PLENTY).await);
        assert_eq!(DoublerClient::new(addr).call(&4, PLENTY).await, Err(CallError::Unreachable));
    });
}
