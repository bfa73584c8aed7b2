//! When the last fault was at work.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Time for which a fault's effects last after its end.
const CONTACT: Duration = Duration::from_secs(3);

/// Remembers faults.
#[derive(Debug)]
pub struct Calm {
    /// Faults at work, and the end of the last one.
    state: Mutex<(u32, Instant)>,
}

impl Calm {
    pub fn new() -> Calm {
        Calm { state: Mutex::new((0, Instant::now())) }
    }

    /// Notes that a fault begins.
    pub fn begin(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).0 += 1;
    }

    /// Notes that a fault has ended.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state = (state.0 - 1, Instant::now());
    }

    /// Whether no fault was at work since a time, nor shortly before it.
    pub fn was_calm_since(&self, since: Instant) -> bool {
        let (at_work, ended) = *self.state.lock().unwrap_or_else(PoisonError::into_inner);
        at_work == 0 && ended + CONTACT <= since
    }

    /// Whether there is and was no fault lately.
    pub fn is_calm(&self) -> bool {
        self.was_calm_since(Instant::now())
    }
}
