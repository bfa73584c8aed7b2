//! Typical load of targets in other regions.
//!
//! Hosts exchange their requests at each target only within a region. About a target in another
//! region, a host knows its own requests and the last report, which is soon out of date. A target
//! without a recent report counts as busy as the average of its region; if it counted as idle, many
//! hosts would overload the same few targets.

use super::{
    topology::{Proximity, Region},
    tracked_target::TrackedTarget,
};
use crate::clock::Time;

/// Weight of one answer in the average, which thus covers about ten answers.
const LEARNING_RATE: f64 = 0.1;

/// Share of slots in use, by region.
#[derive(Debug, Default)]
pub(super) struct TypicalLoad {
    shares: Vec<f64>,
}

impl TypicalLoad {
    /// Learns from a target at which a request has just ended.
    pub(super) fn learn(&mut self, now: Time, target: &TrackedTarget) {
        let Region(region) = target.region;
        if region >= self.shares.len() {
            self.shares.resize(region + 1, 0.0);
        }
        let busy = target.load.busy(now, self.busy(target));
        let share = &mut self.shares[region];
        *share += (busy / f64::from(target.entry.slots.max(1)) - *share) * LEARNING_RATE;
    }

    /// Returns the requests that a target is expected to hold if nothing is known about it.
    pub(super) fn busy(&self, target: &TrackedTarget) -> f64 {
        if target.proximity != Proximity::Remote {
            return 0.0;
        }
        let Region(region) = target.region;
        let share = self.shares.get(region).copied().unwrap_or_default();
        share * f64::from(target.entry.slots)
    }
}
