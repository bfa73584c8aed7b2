//! Limits that targets name, kept by all hosts together, in virtual time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        id,
        steering::{Announced, Balancer, Outcome, Placement, Ticket},
        unit::Rate,
    },
};

use crate::support::{at, config, name, request, settings, target};

/// Data centres of hosts and targets.
const DATA_CENTRES: [&str; 3] = ["n1", "n2", "s1"];
const TARGETS: usize = 12;
/// Requests a second, of all callers together.
const REQUESTS_PER_S: f64 = 66.0;
const OBJECTS: u64 = 200;
const PROCESSING_MS: u64 = 200;
/// Time from which the first target names its limit.
const NAMED_MS: u64 = 8_000;
const END_MS: u64 = 24_000;
/// Time after the first naming from which the limit must be kept.
const GRACE_MS: u64 = 3_000;
/// Time after which a host that was told counts.
const TOLD_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;

/// Hosts and targets, of which the first one names a limit.
struct Fleet {
    rng: Xoshiro256PlusPlus,
    hosts: Vec<Balancer>,
    limit: f64,
    /// Requests that run, by their end.
    running: BTreeMap<(u64, u64), (usize, Ticket)>,
    /// When each host was first told of the limit, in milliseconds.
    told: Vec<Option<u64>>,
    /// Requests that the limited target got, in milliseconds, with their hosts.
    sent: VecDeque<(u64, usize)>,
    next_number: u64,
}

impl Fleet {
    fn new(hosts: usize, limit: f64, seed: u64) -> Fleet {
        let names: Vec<(id::EntryHost, &str)> = (0..hosts)
            .map(|host| (name(&format!("h{host}")), DATA_CENTRES[host % DATA_CENTRES.len()]))
            .collect();
        let places: BTreeMap<id::EntryHost, id::DataCentre> =
            names.iter().map(|(host, place)| (host.clone(), name(place))).collect();
        let balancer = |(host, place): &(id::EntryHost, &str)| {
            let mut balancer = Balancer::new(settings(host.as_str(), place));
            balancer.set_config(at(0), &config());
            balancer.set_hosts(places.clone());
            for number in 0..TARGETS {
                let entry = target(DATA_CENTRES[number % DATA_CENTRES.len()], 3);
                balancer.set_target(at(0), &name(&format!("t{number}")), Some(&entry));
            }
            balancer
        };
        Fleet {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            hosts: names.iter().map(balancer).collect(),
            limit,
            running: BTreeMap::new(),
            told: vec![None; hosts],
            sent: VecDeque::new(),
            next_number: 0,
        }
    }

    fn run(&mut self) {
        for millis in 0..END_MS {
            self.end_requests(millis);
            if self.rng.random_bool(REQUESTS_PER_S / 1_000.0) {
                self.place(millis);
            }
            if millis % 20 == 0 {
                for host in 0..self.hosts.len() {
                    let decided = self.hosts[host].poll(at(millis));
                    self.deliver(millis, host, decided);
                }
            }
        }
    }

    fn end_requests(&mut self, millis: u64) {
        while let Some(entry) = self.running.first_entry().filter(|next| next.key().0 <= millis) {
            let (host, ticket) = entry.remove();
            let names_limit = ticket.target == name("t0") && millis >= NAMED_MS;
            let announced = match names_limit {
                true => Announced::Limit(Rate::per_second(self.limit)),
                false => Announced::Unlimited,
            };
            if names_limit {
                self.told[host].get_or_insert(millis);
            }
            let took = Duration::from_millis(PROCESSING_MS);
            let outcome = Outcome::Answered { took, report: None, announced, failed: false };
            self.hosts[host].end(at(millis), &ticket, outcome);
        }
    }

    fn place(&mut self, millis: u64) {
        let host = self.rng.random_range(0..self.hosts.len());
        self.next_number += 1;
        let mut request = request(self.next_number, at(millis));
        request.object = Some(self.rng.random_range(0..OBJECTS));
        let decided = self.hosts[host].place(at(millis), request);
        self.deliver(millis, host, decided);
    }

    fn deliver(&mut self, millis: u64, host: usize, decided: Vec<(u64, Placement)>) {
        for (number, placement) in decided {
            let Placement::Send(ticket) = placement else { continue };
            if ticket.target == name("t0") {
                self.sent.push_back((millis, host));
            }
            self.running.insert((millis + PROCESSING_MS, number), (host, ticket));
        }
    }

    /// Returns the most requests that the limited target got in a window from hosts that had been told.
    fn most_in_window(&self) -> usize {
        let is_counted = |&&(sent, host): &&(u64, usize)| {
            sent >= NAMED_MS + GRACE_MS
                && self.told[host].is_some_and(|told| sent >= told + TOLD_MS)
        };
        let counted: Vec<u64> = self.sent.iter().filter(is_counted).map(|sent| sent.0).collect();
        let in_window = |(first, from): (usize, &u64)| {
            counted[first..].iter().take_while(|sent| **sent < from + WINDOW_MS).count()
        };
        counted.iter().enumerate().map(in_window).max().unwrap_or(0)
    }
}

/// Returns the requests that a limit allows in a window.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * Duration::from_millis(WINDOW_MS).as_secs_f64() + 5.0
}

#[rstest]
fn a_target_gets_no_more_requests_than_the_limit_that_it_names_allows(
    #[values(1, 2, 8, 90, 300)] hosts: usize,
    #[values(0.5, 2.3)] limit: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(hosts, limit, seed);
    fleet.run();
    let most = fleet.most_in_window();
    assert!(most as f64 <= allowed(limit), "{most} requests in 4 s at a limit of {limit}/s");
}
