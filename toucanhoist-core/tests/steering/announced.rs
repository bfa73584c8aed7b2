//! Limits that targets announce in their answers.

use std::time::Duration;

use {
    rstest::rstest,
    toucanhoist_core::{
        steering::{
            Announced, Balancer, Outcome, Report,
            limit::{Learned, Source},
        },
        unit::Rate,
    },
};

use crate::support::{answered, at, balancer, place, request, target_id};

const FULL: Report = Report { running: 4, waiting: 0, slots: 4 };

#[rstest]
#[case::none(None, Announced::Unlimited)]
#[case::decimal(Some("2.3"), Announced::Limit(Rate::per_second(2.3)))]
#[case::whole(Some("7"), Announced::Limit(Rate::per_second(7.0)))]
#[case::spaces(Some(" 0.5 "), Announced::Limit(Rate::per_second(0.5)))]
#[case::zero(Some("0"), Announced::Limit(Rate::per_second(0.0)))]
#[case::negative(Some("-1"), Announced::Unreadable)]
#[case::infinite(Some("inf"), Announced::Unreadable)]
#[case::not_a_number(Some("nan"), Announced::Unreadable)]
#[case::text(Some("many"), Announced::Unreadable)]
#[case::empty(Some(""), Announced::Unreadable)]
fn a_header_is_read_as_a_rate(#[case] value: Option<&str>, #[case] expected: Announced) {
    assert_eq!(Announced::parse(value), expected);
}

/// Sends one request to the only target, which answers with `outcome`; returns the limit that the
/// host knew when it sent the request.
fn send(balancer: &mut Balancer, millis: u64, outcome: Outcome) -> Option<Rate> {
    let ticket = place(balancer, at(millis), request(millis, at(millis))).expect("a ticket");
    balancer.end(at(millis + 10), &ticket, outcome);
    ticket.limit
}

fn announcing(announced: Announced) -> Outcome {
    Outcome::Answered { took: Duration::from_millis(10), report: None, announced, failed: false }
}

#[test]
fn a_host_reports_each_change_of_a_limit_and_states_the_limit_that_it_knows() {
    let (two, three) = (Rate::per_second(2.0), Rate::per_second(3.0));
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let answers = [
        (answered(10), None, None),
        (announcing(Announced::Limit(two)), None, Some(Some(two))),
        (announcing(Announced::Limit(two)), Some(two), None),
        (announcing(Announced::Limit(three)), Some(two), Some(Some(three))),
        (announcing(Announced::Unreadable), Some(three), None),
        (Outcome::Shed { report: Some(FULL), announced: Announced::Unlimited }, Some(three), None),
        (Outcome::Broken, Some(three), None),
        (answered(10), Some(three), Some(None)),
    ];
    for (number, (outcome, known, change)) in (0..).zip(answers) {
        // Far enough apart for every limit.
        assert_eq!(send(&mut balancer, number * 10_000, outcome), known, "answer {number}");
        let learned = |limit| Learned {
            target: target_id("t1"),
            limit,
            is_leaving: false,
            source: Source::Answer,
        };
        let changes: Vec<_> = change.map(learned).into_iter().collect();
        assert_eq!(balancer.take_learned_limits(), changes, "answer {number}");
    }
}
