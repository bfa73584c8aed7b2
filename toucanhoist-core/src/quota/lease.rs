//! The right of a host to use its shares.
//!
//! The shares of a host are taken back by fencing its entry in the ledger, and are given out again
//! only [`Lease::REUSE_AFTER`] later. Fencing is the right of one other host alone, the guardian
//! that the entry names. So a host may use its shares for [`Lease::DURATION`] after it last asked
//! and was told, by the platform or by its guardian, that its entry stands. With the platform down,
//! guardians keep leases alive. A host that has not written its entry for [`Lease::WRITTEN_MAX`]
//! may be fenced by anyone and stops before that by itself.

use std::time::Duration;

use super::CLOCK_ERROR_MAX;
use crate::clock::Time;

/// Who last told a host that its entry stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform.
    Platform,
    /// The host's guardian.
    Guardian,
    /// Nobody, recently enough.
    Lapsed,
}

/// Lease of one host on all its shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    written: Option<Time>,
    platform: Option<Time>,
    guardian: Option<Time>,
}

impl Lease {
    /// Time that a confirmation is good for.
    pub const DURATION: Duration = Duration::from_secs(10);

    /// Time from a fence until the shares can be given out again.
    pub const REUSE_AFTER: Duration = Duration::from_millis(10_500);

    /// Time that a host may go without writing its entry.
    pub const WRITTEN_MAX: Duration = Duration::from_secs(6 * 3_600);

    /// Records that the platform showed the entry to stand; `asked` is when it was asked.
    pub fn record_read(&mut self, asked: Time) {
        self.platform = self.platform.max(Some(asked));
    }

    /// Records that the platform took a write of the entry, asked at `asked`.
    pub fn record_write(&mut self, asked: Time) {
        self.written = self.written.max(Some(asked));
        self.record_read(asked);
    }

    /// Records that the guardian confirmed the entry, asked at `asked`.
    pub fn record_vouch(&mut self, asked: Time) {
        self.guardian = self.guardian.max(Some(asked));
    }

    /// Returns when the platform last showed the entry to stand.
    pub fn platform_at(&self) -> Option<Time> {
        self.platform
    }

    /// Returns when the entry was last written.
    pub fn written_at(&self) -> Option<Time> {
        self.written
    }

    /// Returns when the guardian last confirmed the entry.
    pub fn guardian_at(&self) -> Option<Time> {
        self.guardian
    }

    /// Returns what the lease rests on at `now`.
    pub fn source(&self, now: Time) -> Source {
        let fresh = |at: Option<Time>, limit| at.is_some_and(|at| now < at + limit);
        if !fresh(self.written, Lease::WRITTEN_MAX) {
            Source::Lapsed
        } else if fresh(self.platform, Lease::DURATION) {
            Source::Platform
        } else if fresh(self.guardian, Lease::DURATION) {
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

/// Returns a duration by the observer's clock in which any holder's clock passes `duration`.
pub(super) fn guarded(duration: Duration) -> Duration {
    duration.mul_f64(1.0 + 2.0 * CLOCK_ERROR_MAX) + Duration::from_millis(1)
}
