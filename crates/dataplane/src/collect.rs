//! Reads the bodies of requests: whole where they are short or there is memory for them.

use crate::body::{BodyLimits, Flow, Joined, RequestBody, HELD};
use bytes::Bytes;
use hingestage_platform::Platform;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::time::Duration;

/// The bounds within which bodies are collected.
#[derive(Clone, Copy, Debug)]
pub struct CollectSettings {
    /// How long a body may be, and how slowly it may come.
    pub limits: BodyLimits,
    /// The longest body that is collected where there is memory for it, bytes. What is longer passes through.
    pub each_max: usize,
    /// Bytes that all bodies longer than [`HELD`] may take together while they are collected.
    pub together_max: usize,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// Its client keeps its reader waiting.
    TooSlow,
    /// Its framing makes no sense, or its connection ended.
    BadFraming,
}

/// Collects bodies within bounds.
pub struct Collector<P: Platform> {
    platform: P,
    settings: CollectSettings,
    /// Bytes taken by bodies that are being collected.
    taken: Cell<usize>,
}

impl<P: Platform> Collector<P> {
    /// None is being collected yet.
    pub fn new(platform: P, settings: CollectSettings) -> Self {
        Collector { platform, settings, taken: Cell::new(0) }
    }

    /// Whether a body is said to be longer than any may be.
    pub fn is_too_long(&self, body: &Incoming) -> bool {
        body.size_hint().lower() > self.settings.limits.longest
    }

    /// Reads a body whole where it is short or there is memory for it, else so far that the rest can pass
    /// through. A client may send it slowly, but must go on. `patience` is how long the client waits for the
    /// answer after the last byte of a body that passes through.
    ///
    /// # Errors
    /// It does not come, or makes no sense.
    pub async fn read(&self, mut body: Incoming, patience: Duration) -> Result<RequestBody, CollectError> {
        if body.is_end_stream() {
            return Ok(RequestBody::Whole(Bytes::new()));
        }
        let BodyLimits { piece_timeout, slowest, .. } = self.settings.limits;
        let length = body.size_hint().exact();
        let mut place = Collected { collector: self, bytes: 0 };
        let mut joined = Joined::default();
        let begun = self.platform.now();
        loop {
            let so_far = joined.len();
            if so_far > HELD && !place.grow(so_far, length) {
                let flow = Flow::new(joined.whole(), body, length, patience, self.settings.limits);
                return Ok(RequestBody::Flow(flow));
            }
            // At the pace of the slowest it would have come so far by now.
            let due = begun + piece_timeout + Duration::from_secs_f64(so_far as f64 / slowest);
            let until = due.min(self.platform.now() + piece_timeout);
            let frame = self.platform.timeout_at(until, body.frame()).await;
            let Some(frame) = frame.map_err(|_| CollectError::TooSlow)? else { break };
            let Ok(data) = frame.map_err(|_| CollectError::BadFraming)?.into_data() else { continue };
            joined.push(data);
        }
        Ok(RequestBody::Whole(joined.whole()))
    }
}

/// Memory that a body takes while it is collected.
struct Collected<'a, P: Platform> {
    collector: &'a Collector<P>,
    bytes: usize,
}

impl<P: Platform> Collected<'_, P> {
    /// Makes room for a body of which so much has come; false where it is too long or there is none.
    fn grow(&mut self, so_far: usize, length: Option<u64>) -> bool {
        let CollectSettings { each_max, together_max, .. } = self.collector.settings;
        if length.unwrap_or(so_far as u64) > each_max as u64 || so_far > each_max {
            return false;
        }
        // Half as much again as has come, so that few pieces ask.
        let wanted = length.map_or(so_far + so_far / 2, |length| length as usize);
        if wanted <= self.bytes {
            return true;
        }
        let taken = self.collector.taken.get() + wanted - self.bytes;
        if taken > together_max {
            return false;
        }
        self.collector.taken.set(taken);
        self.bytes = wanted;
        true
    }
}

impl<P: Platform> Drop for Collected<'_, P> {
    fn drop(&mut self) {
        self.collector.taken.set(self.collector.taken.get() - self.bytes);
    }
}
