//! Tracks whether the system is in its steady state, that is, without active or recent faults.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Time for which a fault's effects last after its end.
const AFTERMATH: Duration = Duration::from_secs(3);

/// Tracks active faults, and the end of the last one.
#[derive(Debug)]
pub struct SteadyState {
    /// Number of active faults, and the end of the last one.
    state: Mutex<(u32, Instant)>,
}

impl SteadyState {
    pub fn new() -> SteadyState {
        SteadyState { state: Mutex::new((0, Instant::now())) }
    }

    /// Records that a fault begins.
    pub fn begin(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).0 += 1;
    }

    /// Records that a fault has ended.
    pub fn end(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state = (state.0 - 1, Instant::now());
    }

    /// Whether no fault has been active since a time, nor shortly before it.
    pub fn was_steady_since(&self, since: Instant) -> bool {
        let (active, ended) = *self.state.lock().unwrap_or_else(PoisonError::into_inner);
        active == 0 && ended + AFTERMATH <= since
    }

    /// Whether no fault is active or was active recently.
    pub fn is_steady(&self) -> bool {
        self.was_steady_since(Instant::now())
    }
}
