use std::{collections::BTreeSet, time::Duration};

use {
    rstest::rstest,
    toucanhoist_core::steering::{
        Announced, Attempt, Balancer, Outcome, Placement, Refused, Report, Settings, TargetState,
        Ticket,
    },
};

use crate::support::{
    answered, at, balancer, config, eight_hosts, name, place, request, settings, target, target_id,
};

const NORTH: [(&str, &str, u32); 4] =
    [("t1", "n1", 4), ("t2", "n1", 4), ("t3", "n2", 4), ("t4", "n2", 4)];

#[test]
fn requests_for_an_object_go_to_the_same_target_from_all_hosts() {
    let mut firsts = BTreeSet::new();
    for object in 0..40 {
        let mut chosen = BTreeSet::new();
        for (host, data_centre) in [("h1", "n1"), ("h2", "n1"), ("h3", "n2")] {
            let mut balancer = Balancer::new(settings(host, data_centre));
            balancer.set_config(at(0), &config());
            for (text, data_centre, slots) in NORTH {
                balancer.set_target(at(0), &name(text), Some(&target(data_centre, slots)));
            }
            let mut request = request(1, at(0));
            request.object = Some(object);
            chosen.insert(place(&mut balancer, at(0), request).expect("a ticket").target);
        }
        assert_eq!(chosen.len(), 1, "object {object} goes to {chosen:?}");
        firsts.extend(chosen);
    }
    assert_eq!(firsts.len(), NORTH.len(), "objects are spread over all targets");
}

#[test]
fn an_object_waits_for_its_target_a_little_and_goes_to_another_rather_than_be_refused() {
    let mut balancer = balancer(&NORTH);
    let mut sent = Vec::new();
    for number in 0..16 {
        let mut request = request(number, at(0));
        request.object = Some(7);
        for (_, placement) in balancer.place(at(0), request) {
            match placement {
                Placement::Send(ticket) => sent.push(ticket.target),
                Placement::Refuse { reason, .. } => panic!("{reason:?} while targets are idle"),
            }
        }
    }
    let first = sent[0].clone();
    let count_there = sent.iter().filter(|target| **target == first).count();
    assert_eq!(count_there, 5, "its target is full before others are used");
    assert!(sent.len() > count_there, "others are used");
    assert!(sent.len() < 16, "some wait for their target");
}

/// Fills the only target of a balancer, which has four slots; returns the tickets.
fn fill(balancer: &mut Balancer) -> Vec<Ticket> {
    (100..105).filter_map(|number| place(balancer, at(0), request(number, at(0)))).collect()
}

#[test]
fn a_request_that_finds_no_room_waits_until_one_ends() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let tickets = fill(&mut balancer);
    assert_eq!(tickets.len(), 5, "four in slots, one in the target's queue");
    assert!(place(&mut balancer, at(0), request(3, at(0))).is_none());
    assert!(balancer.is_waiting());
    assert!(balancer.poll(at(10)).is_empty());
    balancer.end(at(20), &tickets[0], answered(20));
    let decided = balancer.poll(at(20));
    assert!(matches!(&decided[..], [(3, Placement::Send(_))]), "{decided:?}");
    assert!(!balancer.is_waiting());
}

#[test]
fn a_request_that_waited_too_long_for_its_objective_is_refused() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    fill(&mut balancer);
    assert!(place(&mut balancer, at(0), request(2, at(0))).is_none());
    assert!(balancer.poll(at(50)).is_empty());
    let decided = balancer.poll(at(599));
    assert!(
        matches!(&decided[..], [(2, Placement::Refuse { reason: Refused::NoRoom, .. })]),
        "{decided:?}"
    );
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    fill(&mut balancer);
    let mut refused = 0;
    for number in 0..40 {
        for (decided, placement) in balancer.place(at(1), request(number, at(1))) {
            assert_eq!(decided, number, "those before it have better prospects");
            assert!(matches!(placement, Placement::Refuse { reason: Refused::NoRoom, .. }));
            refused += 1;
        }
    }
    assert!((30..40).contains(&refused), "{refused} of 40 refused at once");
}

#[test]
fn the_most_urgent_request_gets_the_next_place() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let tickets = fill(&mut balancer);
    for (number, priority) in [(3, 2), (4, 0), (5, 1)] {
        let mut request = request(number, at(0));
        request.priority = priority;
        assert!(place(&mut balancer, at(0), request).is_none());
    }
    balancer.end(at(5), &tickets[0], answered(5));
    let decided = balancer.poll(at(5));
    assert!(
        decided.iter().any(|(number, p)| *number == 4 && matches!(p, Placement::Send(_))),
        "{decided:?}"
    );
}

#[test]
fn a_cancelled_request_is_not_placed() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let tickets = fill(&mut balancer);
    assert!(place(&mut balancer, at(0), request(3, at(0))).is_none());
    balancer.cancel(3);
    balancer.end(at(5), &tickets[0], answered(5));
    assert!(balancer.poll(at(5)).is_empty());
}

#[rstest]
#[case::draining(|balancer: &mut Balancer| {
    let mut leaving = target("n1", 4);
    leaving.state = TargetState::Draining;
    balancer.set_target(at(1), &target_id("t1"), Some(&leaving));
})]
#[case::gone(|balancer: &mut Balancer| balancer.set_target(at(1), &target_id("t1"), None))]
#[case::evacuated(|balancer: &mut Balancer| balancer.set_evacuated(at(1), BTreeSet::from([name("n1")])))]
#[case::other_service(|balancer: &mut Balancer| {
    let mut moved = target("n1", 4);
    moved.service = name("cuts");
    balancer.set_target(at(1), &target_id("t1"), Some(&moved));
})]
fn a_target_that_may_not_be_used_gets_nothing(#[case] change: fn(&mut Balancer)) {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    change(&mut balancer);
    let decided = balancer.place(at(2), request(1, at(2)));
    assert!(
        matches!(&decided[..], [(1, Placement::Refuse { reason: Refused::NoTarget, .. })]),
        "{decided:?}"
    );
}

#[test]
fn requests_stay_in_their_home_regions() {
    let mut balancer = balancer(&[("t1", "n1", 1), ("t2", "s1", 4)]);
    let mut south = request(1, at(0));
    south.homes = vec![name("south")];
    // Crossing to another region is capped, so the request may not be placed at first.
    assert!(place(&mut balancer, at(0), south).is_none_or(|ticket| ticket.target.as_str() == "t2"));
    let mut north = request(2, at(0));
    north.homes = vec![name("north")];
    assert_eq!(place(&mut balancer, at(0), north).expect("a ticket").target.as_str(), "t1");
}

#[test]
fn few_requests_change_the_region_at_once() {
    let mut balancer = balancer(&[("t1", "n1", 1), ("t2", "s1", 200)]);
    let mut crossed = 0;
    for number in 0..200 {
        let now = at(number * 10);
        for (_, placement) in balancer.place(now, request(number, now)) {
            let Placement::Send(ticket) = placement else { continue };
            crossed += u32::from(ticket.target.as_str() == "t2");
        }
    }
    assert!((1..=20).contains(&crossed), "{crossed} of 200 crossed, the cap is a tenth");
}

#[test]
fn a_cold_target_gets_a_share_of_its_rate() {
    let mut balancer = balancer(&[("t1", "n1", 100)]);
    balancer.set_hosts(at(0), eight_hosts());
    let mut cold = target("n1", 100);
    (cold.cold_left, cold.born) = (Duration::from_secs(3), 2);
    balancer.set_target(at(0), &target_id("t1"), Some(&cold));
    let sent =
        (0..100).filter(|n| place(&mut balancer, at(n * 9), request(*n, at(n * 9))).is_some());
    // 9 x 1.5 + 5 requests a second over eight hosts.
    assert!((2..=3).contains(&sent.count()));
}

/// Eight hosts are killed and serve again 300 ms later.
#[test]
fn a_cold_target_gets_no_more_than_it_tolerates_when_hosts_restart() {
    let mut cold = target("n1", 100);
    cold.cold_left = Duration::from_secs(3);
    let start = |millis: u64, number: usize| {
        let settings =
            Settings { restarted: Some(at(millis)), ..settings(&format!("h{number}"), "n1") };
        let mut balancer = Balancer::new(settings);
        balancer.set_config(at(millis), &config());
        balancer.set_hosts(at(millis), eight_hosts());
        balancer.set_target(at(millis), &target_id("t1"), Some(&cold));
        balancer
    };
    // The hosts started long before the first request.
    let mut hosts: Vec<Balancer> = (1..=8).map(|number| start(0, number)).collect();
    let mut sent = Vec::new();
    for millis in (2_000..5_000).step_by(10) {
        if millis == 2_500 {
            hosts = (1..=8).map(|number| start(2_800, number)).collect();
        }
        if (2_500..2_800).contains(&millis) {
            continue;
        }
        for (number, host) in (0..).zip(&mut hosts) {
            let decided = host.place(at(millis), request(millis * 8 + number, at(millis)));
            let is_sent =
                |(_, placement): &&(u64, Placement)| matches!(placement, Placement::Send(_));
            sent.extend(decided.iter().filter(is_sent).map(|_| millis));
        }
    }
    let within = |from: u64| sent.iter().filter(|at| (from..from + 1_000).contains(*at)).count();
    let most = sent.iter().map(|from| within(*from)).max().unwrap_or(0);
    // 9 requests a second x 1.5 + 5.
    assert!(most <= 18, "{most} requests in a second");
    assert!(sent.iter().any(|sent| *sent > 2_800), "restarted hosts use it again");
}

// Guards against a cold target that crashes because hosts add to its rate which the others do not know of.
#[test]
fn a_cold_target_gets_no_more_than_it_tolerates_beside_hosts_that_have_not_registered() {
    let mut cold = target("n1", 100);
    cold.cold_left = Duration::from_secs(3);
    let start = |number: usize| {
        let mut balancer = Balancer::new(settings(&format!("h{number}"), "n1"));
        balancer.set_config(at(0), &config());
        balancer.set_hosts(at(0), eight_hosts());
        balancer.set_target(at(0), &target_id("t1"), Some(&cold));
        balancer
    };
    let mut hosts: Vec<Balancer> = (1..=14).map(start).collect();
    let mut sent = 0;
    for millis in (0..1_000).step_by(10) {
        for (number, host) in (0..).zip(&mut hosts) {
            let decided = host.place(at(millis), request(millis * 14 + number, at(millis)));
            let is_sent =
                |(_, placement): &&(u64, Placement)| matches!(placement, Placement::Send(_));
            sent += decided.iter().filter(is_sent).count();
        }
    }
    // 9 requests a second x 1.5 + 5.
    assert!((8..=18).contains(&sent), "{sent} requests in a second");
}

#[test]
fn targets_of_a_data_centre_whose_evacuation_ends_count_as_cold() {
    let mut balancer = balancer(&[("t1", "n1", 100)]);
    balancer.set_hosts(at(0), eight_hosts());
    balancer.set_evacuated(at(0), BTreeSet::from([name("n1")]));
    balancer.set_evacuated(at(5_000), BTreeSet::new());
    let sent = (0..100)
        .filter(|n| place(&mut balancer, at(5_001 + n), request(*n, at(5_001 + n))).is_some());
    assert!((2..=3).contains(&sent.count()));
}

#[test]
fn an_unreachable_target_is_not_used_for_a_while() {
    let mut balancer = balancer(&[("t1", "n1", 4), ("t2", "n1", 4)]);
    let ticket = place(&mut balancer, at(0), request(1, at(0))).expect("a ticket");
    balancer.end(at(1), &ticket, Outcome::Unreachable);
    let others: Vec<Ticket> =
        (2..6).filter_map(|n| place(&mut balancer, at(2), request(n, at(2)))).collect();
    assert!(others.iter().all(|other| other.target != ticket.target));
}

#[test]
fn an_address_that_another_target_has_is_not_used_until_the_entry_changes() {
    let mut balancer = balancer(&[("t1", "n1", 4)]);
    let ticket = place(&mut balancer, at(0), request(1, at(0))).expect("a ticket");
    balancer.end(at(1), &ticket, Outcome::Misdirected);
    assert!(place(&mut balancer, at(60_000), request(2, at(60_000))).is_none());
    let mut moved = target("n1", 4);
    moved.address = "10.0.0.2:80".parse().expect("an address");
    balancer.set_target(at(60_001), &target_id("t1"), Some(&moved));
    assert!(place(&mut balancer, at(60_002), request(3, at(60_002))).is_some());
}

#[test]
fn load_of_other_hosts_counts() {
    let mut balancer = balancer(&[("t1", "n1", 4), ("t2", "n1", 4)]);
    let ticket = place(&mut balancer, at(0), request(1, at(0))).expect("a ticket");
    let report = Some(Report { running: 4, waiting: 3, slots: 4 });
    let took = Duration::from_millis(50);
    balancer.end(
        at(50),
        &ticket,
        Outcome::Answered { took, report, announced: Announced::Unlimited, failed: false },
    );
    let next = place(&mut balancer, at(51), request(2, at(51))).expect("a ticket");
    assert_ne!(next.target, ticket.target);
}

#[test]
fn a_slow_target_gets_fewer_requests_and_is_tried_again() {
    let mut balancer = balancer(&[("t1", "n1", 4), ("t2", "n1", 4)]);
    let mut counts = [0, 0];
    for number in 0..400 {
        let now = at(number * 100);
        let ticket = place(&mut balancer, now, request(number, now)).expect("a ticket");
        let slow = ticket.target.as_str() == "t1";
        counts[usize::from(!slow)] += 1;
        let took = if slow { 3_000 } else { 300 };
        balancer.end(now + Duration::from_millis(99), &ticket, answered(took));
    }
    assert!(counts[0] * 4 < counts[1], "{counts:?}");
    assert!(counts[0] >= 3, "{counts:?}");
}

#[rstest]
#[case::retry(Attempt::Retry, 1, 7)]
#[case::unsent(Attempt::Unsent, 100, 100)]
fn only_attempts_after_a_target_received_the_request_count_as_retries(
    #[case] attempt: Attempt,
    #[case] least: usize,
    #[case] most: usize,
) {
    let mut balancer = balancer(&[("t1", "n1", 1_000)]);
    // The extra retries of the fleet are divided by its hosts: 56 / 8.
    balancer.set_hosts(at(0), eight_hosts());
    let placed = (0..100).filter(|number| {
        let mut request = request(*number, at(0));
        request.attempt = attempt;
        let ticket = place(&mut balancer, at(0), request);
        ticket.inspect(|ticket| balancer.end(at(0), ticket, answered(1))).is_some()
    });
    let placed = placed.count();
    assert!((least..=most).contains(&placed), "{placed}");
}

/// Sends 200 requests, 50 ms apart, to two targets of which `t1` never answers; returns how many
/// went there. Requests to it end as `outcome` after `after_ms`.
fn sent_to_a_silent_target(outcome: Outcome, after_ms: u64) -> usize {
    let mut balancer = balancer(&[("t1", "n1", 40), ("t2", "n1", 40)]);
    let mut silent: Vec<(u64, Ticket)> = Vec::new();
    let mut sent = 0;
    for number in 0..200 {
        let now_ms = number * 50;
        while silent.first().is_some_and(|(end_ms, _)| *end_ms <= now_ms) {
            let (end_ms, ticket) = silent.remove(0);
            balancer.end(at(end_ms), &ticket, outcome);
        }
        let now = at(now_ms);
        let mut request = request(number, now);
        request.object = Some(number % 20);
        let Some(ticket) = place(&mut balancer, now, request) else { continue };
        if ticket.target.as_str() == "t1" {
            sent += 1;
            silent.push((now_ms + after_ms, ticket));
        } else {
            balancer.end(at(now_ms + 49), &ticket, answered(300));
        }
    }
    sent
}

#[rstest]
#[case::at_its_deadline(Outcome::Unanswered, 2_000, 24)]
#[case::by_its_caller(Outcome::Abandoned, 1_500, 40)]
fn a_target_that_leaves_requests_without_an_answer_gets_few(
    #[case] outcome: Outcome,
    #[case] after_ms: u64,
    #[case] most: usize,
) {
    let sent = sent_to_a_silent_target(outcome, after_ms);
    assert!((1..=most).contains(&sent), "{sent} of 200 went to a target that never answers");
}

#[test]
fn a_request_abandoned_early_does_not_count_against_its_target() {
    let sent = sent_to_a_silent_target(Outcome::Abandoned, 100);
    assert!((60..=140).contains(&sent), "{sent} of 200");
}

#[test]
fn targets_with_the_largest_counts_end_no_decision() {
    let targets = ["t1", "t2", "t3"].map(|target| (target, "n1", u32::MAX));
    let mut balancer = balancer(&targets);
    balancer.set_hosts(at(0), eight_hosts());
    for number in 0..20 {
        let now = at(number * 100);
        // Targets that report so much are full, and later requests wait.
        let Some(ticket) = place(&mut balancer, now, request(number, now)) else { continue };
        let report = Report { running: u32::MAX, waiting: u32::MAX, slots: u32::MAX };
        let outcome = Outcome::Answered {
            took: Duration::from_millis(100),
            report: Some(report),
            announced: Announced::Unlimited,
            failed: false,
        };
        balancer.end(now, &ticket, outcome);
    }
}
