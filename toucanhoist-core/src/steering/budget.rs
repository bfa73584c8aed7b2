//! Budget of retries to the targets of a service.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Time;

/// Buckets in which a window is counted.
const BUCKETS: u32 = 10;

/// Share of the allowance that a host uses, since a window with other bounds may see a higher sum.
const USED_SHARE: f64 = 0.8;

/// Terms of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Retries that are allowed for each request.
    pub ratio: f64,
    /// Retries that are allowed besides, over all hosts.
    pub extra: f64,
    /// Window in which both are counted.
    pub window: Duration,
}

/// Counts the requests for one service and their retries at one host.
///
/// The extra allowance of the fleet is divided evenly among its hosts, so that the sum over all
/// hosts holds without coordination.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    /// When the host was restarted.
    restarted: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates the budget of a host, which may have made retries before it was restarted.
    pub fn new(restarted: Option<Time>) -> RetryBudget {
        RetryBudget { buckets: VecDeque::new(), restarted }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Time, terms: &Terms) {
        self.bucket(now, terms).requests += 1;
    }

    /// Takes a retry at one of `hosts` hosts; returns whether one was left.
    pub fn take(&mut self, now: Time, terms: &Terms, hosts: usize) -> bool {
        self.bucket(now, terms);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let hosts = f64::from(u32::try_from(hosts.max(1)).unwrap_or(u32::MAX));
        let allowed = terms.ratio * f64::from(requests) + terms.extra / hosts;
        let granted = f64::from(retries + 1) <= allowed * self.usable_share(now, terms);
        if granted {
            self.bucket(now, terms).retries += 1;
        }
        granted
    }

    /// Returns the share of the allowance that may be used. For a window after a restart it is what
    /// the host cannot have used before.
    fn usable_share(&self, now: Time, terms: &Terms) -> f64 {
        match self.restarted {
            Some(restarted) if now < restarted + terms.window => 1.0 - USED_SHARE,
            _ => USED_SHARE,
        }
    }

    fn bucket(&mut self, now: Time, terms: &Terms) -> &mut Bucket {
        let span = (terms.window / BUCKETS).as_micros().max(1);
        let number = u64::try_from(u128::from(now.as_micros()) / span).unwrap_or(u64::MAX);
        let oldest = number.saturating_sub(u64::from(BUCKETS));
        while self.buckets.front().is_some_and(|bucket| bucket.number < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("a bucket was pushed")
    }
}
