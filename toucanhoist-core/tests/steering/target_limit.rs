//! Limits that targets name, kept by all hosts together, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        id,
        steering::{Announced, Balancer, LimitReport, Outcome, Placement, Target, Ticket},
        unit::Rate,
    },
};

use crate::support::{
    at, config, host_name, name, place_of, request, settings, target, target_name,
};

const TARGETS: usize = 12;
/// Requests a second, of all callers together.
const REQUESTS_PER_S: f64 = 66.0;
const OBJECTS: u64 = 200;
const PROCESSING_MS: u64 = 200;
/// Time from which the first target names its limit.
const NAMED_MS: u64 = 8_000;
const END_MS: u64 = 24_000;
/// Time after a naming, or a restart of a host, from which the limit must be kept.
const GRACE_MS: u64 = 3_000;
/// Time after which a host that was told counts.
const TOLD_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;
/// Interval at which a host sends what is due.
const TICK_MS: u64 = 100;

/// Network between the hosts.
#[derive(Clone)]
struct Network {
    /// Share of the messages that are lost.
    loss: f64,
    /// Share of the messages that arrive `late_ms` later than others.
    late: f64,
    late_ms: u64,
    /// Time in which hosts with odd and even numbers cannot reach each other.
    cut: Range<u64>,
}

impl Default for Network {
    fn default() -> Network {
        Network { loss: 0.0, late: 0.0, late_ms: 0, cut: 0..0 }
    }
}

/// Hosts and targets, of which the first one names a limit.
struct Fleet {
    rng: Xoshiro256PlusPlus,
    network: Network,
    hosts: Vec<Balancer>,
    /// Data centres of the hosts that have registered.
    registered: BTreeMap<id::EntryHost, id::DataCentre>,
    /// Numbers of the hosts that callers use.
    used: Vec<usize>,
    /// Start time of the limited target.
    born: u64,
    limit: Option<f64>,
    /// Requests that run, by their end.
    running: BTreeMap<(u64, u64), (usize, Ticket)>,
    /// Messages by the time of their arrival.
    messages: BTreeMap<(u64, u64), (usize, Vec<LimitReport>)>,
    /// When each host was first told of the limit, in milliseconds.
    told: Vec<Option<u64>>,
    /// When each host was last restarted.
    restarted: Vec<Option<u64>>,
    /// Requests that the limited target got, in milliseconds, with their hosts.
    sent: Vec<(u64, usize)>,
    message_count: Vec<usize>,
    next_number: u64,
    now: u64,
}

impl Fleet {
    fn new(hosts: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            network: Network::default(),
            hosts: Vec::new(),
            registered: BTreeMap::new(),
            used: (0..hosts).collect(),
            born: 1,
            limit: None,
            running: BTreeMap::new(),
            messages: BTreeMap::new(),
            told: Vec::new(),
            restarted: Vec::new(),
            sent: Vec::new(),
            message_count: Vec::new(),
            next_number: 0,
            now: 0,
        };
        (0..hosts).for_each(|number| fleet.register(number));
        (0..hosts).for_each(|number| fleet.add_host(number));
        fleet
    }

    fn register(&mut self, number: usize) {
        self.registered.insert(host_name(number), name(place_of(number)));
    }

    fn add_host(&mut self, number: usize) {
        self.hosts.push(self.start(number));
        self.told.push(None);
        self.restarted.push(None);
        self.message_count.push(0);
    }

    fn start(&self, number: usize) -> Balancer {
        let place = place_of(number);
        let mut balancer = Balancer::new(settings(host_name(number).as_str(), place));
        balancer.set_config(at(self.now), &config());
        balancer.set_hosts(at(self.now), self.registered.clone());
        for number in 0..TARGETS {
            let entry = self.entry(number);
            balancer.set_target(at(self.now), &target_name(number), Some(&entry));
        }
        balancer
    }

    fn entry(&self, number: usize) -> Target {
        let entry = target(place_of(number), 3);
        Target { born: if number == 0 { self.born } else { 1 }, ..entry }
    }

    fn restart_host(&mut self, number: usize) {
        self.hosts[number] = self.start(number);
        self.running.retain(|_, (host, _)| *host != number);
        self.messages.retain(|_, (host, _)| *host != number);
        (self.told[number], self.restarted[number]) = (None, Some(self.now));
    }

    fn set_target(&mut self, entry: Option<&Target>) {
        let now = at(self.now);
        self.hosts.iter_mut().for_each(|host| host.set_target(now, &target_name(0), entry));
    }

    fn run_until(&mut self, millis: u64) {
        while self.now < millis {
            self.end_requests();
            self.receive();
            if self.rng.random_bool(REQUESTS_PER_S / 1_000.0) {
                self.place();
            }
            for number in 0..self.hosts.len() {
                // Hosts tick at different moments.
                let is_tick = (self.now + number as u64 * 7) % TICK_MS == 0;
                if is_tick {
                    let decided = self.hosts[number].poll(at(self.now));
                    self.deliver(number, decided);
                }
                if is_tick || self.hosts[number].has_unsent_limits() {
                    self.send_reports(number);
                }
            }
            self.now += 1;
        }
    }

    fn end_requests(&mut self) {
        while let Some(entry) = self.running.first_entry().filter(|next| next.key().0 <= self.now) {
            let (host, ticket) = entry.remove();
            let limit = self.limit.filter(|_| ticket.target == target_name(0));
            let announced = match limit {
                Some(limit) => Announced::Limit(Rate::per_second(limit)),
                None => Announced::Unlimited,
            };
            if limit.is_some() {
                self.told[host].get_or_insert(self.now);
            }
            let took = Duration::from_millis(PROCESSING_MS);
            let outcome = Outcome::Answered { took, report: None, announced, failed: false };
            self.hosts[host].end(at(self.now), &ticket, outcome);
        }
    }

    fn place(&mut self) {
        let number = self.used[self.rng.random_range(0..self.used.len())];
        self.next_number += 1;
        let mut request = request(self.next_number, at(self.now));
        request.object = Some(self.rng.random_range(0..OBJECTS));
        let decided = self.hosts[number].place(at(self.now), request);
        self.deliver(number, decided);
    }

    fn deliver(&mut self, host: usize, decided: Vec<(u64, Placement)>) {
        for (number, placement) in decided {
            let Placement::Send(ticket) = placement else { continue };
            if ticket.target == target_name(0) {
                self.sent.push((self.now, host));
            }
            self.running.insert((self.now + PROCESSING_MS, number), (host, ticket));
        }
    }

    fn send_reports(&mut self, from: usize) {
        for (to, reports) in self.hosts[from].due_limit_reports(at(self.now)) {
            self.message_count[from] += 1;
            let to: usize = to.as_str()[1..].parse().expect("a number");
            let is_cut = self.network.cut.contains(&self.now) && from % 2 != to % 2;
            if to >= self.hosts.len() || is_cut || self.rng.random_bool(self.network.loss) {
                continue;
            }
            let mut arrives = self.now + self.rng.random_range(1..30);
            if self.rng.random_bool(self.network.late) {
                arrives += self.network.late_ms;
            }
            self.next_number += 1;
            self.messages.insert((arrives, self.next_number), (to, reports));
        }
    }

    fn receive(&mut self) {
        while let Some(entry) = self.messages.first_entry().filter(|next| next.key().0 <= self.now)
        {
            let (to, reports) = entry.remove();
            self.hosts[to].merge_limits(at(self.now), reports);
        }
    }

    /// Runs until the first target names a limit, and for the time of grace after it.
    fn name_limit(&mut self, limit: f64) {
        self.run_until(NAMED_MS);
        self.limit = Some(limit);
        self.run_until(NAMED_MS + GRACE_MS);
    }

    /// Returns the most requests that the limited target got in a window within a time, from all
    /// hosts but those that were restarted shortly before.
    fn most(&self, time: Range<u64>) -> usize {
        let is_counted = |&&(sent, host): &&(u64, usize)| {
            let is_calm =
                self.restarted[host].is_none_or(|at| !(at..at + GRACE_MS).contains(&sent));
            time.contains(&sent) && is_calm
        };
        most_in_window(self.sent.iter().filter(is_counted))
    }

    /// The same, from hosts that had been told by the target itself.
    fn most_from_told(&self) -> usize {
        let is_counted = |&&(sent, host): &&(u64, usize)| {
            sent >= NAMED_MS + GRACE_MS
                && self.told[host].is_some_and(|told| sent >= told + TOLD_MS)
        };
        most_in_window(self.sent.iter().filter(is_counted))
    }

    #[track_caller]
    fn assert_kept(&self, limit: f64, time: Range<u64>) {
        let most = self.most(time);
        assert!(most as f64 <= allowed(limit), "{most} requests in 4 s at a limit of {limit}/s");
    }

    /// Returns the requests a second that the limited target got.
    fn rate(&self, time: Range<u64>) -> f64 {
        let count = self.sent.iter().filter(|(sent, _)| time.contains(sent)).count();
        count as f64 / Duration::from_millis(time.end - time.start).as_secs_f64()
    }
}

/// Returns the most of some requests in a window.
fn most_in_window<'a>(sent: impl Iterator<Item = &'a (u64, usize)>) -> usize {
    let times: Vec<u64> = sent.map(|(time, _)| *time).collect();
    let in_window = |(first, from): (usize, &u64)| {
        times[first..].iter().take_while(|time| **time < from + WINDOW_MS).count()
    };
    times.iter().enumerate().map(in_window).max().unwrap_or(0)
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
    let mut fleet = Fleet::new(hosts, seed);
    fleet.name_limit(limit);
    fleet.run_until(END_MS);
    let most = fleet.most_from_told();
    assert!(most as f64 <= allowed(limit), "{most} requests in 4 s at a limit of {limit}/s");
    fleet.assert_kept(limit, NAMED_MS + GRACE_MS..END_MS);
}

#[rstest]
fn a_limit_is_kept_while_messages_are_lost_or_late(
    #[values(2, 8, 300)] hosts: usize,
    #[values(0.0, 2.3, 12.0)] limit: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = Fleet::new(hosts, seed);
    fleet.network = Network { loss: 0.3, late: 0.2, late_ms: 2_000, ..Network::default() };
    fleet.name_limit(limit);
    fleet.run_until(END_MS);
    fleet.assert_kept(limit, NAMED_MS + GRACE_MS..END_MS);
}

#[rstest]
fn a_limit_is_kept_while_hosts_cannot_reach_each_other(
    #[values(2, 8, 90)] hosts: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = Fleet::new(hosts, seed);
    fleet.network.cut = NAMED_MS - 1_000..NAMED_MS + 9_000;
    fleet.name_limit(2.3);
    fleet.run_until(END_MS);
    // A half that no answer has reached yet may exceed the limit; it has not been told.
    let most = fleet.most_from_told();
    assert!(most as f64 <= allowed(2.3), "{most} requests in 4 s");
    fleet.assert_kept(2.3, NAMED_MS + 12_000..END_MS);
}

#[rstest]
fn a_limit_is_kept_while_hosts_restart(
    #[values(2, 8, 90)] hosts: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(hosts, seed);
    fleet.name_limit(2.3);
    for restart in 0..24 {
        fleet.run_until(NAMED_MS + GRACE_MS + restart * 700);
        fleet.restart_host(restart as usize % hosts);
    }
    fleet.run_until(END_MS + 6_000);
    fleet.assert_kept(2.3, NAMED_MS + GRACE_MS..END_MS + 6_000);
}

// Hosts that have not registered take parts of which the others do not know.
#[rstest]
fn a_limit_is_kept_beside_hosts_that_have_not_registered(
    #[values(2, 8)] hosts: usize,
    #[values(2.3, 6.0)] limit: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(hosts, seed);
    for added in hosts..2 * hosts {
        fleet.add_host(added);
        fleet.used.push(added);
    }
    fleet.name_limit(limit);
    fleet.run_until(END_MS);
    fleet.assert_kept(limit, NAMED_MS + GRACE_MS..END_MS);
}

#[rstest]
fn a_limit_is_kept_while_hosts_come_and_go(#[values(2, 8, 90)] hosts: usize) {
    let mut fleet = Fleet::new(hosts, 1);
    fleet.name_limit(2.3);
    for change in 0..6 {
        fleet.run_until(NAMED_MS + GRACE_MS + change * 1_500);
        let new = fleet.hosts.len();
        fleet.register(new);
        fleet.add_host(new);
        fleet.used.push(new);
        let gone = fleet.used.remove(0);
        fleet.registered.remove(&host_name(gone));
        // Hosts learn of the change one after the other.
        for number in 0..fleet.hosts.len() {
            let registered = fleet.registered.clone();
            fleet.run_until(fleet.now + 200 / fleet.hosts.len() as u64);
            fleet.hosts[number].set_hosts(at(fleet.now), registered);
        }
    }
    fleet.run_until(END_MS);
    fleet.assert_kept(2.3, NAMED_MS + GRACE_MS..END_MS);
}

#[rstest]
fn a_limit_is_kept_through_changes_of_the_targets_entry_and_the_configuration(
    #[values(8, 90)] hosts: usize,
) {
    let mut fleet = Fleet::new(hosts, 1);
    fleet.name_limit(2.3);
    for change in 0..8 {
        fleet.run_until(NAMED_MS + GRACE_MS + change * 1_200);
        // The entry is missing for a moment, as after an outage of the store.
        fleet.set_target(None);
        fleet.run_until(fleet.now + 300);
        let entry = fleet.entry(0);
        fleet.set_target(Some(&entry));
        let now = at(fleet.now);
        fleet.hosts.iter_mut().for_each(|host| host.set_config(now, &config()));
        let evacuated = BTreeSet::from([name("s1")]);
        let evacuated = if change % 2 == 0 { evacuated } else { BTreeSet::new() };
        fleet.hosts.iter_mut().for_each(|host| host.set_evacuated(now, evacuated.clone()));
    }
    fleet.run_until(END_MS);
    fleet.assert_kept(2.3, NAMED_MS + GRACE_MS..END_MS);
}

#[rstest]
#[case::lower(6.0, 1.0)]
#[case::higher(1.0, 4.0)]
fn a_changed_limit_is_kept(
    #[case] first: f64,
    #[case] second: f64,
    #[values(1, 8, 300)] hosts: usize,
) {
    let mut fleet = Fleet::new(hosts, 1);
    fleet.network.loss = 0.3;
    fleet.name_limit(first);
    fleet.run_until(END_MS);
    fleet.assert_kept(first, NAMED_MS + GRACE_MS..END_MS);
    fleet.limit = Some(second);
    fleet.run_until(END_MS + 15_000);
    fleet.assert_kept(second, END_MS + GRACE_MS..END_MS + 15_000);
}

/// The limited target's usual rate is a twelfth of all requests, 5.5 a second.
#[rstest]
fn a_target_gets_its_usual_requests_again_after_its_limit_has_ended(
    #[values(1, 8, 300)] hosts: usize,
    #[values(0.0, 2.3)] limit: f64,
) {
    let mut fleet = Fleet::new(hosts, 1);
    fleet.network.loss = 0.3;
    fleet.name_limit(limit);
    fleet.run_until(END_MS);
    fleet.limit = None;
    fleet.run_until(END_MS + 60_000);
    let (before, after) =
        (fleet.rate(1_000..NAMED_MS), fleet.rate(END_MS + 30_000..END_MS + 60_000));
    assert!(after > 0.6 * before, "{after:.1}/s, {before:.1}/s before the limit");
}

/// The hosts that hold the rate have no callers, so only others can notice that the limit has
/// ended.
#[test]
fn the_end_of_a_limit_is_noticed_without_the_hosts_that_hold_the_rate() {
    let mut fleet = Fleet::new(9, 1);
    fleet.name_limit(2.3);
    // The target's region has the data centres of the first two of each three hosts.
    fleet.used.retain(|host| host % 3 == 2);
    fleet.run_until(END_MS);
    fleet.limit = None;
    fleet.run_until(END_MS + 60_000);
    assert_eq!(fleet.hosts.iter().map(Balancer::limited_targets).sum::<usize>(), 0);
}

#[rstest]
fn a_limit_ends_with_the_incarnation_of_its_target(#[values(1, 8)] hosts: usize) {
    let mut fleet = Fleet::new(hosts, 1);
    fleet.name_limit(0.5);
    fleet.run_until(END_MS);
    (fleet.born, fleet.limit) = (2, None);
    let entry = fleet.entry(0);
    fleet.set_target(Some(&entry));
    fleet.run_until(END_MS + 10_000);
    let (before, after) =
        (fleet.rate(1_000..NAMED_MS), fleet.rate(END_MS + 2_000..END_MS + 10_000));
    assert!(after > 0.6 * before, "{after:.1}/s, {before:.1}/s before the limit");
}

/// A target in need still serves what it can.
#[rstest]
fn a_limit_is_used(#[values(1, 2, 8)] hosts: usize, #[values(1.0, 2.3)] limit: f64) {
    let mut fleet = Fleet::new(hosts, 1);
    fleet.name_limit(limit);
    fleet.run_until(END_MS + 20_000);
    let rate = fleet.rate(NAMED_MS + GRACE_MS..END_MS + 20_000);
    assert!(rate > 0.5 * limit, "{rate:.2}/s at a limit of {limit}/s");
}

#[rstest]
fn the_messages_of_a_host_do_not_grow_with_the_fleet(#[values(8, 90, 300)] hosts: usize) {
    let mut fleet = Fleet::new(hosts, 1);
    fleet.name_limit(2.3);
    fleet.message_count = vec![0; hosts];
    fleet.run_until(END_MS);
    let seconds = Duration::from_millis(END_MS - NAMED_MS - GRACE_MS).as_secs_f64();
    let busiest = *fleet.message_count.iter().max().expect("a host") as f64 / seconds;
    assert!(busiest <= 3.0, "{busiest:.1} messages a second");
}
