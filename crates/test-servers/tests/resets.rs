//! A connection is told from others by its number also after the other side has reset it.

use hingestage_test_servers::{Peer, Reader};
use std::net::Ipv4Addr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const REQUEST: &[u8] = b"GET /pull/of/7 HTTP/1.1\r\nRequest-Id: 3be\r\nContent-Length: 0\r\n\r\n";

#[tokio::test]
async fn a_request_read_after_a_reset_is_still_on_its_connection() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let at = listener.local_addr().unwrap();
    let mut near = TcpStream::connect(at).await.unwrap();
    let number = u64::from(at.port()) << 16 | u64::from(near.local_addr().unwrap().port());
    let (far, _) = listener.accept().await.unwrap();
    let mut reader = Reader::new(far);
    near.write_all(REQUEST).await.unwrap();
    reader.stream.readable().await.unwrap();
    near.reset_on_drop();
    drop(near);
    while reader.stream.id().is_some() {
        tokio::task::yield_now().await;
    }
    let message = reader.message().await.unwrap();
    assert_eq!(message.header("request-id"), Some("3be"));
    assert_eq!(reader.id(), Some(number));
}

#[tokio::test]
async fn a_connection_reset_before_it_is_taken_has_no_number() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    near.reset_on_drop();
    drop(near);
    let (far, _) = listener.accept().await.unwrap();
    while far.peer_addr().is_ok() {
        tokio::task::yield_now().await;
    }
    assert_eq!(Reader::new(far).id(), None);
}
