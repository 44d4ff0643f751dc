//! HTTP/1.1 messages read byte by byte, as they come. Stand-ins write spoilt ones, so that no library that
//! keeps to the rules would do; heads are parsed by one all the same.

use crate::Peer;
use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The largest head, bytes.
const HEAD_MAX: usize = 64 * 1024;
/// The largest body, bytes.
const BODY_MAX: usize = 256 * 1024;

/// A request or an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Method, path and version, or version, status and reason.
    pub first_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Of a request, its path with the query.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Of an answer, its status; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

/// Why no message came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection ended between two messages.
    Closed,
    /// The connection ended or broke inside one.
    Broken,
    /// What came is no message.
    Nonsense,
}

/// A connection whose messages are read in order.
pub struct Reader<S> {
    /// The connection.
    pub stream: S,
    /// The connection's number as of when nothing had been read.
    id: Option<u64>,
    buffer: BytesMut,
    /// Bytes of messages that were read before.
    passed: u64,
}

impl<S: Peer> Reader<S> {
    /// A connection from which nothing has been read.
    pub fn new(stream: S) -> Self {
        let id = stream.id();
        Reader { stream, id, buffer: BytesMut::new(), passed: 0 }
    }

    /// The connection's number, which stays when the other side resets it; none where it had before it was taken.
    pub fn id(&self) -> Option<u64> {
        self.id
    }

    /// Bytes of messages that were read before: where the next begins.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Whether bytes of a next message have come.
    pub fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads what there is; false at the end. An error counts as an end.
    async fn fill(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(n) if n > 0)
    }

    /// Waits for the first byte of the next message.
    pub async fn begin(&mut self) -> Result<(), End> {
        while self.buffer.is_empty() {
            if !self.fill().await {
                return Err(End::Closed);
            }
        }
        Ok(())
    }

    /// Waits until the connection ends; takes in what comes, up to a bound.
    pub async fn ended(&mut self) {
        while self.fill().await {
            if self.buffer.len() > HEAD_MAX + BODY_MAX {
                return;
            }
        }
    }

    /// Waits for so many bytes of the next message, or its end.
    pub async fn bytes(&mut self, least: usize) -> Result<(), End> {
        while self.buffer.len() < least {
            if !self.fill().await {
                return Err(End::Broken);
            }
        }
        Ok(())
    }

    /// Reads the next message whole.
    pub async fn message(&mut self) -> Result<Message, End> {
        self.begin().await?;
        let (mut message, head) = loop {
            match parse(&self.buffer)? {
                Some(parsed) => break parsed,
                None if self.buffer.len() > HEAD_MAX => return Err(End::Nonsense),
                None => {}
            }
            if !self.fill().await {
                return Err(End::Broken);
            }
        };
        let length = match message.header("content-length") {
            Some(text) => text.parse::<usize>().map_err(|_| End::Nonsense)?,
            None => 0,
        };
        if length > BODY_MAX {
            return Err(End::Nonsense);
        }
        self.bytes(head + length).await?;
        self.buffer.advance(head);
        message.body = self.buffer.split_to(length).to_vec();
        self.passed += (head + length) as u64;
        Ok(message)
    }

    /// Writes bytes; false where the connection has ended.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }
}

/// The head at the start of the bytes and its length, once it is whole.
fn parse(bytes: &[u8]) -> Result<Option<(Message, usize)>, End> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (first_line, head, headers) = if bytes.starts_with(b"HTTP/") {
        let mut answer = httparse::Response::new(&mut headers);
        let parsed = answer.parse(bytes).map_err(|_| End::Nonsense)?;
        let httparse::Status::Complete(head) = parsed else { return Ok(None) };
        (format!("HTTP/1.1 {} ", answer.code.unwrap_or(0)), head, answer.headers)
    } else {
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(bytes).map_err(|_| End::Nonsense)?;
        let httparse::Status::Complete(head) = parsed else { return Ok(None) };
        let line = format!("{} {}", request.method.unwrap_or_default(), request.path.unwrap_or_default());
        (line, head, request.headers)
    };
    let headers = headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    Ok(Some((Message { first_line, headers, body: Vec::new() }, head)))
}
