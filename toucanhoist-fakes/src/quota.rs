//! Hosts' quota managers over a network and a store in virtual time.
//!
//! A [`Mesh`] moves messages between [`Manager`]s and a ledger, late, lost or not at all, and checks
//! every admission against one ideal bucket an account.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};

use {
    rand::{Rng, RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    toucanhoist_core::{
        clock::Time,
        id,
        quota::{Action, Decision, Holder, Ledger, Limit, Manager, Plan, Transfer},
    },
};

const TICK_US: u64 = 50_000;
const CHECK_US: u64 = 100_000;
const SYNC_US: u64 = 1_000_000;
const CALL_TIMEOUT_US: u64 = 1_000_000;
/// Part of the messages that arrive twice.
const DUPLICATED: f64 = 0.01;
const ROUNDING: f64 = 1e-6;

/// What to drive.
#[derive(Clone, Debug)]
pub struct Config {
    /// Seed of everything random.
    pub seed: u64,
    /// Region of each host.
    pub regions: Vec<usize>,
    /// Region of the store.
    pub store_region: usize,
    /// Latency one way within a region and between regions.
    pub latency: [Duration; 2],
    /// Accounts with their rates, in requests a second, and bursts.
    pub accounts: Vec<(f64, f64)>,
    /// Largest error of a host's clock rate.
    pub clock_error: f64,
    /// Time in which a lowered limit comes into force, after which the oracle is strict.
    pub lowering: Duration,
}

/// What happened with one account.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests offered.
    pub offered: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests that an ideal bucket before all hosts admits.
    pub due: u64,
    /// Requests refused that this ideal bucket admits.
    pub refused_within_rate: u64,
    /// Admissions beyond what the account was agreed.
    pub exceeded: u64,
}

/// Messages and calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages between hosts.
    pub messages: u64,
    /// Writes to the store.
    pub writes: u64,
    /// Reads from the store.
    pub reads: u64,
    /// Bytes of the ledger that reads and writes carried.
    pub ledger_bytes: u64,
}

/// Hosts' quota managers, driven in virtual time.
pub struct Mesh {
    config: Config,
    random: Xoshiro256PlusPlus,
    now: u64,
    number: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, (usize, Event)>,
    processes: Vec<Process>,
    places: Vec<usize>,
    ledger: (u64, Ledger),
    ledger_bytes: u64,
    revision: u64,
    limits: Vec<Limit>,
    names: Vec<id::Account>,
    oracles: Vec<Ideal>,
    ideals: Vec<Ideal>,
    lowered: Vec<(u64, usize, Limit)>,
    islands: Vec<usize>,
    store_island: usize,
    store_down: bool,
    lose_answers: f64,
    waiting: BTreeMap<u64, (usize, bool)>,
    tallies: Vec<Tally>,
    traffic: Traffic,
    overcommitted: u64,
    check_at: u64,
}

struct Process {
    place: usize,
    manager: Manager,
    clock_rate: f64,
    clock_offset: u64,
    paused_until: u64,
    running: bool,
}

#[derive(Clone)]
enum Event {
    Tick,
    Sync,
    Read { asked: Time, found: (u64, Ledger) },
    Write { from: usize, asked: Time, plan: Plan },
    Written { asked: Time, plan: Plan, version: u64 },
    Ask { from: usize, question: u64, account: id::Account, tokens: f64 },
    Answer { question: u64, account: id::Account, given: Transfer },
    Vouch { from: usize, asked: Time, guardian: Holder, holder: Holder },
    Vouched { asked: Time, guardian: Holder, holder: Holder },
    Refused { plan: Plan },
    Limits(Vec<Limit>),
}

/// A process number that stands for the store.
const STORE: usize = usize::MAX;

/// An ideal token bucket before all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Ideal {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: u64,
}

impl Ideal {
    /// Creates a full bucket; times are in microseconds.
    pub fn new(rate: f64, burst: f64) -> Ideal {
        Ideal { rate, burst, tokens: burst, filled: 0 }
    }

    /// Changes rate and burst.
    pub fn resize(&mut self, now: u64, rate: f64, burst: f64) {
        self.fill(now);
        (self.rate, self.burst) = (rate, burst);
        self.tokens = self.tokens.min(burst);
    }

    /// Takes a token, if there is one.
    pub fn take(&mut self, now: u64) -> bool {
        self.fill(now);
        let taken = self.tokens >= 1.0 - ROUNDING;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    #[allow(clippy::cast_precision_loss, reason = "virtual times are far below 2^52")]
    fn fill(&mut self, now: u64) {
        let elapsed = (now - self.filled) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.filled = now;
    }
}

fn account(index: usize) -> id::Account {
    format!("account-{index}").parse().expect("a valid name")
}

fn host(place: usize) -> id::EntryHost {
    format!("entry-{place}").parse().expect("a valid name")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Mesh {
    /// Creates hosts that know their accounts and have no shares yet.
    pub fn new(config: Config) -> Mesh {
        let limit = |(index, &(rate, burst)): (usize, &(f64, f64))| Limit {
            account: account(index),
            revision: 1,
            rate,
            burst,
        };
        let full = |&(rate, burst): &(f64, f64)| Ideal::new(rate, burst);
        let hosts = config.regions.len();
        let mut mesh = Mesh {
            random: Xoshiro256PlusPlus::seed_from_u64(config.seed),
            now: 0,
            number: 0,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            processes: Vec::new(),
            places: Vec::new(),
            ledger: (0, Ledger::default()),
            ledger_bytes: 0,
            revision: 1,
            limits: config.accounts.iter().enumerate().map(limit).collect(),
            names: (0..config.accounts.len()).map(account).collect(),
            oracles: config.accounts.iter().map(full).collect(),
            ideals: config.accounts.iter().map(full).collect(),
            lowered: Vec::new(),
            islands: vec![0; hosts],
            store_island: 0,
            store_down: false,
            lose_answers: 0.0,
            waiting: BTreeMap::new(),
            tallies: vec![Tally::default(); config.accounts.len()],
            traffic: Traffic::default(),
            overcommitted: 0,
            check_at: 0,
            config,
        };
        for place in 0..hosts {
            let process = mesh.start(place);
            mesh.places.push(process);
        }
        mesh
    }

    /// Returns the virtual time since the start.
    pub fn now(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    /// Returns the tallies of the accounts.
    pub fn tallies(&self) -> &[Tally] {
        &self.tallies
    }

    /// Returns messages and calls so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Returns how often the hosts found an invariant broken.
    pub fn violations(&self) -> u64 {
        self.processes.iter().map(|process| process.manager.violations()).sum()
    }

    /// Returns the ledger as the store has it.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger.1
    }

    /// Returns how often all hosts together could use more than an account was agreed.
    pub fn overcommitted(&self) -> u64 {
        self.overcommitted
    }

    /// Adds up what the processes may use at this moment, paused ones too.
    fn check(&mut self) {
        self.come_into_force();
        for index in 0..self.config.accounts.len() {
            let (mut rate, mut burst) = (0.0, 0.0);
            for process in 0..self.processes.len() {
                let now = self.local(process);
                let p = &mut self.processes[process];
                if p.running {
                    let size = p.manager.usable(now, &self.names[index]);
                    rate += size.rate;
                    burst += size.burst;
                }
            }
            let oracle = &self.oracles[index];
            let over = |sum: f64, most: f64| sum > most * (1.0 + ROUNDING) + ROUNDING;
            let over = over(rate, oracle.rate) || over(burst, oracle.burst);
            self.overcommitted += u64::from(over);
        }
    }

    /// Forgets the tallies and fills the ideal buckets to the level of the strict ones.
    pub fn start_counting(&mut self) {
        self.tallies = vec![Tally::default(); self.config.accounts.len()];
        self.traffic = Traffic::default();
    }

    /// Sets which hosts, and the store, can reach each other.
    pub fn partition(&mut self, islands: Vec<usize>, store: usize) {
        (self.islands, self.store_island) = (islands, store);
    }

    /// Sets whether the store refuses every call.
    pub fn set_store_down(&mut self, down: bool) {
        self.store_down = down;
    }

    /// Sets how often the store's answer to a write is lost after it took effect, from 0 to 1.
    pub fn set_lose_answers(&mut self, part: f64) {
        self.lose_answers = part;
    }

    /// Pauses the process at a place.
    pub fn pause(&mut self, place: usize, length: Duration) {
        let until = self.now + micros(length);
        self.processes[self.places[place]].paused_until = until;
    }

    /// Replaces the process at a place; the old one is killed, or goes on unknown to others.
    pub fn replace(&mut self, place: usize, old_goes_on: bool) {
        let old = self.places[place];
        self.processes[old].running = old_goes_on;
        self.places[place] = self.start(place);
    }

    /// Changes an account's limit; hosts learn of it at different times.
    pub fn set_limit(&mut self, index: usize, rate: f64, burst: f64) {
        self.revision += 1;
        let limit = Limit { account: account(index), revision: self.revision, rate, burst };
        self.limits[index] = limit.clone();
        // An account's limits carry the revision of the whole configuration.
        let revision = self.revision;
        self.limits.iter_mut().for_each(|limit| limit.revision = revision);
        let oracle = &mut self.oracles[index];
        oracle.fill(self.now);
        oracle.rate = oracle.rate.max(rate);
        oracle.burst = oracle.burst.max(burst);
        let strict = self.now + micros(self.config.lowering);
        self.lowered.push((strict, index, limit));
        for process in 0..self.processes.len() {
            let delay = self.random.random_range(0..5_000_000);
            self.push(self.now + delay, process, Event::Limits(self.limits.clone()));
        }
    }

    /// Offers a request to the process at a place.
    pub fn offer(&mut self, place: usize, index: usize) {
        self.offer_to(self.places[place], index);
    }

    /// Offers a request to every process that goes on after it was replaced.
    pub fn offer_replaced(&mut self, index: usize) {
        for process in 0..self.processes.len() {
            let p = &self.processes[process];
            if p.running && self.places[p.place] != process {
                self.offer_to(process, index);
            }
        }
    }

    fn offer_to(&mut self, process: usize, index: usize) {
        if self.processes[process].paused_until > self.now || !self.processes[process].running {
            return;
        }
        self.number += 1;
        let ticket = self.number;
        let due = self.ideals[index].take(self.now);
        self.tallies[index].offered += 1;
        self.tallies[index].due += u64::from(due);
        let now = self.local(process);
        match self.processes[process].manager.offer(now, &self.names[index], ticket) {
            Decision::Admit => self.admitted(index),
            Decision::Refuse(_) => self.tallies[index].refused_within_rate += u64::from(due),
            Decision::Wait => {
                self.waiting.insert(ticket, (index, due));
                self.poll(process);
            }
        }
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Duration) {
        let end = micros(end);
        while let Some(&Reverse((at, number))) = self.events.peek() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            let Some((process, event)) = self.pending.remove(&number) else { continue };
            self.step(process, event);
        }
        self.now = self.now.max(end);
        if self.now >= self.check_at {
            self.check_at = self.now + CHECK_US;
            self.check();
        }
    }

    fn start(&mut self, place: usize) -> usize {
        let process = self.processes.len();
        let error = self.config.clock_error;
        let mut manager = Manager::new(host(place), self.random.next_u64() >> 1);
        let clock_rate = 1.0 + self.random.random_range(-1.0..=1.0) * error;
        let clock_offset = self.random.random_range(0..1_000_000_000);
        manager.set_limits(Time::from_micros(clock_offset), self.limits.clone().into_iter());
        self.processes.push(Process {
            place,
            manager,
            clock_rate,
            clock_offset: clock_offset.wrapping_sub(scaled(self.now, clock_rate)),
            paused_until: 0,
            running: true,
        });
        let jitter = self.random.random_range(0..TICK_US);
        self.push(self.now + jitter, process, Event::Tick);
        self.push(self.now + jitter * 10, process, Event::Sync);
        process
    }

    fn local(&self, process: usize) -> Time {
        let p = &self.processes[process];
        Time::from_micros(scaled(self.now, p.clock_rate).wrapping_add(p.clock_offset))
    }

    fn push(&mut self, at: u64, process: usize, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number)));
        self.pending.insert(self.number, (process, event));
    }

    fn admitted(&mut self, index: usize) {
        self.come_into_force();
        let exceeded = !self.oracles[index].take(self.now);
        self.tallies[index].admitted += 1;
        self.tallies[index].exceeded += u64::from(exceeded);
    }

    /// Makes the oracle strict about limits that were lowered long enough ago.
    fn come_into_force(&mut self) {
        while let Some(at) = self.lowered.iter().position(|(at, _, _)| *at <= self.now) {
            let (strict, index, limit) = self.lowered.remove(at);
            if self.lowered.iter().any(|(_, other, _)| *other == index) {
                continue;
            }
            let oracle = &mut self.oracles[index];
            oracle.fill(strict.max(oracle.filled));
            (oracle.rate, oracle.burst) = (limit.rate, limit.burst);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.island(from) == self.island(to)
    }

    fn island(&self, process: usize) -> usize {
        if process == STORE {
            self.store_island
        } else {
            self.islands[self.processes[process].place]
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let region = |p: usize, mesh: &Mesh| match p {
            STORE => mesh.config.store_region,
            p => mesh.config.regions[mesh.processes[p].place],
        };
        let far = usize::from(region(from, self) != region(to, self));
        let base = micros(self.config.latency[far]);
        base + self.random.random_range(0..=base / 4 + 100)
    }

    /// Sends a message, which is lost if the receiver cannot be reached now or then.
    fn send(&mut self, from: usize, to: usize, receiver: usize, event: Event) {
        if !self.reaches(from, to) {
            return;
        }
        let at = self.now + self.delay(from, to);
        if from != STORE && to != STORE {
            self.traffic.messages += 1;
        }
        if self.random.random_bool(DUPLICATED) {
            let again = at + self.delay(from, to);
            self.push(again, receiver, event.clone());
        }
        self.push(at, receiver, event);
    }

    fn step(&mut self, process: usize, event: Event) {
        if let Event::Write { from, asked, plan } = event {
            return self.store_write(from, asked, plan);
        }
        let p = &self.processes[process];
        if !p.running {
            return;
        }
        if p.paused_until > self.now {
            let until = p.paused_until;
            return self.push(until, process, event);
        }
        let now = self.local(process);
        let manager = &mut self.processes[process].manager;
        match event {
            Event::Tick => {
                self.push(self.now + TICK_US, process, Event::Tick);
                self.poll(process);
            }
            Event::Sync => self.sync(process, now),
            Event::Read { asked, found: (version, ledger) } => {
                manager.ledger_read(asked, now, version, ledger);
                if let Some(plan) = manager.plan(now) {
                    self.traffic.writes += 1;
                    self.traffic.ledger_bytes += self.ledger_bytes;
                    let write = Event::Write { from: process, asked: now, plan };
                    self.send(process, STORE, STORE, write);
                }
            }
            Event::Written { asked, plan, version } => {
                manager.plan_written(asked, now, version, plan)
            }
            Event::Ask { from, question, account, tokens } => {
                let given = manager.give(now, &account, tokens);
                self.send(process, from, from, Event::Answer { question, account, given });
            }
            Event::Answer { question, account, given } => {
                for verdict in manager.tokens_received(now, &account, question, given) {
                    self.decided(verdict);
                }
                self.poll(process);
            }
            Event::Vouch { from, asked, guardian, holder } => {
                if manager.vouch(now, &holder, &guardian) {
                    self.send(process, from, from, Event::Vouched { asked, guardian, holder });
                }
            }
            Event::Vouched { asked, guardian, holder } => {
                manager.vouch_received(asked, &guardian, &holder);
            }
            Event::Refused { plan } => manager.plan_refused(now, &plan),
            Event::Limits(limits) => {
                manager.set_limits(now, limits.into_iter());
            }
            Event::Write { .. } => {}
        }
    }

    fn sync(&mut self, process: usize, now: Time) {
        let jitter = self.random.random_range(0..SYNC_US / 5);
        self.push(self.now + SYNC_US + jitter, process, Event::Sync);
        if self.store_down || !self.reaches(process, STORE) {
            return;
        }
        self.traffic.reads += 1;
        if self.ledger.0 > self.processes[process].manager.version() {
            self.traffic.ledger_bytes += self.ledger_bytes;
        }
        let there = self.delay(process, STORE);
        let back = self.delay(STORE, process);
        // The store is read on the way; what it holds then is what arrives.
        let found = self.ledger.clone();
        if there + back < CALL_TIMEOUT_US {
            self.push(self.now + back, process, Event::Read { asked: now, found });
        }
    }

    fn store_write(&mut self, from: usize, asked: Time, plan: Plan) {
        if !self.reaches(from, STORE) || plan.base != self.ledger.0 {
            return;
        }
        if self.store_down {
            return self.send(STORE, from, from, Event::Refused { plan });
        }
        let version = plan.base + 1;
        self.ledger = (version, plan.ledger.clone());
        let text = serde_json::to_vec(&plan.ledger).unwrap_or_default();
        self.ledger_bytes = u64::try_from(text.len()).unwrap_or(u64::MAX);
        if !self.random.random_bool(self.lose_answers) {
            self.send(STORE, from, from, Event::Written { asked, plan, version });
        }
    }

    fn poll(&mut self, process: usize) {
        let now = self.local(process);
        for action in self.processes[process].manager.poll(now) {
            match action {
                Action::Decided(verdict) => self.decided(verdict),
                Action::Ask { to, question, account, tokens } => {
                    let receiver = self.process_of(&to);
                    let ask = Event::Ask { from: process, question, account, tokens };
                    self.send(process, receiver, receiver, ask);
                }
                Action::Vouch { to, holder } => {
                    let receiver = self.process_of(&to);
                    let vouch = Event::Vouch { from: process, asked: now, guardian: to, holder };
                    self.send(process, receiver, receiver, vouch);
                }
            }
        }
    }

    fn process_of(&self, holder: &Holder) -> usize {
        let number = holder.host.as_str().rsplit('-').next().and_then(|n| n.parse().ok());
        self.places[number.unwrap_or(0_usize)]
    }

    fn decided(&mut self, verdict: toucanhoist_core::quota::Verdict) {
        let Some((index, due)) = self.waiting.remove(&verdict.ticket) else { return };
        match verdict.refused {
            None => self.admitted(index),
            Some(_) => self.tallies[index].refused_within_rate += u64::from(due),
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "virtual times are far below 2^52"
)]
fn scaled(micros: u64, rate: f64) -> u64 {
    (micros as f64 * rate) as u64
}
