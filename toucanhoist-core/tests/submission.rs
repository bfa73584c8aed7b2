//! Submissions against an oracle that counts runs.
//!
//! Hosts crash, pause and are replaced, the store is slow, loses answers and applies writes late,
//! hops are slow, targets crash before and after the effect, callers resend at random hosts, and an
//! operator settles open submissions by what the targets have run.

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
const CALM_ROUNDS: usize = 16;

/// What is left out on purpose, to show that the oracle notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The holder does not look at its fence again before it sends.
    UnfencedHolder,
    /// A hop counts the lease from the arrival of the message.
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
    /// Outcomes whose write is to be tried again.
    later: Vec<(Running, Write)>,
}

struct Running {
    key: usize,
    attempt: Attempt,
    /// Whether the caller has its answer or refusal already.
    answered: bool,
    answer: Option<StoredAnswer>,
    refusal: Option<Refusal>,
}

/// A request on its way to a target, at its holder or at a hop.
struct Sending {
    host: usize,
    incarnation: u64,
    running: Running,
    hop: usize,
    hop_incarnation: u64,
    /// Time of the hop's clock up to which it may send, once the holder has told it.
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
    /// A transaction whose caller no longer waits for it.
    Late(Vec<Write>),
}

struct World {
    rng: Xoshiro256PlusPlus,
    fault: Fault,
    now: Time,
    hosts: Vec<Host>,
    rows: HashMap<Box<str>, Row>,
    version: u64,
    calls: Vec<Call>,
    sending: Vec<Sending>,
    next: u64,
    down: bool,
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

fn kept(key: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: Vec::new(),
        target: "cuts-1".into(),
        content: Content::Inline(format!("record of cut {key}").into()),
    }
}

impl World {
    fn new(seed: u64, fault: Fault) -> World {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|_| World::host(&mut rng)).collect();
        World {
            rng,
            fault,
            now: Time::ZERO,
            hosts,
            rows: HashMap::new(),
            version: 0,
            calls: Vec::new(),
            sending: Vec::new(),
            next: 1,
            down: false,
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
            later: Vec::new(),
        }
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn now_at(&self, host: usize) -> Time {
        self.now + self.hosts[host].clock
    }

    fn violation(&mut self, what: String) {
        self.violations.push(what);
    }

    fn step(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        match self.rng.random_range(0..100) {
            0..14 => self.submit(host),
            14..42 => self.call_store(),
            42..62 => self.send(),
            62..72 => self.now = self.now + Duration::from_millis(self.rng.random_range(0..50)),
            72..74 => self.now = self.now + Duration::from_secs(self.rng.random_range(0..8)),
            74..77 => self.hosts[host].paused = true,
            77..80 => self.hosts[host].paused = false,
            80..81 => self.hosts[host] = World::host(&mut self.rng),
            81..87 => self.sweep(host),
            87..92 => self.operate(),
            92..93 => self.down = !self.down,
            _ => self.write_later(host),
        }
        for host in 0..HOSTS {
            self.poll(host);
        }
    }

    /// A caller sends or resends.
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
                self.sending.push(Sending {
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
                if answer != kept(running.key) || self.runs[running.key] != 1 {
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
            Action::WriteLater(write, _) => self.hosts[host].later.push((running, write)),
            Action::Done => self.finish(&running),
        }
    }

    /// The caller gets its answer or refusal once the outcome is written.
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
                self.violation(format!("key {key}: told to have run, but it did not"));
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

    fn write_later(&mut self, host: usize) {
        if self.hosts[host].paused {
            return;
        }
        if let Some((running, write)) = self.hosts[host].later.pop() {
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

    /// One call reaches the store, or its answer the host, or neither.
    fn call_store(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.calls.len());
        match self.calls.swap_remove(at) {
            Call::Late(writes) => {
                self.apply(writes);
            }
            Call::Transact { host, incarnation, batch, writes } => {
                let outcome = match self.rng.random_range(0..10) {
                    _ if self.down => Outcome::Unavailable,
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
                let fails = self.down || self.rng.random_range(0..10) == 0;
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

    /// One request on its way gets on: a hop asks its holder, is told the lease, or sends.
    fn send(&mut self) {
        if self.sending.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.sending.len());
        let (hop, host) = (self.sending[at].hop, self.sending[at].host);
        if self.hosts[hop].paused {
            return;
        }
        let gone = self.hosts[host].incarnation != self.sending[at].incarnation;
        if self.hosts[hop].incarnation != self.sending[at].hop_incarnation {
            // The hop was replaced: the holder cannot know how far it got.
            let sending = self.sending.swap_remove(at);
            let refusal = Refusal::may_have_run(Code::TargetFailed, "the hop has gone");
            return self.failed(sending, refusal, gone);
        }
        let Some(fence) = self.sending[at].fence else {
            return self.agree_on_fence(at, hop, host, gone);
        };
        let sending = self.sending.swap_remove(at);
        if !fence.allows(self.now_at(hop)) && self.fault != Fault::UnfencedHolder {
            let refusal = Refusal::not_run(Code::DeadlineExceeded, "the fence was reached");
            return self.failed(sending, refusal, gone);
        }
        self.reach_target(sending, gone);
    }

    fn agree_on_fence(&mut self, at: usize, hop: usize, host: usize, gone: bool) {
        let hop_now = self.now_at(hop);
        match self.sending[at].asked {
            None => self.sending[at].asked = Some(hop_now),
            Some(_) if gone => {
                self.sending.swap_remove(at);
            }
            Some(_) if self.hosts[host].paused => {}
            Some(asked) => {
                let left = self.sending[at].holder_fence.left(self.now_at(host));
                // A message's delay is more than its receiver can see.
                let unseen = Duration::from_secs(self.rng.random_range(0..20));
                let fence = match self.fault {
                    Fault::LeaseFromArrival => Fence::new(hop_now + unseen + left),
                    _ => Fence::new(asked + left),
                };
                self.sending[at].fence = Some(fence);
            }
        }
    }

    fn reach_target(&mut self, sending: Sending, gone: bool) {
        let (key, request) = (sending.running.key, sending.running.attempt.record().request);
        match self.rng.random_range(0..10) {
            0 => {
                let refusal = Refusal::not_run(Code::TargetUnreachable, "connection refused");
                self.failed(sending, refusal, gone);
            }
            1 => self.fail_at_target(sending, "it crashed before the effect", gone),
            2 => {
                self.run(key, request);
                self.fail_at_target(sending, "it crashed after the effect", gone);
            }
            _ => {
                self.run(key, request);
                if gone {
                    return;
                }
                let host = sending.host;
                let mut running = sending.running;
                running.answer = Some(kept(key));
                self.outcome(host, running, Event::Ran(kept(key)));
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

    fn fail_at_target(&mut self, sending: Sending, detail: &str, gone: bool) {
        let refusal = match self.fault {
            Fault::ReleasesFailed => Refusal::not_run(Code::TargetFailed, detail),
            _ => Refusal::may_have_run(Code::TargetFailed, detail),
        };
        self.failed(sending, refusal, gone);
    }

    fn failed(&mut self, sending: Sending, refusal: Refusal, gone: bool) {
        if gone {
            return;
        }
        let mut running = sending.running;
        running.refusal = Some(refusal.clone());
        self.outcome(sending.host, running, Event::Failed(refusal));
    }

    /// A host looks at the running records and opens those whose holder has gone.
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

    /// An operator settles an open submission by what the targets have run.
    fn operate(&mut self) {
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

    /// All is well again: every submission comes to its end.
    fn calm_down(&mut self) {
        self.down = false;
        for host in 0..HOSTS {
            self.hosts[host].paused = false;
        }
        for _ in 0..CALM_ROUNDS {
            for key in 0..KEYS {
                if !self.answered.contains(&key) {
                    self.submit_key(key % HOSTS, key);
                }
                for _ in 0..20 {
                    self.now = self.now + Duration::from_millis(20);
                    self.call_store();
                    self.send();
                    self.write_later(key % HOSTS);
                    (0..HOSTS).for_each(|host| self.poll(host));
                }
            }
            (0..HOSTS).for_each(|host| self.sweep(host));
            self.operate();
        }
        for key in 0..KEYS {
            if self.runs[key] == 0 {
                self.violation(format!("key {key} never ran, though its caller went on"));
            }
            if !self.answered.contains(&key) && !self.settled.contains(&key) {
                self.violation(format!("key {key} has neither an answer nor a settled record"));
            }
        }
    }
}

/// Takes a running record for a released one.
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
    let mut world = World::new(seed, fault);
    for _ in 0..STEPS {
        world.step();
    }
    if fault == Fault::None {
        world.calm_down();
    }
    world.violations
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
fn the_oracle_notices(#[case] fault: Fault) {
    let noticed = (0..SEEDS).find(|seed| !violations(*seed, fault).is_empty());
    assert!(noticed.is_some(), "{fault:?} went unnoticed");
}
