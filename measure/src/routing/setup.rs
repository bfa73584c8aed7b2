//! The example fleets and their requests.

use std::{sync::Arc, time::Duration};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    toucanhoist_core::{catalog::Catalog, clock::Time, fleet::Fleet, id},
};

/// Share of the clients whose home is each data centre.
const HOMES: [f64; 6] = [0.20, 0.16, 0.18, 0.16, 0.16, 0.14];
/// Entry hosts of each data centre.
const HOSTS: [usize; 6] = [2, 2, 1, 1, 1, 1];
const WORK_MEAN_S: f64 = 0.1;
const WITHIN_DATA_CENTRE: Duration = Duration::from_micros(200);
const BETWEEN_REGIONS: Duration = Duration::from_millis(20);

/// Time from which requests are recorded.
pub(super) const WARM_UP: Time = Time::from_millis(15_000);
/// Time at which requests stop.
pub(super) const END: Time = Time::from_millis(45_000);
/// Time at which a region is lost, or the first host is replaced.
pub(super) const FAULT: Time = Time::from_millis(20_000);

/// Fault during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    None,
    /// The last region fails.
    Region,
    /// Hosts are replaced by new ones, one after the other.
    Rolling,
}

/// Load and fault of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    pub(super) load: f64,
    pub(super) fault: Fault,
}

/// A target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) name: id::Target,
    pub(super) service: usize,
    /// Index of the data centre.
    pub(super) data_centre: usize,
    pub(super) slots: u32,
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) arrived_at: Time,
    pub(super) service: usize,
    pub(super) home: usize,
    pub(super) account: usize,
    pub(super) work: Duration,
    pub(super) deadline: Time,
    /// Random number that selects a host of the home data centre.
    pub(super) host_choice: usize,
}

/// An example fleet.
pub(super) struct Setup {
    pub(super) user: &'static str,
    pub(super) catalog: Arc<Catalog>,
    /// Data centres and the indices of their regions.
    pub(super) data_centres: Vec<(id::DataCentre, usize)>,
    /// Data centre of each entry host.
    pub(super) hosts: Vec<usize>,
    pub(super) services: Vec<id::Service>,
    pub(super) targets: Vec<Target>,
    /// Name, weight and rate of each account.
    pub(super) accounts: Vec<(id::Account, u32, f64)>,
    /// One-way latency between data centres of a region.
    within_region: Duration,
}

impl Setup {
    pub(super) fn new(user: &'static str, text: &str, within_region: Duration) -> Setup {
        let fleet = Fleet::from_json(text).expect("valid example");
        let catalog = Arc::new(Catalog::new(1.into(), &fleet));
        let regions = fleet.regions.iter().enumerate();
        let data_centres: Vec<_> = regions
            .flat_map(|(i, region)| region.data_centres.iter().map(move |d| (d.clone(), i)))
            .collect();
        let index_of = |name: &id::DataCentre| data_centres.iter().position(|(d, _)| d == name);
        let services: Vec<id::Service> = fleet.services.iter().map(|s| s.name.clone()).collect();
        let mut targets = Vec::new();
        for (i, name) in services.iter().enumerate() {
            for target in &catalog.service(name).expect("a known service").targets {
                targets.push(Target {
                    name: target.name.clone(),
                    service: i,
                    data_centre: index_of(&target.data_centre).expect("a known data centre"),
                    slots: target.slots,
                });
            }
        }
        let hosts = HOSTS.iter().enumerate().flat_map(|(i, n)| std::iter::repeat_n(i, *n));
        let account = |a: &toucanhoist_core::fleet::Account| {
            (a.name.clone(), a.weight, a.rate.as_per_second())
        };
        Setup {
            user,
            hosts: hosts.collect(),
            accounts: fleet.accounts.iter().map(account).collect(),
            catalog,
            data_centres,
            services,
            targets,
            within_region,
        }
    }

    /// Returns the one-way latency between two data centres.
    pub(super) fn latency(&self, a: usize, b: usize) -> Duration {
        match () {
            () if a == b => WITHIN_DATA_CENTRE,
            () if self.data_centres[a].1 == self.data_centres[b].1 => self.within_region,
            () => BETWEEN_REGIONS,
        }
    }

    pub(super) fn slots(&self, service: usize) -> u32 {
        self.targets.iter().filter(|t| t.service == service).map(|t| t.slots).sum()
    }

    /// Generates the requests of a run, which are the same for every policy.
    pub(super) fn requests(&self, scenario: Scenario, seed: u64) -> Vec<Request> {
        let mut requests = Vec::new();
        for service in 0..self.services.len() {
            let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ ((service as u64 + 1) << 32));
            let per_s = scenario.load * f64::from(self.slots(service)) / WORK_MEAN_S;
            let mut arrived_at = Time::ZERO;
            loop {
                arrived_at =
                    arrived_at + Duration::from_secs_f64(exponential(&mut rng, 1.0 / per_s));
                if arrived_at > END {
                    break;
                }
                let weights: Vec<f64> = self.accounts.iter().map(|a| a.2).collect();
                requests.push(Request {
                    arrived_at,
                    service,
                    home: pick_weighted(&mut rng, &HOMES),
                    account: pick_weighted(&mut rng, &weights),
                    work: Duration::from_secs_f64(exponential(&mut rng, WORK_MEAN_S)),
                    deadline: arrived_at + self.catalog.fleet().defaults.deadline.as_duration(),
                    host_choice: rng.random_range(0..1_000),
                });
            }
        }
        requests.sort_by_key(|request| request.arrived_at);
        requests
    }
}

fn exponential(rng: &mut Xoshiro256PlusPlus, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}

fn pick_weighted(rng: &mut Xoshiro256PlusPlus, weights: &[f64]) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}
