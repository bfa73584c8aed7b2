//! Lease under which a host may use its shares.
//!
//! The shares of a host are revoked by fencing its entry in the ledger, and are given to others
//! only [`Lease::REUSE_AFTER`] later. Only one other host may fence an entry: the guardian that the
//! entry names. So a host may use its shares for [`Lease::DURATION`] after it sent the last request
//! to the platform or to its guardian that was answered with a confirmation that its entry is
//! valid. While the platform is down, guardians keep the leases alive. A host that has not written
//! its entry for [`Lease::WRITTEN_MAX`] may be fenced by any host; its own lease lapses before
//! that.

use std::time::Duration;

use super::CLOCK_ERROR_MAX;
use crate::clock::Time;

/// Source of the confirmation on which a lease rests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform.
    Platform,
    /// The host's guardian.
    Guardian,
    /// No recent confirmation: the lease has lapsed.
    Lapsed,
}

/// Lease of one host on all its shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    written_at: Option<Time>,
    platform_at: Option<Time>,
    guardian_at: Option<Time>,
}

impl Lease {
    /// Time for which a confirmation is valid.
    pub const DURATION: Duration = Duration::from_secs(10);

    /// Time from a fence until the shares may be given to other hosts.
    pub const REUSE_AFTER: Duration = Duration::from_millis(10_500);

    /// Longest time between two writes of a host's entry.
    pub const WRITTEN_MAX: Duration = Duration::from_secs(6 * 3_600);

    /// Records a read of the platform, requested at `asked`, in which the entry was valid.
    pub fn record_read(&mut self, asked: Time) {
        self.platform_at = self.platform_at.max(Some(asked));
    }

    /// Records that the platform accepted a write of the entry, requested at `asked`.
    pub fn record_write(&mut self, asked: Time) {
        self.written_at = self.written_at.max(Some(asked));
        self.record_read(asked);
    }

    /// Records that the guardian vouched for the entry, as requested at `asked`.
    pub fn record_vouch(&mut self, asked: Time) {
        self.guardian_at = self.guardian_at.max(Some(asked));
    }

    /// Returns the request time of the platform's last confirmation.
    pub fn platform_at(&self) -> Option<Time> {
        self.platform_at
    }

    /// Returns the request time of the last write of the entry.
    pub fn written_at(&self) -> Option<Time> {
        self.written_at
    }

    /// Returns the request time of the guardian's last confirmation.
    pub fn guardian_at(&self) -> Option<Time> {
        self.guardian_at
    }

    /// Returns the source of the confirmation on which the lease rests at `now`.
    pub fn source(&self, now: Time) -> Source {
        let fresh = |at: Option<Time>, limit| at.is_some_and(|at| now < at + limit);
        if !fresh(self.written_at, Lease::WRITTEN_MAX) {
            Source::Lapsed
        } else if fresh(self.platform_at, Lease::DURATION) {
            Source::Platform
        } else if fresh(self.guardian_at, Lease::DURATION) {
            Source::Guardian
        } else {
            Source::Lapsed
        }
    }

    /// Whether the shares may be used at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        self.source(now) != Source::Lapsed
    }
}

/// Returns the time by this host's clock after which `duration` has passed by any other host's
/// clock.
pub(super) fn with_clock_margin(duration: Duration) -> Duration {
    duration.mul_f64(1.0 + 2.0 * CLOCK_ERROR_MAX) + Duration::from_millis(1)
}
