//! The requests that one host may send to a target with a limit.

use std::time::Duration;

use crate::{clock::Time, quota::Bucket, unit::Rate};

/// Requests a second from all hosts at least. A target is asked now and then whether its limit,
/// however low, still holds.
const RATE_MIN: f64 = 0.1;
/// Requests that all hosts together may send at once, beyond the rate.
const BURST_BASE: f64 = 1.0;
/// The same for each request a second of the limit.
const BURST_PER_RATE: f64 = 2.0;
/// Time without an answer after which a host without a part of the rate may send one request.
const SILENCE_MIN: Duration = Duration::from_secs(3);

/// A host's place in the order of all hosts for one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Position of the host, from 0. Hosts of the target's region come first.
    pub position: usize,
    /// Hosts among which the rate may be divided: those of the target's region, if there are any.
    pub near: usize,
    /// All hosts.
    pub hosts: usize,
}

/// The requests that one host may send to a target with a limit.
///
/// The first hosts in the order of the target hold equal parts of the rate. Each of them may send
/// its part of the burst at once, at least one request, so that a low rate is divided among few
/// hosts. If the target has not answered for a while, each of the other hosts in turn may send it
/// one request: the hosts that hold the rate may be gone, or have no requests for it, and nobody
/// would notice that the limit has ended.
#[derive(Clone, Debug)]
pub struct Turns {
    rate: f64,
    bucket: Bucket,
    holders: usize,
    place: Place,
    /// Interval of the silence for which the last request of a host without a part was sent.
    last_probe: Option<(Time, u64)>,
}

impl Turns {
    /// Creates the turns of a host that has sent nothing yet. No request may be sent at once, since
    /// the host may just have been restarted.
    pub fn new(now: Time, limit: Rate, place: Place) -> Turns {
        let bucket = Bucket::new(now, 0.0, 0.0);
        let mut turns = Turns { rate: 0.0, bucket, holders: 0, place, last_probe: None };
        turns.set(now, limit, place);
        turns
    }

    /// Changes the limit, or the host's place.
    pub fn set(&mut self, now: Time, limit: Rate, place: Place) {
        let rate = limit.as_per_second().max(RATE_MIN);
        let burst = BURST_BASE + BURST_PER_RATE * rate;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is positive and bounded by the number of hosts"
        )]
        let holders = burst.min(place.near.max(1) as f64) as usize;
        (self.rate, self.holders, self.place) = (rate, holders, place);
        if place.position < holders {
            self.bucket.resize(now, rate / holders as f64, burst / holders as f64);
        } else {
            self.bucket.resize(now, 0.0, 0.0);
        }
    }

    /// Returns the time until the host may send a request, zero if it may do so now; `None` if it
    /// holds no part of the rate and is not next to ask. `confirmed_at` is when an answer of the target
    /// last named the limit.
    pub fn wait(&mut self, now: Time, confirmed_at: Time) -> Option<Duration> {
        if self.place.position < self.holders {
            let missing = 1.0 - self.bucket.level(now);
            if missing <= 0.0 {
                return Some(Duration::ZERO);
            }
            // Rounded up, since a wait of zero allows a request.
            let wait = Duration::from_secs_f64(missing / self.bucket.rate_per_s());
            return Some(wait.max(Duration::from_micros(1)));
        }
        let probe = self.probe(now, confirmed_at)?;
        (self.last_probe != Some(probe)).then_some(Duration::ZERO)
    }

    /// Counts a request that is sent.
    pub fn send(&mut self, now: Time, confirmed_at: Time) {
        if self.bucket.take(now).is_err() {
            self.last_probe = self.probe(now, confirmed_at);
        }
    }

    /// Returns the requests a second that the host may send.
    pub fn rate_per_s(&self) -> f64 {
        self.bucket.rate_per_s()
    }

    /// Returns the interval of the silence in which this host, which holds no part of the rate, may
    /// send one request; `None` if another host may.
    fn probe(&self, now: Time, confirmed_at: Time) -> Option<(Time, u64)> {
        let interval = SILENCE_MIN.max(Duration::from_secs_f64(1.0 / self.rate));
        let number = (now.since(confirmed_at).as_secs_f64() / interval.as_secs_f64()) as u64;
        let others = self.place.hosts.saturating_sub(self.holders).max(1) as u64;
        let next = self.holders as u64 + number.checked_sub(1)? % others;
        (self.place.position as u64 == next).then_some((confirmed_at, number))
    }
}
