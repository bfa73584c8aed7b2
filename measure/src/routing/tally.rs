//! Counts and latencies of a run.

use std::time::Duration;

use toucanhoist_core::clock::Time;

use super::setup::{Request, Setup, WARM_UP};

const INTERVAL: Duration = Duration::from_secs(10);

/// Outcomes of the requests of a run.
pub(super) struct Tally {
    micros: Vec<u64>,
    by_account: Vec<Vec<u64>>,
    refused_by_account: Vec<u64>,
    /// Refused requests, none of which ran.
    pub(super) refused: u64,
    /// Requests refused while a target had a free slot.
    pub(super) refused_with_free_slot: u64,
    /// Requests whose deadline passed at a target, or that were lost with their host or target.
    pub(super) failed: u64,
    /// Requests that arrived at a target while all its slots were in use.
    pub(super) to_full: u64,
    /// Work done by each target.
    busy: Vec<Duration>,
    /// Arrived requests, and those that crossed regions, of each service and interval.
    crossings: Vec<Vec<(u64, u64)>>,
}

impl Tally {
    pub(super) fn new(setup: &Setup) -> Tally {
        Tally {
            micros: Vec::new(),
            by_account: vec![Vec::new(); setup.accounts.len()],
            refused_by_account: vec![0; setup.accounts.len()],
            refused: 0,
            refused_with_free_slot: 0,
            failed: 0,
            to_full: 0,
            busy: vec![Duration::ZERO; setup.targets.len()],
            crossings: vec![vec![(0, 0); 8]; setup.services.len()],
        }
    }

    pub(super) fn served(&mut self, request: &Request, at: Time) {
        if request.arrived_at >= WARM_UP {
            let micros = at.since(request.arrived_at).as_micros() as u64;
            self.micros.push(micros);
            self.by_account[request.account].push(micros);
        }
    }

    pub(super) fn refused(&mut self, request: &Request, free: bool) {
        if request.arrived_at >= WARM_UP {
            self.refused += 1;
            self.refused_by_account[request.account] += 1;
            self.refused_with_free_slot += u64::from(free);
        }
    }

    pub(super) fn failed(&mut self, request: &Request) {
        self.failed += u64::from(request.arrived_at >= WARM_UP);
    }

    pub(super) fn sent_to_full(&mut self, request: &Request) {
        self.to_full += u64::from(request.arrived_at >= WARM_UP);
    }

    pub(super) fn busy(&mut self, target: usize, request: &Request) {
        if request.arrived_at >= WARM_UP {
            self.busy[target] += request.work;
        }
    }

    /// Counts a request of a service.
    pub(super) fn arrived(&mut self, request: &Request) {
        self.interval(request.service, request.arrived_at).0 += 1;
    }

    pub(super) fn crossed(&mut self, service: usize, at: Time) {
        self.interval(service, at).1 += 1;
    }

    fn interval(&mut self, service: usize, at: Time) -> &mut (u64, u64) {
        let i = (at.as_micros() as u128 / INTERVAL.as_micros()) as usize;
        let last = self.crossings[service].len() - 1;
        &mut self.crossings[service][i.min(last)]
    }

    /// Returns the largest growth, from one interval to the next, of the share of requests that
    /// cross regions.
    pub(super) fn shift_max(&self) -> f64 {
        let share = |&(arrived, crossed): &(u64, u64)| crossed as f64 / arrived.max(1) as f64;
        let growth = |pair: &[(u64, u64)]| share(&pair[1]) - share(&pair[0]);
        self.crossings
            .iter()
            .flat_map(|intervals| intervals[1..4].windows(2).map(growth))
            .fold(0.0, f64::max)
    }

    pub(super) fn count(&self) -> u64 {
        self.micros.len() as u64 + self.refused + self.failed
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub(super) fn latency_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.micros, quantile)
    }

    /// Returns the 99th percentile of the worst-served account, in milliseconds.
    pub(super) fn worst_account_ms(&self) -> f64 {
        let worst = self.by_account.iter().map(|micros| quantile_ms(micros, 0.99));
        worst.fold(0.0, f64::max)
    }

    /// Returns the largest share of an account's requests that was refused.
    pub(super) fn worst_account_refused(&self) -> f64 {
        let share = |(refused, served): (&u64, &Vec<u64>)| {
            *refused as f64 / (*refused + served.len() as u64).max(1) as f64
        };
        let shares = self.refused_by_account.iter().zip(&self.by_account).map(share);
        shares.fold(0.0, f64::max)
    }

    /// Returns the mean utilisation of the fullest target and of the fullest region.
    pub(super) fn fullest(&self, setup: &Setup, span: Duration) -> (f64, f64) {
        let utilisation = |busy: Duration, slots: u32| {
            busy.as_secs_f64() / (span.as_secs_f64() * f64::from(slots.max(1)))
        };
        let targets = setup.targets.iter().zip(&self.busy);
        let fullest =
            targets.clone().map(|(t, busy)| utilisation(*busy, t.slots)).fold(0.0, f64::max);
        let region = |number: usize| {
            let inside =
                targets.clone().filter(|(t, _)| setup.data_centres[t.data_centre].1 == number);
            let (slots, busy) = inside
                .fold((0, Duration::ZERO), |(slots, busy), (t, b)| (slots + t.slots, busy + *b));
            utilisation(busy, slots)
        };
        (fullest, (0..3).map(region).fold(0.0, f64::max))
    }
}

fn quantile_ms(micros: &[u64], quantile: f64) -> f64 {
    if micros.is_empty() {
        return 0.0;
    }
    let mut sorted = micros.to_vec();
    let index = ((sorted.len() - 1) as f64 * quantile) as usize;
    let (_, value, _) = sorted.select_nth_unstable(index);
    *value as f64 / 1_000.0
}
