//! Frames: length, version of the protocol, number of the call, message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the messages. Processes of different versions don't talk.
pub const PROTOCOL_VERSION: u8 = 4;
/// The longest message, bytes: a configuration of the largest size with room to spare.
const MESSAGE_MAX: usize = 64 << 20;
/// Bytes ahead of a message: length, version, number of the call.
const HEAD: usize = 4 + 1 + 8;

/// Why a frame can't be read.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed or ended.
    Io(io::Error),
    /// The peer speaks another version.
    Version(u8),
    /// The peer names a length beyond the limit.
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

/// A message with its number.
pub(crate) struct Frame {
    pub call: u64,
    pub body: Bytes,
}

impl Frame {
    /// Encodes a message.
    pub fn encode<M: Serialize>(call: u64, message: &M) -> Bytes {
        let body = bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap_or_default();
        let mut frame = BytesMut::with_capacity(HEAD + body.len());
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

/// A message with its frame's head, as it goes over a connection: what it costs in bytes.
pub fn encoded<M: Serialize>(message: &M) -> Bytes {
    Frame::encode(0, message)
}

/// Reads the message back from what [`encoded`] gave.
///
/// # Errors
/// The message can't be decoded.
pub fn decoded<M: DeserializeOwned>(framed: &Bytes) -> Result<M, FrameError> {
    Frame { call: 0, body: framed.slice(HEAD.min(framed.len())..) }.decode()
}

/// Reads the next frame.
pub(crate) async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Frame, FrameError> {
    let mut head = [0; HEAD];
    stream.read_exact(&mut head).await?;
    let mut head = &head[..];
    let length = head.get_u32_le() as usize;
    let version = head.get_u8();
    let call = head.get_u64_le();
    if version != PROTOCOL_VERSION {
        return Err(FrameError::Version(version));
    }
    if length > MESSAGE_MAX {
        return Err(FrameError::TooLong(length));
    }
    let mut body = BytesMut::zeroed(length);
    stream.read_exact(&mut body).await?;
    Ok(Frame { call, body: body.freeze() })
}

/// Writes a frame that has been encoded.
pub(crate) async fn write(stream: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    stream.write_all(frame).await?;
    stream.flush().await
}
