use std::time::Duration;

use {
    rstest::rstest,
    toucanhoist_core::steering::{ColdLimit, RetryBudget, RetryTerms},
};

use crate::support::at;

const TERMS: RetryTerms = RetryTerms { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) };

#[rstest]
#[case::quiet(0)]
#[case::busy(50)]
#[case::very_busy(400)]
fn retries_of_all_hosts_stay_within_the_terms(#[case] per_s: u64) {
    let hosts = 8;
    let pause_ms = 1_000_u64.checked_div(per_s);
    let mut budgets = vec![RetryBudget::default(); hosts];
    let mut retries = Vec::new();
    for millis in 0..40_000_u64 {
        for budget in &mut budgets {
            if pause_ms.is_some_and(|pause| millis % pause == 0) {
                budget.request(at(millis), &TERMS);
            }
            if budget.take(at(millis), &TERMS, hosts) {
                retries.push(millis);
            }
        }
    }
    let requests_in_window = pause_ms.map_or(0, |pause| 10_000 / pause * 8);
    let allowed = 0.2 * f64::from(u32::try_from(requests_in_window).expect("few")) + 56.0;
    for start in (0..30_000).step_by(500) {
        let inside = retries.iter().filter(|at| (start..start + 10_000).contains(*at)).count();
        let inside = f64::from(u32::try_from(inside).expect("few"));
        assert!(inside <= allowed, "{inside} retries from {start} ms, {allowed} allowed");
    }
    assert!(!retries.is_empty());
}

#[rstest]
#[case(18.0, 8, 18)]
#[case(11.0, 8, 11)]
#[case(3.9, 8, 3)]
#[case(0.0, 8, 0)]
#[case(18.0, 1, 18)]
fn shares_of_a_cold_rate_add_up_to_it(
    #[case] rate: f64,
    #[case] hosts: usize,
    #[case] expected: usize,
) {
    let shares: usize = (0..hosts).map(|rank| ColdLimit::share(rate, rank, hosts)).sum();
    assert_eq!(shares, expected);
}

#[test]
fn a_cold_target_gets_its_share_in_any_second() {
    let mut limit = ColdLimit::default();
    let mut sent = Vec::new();
    for millis in 0..5_000_u64 {
        if limit.has_room(at(millis), 3) {
            limit.send(at(millis));
            sent.push(millis);
        }
    }
    for start in 0..4_000 {
        let inside = sent.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
        assert!(inside <= 3, "{inside} requests from {start} ms");
    }
    assert!(sent.len() >= 12, "{} requests in five seconds", sent.len());
}

/// Eight hosts that retry whenever they may are killed at the same moment, and serve again a second
/// later.
#[test]
fn retries_stay_within_the_budget_of_the_fleet_when_hosts_restart() {
    const HOSTS: u64 = 8;
    let mut hosts = vec![RetryBudget::default(); HOSTS as usize];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for millis in 0..40_000_u64 {
        if millis == 12_000 {
            hosts.fill(RetryBudget::new(Some(at(13_000))));
        }
        if (12_000..13_000).contains(&millis) || millis % 50 != 0 {
            continue;
        }
        // Twenty requests a second, each of which is retried as often as the budget allows.
        let host = &mut hosts[(millis / 50 % HOSTS) as usize];
        host.request(at(millis), &TERMS);
        requests.push(millis);
        while host.take(at(millis), &TERMS, HOSTS as usize) {
            retries.push(millis);
        }
    }
    let count = |times: &[u64], from: u64| {
        times.iter().filter(|time| (from..from + 10_000).contains(*time)).count() as f64
    };
    for from in (10_000..30_000).step_by(100) {
        let windows = [from, from - 5_000, from - 10_000];
        let most = windows.map(|from| count(&requests, from)).into_iter().fold(0.0, f64::max);
        let (sent, allowed) = (count(&retries, from), TERMS.ratio * most + TERMS.extra);
        assert!(sent <= allowed, "{sent} retries from {from} ms, {allowed} allowed");
    }
}
