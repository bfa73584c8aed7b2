use std::{
    collections::{BTreeMap, BTreeSet, HashSet, VecDeque},
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
const CANDIDATE_PROBES_MAX: u32 = 4;
const NEW_CANDIDATES_PER_TICK: usize = 4;
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Intervals and limits of a [`Detector`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time between two probes inside the data centre.
    pub probe_interval: Duration,
    /// Time between two exchanges of a delegate with other data centres.
    pub exchange_interval: Duration,
    /// Time without an acknowledgement after which other hosts are asked to relay a probe.
    pub ack_timeout: Duration,
    /// Time without an acknowledgement after which a probe has failed.
    pub probe_timeout: Duration,
    /// Time that a suspect has to refute the suspicion.
    pub suspicion: Duration,
    /// Number of hosts that are asked to relay a probe.
    pub relays: usize,
    /// Number of delegates of a data centre.
    pub delegates: usize,
    /// Largest number of updates in one message.
    pub updates_max: usize,
    /// Largest number of records in one answer to a digest that differs.
    pub records_max: usize,
    /// Time between two such answers.
    pub repair_interval: Duration,
    /// Rounds over all data centres without a message from one after which it counts as
    /// unreachable.
    pub unresponsive_rounds: u32,
    /// Number of members from which on only registered hosts are taken.
    pub members_max: usize,
    /// Number of data centres from which on only registered hosts of further ones are taken.
    pub data_centres_max: usize,
    /// Time after which dead members are removed.
    pub dead_retention: Duration,
    /// Time for which a flapping member still counts as dead when it returns after its second
    /// death; it doubles with each further one.
    pub flap_hold: Duration,
    /// Longest such time.
    pub flap_hold_max: Duration,
    /// Time without a change of state after which earlier deaths no longer count.
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
            updates_max: 6,
            records_max: 128,
            repair_interval: Duration::from_secs(2),
            unresponsive_rounds: 4,
            members_max: 4_096,
            data_centres_max: 256,
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
    /// State before; `None` if the member is new.
    pub from: Option<State>,
    /// State after.
    pub to: State,
}

/// Stamp of a view: equal stamps of one detector mean equal views.
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
    /// Hosts that have registered, for which there is always room.
    registered: BTreeSet<id::EntryHost>,
    digest: Digest,
    candidates: VecDeque<Candidate>,
    /// Hosts of the data centre that are still to be probed in this round, in random order.
    probe_round: Vec<SocketAddr>,
    /// Other data centres, in the order in which they are probed, from the end.
    data_centres: Vec<id::DataCentre>,
    /// Suspected members of the data centre, with the start of the suspicion.
    suspects: BTreeMap<id::EntryHost, Time>,
    updates: Vec<Update>,
    probes: Vec<Probe>,
    /// Time of the last message from each data centre.
    last_received: BTreeMap<id::DataCentre, Time>,
    delegate_since: Option<Time>,
    /// Consecutive failed exchanges with each data centre.
    failed_exchanges: BTreeMap<id::DataCentre, u32>,
    /// Last report of each host of the data centre on unreachable data centres.
    reports: BTreeMap<id::EntryHost, Report>,
    transitions: Vec<Transition>,
    changes: u64,
    last_probe: u64,
    last_tick: Option<Time>,
    probed_at: Option<Time>,
    exchanged_at: Option<Time>,
    repaired_at: Option<Time>,
    cleaned_up_at: Time,
    rng: Xoshiro256PlusPlus,
}

/// A known member and its flap damping.
#[derive(Debug)]
struct Known {
    member: Member,
    changed_at: Time,
    deaths: u32,
    /// Time until which the member is shown as dead because it flaps.
    held_until: Time,
}

/// An address at which a host may run.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    address: SocketAddr,
    probes: u32,
}

/// A changed record that is being gossiped.
#[derive(Debug)]
struct Update {
    name: id::EntryHost,
    transmissions: u32,
}

#[derive(Debug)]
struct Probe {
    number: u64,
    target: SocketAddr,
    started: Time,
    is_relayed: bool,
    on_behalf: Option<OnBehalf>,
}

/// A probe that another host asked for.
#[derive(Clone, Copy, Debug)]
struct OnBehalf {
    requester: SocketAddr,
    probe: u64,
}

/// A host's report of the data centres that it cannot reach.
#[derive(Debug)]
struct Report {
    received: Time,
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
            registered: BTreeSet::new(),
            digest,
            candidates: VecDeque::new(),
            probe_round: Vec::new(),
            data_centres: Vec::new(),
            suspects: BTreeMap::new(),
            updates: Vec::new(),
            probes: Vec::new(),
            last_received: BTreeMap::new(),
            delegate_since: None,
            failed_exchanges: BTreeMap::new(),
            reports: BTreeMap::new(),
            transitions: Vec::new(),
            changes: 1,
            last_probe: 0,
            last_tick: None,
            probed_at: None,
            exchanged_at: None,
            repaired_at: None,
            cleaned_up_at: Time::ZERO,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Returns the host's own record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the digest of all known records.
    pub fn digest(&self) -> u64 {
        self.digest.all()
    }

    /// Sets the revision that messages carry.
    pub fn set_revision(&mut self, revision: id::Revision) {
        self.revision = revision;
    }

    /// Sets the store's era to which the revision belongs.
    pub fn set_era(&mut self, era: u64) {
        self.era = era;
    }

    /// Sets the hosts that have registered.
    pub fn set_registered(&mut self, registered: BTreeSet<id::EntryHost>) {
        self.registered = registered;
    }

    /// Adds addresses at which hosts may run; a host becomes a member only when it answers.
    ///
    /// If there are many addresses, only a few are probed: the first hosts that answer know the
    /// others.
    pub fn add_candidates(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let members = self.known.values().map(|known| &known.member);
        let live = members.filter(|member| member.state != State::Dead);
        let mut known: HashSet<SocketAddr> = live.map(|member| member.peers).collect();
        known.extend(self.candidates.iter().map(|candidate| candidate.address));
        known.insert(self.me.peers);
        let mut new: Vec<SocketAddr> =
            addresses.into_iter().filter(|address| known.insert(*address)).collect();
        new.shuffle(&mut self.rng);
        new.truncate(CANDIDATES_MAX.saturating_sub(self.candidates.len()));
        let new = new.into_iter().map(|address| Candidate { address, probes: 0 });
        self.candidates.extend(new);
    }

    /// Marks the host as leaving, and returns the messages that announce it.
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

    /// Advances to `now` and returns the messages that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Envelope> {
        self.reset_after_pause(now);
        self.delegate_since = self.is_elected().then(|| self.delegate_since.unwrap_or(now));
        let mut outgoing = self.check_probes(now);
        self.expire_suspects(now);
        if is_due(self.probed_at, now, self.config.probe_interval) {
            self.probed_at = Some(now);
            outgoing.extend(self.probe_local(now));
            outgoing.extend(self.probe_candidate(now));
        }
        outgoing.extend(self.probe_new_candidates(now));
        if is_due(self.exchanged_at, now, self.config.exchange_interval) && self.is_delegate() {
            self.exchanged_at = Some(now);
            outgoing.extend(self.probe_remote_data_centres(now));
        }
        self.clean_up(now);
        outgoing
    }

    /// Processes a message and returns the answers and the messages to other hosts.
    pub fn receive(&mut self, now: Time, message: Message) -> Vec<Envelope> {
        let Message { from, digest, records, mut unreachable, body, .. } = message;
        if !self.has_room_for(&from) {
            return Vec::new();
        }
        if from.name == self.me.name {
            // Two processes with the same name refute each other; neither is a peer of the other.
            self.merge(now, from);
            return Vec::new();
        }
        let (sender, to) = (from.name.clone(), from.peers);
        // A data centre that is new gets its entry when its host becomes a member.
        if let Some(received) = self.last_received.get_mut(&from.data_centre) {
            *received = now;
        }
        self.failed_exchanges.remove(&from.data_centre);
        if from.data_centre == self.me.data_centre {
            unreachable.retain(|name| self.data_centres.contains(name));
            self.adopt_failures(&unreachable);
            self.reports.insert(sender.clone(), Report { received: now, unreachable });
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
                vec![self.answer(to, &sender, Body::Ack { probe, summaries })]
            }
            Body::Ack { probe, summaries } => self.process_ack(now, to, probe, &summaries),
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

    /// Returns the members as routing and accounts use them.
    ///
    /// Members of unreachable data centres are dead in this view, and flapping members until their
    /// hold ends. Neither is gossiped to other hosts.
    pub fn view(&self, now: Time) -> View {
        let unreachable = self.unreachable(now);
        let view_of = |known: &Known| {
            let mut member = known.member.clone();
            let is_held = now < known.held_until;
            if is_held || unreachable.binary_search(&member.data_centre).is_ok() {
                member.state = State::Dead;
            }
            member
        };
        let mut members: Vec<Member> = self.known.values().map(view_of).collect();
        let index = members.partition_point(|member| member.name < self.me.name);
        members.insert(index, self.me.clone());
        View { members }
    }

    /// Returns the stamp of the view at `now`.
    pub fn stamp(&self, now: Time) -> Stamp {
        Stamp {
            changes: self.changes,
            held: self.known.values().filter(|known| now < known.held_until).count(),
            unreachable: self.unreachable(now),
        }
    }

    /// Restarts all timeouts if the host itself was paused, as it could not receive answers.
    fn reset_after_pause(&mut self, now: Time) {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap <= self.config.probe_interval * 2 {
            return;
        }
        self.probes.clear();
        self.failed_exchanges.clear();
        for since in self.suspects.values_mut() {
            *since = now;
        }
        for received in self.last_received.values_mut() {
            *received = now;
        }
    }

    /// Relays probes that are not acknowledged in time and suspects the targets of failed ones.
    fn check_probes(&mut self, now: Time) -> Vec<Envelope> {
        let mut outgoing = Vec::new();
        let (mut failed, mut slow) = (Vec::new(), Vec::new());
        let config = self.config;
        self.probes.retain_mut(|probe| {
            let age = now.since(probe.started);
            if age >= config.probe_timeout {
                failed.extend(probe.on_behalf.is_none().then_some(probe.target));
                return false;
            }
            if age >= config.ack_timeout && !probe.is_relayed && probe.on_behalf.is_none() {
                probe.is_relayed = true;
                slow.push((probe.number, probe.target));
            }
            true
        });
        for (number, target) in slow {
            outgoing.extend(self.relay(number, target));
        }
        for target in failed {
            self.record_failed_exchange(target);
            self.suspect(now, target);
        }
        outgoing
    }

    fn relay(&mut self, probe: u64, target: SocketAddr) -> Vec<Envelope> {
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

    /// Declares suspects dead that have not refuted the suspicion in time.
    fn expire_suspects(&mut self, now: Time) {
        let local = self.local_peers().count().max(1);
        // A host that suspects most of its data centre is more likely to be isolated itself.
        let may_be_isolated = self.suspects.len() * 2 > local && local > 1;
        let timeout = self.config.suspicion * if may_be_isolated { 2 } else { 1 };
        let expired = |(name, since): (&id::EntryHost, &Time)| {
            (now.since(*since) >= timeout).then(|| name.clone())
        };
        let expired: Vec<id::EntryHost> = self.suspects.iter().filter_map(expired).collect();
        for name in expired {
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
        if self.probe_round.is_empty() {
            self.probe_round = self.local_peers().collect();
            self.probe_round.shuffle(&mut self.rng);
        }
        let target = self.probe_round.pop()?;
        Some(self.ping(now, target, None))
    }

    /// Probes one address without a live member: a candidate or, if there is none, sometimes a dead
    /// member.
    fn probe_candidate(&mut self, now: Time) -> Option<Envelope> {
        let target = match self.candidates.pop_front() {
            Some(mut candidate) => {
                candidate.probes += 1;
                if candidate.probes < CANDIDATE_PROBES_MAX {
                    self.candidates.push_back(candidate);
                }
                candidate.address
            }
            None => self.pick_dead()?,
        };
        Some(self.ping(now, target, None))
    }

    /// Probes candidates that have not been probed yet, so that a new host soon knows other hosts.
    fn probe_new_candidates(&mut self, now: Time) -> Vec<Envelope> {
        let new = self.candidates.iter_mut().filter(|candidate| candidate.probes == 0);
        let mut targets = Vec::new();
        for candidate in new.take(NEW_CANDIDATES_PER_TICK) {
            candidate.probes = 1;
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

    fn process_ack(
        &mut self,
        now: Time,
        from: SocketAddr,
        number: u64,
        summaries: &[super::Summary],
    ) -> Vec<Envelope> {
        let mut outgoing = Vec::new();
        if let Some(index) = self.probes.iter().position(|probe| probe.number == number) {
            let probe = self.probes.swap_remove(index);
            if let Some(OnBehalf { requester, probe }) = probe.on_behalf {
                outgoing.push(self.send(requester, Body::Ack { probe, summaries: Vec::new() }));
            }
        }
        if summaries.is_empty() {
            return outgoing;
        }
        let data_centres = self.digest.differing(summaries);
        if !data_centres.is_empty() {
            self.repaired_at = Some(now);
            let records = self.records(&data_centres);
            outgoing.push(self.send_records(from, Body::Pull { data_centres }, records));
        }
        outgoing
    }

    /// Returns a ping, with the record of the receiver if it is not live, so that it can refute it.
    fn ping(&mut self, now: Time, to: SocketAddr, on_behalf: Option<OnBehalf>) -> Envelope {
        self.last_probe += 1;
        let number = self.last_probe;
        self.probes.push(Probe { number, target: to, started: now, is_relayed: false, on_behalf });
        let record = self
            .known
            .values()
            .find(|known| known.member.peers == to && !matches!(known.member.state, State::Live));
        let record = record.map(|known| known.member.clone());
        let mut envelope = self.send(to, Body::Ping { probe: number });
        envelope.message.records.extend(record);
        envelope
    }

    /// Returns an answer, with the record of the receiver if it is not live, so that it can refute
    /// it.
    fn answer(&mut self, to: SocketAddr, name: &id::EntryHost, body: Body) -> Envelope {
        let record = self.known.get(name).map(|known| &known.member);
        let record = record.filter(|member| member.state != State::Live).cloned();
        let mut envelope = self.send(to, body);
        envelope.message.records.extend(record);
        envelope
    }

    fn send(&mut self, to: SocketAddr, body: Body) -> Envelope {
        let records = self.take_updates();
        self.send_records(to, body, records)
    }

    fn send_records(&self, to: SocketAddr, body: Body, records: Vec<Member>) -> Envelope {
        let now = self.last_tick.unwrap_or_default();
        let unreachable = if self.is_delegate() { self.unresponsive(now) } else { Vec::new() };
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

    /// Removes members that have been dead for the retention time, and what is stored about them.
    fn clean_up(&mut self, now: Time) {
        if now.since(self.cleaned_up_at) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_up_at = now;
        let retention = self.config.dead_retention;
        self.changes += 1;
        self.known.retain(|_, known| {
            known.member.state != State::Dead || now.since(known.changed_at) < retention
        });
        let known = &self.known;
        self.reports.retain(|name, _| known.contains_key(name));
        let has_member =
            |name: &id::DataCentre| known.values().any(|k| k.member.data_centre == *name);
        self.data_centres.retain(has_member);
        let data_centres = &self.data_centres;
        self.failed_exchanges.retain(|name, _| data_centres.contains(name));
    }
}

impl Known {
    fn update(&mut self, now: Time, record: Member, is_same_process: bool, config: &Config) {
        let returns = self.member.state == State::Dead && record.state == State::Live;
        if now.since(self.changed_at) > config.flap_window {
            self.deaths = 0;
        }
        if record.state == State::Dead && self.member.state != State::Dead {
            self.deaths += 1;
        }
        // Only a process that repeatedly dies and returns is held; a new process starts without
        // deaths.
        if !is_same_process {
            self.deaths = 0;
            self.held_until = Time::ZERO;
        } else if returns && self.deaths > 1 {
            let doublings = (self.deaths - 2).min(8);
            let hold = (config.flap_hold * (1 << doublings)).min(config.flap_hold_max);
            self.held_until = now + hold;
        }
        self.member = record;
        self.changed_at = now;
    }
}

fn is_due(last: Option<Time>, now: Time, interval: Duration) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
