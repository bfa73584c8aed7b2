//! Methods of rate limiting with which the design is compared.

use std::time::Duration;

use toucanhoist_fakes::quota::{Tally, TokenBucket};

use super::load::Phase;

/// Transactions a second that the store processes.
const STORE_WRITES_PER_S: f64 = 400.0;

/// A method of rate limiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Baseline {
    /// Every host has a share of its own: the rate divided by the number of hosts that it can reach.
    Split,
    /// Every request is a transaction of a counter in the store.
    Counter,
    /// One token bucket for each account, global to all hosts: the best possible result.
    Ideal,
}

impl Baseline {
    /// Returns the name in the report.
    pub fn as_str(self) -> &'static str {
        match self {
            Baseline::Split => "static split",
            Baseline::Counter => "central counter",
            Baseline::Ideal => "ideal",
        }
    }
}

/// Hosts that use one of the methods.
pub struct Fleet {
    method: Baseline,
    accounts: Vec<(f64, f64)>,
    hosts: usize,
    /// Buckets by host and account.
    shares: Vec<Vec<TokenBucket>>,
    /// Bucket of each account in the store.
    counters: Vec<TokenBucket>,
    /// Buckets that only admitted requests take from. An admitted request that finds no token is
    /// beyond its account's rate and burst.
    oracles: Vec<TokenBucket>,
    /// Buckets that every request takes from, which tell the requests that conform.
    global_buckets: Vec<TokenBucket>,
    store: TokenBucket,
    store_down: bool,
    now: u64,
    writes: u64,
    tallies: Vec<Tally>,
}

impl Fleet {
    /// Creates a fleet with full buckets.
    pub fn new(method: Baseline, accounts: &[(f64, f64)], hosts: usize) -> Fleet {
        let full: Vec<TokenBucket> =
            accounts.iter().map(|&(r, b)| TokenBucket::new(r, b)).collect();
        #[allow(clippy::cast_precision_loss, reason = "a few hosts")]
        let count = hosts as f64;
        let shares =
            accounts.iter().map(|&(r, b)| TokenBucket::new(r / count, b / count)).collect();
        Fleet {
            method,
            accounts: accounts.to_vec(),
            hosts,
            shares: vec![shares; hosts],
            counters: full.clone(),
            oracles: full.clone(),
            global_buckets: full,
            store: TokenBucket::new(STORE_WRITES_PER_S, STORE_WRITES_PER_S),
            store_down: false,
            now: 0,
            writes: 0,
            tallies: vec![Tally::default(); accounts.len()],
        }
    }

    /// Sets the faults of a phase.
    pub fn set_phase(&mut self, phase: Phase) {
        self.store_down = phase == Phase::StoreDown;
        let partitions = phase.partitions(self.hosts);
        for (host, shares) in self.shares.iter_mut().enumerate() {
            let reachable = partitions.iter().filter(|other| **other == partitions[host]).count();
            #[allow(clippy::cast_precision_loss, reason = "a few hosts")]
            let reachable = reachable as f64;
            for (share, (rate, burst)) in shares.iter_mut().zip(&self.accounts) {
                share.resize(self.now, rate / reachable, burst / reachable);
            }
        }
    }

    /// Offers a request to a host.
    pub fn offer(&mut self, at: Duration, host: usize, account: usize) {
        self.now = u64::try_from(at.as_micros()).unwrap_or(u64::MAX);
        let conforming = self.global_buckets[account].take(self.now);
        let admitted = match self.method {
            Baseline::Split => self.shares[host][account].take(self.now),
            Baseline::Counter => self.count(account),
            Baseline::Ideal => conforming,
        };
        let exceeded = admitted && !self.oracles[account].take(self.now);
        let tally = &mut self.tallies[account];
        tally.offered += 1;
        tally.conforming += u64::from(conforming);
        tally.admitted += u64::from(admitted);
        tally.refused_within_rate += u64::from(conforming && !admitted);
        tally.exceeded += u64::from(exceeded);
    }

    /// Returns the number of transactions.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns the tallies since the last call.
    pub fn take_tallies(&mut self) -> Vec<Tally> {
        std::mem::replace(&mut self.tallies, vec![Tally::default(); self.accounts.len()])
    }

    fn count(&mut self, account: usize) -> bool {
        if self.store_down || !self.store.take(self.now) {
            return false;
        }
        self.writes += 1;
        self.counters[account].take(self.now)
    }
}
