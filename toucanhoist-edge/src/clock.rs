//! Monotonic clock of a process, and the time of day.

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

    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Returns the time of an instant; one before the start is the start.
    pub fn time(&self, instant: Instant) -> Time {
        Time::ZERO + instant.saturating_duration_since(self.start)
    }

    /// Returns the instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO)
    }
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
