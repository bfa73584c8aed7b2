//! Regions with fewer slots than callers.

use std::collections::BTreeSet;

use {
    rstest::rstest,
    toucanhoist_core::{
        id,
        steering::{Balancer, Outcome},
    },
};

use crate::support::{answered, at, config, hosts, name, place, request, settings, target};

/// A balancer in `north`, which has `north` targets of its own and as many hosts as `south`.
fn balancer(north: usize, south: usize) -> Balancer {
    balancer_in("n1", north, south)
}

fn balancer_in(data_centre: &str, north: usize, south: usize) -> Balancer {
    let mut balancer = Balancer::new(settings("h1", data_centre));
    balancer.set_config(at(0), &config());
    balancer.set_hosts(at(0), hosts(&[("h1", "n1"), ("h2", "s1")]));
    let in_region = (0..north).map(|number| (format!("n{number}"), "n1"));
    let remote = (0..south).map(|number| (format!("s{number}"), "s1"));
    for (text, data_centre) in in_region.chain(remote) {
        balancer.set_target(at(0), &name(&text), Some(&target(data_centre, 4)));
    }
    balancer
}

/// Runs a request for each of 400 objects, 10 ms apart; returns the objects that went to the south.
fn run(balancer: &mut Balancer, from_ms: u64) -> BTreeSet<u64> {
    let mut diverted = BTreeSet::new();
    for number in 0..400 {
        let now = at(from_ms + number * 10);
        let mut request = request(number, now);
        request.object = Some(number);
        let ticket = place(balancer, now, request).expect("a ticket");
        if !ticket.target.as_str().starts_with('n') {
            diverted.insert(number);
        }
        balancer.end(now, &ticket, answered(1));
    }
    diverted
}

#[rstest]
#[case::even(4, 4, 0.0)]
#[case::more_than_its_share(6, 2, 0.0)]
#[case::a_little_less_than_its_share(4, 5, 0.0)]
#[case::half_of_its_share(2, 6, 0.375)]
#[case::a_quarter_of_its_share(1, 7, 0.6875)]
fn a_share_goes_to_other_regions_from_the_start(
    #[case] north: usize,
    #[case] south: usize,
    #[case] expected: f64,
) {
    let diverted = run(&mut balancer(north, south), 0).len() as f64 / 400.0;
    assert!((diverted - expected).abs() < 0.08, "{diverted:.2} diverted, {expected:.2} planned");
}

#[test]
fn an_object_stays_in_its_region() {
    let mut balancer = balancer(2, 6);
    let first = run(&mut balancer, 0);
    assert_eq!(run(&mut balancer, 10_000), first);
}

#[test]
fn the_share_moves_slowly_while_requests_arrive() {
    let mut balancer = balancer(4, 4);
    assert!(run(&mut balancer, 0).is_empty());
    for number in 0..12 {
        let added = name::<id::Target>(&format!("added{number}"));
        balancer.set_target(at(4_000), &added, Some(&target("s1", 4)));
    }
    // The plan is 0.5 now. The cap is a tenth in two seconds, and the requests take four.
    let diverted = run(&mut balancer, 4_000).len();
    assert!((10..=80).contains(&diverted), "{diverted} of 400 diverted");
}

#[test]
fn a_region_serves_its_own_requests_when_the_others_are_gone() {
    let mut balancer = balancer(2, 6);
    for number in 0..6 {
        balancer.set_target(at(0), &name(&format!("s{number}")), None);
    }
    assert!(run(&mut balancer, 0).is_empty());
}

#[test]
fn a_region_without_targets_diverts_all_its_requests_at_once() {
    let mut balancer = balancer(1, 3);
    run(&mut balancer, 0);
    balancer.set_target(at(4_000), &name("n0"), None);
    assert_eq!(run(&mut balancer, 4_000).len(), 400);
}

#[test]
fn a_region_whose_targets_are_unreachable_diverts_all_its_requests_at_once() {
    let mut balancer = balancer(2, 6);
    run(&mut balancer, 0);
    let mut diverted = 0;
    for number in 0..100 {
        let now = at(4_000 + number);
        let ticket = place(&mut balancer, now, request(number, now)).expect("a ticket");
        let is_remote = ticket.target.as_str().starts_with('s');
        diverted += usize::from(is_remote);
        balancer.end(now, &ticket, if is_remote { answered(1) } else { Outcome::Unreachable });
    }
    assert_eq!(diverted, 98, "each of the two is tried once");
}

#[test]
fn homes_take_precedence_over_the_plan() {
    let mut balancer = balancer(1, 7);
    for number in 0..40 {
        let now = at(number * 10);
        let mut request = request(number, now);
        (request.object, request.homes) = (Some(number), vec![name("north")]);
        let ticket = place(&mut balancer, now, request).expect("a ticket");
        assert_eq!(ticket.target.as_str(), "n0");
        balancer.end(now, &ticket, answered(1));
    }
}

#[test]
fn hosts_of_a_region_divert_the_same_objects() {
    assert_eq!(run(&mut balancer_in("n1", 2, 6), 0), run(&mut balancer_in("n2", 2, 6), 0));
}
