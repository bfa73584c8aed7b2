//! Submissions checked by an oracle that counts how often each one runs.
//!
//! In the simulation, hosts crash, pause and are replaced; the store is slow, loses answers and
//! applies writes late; hops are slow; targets crash before and after the effect; callers resend to
//! random hosts; and an operator settles open submissions by what the targets have run.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        clock::Time,
        id,
        key::Digest,
        refusal::{Code, Refusal, Verdict},
        submission::{
            Action, Attempt, Batch, Batcher, BatcherConfig, Command, Content, Event, Expect, Fence,
            Holder, Outcome, Record, Rejection, Row, State, Step, StoredAnswer, Submission, Ticket,
            Watch, Write, Written,
        },
    },
};

const HOSTS: usize = 3;
const KEYS: usize = 24;
const STEPS: usize = 2_500;
const SEEDS: u64 = 24;
const LEASE: Duration = Duration::from_secs(5);
const RECOVERY_ROUNDS: usize = 16;

/// Faults that are injected on purpose, to show that the oracle detects them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The holder does not check its fence again before it sends.
    UnfencedHolder,
    /// A hop counts the lease from the arrival of the holder's answer instead of its own request.
    LeaseFromArrival,
    /// A resend takes over a record that is still running.
    TakesOverRunning,
    /// An attempt that failed after the first byte is released.
    ReleasesFailed,
}

struct Host {
    clock: Duration,
    incarnation: u64,
    paused: bool,
    batcher: Batcher,
    watch: Watch,
    attempts: HashMap<Ticket, Running>,
    /// Outcomes whose write is to be retried.
    retries: Vec<(Running, Write)>,
}

struct Running {
    key: usize,
    attempt: Attempt,
    /// Whether the caller already has its answer or refusal.
    answered: bool,
    answer: Option<StoredAnswer>,
    refusal: Option<Refusal>,
}

/// A request in transit to a target, at its holder or at a hop.
struct InTransit {
    host: usize,
    incarnation: u64,
    running: Running,
    hop: usize,
    hop_incarnation: u64,
    /// Fence by the hop's clock, once the holder has answered with the rest of its lease.
    fence: Option<Fence>,
    holder_fence: Fence,
    asked: Option<Time>,
}

enum Call {
    Transact {
        host: usize,
        incarnation: u64,
        batch: Batch,
        writes: Vec<Write>,
    },
    Read {
        host: usize,
        incarnation: u64,
        batch: Batch,
        rows: Vec<Box<str>>,
    },
    /// A transaction that takes effect after its caller has given up waiting.
    Late(Vec<Write>),
}

struct Simulation {
    rng: Xoshiro256PlusPlus,
    fault: Fault,
    now: Time,
    hosts: Vec<Host>,
    rows: HashMap<Box<str>, Row>,
    version: u64,
    calls: Vec<Call>,
    in_transit: Vec<InTransit>,
    next: u64,
    store_down: bool,
    /// Number of runs by key.
    runs: Vec<u32>,
    ran: HashSet<id::Request>,
    refused_as_not_run: HashSet<id::Request>,
    answered: HashSet<usize>,
    settled: HashSet<usize>,
    violations: Vec<String>,
}

fn submission(key: usize, request: u128) -> Submission {
    Submission {
        account: "farmers".parse().expect("a name"),
        service: "cuts".parse().expect("a name"),
        key: format!("cut-{key}").into(),
        digest: Digest::of(&[u8::try_from(key).expect("a small number")]),
        request: request.into(),
    }
}

fn stored_answer(key: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: Vec::new(),
        target: "cuts-1".into(),
        content: Content::Inline(format!("record of cut {key}").into()),
    }
}

impl Simulation {
    fn new(seed: u64, fault: Fault) -> Simulation {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|_| Simulation::host(&mut rng)).collect();
        Simulation {
            rng,
            fault,
            now: Time::ZERO,
            hosts,
            rows: HashMap::new(),
            version: 0,
            calls: Vec::new(),
            in_transit: Vec::new(),
            next: 1,
            store_down: false,
            runs: vec![0; KEYS],
            ran: HashSet::new(),
            refused_as_not_run: HashSet::new(),
            answered: HashSet::new(),
            settled: HashSet::new(),
            violations: Vec::new(),
        }
    }

    fn host(rng: &mut Xoshiro256PlusPlus) -> Host {
        Host {
            clock: Duration::from_millis(rng.random_range(0..100_000)),
            incarnation: rng.random(),
            paused: false,
            batcher: Batcher::new(BatcherConfig::default()),
            watch: Watch::new(),
            attempts: HashMap::new(),
            retries: Vec::new(),
        }
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn now_at(&self, host: usize) -> Time {
        self.now + self.hosts[host].clock
    }

    fn violation(&mut self, description: String) {
        self.violations.push(description);
    }

    fn step(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        match self.rng.random_range(0..100) {
            0..14 => self.submit(host),
            14..42 => self.call_store(),
            42..62 => self.advance_request(),
            62..72 => self.now = self.now + Duration::from_millis(self.rng.random_range(0..50)),
            72..74 => self.now = self.now + Duration::from_secs(self.rng.random_range(0..8)),
            74..77 => self.hosts[host].paused = true,
            77..80 => self.hosts[host].paused = false,
            80..81 => self.hosts[host] = Simulation::host(&mut self.rng),
            81..87 => self.sweep(host),
            87..92 => self.settle_open(),
            92..93 => self.store_down = !self.store_down,
            _ => self.retry_write(host),
        }
        for host in 0..HOSTS {
            self.poll(host);
        }
    }

    /// A caller sends or resends a submission to a host.
    fn submit(&mut self, host: usize) {
        if !self.hosts[host].paused {
            let key = self.rng.random_range(0..KEYS);
            self.submit_key(host, key);
        }
    }

    fn submit_key(&mut self, host: usize, key: usize) {
        let submission = submission(key, u128::from(self.number()));
        let holder = Holder {
            name: format!("entry-{host}").parse().expect("a name"),
            incarnation: self.hosts[host].incarnation,
        };
        let (attempt, action) = Attempt::begin(&submission, &holder, self.now_at(host), LEASE, 0);
        let running = Running { key, attempt, answered: false, answer: None, refusal: None };
        self.act(host, running, action);
    }

    fn act(&mut self, host: usize, mut running: Running, action: Action) {
        let request = running.attempt.record().request;
        match action {
            Action::Write(write) => self.write(host, running, write),
            Action::Send(holder_fence) => {
                let hop = self.rng.random_range(0..HOSTS);
                self.in_transit.push(InTransit {
                    host,
                    incarnation: self.hosts[host].incarnation,
                    running,
                    hop,
                    hop_incarnation: self.hosts[hop].incarnation,
                    fence: (hop == host).then_some(holder_fence),
                    holder_fence,
                    asked: None,
                });
            }
            Action::Replay(answer) => {
                if answer != stored_answer(running.key) || self.runs[running.key] != 1 {
                    self.violation(format!("key {}: a wrong answer was replayed", running.key));
                }
                self.answered.insert(running.key);
            }
            Action::Refuse(refusal) => self.refuse(running.key, request, &refusal),
            Action::RefuseThenWrite(refusal, write) => {
                self.refuse(running.key, request, &refusal);
                running.answered = true;
                self.write(host, running, write);
            }
            Action::WriteLater(write, _) => self.hosts[host].retries.push((running, write)),
            Action::Done => self.finish(&running),
        }
    }

    /// Gives the caller its answer or refusal, once the outcome is written.
    fn finish(&mut self, running: &Running) {
        if running.answered {
            return;
        }
        if let Some(refusal) = &running.refusal {
            let request = running.attempt.record().request;
            self.refuse(running.key, request, refusal);
        }
        if running.answer.is_some() {
            self.answered.insert(running.key);
        }
    }

    fn refuse(&mut self, key: usize, request: id::Request, refusal: &Refusal) {
        match refusal.verdict {
            Verdict::NotRun => {
                self.refused_as_not_run.insert(request);
                if self.ran.contains(&request) {
                    self.violation(format!("key {key}: refused as not run, but it ran"));
                }
            }
            Verdict::Ran if self.runs[key] != 1 => {
                self.violation(format!("key {key}: refused as run, but it did not run"));
            }
            Verdict::Ran | Verdict::MayHaveRun => {}
        }
    }

    fn write(&mut self, host: usize, running: Running, write: Write) {
        let ticket = Ticket(self.number());
        let now = self.now_at(host);
        match self.hosts[host].batcher.push(now, ticket, write, now + LEASE) {
            Ok(()) => {
                self.hosts[host].attempts.insert(ticket, running);
            }
            Err(Rejection { reason, retry_after }) => {
                let written = Written::Unavailable { reason: reason.into(), retry_after };
                self.written(host, running, written);
            }
        }
    }

    fn written(&mut self, host: usize, running: Running, mut written: Written) {
        if self.fault == Fault::TakesOverRunning {
            written = as_released(written);
        }
        self.outcome(host, running, Event::Written(written));
    }

    fn outcome(&mut self, host: usize, mut running: Running, event: Event) {
        let now = self.now_at(host);
        let action = running.attempt.step(now, 0, &mut self.hosts[host].watch, event);
        self.act(host, running, action);
    }

    fn retry_write(&mut self, host: usize) {
        if self.hosts[host].paused {
            return;
        }
        if let Some((running, write)) = self.hosts[host].retries.pop() {
            self.write(host, running, write);
        }
    }

    fn poll(&mut self, host: usize) {
        if self.hosts[host].paused {
            return;
        }
        let now = self.now_at(host);
        while let Some(command) = self.hosts[host].batcher.poll(now) {
            let incarnation = self.hosts[host].incarnation;
            match command {
                Command::Transact(batch, writes) => {
                    self.calls.push(Call::Transact { host, incarnation, batch, writes });
                }
                Command::Read(batch, rows) => {
                    self.calls.push(Call::Read { host, incarnation, batch, rows });
                }
                Command::Settle(ticket, written) => {
                    if let Some(running) = self.hosts[host].attempts.remove(&ticket) {
                        self.written(host, running, written);
                    }
                }
            }
        }
    }

    /// Executes a random call to the store; it may fail, lose its answer or take effect late.
    fn call_store(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.calls.len());
        match self.calls.swap_remove(index) {
            Call::Late(writes) => {
                self.apply(writes);
            }
            Call::Transact { host, incarnation, batch, writes } => {
                let outcome = match self.rng.random_range(0..10) {
                    _ if self.store_down => Outcome::Unavailable,
                    0 => {
                        self.apply(writes);
                        Outcome::Unknown
                    }
                    1 => {
                        self.calls.push(Call::Late(writes));
                        Outcome::Unknown
                    }
                    2 => Outcome::Unavailable,
                    _ => self.apply(writes),
                };
                let now = self.now_at(host);
                if self.hosts[host].incarnation == incarnation {
                    self.hosts[host].batcher.transaction_finished(now, batch, &outcome);
                }
            }
            Call::Read { host, incarnation, batch, rows } => {
                let fails = self.store_down || self.rng.random_range(0..10) == 0;
                let read = rows.iter().map(|row| self.rows.get(row).cloned()).collect();
                let outcome = if fails { Outcome::Unavailable } else { Outcome::Done(read) };
                let now = self.now_at(host);
                if self.hosts[host].incarnation == incarnation {
                    self.hosts[host].batcher.read_finished(now, batch, outcome);
                }
            }
        }
    }

    fn apply(&mut self, writes: Vec<Write>) -> Outcome<u64> {
        let holds = |write: &Write| match (write.expect, self.rows.get(&write.row)) {
            (Expect::Absent, row) => row.is_none(),
            (Expect::Version(version), row) => row.is_some_and(|row| row.version == version),
        };
        if !writes.iter().all(holds) {
            return Outcome::Conflict;
        }
        self.version += 1;
        let version = self.version;
        for Write { row, value, .. } in writes {
            match value {
                Some(value) => self.rows.insert(row, Row { version, value }),
                None => self.rows.remove(&row),
            };
        }
        Outcome::Done(version)
    }

    /// Advances a random request in transit: the hop asks its holder for the rest of the lease,
    /// gets the answer, or sends the request to a target.
    fn advance_request(&mut self) {
        if self.in_transit.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.in_transit.len());
        let (hop, host) = (self.in_transit[index].hop, self.in_transit[index].host);
        if self.hosts[hop].paused {
            return;
        }
        let is_holder_gone = self.hosts[host].incarnation != self.in_transit[index].incarnation;
        if self.hosts[hop].incarnation != self.in_transit[index].hop_incarnation {
            // The hop was replaced: the holder cannot know whether it sent the request.
            let request = self.in_transit.swap_remove(index);
            let refusal = Refusal::may_have_run(Code::TargetFailed, "the hop was replaced");
            return self.failed(request, refusal, is_holder_gone);
        }
        let Some(fence) = self.in_transit[index].fence else {
            return self.agree_on_fence(index, hop, host, is_holder_gone);
        };
        let request = self.in_transit.swap_remove(index);
        if !fence.allows(self.now_at(hop)) && self.fault != Fault::UnfencedHolder {
            let refusal = Refusal::not_run(Code::DeadlineExceeded, "the fence was reached");
            return self.failed(request, refusal, is_holder_gone);
        }
        self.reach_target(request, is_holder_gone);
    }

    fn agree_on_fence(&mut self, index: usize, hop: usize, host: usize, is_holder_gone: bool) {
        let hop_now = self.now_at(hop);
        match self.in_transit[index].asked {
            None => self.in_transit[index].asked = Some(hop_now),
            Some(_) if is_holder_gone => {
                self.in_transit.swap_remove(index);
            }
            Some(_) if self.hosts[host].paused => {}
            Some(asked) => {
                let left = self.in_transit[index].holder_fence.left(self.now_at(host));
                // The receiver of a message cannot measure how long it was delayed.
                let delay = Duration::from_secs(self.rng.random_range(0..20));
                let fence = match self.fault {
                    Fault::LeaseFromArrival => Fence::new(hop_now + delay + left),
                    _ => Fence::new(asked + left),
                };
                self.in_transit[index].fence = Some(fence);
            }
        }
    }

    fn reach_target(&mut self, in_transit: InTransit, is_holder_gone: bool) {
        let (key, request) = (in_transit.running.key, in_transit.running.attempt.record().request);
        match self.rng.random_range(0..10) {
            0 => {
                let refusal = Refusal::not_run(Code::TargetUnreachable, "connection refused");
                self.failed(in_transit, refusal, is_holder_gone);
            }
            1 => self.fail_at_target(in_transit, "it crashed before the effect", is_holder_gone),
            2 => {
                self.run(key, request);
                self.fail_at_target(in_transit, "it crashed after the effect", is_holder_gone);
            }
            _ => {
                self.run(key, request);
                if is_holder_gone {
                    return;
                }
                let host = in_transit.host;
                let mut running = in_transit.running;
                running.answer = Some(stored_answer(key));
                self.outcome(host, running, Event::Ran(stored_answer(key)));
            }
        }
    }

    fn run(&mut self, key: usize, request: id::Request) {
        self.runs[key] += 1;
        self.ran.insert(request);
        if self.runs[key] > 1 {
            self.violation(format!("key {key} ran {} times", self.runs[key]));
        }
        if self.refused_as_not_run.contains(&request) {
            self.violation(format!("key {key} ran after it was refused as not run"));
        }
    }

    fn fail_at_target(&mut self, in_transit: InTransit, detail: &str, is_holder_gone: bool) {
        let refusal = match self.fault {
            Fault::ReleasesFailed => Refusal::not_run(Code::TargetFailed, detail),
            _ => Refusal::may_have_run(Code::TargetFailed, detail),
        };
        self.failed(in_transit, refusal, is_holder_gone);
    }

    fn failed(&mut self, in_transit: InTransit, refusal: Refusal, is_holder_gone: bool) {
        if is_holder_gone {
            return;
        }
        let mut running = in_transit.running;
        running.refusal = Some(refusal.clone());
        self.outcome(in_transit.host, running, Event::Failed(refusal));
    }

    /// Has a host observe all records and open those whose holder is gone.
    fn sweep(&mut self, host: usize) {
        if self.hosts[host].paused {
            return;
        }
        let now = self.now_at(host);
        let mut rows: Vec<(Box<str>, Row)> = self.rows.clone().into_iter().collect();
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        for (key, row) in rows {
            let record = Record::from_json(&row.value).expect("a record");
            let step = self.hosts[host].watch.observe(now, 0, &key, row.version, &record);
            if let Step::Write(write) = step {
                self.apply(vec![write]);
            }
        }
    }

    /// Has an operator settle the open submissions by what the targets have run.
    fn settle_open(&mut self) {
        for key in 0..KEYS {
            self.settle(key);
        }
    }

    fn settle(&mut self, key: usize) {
        let row = submission(key, 0).row();
        let Some(found) = self.rows.get(&row).cloned() else { return };
        let record = Record::from_json(&found.value).expect("a record");
        if !matches!(record.state, State::Open { .. }) {
            return;
        }
        let state = match self.runs[key] {
            0 => State::Released,
            _ => {
                self.settled.insert(key);
                State::Settled { author: "operator".into(), reason: "seen".into() }
            }
        };
        let value = Some(Record { state, ..record }.to_json());
        self.apply(vec![Write { row, expect: Expect::Version(found.version), value }]);
    }

    /// Ends all faults and runs until every submission has ended.
    fn recover(&mut self) {
        self.store_down = false;
        for host in 0..HOSTS {
            self.hosts[host].paused = false;
        }
        for _ in 0..RECOVERY_ROUNDS {
            for key in 0..KEYS {
                if !self.answered.contains(&key) {
                    self.submit_key(key % HOSTS, key);
                }
                for _ in 0..20 {
                    self.now = self.now + Duration::from_millis(20);
                    self.call_store();
                    self.advance_request();
                    self.retry_write(key % HOSTS);
                    (0..HOSTS).for_each(|host| self.poll(host));
                }
            }
            (0..HOSTS).for_each(|host| self.sweep(host));
            self.settle_open();
        }
        for key in 0..KEYS {
            if self.runs[key] == 0 {
                self.violation(format!("key {key} never ran, although its caller kept resending"));
            }
            if !self.answered.contains(&key) && !self.settled.contains(&key) {
                self.violation(format!("key {key} has neither an answer nor a settled record"));
            }
        }
    }
}

/// Changes a running record that caused a conflict into a released one.
fn as_released(written: Written) -> Written {
    let Written::Conflict(Some(row)) = written else { return written };
    let record = Record::from_json(&row.value).expect("a record");
    if record.state != State::Running {
        return Written::Conflict(Some(row));
    }
    let value = Record { state: State::Released, ..record }.to_json();
    Written::Conflict(Some(Row { value, ..row }))
}

fn violations(seed: u64, fault: Fault) -> Vec<String> {
    let mut simulation = Simulation::new(seed, fault);
    for _ in 0..STEPS {
        simulation.step();
    }
    if fault == Fault::None {
        simulation.recover();
    }
    simulation.violations
}

#[rstest]
fn a_submission_runs_at_most_once_and_is_not_lost() {
    for seed in 0..SEEDS {
        assert_eq!(violations(seed, Fault::None), Vec::<String>::new(), "seed {seed}");
    }
}

#[rstest]
#[case::unfenced_holder(Fault::UnfencedHolder)]
#[case::lease_from_arrival(Fault::LeaseFromArrival)]
#[case::takes_over_running(Fault::TakesOverRunning)]
#[case::releases_failed(Fault::ReleasesFailed)]
fn the_oracle_detects(#[case] fault: Fault) {
    let detected = (0..SEEDS).find(|seed| !violations(*seed, fault).is_empty());
    assert!(detected.is_some(), "{fault:?} was not detected");
}
