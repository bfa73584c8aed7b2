//! How busy the targets of other regions are as a rule.
//!
//! Hosts tell each other within a region what they have at each target. Of a target in another region a host
//! knows its own requests and what the last answer reported, which is soon old. A target without news counts as
//! busy as those of its region are on average; if it counted as idle, many hosts would overrun the same few.

use super::{
    topology::{Proximity, Region},
    tracked_target::TrackedTarget,
};
use crate::clock::Time;

/// Weight of one answer in the average: some ten answers make it up.
const LEARNING_RATE: f64 = 0.1;

/// Part of their slots that targets of each region have in use.
#[derive(Debug, Default)]
pub(super) struct TypicalLoad {
    shares: Vec<f64>,
}

impl TypicalLoad {
    /// Learns from a target that has just answered.
    pub(super) fn learn(&mut self, now: Time, known: &TrackedTarget) {
        let Region(region) = known.region;
        if region >= self.shares.len() {
            self.shares.resize(region + 1, 0.0);
        }
        let busy = known.load.busy(now, self.busy(known));
        let part = &mut self.shares[region];
        *part += (busy / f64::from(known.target.slots.max(1)) - *part) * LEARNING_RATE;
    }

    /// Returns the requests that a target is expected to hold, if nothing is known of it.
    pub(super) fn busy(&self, known: &TrackedTarget) -> f64 {
        if known.proximity != Proximity::Remote {
            return 0.0;
        }
        let Region(region) = known.region;
        let part = self.shares.get(region).copied().unwrap_or_default();
        part * f64::from(known.target.slots)
    }
}
