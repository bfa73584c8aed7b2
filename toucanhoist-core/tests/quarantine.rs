//! Requests that crash targets, among others that do not.

use std::{collections::BTreeSet, time::Duration};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        clock::Time,
        id,
        quarantine::{Fingerprint, Quarantine, Stage},
    },
};

fn target(number: usize) -> id::Target {
    format!("t{number}").parse().expect("a name")
}

#[test]
fn a_fingerprint_is_held_after_two_targets_at_different_hosts() {
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

/// A crashing request comes again and again among popular and rare ones, which share its targets.
#[rstest]
fn requests_that_share_a_target_are_not_held(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let crashing = Fingerprint::of(&[b"crashing"]);
    let mut running: Vec<Vec<Fingerprint>> = vec![Vec::new(); 12];
    let mut held = BTreeSet::new();
    for step in 0..20_000_u64 {
        let now = Time::from_millis(step * 10);
        let at = rng.random_range(0..running.len());
        let popular = rng.random_range(0..20_u32);
        let rare = rng.random::<u32>();
        let number = if rng.random() { popular } else { rare };
        let innocent = Fingerprint::of(&[&number.to_le_bytes()]);
        if running[at].len() >= 5 {
            let done = running[at].remove(0);
            quarantine.record_answer(done);
        }
        running[at].push(innocent);
        if step % 100 == 0 && quarantine.remaining_hold(now, crashing).is_none() {
            running[at].push(crashing);
            for fingerprint in std::mem::take(&mut running[at]) {
                if quarantine.record_failure(now, fingerprint, &target(at)) {
                    held.insert(fingerprint);
                }
            }
        }
    }
    assert_eq!(held, BTreeSet::from([crashing]));
}

#[test]
fn a_host_tells_what_it_learned_a_few_times_and_repeats_nothing_that_it_heard() {
    let at = |millis: u64| Time::from_millis(1_000 + millis);
    let fingerprint = Fingerprint::from(7);
    let (mut first, mut other) = (Quarantine::default(), Quarantine::default());
    first.record_failure(at(0), fingerprint, &"t1".parse().expect("a name"));
    let mut told = 0;
    for round in 0..20 {
        let news = first.due_reports(at(round * 500), 64);
        told += news.len();
        other.merge(at(round * 500), news);
        assert!(other.due_reports(at(round * 500), 64).is_empty(), "it only heard of it");
    }
    assert_eq!(told, 3);

    // The other host sees a second target break off: it holds the request back and says so.
    assert!(other.record_failure(at(10_000), fingerprint, &"t2".parse().expect("a name")));
    let mut late = Quarantine::default();
    let mut told = 0;
    for round in 20..60 {
        let news = other.due_reports(at(round * 500), 64);
        told += news.len();
        first.merge(at(round * 500), news.clone());
        if round >= 40 {
            late.merge(at(round * 500), news);
        }
    }
    assert!(first.remaining_hold(at(30_000), fingerprint).is_some());
    assert!(
        late.remaining_hold(at(30_000), fingerprint).is_some(),
        "a host that was away hears of it"
    );
    assert!(told <= 3 + 10, "{told} times in twenty seconds");
}

#[test]
fn what_is_held_back_is_told_before_suspicions() {
    let at = Time::from_millis(1_000);
    let mut quarantine = Quarantine::default();
    let target = |number: u64| format!("t{number}").parse().expect("a name");
    for number in 0..100 {
        quarantine.record_failure(at, Fingerprint::from(number), &target(number));
    }
    let held = Fingerprint::from(99);
    quarantine.record_failure(at, held, &target(1));
    let news = quarantine.due_reports(at, 10);
    assert_eq!((news.len(), news[0].fingerprint), (10, held));
    let next = quarantine.due_reports(at, 64);
    assert!(!next.iter().any(|word| news[1..].contains(word)), "others have their turn");
}
