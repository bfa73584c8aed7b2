use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng, seq::SliceRandom},
    rand_xoshiro::Xoshiro256PlusPlus,
};

use super::{Body, Digest, Envelope, Incarnation, Member, Message, State, View};
use crate::{clock::Time, id};

mod gossip;
mod reach;

const CANDIDATES_MAX: usize = 16;
const CANDIDATE_TRIES_MAX: u32 = 4;
const FRESH_PROBES_IN_A_TICK: usize = 4;
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Intervals and bounds of a [`Detector`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two probes inside the data centre.
    pub probe_interval: Duration,
    /// Time between two exchanges of a delegate with other data centres.
    pub exchange_interval: Duration,
    /// Time after which a probe is tried through other hosts.
    pub ack_timeout: Duration,
    /// Time after which a probe has failed.
    pub probe_timeout: Duration,
    /// Time that a suspect has to refute the suspicion.
    pub suspicion: Duration,
    /// Hosts that are asked to relay a probe.
    pub relays: usize,
    /// Delegates of a data centre.
    pub delegates: usize,
    /// Rumours in one message.
    pub rumours_max: usize,
    /// Records in one answer to a digest that differs.
    pub records_max: usize,
    /// Time between two such answers.
    pub repair_interval: Duration,
    /// Rounds of all data centres without an answer after which one counts as unreachable.
    pub silent_rounds: u32,
    /// Time that dead members are remembered.
    pub dead_retention: Duration,
    /// Time that the first return of a flapping member is held back; it doubles each time.
    pub flap_hold: Duration,
    /// Longest such time.
    pub flap_hold_max: Duration,
    /// Time after which earlier deaths do not count.
    pub flap_window: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            probe_interval: Duration::from_secs(1),
            exchange_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(900),
            suspicion: Duration::from_secs(4),
            relays: 3,
            delegates: 3,
            rumours_max: 6,
            records_max: 128,
            repair_interval: Duration::from_secs(2),
            silent_rounds: 4,
            dead_retention: Duration::from_secs(600),
            flap_hold: Duration::from_secs(5),
            flap_hold_max: Duration::from_secs(60),
            flap_window: Duration::from_secs(300),
        }
    }
}

/// A change of a member's state, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transition {
    /// Name of the member.
    pub name: id::EntryHost,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// State before; `None` if it was not known.
    pub from: Option<State>,
    /// State now.
    pub to: State,
}

/// What a view depends on: equal stamps of one detector mean equal views.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stamp {
    changes: u64,
    held: usize,
    unreachable: Vec<id::DataCentre>,
}

/// The failure detector of one host.
#[derive(Debug)]
pub struct Detector {
    config: Config,
    me: Member,
    revision: id::Revision,
    era: u64,
    known: BTreeMap<id::EntryHost, Known>,
    digest: Digest,
    candidates: VecDeque<Candidate>,
    ring: Vec<SocketAddr>,
    data_centres: Vec<id::DataCentre>,
    suspects: BTreeMap<id::EntryHost, Time>,
    rumours: Vec<Rumour>,
    probes: Vec<Probe>,
    heard: BTreeMap<id::DataCentre, Time>,
    delegate_since: Option<Time>,
    doubts: BTreeMap<id::DataCentre, u32>,
    reports: BTreeMap<id::EntryHost, Report>,
    transitions: Vec<Transition>,
    changes: u64,
    next_probe: u64,
    last_tick: Option<Time>,
    probed: Option<Time>,
    exchanged: Option<Time>,
    repaired: Option<Time>,
    swept: Time,
    rng: Xoshiro256PlusPlus,
}

#[derive(Debug)]
struct Known {
    member: Member,
    changed: Time,
    deaths: u32,
    held_until: Time,
}

/// An address where a host may be.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    address: SocketAddr,
    tries: u32,
}

#[derive(Debug)]
struct Rumour {
    name: id::EntryHost,
    sent: u32,
}

#[derive(Debug)]
struct Probe {
    number: u64,
    target: SocketAddr,
    started: Time,
    relayed: bool,
    on_behalf: Option<OnBehalf>,
}

/// A probe that another host asked for.
#[derive(Clone, Copy, Debug)]
struct OnBehalf {
    requester: SocketAddr,
    probe: u64,
}

#[derive(Debug)]
struct Report {
    at: Time,
    unreachable: Vec<id::DataCentre>,
}

impl Detector {
    /// Creates the detector of the host `me`.
    pub fn new(config: Config, me: Member, seed: u64) -> Detector {
        let mut digest = Digest::default();
        digest.toggle(&me);
        Detector {
            config,
            me,
            revision: id::Revision::default(),
            era: 0,
            known: BTreeMap::new(),
            digest,
            candidates: VecDeque::new(),
            ring: Vec::new(),
            data_centres: Vec::new(),
            suspects: BTreeMap::new(),
            rumours: Vec::new(),
            probes: Vec::new(),
            heard: BTreeMap::new(),
            delegate_since: None,
            doubts: BTreeMap::new(),
            reports: BTreeMap::new(),
            transitions: Vec::new(),
            changes: 1,
            next_probe: 0,
            last_tick: None,
            probed: None,
            exchanged: None,
            repaired: None,
            swept: Time::ZERO,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Returns the host's own record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the digest of all that is known.
    pub fn digest(&self) -> u64 {
        self.digest.all()
    }

    /// Sets the revision that messages carry.
    pub fn set_revision(&mut self, revision: id::Revision) {
        self.revision = revision;
    }

    /// Sets the era of the store that the revision counts in.
    pub fn set_era(&mut self, era: u64) {
        self.era = era;
    }

    /// Adds addresses where hosts may be; only their answers make them members.
    ///
    /// Of many addresses a few are tried at a time: the first that answer know the others.
    pub fn add_candidates(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let members = self.known.values().map(|known| &known.member);
        let live = members.filter(|member| member.state != State::Dead);
        let mut taken: HashSet<SocketAddr> = live.map(|member| member.peers).collect();
        taken.extend(self.candidates.iter().map(|candidate| candidate.address));
        taken.insert(self.me.peers);
        let mut fresh: Vec<SocketAddr> =
            addresses.into_iter().filter(|address| taken.insert(*address)).collect();
        fresh.shuffle(&mut self.rng);
        fresh.truncate(CANDIDATES_MAX.saturating_sub(self.candidates.len()));
        let fresh = fresh.into_iter().map(|address| Candidate { address, tries: 0 });
        self.candidates.extend(fresh);
    }

    /// Announces that the host is shutting down, and returns the announcements.
    pub fn leave(&mut self, now: Time) -> Vec<Envelope> {
        self.set_own(self.me.incarnation.refuting(self.me.incarnation), State::Leaving);
        let mut peers: Vec<SocketAddr> = self.local_peers().collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(self.config.relays);
        peers.into_iter().map(|to| self.ping(now, to, None)).collect()
    }

    /// Returns the changes of state since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// Lets time pass and returns the messages that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Envelope> {
        self.forgive_after_pause(now);
        self.delegate_since = self.is_elected().then(|| self.delegate_since.unwrap_or(now));
        let mut sends = self.follow_probes(now);
        self.bury_suspects(now);
        if is_due(self.probed, now, self.config.probe_interval) {
            self.probed = Some(now);
            sends.extend(self.probe_local(now));
            sends.extend(self.probe_candidate(now));
        }
        sends.extend(self.probe_fresh_candidates(now));
        if is_due(self.exchanged, now, self.config.exchange_interval) && self.is_delegate() {
            self.exchanged = Some(now);
            sends.extend(self.probe_remote_data_centres(now));
        }
        self.sweep(now);
        sends
    }

    /// Takes a message and returns the answers, and messages to others.
    pub fn receive(&mut self, now: Time, message: Message) -> Vec<Envelope> {
        let Message { from, digest, records, unreachable, body, .. } = message;
        if from.name == self.me.name {
            // Two processes under one name refute each other; neither is a peer of the other.
            self.merge(now, from);
            return Vec::new();
        }
        let (sender, to) = (from.name.clone(), from.peers);
        self.heard.insert(from.data_centre.clone(), now);
        self.doubts.remove(&from.data_centre);
        if from.data_centre == self.me.data_centre {
            self.share_doubts(&unreachable);
            self.reports.insert(sender.clone(), Report { at: now, unreachable });
        }
        self.candidates.retain(|candidate| candidate.address != to);
        self.merge(now, from);
        let is_repair = matches!(body, Body::Pull { .. } | Body::Records);
        for record in records {
            self.merge_from(now, record, is_repair);
        }
        match body {
            Body::Ping { probe } => {
                let summaries =
                    if self.may_repair(now, digest) { self.digest.summaries() } else { Vec::new() };
                vec![self.send_about(to, &sender, Body::Ack { probe, summaries })]
            }
            Body::Ack { probe, summaries } => self.acknowledged(now, to, probe, &summaries),
            Body::Relay { probe, target } => {
                let on_behalf = OnBehalf { requester: to, probe };
                vec![self.ping(now, target, Some(on_behalf))]
            }
            Body::Pull { data_centres } => {
                let records = self.records(&data_centres);
                vec![self.send_records(to, Body::Records, records)]
            }
            Body::Records => Vec::new(),
        }
    }

    /// Returns the members as routing and accounts shall see them.
    ///
    /// Members of unreachable data centres count as dead here, flapping ones as dead until their
    /// hold ends. Neither is told to other hosts.
    pub fn view(&self, now: Time) -> View {
        let unreachable = self.unreachable(now);
        let shown = |known: &Known| {
            let mut member = known.member.clone();
            let is_held = now < known.held_until;
            if is_held || unreachable.binary_search(&member.data_centre).is_ok() {
                member.state = State::Dead;
            }
            member
        };
        let mut members: Vec<Member> = self.known.values().map(shown).collect();
        let place = members.partition_point(|member| member.name < self.me.name);
        members.insert(place, self.me.clone());
        View { members }
    }

    /// Returns what the view depends on now.
    pub fn stamp(&self, now: Time) -> Stamp {
        Stamp {
            changes: self.changes,
            held: self.known.values().filter(|known| now < known.held_until).count(),
            unreachable: self.unreachable(now),
        }
    }

    fn forgive_after_pause(&mut self, now: Time) {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap <= self.config.probe_interval * 2 {
            return;
        }
        self.probes.clear();
        self.doubts.clear();
        for since in self.suspects.values_mut() {
            *since = now;
        }
        for heard in self.heard.values_mut() {
            *heard = now;
        }
    }

    fn follow_probes(&mut self, now: Time) -> Vec<Envelope> {
        let mut sends = Vec::new();
        let (mut failed, mut slow) = (Vec::new(), Vec::new());
        let config = self.config;
        self.probes.retain_mut(|probe| {
            let age = now.since(probe.started);
            if age >= config.probe_timeout {
                failed.extend(probe.on_behalf.is_none().then_some(probe.target));
                return false;
            }
            if age >= config.ack_timeout && !probe.relayed && probe.on_behalf.is_none() {
                probe.relayed = true;
                slow.push((probe.number, probe.target));
            }
            true
        });
        for (number, target) in slow {
            sends.extend(self.relays(number, target));
        }
        for target in failed {
            self.doubt(target);
            self.suspect(now, target);
        }
        sends
    }

    fn relays(&mut self, probe: u64, target: SocketAddr) -> Vec<Envelope> {
        if !self.local_peers().any(|peer| peer == target) {
            return Vec::new();
        }
        let mut peers: Vec<SocketAddr> = self.local_peers().filter(|p| *p != target).collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(self.config.relays);
        peers.into_iter().map(|to| self.send(to, Body::Relay { probe, target })).collect()
    }

    fn suspect(&mut self, now: Time, target: SocketAddr) {
        let known = self.known.values().find(|known| {
            known.member.peers == target
                && known.member.data_centre == self.me.data_centre
                && known.member.state != State::Dead
        });
        let Some(known) = known else { return };
        let mut member = known.member.clone();
        if member.state == State::Live {
            member.state = State::Suspect;
            self.merge(now, member);
        } else {
            self.suspects.entry(member.name).or_insert(now);
        }
    }

    fn bury_suspects(&mut self, now: Time) {
        let local = self.local_peers().count().max(1);
        // A host that suspects most of its data centre is more likely cut off itself.
        let is_island = self.suspects.len() * 2 > local && local > 1;
        let patience = self.config.suspicion * if is_island { 2 } else { 1 };
        let due = |(name, since): (&id::EntryHost, &Time)| {
            (now.since(*since) >= patience).then(|| name.clone())
        };
        let due: Vec<id::EntryHost> = self.suspects.iter().filter_map(due).collect();
        for name in due {
            self.suspects.remove(&name);
            let Some(known) = self.known.get(&name) else { continue };
            let mut member = known.member.clone();
            if matches!(member.state, State::Suspect | State::Leaving) {
                member.state = State::Dead;
                self.merge(now, member);
            }
        }
    }

    fn probe_local(&mut self, now: Time) -> Option<Envelope> {
        if self.ring.is_empty() {
            self.ring = self.local_peers().collect();
            self.ring.shuffle(&mut self.rng);
        }
        let target = self.ring.pop()?;
        Some(self.ping(now, target, None))
    }

    /// Probes one address that is no live member: a suggested one, or one of the dead.
    fn probe_candidate(&mut self, now: Time) -> Option<Envelope> {
        let target = match self.candidates.pop_front() {
            Some(mut candidate) => {
                candidate.tries += 1;
                if candidate.tries < CANDIDATE_TRIES_MAX {
                    self.candidates.push_back(candidate);
                }
                candidate.address
            }
            None => self.pick_dead()?,
        };
        Some(self.ping(now, target, None))
    }

    /// Probes addresses that have not been tried, so that a fresh host soon knows others.
    fn probe_fresh_candidates(&mut self, now: Time) -> Vec<Envelope> {
        let fresh = self.candidates.iter_mut().filter(|candidate| candidate.tries == 0);
        let mut targets = Vec::new();
        for candidate in fresh.take(FRESH_PROBES_IN_A_TICK) {
            candidate.tries = 1;
            targets.push(candidate.address);
        }
        targets.into_iter().map(|target| self.ping(now, target, None)).collect()
    }

    fn pick_dead(&mut self) -> Option<SocketAddr> {
        const ONE_IN: u32 = 8;
        if self.rng.random_range(0..ONE_IN) != 0 {
            return None;
        }
        let dead: Vec<SocketAddr> = self
            .known
            .values()
            .filter(|k| k.member.state == State::Dead)
            .map(|k| k.member.peers)
            .collect();
        (!dead.is_empty()).then(|| dead[self.rng.random_range(0..dead.len())])
    }

    fn acknowledged(
        &mut self,
        now: Time,
        from: SocketAddr,
        number: u64,
        summaries: &[super::Summary],
    ) -> Vec<Envelope> {
        let mut sends = Vec::new();
        if let Some(place) = self.probes.iter().position(|probe| probe.number == number) {
            let probe = self.probes.swap_remove(place);
            if let Some(OnBehalf { requester, probe }) = probe.on_behalf {
                sends.push(self.send(requester, Body::Ack { probe, summaries: Vec::new() }));
            }
        }
        if summaries.is_empty() {
            return sends;
        }
        let data_centres = self.digest.differing(summaries);
        if !data_centres.is_empty() {
            self.repaired = Some(now);
            let records = self.records(&data_centres);
            sends.push(self.send_records(from, Body::Pull { data_centres }, records));
        }
        sends
    }

    fn ping(&mut self, now: Time, to: SocketAddr, on_behalf: Option<OnBehalf>) -> Envelope {
        self.next_probe += 1;
        let number = self.next_probe;
        self.probes.push(Probe { number, target: to, started: now, relayed: false, on_behalf });
        let accused = self
            .known
            .values()
            .find(|known| known.member.peers == to && !matches!(known.member.state, State::Live));
        let accused = accused.map(|known| known.member.clone());
        let mut send = self.send(to, Body::Ping { probe: number });
        send.message.records.extend(accused);
        send
    }

    /// Answers a host, with the own record of it if that is not what the host expects.
    fn send_about(&mut self, to: SocketAddr, name: &id::EntryHost, body: Body) -> Envelope {
        let accused = self.known.get(name).map(|known| &known.member);
        let accused = accused.filter(|member| member.state != State::Live).cloned();
        let mut send = self.send(to, body);
        send.message.records.extend(accused);
        send
    }

    fn send(&mut self, to: SocketAddr, body: Body) -> Envelope {
        let records = self.take_rumours();
        self.send_records(to, body, records)
    }

    fn send_records(&self, to: SocketAddr, body: Body, records: Vec<Member>) -> Envelope {
        let now = self.last_tick.unwrap_or_default();
        let unreachable = if self.is_delegate() { self.silent(now) } else { Vec::new() };
        Envelope {
            to,
            message: Message {
                from: self.me.clone(),
                revision: self.revision,
                era: self.era,
                digest: self.digest.all(),
                records,
                unreachable,
                body,
            },
        }
    }

    fn local_peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.local().map(|member| member.peers)
    }

    fn local(&self) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .map(|known| &known.member)
            .filter(|m| m.data_centre == self.me.data_centre && m.state != State::Dead)
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        let retention = self.config.dead_retention;
        self.changes += 1;
        self.known.retain(|_, known| {
            known.member.state != State::Dead || now.since(known.changed) < retention
        });
        let known = &self.known;
        self.reports.retain(|name, _| known.contains_key(name));
        let has_member =
            |name: &id::DataCentre| known.values().any(|k| k.member.data_centre == *name);
        self.data_centres.retain(has_member);
        let data_centres = &self.data_centres;
        self.doubts.retain(|name, _| data_centres.contains(name));
    }
}

impl Known {
    fn update(&mut self, now: Time, record: Member, is_same_process: bool, config: &Config) {
        let returns = self.member.state == State::Dead && record.state == State::Live;
        if now.since(self.changed) > config.flap_window {
            self.deaths = 0;
        }
        if record.state == State::Dead && self.member.state != State::Dead {
            self.deaths += 1;
        }
        // A new process starts afresh; only a process that comes and goes is held back.
        if !is_same_process {
            self.deaths = 0;
            self.held_until = Time::ZERO;
        } else if returns && self.deaths > 1 {
            let doublings = (self.deaths - 2).min(8);
            let hold = (config.flap_hold * (1 << doublings)).min(config.flap_hold_max);
            self.held_until = now + hold;
        }
        self.member = record;
        self.changed = now;
    }
}

fn is_due(last: Option<Time>, now: Time, interval: Duration) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
