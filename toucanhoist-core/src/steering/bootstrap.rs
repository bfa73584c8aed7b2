//! What a host that starts among others asks of them before it reads the store.
//!
//! The store may have come back from a copy that still holds what had left. Hosts that ran before know better,
//! so that a host which starts takes in what one of them knows first. It waits for that a little only: after
//! the loss of all hosts there is nobody to ask.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use crate::clock::Time;

/// Time for the first answer: a connection and a call to another region, and as much again.
const WAIT_MAX: Duration = Duration::from_millis(200);

/// One host's questions at its start.
#[derive(Debug)]
pub struct Bootstrap {
    open: BTreeSet<SocketAddr>,
    until: Time,
}

impl Bootstrap {
    /// Begins with questions to some hosts; without any, there is nothing to wait for.
    pub fn new(now: Time, asked: impl IntoIterator<Item = SocketAddr>) -> Bootstrap {
        Bootstrap { open: asked.into_iter().collect(), until: now + WAIT_MAX }
    }

    /// Takes in that a host answered, with a configuration or without, or that it failed to.
    pub fn record_answer(&mut self, from: SocketAddr, has_config: bool) {
        if has_config {
            self.open.clear();
        }
        self.open.remove(&from);
    }

    /// Whether the host may read the store.
    pub fn is_done(&self, now: Time) -> bool {
        self.open.is_empty() || now >= self.until
    }
}
