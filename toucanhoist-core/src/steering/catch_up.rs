//! When a host asks another one for changes that it has missed.
//!
//! Changes arrive from the store or from the watchers of the region. Another host is asked only for
//! what does not arrive that way, hosts of the same region first: a full snapshot is large, and
//! traffic between regions is expensive.

use std::{net::SocketAddr, time::Duration};

use super::Version;
use crate::clock::Time;

/// Delay before missing changes are requested from a host of the same region.
const REGION_DELAY: Duration = Duration::from_millis(400);
/// Delay before they are requested from a host of another region: half of the time in which changes
/// must be in force.
const REMOTE_DELAY: Duration = Duration::from_millis(1_200);
/// Minimum time between two requests.
const INTERVAL: Duration = Duration::from_millis(500);

/// What one host has missed, according to the versions that other hosts report.
#[derive(Debug, Default)]
pub struct CatchUp {
    gap: Option<Gap>,
    /// A watcher of the region that is ahead.
    watcher: Option<SocketAddr>,
    last_request: Time,
}

#[derive(Debug)]
struct Gap {
    since: Time,
    /// Version that was found missing then. Later versions start a new delay once this one has
    /// arrived.
    version: Version,
    /// Last host of the region that was ahead.
    in_region: Option<SocketAddr>,
    /// Last host of another region that was ahead.
    remote: Option<SocketAddr>,
}

impl CatchUp {
    /// Records that a host knows all changes up to `version`, while this one knows all up to
    /// `complete`.
    pub fn record_peer_version(
        &mut self,
        now: Time,
        complete: Version,
        from: SocketAddr,
        is_in_region: bool,
        version: Version,
    ) {
        if version <= complete {
            return;
        }
        if self.gap.as_ref().is_some_and(|gap| gap.version <= complete) {
            self.gap = None;
        }
        let new_gap = Gap { since: now, version, in_region: None, remote: None };
        let gap = self.gap.get_or_insert(new_gap);
        let source = if is_in_region { &mut gap.in_region } else { &mut gap.remote };
        *source = Some(from);
    }

    /// Records that a watcher of the region, which is connected to the store, is ahead.
    pub fn record_watcher_ahead(&mut self, from: SocketAddr) {
        self.watcher = Some(from);
    }

    /// Returns the host to ask now, if any; this host knows all changes up to `complete`.
    pub fn poll(&mut self, now: Time, complete: Version) -> Option<SocketAddr> {
        if self.gap.as_ref().is_some_and(|gap| gap.version <= complete) {
            self.gap = None;
        }
        if now < self.last_request + INTERVAL {
            return None;
        }
        let overdue = self.gap.as_ref().and_then(|gap| gap.overdue_source(now));
        let host = self.watcher.or(overdue)?;
        (self.watcher, self.gap, self.last_request) = (None, None, now);
        Some(host)
    }
}

impl Gap {
    fn overdue_source(&self, now: Time) -> Option<SocketAddr> {
        let in_region = self.in_region.filter(|_| now >= self.since + REGION_DELAY);
        in_region.or(self.remote.filter(|_| now >= self.since + REMOTE_DELAY))
    }
}
