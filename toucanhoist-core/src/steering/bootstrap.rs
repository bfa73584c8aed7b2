//! What a host that joins a running fleet asks other hosts before it reads the store.
//!
//! The store may have been restored from a backup that still holds targets that have left. Hosts
//! that ran before the restore know better, so a starting host first merges what one of them knows.
//! The wait is short, because after the loss of all hosts there is nobody to answer.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use crate::clock::Time;

/// Time limit for the first answer: a connection and a call to another region, with the same time
/// again as a margin.
const WAIT_MAX: Duration = Duration::from_millis(200);

/// Pending requests of one host at its start.
#[derive(Debug)]
pub struct Bootstrap {
    pending: BTreeSet<SocketAddr>,
    deadline: Time,
}

impl Bootstrap {
    /// Begins with requests to `asked`; if that is empty, the host may read the store at once.
    pub fn new(now: Time, asked: impl IntoIterator<Item = SocketAddr>) -> Bootstrap {
        Bootstrap { pending: asked.into_iter().collect(), deadline: now + WAIT_MAX }
    }

    /// Records that a host answered, with or without a configuration, or that it failed to answer.
    pub fn record_answer(&mut self, from: SocketAddr, has_config: bool) {
        if has_config {
            self.pending.clear();
        }
        self.pending.remove(&from);
    }

    /// Whether the host may read the store.
    pub fn is_done(&self, now: Time) -> bool {
        self.pending.is_empty() || now >= self.deadline
    }
}
