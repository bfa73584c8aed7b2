//! The requests that every method gets.

use std::time::Duration;

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
};

use super::REGIONS;

/// The account that sends several times its rate.
pub const FLOODING: usize = 1;
const FLOODING_FACTOR: f64 = 5.0;
const LOAD_FACTOR: f64 = 0.9;
const WARM_UP_FACTOR: f64 = 0.5;
/// Share of an account's requests that arrive at one host.
const SKEWED_SHARE: f64 = 0.8;
/// Time after which the skewed requests move to another host.
const SKEW_INTERVAL_S: u64 = 60;

/// A phase of the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Buckets fill; not reported.
    WarmUp,
    /// No fault.
    StoreUp,
    /// The store refuses every call.
    StoreDown,
    /// The store works again.
    StoreBack,
    /// One region is partitioned from the others and from the store.
    Partition,
    /// The partition has ended.
    Healed,
}

impl Phase {
    /// Every phase, in order.
    pub const ALL: [Phase; 6] = [
        Phase::WarmUp,
        Phase::StoreUp,
        Phase::StoreDown,
        Phase::StoreBack,
        Phase::Partition,
        Phase::Healed,
    ];

    /// Returns the name in the report.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::WarmUp => "warm-up",
            Phase::StoreUp => "store up",
            Phase::StoreDown => "store down",
            Phase::StoreBack => "store back",
            Phase::Partition => "partition",
            Phase::Healed => "healed",
        }
    }

    /// Returns how long the phase lasts.
    pub fn length(self) -> Duration {
        Duration::from_secs(match self {
            Phase::WarmUp => 60,
            Phase::StoreUp => 240,
            Phase::StoreDown => 600,
            Phase::StoreBack | Phase::Partition | Phase::Healed => 120,
        })
    }

    /// Returns the partition of each host.
    pub fn partitions(self, hosts: usize) -> Vec<usize> {
        let isolated = REGIONS - 1;
        let partition =
            |host| usize::from(self == Phase::Partition && region(host, hosts) == isolated);
        (0..hosts).map(partition).collect()
    }
}

/// Returns the region of a host.
pub fn region(host: usize, hosts: usize) -> usize {
    host * REGIONS / hosts
}

/// Requests with exponentially distributed gaps.
pub struct Load {
    random: Xoshiro256PlusPlus,
    rates: Vec<f64>,
    hosts: usize,
    now: Duration,
}

impl Load {
    /// Creates the load for a seed.
    pub fn new(seed: u64, accounts: &[(f64, f64)], hosts: usize) -> Load {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let rates = accounts.iter().map(|(rate, _)| *rate).collect();
        Load { random, rates, hosts, now: Duration::ZERO }
    }

    /// Offers the requests of a phase, each with its time, host and account.
    pub fn run(&mut self, phase: Phase, mut offer: impl FnMut(Duration, usize, usize)) {
        let factor = |account: usize| match (phase, account) {
            (Phase::WarmUp, _) => WARM_UP_FACTOR,
            (_, FLOODING) => FLOODING_FACTOR,
            _ => LOAD_FACTOR,
        };
        let rates: Vec<f64> =
            self.rates.iter().enumerate().map(|(account, rate)| rate * factor(account)).collect();
        let total: f64 = rates.iter().sum();
        let end = self.now + phase.length();
        while self.now < end {
            let gap_s = -self.random.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / total;
            self.now += Duration::from_secs_f64(gap_s);
            let mut draw = self.random.random_range(0.0..total);
            let account = rates.iter().position(|rate| {
                draw -= rate;
                draw < 0.0
            });
            let account = account.unwrap_or(rates.len() - 1);
            let host = self.host(account);
            offer(self.now, host, account);
        }
    }

    /// Returns the host of a request: for most requests of an account, one host that changes each
    /// minute.
    fn host(&mut self, account: usize) -> usize {
        if !self.random.random_bool(SKEWED_SHARE) {
            return self.random.random_range(0..self.hosts);
        }
        let minute = usize::try_from(self.now.as_secs() / SKEW_INTERVAL_S).unwrap_or(0);
        (minute * 3 + account * 5) % self.hosts
    }
}
