//! Statements of targets about their limits, as they arrive in whatever order.

use std::time::Duration;

use {
    rstest::rstest,
    toucanhoist_core::{
        steering::{Announced, Balancer, LimitReport, Outcome, Ticket, limit::Statement},
        unit::Rate,
    },
};

use crate::support::{at, balancer, hosts, place, request, target_id};

fn rate(per_second: f64) -> Rate {
    Rate::per_second(per_second)
}

fn said(born: u64, version: u64, limit: Option<f64>) -> Statement {
    Statement { born, version, limit: limit.map(rate), is_leaving: false }
}

#[rstest]
#[case::later_version(said(1, 2, None), said(1, 1, Some(2.0)), true)]
#[case::earlier_version(said(1, 1, Some(2.0)), said(1, 2, None), false)]
#[case::later_start(said(2, 1, None), said(1, 9, Some(2.0)), true)]
#[case::earlier_start(said(1, 9, Some(2.0)), said(2, 1, None), false)]
#[case::lower_at_once(said(1, 3, Some(1.0)), said(1, 3, Some(2.0)), true)]
#[case::higher_at_once(said(1, 3, Some(2.0)), said(1, 3, Some(1.0)), false)]
#[case::limit_at_once(said(1, 3, Some(9.0)), said(1, 3, None), true)]
#[case::none_at_once(said(1, 3, None), said(1, 3, Some(9.0)), false)]
#[case::same(said(1, 3, Some(2.0)), said(1, 3, Some(2.0)), false)]
fn the_latest_statement_wins_and_the_stricter_one_of_two_at_once(
    #[case] statement: Statement,
    #[case] other: Statement,
    #[case] expected: bool,
) {
    assert_eq!(statement.supersedes(&other), expected);
}

fn report(statement: Statement) -> LimitReport {
    LimitReport { target: target_id("t1"), statement, age: Duration::ZERO }
}

/// Sends a request at a time at which every limit allows one.
fn send(balancer: &mut Balancer, millis: u64) -> Ticket {
    place(balancer, at(millis), request(millis, at(millis))).expect("a ticket")
}

fn end(balancer: &mut Balancer, millis: u64, ticket: &Ticket, announced: Announced) {
    let took = Duration::from_millis(200);
    let outcome = Outcome::Answered { took, report: None, announced, failed: false };
    balancer.end(at(millis), ticket, outcome);
}

#[rstest]
#[case::no_limit(Announced::Unlimited)]
#[case::higher_limit(Announced::Limit(rate(9.0)))]
fn an_answer_to_an_earlier_request_does_not_ease_a_limit(#[case] announced: Announced) {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let early = send(&mut balancer, 0);
    balancer.merge_limits(at(100), vec![report(said(1, 1, Some(2.0)))]);
    end(&mut balancer, 200, &early, announced);
    let later = send(&mut balancer, 20_000);
    assert_eq!(later.limit, Some(rate(2.0)));
    end(&mut balancer, 20_200, &later, announced);
    let expected = match announced {
        Announced::Limit(limit) => Some(limit),
        Announced::Unlimited | Announced::Unreadable | Announced::Recorded => None,
    };
    assert_eq!(send(&mut balancer, 40_000).limit, expected, "it answers a later request");
}

#[test]
fn an_answer_to_an_earlier_request_lowers_a_limit() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let early = send(&mut balancer, 0);
    balancer.merge_limits(at(100), vec![report(said(1, 1, Some(2.0)))]);
    end(&mut balancer, 200, &early, Announced::Limit(rate(1.0)));
    assert_eq!(send(&mut balancer, 20_000).limit, Some(rate(1.0)));
}

#[test]
fn a_late_report_does_not_bring_back_a_limit_that_has_ended() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let limited = report(said(1, 1, Some(2.0)));
    balancer.merge_limits(at(0), vec![limited.clone()]);
    balancer.merge_limits(at(100), vec![report(said(1, 2, None))]);
    balancer.merge_limits(at(200), vec![limited]);
    assert_eq!(send(&mut balancer, 300).limit, None);
}

/// Runs what a host does at intervals.
fn process(balancer: &mut Balancer, from: u64, to: u64) {
    for millis in (from..to).step_by(100) {
        balancer.due_limit_reports(at(millis));
    }
}

#[test]
fn a_report_that_is_half_a_minute_late_does_not_bring_back_a_limit() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let limited = report(said(1, 1, Some(2.0)));
    balancer.merge_limits(at(0), vec![limited.clone()]);
    balancer.merge_limits(at(100), vec![report(said(1, 2, None))]);
    process(&mut balancer, 100, 30_000);
    balancer.merge_limits(at(30_000), vec![limited]);
    assert_eq!(send(&mut balancer, 30_100).limit, None);
}

#[test]
fn a_limit_is_kept_while_the_entry_of_its_target_is_missing() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    balancer.merge_limits(at(0), vec![report(said(1, 1, Some(2.0)))]);
    balancer.set_target(at(100), &target_id("t1"), None);
    process(&mut balancer, 100, 30_000);
    let entry = crate::support::target("n1", 4);
    balancer.set_target(at(30_000), &target_id("t1"), Some(&entry));
    assert_eq!(send(&mut balancer, 40_000).limit, Some(rate(2.0)));
}

/// The first reports of a statement are lost, and the target answers the other host only.
#[test]
fn a_host_that_missed_the_first_reports_is_told_of_a_limit() {
    let mut told = balancer(&[("t1", "n1", 4)]);
    let mut missed = balancer(&[("t1", "n1", 4)]);
    told.set_hosts(at(0), hosts(&[("h1", "n1"), ("h2", "n1")]));
    told.merge_limits(at(0), vec![report(said(1, 1, Some(2.0)))]);
    process(&mut told, 0, 5_000);
    for millis in (5_000..6_000).step_by(100) {
        for reports in told.due_limit_reports(at(millis)).into_values() {
            missed.merge_limits(at(millis), reports);
        }
    }
    assert_eq!(missed.limited_targets(), 1);
}

#[test]
fn the_end_of_a_long_answer_does_not_bring_back_a_limit_that_ended_meanwhile() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let long = send(&mut balancer, 0);
    balancer.record_announced(at(200), &long, Announced::Limit(rate(2.0)));
    let later = send(&mut balancer, 20_000);
    end(&mut balancer, 20_200, &later, Announced::Unlimited);
    end(&mut balancer, 30_000, &long, Announced::Recorded);
    assert_eq!(send(&mut balancer, 40_000).limit, None);
}

#[test]
fn a_report_with_the_largest_version_does_not_end_the_order_of_statements() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    balancer.merge_limits(at(0), vec![report(said(1, u64::MAX, Some(2.0)))]);
    balancer.merge_limits(at(100), vec![report(said(1, 1, Some(3.0)))]);
    let ticket = send(&mut balancer, 20_000);
    assert_eq!(ticket.limit, Some(rate(3.0)));
    end(&mut balancer, 20_200, &ticket, Announced::Unlimited);
    assert_eq!(send(&mut balancer, 40_000).limit, None);
}

#[test]
fn a_report_about_an_earlier_incarnation_is_not_applied() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    balancer.merge_limits(at(0), vec![report(said(0, 5, Some(2.0)))]);
    assert_eq!(send(&mut balancer, 100).limit, None);
}

#[test]
fn a_report_about_a_target_that_is_not_known_yet_is_applied_later() {
    let mut balancer = balancer(&[]);
    balancer.merge_limits(at(0), vec![report(said(1, 1, Some(2.0)))]);
    let entry = crate::support::target("n1", 4);
    balancer.set_target(at(100), &target_id("t1"), Some(&entry));
    assert_eq!(send(&mut balancer, 20_000).limit, Some(rate(2.0)));
}
