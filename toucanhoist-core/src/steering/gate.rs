//! Permission to send requests to one incarnation of a target.
//!
//! A ticket is granted some time before its request is sent: the request may wait for a connection. Each ticket shares
//! the gate of its target, so that the sender can ask again just before the first byte.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use crate::clock::Time;

/// Time in microseconds from which requests may be sent.
const NEVER: u64 = u64::MAX;

/// Whether requests may be sent to one incarnation of a target; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    opens_at: Arc<AtomicU64>,
}

impl Gate {
    /// Whether a request may be sent now.
    pub fn is_open(&self, now: Time) -> bool {
        now.as_micros() >= self.opens_at.load(Ordering::Acquire)
    }

    /// Closes the gate for good.
    pub fn close(&self) {
        self.opens_at.store(NEVER, Ordering::Release);
    }

    /// Closes the gate until a time; it stays closed longer if it was to.
    pub fn close_until(&self, time: Time) {
        self.opens_at.fetch_max(time.as_micros(), Ordering::AcqRel);
    }
}
