/*!
Time as the core sees it.

A [`Time`] counts from an arbitrary start that belongs to one process. It never runs backwards and
is never sent to another host; hosts exchange remaining durations instead.
*/

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// A point in a process's monotonic time, in microseconds since its start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// The start.
    pub const ZERO: Time = Time(0);

    /// Creates a time from microseconds since the start.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Creates a time from milliseconds since the start.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, zero if that is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}
