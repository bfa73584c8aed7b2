//! Simulation of the hosts' quota managers, a network and a store in virtual time.
//!
//! A [`Simulation`] delays, duplicates and loses the messages between [`Manager`]s and the ledger,
//! and checks every admission against one global token bucket for each account.

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

const TICK_INTERVAL_US: u64 = 50_000;
const CHECK_INTERVAL_US: u64 = 100_000;
const SYNC_INTERVAL_US: u64 = 1_000_000;
const CALL_TIMEOUT_US: u64 = 1_000_000;
/// Share of the messages that arrive twice.
const DUPLICATE_SHARE: f64 = 0.01;
const TOLERANCE: f64 = 1e-6;

/// Configuration of a simulation.
#[derive(Clone, Debug)]
pub struct Config {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Region of each host.
    pub regions: Vec<usize>,
    /// Region of the store.
    pub store_region: usize,
    /// One-way latency within a region and between regions.
    pub latency: [Duration; 2],
    /// Rate, in requests a second, and burst of each account.
    pub accounts: Vec<(f64, f64)>,
    /// Largest relative error of a host's clock rate.
    pub clock_error: f64,
    /// Time after which a lowered limit must be in force on all hosts; until then the oracle admits
    /// up to the old limit.
    pub limit_delay: Duration,
}

/// Counts of one account's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests offered.
    pub offered: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests that one global bucket admits.
    pub conforming: u64,
    /// Requests that this global bucket admits and the hosts refused.
    pub refused_within_rate: u64,
    /// Requests admitted beyond the account's rate and burst.
    pub exceeded: u64,
}

/// Counts of messages and of calls of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages between hosts.
    pub messages: u64,
    /// Writes to the store.
    pub writes: u64,
    /// Reads from the store.
    pub reads: u64,
    /// Bytes of the ledger in reads and writes.
    pub ledger_bytes: u64,
}

/// Quota managers of several hosts, run in virtual time.
pub struct Simulation {
    config: Config,
    random: Xoshiro256PlusPlus,
    now: u64,
    last_id: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    /// Process and event, by the id in `events`.
    pending: HashMap<u64, (usize, Event)>,
    processes: Vec<Process>,
    current_processes: Vec<usize>,
    ledger: (u64, Ledger),
    ledger_bytes: u64,
    revision: u64,
    limits: Vec<Limit>,
    account_names: Vec<id::Account>,
    /// Bucket of each account from which admissions take tokens; an admission that finds none
    /// exceeds the limit.
    oracles: Vec<TokenBucket>,
    /// Bucket of each account from which offered requests take tokens; a request that finds one
    /// conforms.
    global_buckets: Vec<TokenBucket>,
    /// Time from which a limit must be in force, account and limit.
    pending_limits: Vec<(u64, usize, Limit)>,
    partitions: Vec<usize>,
    store_partition: usize,
    store_down: bool,
    lose_answers: f64,
    /// Account of each undecided request and whether it conforms, by ticket.
    waiting: BTreeMap<u64, (usize, bool)>,
    tallies: Vec<Tally>,
    traffic: Traffic,
    overcommitted: u64,
    next_check_at: u64,
}

struct Process {
    host: usize,
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
    Read { asked_at: Time, snapshot: (u64, Ledger) },
    Write { from: usize, asked_at: Time, plan: Plan },
    Written { asked_at: Time, plan: Plan, version: u64 },
    Ask { from: usize, question: u64, account: id::Account, tokens: f64 },
    Answer { question: u64, account: id::Account, transfer: Transfer },
    Vouch { from: usize, asked_at: Time, guardian: Holder, holder: Holder },
    Vouched { asked_at: Time, guardian: Holder, holder: Holder },
    Refused { plan: Plan },
    Limits(Vec<Limit>),
}

/// Process number of the store.
const STORE: usize = usize::MAX;

/// A token bucket in virtual time.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: u64,
}

impl TokenBucket {
    /// Creates a full bucket. All times are in microseconds.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket { rate, burst, tokens: burst, refilled_at: 0 }
    }

    /// Changes rate and burst.
    pub fn resize(&mut self, now: u64, rate: f64, burst: f64) {
        self.refill(now);
        (self.rate, self.burst) = (rate, burst);
        self.tokens = self.tokens.min(burst);
    }

    /// Takes a token; returns whether there was one.
    pub fn take(&mut self, now: u64) -> bool {
        self.refill(now);
        let taken = self.tokens >= 1.0 - TOLERANCE;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    #[allow(clippy::cast_precision_loss, reason = "virtual times are far below 2^52")]
    fn refill(&mut self, now: u64) {
        let elapsed = (now - self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = now;
    }
}

fn account_name(index: usize) -> id::Account {
    format!("account-{index}").parse().expect("valid name")
}

fn host_name(host: usize) -> id::EntryHost {
    format!("entry-{host}").parse().expect("valid name")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Simulation {
    /// Creates hosts that know the accounts' limits and have no shares yet.
    pub fn new(config: Config) -> Simulation {
        let limit = |(index, &(rate, burst)): (usize, &(f64, f64))| Limit {
            account: account_name(index),
            revision: 1,
            rate,
            burst,
        };
        let full_bucket = |&(rate, burst): &(f64, f64)| TokenBucket::new(rate, burst);
        let hosts = config.regions.len();
        let mut simulation = Simulation {
            random: Xoshiro256PlusPlus::seed_from_u64(config.seed),
            now: 0,
            last_id: 0,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            processes: Vec::new(),
            current_processes: Vec::new(),
            ledger: (0, Ledger::default()),
            ledger_bytes: 0,
            revision: 1,
            limits: config.accounts.iter().enumerate().map(limit).collect(),
            account_names: (0..config.accounts.len()).map(account_name).collect(),
            oracles: config.accounts.iter().map(full_bucket).collect(),
            global_buckets: config.accounts.iter().map(full_bucket).collect(),
            pending_limits: Vec::new(),
            partitions: vec![0; hosts],
            store_partition: 0,
            store_down: false,
            lose_answers: 0.0,
            waiting: BTreeMap::new(),
            tallies: vec![Tally::default(); config.accounts.len()],
            traffic: Traffic::default(),
            overcommitted: 0,
            next_check_at: 0,
            config,
        };
        for host in 0..hosts {
            let process = simulation.start_process(host);
            simulation.current_processes.push(process);
        }
        simulation
    }

    /// Returns the virtual time since the start.
    pub fn now(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    /// Returns the tallies of the accounts.
    pub fn tallies(&self) -> &[Tally] {
        &self.tallies
    }

    /// Returns the counts of messages and calls.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Returns how often the hosts' managers found an invariant violated.
    pub fn violations(&self) -> u64 {
        self.processes.iter().map(|process| process.manager.violations()).sum()
    }

    /// Returns the ledger in the store.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger.1
    }

    /// Returns how many checks found that the hosts together could use more than an account's rate
    /// or burst.
    pub fn overcommitted(&self) -> u64 {
        self.overcommitted
    }

    /// Compares the sum of what the processes may use now, including paused ones, with the limits.
    fn check_commitments(&mut self) {
        self.apply_pending_limits();
        for index in 0..self.config.accounts.len() {
            let (mut rate, mut burst) = (0.0, 0.0);
            for process in 0..self.processes.len() {
                let now = self.local_time(process);
                let p = &mut self.processes[process];
                if p.running {
                    let usable = p.manager.usable(now, &self.account_names[index]);
                    rate += usable.rate;
                    burst += usable.burst;
                }
            }
            let oracle = &self.oracles[index];
            let exceeds = |sum: f64, limit: f64| sum > limit * (1.0 + TOLERANCE) + TOLERANCE;
            let is_exceeded = exceeds(rate, oracle.rate) || exceeds(burst, oracle.burst);
            self.overcommitted += u64::from(is_exceeded);
        }
    }

    /// Resets the counts of requests, messages and calls.
    pub fn reset_counts(&mut self) {
        self.tallies = vec![Tally::default(); self.config.accounts.len()];
        self.traffic = Traffic::default();
    }

    /// Assigns each host, and the store, to a partition; only members of the same partition reach
    /// each other.
    pub fn partition(&mut self, partitions: Vec<usize>, store: usize) {
        (self.partitions, self.store_partition) = (partitions, store);
    }

    /// Sets whether the store refuses every call.
    pub fn set_store_down(&mut self, down: bool) {
        self.store_down = down;
    }

    /// Sets the share of the store's writes, from 0 to 1, that take effect while the response is
    /// lost.
    pub fn set_lose_answers(&mut self, part: f64) {
        self.lose_answers = part;
    }

    /// Pauses the current process of a host.
    pub fn pause(&mut self, host: usize, length: Duration) {
        let until = self.now + micros(length);
        self.processes[self.current_processes[host]].paused_until = until;
    }

    /// Replaces the current process of a host. The old one is killed, or keeps running without
    /// receiving messages that are addressed to the host.
    pub fn replace(&mut self, host: usize, old_keeps_running: bool) {
        let old = self.current_processes[host];
        self.processes[old].running = old_keeps_running;
        self.current_processes[host] = self.start_process(host);
    }

    /// Changes an account's limit, which reaches the hosts at different times.
    pub fn set_limit(&mut self, index: usize, rate: f64, burst: f64) {
        self.revision += 1;
        let limit = Limit { account: account_name(index), revision: self.revision, rate, burst };
        self.limits[index] = limit.clone();
        // Every account's limit carries the revision of the whole configuration.
        let revision = self.revision;
        self.limits.iter_mut().for_each(|limit| limit.revision = revision);
        let oracle = &mut self.oracles[index];
        oracle.refill(self.now);
        oracle.rate = oracle.rate.max(rate);
        oracle.burst = oracle.burst.max(burst);
        let enforced_at = self.now + micros(self.config.limit_delay);
        self.pending_limits.push((enforced_at, index, limit));
        for process in 0..self.processes.len() {
            let delay = self.random.random_range(0..5_000_000);
            self.schedule(self.now + delay, process, Event::Limits(self.limits.clone()));
        }
    }

    /// Offers a request to the current process of a host.
    pub fn offer(&mut self, host: usize, index: usize) {
        self.offer_to(self.current_processes[host], index);
    }

    /// Offers a request to every process that keeps running after it was replaced.
    pub fn offer_to_replaced(&mut self, index: usize) {
        for process in 0..self.processes.len() {
            let p = &self.processes[process];
            if p.running && self.current_processes[p.host] != process {
                self.offer_to(process, index);
            }
        }
    }

    fn offer_to(&mut self, process: usize, index: usize) {
        if self.processes[process].paused_until > self.now || !self.processes[process].running {
            return;
        }
        self.last_id += 1;
        let ticket = self.last_id;
        let conforming = self.global_buckets[index].take(self.now);
        self.tallies[index].offered += 1;
        self.tallies[index].conforming += u64::from(conforming);
        let now = self.local_time(process);
        match self.processes[process].manager.offer(now, &self.account_names[index], ticket) {
            Decision::Admit => self.record_admission(index),
            Decision::Refuse(_) => self.tallies[index].refused_within_rate += u64::from(conforming),
            Decision::Wait => {
                self.waiting.insert(ticket, (index, conforming));
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
            self.handle(process, event);
        }
        self.now = self.now.max(end);
        if self.now >= self.next_check_at {
            self.next_check_at = self.now + CHECK_INTERVAL_US;
            self.check_commitments();
        }
    }

    fn start_process(&mut self, host: usize) -> usize {
        let process = self.processes.len();
        let error = self.config.clock_error;
        let mut manager = Manager::new(host_name(host), self.random.next_u64() >> 1);
        let clock_rate = 1.0 + self.random.random_range(-1.0..=1.0) * error;
        let clock_offset = self.random.random_range(0..1_000_000_000);
        manager.set_limits(Time::from_micros(clock_offset), self.limits.clone().into_iter());
        self.processes.push(Process {
            host,
            manager,
            clock_rate,
            clock_offset: clock_offset.wrapping_sub(scaled(self.now, clock_rate)),
            paused_until: 0,
            running: true,
        });
        let jitter = self.random.random_range(0..TICK_INTERVAL_US);
        self.schedule(self.now + jitter, process, Event::Tick);
        self.schedule(self.now + jitter * 10, process, Event::Sync);
        process
    }

    fn local_time(&self, process: usize) -> Time {
        let p = &self.processes[process];
        Time::from_micros(scaled(self.now, p.clock_rate).wrapping_add(p.clock_offset))
    }

    fn schedule(&mut self, at: u64, process: usize, event: Event) {
        self.last_id += 1;
        self.events.push(Reverse((at, self.last_id)));
        self.pending.insert(self.last_id, (process, event));
    }

    fn record_admission(&mut self, index: usize) {
        self.apply_pending_limits();
        let exceeded = !self.oracles[index].take(self.now);
        self.tallies[index].admitted += 1;
        self.tallies[index].exceeded += u64::from(exceeded);
    }

    /// Applies to the oracles the limits that must be in force by now. A limit is skipped if a
    /// further change of its account is pending.
    fn apply_pending_limits(&mut self) {
        while let Some(position) = self.pending_limits.iter().position(|(at, _, _)| *at <= self.now)
        {
            let (enforced_at, index, limit) = self.pending_limits.remove(position);
            if self.pending_limits.iter().any(|(_, other, _)| *other == index) {
                continue;
            }
            let oracle = &mut self.oracles[index];
            oracle.refill(enforced_at.max(oracle.refilled_at));
            (oracle.rate, oracle.burst) = (limit.rate, limit.burst);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.partition_of(from) == self.partition_of(to)
    }

    fn partition_of(&self, process: usize) -> usize {
        if process == STORE {
            self.store_partition
        } else {
            self.partitions[self.processes[process].host]
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let region = |p: usize, simulation: &Simulation| match p {
            STORE => simulation.config.store_region,
            p => simulation.config.regions[simulation.processes[p].host],
        };
        let crosses_regions = usize::from(region(from, self) != region(to, self));
        let base = micros(self.config.latency[crosses_regions]);
        base + self.random.random_range(0..=base / 4 + 100)
    }

    /// Sends a message, which is lost if the receiver cannot be reached now.
    fn send(&mut self, from: usize, to: usize, receiver: usize, event: Event) {
        if !self.reaches(from, to) {
            return;
        }
        let at = self.now + self.delay(from, to);
        if from != STORE && to != STORE {
            self.traffic.messages += 1;
        }
        if self.random.random_bool(DUPLICATE_SHARE) {
            let duplicate_at = at + self.delay(from, to);
            self.schedule(duplicate_at, receiver, event.clone());
        }
        self.schedule(at, receiver, event);
    }

    fn handle(&mut self, process: usize, event: Event) {
        if let Event::Write { from, asked_at, plan } = event {
            return self.store_write(from, asked_at, plan);
        }
        let p = &self.processes[process];
        if !p.running {
            return;
        }
        if p.paused_until > self.now {
            let until = p.paused_until;
            return self.schedule(until, process, event);
        }
        let now = self.local_time(process);
        let manager = &mut self.processes[process].manager;
        match event {
            Event::Tick => {
                self.schedule(self.now + TICK_INTERVAL_US, process, Event::Tick);
                self.poll(process);
            }
            Event::Sync => self.sync(process, now),
            Event::Read { asked_at, snapshot: (version, ledger) } => {
                manager.ledger_read(asked_at, now, version, ledger);
                if let Some(plan) = manager.plan(now) {
                    self.traffic.writes += 1;
                    self.traffic.ledger_bytes += self.ledger_bytes;
                    let write = Event::Write { from: process, asked_at: now, plan };
                    self.send(process, STORE, STORE, write);
                }
            }
            Event::Written { asked_at, plan, version } => {
                manager.plan_written(asked_at, now, version, plan)
            }
            Event::Ask { from, question, account, tokens } => {
                let transfer = manager.give(now, &account, tokens);
                self.send(process, from, from, Event::Answer { question, account, transfer });
            }
            Event::Answer { question, account, transfer } => {
                for verdict in manager.tokens_received(now, &account, question, transfer) {
                    self.apply_verdict(verdict);
                }
                self.poll(process);
            }
            Event::Vouch { from, asked_at, guardian, holder } => {
                if manager.vouch(now, &holder, &guardian) {
                    self.send(process, from, from, Event::Vouched { asked_at, guardian, holder });
                }
            }
            Event::Vouched { asked_at, guardian, holder } => {
                manager.vouch_received(asked_at, &guardian, &holder);
            }
            Event::Refused { plan } => manager.plan_refused(now, &plan),
            Event::Limits(limits) => {
                manager.set_limits(now, limits.into_iter());
            }
            Event::Write { .. } => {}
        }
    }

    fn sync(&mut self, process: usize, now: Time) {
        let jitter = self.random.random_range(0..SYNC_INTERVAL_US / 5);
        self.schedule(self.now + SYNC_INTERVAL_US + jitter, process, Event::Sync);
        if self.store_down || !self.reaches(process, STORE) {
            return;
        }
        self.traffic.reads += 1;
        if self.ledger.0 > self.processes[process].manager.version() {
            self.traffic.ledger_bytes += self.ledger_bytes;
        }
        let request_delay = self.delay(process, STORE);
        let response_delay = self.delay(STORE, process);
        // The store is read now rather than when the request arrives; only the response is delayed.
        let snapshot = self.ledger.clone();
        if request_delay + response_delay < CALL_TIMEOUT_US {
            self.schedule(
                self.now + response_delay,
                process,
                Event::Read { asked_at: now, snapshot },
            );
        }
    }

    fn store_write(&mut self, from: usize, asked_at: Time, plan: Plan) {
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
            self.send(STORE, from, from, Event::Written { asked_at, plan, version });
        }
    }

    fn poll(&mut self, process: usize) {
        let now = self.local_time(process);
        for action in self.processes[process].manager.poll(now) {
            match action {
                Action::Decided(verdict) => self.apply_verdict(verdict),
                Action::Ask { to, question, account, tokens } => {
                    let receiver = self.process_of(&to);
                    let ask = Event::Ask { from: process, question, account, tokens };
                    self.send(process, receiver, receiver, ask);
                }
                Action::Vouch { to, holder } => {
                    let receiver = self.process_of(&to);
                    let vouch = Event::Vouch { from: process, asked_at: now, guardian: to, holder };
                    self.send(process, receiver, receiver, vouch);
                }
            }
        }
    }

    fn process_of(&self, holder: &Holder) -> usize {
        let number = holder.host.as_str().rsplit('-').next().and_then(|n| n.parse().ok());
        self.current_processes[number.unwrap_or(0_usize)]
    }

    fn apply_verdict(&mut self, verdict: toucanhoist_core::quota::Verdict) {
        let Some((index, conforming)) = self.waiting.remove(&verdict.ticket) else { return };
        match verdict.refused {
            None => self.record_admission(index),
            Some(_) => self.tallies[index].refused_within_rate += u64::from(conforming),
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
