//! The parts of hosts in the limit of a target.

use std::time::Duration;

use {
    rstest::rstest,
    toucanhoist_core::{
        clock::Time,
        steering::limit::{Place, Turns},
        unit::Rate,
    },
};

use crate::support::at;

fn turns(limit: f64, position: usize, near: usize, hosts: usize) -> Turns {
    Turns::new(at(0), Rate::per_second(limit), Place { position, near, hosts })
}

/// Returns how many requests a host may send from a time on, at most 1,000.
fn burst(turns: &mut Turns, now: Time, confirmed_at: Time) -> usize {
    let sent = (0..1_000).take_while(|_| {
        let is_allowed = turns.wait(now, confirmed_at) == Some(Duration::ZERO);
        if is_allowed {
            turns.send(now, confirmed_at);
        }
        is_allowed
    });
    sent.count()
}

#[rstest]
fn bursts_of_all_hosts_stay_within_the_bound_and_every_holder_may_send(
    #[values(0.0, 0.1, 0.5, 1.0, 2.3, 9.9, 24.0, 100.0)] limit: f64,
    #[values(1, 2, 3, 8, 49, 300)] near: usize,
) {
    // Long enough for each bucket to fill, while answers go on naming the limit.
    let now = at(1_000_000);
    let bursts: Vec<usize> = (0..near)
        .map(|position| burst(&mut turns(limit, position, near, near), now, now))
        .collect();
    let sum: usize = bursts.iter().sum();
    let most = 1.0 + 2.0 * limit.max(0.1);
    assert!(sum >= 1 && sum as f64 <= most, "{sum} requests at once, {most} allowed");
    let holders = near.min(most as usize);
    assert!(bursts[..holders].iter().all(|burst| *burst >= 1), "{bursts:?}");
    assert!(bursts[holders..].iter().all(|burst| *burst == 0), "{bursts:?}");
}

#[test]
fn a_host_that_starts_sends_nothing_at_once() {
    let mut turns = turns(2.0, 0, 1, 1);
    assert_eq!(turns.wait(at(0), at(0)).expect("a part").as_millis(), 500);
    assert_eq!(burst(&mut turns, at(499), at(0)), 0);
    assert_eq!(burst(&mut turns, at(501), at(0)), 1);
}

/// Three hosts hold the rate of 1/s; the two others take turns of 3 s once no answer has come for 3
/// s.
#[test]
fn hosts_without_a_part_ask_one_after_the_other_when_the_target_is_silent() {
    let mut asked = Vec::new();
    for position in 3..5 {
        let mut turns = turns(1.0, position, 5, 5);
        for millis in (0..15_000).step_by(10) {
            let sent = burst(&mut turns, at(millis), at(0));
            asked.extend((0..sent).map(|_| (millis / 1_000, position)));
        }
    }
    asked.sort_unstable();
    assert_eq!(asked, [(3, 3), (6, 4), (9, 3), (12, 4)]);
}
