//! The task that writes records by group commit and watches the records of other hosts.

use std::{collections::HashMap, time::Duration};

use {
    tokio::{
        sync::{mpsc, oneshot},
        time,
    },
    toucanhoist_core::{
        clock::Time,
        submission::{
            Action, Attempt, Batch, Batcher, BatcherConfig, Command, Event, Expect, Outcome,
            Record, Row, Step, Ticket, Watch, Write, Written,
        },
    },
    toucanhoist_store::{self as platform, Check, ErrorKind, Transaction},
};

use super::{TABLE, unix_s};
use crate::host::Context;

const QUEUE_MESSAGES: usize = 1_024;
/// Longest time between two polls of the batcher.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Handle of the task.
#[derive(Clone, Debug)]
pub(super) struct Handle {
    messages: mpsc::Sender<Message>,
}

/// A message to the task.
enum Message {
    Write(Write, Time, oneshot::Sender<Written>),
    Step(Box<Attempt>, Box<Event>, oneshot::Sender<(Box<Attempt>, Action)>),
    Observe(Box<str>, u64, Box<Record>, oneshot::Sender<Step>),
}

/// Result of a call to the platform.
enum Call {
    Transacted(Batch, Outcome<u64>),
    Read(Batch, Outcome<Vec<Option<Row>>>),
}

impl Handle {
    /// Writes a row and returns the outcome as known by `deadline`.
    pub(super) async fn write(&self, write: Write, deadline: Time) -> Written {
        let (reply, written) = oneshot::channel();
        let sent = self.messages.send(Message::Write(write, deadline, reply)).await;
        match sent {
            Ok(()) => written.await.unwrap_or(Written::Unknown),
            Err(_) => Written::Unavailable {
                reason: "the host is stopping".into(),
                retry_after: IDLE_INTERVAL,
            },
        }
    }

    /// Advances an attempt after an event.
    pub(super) async fn step(
        &self,
        attempt: Box<Attempt>,
        event: Event,
    ) -> Option<(Box<Attempt>, Action)> {
        let (reply, result) = oneshot::channel();
        self.messages.send(Message::Step(attempt, Box::new(event), reply)).await.ok()?;
        result.await.ok()
    }

    /// Passes a running record to the watch, which decides whether it must be opened.
    pub(super) async fn observe(&self, row: &str, version: u64, record: Record) -> Step {
        let (reply, step) = oneshot::channel();
        let message = Message::Observe(row.into(), version, Box::new(record), reply);
        match self.messages.send(message).await {
            Ok(()) => step.await.unwrap_or(Step::Leave),
            Err(_) => Step::Leave,
        }
    }
}

/// Spawns the task.
pub(super) fn spawn(context: Context, config: BatcherConfig) -> Handle {
    let (messages, inbox) = mpsc::channel(QUEUE_MESSAGES);
    let (results, finished_calls) = mpsc::unbounded_channel();
    let recorder = Recorder {
        context,
        batcher: Batcher::new(config),
        watch: Watch::new(),
        replies: HashMap::new(),
        next: 0,
        results,
    };
    tokio::spawn(recorder.run(inbox, finished_calls));
    Handle { messages }
}

struct Recorder {
    context: Context,
    batcher: Batcher,
    watch: Watch,
    replies: HashMap<Ticket, oneshot::Sender<Written>>,
    next: u64,
    results: mpsc::UnboundedSender<Call>,
}

impl Recorder {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Message>,
        mut finished_calls: mpsc::UnboundedReceiver<Call>,
    ) {
        loop {
            let now = self.context.clock.now();
            while let Some(command) = self.batcher.poll(now) {
                self.execute(command);
            }
            metrics::gauge!("toucanhoist_submission_writes_pending")
                .set(self.batcher.pending() as f64);
            let wait = self.batcher.due_at().map_or(IDLE_INTERVAL, |due| due.since(now));
            tokio::select! {
                biased;
                Some(call) = finished_calls.recv() => self.finish_call(call),
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = time::sleep(wait) => {}
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.context.clock.now();
        match message {
            Message::Write(write, deadline, reply) => self.enqueue(now, write, deadline, reply),
            Message::Step(mut attempt, event, reply) => {
                let action = attempt.step(now, unix_s(), &mut self.watch, *event);
                let _ = reply.send((attempt, action));
            }
            Message::Observe(row, version, record, reply) => {
                let step = self.watch.observe(now, unix_s(), &row, version, &record);
                let _ = reply.send(step);
            }
        }
    }

    fn enqueue(
        &mut self,
        now: Time,
        write: Write,
        deadline: Time,
        reply: oneshot::Sender<Written>,
    ) {
        let ticket = Ticket(self.next);
        self.next += 1;
        match self.batcher.push(now, ticket, write, deadline) {
            Ok(()) => {
                self.replies.insert(ticket, reply);
            }
            Err(rejection) => {
                let _ = reply.send(Written::Unavailable {
                    reason: rejection.reason.into(),
                    retry_after: rejection.retry_after,
                });
            }
        }
    }

    fn finish_call(&mut self, call: Call) {
        let now = self.context.clock.now();
        match call {
            Call::Transacted(batch, result) => {
                self.batcher.transaction_finished(now, batch, &result)
            }
            Call::Read(batch, result) => self.batcher.read_finished(now, batch, result),
        }
    }

    fn execute(&mut self, command: Command) {
        let (platform, results) = (self.context.platform.clone(), self.results.clone());
        match command {
            Command::Settle(ticket, written) => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    let _ = reply.send(written);
                }
            }
            Command::Transact(batch, writes) => {
                metrics::counter!("toucanhoist_submission_transactions_total").increment(1);
                metrics::counter!("toucanhoist_submission_writes_total")
                    .increment(writes.len() as u64);
                tokio::spawn(async move {
                    let result = platform.transact(transaction(writes)).await;
                    let outcome = outcome(result.map(platform::Version::as_u64));
                    let _ = results.send(Call::Transacted(batch, outcome));
                });
            }
            Command::Read(batch, rows) => {
                tokio::spawn(async move {
                    let outcome = outcome(platform.read(TABLE, &rows).await.map(present_rows));
                    let _ = results.send(Call::Read(batch, outcome));
                });
            }
        }
    }
}

fn transaction(writes: Vec<Write>) -> Transaction {
    let check = |write: &Write| Check::new(TABLE, &write.row, expect(write.expect));
    let change = |write: &Write| platform::Write {
        table: TABLE.into(),
        key: write.row.clone(),
        value: write.value.clone(),
    };
    Transaction {
        checks: writes.iter().map(check).collect(),
        writes: writes.iter().map(change).collect(),
    }
}

fn expect(expect: Expect) -> platform::Expect {
    match expect {
        Expect::Absent => platform::Expect::Absent,
        Expect::Version(version) => platform::Expect::Version(version.into()),
    }
}

fn present_rows(rows: Vec<Option<platform::Row>>) -> Vec<Option<Row>> {
    rows.into_iter().map(|row| row.and_then(present)).collect()
}

/// Returns the row; `None` if it has been deleted.
pub(super) fn present(row: platform::Row) -> Option<Row> {
    Some(Row { version: row.version.as_u64(), value: row.value? })
}

fn outcome<T>(result: Result<T, platform::Error>) -> Outcome<T> {
    match result {
        Ok(value) => Outcome::Done(value),
        Err(error) => match error.kind() {
            ErrorKind::Conflict => Outcome::Conflict,
            ErrorKind::Unavailable(_) => Outcome::Unavailable,
            _ => Outcome::Unknown,
        },
    }
}
