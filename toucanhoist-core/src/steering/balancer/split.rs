//! The share of a region's requests that other regions serve by plan.
//!
//! A region whose share of a service's slots is smaller than its share of the callers cannot serve
//! them all. It would be overloaded from the first request on, since overflow may grow only slowly.
//! So a share of the requests goes to other regions from the start, selected by object: all hosts
//! of the region divert the same objects, and the remaining targets keep the other objects cached.

use std::time::Duration;

use twox_hash::XxHash64;

use super::topology::Region;
use crate::clock::Time;

/// Seed of the hash that selects objects; it differs from those that assign them to targets.
const SEED: u64 = 0x5_eed;

/// Utilisation relative to the average from which a region diverts requests. Crossings cost time
/// and bytes, and the number of hosts is only a rough measure of the number of callers.
const UTILISATION_RATIO_MAX: f64 = 1.25;

/// Slots and entry hosts of a region, for one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Supply {
    /// Slots of usable targets.
    pub slots: u64,
    /// Entry hosts, as a measure of the region's callers.
    pub hosts: u32,
}

/// Returns the share of a region's requests that other regions should serve, so that its slots are
/// at most [`UTILISATION_RATIO_MAX`] times as busy as the average.
pub(super) fn planned_share(supplies: &[Supply], region: Region) -> f64 {
    let slots: f64 = supplies.iter().map(|supply| supply.slots as f64).sum();
    let hosts: u32 = supplies.iter().map(|supply| supply.hosts).sum();
    let own = supplies[region.0];
    if slots == 0.0 || own.hosts == 0 {
        return 0.0;
    }
    let slots_share = own.slots as f64 / slots;
    let callers_share = f64::from(own.hosts) / f64::from(hosts);
    (1.0 - UTILISATION_RATIO_MAX * slots_share / callers_share).max(0.0)
}

/// The share in force; it follows the plan slowly while requests arrive.
#[derive(Debug, Default)]
pub(super) struct Split {
    share: f64,
    updated_at: Option<Time>,
}

impl Split {
    /// Moves the share towards `planned` by at most `cap` in each `interval`. The first request,
    /// and the first one after an idle interval, applies the plan at once.
    pub(super) fn follow(&mut self, now: Time, planned: f64, interval: Duration, cap: f64) {
        let elapsed = self
            .updated_at
            .map(|updated_at| now.since(updated_at))
            .filter(|since| *since < interval);
        let change_max = match elapsed {
            Some(since) => cap * since.as_secs_f64() / interval.as_secs_f64(),
            None => 1.0,
        };
        self.share += (planned - self.share).clamp(-change_max, change_max);
        self.updated_at = Some(now);
    }

    /// Whether other regions should serve the requests for an object.
    pub(super) fn is_diverted(&self, object: u64) -> bool {
        let point = XxHash64::oneshot(SEED, &object.to_le_bytes());
        // The upper 32 bits of a hash are exact as a fraction.
        let point = f64::from((point >> 32) as u32) / f64::from(u32::MAX);
        point < self.share
    }
}
