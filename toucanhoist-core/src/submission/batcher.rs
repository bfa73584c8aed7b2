//! Group commit: the conditional writes of many submissions share transactions.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use crate::{
    clock::Time,
    submission::{Expect, Row, Write},
};

/// Consecutive failed calls after which the store is considered down.
const FAILURES_MAX: u32 = 3;
const RETRIES_MAX: u32 = 16;
/// Time until the next check for passed deadlines when no write is pending.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(60);
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);

/// Limits and times of a [`Batcher`].
#[derive(Clone, Copy, Debug)]
pub struct BatcherConfig {
    /// Largest number of writes in one transaction.
    pub batch_max: usize,
    /// Longest time that a write waits for others to share its transaction.
    pub linger: Duration,
    /// Largest number of transactions in flight.
    pub in_flight_max: usize,
    /// Largest number of queued writes.
    pub queue_max: usize,
    /// Time for which the store is considered down after several consecutive calls have failed.
    pub down_for: Duration,
}

impl Default for BatcherConfig {
    fn default() -> BatcherConfig {
        BatcherConfig {
            batch_max: 64,
            linger: Duration::from_millis(2),
            in_flight_max: 2,
            queue_max: 1_024,
            down_for: Duration::from_secs(1),
        }
    }
}

/// Number that identifies a write.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Number that identifies a transaction and its read-backs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Batch(pub u64);

/// Outcome of one write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect; the row has this version.
    Applied(u64),
    /// The condition did not hold; this is the row found, if there is one.
    Conflict(Option<Row>),
    /// It did not take effect and will not.
    Unavailable {
        /// What happened.
        reason: Box<str>,
        /// Time after which it may be retried.
        retry_after: Duration,
    },
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// Rejection of a write that was not queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Why it was rejected.
    pub reason: &'static str,
    /// Time after which it may be retried.
    pub retry_after: Duration,
}

/// Outcome of a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome<T> {
    /// It succeeded.
    Done(T),
    /// A condition did not hold.
    Conflict,
    /// Nothing was written.
    Unavailable,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// A command that the batcher gives its host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Apply these writes in one transaction.
    Transact(Batch, Vec<Write>),
    /// Read these rows.
    Read(Batch, Vec<Box<str>>),
    /// Report the outcome of a write.
    Settle(Ticket, Written),
}

#[derive(Clone, Debug)]
struct Pending {
    ticket: Ticket,
    write: Write,
    since: Time,
    deadline: Time,
    retries: u32,
    /// Whether an earlier transaction with this write may have taken effect.
    may_be_applied: bool,
    is_settled: bool,
}

#[derive(Debug)]
enum Stage {
    Transacting,
    Reading,
    /// The rows are read again at this time.
    Pausing(Time),
}

#[derive(Debug)]
struct Transaction {
    stage: Stage,
    started: Time,
    writes: Vec<Pending>,
}

/// Combines writes into transactions and determines the outcome of each write.
///
/// A write whose condition does not hold fails alone: the rows are read back and the other writes
/// retried. When the outcome of a transaction is unknown, its rows are read back too and writes
/// that did not take effect are retried. Retrying is safe, because the condition of a write no
/// longer holds once it has taken effect.
#[derive(Debug)]
pub struct Batcher {
    config: BatcherConfig,
    queue: VecDeque<Pending>,
    transactions: HashMap<Batch, Transaction>,
    commands: VecDeque<Command>,
    next: u64,
    failures: u32,
    down_until: Time,
    /// Smoothed duration of a transaction.
    duration: Duration,
    /// Lower bound of the deadlines of unsettled writes.
    no_deadline_before: Time,
}

impl Batcher {
    /// Creates a batcher.
    pub fn new(config: BatcherConfig) -> Batcher {
        Batcher {
            config,
            queue: VecDeque::new(),
            transactions: HashMap::new(),
            commands: VecDeque::new(),
            next: 0,
            failures: 0,
            down_until: Time::ZERO,
            duration: Duration::ZERO,
            no_deadline_before: Time::ZERO,
        }
    }

    /// Queues a write, to be settled by `deadline`.
    ///
    /// # Errors
    ///
    /// The write was rejected and will not be written.
    pub fn push(
        &mut self,
        now: Time,
        ticket: Ticket,
        write: Write,
        deadline: Time,
    ) -> Result<(), Rejection> {
        if now < self.down_until {
            let retry_after = self.down_until.since(now);
            return Err(Rejection { reason: "the store is considered down", retry_after });
        }
        let retry_after = self.expected_wait();
        if self.queue.len() >= self.config.queue_max {
            return Err(Rejection { reason: "too many submissions are queued", retry_after });
        }
        if now + retry_after >= deadline {
            return Err(Rejection {
                reason: "the store is too slow for the deadline",
                retry_after,
            });
        }
        self.no_deadline_before = self.no_deadline_before.min(deadline);
        self.queue.push_back(Pending {
            ticket,
            write,
            since: now,
            deadline,
            retries: 0,
            may_be_applied: false,
            is_settled: false,
        });
        Ok(())
    }

    /// Returns the next command.
    pub fn poll(&mut self, now: Time) -> Option<Command> {
        self.expire(now);
        self.read_again(now);
        if self.commands.is_empty() && self.is_due(now) {
            self.start_transaction(now);
        }
        self.commands.pop_front()
    }

    /// Returns the time by which [`Batcher::poll`] must be called if there is no other event.
    pub fn due_at(&self) -> Option<Time> {
        let linger = self.queue.front().map(|first| first.since + self.config.linger);
        let linger = linger.filter(|_| self.transactions.len() < self.config.in_flight_max);
        let deadline = (self.pending() > 0).then_some(self.no_deadline_before);
        let pauses = self.transactions.values().filter_map(|transaction| match transaction.stage {
            Stage::Pausing(until) => Some(until),
            Stage::Transacting | Stage::Reading => None,
        });
        linger.into_iter().chain(deadline).chain(pauses).min()
    }

    /// Applies the outcome of a transaction; `Done` holds the version that it wrote.
    pub fn transaction_finished(&mut self, now: Time, batch: Batch, outcome: &Outcome<u64>) {
        let Some(transaction) = self.transactions.get_mut(&batch) else { return };
        let elapsed = now.since(transaction.started);
        self.duration = (self.duration * 7 + elapsed) / 8;
        match outcome {
            Outcome::Done(version) => {
                let transaction =
                    self.transactions.remove(&batch).expect("the transaction was found above");
                self.succeeded();
                for pending in transaction.writes {
                    self.settle(&pending, Written::Applied(*version));
                }
            }
            Outcome::Conflict => {
                self.succeeded();
                self.read(batch);
            }
            Outcome::Unavailable => {
                let transaction =
                    self.transactions.remove(&batch).expect("the transaction was found above");
                self.failed(now);
                let retry_after = self.config.down_for;
                for pending in transaction.writes {
                    let reason = "the store refused the write".into();
                    let written = match pending.may_be_applied {
                        true => Written::Unknown,
                        false => Written::Unavailable { reason, retry_after },
                    };
                    self.settle(&pending, written);
                }
            }
            Outcome::Unknown => {
                transaction.writes.iter_mut().for_each(|pending| pending.may_be_applied = true);
                self.failed(now);
                self.read(batch);
            }
        }
    }

    /// Applies the outcome of a read-back; `Done` holds the rows in the order of the command.
    pub fn read_finished(&mut self, now: Time, batch: Batch, outcome: Outcome<Vec<Option<Row>>>) {
        let Some(transaction) = self.transactions.get_mut(&batch) else { return };
        let Outcome::Done(rows) = outcome else {
            transaction.stage = Stage::Pausing(now + READ_BACK_PAUSE);
            self.failed(now);
            return;
        };
        let transaction =
            self.transactions.remove(&batch).expect("the transaction was found above");
        self.succeeded();
        for (pending, row) in transaction.writes.into_iter().zip(rows).rev() {
            self.resolve(pending, row);
        }
    }

    /// Returns the number of writes that are queued or in flight.
    pub fn pending(&self) -> usize {
        self.queue.len()
            + self.transactions.values().map(|transaction| transaction.writes.len()).sum::<usize>()
    }

    /// Settles a write by the row that was read back, or queues it again if its condition still
    /// holds and it has retries left.
    fn resolve(&mut self, mut pending: Pending, row: Option<Row>) {
        let value = row.as_ref().map(|row| &row.value);
        let holds = match (pending.write.expect, &row) {
            (Expect::Absent, None) => true,
            (Expect::Version(version), Some(row)) => row.version == version,
            _ => false,
        };
        match &row {
            Some(row) if value == pending.write.value.as_ref() => {
                self.settle(&pending, Written::Applied(row.version));
            }
            _ if holds && pending.retries < RETRIES_MAX => {
                pending.retries += 1;
                if !pending.is_settled {
                    self.queue.push_front(pending);
                }
            }
            _ => self.settle(&pending, Written::Conflict(row)),
        }
    }

    fn settle(&mut self, pending: &Pending, written: Written) {
        if !pending.is_settled {
            self.commands.push_back(Command::Settle(pending.ticket, written));
        }
    }

    fn read(&mut self, batch: Batch) {
        let Some(transaction) = self.transactions.get_mut(&batch) else { return };
        transaction.stage = Stage::Reading;
        let rows = transaction.writes.iter().map(|pending| pending.write.row.clone()).collect();
        self.commands.push_back(Command::Read(batch, rows));
    }

    fn read_again(&mut self, now: Time) {
        let is_due = |t: &Transaction| matches!(t.stage, Stage::Pausing(at) if at <= now);
        let batches: Vec<Batch> = self
            .transactions
            .iter()
            .filter(|(_, transaction)| is_due(transaction))
            .map(|(batch, _)| *batch)
            .collect();
        for batch in batches {
            // No caller waits for the outcome of a batch whose writes are all settled.
            if self.transactions[&batch].writes.iter().all(|pending| pending.is_settled) {
                self.transactions.remove(&batch);
            } else {
                self.read(batch);
            }
        }
    }

    /// Settles writes whose deadline has passed.
    fn expire(&mut self, now: Time) {
        if now < self.no_deadline_before {
            return;
        }
        let retry_after = self.expected_wait();
        let (late, queue) =
            std::mem::take(&mut self.queue).into_iter().partition(|p| p.deadline <= now);
        self.queue = queue;
        let late: VecDeque<Pending> = late;
        for pending in late {
            let reason = "the store did not accept the write before the deadline".into();
            let written = match pending.may_be_applied {
                true => Written::Unknown,
                false => Written::Unavailable { reason, retry_after },
            };
            self.settle(&pending, written);
        }
        for pending in
            self.transactions.values_mut().flat_map(|transaction| &mut transaction.writes)
        {
            if pending.deadline <= now && !pending.is_settled {
                pending.is_settled = true;
                self.commands.push_back(Command::Settle(pending.ticket, Written::Unknown));
            }
        }
        let in_flight = self.transactions.values().flat_map(|transaction| &transaction.writes);
        let open = self.queue.iter().chain(in_flight).filter(|pending| !pending.is_settled);
        let earliest = open.map(|pending| pending.deadline).min();
        self.no_deadline_before = earliest.unwrap_or(now + IDLE_CHECK_INTERVAL);
    }

    fn is_due(&self, now: Time) -> bool {
        let has_lingered =
            self.queue.front().is_some_and(|first| first.since + self.config.linger <= now);
        let is_full = self.queue.len() >= self.config.batch_max;
        (has_lingered || is_full) && self.transactions.len() < self.config.in_flight_max
    }

    /// Starts a transaction with the oldest queued writes. Two writes of one row never share it.
    fn start_transaction(&mut self, now: Time) {
        let mut rows = HashSet::new();
        let mut writes = Vec::new();
        let mut later = Vec::new();
        while writes.len() < self.config.batch_max {
            let Some(pending) = self.queue.pop_front() else { break };
            if rows.insert(pending.write.row.clone()) {
                writes.push(pending);
            } else {
                later.push(pending);
            }
        }
        later.into_iter().rev().for_each(|pending| self.queue.push_front(pending));
        let batch = Batch(self.next);
        self.next += 1;
        let sent = writes.iter().map(|pending| pending.write.clone()).collect();
        self.transactions
            .insert(batch, Transaction { stage: Stage::Transacting, started: now, writes });
        self.commands.push_back(Command::Transact(batch, sent));
    }

    /// Returns the expected time until a new write is settled.
    ///
    /// For a write that can be sent at once, it does not count the duration of earlier
    /// transactions, so that such a write is always accepted and a store that was slow is tried
    /// again.
    fn expected_wait(&self) -> Duration {
        if self.queue.is_empty() && self.transactions.len() < self.config.in_flight_max {
            return self.config.linger;
        }
        let per_round = (self.config.batch_max * self.config.in_flight_max).max(1);
        let rounds = u32::try_from(1 + self.queue.len() / per_round).unwrap_or(u32::MAX);
        self.config.linger + self.duration * rounds
    }

    fn succeeded(&mut self) {
        self.failures = 0;
        self.down_until = Time::ZERO;
    }

    fn failed(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            self.down_until = now + self.config.down_for;
        }
    }
}
