//! When a host asks another one for what it has missed.
//!
//! What the store says arrives from the store, or from the watchers of the region. Only what stays out is
//! asked of a host, of the own region first: a whole snapshot is large, and dear between regions.

use std::{net::SocketAddr, time::Duration};

use super::Version;
use crate::clock::Time;

/// Time after which what a host of the region knows is asked of it.
const NEAR_DELAY: Duration = Duration::from_millis(400);
/// Time after which it is asked of a host of another region; half of the time in which changes must be
/// in force.
const FAR_DELAY: Duration = Duration::from_millis(1_200);
/// Time between two questions.
const INTERVAL: Duration = Duration::from_millis(500);

/// What one host has missed, as far as others say.
#[derive(Debug, Default)]
pub struct CatchUp {
    behind: Option<Behind>,
    /// A watcher of the region that is ahead.
    watcher: Option<SocketAddr>,
    asked: Time,
}

#[derive(Debug)]
struct Behind {
    since: Time,
    /// Version that was found missing then; later ones start anew once it has arrived.
    version: Version,
    near: Option<SocketAddr>,
    far: Option<SocketAddr>,
}

impl CatchUp {
    /// Takes in that a host knows all up to `version`, and this one up to `complete`.
    pub fn record_peer_version(
        &mut self,
        now: Time,
        complete: Version,
        from: SocketAddr,
        is_near: bool,
        version: Version,
    ) {
        if version <= complete {
            return;
        }
        if self.behind.as_ref().is_some_and(|behind| behind.version <= complete) {
            self.behind = None;
        }
        let fresh = Behind { since: now, version, near: None, far: None };
        let behind = self.behind.get_or_insert(fresh);
        let place = if is_near { &mut behind.near } else { &mut behind.far };
        *place = Some(from);
    }

    /// Takes in that a watcher of the region, in touch with the store, is ahead.
    pub fn record_watcher_ahead(&mut self, from: SocketAddr) {
        self.watcher = Some(from);
    }

    /// Returns the host to ask now, where this one knows all up to `complete`.
    pub fn poll(&mut self, now: Time, complete: Version) -> Option<SocketAddr> {
        if self.behind.as_ref().is_some_and(|behind| behind.version <= complete) {
            self.behind = None;
        }
        if now < self.asked + INTERVAL {
            return None;
        }
        let late = self.behind.as_ref().and_then(|behind| behind.late(now));
        let host = self.watcher.or(late)?;
        (self.watcher, self.behind, self.asked) = (None, None, now);
        Some(host)
    }
}

impl Behind {
    fn late(&self, now: Time) -> Option<SocketAddr> {
        let near = self.near.filter(|_| now >= self.since + NEAR_DELAY);
        near.or(self.far.filter(|_| now >= self.since + FAR_DELAY))
    }
}
