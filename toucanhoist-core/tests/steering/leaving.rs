//! Targets that leave, or want no requests for some time.

use std::{collections::BTreeSet, time::Duration};

use {
    rstest::rstest,
    toucanhoist_core::steering::{
        Attempt, Balancer, Gate, HOLD_MAX, LimitReport, Placement, Refused, TargetState,
        limit::Statement,
    },
};

use crate::support::{
    at, balancer, config, host_name, hosts, name, place, request, settings, target, target_id,
    target_name,
};

/// How a target leaves, or may get no requests.
#[derive(Clone, Copy, Debug)]
enum Cause {
    Entry,
    Removal,
    Answer,
    LaterStart,
    OtherAddress,
    Evacuation,
}

fn leave(balancer: &mut Balancer, millis: u64, cause: Cause) {
    let (now, t1) = (at(millis), target_id("t1"));
    let mut entry = target("n1", 4);
    match cause {
        Cause::Entry => entry.state = TargetState::Draining,
        Cause::LaterStart => entry.born += 1,
        Cause::OtherAddress => entry.address = "10.0.0.9:80".parse().expect("an address"),
        Cause::Removal => return balancer.set_target(now, &t1, None),
        Cause::Answer => return balancer.record_leaving(now, &t1, entry.born),
        Cause::Evacuation => return balancer.set_evacuated(now, BTreeSet::from([name("n1")])),
    }
    balancer.set_target(now, &t1, Some(&entry));
}

#[rstest]
fn a_request_that_was_not_sent_yet_is_not_sent_to_a_target_that_has_left(
    #[values(
        Cause::Entry,
        Cause::Removal,
        Cause::Answer,
        Cause::LaterStart,
        Cause::OtherAddress,
        Cause::Evacuation
    )]
    cause: Cause,
) {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let ticket = place(&mut balancer, at(0), request(1, at(0))).expect("a ticket");
    assert!(ticket.gate.is_open(at(0)));
    leave(&mut balancer, 10, cause);
    assert!(!ticket.gate.is_open(at(10)), "{cause:?}");
    assert!(!ticket.gate.is_open(at(100_000)), "{cause:?}");
}

#[rstest]
#[case::entry(Cause::Entry)]
#[case::answer(Cause::Answer)]
fn an_incarnation_that_leaves_stays_so_whatever_its_entry_says_later(#[case] cause: Cause) {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    leave(&mut balancer, 10, cause);
    // Its entry is written again, lapses and returns.
    let entry = target("n1", 4);
    for (millis, entry) in [(20, Some(&entry)), (30, None), (40, Some(&entry))] {
        balancer.set_target(at(millis), &target_id("t1"), entry);
        let placed = place(&mut balancer, at(millis), request(millis, at(millis)));
        assert!(placed.is_none(), "{cause:?} at {millis}");
    }
    leave(&mut balancer, 50, Cause::LaterStart);
    assert!(place(&mut balancer, at(50), request(50, at(50))).is_some());
}

#[test]
fn a_request_is_refused_at_once_when_the_last_target_has_left() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    leave(&mut balancer, 10, Cause::Answer);
    let placements = balancer.place(at(20), request(1, at(20)));
    assert!(matches!(placements[..], [(1, Placement::Refuse { reason: Refused::NoTarget, .. })]));
}

fn report(text: &str, born: u64) -> LimitReport {
    let statement = Statement { born, version: 0, limit: None, is_leaving: true };
    LimitReport { target: target_id(text), statement, age: Duration::ZERO }
}

#[test]
fn reports_of_other_hosts_count_unless_they_take_all_targets_away() {
    let mut balancer = balancer(&[("t1", "n1", 4), ("t2", "n1", 4)]);
    balancer.merge_limits(at(0), vec![report("t1", 1)]);
    for number in 0..4 {
        let ticket = place(&mut balancer, at(number), request(number, at(number)));
        assert_eq!(ticket.expect("a ticket").target, target_id("t2"));
    }
    // All targets of the service, as a faulty host might report.
    balancer.merge_limits(at(10), vec![report("t2", 1)]);
    assert!(place(&mut balancer, at(10), request(10, at(10))).is_some());
    // An earlier incarnation was meant.
    leave(&mut balancer, 20, Cause::LaterStart);
    let ticket = place(&mut balancer, at(20), request(20, at(20)));
    assert_eq!(ticket.expect("a ticket").target, target_id("t1"));
}

#[test]
fn a_report_does_not_replace_what_the_target_said_itself() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    balancer.merge_limits(at(0), vec![report("t1", 1)]);
    assert!(place(&mut balancer, at(0), request(1, at(0))).is_some());
    leave(&mut balancer, 10, Cause::Answer);
    balancer.merge_limits(at(20), vec![report("t1", 1)]);
    assert!(place(&mut balancer, at(20), request(2, at(20))).is_none());
}

#[rstest]
fn all_hosts_learn_that_a_target_leaves_from_the_one_that_it_told(
    #[values(2, 8, 60, 300)] count: usize,
    #[values(0, 1, 2)] seed: u64,
) {
    let names: Vec<_> = (0..count).map(host_name).collect();
    let all = hosts(&names.iter().map(|name| (name.as_str(), "n1")).collect::<Vec<_>>());
    let mut balancers: Vec<Balancer> = names
        .iter()
        .zip(seed * 1_000..)
        .map(|(name, seed)| {
            let mut own = settings(name.as_str(), "n1");
            own.seed = seed;
            let mut balancer = Balancer::new(own);
            balancer.set_config(at(0), &config());
            balancer.set_hosts(at(0), all.clone());
            for number in 1..3 {
                balancer.set_target(at(0), &target_name(number), Some(&target("n1", 4)));
            }
            balancer
        })
        .collect();
    balancers[0].record_leaving(at(0), &target_name(1), 1);
    // Every third message is lost.
    let mut messages = 0_u32;
    for tick in 0..15 {
        let now = at(tick * 100);
        for index in 0..count {
            for (host, reports) in balancers[index].due_limit_reports(now) {
                messages += 1;
                if messages % 3 != 0 {
                    let to = names.iter().position(|name| *name == host).expect("a host");
                    balancers[to].merge_limits(now, reports);
                }
            }
        }
    }
    let now = at(1_500);
    for (index, balancer) in balancers.iter_mut().enumerate() {
        for number in 0..2 {
            let ticket = place(balancer, now, request(number, now)).expect("a ticket");
            assert_eq!(ticket.target, target_name(2), "host {index} of {count}");
        }
    }
}

#[test]
fn a_target_gets_nothing_for_the_time_that_it_names() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let unsent = place(&mut balancer, at(0), request(1, at(0))).expect("a ticket");
    balancer.hold(at(0), &target_id("t1"), 1, Duration::from_secs(3));
    assert!(!unsent.gate.is_open(at(2_999)) && unsent.gate.is_open(at(3_000)));
    // A shorter time does not end a longer one, and neither does a newer entry.
    balancer.hold(at(10), &target_id("t1"), 1, Duration::from_millis(100));
    balancer.set_target(at(20), &target_id("t1"), Some(&target("n1", 5)));
    let placements = balancer.place(at(500), request(2, at(500)));
    let [(2, Placement::Refuse { reason: Refused::Limited, retry_after })] = placements[..] else {
        panic!("{placements:?}")
    };
    assert!(retry_after >= Duration::from_secs(2), "{retry_after:?}");
    assert!(place(&mut balancer, at(3_000), request(3, at(3_000))).is_some());
}

#[test]
fn a_time_that_a_target_names_outlives_an_entry_that_is_missing_for_a_moment() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let t1 = target_id("t1");
    balancer.hold(at(0), &t1, 1, Duration::from_secs(3));
    balancer.set_target(at(100), &t1, None);
    // Said while the entry is missing, by the answer to an earlier request.
    balancer.hold(at(150), &t1, 1, Duration::from_secs(4));
    balancer.set_target(at(200), &t1, Some(&target("n1", 4)));
    assert!(place(&mut balancer, at(3_500), request(1, at(3_500))).is_none());
    assert!(place(&mut balancer, at(4_150), request(2, at(4_150))).is_some());
    let mut restarted = target("n1", 4);
    restarted.born = 2;
    balancer.hold(at(4_200), &t1, 1, Duration::from_secs(4));
    balancer.set_target(at(4_300), &t1, Some(&restarted));
    assert!(place(&mut balancer, at(4_300), request(3, at(4_300))).is_some(), "a later start");
}

#[test]
fn other_targets_serve_while_one_wants_nothing() {
    let mut balancer = balancer(&[("t1", "n1", 4), ("t2", "n1", 4)]);
    balancer.hold(at(0), &target_id("t1"), 1, Duration::from_secs(3));
    for number in 0..4 {
        let ticket = place(&mut balancer, at(number), request(number, at(number)));
        assert_eq!(ticket.expect("a ticket").target, target_id("t2"));
    }
}

#[rstest]
#[case::another_incarnation(2, Duration::from_secs(3), 0)]
#[case::huge(1, Duration::from_secs(1 << 40), 60_000)]
fn a_time_counts_for_its_incarnation_and_is_bounded(
    #[case] born: u64,
    #[case] time: Duration,
    #[case] open_at: u64,
) {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    balancer.hold(at(0), &target_id("t1"), born, time);
    assert!(Duration::from_millis(open_at) <= HOLD_MAX);
    assert!(place(&mut balancer, at(open_at), request(1, at(open_at))).is_some());
}

#[rstest]
#[case::answer(Cause::Answer)]
#[case::entry(Cause::Entry)]
#[case::evacuation(Cause::Evacuation)]
fn no_tunnel_is_opened_to_a_target_that_takes_no_requests_of_this_host(#[case] cause: Cause) {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let address = target("n1", 4).address;
    assert!(balancer.check_tunnel(at(0), &target_id("t1"), address).is_ok());
    balancer.hold(at(0), &target_id("t1"), 1, Duration::from_secs(1));
    assert!(balancer.check_tunnel(at(999), &target_id("t1"), address).is_err());
    assert!(balancer.check_tunnel(at(1_000), &target_id("t1"), address).is_ok());
    leave(&mut balancer, 2_000, cause);
    assert!(balancer.check_tunnel(at(2_000), &target_id("t1"), address).is_err());
}

#[test]
fn a_withdrawn_repeat_takes_no_second_token_of_the_retry_budget() {
    let mut own = settings("h1", "n1");
    own.retries.ratio = 0.0;
    own.retries.extra = 1.5;
    let mut balancer = Balancer::new(own);
    balancer.set_config(at(0), &config());
    balancer.set_hosts(at(0), hosts(&[("h1", "n1")]));
    for number in 1..4 {
        balancer.set_target(at(0), &target_name(number), Some(&target("n1", 4)));
    }
    let attempt = |number, attempt| {
        let mut request = request(number, at(0));
        request.attempt = attempt;
        request
    };
    assert!(place(&mut balancer, at(0), attempt(1, Attempt::First)).is_some());
    assert!(place(&mut balancer, at(0), attempt(2, Attempt::Retry)).is_some());
    assert!(place(&mut balancer, at(0), attempt(3, Attempt::Unsent)).is_some());
    assert!(place(&mut balancer, at(0), attempt(4, Attempt::Retry)).is_none());
}

#[test]
fn a_gate_that_is_closed_for_good_does_not_open_again() {
    let gate = Gate::default();
    gate.close();
    gate.close_until(at(10));
    assert!(!gate.is_open(at(1_000_000)));
}
