//! The part of a region's requests that other regions serve by plan.
//!
//! A region whose part of a service's slots is smaller than its part of the callers cannot serve them
//! all. It would be overrun from the first request on, since requests that overflow may change their
//! region only slowly. So a part of them goes to other regions from the start, by object: all hosts of
//! the region send the same objects away, and the targets left at home keep the others in memory.

use std::time::Duration;

use twox_hash::XxHash64;

use super::fleet::Region;
use crate::clock::Time;

/// Seed of the hash that orders objects; it differs from those that place them on targets.
const SEED: u64 = 0x5_eed;

/// How much busier than the average a region may be before it sends requests away: crossings take time
/// and bytes, and the number of its hosts says only roughly how many callers it has.
const BUSIER_MAX: f64 = 1.25;

/// What a region has of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Supply {
    /// Slots of targets that may be used.
    pub slots: u32,
    /// Entry hosts, which stand for the region's part of the callers.
    pub hosts: u32,
}

/// Returns the part of a region's requests that other regions should serve, so that its slots are not
/// much busier than those of all regions.
pub(super) fn planned(supplies: &[Supply], region: Region) -> f64 {
    let slots: u32 = supplies.iter().map(|supply| supply.slots).sum();
    let hosts: u32 = supplies.iter().map(|supply| supply.hosts).sum();
    let own = supplies[region.0];
    if slots == 0 || own.hosts == 0 {
        return 0.0;
    }
    let slots_part = f64::from(own.slots) / f64::from(slots);
    let callers_part = f64::from(own.hosts) / f64::from(hosts);
    (1.0 - BUSIER_MAX * slots_part / callers_part).max(0.0)
}

/// The part that holds now; it follows the plan slowly while requests arrive.
#[derive(Debug, Default)]
pub(super) struct Split {
    share: f64,
    moved: Option<Time>,
}

impl Split {
    /// Moves the part towards `planned` by at most `cap` in each `interval`. The first request, and one
    /// after an interval without any, meets the plan as it is.
    pub(super) fn follow(&mut self, now: Time, planned: f64, interval: Duration, cap: f64) {
        let elapsed = self.moved.map(|moved| now.since(moved)).filter(|since| *since < interval);
        let most = match elapsed {
            Some(since) => cap * since.as_secs_f64() / interval.as_secs_f64(),
            None => 1.0,
        };
        self.share += (planned - self.share).clamp(-most, most);
        self.moved = Some(now);
    }

    /// Whether other regions are to serve the requests for an object.
    pub(super) fn is_away(&self, object: u64) -> bool {
        let place = XxHash64::oneshot(SEED, &object.to_le_bytes());
        // The upper 32 bits of a hash are exact as a fraction.
        let place = f64::from((place >> 32) as u32) / f64::from(u32::MAX);
        place < self.share
    }
}
