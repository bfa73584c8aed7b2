//! Group commit: the conditional writes of many submissions share a transaction.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use crate::{
    clock::Time,
    submission::{Expect, Row, Write},
};

const FAILURES_MAX: u32 = 3;
const TRIES_MAX: u32 = 16;
const NO_DEADLINE_FOR: Duration = Duration::from_secs(60);
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);

/// How writes are put together.
#[derive(Clone, Copy, Debug)]
pub struct BatcherConfig {
    /// Writes in one transaction.
    pub batch_max: usize,
    /// Time that a write waits for others.
    pub linger: Duration,
    /// Transactions under way at once.
    pub in_flight_max: usize,
    /// Writes that wait.
    pub queue_max: usize,
    /// Time for which the store is held to be down after several calls in a row have failed.
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

/// Number of a write.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Number of a transaction with its read-backs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Batch(pub u64);

/// Outcome of one write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect.
    Applied(u64),
    /// The row is not what was expected, but this.
    Conflict(Option<Row>),
    /// Nothing was written.
    Unavailable {
        /// What happened.
        reason: Box<str>,
        /// When another try makes sense.
        retry_after: Duration,
    },
    /// It may have taken effect, or may yet.
    Unknown,
}

/// A write that is not taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Why.
    pub reason: &'static str,
    /// When another try makes sense.
    pub retry_after: Duration,
}

/// Outcome of a call of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome<T> {
    /// It succeeded.
    Done(T),
    /// A condition did not hold.
    Conflict,
    /// Nothing was written.
    Unavailable,
    /// It may have taken effect.
    Unknown,
}

/// What the batcher asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Apply these writes in one transaction.
    Transact(Batch, Vec<Write>),
    /// Read these rows.
    Read(Batch, Vec<Box<str>>),
    /// Tell a write's outcome.
    Settle(Ticket, Written),
}

#[derive(Clone, Debug)]
struct Pending {
    ticket: Ticket,
    write: Write,
    since: Time,
    deadline: Time,
    tries: u32,
    /// Whether a try may have taken effect.
    traces: bool,
    settled: bool,
}

#[derive(Debug)]
enum Stage {
    Transacting,
    Reading,
    /// Another read is due then.
    Pausing(Time),
}

#[derive(Debug)]
struct Flight {
    stage: Stage,
    began: Time,
    writes: Vec<Pending>,
}

/// Puts writes together into transactions and finds out what became of each.
///
/// A write whose condition does not hold fails alone: the rows are read back and the others tried
/// again. So is a write whose answer was lost; writing it again is harmless, as its condition no
/// longer holds once it has taken effect.
#[derive(Debug)]
pub struct Batcher {
    config: BatcherConfig,
    queue: VecDeque<Pending>,
    flights: HashMap<Batch, Flight>,
    ready: VecDeque<Command>,
    next: u64,
    failures: u32,
    down_until: Time,
    /// Smoothed time of a transaction.
    duration: Duration,
    /// No unsettled write's deadline is before.
    no_deadline_before: Time,
}

impl Batcher {
    /// Creates a batcher.
    pub fn new(config: BatcherConfig) -> Batcher {
        Batcher {
            config,
            queue: VecDeque::new(),
            flights: HashMap::new(),
            ready: VecDeque::new(),
            next: 0,
            failures: 0,
            down_until: Time::ZERO,
            duration: Duration::ZERO,
            no_deadline_before: Time::ZERO,
        }
    }

    /// Takes a write, to be settled by `deadline`.
    ///
    /// # Errors
    ///
    /// It is not taken and will not be written.
    pub fn push(
        &mut self,
        now: Time,
        ticket: Ticket,
        write: Write,
        deadline: Time,
    ) -> Result<(), Rejection> {
        if now < self.down_until {
            let retry_after = self.down_until.since(now);
            return Err(Rejection { reason: "the store is held to be down", retry_after });
        }
        let retry_after = self.expected_wait();
        if self.queue.len() >= self.config.queue_max {
            return Err(Rejection { reason: "too many submissions wait", retry_after });
        }
        if now + retry_after >= deadline {
            return Err(Rejection { reason: "the deadline is out of reach", retry_after });
        }
        self.no_deadline_before = self.no_deadline_before.min(deadline);
        self.queue.push_back(Pending {
            ticket,
            write,
            since: now,
            deadline,
            tries: 0,
            traces: false,
            settled: false,
        });
        Ok(())
    }

    /// Returns the next thing to do.
    pub fn poll(&mut self, now: Time) -> Option<Command> {
        self.expire(now);
        self.read_again(now);
        if self.ready.is_empty() && self.is_due(now) {
            self.launch(now);
        }
        self.ready.pop_front()
    }

    /// Returns when [`Batcher::poll`] has something to do at the latest, if nothing else happens.
    pub fn due_at(&self) -> Option<Time> {
        let linger = self.queue.front().map(|first| first.since + self.config.linger);
        let linger = linger.filter(|_| self.flights.len() < self.config.in_flight_max);
        let deadline = (self.pending() > 0).then_some(self.no_deadline_before);
        let pauses = self.flights.values().filter_map(|flight| match flight.stage {
            Stage::Pausing(until) => Some(until),
            Stage::Transacting | Stage::Reading => None,
        });
        linger.into_iter().chain(deadline).chain(pauses).min()
    }

    /// Notes the outcome of a transaction; `Done` holds its version.
    pub fn transaction_finished(&mut self, now: Time, batch: Batch, outcome: &Outcome<u64>) {
        let Some(flight) = self.flights.get_mut(&batch) else { return };
        let took = now.since(flight.began);
        self.duration = (self.duration * 7 + took) / 8;
        match outcome {
            Outcome::Done(version) => {
                let flight = self.flights.remove(&batch).expect("it was there");
                self.succeeded();
                for pending in flight.writes {
                    self.settle(&pending, Written::Applied(*version));
                }
            }
            Outcome::Conflict => {
                self.succeeded();
                self.read(batch);
            }
            Outcome::Unavailable => {
                let flight = self.flights.remove(&batch).expect("it was there");
                self.failed(now);
                let retry_after = self.config.down_for;
                for pending in flight.writes {
                    let reason = "the store refused the write".into();
                    let written = match pending.traces {
                        true => Written::Unknown,
                        false => Written::Unavailable { reason, retry_after },
                    };
                    self.settle(&pending, written);
                }
            }
            Outcome::Unknown => {
                flight.writes.iter_mut().for_each(|pending| pending.traces = true);
                self.failed(now);
                self.read(batch);
            }
        }
    }

    /// Notes the rows that were read back, in the order asked for.
    pub fn read_finished(&mut self, now: Time, batch: Batch, outcome: Outcome<Vec<Option<Row>>>) {
        let Some(flight) = self.flights.get_mut(&batch) else { return };
        let Outcome::Done(rows) = outcome else {
            flight.stage = Stage::Pausing(now + READ_BACK_PAUSE);
            self.failed(now);
            return;
        };
        let flight = self.flights.remove(&batch).expect("it was there");
        self.succeeded();
        for (pending, row) in flight.writes.into_iter().zip(rows).rev() {
            self.judge(pending, row);
        }
    }

    /// Returns the writes that wait or are under way.
    pub fn pending(&self) -> usize {
        self.queue.len() + self.flights.values().map(|flight| flight.writes.len()).sum::<usize>()
    }

    fn judge(&mut self, mut pending: Pending, row: Option<Row>) {
        let value = row.as_ref().map(|row| &row.value);
        let expected = match (pending.write.expect, &row) {
            (Expect::Absent, None) => true,
            (Expect::Version(version), Some(row)) => row.version == version,
            _ => false,
        };
        match &row {
            Some(row) if value == pending.write.value.as_ref() => {
                self.settle(&pending, Written::Applied(row.version));
            }
            _ if expected && pending.tries < TRIES_MAX => {
                pending.tries += 1;
                if !pending.settled {
                    self.queue.push_front(pending);
                }
            }
            _ => self.settle(&pending, Written::Conflict(row)),
        }
    }

    fn settle(&mut self, pending: &Pending, written: Written) {
        if !pending.settled {
            self.ready.push_back(Command::Settle(pending.ticket, written));
        }
    }

    fn read(&mut self, batch: Batch) {
        let Some(flight) = self.flights.get_mut(&batch) else { return };
        flight.stage = Stage::Reading;
        let rows = flight.writes.iter().map(|pending| pending.write.row.clone()).collect();
        self.ready.push_back(Command::Read(batch, rows));
    }

    fn read_again(&mut self, now: Time) {
        let due = |flight: &Flight| matches!(flight.stage, Stage::Pausing(at) if at <= now);
        let batches: Vec<Batch> = self
            .flights
            .iter()
            .filter(|(_, flight)| due(flight))
            .map(|(batch, _)| *batch)
            .collect();
        for batch in batches {
            // Nobody waits for what became of a batch whose writes are all settled.
            if self.flights[&batch].writes.iter().all(|pending| pending.settled) {
                self.flights.remove(&batch);
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
            let reason = "the store is slow".into();
            let written = match pending.traces {
                true => Written::Unknown,
                false => Written::Unavailable { reason, retry_after },
            };
            self.settle(&pending, written);
        }
        for pending in self.flights.values_mut().flat_map(|flight| &mut flight.writes) {
            if pending.deadline <= now && !pending.settled {
                pending.settled = true;
                self.ready.push_back(Command::Settle(pending.ticket, Written::Unknown));
            }
        }
        let flying = self.flights.values().flat_map(|flight| &flight.writes);
        let open = self.queue.iter().chain(flying).filter(|pending| !pending.settled);
        let earliest = open.map(|pending| pending.deadline).min();
        self.no_deadline_before = earliest.unwrap_or(now + NO_DEADLINE_FOR);
    }

    fn is_due(&self, now: Time) -> bool {
        let lingered =
            self.queue.front().is_some_and(|first| first.since + self.config.linger <= now);
        let full = self.queue.len() >= self.config.batch_max;
        (lingered || full) && self.flights.len() < self.config.in_flight_max
    }

    /// Starts a transaction. Two writes of one row never share it.
    fn launch(&mut self, now: Time) {
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
        let transaction = writes.iter().map(|pending| pending.write.clone()).collect();
        self.flights.insert(batch, Flight { stage: Stage::Transacting, began: now, writes });
        self.ready.push_back(Command::Transact(batch, transaction));
    }

    /// Returns the time that a new write would take. One that can go out at once is always let
    /// through, so that a store that was slow is found to be quick again.
    fn expected_wait(&self) -> Duration {
        if self.queue.is_empty() && self.flights.len() < self.config.in_flight_max {
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
