//! A token bucket for one gateway's share of a shared limit.

use crate::share_meter::MeterReading;
use crate::{micros, Micros, ShareMeter};

/// Floating-point tolerance for a whole token. The difference is charged to the next token, so it does not
/// accumulate.
const ROUNDING: f64 = 1e-9;

/// A rate limit shared by all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimit {
    /// Tokens per second, over all gateways.
    pub rate: f64,
    /// Bucket capacity in tokens, over all gateways.
    pub depth: f64,
    /// Minimum capacity of one gateway's bucket, however small its share: 1 lets every gateway accumulate a
    /// token, 0 keeps the total strictly within `depth`.
    pub min_capacity: f64,
}

impl BucketLimit {
    /// Capacity of a bucket that holds `share`.
    fn cap(&self, share: f64) -> f64 {
        if share > 0.0 {
            (self.depth * share).max(self.min_capacity)
        } else {
            0.0
        }
    }
}

/// A token bucket that enforces one gateway's share of a shared limit.
///
/// It refills at the shared rate times the share held, and its level never exceeds the shared depth times the
/// smallest share held since the last use. When the limit or the share grows, rate and capacity grow but the
/// level does not jump; when either shrinks, the level is cut.
///
/// # Bound over all gateways
/// In a window of `W` seconds from `s`, a bucket issues at most its level at `s` plus its refills. The shares
/// never exceed one in total, so all levels at `s` total at most `depth`, and all refills at most `rate x W`.
/// After a restart, a bucket starts no higher than its predecessor's level.
///
/// # Borrowing
/// A gateway may borrow tokens and use them within a time `t` of its request. They have left the lender's level
/// by then, so at any moment the levels and the tokens in transit total at most `depth + rate x t`: the levels
/// `t` ago plus the refills since. With borrowing, a window issues at most `depth + rate x (W + t)`.
///
/// # Capacities below one token
/// If the share of the depth is below one token, no whole token would ever be issued. With a `min_capacity` of one,
/// the level may still reach one. This adds at most one token per gateway: all levels total at most
/// [`SharedBucket::worst_depth`], which is `max(depth, gateways)` for even shares, and less than `depth +
/// gateways` for any. Callers compare this with their depth and slack, and pass a smaller depth if necessary.
/// With more gateways than slack, even shares cannot both serve every gateway and keep the bound: a `min_capacity`
/// of zero keeps the bound and issues nothing to gateways with less than a token.
///
/// # Refunds
/// An unused token is refunded, unless the bucket would have lost it to overflow had it not been issued.
/// `refundable` is the number of issued tokens that may still be refunded; `level + refundable` is capped like
/// a level and grows only by refills: taking moves a token from the level to `refundable`, a refund moves it
/// back. The bucket does not know which issued tokens overflowed, so the first ones returned count as lost.
#[derive(Clone, Debug)]
pub struct SharedBucket {
    level: f64,
    refundable: f64,
    limit: BucketLimit,
    last_used: MeterReading,
}

impl SharedBucket {
    /// Creates a bucket with an initial level, capped by the limit and the share.
    pub fn new(meter: &ShareMeter, limit: BucketLimit, level_at_start: f64) -> SharedBucket {
        let cap = limit.cap(meter.share());
        let level = level_at_start.clamp(0.0, cap);
        SharedBucket { level, refundable: 0.0, limit, last_used: meter.reading() }
    }

    /// Maximum total level over `gateways` buckets with even shares and a `min_capacity` of one.
    pub fn worst_depth(depth: f64, gateways: u32) -> f64 {
        depth.max(f64::from(gateways))
    }

    /// The level as of the last use.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The meter reading at the last use.
    pub(crate) fn last_used(&self) -> MeterReading {
        self.last_used
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until the next token, or `None` if there is none with the current share.
    pub fn try_take(&mut self, meter: &ShareMeter, limit: BucketLimit) -> Result<(), Option<Micros>> {
        self.refresh(meter, limit);
        if meter.share() <= 0.0 {
            return Err(None);
        }
        if self.level >= 1.0 - ROUNDING {
            self.level -= 1.0;
            self.refundable += 1.0;
            return Ok(());
        }
        let rate = limit.rate * meter.share();
        Err((rate > 0.0).then(|| micros((1.0 - self.level) / rate)))
    }

    /// Takes one token with the help of `lent` tokens from other gateways. Unused lent tokens are added to the
    /// level, up to its capacity.
    ///
    /// # Errors
    /// As for [`Self::try_take`].
    pub fn try_take_with(
        &mut self,
        meter: &ShareMeter,
        limit: BucketLimit,
        lent: f64,
    ) -> Result<(), Option<Micros>> {
        self.refresh(meter, limit);
        let available = self.level + lent;
        let cap = limit.cap(meter.share());
        if available < 1.0 - ROUNDING {
            self.level = available.min(cap);
            return self.try_take(meter, limit);
        }
        // The lent fraction is not refundable.
        self.refundable += (1.0 - lent).max(0.0);
        self.level = (available - 1.0).min(cap);
        Ok(())
    }

    /// Removes at most `max` tokens for another gateway and returns their number. They are not refundable.
    pub fn lend(&mut self, meter: &ShareMeter, limit: BucketLimit, max: f64) -> f64 {
        self.refresh(meter, limit);
        let lent = self.level.min(max).max(0.0);
        self.level -= lent;
        lent
    }

    /// Marks an issued token as used.
    pub fn settle(&mut self) {
        self.refundable = (self.refundable - 1.0).max(0.0);
    }

    /// Refunds an unused token. `issued` is the number of issued tokens not yet settled, this one included.
    pub fn refund(&mut self, meter: &ShareMeter, issued: u32) {
        self.refresh(meter, self.limit);
        let lost = f64::from(issued) - self.refundable;
        let refund = (1.0 - lost).clamp(0.0, 1.0);
        self.refundable -= refund;
        self.level += refund;
    }

    /// Refills the bucket up to now and applies the limit that holds from now on.
    pub fn refresh(&mut self, meter: &ShareMeter, limit: BucketLimit) {
        let lower = BucketLimit {
            rate: self.limit.rate.min(limit.rate),
            depth: self.limit.depth.min(limit.depth),
            min_capacity: self.limit.min_capacity.min(limit.min_capacity),
        };
        let with_refundable = refilled_level(meter, self.last_used, self.level + self.refundable, lower);
        self.level = refilled_level(meter, self.last_used, self.level, lower);
        self.refundable = self.refundable.min(with_refundable - self.level);
        self.limit = limit;
        self.last_used = meter.reading();
    }
}

/// Lower bound on the level of a bucket that had `level` at `since`, if nothing was taken in between.
///
/// The level is capped by each share held in between. It is at least the refilled level capped by the smallest
/// share, and at least the level of a bucket that was empty at any later time.
pub(crate) fn refilled_level(meter: &ShareMeter, since: MeterReading, level: f64, limit: BucketLimit) -> f64 {
    let filled = |level: f64, since: MeterReading, lowest: f64| {
        (level + limit.rate * (meter.earned() - since.earned)).min(limit.cap(lowest))
    };
    let from_start = filled(level, since, meter.lowest_since(since.at));
    meter.ends_after(since.at).map(|(end, lowest)| filled(0.0, end, lowest)).fold(from_start, f64::max)
}
