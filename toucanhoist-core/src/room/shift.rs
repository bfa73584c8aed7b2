use std::time::Duration;

use crate::clock::Time;

/// Requests of one service that a host sends to other regions.
///
/// In each interval the share of the host's own arrivals that cross regions grows by at most the
/// cap over the share of the interval before. Each host enforces this for its own arrivals, so the
/// sum over all hosts complies too, without coordination. Crossings are spread over the interval,
/// so that an interval with other bounds sees little more.
#[derive(Debug)]
pub(crate) struct Shift {
    started: Time,
    arrived: u64,
    crossed: u64,
    share_before: f64,
    tokens: f64,
}

/// Requests that may cross in a burst.
const CROSS_BURST: f64 = 4.0;

impl Shift {
    pub(crate) fn new(now: Time) -> Shift {
        Shift { started: now, arrived: 0, crossed: 0, share_before: 0.0, tokens: 0.0 }
    }

    /// Counts a request of a caller.
    pub(crate) fn arrive(&mut self, now: Time, interval: Duration, cap: f64) {
        self.start_interval(now, interval);
        self.arrived += 1;
        self.tokens = (self.tokens + self.share(cap)).min(CROSS_BURST);
    }

    /// Returns whether one more request may cross.
    pub(crate) fn may_cross(&mut self, now: Time, interval: Duration, cap: f64) -> bool {
        self.start_interval(now, interval);
        self.tokens >= 1.0 && self.is_within_cap(self.crossed + 1, cap)
    }

    /// Counts a crossing request; returns whether the cap holds.
    pub(crate) fn cross(&mut self, cap: f64) -> bool {
        self.crossed += 1;
        self.tokens -= 1.0;
        self.is_within_cap(self.crossed, cap)
    }

    /// Returns the requests that arrived and that crossed in the current interval.
    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.arrived, self.crossed)
    }

    #[allow(clippy::cast_precision_loss, reason = "an interval has far fewer requests than 2^52")]
    fn is_within_cap(&self, crossed: u64, cap: f64) -> bool {
        crossed as f64 <= self.share(cap) * self.arrived as f64
    }

    fn share(&self, cap: f64) -> f64 {
        (self.share_before + cap).min(1.0)
    }

    /// Starts a new interval if the current one has ended.
    #[allow(clippy::cast_precision_loss, reason = "an interval has far fewer requests than 2^52")]
    fn start_interval(&mut self, now: Time, interval: Duration) {
        let elapsed = now.since(self.started);
        if elapsed < interval || interval.is_zero() {
            return;
        }
        let crossed = self.crossed as f64 / self.arrived.max(1) as f64;
        self.share_before = if elapsed < interval * 2 { crossed } else { 0.0 };
        self.started = now;
        (self.arrived, self.crossed) = (0, 0);
        self.tokens = 0.0;
    }
}

/// A host's share of the link to one region, as a token bucket of bits.
#[derive(Debug)]
pub(crate) struct Allowance {
    bits: f64,
    filled: Time,
}

const ALLOWANCE_BURST_TIME: Duration = Duration::from_millis(100);

impl Allowance {
    pub(crate) fn new(now: Time) -> Allowance {
        Allowance { bits: 0.0, filled: now }
    }

    /// Returns whether `bits` are available at a rate of `bits_per_s`.
    pub(crate) fn has(&self, now: Time, bits_per_s: f64, bits: f64) -> bool {
        let burst = bits_per_s * ALLOWANCE_BURST_TIME.as_secs_f64();
        self.filled_bits(now, bits_per_s) >= bits.min(burst)
    }

    /// Takes `bits` at a rate of `bits_per_s`; returns whether they were available.
    pub(crate) fn take(&mut self, now: Time, bits_per_s: f64, bits: f64) -> bool {
        let granted = self.has(now, bits_per_s, bits);
        self.bits = self.filled_bits(now, bits_per_s);
        self.filled = self.filled.max(now);
        if granted {
            self.bits -= bits;
        }
        granted
    }

    fn filled_bits(&self, now: Time, bits_per_s: f64) -> f64 {
        let elapsed = now.since(self.filled).as_secs_f64();
        let burst = bits_per_s * ALLOWANCE_BURST_TIME.as_secs_f64();
        (self.bits + elapsed * bits_per_s).min(burst)
    }

    /// Charges bits that were sent beyond those taken.
    pub(crate) fn charge(&mut self, bits: f64) {
        self.bits -= bits;
    }
}
