//! Reads request bodies: buffers short ones and those that fit into the memory budget, streams the others.

use crate::body::{BodyLimits, ChunkBuffer, RequestBody, StreamedBody, BUFFERED_MAX};
use bytes::Bytes;
use hingestage_platform::Platform;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::time::Duration;

/// Limits for buffering request bodies.
#[derive(Clone, Copy, Debug)]
pub struct CollectSettings {
    /// Limits on the size and the pace of bodies.
    pub limits: BodyLimits,
    /// Maximum length of a buffered body, bytes. Longer bodies are streamed.
    pub body_max_bytes: usize,
    /// Memory budget for all bodies longer than [`BUFFERED_MAX`] that are being buffered, bytes.
    pub total_max_bytes: usize,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// The client sends too slowly.
    TooSlow,
    /// The framing is invalid, or the connection was closed.
    BadFraming,
}

/// Reads request bodies within the memory budget.
pub struct Collector<P: Platform> {
    platform: P,
    settings: CollectSettings,
    /// Memory reserved for bodies that are being buffered, bytes.
    reserved: Cell<usize>,
}

impl<P: Platform> Collector<P> {
    /// Creates a collector with the whole budget free.
    pub fn new(platform: P, settings: CollectSettings) -> Self {
        Collector { platform, settings, reserved: Cell::new(0) }
    }

    /// Whether the declared length exceeds the maximum.
    pub fn is_too_long(&self, body: &Incoming) -> bool {
        body.size_hint().lower() > self.settings.limits.max_bytes
    }

    /// Buffers a body if it is short or fits into the memory budget, otherwise returns it as a stream.
    /// `answer_timeout` is how long the client waits for the answer after the last byte of a streamed body.
    ///
    /// # Errors
    ///
    /// The client is too slow, or the framing is invalid.
    pub async fn read(
        &self,
        mut body: Incoming,
        answer_timeout: Duration,
    ) -> Result<RequestBody, CollectError> {
        if body.is_end_stream() {
            return Ok(RequestBody::Buffered(Bytes::new()));
        }
        let BodyLimits { chunk_timeout, min_bytes_per_s, .. } = self.settings.limits;
        let length = body.size_hint().exact();
        let mut reservation = Reservation { collector: self, bytes: 0 };
        let mut buffer = ChunkBuffer::default();
        let started = self.platform.now();
        loop {
            let received = buffer.len();
            if received > BUFFERED_MAX && !reservation.grow(received, length) {
                let body = StreamedBody::new(
                    buffer.into_bytes(),
                    body,
                    length,
                    answer_timeout,
                    self.settings.limits,
                );
                return Ok(RequestBody::Streamed(body));
            }
            // Deadline at the minimum rate.
            let due = started + chunk_timeout + Duration::from_secs_f64(received as f64 / min_bytes_per_s);
            let until = due.min(self.platform.now() + chunk_timeout);
            let frame = self.platform.timeout_at(until, body.frame()).await;
            let Some(frame) = frame.map_err(|_| CollectError::TooSlow)? else { break };
            let Ok(data) = frame.map_err(|_| CollectError::BadFraming)?.into_data() else { continue };
            buffer.push(data);
        }
        Ok(RequestBody::Buffered(buffer.into_bytes()))
    }
}

/// Memory reservation of one body; released on drop.
struct Reservation<'a, P: Platform> {
    collector: &'a Collector<P>,
    bytes: usize,
}

impl<P: Platform> Reservation<'_, P> {
    /// Extends the reservation for a body of which `received` bytes have arrived. Returns false if the body is
    /// too long or the budget is exhausted.
    fn grow(&mut self, received: usize, length: Option<u64>) -> bool {
        let CollectSettings { body_max_bytes, total_max_bytes, .. } = self.collector.settings;
        if length.unwrap_or(received as u64) > body_max_bytes as u64 || received > body_max_bytes {
            return false;
        }
        // Reserve half again as much, so that few chunks need a further reservation.
        let needed = length.map_or(received + received / 2, |length| length as usize);
        if needed <= self.bytes {
            return true;
        }
        let reserved = self.collector.reserved.get() + needed - self.bytes;
        if reserved > total_max_bytes {
            return false;
        }
        self.collector.reserved.set(reserved);
        self.bytes = needed;
        true
    }
}

impl<P: Platform> Drop for Reservation<'_, P> {
    fn drop(&mut self) {
        self.collector.reserved.set(self.collector.reserved.get() - self.bytes);
    }
}
