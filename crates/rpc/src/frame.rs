//! Wire frames: message length, protocol version, call number, message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the message types. Peers with different versions reject each other's frames.
pub const PROTOCOL_VERSION: u8 = 4;
/// Maximum message length in bytes; larger than any valid configuration.
const MESSAGE_BYTES_MAX: usize = 64 << 20;
/// Length of the frame header in bytes: message length, protocol version, call number.
const HEADER_BYTES: usize = 4 + 1 + 8;

/// Why a frame could not be read.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed or was closed.
    Io(io::Error),
    /// The peer uses another protocol version.
    Version(u8),
    /// The announced message length exceeds the maximum.
    TooLong(usize),
    /// The message can't be decoded.
    Message(bincode::error::DecodeError),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FrameError::Io(error) => write!(f, "connection: {error}"),
            FrameError::Version(version) => write!(f, "protocol version {version}"),
            FrameError::TooLong(length) => write!(f, "a message of {length} bytes"),
            FrameError::Message(error) => write!(f, "message: {error}"),
        }
    }
}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        FrameError::Io(error)
    }
}

/// An encoded message and its call number.
pub(crate) struct Frame {
    pub call: u64,
    pub body: Bytes,
}

impl Frame {
    /// Encodes a message with its frame header.
    pub fn encode<M: Serialize>(call: u64, message: &M) -> Bytes {
        let body = bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap_or_default();
        let mut frame = BytesMut::with_capacity(HEADER_BYTES + body.len());
        frame.put_u32_le(body.len() as u32);
        frame.put_u8(PROTOCOL_VERSION);
        frame.put_u64_le(call);
        frame.put_slice(&body);
        frame.freeze()
    }

    /// Decodes the message.
    pub fn decode<M: DeserializeOwned>(&self) -> Result<M, FrameError> {
        bincode::serde::decode_from_slice(&self.body, bincode::config::standard())
            .map(|(message, _)| message)
            .map_err(FrameError::Message)
    }
}

/// Encodes a message as a frame with call number 0; used to measure messages and to carry them without a socket.
pub fn encoded<M: Serialize>(message: &M) -> Bytes {
    Frame::encode(0, message)
}

/// Decodes a frame made by [`encoded`].
///
/// # Errors
/// The message can't be decoded.
pub fn decoded<M: DeserializeOwned>(framed: &Bytes) -> Result<M, FrameError> {
    Frame { call: 0, body: framed.slice(HEADER_BYTES.min(framed.len())..) }.decode()
}

/// Reads the next frame.
pub(crate) async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Frame, FrameError> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let mut header = &header[..];
    let length = header.get_u32_le() as usize;
    let version = header.get_u8();
    let call = header.get_u64_le();
    if version != PROTOCOL_VERSION {
        return Err(FrameError::Version(version));
    }
    if length > MESSAGE_BYTES_MAX {
        return Err(FrameError::TooLong(length));
    }
    let mut body = BytesMut::zeroed(length);
    stream.read_exact(&mut body).await?;
    Ok(Frame { call, body: body.freeze() })
}

/// Writes an encoded frame.
pub(crate) async fn write(stream: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    stream.write_all(frame).await?;
    stream.flush().await
}
