//! One submission, from its record to its stored answer.

use std::time::Duration;

use {
    tokio::{
        sync::oneshot,
        time::{self, Instant},
    },
    toucanhoist_core::{
        event,
        refusal::{Code, Refusal},
        submission::{Action, Attempt, Event, Record, State, StoredAnswer, Submission, Write},
    },
};

use super::{Handle, answers, unix_s};
use crate::host::{
    Context, Tasks, dispatch,
    exchange::{Answer, Head, Payload},
};

/// Longest time for which the answer to a caller is delayed until the outcome is written.
const OUTCOME_WAIT: Duration = Duration::from_secs(1);
/// Time limit of one write of an outcome.
const OUTCOME_DEADLINE: Duration = Duration::from_secs(5);

/// Runs a submission at most once and returns its answer, or the stored answer of an earlier send.
///
/// The answer is stored, where possible, before it is returned. The run continues when the caller
/// disconnects, so that a resend finds the answer.
///
/// # Errors
///
/// The refusal says whether the submission may have run, now or before.
pub async fn run(
    context: &Context,
    tasks: &Tasks,
    submission: Submission,
    head: Head,
    payload: Payload,
) -> Result<Answer, Refusal> {
    let handle = tasks.submissions.clone();
    let run = Run { context: context.clone(), tasks: tasks.clone(), submission, head };
    match handle.running.spawn(run.run(payload)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Refusal::may_have_run(
            Code::TargetFailed,
            "the task that ran the submission ended early",
        )),
    }
}

struct Run {
    context: Context,
    tasks: Tasks,
    submission: Submission,
    head: Head,
}

impl Run {
    async fn run(self, payload: Payload) -> Result<Answer, Refusal> {
        let handle = &self.tasks.submissions;
        let lease = self.head.deadline.saturating_duration_since(Instant::now());
        let now = self.context.clock.now();
        let (attempt, mut action) =
            Attempt::begin(&self.submission, &handle.holder, now, lease, unix_s());
        let mut attempt = Box::new(attempt);
        loop {
            match action {
                Action::Write(write) => {
                    let written = handle.recorder.write(write, now + lease).await;
                    let next = handle.recorder.step(attempt, Event::Written(written)).await;
                    (attempt, action) = next.ok_or_else(stopping)?;
                }
                Action::Send(_) => return self.send(attempt, payload).await,
                Action::Replay(stored) => return self.replay(stored).await,
                Action::Refuse(refusal) => return Err(refusal),
                Action::RefuseThenWrite(refusal, write) => {
                    self.spawn_outcome_write(attempt, Action::Write(write));
                    return Err(refusal);
                }
                Action::WriteLater(..) | Action::Done => return Err(stopping()),
            }
        }
    }

    async fn replay(&self, stored: StoredAnswer) -> Result<Answer, Refusal> {
        let row = self.submission.row();
        let status = stored.status;
        self.context.journal.record(
            event::Event::SubmissionReplayed,
            self.head.request,
            &[("submission", &row), ("status", &status)],
        );
        answers::replay(&*self.context.platform, stored).await
    }

    /// Sends the submission, whose record has been written, and stores its answer.
    async fn send(&self, attempt: Box<Attempt>, mut payload: Payload) -> Result<Answer, Refusal> {
        self.context.journal.record(
            event::Event::SubmissionRecorded,
            self.head.request,
            &[("submission", &self.submission.row()), ("attempt", &attempt.record().attempt)],
        );
        let origin = dispatch::Origin::Caller;
        let mut outcome = match dispatch::run(
            &self.context,
            &self.tasks,
            &origin,
            &self.head,
            &mut payload,
        )
        .await
        {
            Ok(answer) => answers::collect(answer, self.head.deadline).await,
            Err(refusal) => Err(refusal),
        };
        let event = match &mut outcome {
            Ok(collected) => {
                let name = answers::object_name(unix_s(), self.head.request);
                Event::Ran(collected.store(&*self.context.platform, &name).await)
            }
            Err(refusal) => Event::Failed(refusal.clone()),
        };
        if let Some((attempt, action)) = self.tasks.submissions.recorder.step(attempt, event).await
        {
            let written = self.spawn_outcome_write(attempt, action);
            // The answer is delayed only briefly: the submission ran, whether or not that can be
            // written.
            let _ = time::timeout(OUTCOME_WAIT, written).await;
        }
        outcome.map(answers::Collected::into_answer)
    }

    /// Writes the outcome in a task of its own, with retries until it is written or another
    /// record takes precedence. The receiver resolves when the task has ended.
    fn spawn_outcome_write(&self, attempt: Box<Attempt>, action: Action) -> oneshot::Receiver<()> {
        let (done, written) = oneshot::channel();
        let (context, handle) = (self.context.clone(), self.tasks.submissions.clone());
        let row = self.submission.row();
        handle.clone().running.spawn(async move {
            log_outcome(&context, &row, attempt.record());
            write_outcome(&context, &handle, &row, attempt, action).await;
            let _ = done.send(());
        });
        written
    }
}

async fn write_outcome(
    context: &Context,
    handle: &Handle,
    row: &str,
    mut attempt: Box<Attempt>,
    mut action: Action,
) {
    loop {
        let write: Write = match action {
            Action::Write(write) => write,
            Action::WriteLater(write, pause) => {
                context.journal.record(
                    event::Event::SubmissionUnwritten,
                    attempt.record().request,
                    &[("submission", &row), ("state", &attempt.record().state.as_str())],
                );
                time::sleep(pause).await;
                write
            }
            _ => return,
        };
        let deadline = context.clock.now() + OUTCOME_DEADLINE;
        let written = handle.recorder.write(write, deadline).await;
        match handle.recorder.step(attempt, Event::Written(written)).await {
            Some(next) => (attempt, action) = next,
            None => return,
        }
    }
}

fn log_outcome(context: &Context, row: &str, record: &Record) {
    let event = match record.state {
        State::Answered(_) => event::Event::SubmissionKept,
        State::Released => event::Event::SubmissionReleased,
        _ => event::Event::SubmissionOpened,
    };
    metrics::counter!("toucanhoist_submissions_total", "outcome" => record.state.as_str())
        .increment(1);
    context.journal.record(
        event,
        record.request,
        &[("submission", &row), ("attempt", &record.attempt)],
    );
}

fn stopping() -> Refusal {
    Refusal::not_run(Code::Leaving, "the host is stopping").retry_after(OUTCOME_WAIT)
}
