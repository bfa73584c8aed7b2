//! Random runs of several rooms against a simple oracle, which counts the requests that really run
//! on each target. The rooms check their invariants themselves.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        catalog::Catalog,
        clock::Time,
        fleet::{Exception, Fleet, Scope, Value},
        id,
        membership::{Incarnation, Member, State, View},
        refusal::Verdict,
        room::{Action, Decision, Digest, Outcome, PlacementRequest, Room, Ticket},
    },
};

const END: Time = Time::from_millis(60_000);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
const VIEW_LAG_MAX_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 2_000;
const TARGETS: usize = 9;
const SLOTS: u32 = 4;
const HOSTS: [(&str, &str); 5] =
    [("a1", "lake-1"), ("a2", "lake-1"), ("a3", "lake-1"), ("b1", "lake-2"), ("c1", "hill-1")];
const SERVICE: &str = "curves";
const ACCOUNTS: [(&str, u32); 3] = [("farmers", 4), ("schools", 1), ("inspection", 1)];

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    Arrive,
    Tick(usize),
    SendDigests(usize),
    Place { host: usize, job: u64 },
    ReceiveDigest { host: usize, from: usize, digest: Digest, answer: bool },
    Refused { job: u64, from: usize },
    End { host: usize, incarnation: u64, job: u64 },
    Release { host: usize, incarnation: u64, target: id::Target, outcome: Outcome },
    Cancel(u64),
    SetView { host: usize, view: Arc<View> },
    Fault,
    Restart(usize),
    Configure,
}

/// One caller's request.
#[derive(Clone, Debug)]
struct Job {
    entry: usize,
    incarnation: u64,
    deadline: Time,
    account: Option<usize>,
    tried: Vec<id::EntryHost>,
    attempts: u64,
    target: Option<id::Target>,
    done: bool,
    cancelled: bool,
}

struct Host {
    room: Room,
    incarnation: u64,
    view: Arc<View>,
    up: bool,
    paused_until: Time,
    started: Time,
}

struct Cluster {
    rng: Xoshiro256PlusPlus,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    details: HashMap<u64, Event>,
    next: u64,
    hosts: Vec<Host>,
    states: Vec<State>,
    catalog: Arc<Catalog>,
    fleet: Fleet,
    drained: BTreeMap<id::Target, Time>,
    jobs: BTreeMap<u64, Job>,
    tickets: BTreeMap<(usize, u64, Ticket), u64>,
    cut: Option<(usize, usize)>,
    running: BTreeMap<id::Target, u32>,
    runs: u64,
}

fn fleet() -> Fleet {
    let target = |i: usize| {
        let data_centre = ["lake-1", "lake-1", "lake-2", "hill-1"][i % 4];
        format!(
            r#"{{"name": "t{i}", "service": "{SERVICE}", "data_centre": "{data_centre}",
                "address": "192.0.2.{i}:80"}}"#
        )
    };
    let targets: Vec<String> = (0..TARGETS).map(target).collect();
    let accounts = ACCOUNTS.map(|(name, weight)| {
        format!(r#"{{"name": "{name}", "rate": "100/s", "burst": 100, "weight": {weight}}}"#)
    });
    let text = format!(
        r#"{{
            "defaults": {{"deadline": "{DEADLINE_MS}ms", "slots": {SLOTS}, "cold_start": "1s",
                "shift_interval": "2s", "queue_per_slot": 3}},
            "regions": [
                {{"name": "lake", "data_centres": ["lake-1", "lake-2"]}},
                {{"name": "hill", "data_centres": ["hill-1"]}}
            ],
            "links": [{{"between": ["lake", "hill"], "capacity": "100Mbit/s", "latency": "20ms"}}],
            "services": [{{"name": "{SERVICE}"}}],
            "targets": [{}],
            "routes": [{{"service": "{SERVICE}", "path": "/", "methods": ["GET"],
                "access": "keyed", "repeatable": true}}],
            "accounts": [{}]
        }}"#,
        targets.join(","),
        accounts.join(",")
    );
    Fleet::from_json(&text).expect("a valid fleet")
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        let fleet = fleet();
        let mut cluster = Cluster {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            details: HashMap::new(),
            next: 0,
            hosts: Vec::new(),
            states: vec![State::Live; HOSTS.len()],
            catalog: Arc::new(Catalog::new(1.into(), &fleet)),
            fleet,
            drained: BTreeMap::new(),
            jobs: BTreeMap::new(),
            tickets: BTreeMap::new(),
            cut: None,
            running: BTreeMap::new(),
            runs: 0,
        };
        let view = cluster.view();
        for index in 0..HOSTS.len() {
            let host = cluster.host(index, &view);
            cluster.hosts.push(host);
            cluster.schedule(Duration::ZERO, Event::Tick(index));
            cluster.schedule(Duration::from_millis(index as u64 * 7), Event::SendDigests(index));
        }
        cluster.schedule(Duration::ZERO, Event::Arrive);
        cluster.schedule(Duration::from_secs(3), Event::Fault);
        cluster.schedule(Duration::from_secs(4), Event::Configure);
        cluster
    }

    fn host(&mut self, index: usize, view: &Arc<View>) -> Host {
        let incarnation = self.rng.random();
        let (host, data_centre) = HOSTS[index];
        Host {
            room: Room::new(name(host), Incarnation(incarnation), name(data_centre)),
            incarnation,
            view: Arc::clone(view),
            up: true,
            paused_until: Time::ZERO,
            started: self.now,
        }
    }

    fn view(&self) -> Arc<View> {
        let members = HOSTS.iter().zip(&self.states).map(|(&(host, data_centre), &state)| Member {
            name: name(host),
            incarnation: Incarnation::default(),
            data_centre: name(data_centre),
            callers: "".into(),
            peers: "192.0.2.1:1".parse().expect("an address"),
            state,
        });
        Arc::new(View { members: members.collect() })
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + after, self.next)));
        self.details.insert(self.next, event);
    }

    fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(least * 1_000..=most * 1_000))
    }

    fn run(&mut self) {
        while let Some(Reverse((time, number))) = self.events.pop() {
            if time > END {
                return;
            }
            self.now = time;
            let event = self.details.remove(&number).expect("a scheduled event");
            let until = self.paused_until(&event);
            if until > time {
                // A paused host handles its events after the pause.
                self.schedule(until.since(time), event);
                continue;
            }
            self.handle(event);
        }
    }

    fn paused_until(&self, event: &Event) -> Time {
        let host = match event {
            Event::Tick(host) | Event::SendDigests(host) => *host,
            Event::Place { host, .. } | Event::ReceiveDigest { host, .. } => *host,
            Event::Release { host, .. } | Event::SetView { host, .. } => *host,
            Event::Refused { job, .. } => self.jobs.get(job).map_or(0, |job| job.entry),
            _ => return Time::ZERO,
        };
        self.hosts[host].paused_until
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick(host) => {
                self.schedule(TICK_INTERVAL, Event::Tick(host));
                self.call_room(host, Room::tick);
            }
            Event::SendDigests(host) => self.send_digests(host),
            Event::Place { host, job } => self.place(host, job),
            Event::ReceiveDigest { host, from, digest, answer } => {
                self.receive_digest(host, from, digest, answer)
            }
            Event::Refused { job, from } => self.refused(job, from),
            Event::End { host, incarnation, job } => self.end(host, incarnation, job),
            Event::Release { host, incarnation, target, outcome } => {
                self.release(host, incarnation, &target, outcome);
            }
            Event::Cancel(job) => self.cancel(job),
            Event::SetView { host, view } => {
                self.hosts[host].view = view;
                self.call_room(host, |_, _| {});
            }
            Event::Fault => self.fault(),
            Event::Restart(host) => self.restart(host),
            Event::Configure => self.configure(),
        }
    }

    /// Calls a room and applies its decisions.
    fn call_room(&mut self, index: usize, call: impl FnOnce(&mut Room, Time)) {
        let host = &mut self.hosts[index];
        if !host.up || self.now < host.paused_until {
            return;
        }
        host.room.update(self.now, &self.catalog, &host.view);
        call(&mut host.room, self.now);
        let actions = host.room.take_actions();
        let violations = host.room.take_violations();
        assert!(violations.is_empty(), "{violations:?}");
        for action in actions {
            self.apply_action(index, action);
        }
    }

    fn arrive(&mut self) {
        let gap = self.millis(1, 8);
        self.schedule(gap, Event::Arrive);
        let entry = self.rng.random_range(0..HOSTS.len());
        if !self.hosts[entry].up {
            return;
        }
        let account = self.rng.random_range(0..=ACCOUNTS.len());
        let job = Job {
            entry,
            incarnation: self.hosts[entry].incarnation,
            deadline: self.now + Duration::from_millis(DEADLINE_MS),
            account: (account < ACCOUNTS.len()).then_some(account),
            tried: Vec::new(),
            attempts: 0,
            target: None,
            done: false,
            cancelled: false,
        };
        self.next += 1;
        let number = self.next;
        self.jobs.insert(number, job);
        self.schedule(Duration::ZERO, Event::Place { host: entry, job: number });
        if self.rng.random_ratio(1, 10) {
            let after = self.millis(1, 300);
            self.schedule(after, Event::Cancel(number));
        }
    }

    fn place(&mut self, index: usize, number: u64) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.cancelled || job.done || job.deadline <= now {
            return;
        }
        if !self.hosts[index].up {
            let latency = self.latency(index, self.jobs[&number].entry);
            return self.schedule(latency, Event::Refused { job: number, from: index });
        }
        job.attempts += 1;
        let ticket = Ticket(number * 1_000 + job.attempts);
        let request = PlacementRequest {
            request: u128::from(number).into(),
            service: name(SERVICE),
            account: job.account.map(|i| name(ACCOUNTS[i].0)),
            weight: job.account.map_or(1, |i| ACCOUNTS[i].1),
            deadline: job.deadline,
            bytes: 10_000,
            forwarded: index != job.entry,
            tried: job.tried.clone(),
            retry: false,
        };
        let incarnation = self.hosts[index].incarnation;
        self.tickets.insert((index, incarnation, ticket), number);
        self.call_room(index, |room, now| room.place(now, ticket, request));
    }

    fn apply_action(&mut self, index: usize, action: Action) {
        let incarnation = self.hosts[index].incarnation;
        let number =
            self.tickets.remove(&(index, incarnation, action.ticket)).expect("one answer a ticket");
        match action.decision {
            Decision::Run(target) => self.start(index, incarnation, number, target),
            Decision::Forward(host) => {
                let to = HOSTS.iter().position(|(name, _)| *name == host.as_str());
                let to = to.expect("a host");
                self.jobs.get_mut(&number).expect("a job").tried.push(host);
                let latency = self.latency(index, to);
                match self.is_cut(index, to) {
                    false => self.schedule(latency, Event::Place { host: to, job: number }),
                    true => self.schedule(latency, Event::Refused { job: number, from: to }),
                }
            }
            Decision::Refuse(refusal) => {
                assert_eq!(refusal.verdict, Verdict::NotRun);
                let latency = self.latency(index, self.jobs[&number].entry);
                self.schedule(latency, Event::Refused { job: number, from: index });
            }
        }
    }

    fn start(&mut self, index: usize, incarnation: u64, number: u64, target: id::Target) {
        // The host sends nothing for a caller that has gone away.
        let job = self.jobs.get_mut(&number).expect("a job");
        if job.cancelled {
            return self.call_room(index, |room, now| room.end(now, &target, Outcome::Unknown));
        }
        assert!(!job.done && job.target.is_none(), "job {number} runs twice");
        assert!(self.now < job.deadline, "job {number} starts after its deadline");
        if let Some(&since) = self.drained.get(&target) {
            panic!("{target} drains since {since:?} and gets a request at {:?}", self.now);
        }
        job.target = Some(target.clone());
        *self.running.entry(target.clone()).or_default() += 1;
        self.runs += 1;
        self.check(&target);
        let left = self.jobs[&number].deadline.since(self.now);
        let duration = self.millis(1, 400).min(left);
        self.schedule(duration, Event::End { host: index, incarnation, job: number });
    }

    /// A target ends a request whether or not the host that sent it can receive the answer.
    fn end(&mut self, index: usize, incarnation: u64, number: u64) {
        let job = self.jobs.get_mut(&number).expect("a job");
        let Some(target) = job.target.take() else { return };
        job.done = true;
        *self.running.entry(target.clone()).or_default() -= 1;
        let outcome = match self.rng.random_ratio(1, 200) {
            true => Outcome::Unreachable,
            false => Outcome::Answered { held: Duration::from_millis(200) },
        };
        self.schedule(Duration::ZERO, Event::Release { host: index, incarnation, target, outcome });
    }

    fn release(&mut self, index: usize, incarnation: u64, target: &id::Target, outcome: Outcome) {
        if self.hosts[index].incarnation == incarnation {
            self.call_room(index, |room, now| room.end(now, target, outcome));
        }
    }

    fn cancel(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.target.is_some() || job.done {
            return;
        }
        job.cancelled = true;
        let waits = |&(_, job): &(&(usize, u64, Ticket), &u64)| *job == number;
        let waiting: Vec<_> = self.tickets.iter().filter(waits).map(|(key, _)| *key).collect();
        for key in waiting {
            let (index, incarnation, ticket) = key;
            let host = &self.hosts[index];
            if host.incarnation == incarnation && self.now >= host.paused_until {
                self.tickets.remove(&key);
                self.call_room(index, |room, _| room.cancel(ticket));
            }
        }
    }

    fn refused(&mut self, number: u64, from: usize) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.done || job.cancelled || job.incarnation != self.hosts[job.entry].incarnation {
            return;
        }
        let entry = job.entry;
        if from == entry || self.now >= job.deadline {
            job.done = true;
            return;
        }
        let host = name(HOSTS[from].0);
        self.call_room(entry, |room, now| room.record_refusal(now, &host, &name(SERVICE)));
        self.schedule(Duration::ZERO, Event::Place { host: entry, job: number });
    }

    fn send_digests(&mut self, from: usize) {
        self.schedule(DIGEST_INTERVAL, Event::SendDigests(from));
        for to in (0..HOSTS.len()).filter(|&to| to != from) {
            if !self.rng.random_ratio(1, 20) {
                self.send_digest(from, to, false);
            }
        }
    }

    fn send_digest(&mut self, from: usize, to: usize, answer: bool) {
        let mut digest = None;
        self.call_room(from, |room, now| digest = Some(room.digest(now)));
        let Some(digest) = digest.filter(|_| !self.is_cut(from, to)) else { return };
        let latency = self.latency(from, to) + self.millis(0, 30);
        self.schedule(latency, Event::ReceiveDigest { host: to, from, digest, answer });
    }

    fn receive_digest(&mut self, index: usize, from: usize, digest: Digest, answer: bool) {
        self.call_room(index, |room, now| room.apply_digest(now, &name(HOSTS[from].0), digest));
        if !answer {
            self.send_digest(index, from, true);
        }
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        let (from, to) = (HOSTS[from].1, HOSTS[to].1);
        match (from == to, from.starts_with("lake") == to.starts_with("lake")) {
            (true, _) => Duration::from_micros(200),
            (_, true) => Duration::from_micros(1_500),
            _ => Duration::from_millis(20),
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.is_some_and(|(a, b)| (a, b) == (from, to) || (b, a) == (from, to))
    }

    /// Kills or pauses a host, announces it as leaving or wrongly as dead, or cuts or restores the
    /// connection between two hosts.
    fn fault(&mut self) {
        let after = self.millis(300, 3_000);
        self.schedule(after, Event::Fault);
        let index = self.rng.random_range(0..HOSTS.len());
        match self.rng.random_range(0..6) {
            0 => self.kill(index),
            1 => {
                let pause = self.millis(10, 6_000);
                self.hosts[index].paused_until = self.now + pause;
                if self.rng.random() {
                    self.announce(index, State::Dead);
                    self.schedule(pause, Event::Restart(index));
                }
            }
            2 => self.leave(index, State::Leaving),
            3 => self.leave(index, State::Dead),
            4 => self.cut = Some((index, if index == 4 { 3 } else { 4 })),
            _ => self.cut = None,
        }
    }

    fn leave(&mut self, index: usize, state: State) {
        self.announce(index, state);
        let after = self.millis(100, 5_000);
        self.schedule(after, Event::Restart(index));
    }

    fn kill(&mut self, index: usize) {
        self.hosts[index].up = false;
        self.hosts[index].incarnation = 0;
        self.hosts[index].paused_until = Time::ZERO;
        self.announce(index, State::Dead);
        let after = self.millis(50, 8_000);
        self.schedule(after, Event::Restart(index));
    }

    /// Announces a host as live, and starts it again if it is down.
    fn restart(&mut self, index: usize) {
        self.announce(index, State::Live);
        if !self.hosts[index].up {
            let view = self.view();
            self.hosts[index] = self.host(index, &view);
        }
    }

    /// Announces a host's state to every host, each after a random delay.
    fn announce(&mut self, index: usize, state: State) {
        self.states[index] = state;
        let view = self.view();
        for host in 0..HOSTS.len() {
            let lag = match host == index {
                true => Duration::ZERO,
                false => self.millis(0, VIEW_LAG_MAX_MS),
            };
            self.schedule(lag, Event::SetView { host, view: Arc::clone(&view) });
        }
    }

    /// Starts or ends the drain of a target, at all hosts at once.
    fn configure(&mut self) {
        let after = self.millis(1_000, 4_000);
        self.schedule(after, Event::Configure);
        let now = self.now;
        self.jobs.retain(|_, job| now.since(job.deadline) < Duration::from_secs(30));
        let target: id::Target = name(&format!("t{}", self.rng.random_range(0..TARGETS)));
        if self.drained.remove(&target).is_none() {
            self.drained.insert(target, self.now);
        }
        let exception = |target: &id::Target| Exception {
            scope: Scope::Target(target.clone()),
            value: Value::Drain(true),
            reason: "test".into(),
            author: "test".into(),
            until: None,
        };
        self.fleet.exceptions = self.drained.keys().map(exception).collect();
        let revision = self.catalog.revision().next();
        self.catalog = Arc::new(Catalog::new(revision, &self.fleet));
        for host in 0..HOSTS.len() {
            self.call_room(host, |_, _| {});
        }
    }

    /// The oracle: no target runs more requests than it has slots, whichever host started them.
    fn check(&self, target: &id::Target) {
        // A process that has just started may follow an earlier one of its name, whose requests it
        // does not know.
        let has_new_process = self.hosts.iter().any(|host| {
            let age = self.now.since(host.started);
            host.up && age < Duration::from_millis(DEADLINE_MS) && host.room.used(target) > 0
        });
        let most = if has_new_process { SLOTS + SLOTS / 2 } else { SLOTS };
        let running = self.running[target];
        assert!(
            running <= most,
            "{target} runs {running} at {:?}: {}",
            self.now,
            self.dump(target)
        );
    }

    fn dump(&self, target: &id::Target) -> String {
        let line = |(host, (name, _)): (&Host, &(&str, &str))| {
            let (used, until) = (host.room.used(target), host.paused_until);
            format!(
                "{name}: up {}, started {:?}, paused until {until:?}, runs {used}; ",
                host.up, host.started
            )
        };
        self.hosts.iter().zip(&HOSTS).map(line).collect()
    }
}

#[rstest]
fn no_target_runs_more_than_its_slots(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = Cluster::new(seed);
    cluster.run();
    assert!(cluster.runs > 3_000, "only {} runs", cluster.runs);
}
