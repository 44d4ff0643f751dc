//! A token bucket that holds one gateway's part of a common limit.

use crate::part::Mark;
use crate::{micros, Micros, PartMeter};

/// What a level may lack for a whole token by sums of floating-point numbers. It is taken all the same, and missed at
/// the next one, so it doesn't add up.
const ROUNDING: f64 = 1e-9;

/// A limit common to all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimit {
    /// Tokens a second, for all gateways together.
    pub rate: f64,
    /// Tokens that may be given out at once, for all gateways together.
    pub depth: f64,
    /// A level may gather up to this at least, however small the part of the depth is: 1 where every gateway has to
    /// get a token in the long run, 0 where the sum goes first.
    pub least_cap: f64,
}

impl BucketLimit {
    /// How far a level may gather with a share.
    fn cap(&self, share: f64) -> f64 {
        if share > 0.0 {
            (self.depth * share).max(self.least_cap)
        } else {
            0.0
        }
    }
}

/// A token bucket that holds a part of a common limit.
///
/// It refills with the common rate times the share held, and its level never passes the common depth times the
/// smallest share held since its last use. When the limit or the part grows, rate and depth grow but the level doesn't
/// jump; when either shrinks, the level is cut.
///
/// # The sum over all gateways
/// In a window of `W` seconds from `s`, a bucket gives out at most its level at `s` and what it is refilled with. The
/// shares come to at most one at any time, so all levels at `s` come to at most `depth` and all refills to at most
/// `rate x W`. A bucket that begins anew (a restart) begins at a level that the one before it had at least.
///
/// # Tokens lent
/// A gateway that lacks a token may ask others for it, and use what they give within a time `t` of its question. What is
/// given has left a level by then, so at any moment the levels and what is on its way come to at most `depth + rate x t`:
/// the levels of `t` ago, and the refills since. With lending, a window gives out at most `depth + rate x (W + t)`.
///
/// # Depths below one
/// Where the part of the depth is below one token, no whole token would ever be given out. With a `least_cap` of one the
/// level may still gather up to one. This costs at most one token for each gateway: all levels come to at most
/// [`SharedBucket::worst_depth`], which is `max(depth, gateways)` for even parts, and below `depth + gateways` for any.
/// A caller compares this with the depth and the slack that its rule allows, and passes a smaller depth if need be.
/// Where there are more gateways than slack, even parts can't both serve every gateway and keep the rule: a `least_cap`
/// of zero keeps the rule, and gives nothing to gateways with less than a token.
///
/// # Giving back
/// A token that wasn't used comes back, but no token that the bucket would have lost to overflow had it not been given
/// out. `returnable` is what may still come back of the tokens that are out: `level + returnable` is what the window
/// from now on can draw from, and is cut like a level. It grows by refills alone: taking moves a token from the level to
/// `returnable`, giving back moves it to the level again. The bucket doesn't know which of the tokens that are out were
/// cut, so the first ones that come back count as those.
#[derive(Clone, Debug)]
pub struct SharedBucket {
    level: f64,
    returnable: f64,
    limit: BucketLimit,
    used: Mark,
}

impl SharedBucket {
    /// A bucket with a level at the start. The level is cut to the limit and part of the first use.
    pub fn new(meter: &PartMeter, limit: BucketLimit, level_at_start: f64) -> SharedBucket {
        let cap = limit.cap(meter.share());
        let level = level_at_start.clamp(0.0, cap);
        SharedBucket { level, returnable: 0.0, limit, used: meter.mark() }
    }

    /// The most that the levels of so many buckets with even parts and a `least_cap` of one come to.
    pub fn worst_depth(depth: f64, gateways: u32) -> f64 {
        depth.max(f64::from(gateways))
    }

    /// The level as of the last use.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The moment of the last use.
    pub(crate) fn used(&self) -> Mark {
        self.used
    }

    /// Takes one token, or says how long it takes until there is one (`None`: not with this part).
    ///
    /// # Errors
    /// The wait for the next token.
    pub fn try_take(&mut self, meter: &PartMeter, limit: BucketLimit) -> Result<(), Option<Micros>> {
        self.refresh(meter, limit);
        if meter.share() <= 0.0 {
            return Err(None);
        }
        if self.level >= 1.0 - ROUNDING {
            self.level -= 1.0;
            self.returnable += 1.0;
            return Ok(());
        }
        let rate = limit.rate * meter.share();
        Err((rate > 0.0).then(|| micros((1.0 - self.level) / rate)))
    }

    /// Takes one token, made whole by what other gateways lent. What is lent beyond that stays, as far as the part's
    /// depth goes; where both together are no token, it is kept in the same way.
    ///
    /// # Errors
    /// The wait for the next token.
    pub fn try_take_with(
        &mut self,
        meter: &PartMeter,
        limit: BucketLimit,
        lent: f64,
    ) -> Result<(), Option<Micros>> {
        self.refresh(meter, limit);
        let together = self.level + lent;
        let cap = limit.cap(meter.share());
        if together < 1.0 - ROUNDING {
            self.level = together.min(cap);
            return self.try_take(meter, limit);
        }
        // What was lent does not come back where the token is not used.
        self.returnable += (1.0 - lent).max(0.0);
        self.level = (together - 1.0).min(cap);
        Ok(())
    }

    /// Gives tokens away to another gateway, at most so many. They never come back.
    pub fn lend(&mut self, meter: &PartMeter, limit: BucketLimit, most: f64) -> f64 {
        self.refresh(meter, limit);
        let lent = self.level.min(most).max(0.0);
        self.level -= lent;
        lent
    }

    /// A token that was given out has been used for good.
    pub fn settle(&mut self) {
        self.returnable = (self.returnable - 1.0).max(0.0);
    }

    /// A token that was given out has not been used. So many were out, this one included.
    pub fn give_back(&mut self, meter: &PartMeter, out: u32) {
        self.refresh(meter, self.limit);
        let cut = f64::from(out) - self.returnable;
        let back = (1.0 - cut).clamp(0.0, 1.0);
        self.returnable -= back;
        self.level += back;
    }

    /// Brings the bucket up to date, with the limit that holds from now on.
    pub fn refresh(&mut self, meter: &PartMeter, limit: BucketLimit) {
        let lower = BucketLimit {
            rate: self.limit.rate.min(limit.rate),
            depth: self.limit.depth.min(limit.depth),
            least_cap: self.limit.least_cap.min(limit.least_cap),
        };
        let with_returnable = gathered(meter, self.used, self.level + self.returnable, lower);
        self.level = gathered(meter, self.used, self.level, lower);
        self.returnable = self.returnable.min(with_returnable - self.level);
        self.limit = limit;
        self.used = meter.mark();
    }
}

/// What a bucket with a level at a mark has at least gathered by now, if nothing was taken.
///
/// The level was cut to each share that was held in between. It is at least the level with all that was earned, cut to
/// the smallest share; and at least what an empty bucket would have gathered since any later moment.
pub(crate) fn gathered(meter: &PartMeter, since: Mark, level: f64, limit: BucketLimit) -> f64 {
    let filled = |level: f64, since: Mark, lowest: f64| {
        (level + limit.rate * (meter.earned() - since.earned)).min(limit.cap(lowest))
    };
    let whole = filled(level, since, meter.lowest_since(since.at));
    meter.ends_after(since.at).map(|(end, lowest)| filled(0.0, end, lowest)).fold(whole, f64::max)
}
