//! Replicas of followers compared with the accepted changes, and deltas with whole documents.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        clock::Time,
        configuration::{
            Body, Delta, Entry, Envelope, Follower, Lineage, Message, Outcome, Pointer, Replica,
            Snapshot, effect, tree,
        },
        fleet::{Account, Day, Exception, Fleet, Scope, Service, Target, Value},
        id,
        key::Digest,
        membership::{Incarnation, Member, State, View},
        unit::{Rate, Share},
    },
};

const STEP: Duration = Duration::from_millis(100);

fn account(name: &str) -> Account {
    let name = name.parse().expect("a name");
    Account { name, rate: Rate::per_second(1.0), burst: 1, weight: 1 }
}

fn target(name: &str) -> Target {
    Target {
        name: name.parse().expect("a name"),
        service: "curves".parse().expect("a name"),
        data_centre: "dc-0".parse().expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
    }
}

fn fleet(accounts: &[String], targets: &[String]) -> Fleet {
    Fleet {
        services: vec![Service { name: "curves".parse().expect("a name") }],
        accounts: accounts.iter().map(|name| account(name)).collect(),
        targets: targets.iter().map(|name| target(name)).collect(),
        ..Fleet::default()
    }
}

fn names() -> impl Strategy<Value = Vec<String>> {
    proptest::collection::vec("[a-d]{1,2}", 0..8)
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), cases: 256, ..Config::default() })]

    #[test]
    fn a_delta_turns_the_old_document_into_the_new(
        old in (names(), names()),
        new in (names(), names()),
    ) {
        let (old, new) = (fleet(&old.0, &old.1), fleet(&new.0, &new.1));
        let delta = Delta::between(&old, &new);
        let text = serde_json::to_string(&delta).expect("JSON");
        let read: Delta = serde_json::from_str(&text).expect("a delta");
        prop_assert_eq!(delta.is_empty(), old == new);
        prop_assert_eq!(read.apply(&old), Some(new));
    }
}

/// The platform's table of changes.
#[derive(Default)]
struct Table {
    entries: Vec<Arc<Entry>>,
    lineages: Vec<Lineage>,
    reads: u64,
}

/// A simulated fleet with faults of hosts, of the network and of the platform.
struct Simulation {
    now: Time,
    table: Table,
    hosts: Vec<Host>,
    view: View,
    in_flight: BTreeMap<(Time, u64), (usize, usize, Message)>,
    sent: u64,
    /// Hosts on one side of a network partition.
    partition: BTreeSet<usize>,
    /// Hosts that cannot reach the platform.
    without_platform: BTreeSet<usize>,
    loss_percent: u32,
    rng: Xoshiro256PlusPlus,
}

struct Host {
    follower: Follower,
    paused: bool,
    highest: id::Revision,
}

impl Simulation {
    fn new(data_centres: usize, hosts_each: usize, seed: u64) -> Simulation {
        let count = data_centres * hosts_each;
        let mut members: Vec<Member> = (0..count)
            .map(|host| Member {
                name: format!("entry-{host:04}").parse().expect("a name"),
                incarnation: Incarnation::default(),
                data_centre: format!("dc-{}", host % data_centres).parse().expect("a name"),
                callers: "".into(),
                peers: SocketAddr::from(([10, 0, 0, 1], u16::try_from(host + 1).expect("few"))),
                state: State::Live,
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let fresh = || Host {
            follower: Follower::default(),
            paused: false,
            highest: id::Revision::default(),
        };
        Simulation {
            now: Time::ZERO,
            table: Table::default(),
            hosts: (0..count).map(|_| fresh()).collect(),
            view: View { members },
            in_flight: BTreeMap::new(),
            sent: 0,
            partition: BTreeSet::new(),
            without_platform: BTreeSet::new(),
            loss_percent: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Writes a change on behalf of a host, which gets the answer if `answered`.
    fn change(&mut self, host: usize, answered: bool) {
        let old = match self.table.entries.last() {
            Some(_) => self.accepted_fleet(),
            None => Fleet::default(),
        };
        let mut new = old.clone();
        let number = self.table.entries.len() + 1;
        new.accounts.push(account(&format!("account-{number}")));
        if number % 3 == 0 {
            new.accounts.remove(0);
        }
        let entry = Arc::new(Entry {
            revision: id::Revision::from(u64::try_from(number).expect("few")),
            change: self.rng.random::<u128>().into(),
            author: "a".into(),
            reason: "r".into(),
            at_unix_ms: 0,
            touches: Vec::new(),
            body: Body::Delta(Box::new(Delta::between(&old, &new))),
        });
        let lineage = self.table.lineages.last().copied().unwrap_or(Lineage::root());
        self.table.lineages.push(lineage.after(&entry));
        self.table.entries.push(Arc::clone(&entry));
        if answered {
            let me = self.view.members[host].clone();
            let step = self.hosts[host].follower.publish(&self.view, &me, entry);
            self.finish(host, step);
        }
    }

    /// Returns the configuration after all accepted changes.
    fn accepted_fleet(&self) -> Fleet {
        let mut replica = Replica::default();
        for entry in &self.table.entries {
            assert_eq!(replica.apply(Arc::clone(entry)), Outcome::Applied);
        }
        (**replica.fleet()).clone()
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            for host in 0..self.hosts.len() {
                if !self.hosts[host].paused {
                    self.poll(host);
                    self.compare(host);
                }
            }
            self.now = self.now + STEP;
            self.deliver();
        }
    }

    /// Reads the table if the host is a watcher and a full second has passed.
    fn poll(&mut self, host: usize) {
        let me = self.view.members[host].clone();
        let watchers = self.view.holders(&me.data_centre, tree::WATCHER, 2);
        let is_due = self.now.as_micros() % 1_000_000 == 0;
        let is_watcher = watchers.iter().any(|watcher| watcher.name == me.name);
        if !is_due || !is_watcher || self.without_platform.contains(&host) {
            return;
        }
        self.table.reads += 1;
        let have = self.hosts[host].follower.replica().revision();
        let new = self.table.entries.iter().filter(|entry| entry.revision > have);
        let new: Vec<Arc<Entry>> = new.cloned().collect();
        let step = self.hosts[host].follower.apply_entries(&self.view, &me, &new);
        self.finish(host, step);
    }

    /// Compares the revision with another host's, as membership messages do.
    fn compare(&mut self, host: usize) {
        let other = self.rng.random_range(0..self.hosts.len());
        if self.rng.random_range(0..5) != 0 || !self.can_reach(other, host) {
            return;
        }
        let revision = self.hosts[other].follower.replica().revision();
        let from = self.view.members[other].peers;
        let pull = self.hosts[host].follower.pull_if_behind(self.now, from, revision);
        self.dispatch(host, pull.into_iter().collect());
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let running = !self.hosts[from].paused && !self.hosts[to].paused;
        running && self.partition.contains(&from) == self.partition.contains(&to)
    }

    fn deliver(&mut self) {
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            let (from, to, message) = first.remove();
            if self.hosts[to].paused {
                continue;
            }
            let (me, from) = (self.view.members[to].clone(), self.view.members[from].peers);
            let step = self.hosts[to].follower.receive(&self.view, &me, from, message);
            self.finish(to, step);
        }
    }

    fn finish(&mut self, host: usize, step: toucanhoist_core::configuration::Step) {
        assert_eq!(step.contradictions, 0, "host {host}");
        let replica = self.hosts[host].follower.replica();
        let revision = replica.revision();
        assert!(revision >= self.hosts[host].highest, "host {host} reverted to {revision}");
        if let Some(last) = usize::try_from(revision.as_u64()).expect("few").checked_sub(1) {
            assert_eq!(Some(&replica.lineage()), self.table.lineages.get(last), "host {host}");
        }
        self.hosts[host].highest = revision;
        self.dispatch(host, step.outgoing);
    }

    fn dispatch(&mut self, from: usize, outgoing: Vec<Envelope>) {
        for envelope in outgoing {
            let to = self.view.members.iter().position(|member| member.peers == envelope.to);
            let to = to.expect("a known address");
            if !self.can_reach(from, to) || self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            self.sent += 1;
            let at = self.now + Duration::from_millis(self.rng.random_range(1..=25));
            self.in_flight.insert((at, self.sent), (from, to, envelope.message));
        }
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host] =
            Host { follower: Follower::default(), paused: false, highest: id::Revision::default() };
    }

    fn assert_in_force_everywhere(&self) {
        let expected = self.accepted_fleet();
        for (number, host) in self.hosts.iter().enumerate() {
            let replica = host.follower.replica();
            let highest = self.table.entries.last().expect("changes").revision;
            assert_eq!(replica.revision(), highest, "host {number}");
            assert_eq!(**replica.fleet(), expected, "host {number}");
        }
    }
}

#[test]
fn a_push_reaches_every_host_without_the_table() {
    let mut simulation = Simulation::new(5, 7, 1);
    simulation.without_platform = (0..35).collect();
    simulation.change(3, true);
    // The push takes four steps of at most 25 ms at each level; revisions are not compared
    // meanwhile.
    for _ in 0..8 {
        simulation.now = simulation.now + STEP;
        simulation.deliver();
    }
    simulation.assert_in_force_everywhere();
    assert_eq!(simulation.table.reads, 0);
}

#[test]
fn lost_pushes_are_repaired_by_pulls_without_the_table() {
    let mut simulation = Simulation::new(4, 6, 3);
    simulation.without_platform = (0..24).collect();
    simulation.loss_percent = 100;
    simulation.change(0, true);
    simulation.loss_percent = 0;
    simulation.run(Duration::from_secs(10));
    simulation.assert_in_force_everywhere();
}

#[test]
fn watchers_find_a_change_whose_answer_was_lost() {
    let mut simulation = Simulation::new(3, 6, 2);
    simulation.change(0, false);
    simulation.run(Duration::from_secs(3));
    simulation.assert_in_force_everywhere();
    assert!(simulation.table.reads <= 2 * 3 * 4, "{} reads", simulation.table.reads);
}

/// Injects random faults; no host may revert, every configuration in force must have been accepted,
/// and every accepted change must reach all hosts.
#[rstest]
#[case::seed_21(21)]
#[case::seed_22(22)]
#[case::seed_23(23)]
#[case::seed_24(24)]
fn accepted_changes_come_into_force_despite_random_faults(#[case] seed: u64) {
    let mut simulation = Simulation::new(4, 6, seed);
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    for _ in 0..120 {
        let host = random.random_range(0..simulation.hosts.len());
        match random.random_range(0..9) {
            0..=3 => simulation.change(host, random.random_range(0..4) > 0),
            4 => simulation.hosts[host].paused = true,
            5 => simulation.restart(host),
            6 => {
                simulation.partition =
                    (0..simulation.hosts.len()).filter(|h| h % 4 == host % 4).collect()
            }
            7 => simulation.without_platform = (0..random.random_range(0..24)).collect(),
            _ => simulation.loss_percent = random.random_range(0..60),
        }
        if random.random_range(0..4) == 0 {
            simulation.partition.clear();
            simulation.hosts[host].paused = false;
        }
        simulation.run(STEP * random.random_range(1..8));
    }
    simulation.partition.clear();
    simulation.without_platform.clear();
    simulation.loss_percent = 0;
    for host in &mut simulation.hosts {
        host.paused = false;
    }
    simulation.change(0, true);
    simulation.run(Duration::from_secs(3));
    simulation.assert_in_force_everywhere();
}

#[test]
fn a_replica_rejects_lower_revisions_and_other_histories() {
    let entry = |revision: u64, change: u128| {
        Arc::new(Entry {
            revision: revision.into(),
            change: change.into(),
            author: "a".into(),
            reason: "r".into(),
            at_unix_ms: 0,
            touches: Vec::new(),
            body: Body::Delta(Box::default()),
        })
    };
    let mut replica = Replica::default();
    assert_eq!(replica.apply(entry(2, 2)), Outcome::Gap);
    assert_eq!(replica.apply(entry(1, 1)), Outcome::Applied);
    assert_eq!(replica.apply(entry(2, 2)), Outcome::Applied);
    assert_eq!(replica.apply(entry(1, 1)), Outcome::Known);
    assert_eq!(replica.apply(entry(2, 9)), Outcome::Contradiction);
    let old = Snapshot { revision: 1.into(), lineage: Lineage::root(), fleet: Fleet::default() };
    assert!(!replica.install(old));
    assert_eq!(replica.revision(), 2.into());
}

#[test]
fn a_damaged_snapshot_is_rejected() {
    let snapshot =
        Snapshot { revision: 7.into(), lineage: Lineage::root(), fleet: Fleet::default() };
    let mut content = snapshot.to_bytes();
    let digest = Digest::of(&content);
    let pointer = Pointer { revision: 7.into(), object: "o".into(), digest };
    assert_eq!(Snapshot::from_bytes(&content, &pointer), Some(snapshot));
    content[12] ^= 1;
    assert_eq!(Snapshot::from_bytes(&content, &pointer), None);
}

#[test]
fn a_large_loss_must_be_confirmed_by_name() {
    let names = |count: usize| (0..count).map(|i| format!("n-{i}")).collect::<Vec<String>>();
    let old = fleet(&names(4), &names(10));
    let mut drained = old.clone();
    drained.exceptions.push(Exception {
        scope: Scope::Service("curves".parse().expect("a name")),
        value: Value::Drain(true),
        reason: "r".into(),
        author: "a".into(),
        until: None,
    });
    let unconfirmed = |new: &Fleet, confirmed: &[&str]| -> Vec<Box<str>> {
        let confirmed: Vec<Box<str>> = confirmed.iter().map(|&name| name.into()).collect();
        let losses = effect::unconfirmed(effect::losses(&old, new), Share::new(0.5), &confirmed);
        losses.into_iter().map(|loss| loss.name).collect()
    };
    assert!(unconfirmed(&fleet(&names(2), &names(5)), &[]).is_empty());
    assert_eq!(unconfirmed(&fleet(&names(1), &names(10)), &[]), ["accounts".into()]);
    assert_eq!(unconfirmed(&drained, &[]), ["room:curves".into(), "targets".into()]);
    assert_eq!(unconfirmed(&drained, &["targets"]), ["room:curves".into()]);
    assert!(unconfirmed(&drained, &["targets", "room:curves"]).is_empty());
}

#[rstest]
#[case(0, "1970-01-01")]
#[case(951_782_400, "2000-02-29")]
#[case(1_709_164_800, "2024-02-29")]
#[case(1_735_689_599, "2024-12-31")]
fn days_follow_the_calendar(#[case] seconds: u64, #[case] text: &str) {
    assert_eq!(Day::of_unix(seconds).to_string(), text);
    assert_eq!(text.parse(), Ok(Day::of_unix(seconds)));
}

#[test]
fn exceptions_have_expired_after_their_last_day() {
    let mut fleet = fleet(&[], &[]);
    fleet.exceptions.push(Exception {
        scope: Scope::Service("curves".parse().expect("a name")),
        value: Value::Slots(2),
        reason: "r".into(),
        author: "a".into(),
        until: Some("2024-02-29".parse().expect("a day")),
    });
    let old = |day: &str| fleet.old_exceptions(day.parse().expect("a day")).count();
    assert_eq!((old("2024-02-29"), old("2024-03-01")), (0, 1));
    assert!("2024-13-01".parse::<Day>().is_err());
}
