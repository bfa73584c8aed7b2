//! Fleets in virtual time whose hosts lose the store in turn and together, while targets are removed.
//!
//! The oracle knows when the store acknowledged each removal. Every host with a path to the store
//! must have it in force within the bound of the smallest deployments, however many others are
//! disturbed. Hosts that the store rejects must have it too, from other hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng, seq::IndexedRandom},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        clock::Time,
        id,
        membership::{Incarnation, Member, State, View},
        steering::{
            CatchUp, Changes, Entry, Feed, FeedFailure, HEARTBEAT_INTERVAL, Key, Mirror, Relay,
            Snapshot, Topic, Update, Value, Version,
        },
    },
};

use crate::support::{at, name, target};

/// Time from the acknowledgement of a removal until it must be in force.
const REMOVAL_DELAY_MAX: u64 = 2_500;
/// Time for which a host must have had its path before a removal, and the store must have been
/// without disruption, for the bound to hold.
const CONTACT_TIME: u64 = 3_000;
const STEP: u64 = 10;
const TICK: u64 = 100;
const DURATION: u64 = 40_000;
const REGIONS: usize = 3;

/// How the store treats a host.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Service {
    Answers,
    /// The host is cut off from it.
    Silent,
    /// It answers that it is busy.
    Rejects,
}

/// What hosts send each other.
#[derive(Clone)]
enum Message {
    Heartbeat {
        age: u64,
        versions: BTreeMap<Topic, Version>,
    },
    Changes(Changes),
    /// The version up to which the sender is complete.
    Gossip(Version),
    Request {
        asked_at: u64,
        known: BTreeMap<Topic, Version>,
    },
    Snapshot {
        asked_at: u64,
        snapshot: Box<Snapshot>,
    },
}

struct Call {
    waits: bool,
    held_until: u64,
    times_out_at: u64,
    is_lost: bool,
}

struct FeedState {
    feed: Feed,
    call: Option<Call>,
    idle_until: u64,
}

struct Host {
    number: usize,
    relay: Relay,
    mirror: Mirror,
    catch_up: CatchUp,
    feeds: BTreeMap<Topic, FeedState>,
    /// Ends of the host's current disruption, and since when it has been without any.
    service: Service,
    undisturbed_since: u64,
    /// Since when the store has answered it without a break.
    answered_since: u64,
    last_heartbeat: u64,
    last_confirmation_request: u64,
}

struct World {
    now: u64,
    rng: Xoshiro256PlusPlus,
    hosts_a_region: usize,
    /// Number of the store's last transaction, and removals by number with their times.
    number: u64,
    removals: Vec<(u64, u64)>,
    is_away: bool,
    stable_from: u64,
    in_flight: Vec<(u64, usize, usize, Message)>,
    calls: usize,
}

const TARGETS: u64 = 150;

fn key(number: u64) -> Key {
    Key::Target(name(&format!("t{number}")))
}

fn address(host: usize) -> SocketAddr {
    ([10, 0, 0, 1], u16::try_from(host + 1).expect("few hosts")).into()
}

fn data_centre(region: usize) -> id::DataCentre {
    name(&format!("d{region}"))
}

fn view(hosts_a_region: usize) -> View {
    let member = |number: usize| Member {
        name: name(&format!("h{number}")),
        incarnation: Incarnation(1),
        data_centre: data_centre(number / hosts_a_region),
        callers: "".into(),
        peers: address(number),
        state: State::Live,
    };
    View { members: (0..REGIONS * hosts_a_region).map(member).collect() }
}

impl World {
    fn region_of(&self, host: usize) -> usize {
        host / self.hosts_a_region
    }

    /// Sends a message, which may be lost unless it is part of a connection.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_datagram = !matches!(message, Message::Request { .. } | Message::Snapshot { .. });
        if is_datagram && self.rng.random_bool(0.02) {
            return;
        }
        let delay = if self.region_of(from) == self.region_of(to) { 2 } else { 21 };
        self.in_flight.push((self.now + delay, from, to, message));
    }

    /// Entries of targets with numbers of transactions after `after`.
    fn changed(&self, after: u64) -> Vec<(Key, Entry)> {
        let removed = self.removals.iter().enumerate().filter(|(_, (number, _))| *number > after);
        let entry = |(target, (number, _)): (usize, &(u64, u64))| {
            (key(target as u64), Entry { version: (*number).into(), value: None })
        };
        removed.map(entry).collect()
    }

    fn remove_target(&mut self) {
        if (self.removals.len() as u64) < TARGETS {
            self.number += 1;
            self.removals.push((self.number, self.now));
        }
    }
}

impl Host {
    fn new(number: usize, hosts_a_region: usize) -> Host {
        let regions: BTreeMap<id::DataCentre, id::Region> =
            (0..REGIONS).map(|region| (data_centre(region), name(&format!("r{region}")))).collect();
        let own = data_centre(number / hosts_a_region);
        let mut relay = Relay::new(at(0), true, name(&format!("h{number}")), &own, regions);
        relay.set_view(&view(hosts_a_region));
        let mut mirror = Mirror::default();
        let targets = (0..TARGETS).map(|number| {
            let value = Some(Value::Target(target("n1", 1)));
            (key(number), Entry { version: 1.into(), value })
        });
        for topic in Topic::ALL {
            let entries = if topic == Topic::Targets { targets.clone().collect() } else { vec![] };
            mirror.apply_read(at(0), topic, 1.into(), entries);
        }
        let feed = |topic| FeedState { feed: Feed::new(topic), call: None, idle_until: 0 };
        Host {
            number,
            relay,
            mirror,
            catch_up: CatchUp::default(),
            feeds: Topic::ALL.map(|topic| (topic, feed(topic))).into(),
            service: Service::Answers,
            undisturbed_since: 0,
            answered_since: 0,
            last_heartbeat: 0,
            last_confirmation_request: 0,
        }
    }

    fn time(&self, world: &World) -> Time {
        at(world.now)
    }

    fn peers(&self) -> Vec<usize> {
        self.relay.peers().iter().map(|address| usize::from(address.port()) - 1).collect()
    }

    /// Runs the calls to the store.
    fn follow(&mut self, world: &mut World) {
        self.relay.set_confirmed(self.mirror.confirmed_at(Topic::Targets));
        let is_active = self.relay.is_active(at(world.now));
        if !is_active {
            self.mirror.stop_following();
        }
        for topic in Topic::ALL {
            let state = self.feeds.get_mut(&topic).expect("all topics");
            if !is_active {
                state.feed.restart();
                state.call = None;
                continue;
            }
            let is_available =
                topic == Topic::Targets || !self.mirror.is_unanswered(Topic::Targets);
            if state.call.is_none() && world.now >= state.idle_until && is_available {
                let wait = state.feed.wait().as_millis() as u64;
                world.calls += 1;
                state.call = Some(Call {
                    waits: wait > 0,
                    held_until: world.now + wait,
                    times_out_at: world.now + state.feed.timeout().as_millis() as u64,
                    is_lost: false,
                });
            }
            self.poll_call(world, topic);
        }
    }

    fn poll_call(&mut self, world: &mut World, topic: Topic) {
        let known = self.mirror.registry().version(topic).unwrap_or_default();
        let state = self.feeds.get_mut(&topic).expect("all topics");
        let Some(call) = &mut state.call else { return };
        let service = if world.is_away { Service::Silent } else { self.service };
        // Calls that wait while the host or the store is disturbed get lost.
        call.is_lost |= service == Service::Silent;
        let entries =
            if topic == Topic::Targets { world.changed(known.number) } else { Vec::new() };
        let is_due = !call.waits || world.now >= call.held_until || !entries.is_empty();
        let outcome = match service {
            Service::Rejects => Some(Err(FeedFailure::Refused)),
            _ if world.now >= call.times_out_at => Some(Err(FeedFailure::Unanswered)),
            Service::Answers if !call.is_lost && is_due => Some(Ok(entries)),
            _ => None,
        };
        let now = at(world.now);
        match outcome {
            None => {}
            Some(Ok(entries)) => {
                state.idle_until = world.now + state.feed.record_answer().as_millis() as u64 + 40;
                state.call = None;
                let update =
                    self.mirror.apply_changes(now, topic, world.number.max(1).into(), entries);
                let Some(Update { broadcast: Some(broadcast), .. }) = update else { return };
                self.broadcast(world, broadcast);
                self.send_heartbeat(world);
            }
            Some(Err(failure)) => {
                let jitter = world.rng.random_range(0.75..1.25);
                let pause = state.feed.record_failure(failure, jitter).as_millis() as u64;
                state.idle_until = world.now + pause;
                state.call = None;
                self.mirror.mark_unanswered(now, topic);
                self.request_confirmation(world);
            }
        }
    }

    fn broadcast(&self, world: &mut World, changes: Changes) {
        if changes.entries.is_empty() {
            return;
        }
        for peer in self.peers() {
            world.send(self.number, peer, Message::Changes(changes.clone()));
        }
    }

    fn send_heartbeat(&mut self, world: &mut World) {
        let now = self.time(world);
        let is_due = world.now >= self.last_heartbeat + HEARTBEAT_INTERVAL.as_millis() as u64;
        let is_connected = self.relay.is_active(now) && !self.mirror.is_unanswered(Topic::Targets);
        let Some(answered_at) = self.mirror.answered_at(Topic::Targets) else { return };
        if !is_due || !is_connected {
            return;
        }
        self.last_heartbeat = world.now;
        let age = now.since(answered_at).as_millis() as u64;
        let versions = self.mirror.registry().advertised_versions();
        for peer in self.peers() {
            let versions = versions.clone();
            world.send(self.number, peer, Message::Heartbeat { age, versions });
        }
    }

    fn request(&self, world: &mut World, host: usize) {
        let known = self.mirror.registry().versions().clone();
        let asked_at = world.now;
        world.send(self.number, host, Message::Request { asked_at, known });
    }

    fn request_confirmation(&mut self, world: &mut World) {
        let now = self.time(world);
        let is_due = world.now >= self.last_confirmation_request + 500;
        if !is_due || !self.relay.is_active(now) || !self.mirror.needs_confirmation(now) {
            return;
        }
        self.last_confirmation_request = world.now;
        let own = world.region_of(self.number);
        let all = 0..REGIONS * world.hosts_a_region;
        let remote: Vec<usize> = all.filter(|host| world.region_of(*host) != own).collect();
        let host = *remote.choose(&mut world.rng).expect("other regions");
        self.request(world, host);
    }

    fn request_missing(&mut self, world: &mut World) {
        let complete = self.mirror.registry().complete_version();
        if let Some(host) = self.catch_up.poll(self.time(world), complete) {
            self.request(world, usize::from(host.port()) - 1);
        }
    }

    fn tick(&mut self, world: &mut World) {
        let now = self.time(world);
        if let Some((_, changes)) = self.mirror.apply_deferred_removals(now) {
            self.broadcast(world, changes);
        }
        self.request_missing(world);
        self.request_confirmation(world);
        self.send_heartbeat(world);
        if world.now / TICK % 5 == 0 {
            let version = self.mirror.registry().advertised_complete_version();
            let all = REGIONS * world.hosts_a_region;
            let own = world.region_of(self.number) * world.hosts_a_region;
            let hosts = [
                world.rng.random_range(0..all),
                own + world.rng.random_range(0..world.hosts_a_region),
            ];
            for host in hosts {
                world.send(self.number, host, Message::Gossip(version));
            }
        }
    }

    fn receive(&mut self, world: &mut World, from: usize, message: Message) {
        let now = self.time(world);
        match message {
            Message::Heartbeat { age, versions } => {
                let answered_at = now - Duration::from_millis(age);
                self.relay.record_heartbeat(now, address(from), answered_at);
                self.mirror.record_watcher_heartbeat(answered_at);
                let registry = self.mirror.registry();
                let is_ahead = |(topic, version): (&Topic, &Version)| {
                    registry.version(*topic).is_none_or(|known| known < *version)
                };
                let is_ahead = versions.iter().any(is_ahead);
                for (topic, version) in versions {
                    self.mirror.confirm(topic, version, answered_at);
                }
                if is_ahead {
                    self.catch_up.record_watcher_ahead(address(from));
                    self.request_missing(world);
                }
            }
            Message::Changes(changes) => {
                self.mirror.apply_peer_changes(&changes);
            }
            Message::Gossip(version) => {
                self.mirror.record_peer_version(now, version);
                let complete = self.mirror.registry().complete_version();
                let is_in_region = world.region_of(from) == world.region_of(self.number);
                self.catch_up.record_peer_version(
                    now,
                    complete,
                    address(from),
                    is_in_region,
                    version,
                );
            }
            Message::Request { asked_at, known } => {
                let snapshot = Box::new(self.mirror.snapshot(now, &known));
                world.send(self.number, from, Message::Snapshot { asked_at, snapshot });
            }
            Message::Snapshot { asked_at, snapshot } => {
                self.mirror.merge(now, at(asked_at), *snapshot);
            }
        }
    }
}

/// A disruption of some hosts, or of the store for all.
struct Disruption {
    from: u64,
    until: u64,
    /// `None` for all hosts.
    hosts: Option<BTreeSet<usize>>,
    service: Service,
}

/// Disruptions that come in series and overlap.
fn disruptions(rng: &mut Xoshiro256PlusPlus, hosts_a_region: usize) -> Vec<Disruption> {
    let all = REGIONS * hosts_a_region;
    let mut list = Vec::new();
    for _ in 0..rng.random_range(3..8) {
        let from = rng.random_range(2_000..DURATION - 8_000);
        let share = [0.1, 0.35, 0.5, 0.9][rng.random_range(0..4)];
        let (hosts, until) = match rng.random_range(0..6) {
            // The store is away for all.
            0 => (None, from + rng.random_range(50..3_000)),
            // Short ones, so that hosts return before others take over.
            1 | 2 => (Some(share), from + rng.random_range(300..1_600)),
            _ => (Some(share), from + rng.random_range(1_000..9_000)),
        };
        let hosts = hosts.map(|share| (0..all).filter(|_| rng.random_bool(share)).collect());
        let service = match (rng.random_bool(0.5), &hosts) {
            (true, Some(_)) => Service::Rejects,
            _ => Service::Silent,
        };
        list.push(Disruption { from, until, hosts, service });
    }
    list
}

/// Plays a fleet; returns the longest delay of a removal at a host that the bound holds for, in
/// milliseconds, with the host, and the calls to the store a second.
fn play(hosts_a_region: usize, seed: u64) -> (u64, String, f64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let disruptions = disruptions(&mut rng, hosts_a_region);
    let mut world = World {
        now: 0,
        rng,
        hosts_a_region,
        number: 1,
        removals: Vec::new(),
        is_away: false,
        stable_from: 0,
        in_flight: Vec::new(),
        calls: 0,
    };
    let count = REGIONS * hosts_a_region;
    let mut hosts: Vec<Host> = (0..count).map(|number| Host::new(number, hosts_a_region)).collect();
    // Removals that are not in force at a host yet, with the time of each.
    let mut open: Vec<BTreeMap<u64, u64>> = vec![BTreeMap::new(); count];
    let mut longest = (0, String::new());
    while world.now < DURATION {
        world.now += STEP;
        let now = world.now;
        let is_on = |disruption: &&Disruption| (disruption.from..disruption.until).contains(&now);
        let current: Vec<&Disruption> = disruptions.iter().filter(is_on).collect();
        world.is_away = current.iter().any(|disruption| disruption.hosts.is_none());
        if world.is_away {
            world.stable_from = now + CONTACT_TIME;
        }
        for host in &mut hosts {
            let affects = |disruption: &&&Disruption| {
                disruption.hosts.as_ref().is_some_and(|hosts| hosts.contains(&host.number))
            };
            host.service = current.iter().find(affects).map_or(Service::Answers, |d| d.service);
            match host.service {
                Service::Answers => {}
                Service::Rejects => host.answered_since = now,
                Service::Silent => (host.undisturbed_since, host.answered_since) = (now, now),
            }
        }
        if !world.is_away && world.rng.random_bool(0.03) {
            let before = world.removals.len() as u64;
            world.remove_target();
            if now >= world.stable_from && world.removals.len() as u64 > before {
                for open in &mut open {
                    open.insert(before, now);
                }
            }
        }
        let due;
        (due, world.in_flight) =
            std::mem::take(&mut world.in_flight).into_iter().partition(|(at, ..)| *at <= now);
        for (_, from, to, message) in due {
            hosts[to].receive(&mut world, from, message);
        }
        for (number, host) in (0_u64..).zip(&mut hosts) {
            host.follow(&mut world);
            if (now + STEP * (number % 10)) % TICK == 0 {
                host.tick(&mut world);
            }
        }
        let answered_since: Vec<u64> = hosts.iter().map(|host| host.answered_since).collect();
        for (host, open) in hosts.iter().zip(&mut open) {
            let region = host.number / hosts_a_region * hosts_a_region;
            let first_follower = answered_since[region..region + hosts_a_region].iter().min();
            open.retain(|removal, acknowledged_at| {
                // One that is rejected is bound as long as another host of its region is not.
                let is_since = |since: u64| since + CONTACT_TIME <= *acknowledged_at;
                let is_bound = is_since(host.undisturbed_since)
                    && first_follower.is_some_and(|since| is_since(*since));
                let is_in_force = host.mirror.registry().value(&key(*removal)).is_none();
                let delay = now - *acknowledged_at;
                // While the store is away for all, no host can know.
                let is_late = !is_in_force && is_bound && now >= world.stable_from;
                if is_late && delay > longest.0 {
                    let Host { number, service, .. } = host;
                    longest = (
                        delay,
                        format!("t{removal} at {acknowledged_at} at h{number} {service:?}"),
                    );
                }
                is_bound && !is_in_force
            });
        }
    }
    (longest.0, longest.1, world.calls as f64 / (DURATION as f64 / 1_000.0))
}

#[rstest]
#[case::small(2, 40)]
#[case::small_uneven(3, 40)]
#[case::grown(15, 12)]
#[case::grown_larger(30, 6)]
fn removals_reach_all_hosts_in_touch_while_others_lose_the_store(
    #[case] hosts_a_region: usize,
    #[case] seeds: u64,
) {
    for seed in 1..=seeds {
        let (delay, host, calls) = play(hosts_a_region, seed);
        println!("seed {seed}: {delay} ms, {host}, {calls:.1} calls a second");
        assert!(delay <= REMOVAL_DELAY_MAX, "seed {seed}: {host} after {delay} ms");
    }
}
