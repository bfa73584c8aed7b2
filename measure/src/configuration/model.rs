//! Core instances at the planned size, in virtual time.
//!
//! Followers are the core's own. The view is shared and true; heartbeats are modelled as one
//! comparison of revisions a host and probe interval inside the data centre, and one a delegate and
//! exchange interval with another data centre.

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

use super::Found;

const CHANGES: usize = 12;
const CHANGES_PER_DAY: f64 = 6_800.0;
const DAY_S: f64 = 86_400.0;
const TICK: Duration = Duration::from_millis(50);
const TABLE_INTERVAL: Duration = Duration::from_secs(1);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);
const NEAR_MS: f64 = 1.5;
const FAR_MS: f64 = 20.0;
const WATCHERS: usize = 2;
/// HTTP/2 frames and headers, TCP and IP of one call and its answer.
const CALL_OVERHEAD_BYTES: usize = 400;
const HEAD_ROW_BYTES: f64 = 600.0;
const POLL_INTERVAL_S: f64 = 0.5;
const PLATFORM_READS_PER_S: f64 = 2_000.0;

/// What goes wrong while changes spread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    None,
    /// One push in five is lost.
    Loss,
    /// No host can read the table.
    Platform,
    /// The host that wrote the change dies before it tells anyone.
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

struct World {
    now: Time,
    view: View,
    fault: Fault,
    followers: Vec<Follower>,
    /// Hosts of each data centre.
    local: Vec<Vec<usize>>,
    data_centre: Vec<usize>,
    watchers: Vec<usize>,
    delegates: Vec<usize>,
    places: std::collections::HashMap<SocketAddr, usize>,
    under_way: BTreeMap<(Time, u64), (usize, usize, Message)>,
    latest: Option<Arc<Entry>>,
    in_force: Vec<(id::Revision, Time)>,
    sent: u64,
    bytes: u64,
    reads: u64,
    rng: Xoshiro256PlusPlus,
}

pub(super) fn tree(data_centres: usize, hosts: usize, fault: Fault, seed: u64) -> Found {
    let mut world = World::new(data_centres, hosts, fault, seed);
    let (mut fleet, mut ninety_nine, mut last) = (Fleet::default(), Vec::new(), 0.0_f64);
    let mut bytes = 0;
    let started = world.now;
    for number in 1..=CHANGES {
        let pause = world.rng.random_range(0..2_000);
        world.run(Duration::from_millis(pause), None);
        let mut next = fleet.clone();
        next.accounts.push(account(number));
        let entry = Arc::new(Entry {
            revision: u64::try_from(number).unwrap_or_default().into(),
            change: world.rng.random::<u128>().into(),
            author: "operator".into(),
            reason: "a reason of usual length for a change".into(),
            at_unix_ms: 1_700_000_000_000,
            touches: vec!["account account-1 added".into()],
            body: Body::Delta(Box::new(Delta::between(&fleet, &next))),
        });
        fleet = next;
        let (before, accepted) = (world.bytes, world.now);
        world.accept(Arc::clone(&entry));
        world.run(CHANGE_TIMEOUT, Some(&entry));
        bytes += world.bytes - before;
        let mut times: Vec<f64> = world
            .in_force
            .iter()
            .map(|(revision, at)| match *revision >= entry.revision {
                true => at.since(accepted).as_secs_f64(),
                false => f64::INFINITY,
            })
            .collect();
        times.sort_by(f64::total_cmp);
        ninety_nine.push(times[(times.len() * 99).div_ceil(100) - 1]);
        last = last.max(times[times.len() - 1]);
    }
    ninety_nine.sort_by(f64::total_cmp);
    let a_change = bytes as f64 / CHANGES as f64 / hosts as f64;
    let watching = world.watchers.len() as f64 * HEAD_ROW_BYTES / hosts as f64;
    Found {
        p99_s: ninety_nine[ninety_nine.len() / 2],
        last_s: last,
        bytes_per_s: a_change * CHANGES_PER_DAY / DAY_S + watching,
        reads_per_s: world.reads as f64 / world.now.since(started).as_secs_f64(),
    }
}

/// The baseline: every host reads the whole document twice a second, as far as the platform can.
pub(super) fn polling(hosts: usize, seed: u64) -> Found {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let document = serde_json::to_vec(&Fleet {
        accounts: (0..CHANGES).map(account).collect(),
        ..Fleet::default()
    });
    let document = document.map_or(0, |text| text.len() + CALL_OVERHEAD_BYTES);
    let wanted = hosts as f64 / POLL_INTERVAL_S;
    let reads_per_s = wanted.min(PLATFORM_READS_PER_S);
    let interval = hosts as f64 / reads_per_s;
    let mut ninety_nine = Vec::new();
    let mut last = 0.0_f64;
    for _ in 0..CHANGES {
        let mut times: Vec<f64> =
            (0..hosts).map(|_| rng.random_range(0.0..interval) + FAR_MS * 2e-3).collect();
        times.sort_by(f64::total_cmp);
        ninety_nine.push(times[(hosts * 99).div_ceil(100) - 1]);
        last = last.max(times[hosts - 1]);
    }
    ninety_nine.sort_by(f64::total_cmp);
    Found {
        p99_s: ninety_nine[CHANGES / 2],
        last_s: last,
        bytes_per_s: document as f64 / interval,
        reads_per_s,
    }
}

fn account(number: usize) -> Account {
    let name = format!("account-{number}").parse().expect("a name");
    Account { name, rate: Rate::per_second(100.0), burst: 100, weight: 1 }
}

impl World {
    fn new(data_centres: usize, hosts: usize, fault: Fault, seed: u64) -> World {
        let mut members: Vec<Member> = (0..hosts)
            .map(|host| Member {
                name: format!("entry-{host:05}").parse().expect("a name"),
                incarnation: Incarnation::default(),
                data_centre: format!("dc-{:03}", host % data_centres).parse().expect("a name"),
                callers: "http://10.0.0.1:8080".into(),
                peers: SocketAddr::from(([10, 0, 0, 1], u16::try_from(host + 1).unwrap_or(0))),
                state: State::Live,
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let places = members.iter().enumerate().map(|(i, m)| (m.peers, i)).collect();
        let mut local = vec![Vec::new(); data_centres];
        for host in 0..hosts {
            local[host % data_centres].push(host);
        }
        let view = View { members };
        let delegates = Config::default().delegates;
        let first = |count: usize| local.iter().flat_map(move |l| l.iter().take(count).copied());
        World {
            now: Time::ZERO,
            fault,
            followers: (0..hosts).map(|_| Follower::default()).collect(),
            data_centre: (0..hosts).map(|host| host % data_centres).collect(),
            watchers: first(WATCHERS).collect(),
            delegates: first(delegates).collect(),
            local,
            places,
            under_way: BTreeMap::new(),
            latest: None,
            in_force: vec![(id::Revision::default(), Time::ZERO); hosts],
            sent: 0,
            bytes: 0,
            reads: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            view,
        }
    }

    /// Lets a random host write a change.
    fn accept(&mut self, entry: Arc<Entry>) {
        self.latest = Some(Arc::clone(&entry));
        let writer = self.rng.random_range(0..self.followers.len());
        let me = self.view.members[writer].clone();
        let mut step = self.followers[writer].publish(&self.view, &me, entry);
        if self.fault == Fault::Writer {
            step.outgoing.clear();
        }
        self.finish(writer, step);
    }

    /// Runs for `span`, or until `entry` is in force everywhere.
    fn run(&mut self, span: Duration, entry: Option<&Arc<Entry>>) {
        let end = self.now + span;
        while self.now < end {
            let is_everywhere = |wanted: &Arc<Entry>| {
                self.in_force.iter().all(|(revision, _)| *revision >= wanted.revision)
            };
            if entry.is_some_and(is_everywhere) {
                return;
            }
            let next = self.now + TICK;
            self.deliver(next);
            self.now = next;
            self.heartbeats();
            self.read_table();
        }
    }

    fn heartbeats(&mut self) {
        let ticks = self.now.as_micros() / u64::try_from(TICK.as_micros()).unwrap_or(1);
        let every = Config::default().probe_interval.as_micros() / TICK.as_micros();
        let every = usize::try_from(every).unwrap_or(1);
        let turn = usize::try_from(ticks).unwrap_or(0) % every;
        for host in (turn..self.followers.len()).step_by(every) {
            let local = &self.local[self.data_centre[host]];
            let other = local[self.rng.random_range(0..local.len())];
            self.compare(host, other);
        }
        for place in (turn..self.delegates.len()).step_by(every) {
            let host = self.delegates[place];
            let other = self.delegates[self.rng.random_range(0..self.delegates.len())];
            self.compare(host, other);
        }
    }

    /// Lets two hosts see each other's revision, as a probe and its answer do.
    fn compare(&mut self, a: usize, b: usize) {
        for (host, other) in [(a, b), (b, a)] {
            let revision = self.followers[other].replica().revision();
            let from = self.view.members[other].peers;
            let pull = self.followers[host].pull_if_behind(self.now, from, revision);
            self.dispatch(host, pull.into_iter().collect());
        }
    }

    fn read_table(&mut self) {
        let interval = usize::try_from(TABLE_INTERVAL.as_micros() / TICK.as_micros()).unwrap_or(1);
        let ticks = self.now.as_micros() / u64::try_from(TICK.as_micros()).unwrap_or(1);
        let turn = usize::try_from(ticks).unwrap_or(0) % interval;
        for place in (turn..self.watchers.len()).step_by(interval) {
            self.reads += 1;
            if self.fault == Fault::Platform {
                continue;
            }
            let host = self.watchers[place];
            let me = self.view.members[host].clone();
            let entries: Vec<Arc<Entry>> = self.latest.iter().cloned().collect();
            let step = self.followers[host].apply_entries(&self.view, &me, &entries);
            self.reads += u64::from(step.is_new);
            self.finish(host, step);
        }
    }

    fn deliver(&mut self, until: Time) {
        while let Some(first) = self.under_way.first_entry() {
            let (at, _) = *first.key();
            if at > until {
                return;
            }
            let (from, to, message) = first.remove();
            self.now = at.max(self.now);
            let (me, from) = (self.view.members[to].clone(), self.view.members[from].peers);
            let step = self.followers[to].receive(&self.view, &me, from, message);
            self.finish(to, step);
        }
    }

    fn finish(&mut self, host: usize, step: Step) {
        assert_eq!(step.contradictions, 0, "host {host} contradicts the history");
        if step.is_new {
            self.in_force[host] = (self.followers[host].replica().revision(), self.now);
        }
        self.dispatch(host, step.outgoing);
    }

    fn dispatch(&mut self, from: usize, sends: Vec<Envelope>) {
        for send in sends {
            let Some(&to) = self.places.get(&send.to) else { continue };
            // Sent by one host and received by another.
            self.bytes += 2 * u64::try_from(bytes(&send.message)).unwrap_or_default();
            let is_push = matches!(send.message, Message::Push { .. });
            if is_push && self.fault == Fault::Loss && self.rng.random_range(0..5) == 0 {
                continue;
            }
            self.sent += 1;
            let is_near = self.data_centre[from] == self.data_centre[to];
            let ms = if is_near { NEAR_MS } else { FAR_MS } * self.rng.random_range(1.0..2.0);
            let at = self.now + Duration::from_secs_f64(ms / 1e3);
            self.under_way.insert((at, self.sent), (from, to, send.message));
        }
    }
}

fn bytes(message: &Message) -> usize {
    let entries = match message {
        Message::Push { entries, .. } | Message::Entries { entries } => entries.as_slice(),
        Message::Pull { .. } | Message::Snapshot { .. } => &[],
    };
    let size = |entry: &Arc<Entry>| serde_json::to_vec(&**entry).map_or(0, |text| text.len());
    CALL_OVERHEAD_BYTES + entries.iter().map(size).sum::<usize>()
}
