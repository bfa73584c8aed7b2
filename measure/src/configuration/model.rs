//! Simulation of configuration changes at the planned fleet size, in virtual time.
//!
//! The followers are the core's own code. All hosts share one correct view of the membership.
//! Heartbeats are modelled as comparisons of revisions: in each probe interval, each host compares
//! with a random host of its data centre, and each delegate with a random delegate of the fleet. The
//! exchange interval of the delegates is taken to be as long as the probe interval, which it is by
//! default.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    toucanhoist_core::{
        clock::Time,
        configuration::{Body, Delta, Entry, Envelope, Follower, Message, Step},
        fleet::{Account, Fleet},
        id,
        membership::{Config, Incarnation, Member, State, View},
        unit::Rate,
    },
};

use super::Propagation;

const CHANGES: usize = 12;
const CHANGES_PER_DAY: f64 = 6_800.0;
const DAY_S: f64 = 86_400.0;
const TICK: Duration = Duration::from_millis(50);
const TABLE_READ_INTERVAL: Duration = Duration::from_secs(1);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);
const SAME_DATA_CENTRE_MS: f64 = 1.5;
const OTHER_DATA_CENTRE_MS: f64 = 20.0;
/// Hosts of each data centre that read the platform's table.
const WATCHERS: usize = 2;
/// Bytes of HTTP/2 frames and headers, TCP and IP for one call and its answer.
const CALL_OVERHEAD_BYTES: usize = 400;
const HEAD_ROW_BYTES: f64 = 600.0;
const POLL_INTERVAL_S: f64 = 0.5;
const PLATFORM_READS_PER_S: f64 = 2_000.0;

/// Fault while changes propagate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    None,
    /// One push in five is lost.
    Loss,
    /// No host can read the table.
    Platform,
    /// The host that wrote the change pushes it to no host, as if it had crashed. It still compares
    /// revisions with other hosts.
    Writer,
}

impl Fault {
    pub(super) const ALL: [Fault; 4] = [Fault::None, Fault::Loss, Fault::Platform, Fault::Writer];

    pub(super) fn as_str(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::Loss => "20 % of pushes lost",
            Fault::Platform => "platform unreadable",
            Fault::Writer => "writer dies at once",
        }
    }
}

struct Simulation {
    now: Time,
    view: View,
    fault: Fault,
    followers: Vec<Follower>,
    /// Hosts of each data centre.
    local: Vec<Vec<usize>>,
    data_centre: Vec<usize>,
    watchers: Vec<usize>,
    delegates: Vec<usize>,
    host_by_address: std::collections::HashMap<SocketAddr, usize>,
    in_flight: BTreeMap<(Time, u64), (usize, usize, Message)>,
    latest: Option<Arc<Entry>>,
    in_force: Vec<(id::Revision, Time)>,
    sent: u64,
    bytes: u64,
    reads: u64,
    rng: Xoshiro256PlusPlus,
}

pub(super) fn simulate_tree(
    data_centres: usize,
    hosts: usize,
    fault: Fault,
    seed: u64,
) -> Propagation {
    let mut simulation = Simulation::new(data_centres, hosts, fault, seed);
    let (mut fleet, mut p99s, mut last) = (Fleet::default(), Vec::new(), 0.0_f64);
    let mut bytes = 0;
    let started = simulation.now;
    for number in 1..=CHANGES {
        let pause = simulation.rng.random_range(0..2_000);
        simulation.run(Duration::from_millis(pause), None);
        let mut next = fleet.clone();
        next.accounts.push(account(number));
        let entry = Arc::new(Entry {
            revision: u64::try_from(number).unwrap_or_default().into(),
            change: simulation.rng.random::<u128>().into(),
            author: "operator".into(),
            reason: "a reason of usual length for a change".into(),
            at_unix_ms: 1_700_000_000_000,
            touches: vec!["account account-1 added".into()],
            body: Body::Delta(Box::new(Delta::between(&fleet, &next))),
        });
        fleet = next;
        let (before, accepted) = (simulation.bytes, simulation.now);
        simulation.publish(Arc::clone(&entry));
        simulation.run(CHANGE_TIMEOUT, Some(&entry));
        bytes += simulation.bytes - before;
        let mut times: Vec<f64> = simulation
            .in_force
            .iter()
            .map(|(revision, at)| match *revision >= entry.revision {
                true => at.since(accepted).as_secs_f64(),
                false => f64::INFINITY,
            })
            .collect();
        times.sort_by(f64::total_cmp);
        p99s.push(times[(times.len() * 99).div_ceil(100) - 1]);
        last = last.max(times[times.len() - 1]);
    }
    p99s.sort_by(f64::total_cmp);
    let bytes_per_change = bytes as f64 / CHANGES as f64 / hosts as f64;
    let watch_bytes_per_s = simulation.watchers.len() as f64 * HEAD_ROW_BYTES / hosts as f64;
    Propagation {
        p99_s: p99s[p99s.len() / 2],
        last_s: last,
        bytes_per_s: bytes_per_change * CHANGES_PER_DAY / DAY_S + watch_bytes_per_s,
        reads_per_s: simulation.reads as f64 / simulation.now.since(started).as_secs_f64(),
    }
}

/// Simulates the baseline: every host reads the complete document twice a second, or as often as
/// the platform's read rate permits.
pub(super) fn simulate_polling(hosts: usize, seed: u64) -> Propagation {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let document = serde_json::to_vec(&Fleet {
        accounts: (0..CHANGES).map(account).collect(),
        ..Fleet::default()
    });
    let read_bytes = document.map_or(0, |text| text.len() + CALL_OVERHEAD_BYTES);
    let offered_per_s = hosts as f64 / POLL_INTERVAL_S;
    let reads_per_s = offered_per_s.min(PLATFORM_READS_PER_S);
    let interval = hosts as f64 / reads_per_s;
    let mut p99s = Vec::new();
    let mut last = 0.0_f64;
    for _ in 0..CHANGES {
        let mut times: Vec<f64> = (0..hosts)
            .map(|_| rng.random_range(0.0..interval) + OTHER_DATA_CENTRE_MS * 2e-3)
            .collect();
        times.sort_by(f64::total_cmp);
        p99s.push(times[(hosts * 99).div_ceil(100) - 1]);
        last = last.max(times[hosts - 1]);
    }
    p99s.sort_by(f64::total_cmp);
    Propagation {
        p99_s: p99s[CHANGES / 2],
        last_s: last,
        bytes_per_s: read_bytes as f64 / interval,
        reads_per_s,
    }
}

fn account(number: usize) -> Account {
    let name = format!("account-{number}").parse().expect("valid name");
    Account { name, rate: Rate::per_second(100.0), burst: 100, weight: 1 }
}

impl Simulation {
    fn new(data_centres: usize, hosts: usize, fault: Fault, seed: u64) -> Simulation {
        let mut members: Vec<Member> = (0..hosts)
            .map(|host| Member {
                name: format!("entry-{host:05}").parse().expect("valid name"),
                incarnation: Incarnation::default(),
                data_centre: format!("dc-{:03}", host % data_centres).parse().expect("valid name"),
                callers: "http://10.0.0.1:8080".into(),
                peers: SocketAddr::from(([10, 0, 0, 1], u16::try_from(host + 1).unwrap_or(0))),
                state: State::Live,
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let host_by_address = members.iter().enumerate().map(|(i, m)| (m.peers, i)).collect();
        let mut local = vec![Vec::new(); data_centres];
        for host in 0..hosts {
            local[host % data_centres].push(host);
        }
        let view = View { members };
        let delegates = Config::default().delegates;
        let first_of_each =
            |count: usize| local.iter().flat_map(move |l| l.iter().take(count).copied());
        Simulation {
            now: Time::ZERO,
            fault,
            followers: (0..hosts).map(|_| Follower::default()).collect(),
            data_centre: (0..hosts).map(|host| host % data_centres).collect(),
            watchers: first_of_each(WATCHERS).collect(),
            delegates: first_of_each(delegates).collect(),
            local,
            host_by_address,
            in_flight: BTreeMap::new(),
            latest: None,
            in_force: vec![(id::Revision::default(), Time::ZERO); hosts],
            sent: 0,
            bytes: 0,
            reads: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            view,
        }
    }

    /// Lets a random host write and publish a change.
    fn publish(&mut self, entry: Arc<Entry>) {
        self.latest = Some(Arc::clone(&entry));
        let writer = self.rng.random_range(0..self.followers.len());
        let member = self.view.members[writer].clone();
        let mut step = self.followers[writer].publish(&self.view, &member, entry);
        if self.fault == Fault::Writer {
            step.outgoing.clear();
        }
        self.apply_step(writer, step);
    }

    /// Runs for `span`, or until `entry` is in force everywhere.
    fn run(&mut self, span: Duration, entry: Option<&Arc<Entry>>) {
        let end = self.now + span;
        while self.now < end {
            let is_everywhere = |entry: &Arc<Entry>| {
                self.in_force.iter().all(|(revision, _)| *revision >= entry.revision)
            };
            if entry.is_some_and(is_everywhere) {
                return;
            }
            let next = self.now + TICK;
            self.deliver(next);
            self.now = next;
            self.send_heartbeats();
            self.read_table();
        }
    }

    fn send_heartbeats(&mut self) {
        let ticks = self.now.as_micros() / u64::try_from(TICK.as_micros()).unwrap_or(1);
        let every = Config::default().probe_interval.as_micros() / TICK.as_micros();
        let every = usize::try_from(every).unwrap_or(1);
        let turn = usize::try_from(ticks).unwrap_or(0) % every;
        for host in (turn..self.followers.len()).step_by(every) {
            let local = &self.local[self.data_centre[host]];
            let other = local[self.rng.random_range(0..local.len())];
            self.compare_revisions(host, other);
        }
        for index in (turn..self.delegates.len()).step_by(every) {
            let host = self.delegates[index];
            let other = self.delegates[self.rng.random_range(0..self.delegates.len())];
            self.compare_revisions(host, other);
        }
    }

    /// Lets two hosts compare their revisions, as a probe and its answer do.
    fn compare_revisions(&mut self, a: usize, b: usize) {
        for (host, other) in [(a, b), (b, a)] {
            let revision = self.followers[other].replica().revision();
            let from = self.view.members[other].peers;
            let pull = self.followers[host].pull_if_behind(self.now, from, revision);
            self.dispatch(host, pull.into_iter().collect());
        }
    }

    fn read_table(&mut self) {
        let interval =
            usize::try_from(TABLE_READ_INTERVAL.as_micros() / TICK.as_micros()).unwrap_or(1);
        let ticks = self.now.as_micros() / u64::try_from(TICK.as_micros()).unwrap_or(1);
        let turn = usize::try_from(ticks).unwrap_or(0) % interval;
        for index in (turn..self.watchers.len()).step_by(interval) {
            self.reads += 1;
            if self.fault == Fault::Platform {
                continue;
            }
            let host = self.watchers[index];
            let member = self.view.members[host].clone();
            let entries: Vec<Arc<Entry>> = self.latest.iter().cloned().collect();
            let step = self.followers[host].apply_entries(&self.view, &member, &entries);
            self.reads += u64::from(step.is_new);
            self.apply_step(host, step);
        }
    }

    fn deliver(&mut self, until: Time) {
        while let Some(first) = self.in_flight.first_entry() {
            let (at, _) = *first.key();
            if at > until {
                return;
            }
            let (from, to, message) = first.remove();
            self.now = at.max(self.now);
            let (member, from) = (self.view.members[to].clone(), self.view.members[from].peers);
            let step = self.followers[to].receive(&self.view, &member, from, message);
            self.apply_step(to, step);
        }
    }

    fn apply_step(&mut self, host: usize, step: Step) {
        assert_eq!(step.contradictions, 0, "host {host} contradicts the history");
        if step.is_new {
            self.in_force[host] = (self.followers[host].replica().revision(), self.now);
        }
        self.dispatch(host, step.outgoing);
    }

    fn dispatch(&mut self, from: usize, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let Some(&to) = self.host_by_address.get(&envelope.to) else { continue };
            // Each byte is sent by one host and received by another.
            self.bytes += 2 * u64::try_from(message_bytes(&envelope.message)).unwrap_or_default();
            let is_push = matches!(envelope.message, Message::Push { .. });
            if is_push && self.fault == Fault::Loss && self.rng.random_range(0..5) == 0 {
                continue;
            }
            self.sent += 1;
            let is_near = self.data_centre[from] == self.data_centre[to];
            let ms = if is_near { SAME_DATA_CENTRE_MS } else { OTHER_DATA_CENTRE_MS }
                * self.rng.random_range(1.0..2.0);
            let at = self.now + Duration::from_secs_f64(ms / 1e3);
            self.in_flight.insert((at, self.sent), (from, to, envelope.message));
        }
    }
}

fn message_bytes(message: &Message) -> usize {
    let entries = match message {
        Message::Push { entries, .. } | Message::Entries { entries } => entries.as_slice(),
        Message::Pull { .. } | Message::Snapshot { .. } => &[],
    };
    let size = |entry: &Arc<Entry>| serde_json::to_vec(&**entry).map_or(0, |text| text.len());
    CALL_OVERHEAD_BYTES + entries.iter().map(size).sum::<usize>()
}
