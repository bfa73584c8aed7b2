//! Failure detectors of one data centre that know all members of a fleet.
//!
//! Hosts of other data centres are simulated: they acknowledge every probe and know what the
//! detector knows. Messages are encoded and decoded as on the wire.

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
const SETTLE_TIME: Duration = Duration::from_secs(60);
const MEASURED_TIME: Duration = Duration::from_secs(60);
const CHANGES: usize = 20;
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of HTTP/2 frames and headers, TCP and IP for one call.
const CALL_OVERHEAD_BYTES: usize = 200;

/// Load of one host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub core_percent: f64,
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
}

/// Cost of a fleet of one size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Largest load of a host, which is that of a delegate.
    pub delegate: Load,
    /// Smallest load of a host.
    pub other: Load,
    pub memory_mb: f64,
    /// Bytes that each change of a member's state adds at a host.
    pub bytes_a_change: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    time: Duration,
    messages: u64,
    bytes: u64,
}

struct Simulation {
    now: Time,
    detectors: Vec<Detector>,
    usages: Vec<Usage>,
    members: Vec<Member>,
    member_by_address: HashMap<SocketAddr, usize>,
    in_flight: BTreeMap<(Time, u64), (usize, Vec<u8>)>,
    sent: u64,
    rng: Xoshiro256PlusPlus,
}

pub(super) fn run(count: usize, local: usize, seed: u64) -> Cost {
    let before = usage::memory_mb().unwrap_or(0.0);
    let mut simulation = Simulation::new(count, local, seed);
    simulation.run(SETTLE_TIME);
    let memory_mb = (usage::memory_mb().unwrap_or(0.0) - before) / local as f64;
    simulation.usages = vec![Usage::default(); local];
    simulation.run(MEASURED_TIME);
    let steady: Vec<Load> = simulation.usages.iter().map(load).collect();
    let by_bytes = |a: &&Load, b: &&Load| a.bytes_per_s.total_cmp(&b.bytes_per_s);
    let delegate = steady.iter().max_by(by_bytes).copied().unwrap_or_default();
    let other = steady.iter().min_by(by_bytes).copied().unwrap_or_default();
    simulation.usages = vec![Usage::default(); local];
    for _ in 0..CHANGES {
        simulation.replace_remote_host();
        simulation.run(MEASURED_TIME / u32::try_from(CHANGES).unwrap_or(1));
    }
    let mean = |loads: &[Load]| loads.iter().map(|l| l.bytes_per_s).sum::<f64>() / local as f64;
    let churned: Vec<Load> = simulation.usages.iter().map(load).collect();
    let added = (mean(&churned) - mean(&steady)) * MEASURED_TIME.as_secs_f64();
    Cost { delegate, other, memory_mb, bytes_a_change: added / CHANGES as f64 }
}

fn load(used: &Usage) -> Load {
    let seconds = MEASURED_TIME.as_secs_f64();
    Load {
        core_percent: used.time.as_secs_f64() / seconds * 100.0,
        messages_per_s: used.messages as f64 / seconds,
        bytes_per_s: used.bytes as f64 / seconds,
    }
}

fn member(number: usize, data_centre: usize) -> Member {
    let [_, a, b, c] = u32::try_from(number + 1).unwrap_or(0).to_be_bytes();
    Member {
        name: format!("entry-{number:05}").parse().expect("valid name"),
        incarnation: Incarnation::of_process(1_700_000_000_000),
        data_centre: format!("dc-{data_centre:03}").parse().expect("valid name"),
        callers: "http://10.200.200.200:8080".into(),
        peers: SocketAddr::from(([10, a, b, c], 7_000)),
        state: State::Live,
    }
}

impl Simulation {
    /// Creates the detectors of the first `local` members, which form one data centre.
    fn new(count: usize, local: usize, seed: u64) -> Simulation {
        let data_centre_of = |number: usize| match number {
            number if number < local => 0,
            number => 1 + (number - local) % (DATA_CENTRES - 1),
        };
        let members: Vec<Member> =
            (0..count).map(|number| member(number, data_centre_of(number))).collect();
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
        let member_by_address = members.iter().enumerate().map(|(i, m)| (m.peers, i)).collect();
        Simulation {
            now: Time::ZERO,
            usages: vec![Usage::default(); local],
            detectors,
            members,
            member_by_address,
            in_flight: BTreeMap::new(),
            sent: 0,
            rng,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let view_interval = VIEW_INTERVAL.as_micros();
        while self.now < end {
            for host in 0..self.detectors.len() {
                let started = Instant::now();
                let envelopes = self.detectors[host].tick(self.now);
                if u128::from(self.now.as_micros()) % view_interval == 0 {
                    std::hint::black_box(self.detectors[host].stamp(self.now));
                }
                self.usages[host].time += started.elapsed();
                self.dispatch(host, envelopes);
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
        while let Some(first) = self.in_flight.first_entry() {
            let (at, _) = *first.key();
            if at > until {
                return;
            }
            let (host, content) = first.remove();
            let started = Instant::now();
            let message = wire::Message::decode(&*content).expect("encoded message");
            let message: Message = message.try_into().expect("valid message");
            let envelopes = self.detectors[host].receive(at, message);
            self.usages[host].time += started.elapsed();
            self.count_message(host, content.len());
            self.now = at.max(self.now);
            self.dispatch(host, envelopes);
        }
    }

    fn dispatch(&mut self, from: usize, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let started = Instant::now();
            let content = wire::Message::from(envelope.message.clone()).encode_to_vec();
            self.usages[from].time += started.elapsed();
            self.count_message(from, content.len());
            let Some(&to) = self.member_by_address.get(&envelope.to) else { continue };
            if to < self.detectors.len() {
                self.send(to, content);
            } else if let Body::Ping { probe } = envelope.message.body {
                let body = Body::Ack { probe, summaries: Vec::new() };
                let answer = records(&self.members[to], body, envelope.message.digest);
                self.send(from, wire::Message::from(answer).encode_to_vec());
            }
        }
    }

    /// Simulates the exchanges that other data centres begin: one probe a second to each delegate.
    fn probe_delegates(&mut self) {
        let local = self.detectors.len();
        for host in 0..local {
            if !self.detectors[host].is_delegate() {
                continue;
            }
            let from = self.rng.random_range(local..self.members.len());
            let body = Body::Ping { probe: self.sent };
            let ping = records(&self.members[from], body, self.detectors[host].digest());
            self.send(host, wire::Message::from(ping).encode_to_vec());
        }
    }

    fn send(&mut self, to: usize, content: Vec<u8>) {
        self.sent += 1;
        let delay = Duration::from_millis(self.rng.random_range(1..=40));
        self.in_flight.insert((self.now + delay, self.sent), (to, content));
    }

    fn count_message(&mut self, host: usize, bytes: usize) {
        self.usages[host].messages += 1;
        self.usages[host].bytes += u64::try_from(bytes + CALL_OVERHEAD_BYTES).unwrap_or(0);
    }

    /// Replaces a remote host and sends its new record to one detector.
    fn replace_remote_host(&mut self) {
        let local = self.detectors.len();
        let number = self.rng.random_range(local..self.members.len());
        let member = &mut self.members[number];
        member.incarnation = member.incarnation.refuting(Incarnation::default());
        let digest = self.detectors[0].digest();
        let message = records(&self.members[number], Body::Records, digest);
        let host = self.rng.random_range(0..local);
        self.send(host, wire::Message::from(message).encode_to_vec());
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
