//! Group commit: each write gets its own outcome, and a store that was slow or down is tried again.

use std::time::Duration;

use toucanhoist_core::{
    clock::Time,
    submission::{
        Batch, Batcher, BatcherConfig, Command, Expect, Outcome, Row, Ticket, Write, Written,
    },
};

const DEADLINE: Duration = Duration::from_secs(5);

fn write(row: &str) -> Write {
    Write { row: row.into(), expect: Expect::Absent, value: Some("mine".into()) }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn commands(batcher: &mut Batcher, now: Time) -> Vec<Command> {
    std::iter::from_fn(|| batcher.poll(now)).collect()
}

/// Pushes writes of rows and returns the transaction that they share.
fn transaction(batcher: &mut Batcher, now: Time, rows: &[&str]) -> (Batch, Vec<Write>) {
    for (ticket, row) in (0..).zip(rows) {
        batcher.push(now, Ticket(ticket), write(row), now + DEADLINE).expect("the write is queued");
    }
    match commands(batcher, now + Duration::from_millis(2)).as_slice() {
        [Command::Transact(batch, writes)] => (*batch, writes.clone()),
        other => panic!("one transaction expected: {other:?}"),
    }
}

fn row(value: &str) -> Option<Row> {
    Some(Row { version: 7, value: value.into() })
}

#[test]
fn a_conflict_on_one_row_does_not_fail_other_writes() {
    let mut batcher = Batcher::new(BatcherConfig::default());
    let (batch, writes) = transaction(&mut batcher, at(0), &["a", "b", "c"]);
    assert_eq!(writes.len(), 3);
    batcher.transaction_finished(at(5), batch, &Outcome::Conflict);
    let read = commands(&mut batcher, at(5));
    assert_eq!(read, [Command::Read(batch, vec!["a".into(), "b".into(), "c".into()])]);
    batcher.read_finished(at(8), batch, Outcome::Done(vec![None, row("another's"), None]));
    let next = commands(&mut batcher, at(8));
    let [Command::Settle(ticket, Written::Conflict(found))] = &next[..1] else {
        panic!("a conflict expected: {next:?}")
    };
    assert_eq!((*ticket, found), (Ticket(1), &row("another's")));
    let [Command::Transact(batch, retried)] = &next[1..] else {
        panic!("a transaction of the other writes expected: {next:?}")
    };
    assert_eq!(retried, &[write("a"), write("c")]);
    batcher.transaction_finished(at(12), *batch, &Outcome::Done(9));
    let settled = commands(&mut batcher, at(12));
    let applied = |ticket| Command::Settle(Ticket(ticket), Written::Applied(9));
    assert_eq!(settled, [applied(0), applied(2)]);
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let mut batcher = Batcher::new(BatcherConfig::default());
    let (batch, _) = transaction(&mut batcher, at(0), &["a"]);
    batcher.transaction_finished(at(5), batch, &Outcome::Unknown);
    assert_eq!(commands(&mut batcher, at(5)), [Command::Read(batch, vec!["a".into()])]);
    batcher.read_finished(at(8), batch, Outcome::Done(vec![row("mine")]));
    let settled = commands(&mut batcher, at(8));
    assert_eq!(settled, [Command::Settle(Ticket(0), Written::Applied(7))]);
}

#[test]
fn two_writes_of_one_row_never_share_a_transaction() {
    let mut batcher = Batcher::new(BatcherConfig { in_flight_max: 1, ..BatcherConfig::default() });
    let (_, writes) = transaction(&mut batcher, at(0), &["a", "a", "b"]);
    assert_eq!(writes, [write("a"), write("b")]);
}

#[test]
fn a_store_that_was_slow_is_tried_again() {
    let config = BatcherConfig { in_flight_max: 1, ..BatcherConfig::default() };
    let mut batcher = Batcher::new(config);
    for round in 0..20 {
        let now = at(round * 60_000);
        let (batch, _) = transaction(&mut batcher, now, &["a"]);
        batcher.transaction_finished(now + Duration::from_secs(50), batch, &Outcome::Done(round));
        commands(&mut batcher, now + Duration::from_secs(50));
    }
    let now = at(1_300_000);
    let pushed = batcher.push(now, Ticket(99), write("a"), now + DEADLINE);
    assert_eq!(pushed, Ok(()));
}

#[test]
fn a_store_considered_down_is_tried_again() {
    let mut batcher = Batcher::new(BatcherConfig::default());
    for round in 0..3 {
        let (batch, _) = transaction(&mut batcher, at(round * 10), &["a"]);
        batcher.transaction_finished(at(round * 10 + 5), batch, &Outcome::Unavailable);
        commands(&mut batcher, at(round * 10 + 5));
    }
    let refused = batcher.push(at(30), Ticket(9), write("a"), at(30) + DEADLINE);
    let rejection = refused.expect_err("the store is considered down");
    assert!(rejection.retry_after <= BatcherConfig::default().down_for);
    let later = at(30) + rejection.retry_after;
    assert_eq!(batcher.push(later, Ticket(10), write("a"), later + DEADLINE), Ok(()));
}
