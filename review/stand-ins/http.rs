//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The word at a place of the first line.
    pub fn word(&self, place: usize) -> &str {
        self.first_line.split(' ').nth(place).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with what has been read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
    /// Until when to wait for bytes, if there is a limit.
    until: Option<f64>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, ahead: Vec::new(), until: None }
    }

    pub fn connect(addr: SocketAddr, within: Duration) -> Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&addr, within)?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one whole message until a moment of the record at the latest.
    pub fn read_until(&mut self, until: f64) -> Result<Message> {
        self.until = Some(until);
        self.read()
    }

    fn fill(&mut self) -> Result<()> {
        if let Some(until) = self.until {
            let left = until - crate::record::now();
            if left <= 0.001 {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(Duration::from_secs_f64(left)))?;
        }
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => {
                self.ahead.extend_from_slice(&buffer[..n]);
                Ok(())
            }
        }
    }

    fn take(&mut self, n: usize) -> Result<Vec<u8>> {
        while self.ahead.len() < n {
            self.fill()?;
        }
        Ok(self.ahead.drain(..n).collect())
    }

    fn take_line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads one whole message. A body has a length or comes in chunks.
    pub fn read(&mut self) -> Result<Message> {
        let mut message = Message { first_line: self.take_line()?, ..Message::default() };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.take_line()?;
                let length = usize::from_str_radix(line.trim(), 16);
                let length = length.map_err(|_| Error::from(ErrorKind::InvalidData))?;
                let chunk = self.take(length + 2)?;
                message.body.extend_from_slice(&chunk[..length]);
                if length == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = self.take(length)?;
        Ok(message)
    }
}

/// Sends a request on a connection of its own and reads the answer. `within` bounds each wait for bytes.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], within: Duration) -> Result<Message> {
    let mut connection = Connection::connect(addr, within)?;
    connection.stream.set_read_timeout(Some(within))?;
    let length = format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(length.as_bytes());
    bytes.extend_from_slice(body);
    connection.send(&bytes)?;
    connection.read()
}

/// Random bits: a small generator seeded by the time and an address.
pub fn random() -> u64 {
    use std::cell::Cell;
    thread_local!(static STATE: Cell<u64> = const { Cell::new(0) });
    STATE.with(|state| {
        let mut x = state.get();
        if x == 0 {
            let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
            let place = state as *const Cell<u64> as u64;
            x = (time.as_nanos() as u64 ^ place.rotate_left(32) ^ u64::from(std::process::id())) | 1;
        }
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        state.set(x);
        x.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 16
    })
}
