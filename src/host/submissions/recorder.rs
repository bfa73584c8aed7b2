//! The task that writes records in groups and watches those of other hosts.

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

use super::{TABLE, day_time_s};
use crate::host::Context;

const QUEUE_MESSAGES: usize = 1_024;
const IDLE_WAKE: Duration = Duration::from_secs(1);

/// Handle of the task.
#[derive(Clone, Debug)]
pub(super) struct Handle {
    messages: mpsc::Sender<Message>,
}

enum Message {
    Write(Write, Time, oneshot::Sender<Written>),
    Step(Box<Attempt>, Box<Event>, oneshot::Sender<(Box<Attempt>, Action)>),
    Observe(Box<str>, u64, Box<Record>, oneshot::Sender<Step>),
}

enum Called {
    Transacted(Batch, Outcome<u64>),
    Read(Batch, Outcome<Vec<Option<Row>>>),
}

impl Handle {
    /// Writes a row and returns what became of it by `deadline`.
    pub(super) async fn write(&self, write: Write, deadline: Time) -> Written {
        let (reply, written) = oneshot::channel();
        let sent = self.messages.send(Message::Write(write, deadline, reply)).await;
        match sent {
            Ok(()) => written.await.unwrap_or(Written::Unknown),
            Err(_) => Written::Unavailable {
                reason: "the host is stopping".into(),
                retry_after: IDLE_WAKE,
            },
        }
    }

    /// Lets an attempt go on after an event.
    pub(super) async fn step(
        &self,
        attempt: Box<Attempt>,
        event: Event,
    ) -> Option<(Box<Attempt>, Action)> {
        let (reply, stepped) = oneshot::channel();
        self.messages.send(Message::Step(attempt, Box::new(event), reply)).await.ok()?;
        stepped.await.ok()
    }

    /// Shows a record to the watch.
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
    let (called, calls) = mpsc::unbounded_channel();
    let recorder = Recorder {
        context,
        batcher: Batcher::new(config),
        watch: Watch::new(),
        replies: HashMap::new(),
        next: 0,
        called,
    };
    tokio::spawn(recorder.run(inbox, calls));
    Handle { messages }
}

struct Recorder {
    context: Context,
    batcher: Batcher,
    watch: Watch,
    replies: HashMap<Ticket, oneshot::Sender<Written>>,
    next: u64,
    called: mpsc::UnboundedSender<Called>,
}

impl Recorder {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Message>,
        mut calls: mpsc::UnboundedReceiver<Called>,
    ) {
        loop {
            let now = self.context.clock.now();
            while let Some(command) = self.batcher.poll(now) {
                self.carry_out(command);
            }
            metrics::gauge!("toucanhoist_submission_writes_pending")
                .set(self.batcher.pending() as f64);
            let wait = self.batcher.due_at().map_or(IDLE_WAKE, |due| due.since(now));
            tokio::select! {
                biased;
                Some(called) = calls.recv() => self.note(called),
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = time::sleep(wait) => {}
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.context.clock.now();
        match message {
            Message::Write(write, deadline, reply) => self.push(now, write, deadline, reply),
            Message::Step(mut attempt, event, reply) => {
                let action = attempt.step(now, day_time_s(), &mut self.watch, *event);
                let _ = reply.send((attempt, action));
            }
            Message::Observe(row, version, record, reply) => {
                let step = self.watch.observe(now, day_time_s(), &row, version, &record);
                let _ = reply.send(step);
            }
        }
    }

    fn push(&mut self, now: Time, write: Write, deadline: Time, reply: oneshot::Sender<Written>) {
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

    fn note(&mut self, called: Called) {
        let now = self.context.clock.now();
        match called {
            Called::Transacted(batch, outcome) => {
                self.batcher.transaction_finished(now, batch, &outcome)
            }
            Called::Read(batch, outcome) => self.batcher.read_finished(now, batch, outcome),
        }
    }

    fn carry_out(&mut self, command: Command) {
        let (platform, called) = (self.context.platform.clone(), self.called.clone());
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
                    let _ = called.send(Called::Transacted(batch, outcome));
                });
            }
            Command::Read(batch, rows) => {
                tokio::spawn(async move {
                    let outcome = outcome(platform.read(TABLE, &rows).await.map(read));
                    let _ = called.send(Called::Read(batch, outcome));
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

fn read(rows: Vec<Option<platform::Row>>) -> Vec<Option<Row>> {
    rows.into_iter().map(|row| row.and_then(present)).collect()
}

/// Returns a row that has not been deleted.
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
