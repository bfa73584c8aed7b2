//! One data centre of real detectors that know a whole fleet.
//!
//! Hosts of other data centres are played: they acknowledge every probe and know what the detector
//! knows. Messages are encoded and decoded as on the wire.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use {
    prost::Message as _,
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    toucanhoist_core::{
        clock::Time,
        membership::{Body, Config, Detector, Envelope, Incarnation, Member, Message, State},
    },
    toucanhoist_wire::membership as wire,
};

use super::usage;

const DATA_CENTRES: usize = 89;
const TICK: Duration = Duration::from_millis(100);
const SETTLE: Duration = Duration::from_secs(60);
const SPAN: Duration = Duration::from_secs(60);
const CHANGES: usize = 20;
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
/// HTTP/2 frames and headers, TCP and IP of one call.
const CALL_OVERHEAD_BYTES: usize = 200;

/// Use of one host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub core_percent: f64,
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
}

/// What a fleet of one size costs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Found {
    /// The most that one host used; hosts with the delegate's part use most.
    pub delegate: Load,
    /// The least that one host used.
    pub other: Load,
    pub memory_mb: f64,
    /// Bytes that each change of a member's state adds at a host.
    pub bytes_a_change: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    time: Duration,
    messages: u64,
    bytes: u64,
}

struct World {
    now: Time,
    detectors: Vec<Detector>,
    uses: Vec<Use>,
    members: Vec<Member>,
    places: HashMap<SocketAddr, usize>,
    under_way: BTreeMap<(Time, u64), (usize, Vec<u8>)>,
    sent: u64,
    rng: Xoshiro256PlusPlus,
}

pub(super) fn run(count: usize, local: usize, seed: u64) -> Found {
    let before = usage::memory_mb().unwrap_or(0.0);
    let mut world = World::new(count, local, seed);
    world.run(SETTLE);
    let memory_mb = (usage::memory_mb().unwrap_or(0.0) - before) / local as f64;
    world.uses = vec![Use::default(); local];
    world.run(SPAN);
    let steady: Vec<Load> = world.uses.iter().map(load).collect();
    let by_bytes = |a: &&Load, b: &&Load| a.bytes_per_s.total_cmp(&b.bytes_per_s);
    let delegate = steady.iter().max_by(by_bytes).copied().unwrap_or_default();
    let other = steady.iter().min_by(by_bytes).copied().unwrap_or_default();
    world.uses = vec![Use::default(); local];
    for _ in 0..CHANGES {
        world.change();
        world.run(SPAN / u32::try_from(CHANGES).unwrap_or(1));
    }
    let mean = |loads: &[Load]| loads.iter().map(|l| l.bytes_per_s).sum::<f64>() / local as f64;
    let churned: Vec<Load> = world.uses.iter().map(load).collect();
    let more = (mean(&churned) - mean(&steady)) * SPAN.as_secs_f64();
    Found { delegate, other, memory_mb, bytes_a_change: more / CHANGES as f64 }
}

fn load(used: &Use) -> Load {
    let seconds = SPAN.as_secs_f64();
    Load {
        core_percent: used.time.as_secs_f64() / seconds * 100.0,
        messages_per_s: used.messages as f64 / seconds,
        bytes_per_s: used.bytes as f64 / seconds,
    }
}

fn member(number: usize, data_centre: usize) -> Member {
    let [_, a, b, c] = u32::try_from(number + 1).unwrap_or(0).to_be_bytes();
    Member {
        name: format!("entry-{number:05}").parse().expect("a name"),
        incarnation: Incarnation::of_process(1_700_000_000_000),
        data_centre: format!("dc-{data_centre:03}").parse().expect("a name"),
        callers: "http://10.200.200.200:8080".into(),
        peers: SocketAddr::from(([10, a, b, c], 7_000)),
        state: State::Live,
    }
}

impl World {
    /// The first `local` members are the data centre that is run.
    fn new(count: usize, local: usize, seed: u64) -> World {
        let place = |number: usize| match number {
            number if number < local => 0,
            number => 1 + (number - local) % (DATA_CENTRES - 1),
        };
        let members: Vec<Member> = (0..count).map(|number| member(number, place(number))).collect();
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut detectors: Vec<Detector> = members[..local]
            .iter()
            .map(|me| Detector::new(Config::default(), me.clone(), rng.random()))
            .collect();
        for detector in &mut detectors {
            let mut known = records(&members[members.len() - 1], Body::Records, 0);
            known.records = members.clone();
            let _ = detector.receive(Time::ZERO, known);
            let _ = detector.take_transitions();
        }
        let places = members.iter().enumerate().map(|(i, m)| (m.peers, i)).collect();
        World {
            now: Time::ZERO,
            uses: vec![Use::default(); local],
            detectors,
            members,
            places,
            under_way: BTreeMap::new(),
            sent: 0,
            rng,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let views = VIEW_INTERVAL.as_micros();
        while self.now < end {
            for host in 0..self.detectors.len() {
                let started = Instant::now();
                let sends = self.detectors[host].tick(self.now);
                if u128::from(self.now.as_micros()) % views == 0 {
                    std::hint::black_box(self.detectors[host].stamp(self.now));
                }
                self.uses[host].time += started.elapsed();
                self.dispatch(host, sends);
            }
            if self.now.as_micros() % 1_000_000 == 0 {
                self.probe_delegates();
            }
            let next = self.now + TICK;
            self.deliver(next);
            self.now = next;
        }
    }

    fn deliver(&mut self, until: Time) {
        while let Some(first) = self.under_way.first_entry() {
            let (at, _) = *first.key();
            if at > until {
                return;
            }
            let (host, content) = first.remove();
            let started = Instant::now();
            let message = wire::Message::decode(&*content).expect("an encoded message");
            let message: Message = message.try_into().expect("a valid message");
            let sends = self.detectors[host].receive(at, message);
            self.uses[host].time += started.elapsed();
            self.count(host, content.len());
            self.now = at.max(self.now);
            self.dispatch(host, sends);
        }
    }

    fn dispatch(&mut self, from: usize, sends: Vec<Envelope>) {
        for send in sends {
            let started = Instant::now();
            let content = wire::Message::from(send.message.clone()).encode_to_vec();
            self.uses[from].time += started.elapsed();
            self.count(from, content.len());
            let Some(&to) = self.places.get(&send.to) else { continue };
            if to < self.detectors.len() {
                self.post(to, content);
            } else if let Body::Ping { probe } = send.message.body {
                let body = Body::Ack { probe, summaries: Vec::new() };
                let answer = records(&self.members[to], body, send.message.digest);
                self.post(from, wire::Message::from(answer).encode_to_vec());
            }
        }
    }

    /// Plays the exchanges of other data centres: one a second for each delegate.
    fn probe_delegates(&mut self) {
        let local = self.detectors.len();
        for host in 0..local {
            if !self.detectors[host].is_delegate() {
                continue;
            }
            let from = self.rng.random_range(local..self.members.len());
            let body = Body::Ping { probe: self.sent };
            let ping = records(&self.members[from], body, self.detectors[host].digest());
            self.post(host, wire::Message::from(ping).encode_to_vec());
        }
    }

    fn post(&mut self, to: usize, content: Vec<u8>) {
        self.sent += 1;
        let delay = Duration::from_millis(self.rng.random_range(1..=40));
        self.under_way.insert((self.now + delay, self.sent), (to, content));
    }

    fn count(&mut self, host: usize, bytes: usize) {
        self.uses[host].messages += 1;
        self.uses[host].bytes += u64::try_from(bytes + CALL_OVERHEAD_BYTES).unwrap_or(0);
    }

    /// Tells one detector that a remote host was replaced.
    fn change(&mut self) {
        let local = self.detectors.len();
        let number = self.rng.random_range(local..self.members.len());
        let member = &mut self.members[number];
        member.incarnation = member.incarnation.refuting(Incarnation::default());
        let digest = self.detectors[0].digest();
        let message = records(&self.members[number], Body::Records, digest);
        let host = self.rng.random_range(0..local);
        self.post(host, wire::Message::from(message).encode_to_vec());
    }
}

fn records(from: &Member, body: Body, digest: u64) -> Message {
    Message {
        from: from.clone(),
        revision: 1.into(),
        era: 0,
        digest,
        records: Vec::new(),
        unreachable: Vec::new(),
        body,
    }
}
