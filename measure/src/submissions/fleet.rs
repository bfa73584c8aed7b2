//! The core's submissions on several hosts that share one store, in virtual time.

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
/// Time after the last arrival in which everything must be settled; a store that more hosts ask
/// than it can serve in time never gets there.
const SETTLES_WITHIN: Duration = Duration::from_secs(120);

/// What is run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Config {
    pub seed: u64,
    pub hosts: usize,
    pub batcher: BatcherConfig,
    pub writes_per_s: u32,
    pub submissions_per_s: f64,
    pub lasts: Duration,
    pub outage: Option<Outage>,
    /// Whether callers send a refused submission again.
    pub resends: bool,
}

/// A time in which the store fails.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    pub from: Duration,
    pub until: Duration,
    /// Part of it in which calls are refused; in the rest they time out, half of them applied.
    pub refuses: f64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcomes {
    pub submissions: usize,
    pub answered: usize,
    /// First sends by what their caller was told.
    pub answered_at_once: usize,
    pub refused_at_once: usize,
    pub open: usize,
    pub doubled: usize,
    pub lost: usize,
    /// Not answered and not open at the end; their callers go on sending.
    pub unsettled: usize,
    pub transactions: u64,
    /// Time that submissions took beyond the target's, sorted.
    pub added: Vec<Duration>,
    /// Time that callers waited for a refusal, sorted.
    pub refused_after: Vec<Duration>,
}

impl Outcomes {
    pub(super) fn added_ms(&self, share: f64) -> f64 {
        quantile_ms(&self.added, share)
    }

    pub(super) fn refused_after_ms(&self, share: f64) -> f64 {
        quantile_ms(&self.refused_after, share)
    }
}

fn quantile_ms(sorted: &[Duration], share: f64) -> f64 {
    let at = (sorted.len().saturating_sub(1) as f64 * share) as usize;
    sorted.get(at).map_or(0.0, |duration| duration.as_secs_f64() * 1e3)
}

enum Happening {
    Arrive(usize),
    Reaches(Call),
    Transacted(usize, Batch, Outcome<u64>),
    WasRead(usize, Batch, Outcome<Vec<Option<Row>>>),
    Ran(usize, Box<Running>),
    Close(usize, Box<Running>, Write),
    Poll(usize),
}

enum Call {
    Transact(usize, Batch, Vec<Write>),
    Read(usize, Batch, Vec<Box<str>>),
}

struct Running {
    submission: usize,
    attempt: Attempt,
    sent: Time,
    ran: bool,
    told: bool,
}

struct Host {
    batcher: Batcher,
    watch: Watch,
    attempts: HashMap<Ticket, Box<Running>>,
    wakes_at: Option<Time>,
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
    store_free: Time,
    reads_free: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: HashMap<u64, Happening>,
    next: u64,
    callers: Vec<Caller>,
    outcomes: Outcomes,
}

impl Fleet {
    pub(super) fn run(config: Config) -> Outcomes {
        let host = || Host {
            batcher: Batcher::new(config.batcher),
            watch: Watch::new(),
            attempts: HashMap::new(),
            wakes_at: None,
        };
        let mut fleet = Fleet {
            config,
            rng: Xoshiro256PlusPlus::seed_from_u64(config.seed),
            now: Time::ZERO,
            hosts: (0..config.hosts).map(|_| host()).collect(),
            rows: HashMap::new(),
            version: 0,
            store_free: Time::ZERO,
            reads_free: Time::ZERO,
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            next: 0,
            callers: Vec::new(),
            outcomes: Outcomes::default(),
        };
        fleet.plan_arrivals();
        while let Some(Reverse((at, number))) = fleet.queue.pop() {
            if at > Time::ZERO + config.lasts + SETTLES_WITHIN {
                break;
            }
            fleet.now = at;
            let happening = fleet.happenings.remove(&number).expect("it was planned");
            fleet.happen(happening);
        }
        fleet.finish()
    }

    fn plan_arrivals(&mut self) {
        let mut at = 0.0;
        while at < self.config.lasts.as_secs_f64() {
            let gap: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            at += -gap.ln() / self.config.submissions_per_s;
            let submission = self.callers.len();
            self.callers.push(Caller::default());
            self.plan(Duration::from_secs_f64(at), Happening::Arrive(submission));
        }
    }

    fn plan(&mut self, after: Duration, happening: Happening) {
        self.queue.push(Reverse((self.now + after, self.next)));
        self.happenings.insert(self.next, happening);
        self.next += 1;
    }

    fn happen(&mut self, happening: Happening) {
        let host = match happening {
            Happening::Arrive(submission) => self.arrive(submission),
            Happening::Reaches(call) => return self.reach_store(call),
            Happening::Transacted(host, batch, outcome) => {
                self.hosts[host].batcher.transaction_finished(self.now, batch, &outcome);
                host
            }
            Happening::WasRead(host, batch, outcome) => {
                self.hosts[host].batcher.read_finished(self.now, batch, outcome);
                host
            }
            Happening::Ran(host, mut running) => {
                self.callers[running.submission].runs += 1;
                running.ran = true;
                self.step(host, running, Event::Ran(kept()));
                host
            }
            Happening::Close(host, running, write) => {
                self.write(host, running, write);
                host
            }
            Happening::Poll(host) if self.hosts[host].wakes_at == Some(self.now) => {
                self.hosts[host].wakes_at = None;
                host
            }
            // An earlier time was planned after this one.
            Happening::Poll(_) => return,
        };
        self.poll(host);
    }

    fn arrive(&mut self, submission: usize) -> usize {
        let host = self.rng.random_range(0..self.config.hosts);
        self.callers[submission].sends += 1;
        let named = Submission {
            account: "technicians".parse().expect("a name"),
            service: "cuts".parse().expect("a name"),
            key: submission.to_string().into(),
            digest: Digest::of(b"a request"),
            request: u128::from(self.next).into(),
        };
        let holder =
            Holder { name: format!("entry-{host}").parse().expect("a name"), incarnation: 1 };
        let (attempt, action) = Attempt::begin(&named, &holder, self.now, DEADLINE, 0);
        let running = Running { submission, attempt, sent: self.now, ran: false, told: false };
        self.act(host, Box::new(running), action);
        host
    }

    fn act(&mut self, host: usize, mut running: Box<Running>, action: Action) {
        match action {
            Action::Write(write) => self.write(host, running, write),
            Action::Send(_) => self.plan(TARGET_TIME, Happening::Ran(host, running)),
            Action::Replay(_) => self.answered(&mut running),
            Action::Refuse(refusal) => self.refuse(&mut running, &refusal),
            Action::RefuseThenWrite(refusal, write) => {
                self.refuse(&mut running, &refusal);
                self.write(host, running, write);
            }
            Action::WriteLater(write, pause) => {
                // The answer is not held back when it cannot be written.
                if running.ran {
                    self.answered(&mut running);
                }
                self.plan(pause, Happening::Close(host, running, write));
            }
            Action::Done => {
                if running.ran {
                    self.answered(&mut running);
                }
            }
        }
    }

    fn answered(&mut self, running: &mut Running) {
        if running.told {
            return;
        }
        running.told = true;
        let caller = &mut self.callers[running.submission];
        caller.answered = true;
        self.outcomes.answered_at_once += usize::from(caller.sends == 1);
        let took = self.now.since(running.sent);
        if running.ran {
            self.outcomes.added.push(took.saturating_sub(TARGET_TIME));
        }
    }

    fn refuse(&mut self, running: &mut Running, refusal: &Refusal) {
        running.told = true;
        let caller = &mut self.callers[running.submission];
        let not_run = refusal.verdict == Verdict::NotRun;
        if caller.sends == 1 && not_run {
            self.outcomes.refused_at_once += 1;
            self.outcomes.refused_after.push(self.now.since(running.sent));
        }
        caller.open |= refusal.code == Code::OutcomeOpen;
        if self.config.resends && refusal.code != Code::OutcomeOpen {
            let after = refusal.retry_after.unwrap_or(RESEND_PAUSE);
            self.plan(after, Happening::Arrive(running.submission));
        }
    }

    fn write(&mut self, host: usize, running: Box<Running>, write: Write) {
        self.next += 1;
        let ticket = Ticket(self.next);
        let deadline = self.now + DEADLINE;
        match self.hosts[host].batcher.push(self.now, ticket, write, deadline) {
            Ok(()) => {
                self.hosts[host].attempts.insert(ticket, running);
            }
            Err(Rejection { reason, retry_after }) => {
                let written = Written::Unavailable { reason: reason.into(), retry_after };
                self.step(host, running, Event::Written(written));
            }
        }
    }

    fn step(&mut self, host: usize, mut running: Box<Running>, event: Event) {
        let action = running.attempt.step(self.now, 0, &mut self.hosts[host].watch, event);
        self.act(host, running, action);
    }

    fn poll(&mut self, host: usize) {
        while let Some(command) = self.hosts[host].batcher.poll(self.now) {
            match command {
                Command::Settle(ticket, written) => {
                    if let Some(running) = self.hosts[host].attempts.remove(&ticket) {
                        self.step(host, running, Event::Written(written));
                    }
                }
                Command::Transact(batch, writes) => {
                    let call = Call::Transact(host, batch, writes);
                    self.plan(STORE_ONE_WAY, Happening::Reaches(call));
                }
                Command::Read(batch, rows) => {
                    let call = Call::Read(host, batch, rows);
                    self.plan(STORE_ONE_WAY, Happening::Reaches(call));
                }
            }
        }
        let soonest = self.now + Duration::from_micros(100);
        let due = self.hosts[host].batcher.due_at().map(|due| due.max(soonest));
        if let Some(due) = due.filter(|due| self.hosts[host].wakes_at.is_none_or(|at| *due < at)) {
            self.hosts[host].wakes_at = Some(due);
            self.plan(due.since(self.now), Happening::Poll(host));
        }
    }

    fn reach_store(&mut self, call: Call) {
        let (out, refuses) = self.outage();
        match call {
            Call::Transact(host, batch, writes) => {
                self.outcomes.transactions += u64::from(!out);
                if out && refuses {
                    let refused = Happening::Transacted(host, batch, Outcome::Unavailable);
                    return self.plan(STORE_ONE_WAY, refused);
                }
                if out {
                    if self.rng.random() {
                        self.apply(writes);
                    }
                    let lost = Happening::Transacted(host, batch, Outcome::Unknown);
                    return self.plan(STORE_TIMEOUT, lost);
                }
                let wait = wait(&mut self.store_free, self.now, self.config.writes_per_s);
                // Applied in the order of arrival; the answer comes when its turn is over.
                let outcome = self.apply(writes);
                let answer = Happening::Transacted(host, batch, outcome);
                self.plan(wait + STORE_ONE_WAY, answer);
            }
            Call::Read(host, batch, rows) => {
                if out {
                    let after = if refuses { STORE_ONE_WAY } else { STORE_TIMEOUT };
                    let failed = Happening::WasRead(host, batch, Outcome::Unavailable);
                    return self.plan(after, failed);
                }
                let wait = wait(&mut self.reads_free, self.now, READS_PER_S);
                let read = rows.iter().map(|row| self.rows.get(row).cloned()).collect();
                let answer = Happening::WasRead(host, batch, Outcome::Done(read));
                self.plan(wait + STORE_ONE_WAY, answer);
            }
        }
    }

    fn outage(&self) -> (bool, bool) {
        let Some(outage) = self.config.outage else { return (false, false) };
        let now = self.now.since(Time::ZERO);
        let turn = outage.from + (outage.until - outage.from).mul_f64(outage.refuses);
        ((outage.from..outage.until).contains(&now), now < turn)
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

/// Returns when a call that arrives now is done, at `per_s` calls a second.
fn wait(free: &mut Time, now: Time, per_s: u32) -> Duration {
    let start = (*free).max(now);
    *free = start + Duration::from_secs(1) / per_s;
    free.since(now)
}

fn kept() -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: Vec::new(),
        target: "cuts-1".into(),
        content: Content::Inline(b"recorded".to_vec()),
    }
}
