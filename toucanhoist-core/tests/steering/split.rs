//! Regions with fewer slots than callers.

use std::collections::BTreeSet;

use {
    rstest::rstest,
    toucanhoist_core::{
        id,
        steering::{Balancer, Outcome},
    },
};

use crate::support::{answered, ask, at, config, hosts, name, place, settings, target};

/// A desk in `north`, which has `north` targets of its own and as many hosts as `south`.
fn desk(north: usize, south: usize) -> Balancer {
    desk_in("n1", north, south)
}

fn desk_in(data_centre: &str, north: usize, south: usize) -> Balancer {
    let mut desk = Balancer::new(settings("h1", data_centre));
    desk.set_config(at(0), &config());
    desk.set_hosts(hosts(&[("h1", "n1"), ("h2", "s1")]));
    let near = (0..north).map(|number| (format!("n{number}"), "n1"));
    let far = (0..south).map(|number| (format!("s{number}"), "s1"));
    for (text, data_centre) in near.chain(far) {
        desk.set_target(at(0), &name(&text), Some(&target(data_centre, 4)));
    }
    desk
}

/// Runs a request for each of 400 objects, 10 ms apart; returns the objects that went to the south.
fn run(desk: &mut Balancer, from_ms: u64) -> BTreeSet<u64> {
    let mut away = BTreeSet::new();
    for number in 0..400 {
        let now = at(from_ms + number * 10);
        let mut ask = ask(number, now);
        ask.object = Some(number);
        let ticket = place(desk, now, ask).expect("a place");
        if !ticket.target.as_str().starts_with('n') {
            away.insert(number);
        }
        desk.end(now, &ticket, answered(1));
    }
    away
}

#[rstest]
#[case::even(4, 4, 0.0)]
#[case::more_than_its_part(6, 2, 0.0)]
#[case::a_little_less_than_its_part(4, 5, 0.0)]
#[case::half_of_its_part(2, 6, 0.375)]
#[case::a_quarter_of_its_part(1, 7, 0.6875)]
fn a_part_goes_to_other_regions_from_the_start(
    #[case] north: usize,
    #[case] south: usize,
    #[case] expected: f64,
) {
    let away = run(&mut desk(north, south), 0).len() as f64 / 400.0;
    assert!((away - expected).abs() < 0.08, "{away:.2} went away, {expected:.2} planned");
}

#[test]
fn an_object_stays_in_its_region() {
    let mut desk = desk(2, 6);
    let first = run(&mut desk, 0);
    assert_eq!(run(&mut desk, 10_000), first);
}

#[test]
fn the_part_moves_slowly_while_requests_arrive() {
    let mut desk = desk(4, 4);
    assert!(run(&mut desk, 0).is_empty());
    for number in 0..12 {
        let added = name::<id::Target>(&format!("added{number}"));
        desk.set_target(at(4_000), &added, Some(&target("s1", 4)));
    }
    // The plan is 0.5 now. The cap is a tenth in two seconds, and the requests take four.
    let away = run(&mut desk, 4_000).len();
    assert!((10..=80).contains(&away), "{away} of 400 went away");
}

#[test]
fn a_region_serves_its_own_requests_when_the_others_are_gone() {
    let mut desk = desk(2, 6);
    for number in 0..6 {
        desk.set_target(at(0), &name(&format!("s{number}")), None);
    }
    assert!(run(&mut desk, 0).is_empty());
}

#[test]
fn a_region_without_targets_sends_all_its_requests_away_at_once() {
    let mut desk = desk(1, 3);
    run(&mut desk, 0);
    desk.set_target(at(4_000), &name("n0"), None);
    assert_eq!(run(&mut desk, 4_000).len(), 400);
}

#[test]
fn a_region_whose_targets_cannot_be_reached_sends_all_its_requests_away_at_once() {
    let mut desk = desk(2, 6);
    run(&mut desk, 0);
    let mut away = 0;
    for number in 0..100 {
        let now = at(4_000 + number);
        let ticket = place(&mut desk, now, ask(number, now)).expect("a place");
        let is_far = ticket.target.as_str().starts_with('s');
        away += usize::from(is_far);
        desk.end(now, &ticket, if is_far { answered(1) } else { Outcome::Unreachable });
    }
    assert_eq!(away, 98, "each of the two is tried once");
}

#[test]
fn homes_go_before_the_plan() {
    let mut desk = desk(1, 7);
    for number in 0..40 {
        let now = at(number * 10);
        let mut ask = ask(number, now);
        (ask.object, ask.homes) = (Some(number), vec![name("north")]);
        let ticket = place(&mut desk, now, ask).expect("a place");
        assert_eq!(ticket.target.as_str(), "n0");
        desk.end(now, &ticket, answered(1));
    }
}

#[test]
fn hosts_of_a_region_send_the_same_objects_away() {
    assert_eq!(run(&mut desk_in("n1", 2, 6), 0), run(&mut desk_in("n2", 2, 6), 0));
}
