//! One submission from its record to its kept answer.

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

use super::{Handle, answers, day_time_s};
use crate::host::{
    Context, Tasks, dispatch,
    exchange::{Answer, Head, Payload},
};

/// Time that an outcome's caller waits for it to be written.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
const CLOSE_DEADLINE: Duration = Duration::from_secs(5);

/// Runs a submission at most once and returns its answer, kept before.
///
/// It goes on when the caller goes away, so that a resend finds its answer.
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
        Err(_) => Err(Refusal::may_have_run(Code::TargetFailed, "the run ended early")),
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
            Attempt::begin(&self.submission, &handle.holder, now, lease, day_time_s());
        let mut attempt = Box::new(attempt);
        loop {
            match action {
                Action::Write(write) => {
                    let written = handle.recorder.write(write, now + lease).await;
                    let stepped = handle.recorder.step(attempt, Event::Written(written)).await;
                    (attempt, action) = stepped.ok_or_else(stopping)?;
                }
                Action::Send(_) => return self.send(attempt, payload).await,
                Action::Replay(kept) => return self.replay(kept).await,
                Action::Refuse(refusal) => return Err(refusal),
                Action::RefuseThenWrite(refusal, write) => {
                    self.close(attempt, Action::Write(write));
                    return Err(refusal);
                }
                Action::WriteLater(..) | Action::Done => return Err(stopping()),
            }
        }
    }

    async fn replay(&self, kept: StoredAnswer) -> Result<Answer, Refusal> {
        let row = self.submission.row();
        let status = kept.status;
        self.context.journal.record(
            event::Event::SubmissionReplayed,
            self.head.request,
            &[("submission", &row), ("status", &status)],
        );
        answers::replay(&*self.context.platform, kept).await
    }

    /// Sends the submission, whose record is written, and keeps its answer.
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
                let name = answers::object_name(day_time_s(), self.head.request);
                Event::Ran(collected.keep(&*self.context.platform, &name).await)
            }
            Err(refusal) => Event::Failed(refusal.clone()),
        };
        if let Some((attempt, action)) = self.tasks.submissions.recorder.step(attempt, event).await
        {
            let closed = self.close(attempt, action);
            // An answer is not held back for long: it ran, whether that can be written or not.
            let _ = time::timeout(CLOSE_WAIT, closed).await;
        }
        outcome.map(answers::Collected::into_answer)
    }

    /// Writes the outcome, for as long as it takes.
    fn close(&self, attempt: Box<Attempt>, action: Action) -> oneshot::Receiver<()> {
        let (done, closed) = oneshot::channel();
        let (context, handle) = (self.context.clone(), self.tasks.submissions.clone());
        let row = self.submission.row();
        handle.clone().running.spawn(async move {
            log_outcome(&context, &row, attempt.record());
            write_outcome(&context, &handle, &row, attempt, action).await;
            let _ = done.send(());
        });
        closed
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
        let deadline = context.clock.now() + CLOSE_DEADLINE;
        let written = handle.recorder.write(write, deadline).await;
        match handle.recorder.step(attempt, Event::Written(written)).await {
            Some(stepped) => (attempt, action) = stepped,
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
    Refusal::not_run(Code::Leaving, "the host is stopping").retry_after(CLOSE_WAIT)
}
