//! How busy the targets of other regions are as a rule.
//!
//! Hosts tell each other within a region what they have at each target. Of a target in another region a host
//! knows its own requests and what the last answer reported, which is soon old. A target without news counts as
//! busy as those of its region are on average; if it counted as idle, many hosts would overrun the same few.

use super::{
    fleet::{Near, Region},
    known::Known,
};
use crate::clock::Time;

/// Weight of one answer in the average: some ten answers make it up.
const WEIGHT: f64 = 0.1;

/// Part of their slots that targets of each region have in use.
#[derive(Debug, Default)]
pub(super) struct Usual {
    parts: Vec<f64>,
}

impl Usual {
    /// Learns from a target that has just answered.
    pub(super) fn learn(&mut self, now: Time, known: &Known) {
        let Region(region) = known.region;
        if region >= self.parts.len() {
            self.parts.resize(region + 1, 0.0);
        }
        let busy = known.load.busy(now, self.busy(known));
        let part = &mut self.parts[region];
        *part += (busy / f64::from(known.target.slots.max(1)) - *part) * WEIGHT;
    }

    /// Returns the requests that a target is expected to hold, if nothing is known of it.
    pub(super) fn busy(&self, known: &Known) -> f64 {
        if known.near != Near::Away {
            return 0.0;
        }
        let Region(region) = known.region;
        let part = self.parts.get(region).copied().unwrap_or_default();
        part * f64::from(known.target.slots)
    }
}
