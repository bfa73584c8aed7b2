//! Simulation of submissions on several hosts that share one store, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    toucanhoist_core::{
        clock::Time,
        key::Digest,
        refusal::{Code, Refusal, Verdict},
        submission::{
            Action, Attempt, Batch, Batcher, BatcherConfig, Command, Content, Event, Expect,
            Holder, Outcome, Rejection, Row, StoredAnswer, Submission, Ticket, Watch, Write,
            Written,
        },
    },
};

pub(super) const TARGET_TIME: Duration = Duration::from_millis(10);
const STORE_ONE_WAY: Duration = Duration::from_millis(3);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(5);
const RESEND_PAUSE: Duration = Duration::from_secs(1);
const READS_PER_S: u32 = 2_000;
/// Time after the last arrival within which all submissions must be settled. The run ends then even
/// if some are not: those of an overloaded store never are.
const SETTLE_TIME_MAX: Duration = Duration::from_secs(120);

/// Configuration of a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Config {
    pub seed: u64,
    pub hosts: usize,
    pub batcher: BatcherConfig,
    pub writes_per_s: u32,
    pub submissions_per_s: f64,
    pub duration: Duration,
    pub outage: Option<Outage>,
    /// Whether callers resend a refused submission.
    pub resends: bool,
}

/// An outage of the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    pub from: Duration,
    pub until: Duration,
    /// Share of the outage, at its start, in which calls are refused. After that they time out, and
    /// half of the transactions take effect.
    pub refusing_share: f64,
}

/// Outcomes of the submissions.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcomes {
    pub submissions: usize,
    pub answered: usize,
    /// Submissions whose first send was answered.
    pub answered_first_send: usize,
    /// Submissions whose first send was refused as not run.
    pub refused_first_send: usize,
    /// Submissions whose caller was told that the outcome is open.
    pub open: usize,
    /// Submissions that ran more than once.
    pub doubled: usize,
    /// Submissions that were answered but did not run.
    pub lost: usize,
    /// Submissions that are neither answered nor open at the end; their callers still resend them.
    pub unsettled: usize,
    pub transactions: u64,
    /// Time that answered submissions took beyond the target's time, sorted.
    pub added: Vec<Duration>,
    /// Time until first sends were refused, sorted.
    pub refused_after: Vec<Duration>,
}

impl Outcomes {
    pub(super) fn added_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.added, quantile)
    }

    pub(super) fn refused_after_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.refused_after, quantile)
    }
}

fn quantile_ms(sorted: &[Duration], quantile: f64) -> f64 {
    let index = (sorted.len().saturating_sub(1) as f64 * quantile) as usize;
    sorted.get(index).map_or(0.0, |duration| duration.as_secs_f64() * 1e3)
}

enum SimulationEvent {
    Arrive(usize),
    CallArrived(Call),
    TransactionFinished(usize, Batch, Outcome<u64>),
    ReadFinished(usize, Batch, Outcome<Vec<Option<Row>>>),
    TargetAnswered(usize, Box<PendingAttempt>),
    RetryWrite(usize, Box<PendingAttempt>, Write),
    Poll(usize),
}

enum Call {
    Transact(usize, Batch, Vec<Write>),
    Read(usize, Batch, Vec<Box<str>>),
}

struct PendingAttempt {
    submission: usize,
    attempt: Attempt,
    sent: Time,
    ran: bool,
    /// Whether the caller has its answer or refusal.
    replied: bool,
}

struct Host {
    batcher: Batcher,
    watch: Watch,
    attempts: HashMap<Ticket, Box<PendingAttempt>>,
    next_poll_at: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Caller {
    sends: u32,
    runs: u32,
    answered: bool,
    open: bool,
}

/// Hosts, a store and callers.
pub(super) struct Fleet {
    config: Config,
    rng: Xoshiro256PlusPlus,
    now: Time,
    hosts: Vec<Host>,
    rows: HashMap<Box<str>, Row>,
    version: u64,
    /// Time at which the store has processed all transactions that have arrived.
    writes_done_at: Time,
    /// Time at which the store has processed all reads that have arrived.
    reads_done_at: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    next: u64,
    callers: Vec<Caller>,
    outcomes: Outcomes,
}

impl Fleet {
    pub(super) fn run(config: Config) -> Outcomes {
        let new_host = || Host {
            batcher: Batcher::new(config.batcher),
            watch: Watch::new(),
            attempts: HashMap::new(),
            next_poll_at: None,
        };
        let mut fleet = Fleet {
            config,
            rng: Xoshiro256PlusPlus::seed_from_u64(config.seed),
            now: Time::ZERO,
            hosts: (0..config.hosts).map(|_| new_host()).collect(),
            rows: HashMap::new(),
            version: 0,
            writes_done_at: Time::ZERO,
            reads_done_at: Time::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            callers: Vec::new(),
            outcomes: Outcomes::default(),
        };
        fleet.schedule_arrivals();
        while let Some(Reverse((at, number))) = fleet.queue.pop() {
            if at > Time::ZERO + config.duration + SETTLE_TIME_MAX {
                break;
            }
            fleet.now = at;
            let event = fleet.events.remove(&number).expect("a scheduled event");
            fleet.handle(event);
        }
        fleet.finish()
    }

    fn schedule_arrivals(&mut self) {
        let mut at = 0.0;
        while at < self.config.duration.as_secs_f64() {
            let gap: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            at += -gap.ln() / self.config.submissions_per_s;
            let submission = self.callers.len();
            self.callers.push(Caller::default());
            self.schedule(Duration::from_secs_f64(at), SimulationEvent::Arrive(submission));
        }
    }

    fn schedule(&mut self, after: Duration, event: SimulationEvent) {
        self.queue.push(Reverse((self.now + after, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    fn handle(&mut self, event: SimulationEvent) {
        let host = match event {
            SimulationEvent::Arrive(submission) => self.arrive(submission),
            SimulationEvent::CallArrived(call) => return self.call_store(call),
            SimulationEvent::TransactionFinished(host, batch, outcome) => {
                self.hosts[host].batcher.transaction_finished(self.now, batch, &outcome);
                host
            }
            SimulationEvent::ReadFinished(host, batch, outcome) => {
                self.hosts[host].batcher.read_finished(self.now, batch, outcome);
                host
            }
            SimulationEvent::TargetAnswered(host, mut pending) => {
                self.callers[pending.submission].runs += 1;
                pending.ran = true;
                self.step(host, pending, Event::Ran(stored_answer()));
                host
            }
            SimulationEvent::RetryWrite(host, pending, write) => {
                self.write(host, pending, write);
                host
            }
            SimulationEvent::Poll(host) if self.hosts[host].next_poll_at == Some(self.now) => {
                self.hosts[host].next_poll_at = None;
                host
            }
            // A poll at an earlier time has replaced this one.
            SimulationEvent::Poll(_) => return,
        };
        self.poll(host);
    }

    fn arrive(&mut self, submission: usize) -> usize {
        let host = self.rng.random_range(0..self.config.hosts);
        self.callers[submission].sends += 1;
        let submission_record = Submission {
            account: "technicians".parse().expect("valid name"),
            service: "cuts".parse().expect("valid name"),
            key: submission.to_string().into(),
            digest: Digest::of(b"a request"),
            request: u128::from(self.next).into(),
        };
        let holder =
            Holder { name: format!("entry-{host}").parse().expect("valid name"), incarnation: 1 };
        let (attempt, action) = Attempt::begin(&submission_record, &holder, self.now, DEADLINE, 0);
        let pending =
            PendingAttempt { submission, attempt, sent: self.now, ran: false, replied: false };
        self.apply_action(host, Box::new(pending), action);
        host
    }

    fn apply_action(&mut self, host: usize, mut pending: Box<PendingAttempt>, action: Action) {
        match action {
            Action::Write(write) => self.write(host, pending, write),
            Action::Send(_) => {
                self.schedule(TARGET_TIME, SimulationEvent::TargetAnswered(host, pending))
            }
            Action::Replay(_) => self.reply(&mut pending),
            Action::Refuse(refusal) => self.refuse(&mut pending, &refusal),
            Action::RefuseThenWrite(refusal, write) => {
                self.refuse(&mut pending, &refusal);
                self.write(host, pending, write);
            }
            Action::WriteLater(write, pause) => {
                // The caller gets the answer even if it cannot be stored now.
                if pending.ran {
                    self.reply(&mut pending);
                }
                self.schedule(pause, SimulationEvent::RetryWrite(host, pending, write));
            }
            Action::Done => {
                if pending.ran {
                    self.reply(&mut pending);
                }
            }
        }
    }

    fn reply(&mut self, pending: &mut PendingAttempt) {
        if pending.replied {
            return;
        }
        pending.replied = true;
        let caller = &mut self.callers[pending.submission];
        caller.answered = true;
        self.outcomes.answered_first_send += usize::from(caller.sends == 1);
        let elapsed = self.now.since(pending.sent);
        if pending.ran {
            self.outcomes.added.push(elapsed.saturating_sub(TARGET_TIME));
        }
    }

    fn refuse(&mut self, pending: &mut PendingAttempt, refusal: &Refusal) {
        pending.replied = true;
        let caller = &mut self.callers[pending.submission];
        let not_run = refusal.verdict == Verdict::NotRun;
        if caller.sends == 1 && not_run {
            self.outcomes.refused_first_send += 1;
            self.outcomes.refused_after.push(self.now.since(pending.sent));
        }
        caller.open |= refusal.code == Code::OutcomeOpen;
        if self.config.resends && refusal.code != Code::OutcomeOpen {
            let after = refusal.retry_after.unwrap_or(RESEND_PAUSE);
            self.schedule(after, SimulationEvent::Arrive(pending.submission));
        }
    }

    fn write(&mut self, host: usize, pending: Box<PendingAttempt>, write: Write) {
        self.next += 1;
        let ticket = Ticket(self.next);
        let deadline = self.now + DEADLINE;
        match self.hosts[host].batcher.push(self.now, ticket, write, deadline) {
            Ok(()) => {
                self.hosts[host].attempts.insert(ticket, pending);
            }
            Err(Rejection { reason, retry_after }) => {
                let written = Written::Unavailable { reason: reason.into(), retry_after };
                self.step(host, pending, Event::Written(written));
            }
        }
    }

    fn step(&mut self, host: usize, mut pending: Box<PendingAttempt>, event: Event) {
        let action = pending.attempt.step(self.now, 0, &mut self.hosts[host].watch, event);
        self.apply_action(host, pending, action);
    }

    fn poll(&mut self, host: usize) {
        while let Some(command) = self.hosts[host].batcher.poll(self.now) {
            match command {
                Command::Settle(ticket, written) => {
                    if let Some(pending) = self.hosts[host].attempts.remove(&ticket) {
                        self.step(host, pending, Event::Written(written));
                    }
                }
                Command::Transact(batch, writes) => {
                    let call = Call::Transact(host, batch, writes);
                    self.schedule(STORE_ONE_WAY, SimulationEvent::CallArrived(call));
                }
                Command::Read(batch, rows) => {
                    let call = Call::Read(host, batch, rows);
                    self.schedule(STORE_ONE_WAY, SimulationEvent::CallArrived(call));
                }
            }
        }
        let soonest = self.now + Duration::from_micros(100);
        let due = self.hosts[host].batcher.due_at().map(|due| due.max(soonest));
        if let Some(due) =
            due.filter(|due| self.hosts[host].next_poll_at.is_none_or(|at| *due < at))
        {
            self.hosts[host].next_poll_at = Some(due);
            self.schedule(due.since(self.now), SimulationEvent::Poll(host));
        }
    }

    fn call_store(&mut self, call: Call) {
        let (is_down, is_refusing) = self.outage();
        match call {
            Call::Transact(host, batch, writes) => {
                self.outcomes.transactions += u64::from(!is_down);
                if is_down && is_refusing {
                    let refused =
                        SimulationEvent::TransactionFinished(host, batch, Outcome::Unavailable);
                    return self.schedule(STORE_ONE_WAY, refused);
                }
                if is_down {
                    if self.rng.random() {
                        self.apply(writes);
                    }
                    let lost = SimulationEvent::TransactionFinished(host, batch, Outcome::Unknown);
                    return self.schedule(STORE_TIMEOUT, lost);
                }
                let wait = queue(&mut self.writes_done_at, self.now, self.config.writes_per_s);
                // Transactions take effect in the order of arrival; the answer waits for those
                // before it.
                let outcome = self.apply(writes);
                let answer = SimulationEvent::TransactionFinished(host, batch, outcome);
                self.schedule(wait + STORE_ONE_WAY, answer);
            }
            Call::Read(host, batch, rows) => {
                if is_down {
                    let after = if is_refusing { STORE_ONE_WAY } else { STORE_TIMEOUT };
                    let failed = SimulationEvent::ReadFinished(host, batch, Outcome::Unavailable);
                    return self.schedule(after, failed);
                }
                let wait = queue(&mut self.reads_done_at, self.now, READS_PER_S);
                let read = rows.iter().map(|row| self.rows.get(row).cloned()).collect();
                let answer = SimulationEvent::ReadFinished(host, batch, Outcome::Done(read));
                self.schedule(wait + STORE_ONE_WAY, answer);
            }
        }
    }

    fn outage(&self) -> (bool, bool) {
        let Some(outage) = self.config.outage else { return (false, false) };
        let now = self.now.since(Time::ZERO);
        let timeouts_from =
            outage.from + (outage.until - outage.from).mul_f64(outage.refusing_share);
        ((outage.from..outage.until).contains(&now), now < timeouts_from)
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

    fn finish(mut self) -> Outcomes {
        let outcomes = &mut self.outcomes;
        outcomes.submissions = self.callers.len();
        for caller in &self.callers {
            outcomes.answered += usize::from(caller.answered);
            outcomes.open += usize::from(caller.open);
            outcomes.doubled += usize::from(caller.runs > 1);
            outcomes.lost += usize::from(caller.answered && caller.runs == 0);
            if self.config.resends {
                outcomes.unsettled += usize::from(!caller.answered && !caller.open);
            }
        }
        outcomes.added.sort_unstable();
        outcomes.refused_after.sort_unstable();
        self.outcomes
    }
}

/// Returns the time until a call that arrives now is processed, at `per_s` calls a second.
fn queue(done_at: &mut Time, now: Time, per_s: u32) -> Duration {
    let start = (*done_at).max(now);
    *done_at = start + Duration::from_secs(1) / per_s;
    done_at.since(now)
}

fn stored_answer() -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: Vec::new(),
        target: "cuts-1".into(),
        content: Content::Inline(b"recorded".to_vec()),
    }
}
