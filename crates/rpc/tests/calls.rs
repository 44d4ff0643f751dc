//! Calls over loopback sockets, with peers that speak wrongly, fall silent or start again.

use hingestage_fixtures::{block_on as run, listener, PLENTY};
use hingestage_rpc::{serve, CallError, Client, Handler, PROTOCOL_VERSION};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

const SHORT: Duration = Duration::from_millis(50);
/// Bytes ahead of a message: length, version, number of the call.
const HEAD: usize = 13;

type Doubling = Client<u64, u64>;

/// Doubles a number; odd ones only once an even one has come.
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
    spawn_local(serve(listener, Rc::new(Doubler::default())));
    addr
}

async fn read_call(stream: &mut TcpStream) -> Vec<u8> {
    let mut head = [0; HEAD];
    stream.read_exact(&mut head).await.expect("a head");
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut frame = head.to_vec();
    frame.resize(HEAD + length, 0);
    stream.read_exact(&mut frame[HEAD..]).await.expect("a message");
    frame
}

/// Sends a frame as a stranger, and tells whether the server ends the connection without an answer.
async fn is_hung_up_on(frame: &[u8]) -> bool {
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
fn a_server_hangs_up_on_another_version_on_too_long_a_frame_and_on_what_it_cannot_decode() {
    run(async {
        assert!(is_hung_up_on(&frame(1, PROTOCOL_VERSION + 1, &[4])).await, "version");
        assert!(is_hung_up_on(&frame(u32::MAX, PROTOCOL_VERSION, &[])).await, "length");
        assert!(is_hung_up_on(&frame(0, PROTOCOL_VERSION, &[])).await, "message");
        assert!(!is_hung_up_on_at_once(&frame(1, PROTOCOL_VERSION, &[4])).await, "a proper frame");
    });
}

/// The same for a frame that is answered: the first bytes decide.
async fn is_hung_up_on_at_once(frame: &[u8]) -> bool {
    let mut stream = TcpStream::connect(doubler().await).await.expect("a connection");
    stream.write_all(frame).await.expect("sent");
    stream.read_u8().await.is_err()
}

#[test]
fn an_answer_of_another_version_breaks_the_call() {
    run(async {
        let (listener, addr) = listener().await;
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let mut answer = read_call(&mut stream).await;
            answer[4] = PROTOCOL_VERSION + 1;
            stream.write_all(&answer).await.expect("sent");
            std::future::pending::<()>().await;
        });
        assert_eq!(Doubling::new(addr).call(&4, PLENTY).await, Err(CallError::Broken));
    });
}

#[test]
fn many_calls_share_a_connection_and_a_later_one_may_be_answered_first() {
    run(async {
        let (listener, addr) = listener().await;
        let handler = Rc::new(Doubler::default());
        spawn_local(serve(listener, handler.clone()));
        let client = Rc::new(Doubling::new(addr));
        let odd: Vec<_> = (0..20u64)
            .map(|number| {
                let client = client.clone();
                spawn_local(async move { (number, client.call(&(2 * number + 1), PLENTY).await) })
            })
            .collect();
        while handler.waiting.get() < odd.len() {
            tokio::task::yield_now().await;
        }
        assert_eq!(client.call(&4, PLENTY).await, Ok(8));
        for call in odd {
            let (number, answer) = call.await.expect("a call");
            assert_eq!(answer, Ok(4 * number + 2));
        }
    });
}

#[test]
fn a_silent_peer_costs_the_time_given_and_the_next_call_takes_a_new_connection() {
    run(async {
        let (listener, addr) = listener().await;
        let client = Doubling::new(addr);
        assert_eq!(client.call(&4, SHORT).await, Err(CallError::Timeout));
        let (silent, _) = listener.accept().await.expect("the first connection");
        spawn_local(serve(listener, Rc::new(Doubler::default())));
        assert_eq!(client.call(&4, PLENTY).await, Ok(8));
        drop(silent);
    });
}

#[test]
fn a_peer_that_has_started_again_is_found_by_the_next_call() {
    run(async {
        let (listener, addr) = listener().await;
        let client = Doubling::new(addr);
        let first_life = async {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let call = read_call(&mut stream).await;
            stream.write_all(&call).await.expect("sent");
        };
        let (answer, ()) = tokio::join!(client.call(&4, PLENTY), first_life);
        assert_eq!(answer, Ok(4));
        // The end of the first connection arrives while nothing is asked.
        spawn_local(serve(listener, Rc::new(Doubler::default())));
        assert_eq!(Doubling::new(addr).call(&4, PLENTY).await, Ok(8));
        assert_eq!(client.call(&6, PLENTY).await, Ok(12));
    });
}

#[test]
fn a_peer_that_is_not_there_is_unreachable_and_one_that_goes_breaks_the_call() {
    run(async {
        let (listener, addr) = listener().await;
        let client = Doubling::new(addr);
        let goes = async { drop(listener.accept().await) };
        let (answer, ()) = tokio::join!(client.call(&4, PLENTY), goes);
        assert_eq!(answer, Err(CallError::Broken));
        drop(listener);
        assert_eq!(client.call(&4, PLENTY).await, Err(CallError::Unreachable));
    });
}
