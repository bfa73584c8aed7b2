//! Quarantine of requests that crash targets, among requests that do not.

use std::{collections::BTreeSet, time::Duration};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        clock::Time,
        id,
        quarantine::{Fingerprint, Quarantine, Report, Stage},
    },
};

fn target(number: usize) -> id::Target {
    format!("t{number}").parse().expect("a name")
}

#[test]
fn a_fingerprint_is_quarantined_after_failures_of_two_targets_at_different_hosts() {
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    let now = Time::from_millis(1_000);
    let crashing = Fingerprint::of(&[b"POST", b"/orders", b"{}"]);
    assert!(!a.record_failure(now, crashing, &target(1)));
    assert!(!a.record_failure(now, crashing, &target(1)));
    assert!(b.merge(now, a.reports(now)).is_empty());
    assert!(b.record_failure(now, crashing, &target(2)));
    assert_eq!(a.merge(now, b.reports(now)), [crashing]);
    assert!(a.remaining_hold(now, crashing).is_some());
    assert!(a.remaining_hold(now + Duration::from_secs(600), crashing).is_none());
}

#[test]
fn a_release_spreads_and_is_not_undone() {
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    let now = Time::from_millis(1_000);
    let held = Fingerprint::of(&[b"POST"]);
    a.record_failure(now, held, &target(1));
    a.record_failure(now, held, &target(2));
    b.merge(now, a.reports(now));
    assert!(b.release(now, held));
    a.merge(now, b.reports(now));
    b.merge(now, a.reports(now));
    assert_eq!(a.reports(now)[0].stage, Stage::Released);
    assert!(a.remaining_hold(now, held).is_none() && b.remaining_hold(now, held).is_none());
}

/// A crashing request is repeated among frequent and rare ones that run on the same targets; only
/// the crashing one may be quarantined.
#[rstest]
fn requests_that_share_a_target_are_not_quarantined(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let crashing = Fingerprint::of(&[b"crashing"]);
    let mut running: Vec<Vec<Fingerprint>> = vec![Vec::new(); 12];
    let mut held = BTreeSet::new();
    for step in 0..20_000_u64 {
        let now = Time::from_millis(step * 10);
        let number = rng.random_range(0..running.len());
        let frequent = rng.random_range(0..20_u32);
        let rare = rng.random::<u32>();
        let content = if rng.random() { frequent } else { rare };
        let harmless = Fingerprint::of(&[&content.to_le_bytes()]);
        if running[number].len() >= 5 {
            let done = running[number].remove(0);
            quarantine.record_answer(done);
        }
        running[number].push(harmless);
        if step % 100 == 0 && quarantine.remaining_hold(now, crashing).is_none() {
            running[number].push(crashing);
            for fingerprint in std::mem::take(&mut running[number]) {
                if quarantine.record_failure(now, fingerprint, &target(number)) {
                    held.insert(fingerprint);
                }
            }
        }
    }
    assert_eq!(held, BTreeSet::from([crashing]));
}

#[test]
fn a_host_sends_its_own_observations_a_few_times_and_does_not_forward_others() {
    let at = |millis: u64| Time::from_millis(1_000 + millis);
    let fingerprint = Fingerprint::from(7);
    let (mut first, mut other) = (Quarantine::default(), Quarantine::default());
    first.record_failure(at(0), fingerprint, &"t1".parse().expect("a name"));
    let mut sent = 0;
    for round in 0..20 {
        let reports = first.due_reports(at(round * 500), 64);
        sent += reports.len();
        other.merge(at(round * 500), reports);
        assert!(other.due_reports(at(round * 500), 64).is_empty(), "a report was forwarded");
    }
    assert_eq!(sent, 3);

    // The other host sees a second target fail: it quarantines the fingerprint and reports it.
    assert!(other.record_failure(at(10_000), fingerprint, &"t2".parse().expect("a name")));
    let mut late = Quarantine::default();
    let mut sent = 0;
    for round in 20..60 {
        let reports = other.due_reports(at(round * 500), 64);
        sent += reports.len();
        first.merge(at(round * 500), reports.clone());
        if round >= 40 {
            late.merge(at(round * 500), reports);
        }
    }
    assert!(first.remaining_hold(at(30_000), fingerprint).is_some());
    assert!(
        late.remaining_hold(at(30_000), fingerprint).is_some(),
        "a host that was unreachable did not learn of the quarantine"
    );
    assert!(sent <= 3 + 10, "{sent} reports in twenty seconds");
}

#[test]
fn quarantines_are_reported_before_suspicions() {
    let at = Time::from_millis(1_000);
    let mut quarantine = Quarantine::default();
    let target = |number: u64| format!("t{number}").parse().expect("a name");
    for number in 0..100 {
        quarantine.record_failure(at, Fingerprint::from(number), &target(number));
    }
    let held = Fingerprint::from(99);
    quarantine.record_failure(at, held, &target(1));
    let reports = quarantine.due_reports(at, 10);
    assert_eq!((reports.len(), reports[0].fingerprint), (10, held));
    let next = quarantine.due_reports(at, 64);
    assert!(
        !next.iter().any(|report| reports[1..].contains(report)),
        "a suspicion was sent twice before others were sent once"
    );
}

/// What other hosts report is kept within bounds, however much it is.
#[test]
fn reports_of_other_hosts_are_bounded() {
    let mut quarantine = Quarantine::default();
    let targets: BTreeSet<id::Target> = (0..100).map(target).collect();
    let report = |number: u64| Report {
        fingerprint: number.into(),
        stage: Stage::Suspected,
        targets: targets.clone(),
        remaining: Duration::from_secs(60),
    };
    quarantine.merge(Time::ZERO, (0..5_000).map(report).collect());
    quarantine.merge(Time::ZERO, (4_000..4_500).map(report).collect());
    let reports = quarantine.reports(Time::ZERO);
    assert_eq!(reports.len(), 1_024);
    assert!(reports.iter().all(|report| report.targets.len() == 8));
}
