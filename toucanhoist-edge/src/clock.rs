//! Monotonic clock of a process, and Unix time.

use std::time::SystemTime;

use {tokio::time::Instant, toucanhoist_core::clock::Time};

/// Monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time that has passed since the start.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Converts an instant to a time; an instant before the start becomes the start.
    pub fn time(&self, instant: Instant) -> Time {
        Time::ZERO + instant.saturating_duration_since(self.start)
    }

    /// Converts a time to an instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO)
    }
}

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
