//! A host's token bucket for one account.

use std::{collections::VecDeque, time::Duration};

use super::CLOCK_ERROR_MAX;
use crate::clock::Time;

const WAIT_MAX_S: f64 = 60.0;

/// Slack for the rounding of sums, in tokens.
const ROUNDING: f64 = 1e-9;

/// A token bucket whose tokens can be given to other hosts.
///
/// Tokens in transit to another host count towards the burst until they can no longer be accepted,
/// so the burst bounds the tokens at the host and in its messages together.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled: Time,
    in_transit: VecDeque<Transit>,
}

#[derive(Clone, Copy, Debug)]
struct Transit {
    until: Time,
    tokens: f64,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(now: Time, rate_per_s: f64, burst: f64) -> Bucket {
        Bucket { rate_per_s, burst, tokens: 0.0, refilled: now, in_transit: VecDeque::new() }
    }

    /// Returns the share of the rate, in tokens a second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns the share of the burst, in tokens.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Returns the tokens that are available.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Returns the tokens that still fit into the bucket.
    pub fn room(&mut self, now: Time) -> f64 {
        self.refill(now);
        (self.limit() - self.tokens).max(0.0)
    }

    /// Changes rate and burst; tokens beyond the new burst are lost.
    pub fn resize(&mut self, now: Time, rate_per_s: f64, burst: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.tokens = self.tokens.min(self.limit());
    }

    /// Drops all tokens.
    pub fn clear(&mut self, now: Time) {
        self.refill(now);
        self.tokens = 0.0;
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// The time until a token is available.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens + ROUNDING >= 1.0 {
            self.tokens = (self.tokens - 1.0).max(0.0);
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        let wait_s = if self.rate_per_s > 0.0 { missing / self.rate_per_s } else { WAIT_MAX_S };
        Err(Duration::from_secs_f64(wait_s.min(WAIT_MAX_S)))
    }

    /// Takes out up to `wanted` tokens for another host, which accepts them only before `until`.
    pub fn give(&mut self, now: Time, wanted: f64, until: Time) -> f64 {
        self.refill(now);
        let given = wanted.clamp(0.0, self.tokens);
        if given > 0.0 {
            self.tokens -= given;
            self.in_transit.push_back(Transit { until, tokens: given });
        }
        given
    }

    /// Adds tokens from another host; those beyond the burst are lost.
    pub fn put(&mut self, now: Time, tokens: f64) {
        self.refill(now);
        self.tokens = (self.tokens + tokens.max(0.0)).min(self.limit()).max(0.0);
    }

    /// Returns the tokens in transit to other hosts.
    pub fn in_transit(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.in_transit.iter().map(|transit| transit.tokens).sum()
    }

    fn limit(&self) -> f64 {
        let in_transit: f64 = self.in_transit.iter().map(|transit| transit.tokens).sum();
        (self.burst - in_transit).max(0.0)
    }

    /// Adds the tokens due since the last refill. A clock may run fast by `CLOCK_ERROR_MAX`, so the
    /// rate is lowered by as much.
    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        let refill = elapsed * self.rate_per_s * (1.0 - CLOCK_ERROR_MAX);
        self.tokens = (self.tokens + refill).min(self.limit());
        self.refilled = self.refilled.max(now);
        self.in_transit.retain(|transit| transit.until > now);
    }
}
