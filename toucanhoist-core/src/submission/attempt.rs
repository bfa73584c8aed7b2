//! An attempt at a submission, at the host that received it.

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
const CONFLICTS_MAX: u32 = 8;
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// A process that holds submissions.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Name of the host.
    pub name: id::EntryHost,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// Time until which a holder may send, by its own monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fence(Time);

impl Fence {
    /// Creates a fence that is reached at `until`.
    pub fn new(until: Time) -> Fence {
        Fence(until)
    }

    /// Whether the first byte may still be sent; to be checked immediately before it is.
    pub fn allows(self, now: Time) -> bool {
        now < self.0
    }

    /// Returns the time until the fence, which a holder reports to a host that forwards the
    /// request.
    pub fn left(self, now: Time) -> Duration {
        self.0.since(now)
    }
}

/// An event in the course of an attempt.
#[derive(Clone, Debug)]
pub enum Event {
    /// A write of its record has this outcome.
    Written(Written),
    /// A target ran it and answered.
    Ran(StoredAnswer),
    /// It failed: it did not run, or may have run.
    Failed(Refusal),
}

/// An action that an attempt asks its host for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record.
    Write(Write),
    /// Send the request to a target, no later than the fence.
    Send(Fence),
    /// Answer the caller with a stored answer.
    Replay(StoredAnswer),
    /// Refuse the caller; nothing remains to be written.
    Refuse(Refusal),
    /// Refuse the caller, then write the record in the background.
    RefuseThenWrite(Refusal, Write),
    /// Write the record again after this time.
    WriteLater(Write, Duration),
    /// The attempt has ended.
    Done,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The record is being written.
    Recording,
    /// The record of a holder that is gone is being opened.
    Opening,
    /// The submission is held and may be sent.
    Holding,
    /// The outcome is being written.
    Closing,
    /// The attempt has ended.
    Ended,
}

/// One attempt at a submission.
#[derive(Debug)]
pub struct Attempt {
    row: Box<str>,
    record: Record,
    /// Condition of the next write of the row.
    expect: Expect,
    fence: Fence,
    phase: Phase,
    conflicts: u32,
    /// Time until the outcome is written again.
    backoff: Duration,
    /// Whether a write of the record whose outcome is unknown may have taken effect.
    may_be_recorded: bool,
}

impl Attempt {
    /// Starts an attempt, which may send until `now + lease`; `unix_s` is the Unix time in seconds.
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
            // Rounded up: other hosts must watch the record for at least as long as the fence
            // lasts.
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
            conflicts: 0,
            backoff: BACKOFF_MIN,
            may_be_recorded: false,
        };
        let action = Action::Write(attempt.write());
        (attempt, action)
    }

    /// Returns the record as this attempt writes it.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Whether the attempt holds the submission and may send it.
    pub fn is_held(&self) -> bool {
        self.phase == Phase::Holding
    }

    /// Advances the attempt after an event and returns the next action.
    pub fn step(&mut self, now: Time, unix_s: u64, watch: &mut Watch, event: Event) -> Action {
        match (self.phase, event) {
            (Phase::Recording, Event::Written(written)) => {
                self.recorded(now, unix_s, watch, written)
            }
            (Phase::Opening, Event::Written(written)) => self.opened(written),
            (Phase::Holding, Event::Ran(answer)) => self.close(unix_s, State::Answered(answer)),
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
                self.may_be_recorded = true;
                self.give_up(unix_s, store_unavailable("the store did not answer in time"))
            }
        }
    }

    /// Holds the submission once it is recorded, unless the fence has been reached by then.
    fn hold(&mut self, now: Time, unix_s: u64, version: u64) -> Action {
        self.expect = Expect::Version(version);
        self.phase = Phase::Holding;
        if self.fence.allows(now) {
            return Action::Send(self.fence);
        }
        let refusal = Refusal::not_run(Code::DeadlineExceeded, "while the submission was recorded")
            .retry_after(RETRY_AFTER_STORE);
        match self.close(unix_s, State::Released) {
            Action::Write(write) => Action::RefuseThenWrite(refusal, write),
            _ => Action::Refuse(refusal),
        }
    }

    /// Decides what the record of an earlier attempt means for this one.
    fn found(&mut self, now: Time, unix_s: u64, watch: &mut Watch, row: Option<Row>) -> Action {
        self.conflicts += 1;
        if self.conflicts > CONFLICTS_MAX {
            let refusal = store_unavailable("too many attempts write the record at once");
            return self.give_up(unix_s, refusal);
        }
        let Some(row) = row else {
            self.record.attempt = 1;
            return self.write_over(Expect::Absent);
        };
        let Some(record) = Record::from_json(&row.value) else {
            return self
                .refuse(may_have_run(Code::OutcomeOpen, "the submission's record cannot be read"));
        };
        if record.is_same_attempt(&self.record) && record.state == State::Running {
            return self.hold(now, unix_s, row.version);
        }
        if record.digest != self.record.digest {
            let detail = "the key was used for another request";
            return self.refuse(Refusal::not_run(Code::KeyReused, detail));
        }
        match record.state {
            State::Released => {
                self.record.attempt = record.attempt + 1;
                self.write_over(Expect::Version(row.version))
            }
            State::Answered(answer) => {
                self.phase = Phase::Ended;
                Action::Replay(answer)
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
                let detail = format!("the submission runs at the entry host {}", record.holder);
                self.refuse(
                    may_have_run(Code::StillRunning, &detail)
                        .retry_after(left.min(RETRY_AFTER_RUNNING_MAX)),
                )
            }
            Step::Leave => self.refuse(may_have_run(Code::StillRunning, "the submission runs")),
        }
    }

    /// Refuses the caller, and releases the record that a write with an unknown outcome may have
    /// created.
    fn give_up(&mut self, unix_s: u64, refusal: Refusal) -> Action {
        if !self.may_be_recorded {
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
                may_have_run(
                    Code::StillRunning,
                    "the entry host that holds the submission recorded no outcome within its lease",
                )
                .retry_after(RETRY_AFTER_STORE),
            ),
        }
    }

    fn close(&mut self, unix_s: u64, state: State) -> Action {
        self.phase = Phase::Closing;
        self.record.state = state;
        self.record.changed_s = unix_s;
        self.conflicts = 0;
        Action::Write(self.write())
    }

    fn closed(&mut self, written: Written) -> Action {
        match written {
            Written::Applied(_) => self.end(),
            Written::Unavailable { .. } | Written::Unknown => {
                let backoff = self.backoff;
                self.backoff = (backoff * 2).min(BACKOFF_MAX);
                Action::WriteLater(self.write(), backoff)
            }
            Written::Conflict(row) => self.close_again(row),
        }
    }

    /// Writes the outcome over a record of this attempt that another host has opened, or that a
    /// write with an unknown outcome has created; otherwise ends the attempt.
    fn close_again(&mut self, row: Option<Row>) -> Action {
        let Some(row) = row else { return self.end() };
        let Some(record) = Record::from_json(&row.value) else { return self.end() };
        let is_overwritten = record.is_same_attempt(&self.record)
            && match (&self.record.state, &record.state) {
                (State::Answered(_), State::Answered(_)) => false,
                (State::Answered(_), _) => true,
                (State::Released, State::Running | State::Open { .. }) => true,
                (State::Open { .. }, State::Running) => true,
                _ => false,
            };
        if is_overwritten { self.write_over(Expect::Version(row.version)) } else { self.end() }
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
