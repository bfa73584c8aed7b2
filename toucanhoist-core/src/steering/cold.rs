//! Limit on the requests that a cold target gets.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Time;

/// Window in which requests are counted; slightly longer than a second, since requests arrive
/// unevenly.
const WINDOW: Duration = Duration::from_millis(1_150);

/// Requests that one host sent to a target while it was cold.
///
/// The rate that the target tolerates is divided evenly among the hosts. Where that leaves less
/// than one request a second, only some hosts send, chosen by rendezvous hashing.
#[derive(Clone, Debug, Default)]
pub struct ColdLimit {
    sent: VecDeque<Time>,
    /// Time from which it is known what the host has sent.
    known_from: Time,
}

impl ColdLimit {
    /// Creates the limit of a host, which may have sent requests before it was restarted.
    pub fn new(restarted: Option<Time>) -> ColdLimit {
        let known_from = restarted.map_or(Time::ZERO, |restarted| restarted + WINDOW);
        ColdLimit { sent: VecDeque::new(), known_from }
    }

    /// Returns the requests a second that one host may send, where `rank` is its rank among `hosts`
    /// hosts for the target, from 0.
    pub fn share(rate: f64, rank: usize, hosts: usize) -> usize {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate is small and not negative"
        )]
        let rate = rate.clamp(0.0, 1e6) as usize;
        let hosts = hosts.max(1);
        rate / hosts + usize::from(rank < rate % hosts)
    }

    /// Whether one more request may be sent at a rate of `share` a second.
    pub fn has_room(&mut self, now: Time, share: usize) -> bool {
        while self.sent.front().is_some_and(|&sent| now >= sent + WINDOW) {
            self.sent.pop_front();
        }
        now >= self.known_from && self.sent.len() < share
    }

    /// Counts a request that is sent.
    pub fn send(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}
