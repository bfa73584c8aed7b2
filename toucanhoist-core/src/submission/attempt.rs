//! One attempt at a submission, at the host that received it.

use std::time::Duration;

use crate::{
    clock::Time,
    id,
    refusal::{Code, Refusal, Verdict},
    submission::{
        Expect, Record, Row, State, Step, StoredAnswer, Submission, Watch, Write, Written,
    },
};

const RETRY_AFTER_STORE: Duration = Duration::from_secs(1);
const RETRY_AFTER_RUNNING_MAX: Duration = Duration::from_secs(5);
const TURNS_MAX: u32 = 8;
const PAUSE_MIN: Duration = Duration::from_millis(200);
const PAUSE_MAX: Duration = Duration::from_secs(10);

/// A process that holds submissions.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Its name.
    pub name: id::EntryHost,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Time up to which a holder may send, by its own monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fence(Time);

impl Fence {
    /// Creates a fence.
    pub fn new(until: Time) -> Fence {
        Fence(until)
    }

    /// Whether the first byte may still go out. To be asked right before it does.
    pub fn allows(self, now: Time) -> bool {
        now < self.0
    }

    /// Returns the time left, which a holder tells a host that asks for it.
    pub fn left(self, now: Time) -> Duration {
        self.0.since(now)
    }
}

/// What happened to an attempt.
#[derive(Clone, Debug)]
pub enum Event {
    /// Its write has this outcome.
    Written(Written),
    /// A target ran it and answered.
    Ran(StoredAnswer),
    /// It did not run, or may have run.
    Failed(Refusal),
}

/// What an attempt asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write its row.
    Write(Write),
    /// Send it to a target, until the fence.
    Send(Fence),
    /// Give the caller a kept answer.
    Replay(StoredAnswer),
    /// Refuse the caller; nothing more is to be written.
    Refuse(Refusal),
    /// Refuse the caller, then write the row in the background.
    RefuseThenWrite(Refusal, Write),
    /// Write the row again, after a pause.
    WriteLater(Write, Duration),
    /// Nothing is left to do.
    Done,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The record is being written.
    Recording,
    /// The record of a holder that has gone is being opened.
    Opening,
    /// It is held and may be sent.
    Holding,
    /// Its outcome is being written.
    Closing,
    /// Nothing is left to do.
    Ended,
}

/// One attempt at a submission.
#[derive(Debug)]
pub struct Attempt {
    row: Box<str>,
    record: Record,
    /// What the next write of the row expects.
    expect: Expect,
    fence: Fence,
    phase: Phase,
    turns: u32,
    /// Time until an outcome is written again.
    pause: Duration,
    /// Whether a write of the record may have taken effect unseen.
    traces: bool,
}

impl Attempt {
    /// Begins an attempt, which may send until `now + lease`.
    pub fn begin(
        submission: &Submission,
        holder: &Holder,
        now: Time,
        lease: Duration,
        unix_s: u64,
    ) -> (Attempt, Action) {
        let record = Record {
            digest: submission.digest,
            request: submission.request,
            attempt: 1,
            holder: holder.name.clone(),
            incarnation: holder.incarnation,
            // Rounded up: others must watch at least as long as the fence lasts.
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX).saturating_add(1),
            changed_s: unix_s,
            state: State::Running,
        };
        let attempt = Attempt {
            row: submission.row(),
            record,
            expect: Expect::Absent,
            fence: Fence::new(now + lease),
            phase: Phase::Recording,
            turns: 0,
            pause: PAUSE_MIN,
            traces: false,
        };
        let action = Action::Write(attempt.write());
        (attempt, action)
    }

    /// Returns the record as this attempt would have it.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Whether the attempt is held and may be sent.
    pub fn is_held(&self) -> bool {
        self.phase == Phase::Holding
    }

    /// Goes on after an event.
    pub fn step(&mut self, now: Time, unix_s: u64, watch: &mut Watch, event: Event) -> Action {
        match (self.phase, event) {
            (Phase::Recording, Event::Written(written)) => {
                self.recorded(now, unix_s, watch, written)
            }
            (Phase::Opening, Event::Written(written)) => self.opened(written),
            (Phase::Holding, Event::Ran(kept)) => self.close(unix_s, State::Answered(kept)),
            (Phase::Holding, Event::Failed(refusal)) => {
                let state = match refusal.verdict {
                    Verdict::NotRun => State::Released,
                    Verdict::MayHaveRun | Verdict::Ran => State::Open { reason: refusal.detail },
                };
                self.close(unix_s, state)
            }
            (Phase::Closing, Event::Written(written)) => self.closed(written),
            _ => Action::Done,
        }
    }

    fn write(&self) -> Write {
        Write { row: self.row.clone(), expect: self.expect, value: Some(self.record.to_json()) }
    }

    fn write_over(&mut self, expect: Expect) -> Action {
        self.expect = expect;
        Action::Write(self.write())
    }

    fn recorded(&mut self, now: Time, unix_s: u64, watch: &mut Watch, written: Written) -> Action {
        match written {
            Written::Applied(version) => self.hold(now, unix_s, version),
            Written::Conflict(row) => self.found(now, unix_s, watch, row),
            Written::Unavailable { reason, retry_after } => {
                let refusal = store_unavailable(&reason).retry_after(retry_after);
                self.give_up(unix_s, refusal)
            }
            Written::Unknown => {
                self.traces = true;
                self.give_up(unix_s, store_unavailable("its answer did not come in time"))
            }
        }
    }

    /// Takes the submission, unless the fence has been reached meanwhile.
    fn hold(&mut self, now: Time, unix_s: u64, version: u64) -> Action {
        self.expect = Expect::Version(version);
        self.phase = Phase::Holding;
        if self.fence.allows(now) {
            return Action::Send(self.fence);
        }
        let refusal = Refusal::not_run(Code::DeadlineExceeded, "while it was recorded")
            .retry_after(RETRY_AFTER_STORE);
        match self.close(unix_s, State::Released) {
            Action::Write(write) => Action::RefuseThenWrite(refusal, write),
            _ => Action::Refuse(refusal),
        }
    }

    /// Decides what the record of an earlier attempt means for this one.
    fn found(&mut self, now: Time, unix_s: u64, watch: &mut Watch, row: Option<Row>) -> Action {
        self.turns += 1;
        if self.turns > TURNS_MAX {
            let refusal = store_unavailable("too many attempts at once");
            return self.give_up(unix_s, refusal);
        }
        let Some(row) = row else {
            self.record.attempt = 1;
            return self.write_over(Expect::Absent);
        };
        let Some(record) = Record::from_json(&row.value) else {
            return self.refuse(may_have_run(Code::OutcomeOpen, "its record cannot be read"));
        };
        if record.is_same_attempt(&self.record) && record.state == State::Running {
            return self.hold(now, unix_s, row.version);
        }
        if record.digest != self.record.digest {
            let detail = "another request used the key";
            return self.refuse(Refusal::not_run(Code::KeyReused, detail));
        }
        match record.state {
            State::Released => {
                self.record.attempt = record.attempt + 1;
                self.write_over(Expect::Version(row.version))
            }
            State::Answered(kept) => {
                self.phase = Phase::Ended;
                Action::Replay(kept)
            }
            State::Open { reason } => self.refuse(may_have_run(Code::OutcomeOpen, &reason)),
            State::Settled { reason, .. } => self.refuse(Refusal {
                verdict: Verdict::Ran,
                ..may_have_run(Code::OutcomeSettled, &reason)
            }),
            State::Running => self.running(now, unix_s, watch, row.version, &record),
        }
    }

    fn running(
        &mut self,
        now: Time,
        unix_s: u64,
        watch: &mut Watch,
        version: u64,
        record: &Record,
    ) -> Action {
        match watch.observe(now, unix_s, &self.row, version, record) {
            Step::Write(write) => {
                self.phase = Phase::Opening;
                Action::Write(write)
            }
            Step::Wait(left) => {
                let detail = format!("it runs at the entry host {}", record.holder);
                self.refuse(
                    may_have_run(Code::StillRunning, &detail)
                        .retry_after(left.min(RETRY_AFTER_RUNNING_MAX)),
                )
            }
            Step::Leave => self.refuse(may_have_run(Code::StillRunning, "it runs")),
        }
    }

    /// Refuses, and removes what an unseen write may have left behind.
    fn give_up(&mut self, unix_s: u64, refusal: Refusal) -> Action {
        if !self.traces {
            return self.refuse(refusal);
        }
        match self.close(unix_s, State::Released) {
            Action::Write(write) => Action::RefuseThenWrite(refusal, write),
            _ => Action::Refuse(refusal),
        }
    }

    fn refuse(&mut self, refusal: Refusal) -> Action {
        self.phase = Phase::Ended;
        Action::Refuse(refusal)
    }

    fn opened(&mut self, written: Written) -> Action {
        match written {
            Written::Applied(_) => {
                self.refuse(may_have_run(Code::OutcomeOpen, "the host that ran it has gone"))
            }
            _ => self.refuse(
                may_have_run(Code::StillRunning, "its holder has not been heard of")
                    .retry_after(RETRY_AFTER_STORE),
            ),
        }
    }

    fn close(&mut self, unix_s: u64, state: State) -> Action {
        self.phase = Phase::Closing;
        self.record.state = state;
        self.record.changed_s = unix_s;
        self.turns = 0;
        Action::Write(self.write())
    }

    fn closed(&mut self, written: Written) -> Action {
        match written {
            Written::Applied(_) => self.end(),
            Written::Unavailable { .. } | Written::Unknown => {
                let pause = self.pause;
                self.pause = (pause * 2).min(PAUSE_MAX);
                Action::WriteLater(self.write(), pause)
            }
            Written::Conflict(row) => self.close_again(row),
        }
    }

    /// Writes the outcome over a record of this attempt that another host has opened, or that an
    /// unseen write has left.
    fn close_again(&mut self, row: Option<Row>) -> Action {
        let Some(row) = row else { return self.end() };
        let Some(record) = Record::from_json(&row.value) else { return self.end() };
        let writes = record.is_same_attempt(&self.record)
            && match (&self.record.state, &record.state) {
                (State::Answered(_), State::Answered(_)) => false,
                (State::Answered(_), _) => true,
                (State::Released, State::Running | State::Open { .. }) => true,
                (State::Open { .. }, State::Running) => true,
                _ => false,
            };
        if writes { self.write_over(Expect::Version(row.version)) } else { self.end() }
    }

    fn end(&mut self) -> Action {
        self.phase = Phase::Ended;
        Action::Done
    }
}

fn store_unavailable(reason: &str) -> Refusal {
    Refusal::not_run(Code::StoreUnavailable, reason).retry_after(RETRY_AFTER_STORE)
}

fn may_have_run(code: Code, detail: &str) -> Refusal {
    Refusal::may_have_run(code, detail)
}
