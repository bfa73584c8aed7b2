//! A store that is restored from a backup which is some seconds old.

use std::{collections::BTreeMap, sync::Arc};

use {
    rstest::rstest,
    toucanhoist_core::steering::{
        Bootstrap, Config, Entry, EntryHost, Key, Mirror, Registry, TargetState, Topic, Value,
        Version,
    },
};

use crate::support::{at, name, target};

fn version(text: &str) -> Version {
    text.parse().expect("a version")
}

fn ready(born: u64) -> Option<Value> {
    let mut target = target("n1", 1);
    target.born = born;
    Some(Value::Target(target))
}

fn draining(born: u64) -> Option<Value> {
    let mut target = target("n1", 1);
    (target.born, target.state) = (born, TargetState::Draining);
    Some(Value::Target(target))
}

fn config(revision: u64) -> Option<Value> {
    Some(Value::Config(Arc::new(Config { revision: revision.into(), ..Config::default() })))
}

fn host(epoch: u64) -> Option<Value> {
    let address = "10.0.0.1:80".parse().expect("an address");
    let data_centre = name("n1");
    let host = EntryHost { data_centre, callers: address, peers: address, epoch, capacity: 0 };
    Some(Value::Host(host))
}

fn row(key: &str, at: &str, value: Option<Value>) -> (Key, Entry) {
    (Key::Target(name(key)), Entry { version: version(at), value })
}

fn knows(mirror: &Mirror, key: &str) -> bool {
    mirror.registry().value(&Key::Target(name(key))).is_some()
}

/// A host that has followed the store up to `1:100`: `t1` has left at 90, `t2` and `t3` are there.
fn follower() -> Mirror {
    let mut mirror = Mirror::default();
    mirror
        .apply_read(at(0), Topic::Targets, version("1:60"), backup("1"))
        .expect("a current answer");
    let entries = vec![row("t1", "1:90", None), row("t3", "1:95", ready(1))];
    mirror
        .apply_changes(at(10), Topic::Targets, version("1:100"), entries)
        .expect("a current answer");
    mirror
}

/// What the store held before `t1` left and `t3` came, read in an era.
fn backup(era: &str) -> Vec<(Key, Entry)> {
    let row = |key, number: u64| row(key, &format!("{era}:{number}"), ready(1));
    vec![row("t1", 50), row("t2", 51)]
}

#[rstest]
#[case::gone("1:50", None, "2:40", ready(1), None)]
#[case::gone_and_written_again("1:50", None, "2:60", ready(1), ready(1))]
#[case::draining("1:50", draining(1), "2:40", ready(1), draining(1))]
#[case::draining_and_started_anew("1:50", draining(1), "2:40", ready(2), ready(2))]
#[case::started_anew("1:50", ready(2), "2:40", draining(1), ready(2))]
#[case::gone_since("1:50", ready(1), "2:45", None, None)]
#[case::draining_since("1:50", ready(1), "2:45", draining(1), draining(1))]
#[case::lower_revision("1:50", config(7), "2:60", config(6), config(7))]
#[case::higher_revision("1:50", config(7), "2:40", config(8), config(8))]
#[case::host_started_anew("1:50", host(2), "2:40", host(1), host(2))]
#[case::evacuation_ended("1:50", None, "2:40", Some(Value::Evacuation), Some(Value::Evacuation))]
#[case::two_eras_ago("1:50", None, "3:40", ready(1), None)]
fn known_entries_take_precedence_over_the_backup(
    #[case] known_at: &str,
    #[case] known: Option<Value>,
    #[case] row_at: &str,
    #[case] row: Option<Value>,
    #[case] expected: Option<Value>,
) {
    let key = match known.as_ref().or(row.as_ref()) {
        Some(Value::Config(_)) => Key::Config,
        Some(Value::Host(_)) => Key::Host(name("h1")),
        Some(Value::Evacuation) => Key::Evacuation(name("n1")),
        _ => Key::Target(name("t1")),
    };
    let known = Entry { version: version(known_at), value: known };
    let row = Entry { version: version(row_at), value: row };
    for entries in [[&known, &row], [&row, &known], [&row, &row]] {
        let mut registry = Registry::default();
        registry.apply(key.clone(), known.clone());
        for entry in entries {
            registry.apply(key.clone(), entry.clone());
        }
        assert_eq!(registry.value(&key), expected.as_ref(), "{entries:?}");
        let mut late = Registry::default();
        for entry in entries {
            late.apply(key.clone(), entry.clone());
        }
        late.apply(key.clone(), known.clone());
        assert_eq!(late.value(&key), expected.as_ref(), "known last: {entries:?}");
    }
}

#[test]
fn removed_targets_stay_removed_and_removals_by_a_restore_are_deferred() {
    let mut mirror = follower();
    let update = mirror
        .apply_read(at(1_000), Topic::Targets, version("2:60"), backup("2"))
        .expect("a current answer");
    assert_eq!(update.restored, Some(version("1:100")));
    assert!(!knows(&mirror, "t1") && knows(&mirror, "t2") && knows(&mirror, "t3"));
    // The live target writes its entry again; the entry of the other one expires.
    let again = vec![row("t3", "2:62", ready(1))];
    mirror
        .apply_changes(at(2_000), Topic::Targets, version("2:62"), again)
        .expect("a current answer");
    assert!(mirror.apply_deferred_removals(at(3_000)).is_none(), "it may still be written again");
    mirror.apply_deferred_removals(at(3_300)).expect("the deferral has ended");
    assert!(!knows(&mirror, "t1") && knows(&mirror, "t2") && knows(&mirror, "t3"));
    let mut mirror = follower();
    mirror
        .apply_read(at(1_000), Topic::Targets, version("2:60"), backup("2"))
        .expect("a current answer");
    let (changed, broadcast) =
        mirror.apply_deferred_removals(at(3_300)).expect("what the backup lacks");
    assert_eq!(changed.into_iter().collect::<Vec<_>>(), [Key::Target(name("t3"))]);
    assert_eq!((broadcast.after, broadcast.upto), (version("2:60"), version("2:60")));
}

#[test]
fn a_target_that_left_and_comes_back_is_used() {
    let mut mirror = follower();
    mirror
        .apply_read(at(1_000), Topic::Targets, version("2:60"), backup("2"))
        .expect("a current answer");
    let again = vec![row("t1", "2:61", ready(1))];
    mirror
        .apply_changes(at(1_500), Topic::Targets, version("2:61"), again)
        .expect("a current answer");
    assert!(knows(&mirror, "t1"));
}

#[test]
fn a_target_that_the_store_still_lists_after_the_override_time_is_used() {
    let mut mirror = follower();
    mirror
        .apply_read(at(1_000), Topic::Targets, version("2:60"), backup("2"))
        .expect("a current answer");
    let other = |at: &str| vec![row("t2", at, ready(2))];
    mirror
        .apply_changes(at(10_900), Topic::Targets, version("2:61"), other("2:61"))
        .expect("a current answer");
    assert!(!knows(&mirror, "t1"), "its entry may still expire");
    mirror.apply_deferred_removals(at(11_000));
    mirror
        .apply_changes(at(11_000), Topic::Targets, version("2:61"), Vec::new())
        .expect("a current answer");
    assert!(!knows(&mirror, "t1"), "that version has been sent already");
    let update = mirror.apply_changes(at(11_100), Topic::Targets, version("2:70"), other("2:70"));
    let broadcast = update.expect("a current answer").broadcast.expect("changes");
    assert!(knows(&mirror, "t1"));
    assert!(broadcast.entries.iter().any(|(key, _)| *key == Key::Target(name("t1"))));
}

/// Whether an evacuation that the backup lacks holds eleven seconds later, depending on whether the
/// operator has written it again.
#[rstest]
#[case::written_again(true)]
#[case::not_written_again(false)]
fn an_evacuation_missing_from_the_backup_holds_until_it_can_have_been_written_again(
    #[case] is_written: bool,
) {
    let key = Key::Evacuation(name("n1"));
    let evacuated = |at: &str| {
        vec![(key.clone(), Entry { version: version(at), value: Some(Value::Evacuation) })]
    };
    let mut mirror = Mirror::default();
    mirror
        .apply_read(at(0), Topic::Operator, version("1:70"), evacuated("1:70"))
        .expect("a current answer");
    mirror
        .apply_read(at(1_000), Topic::Operator, version("2:60"), Vec::new())
        .expect("a current answer");
    assert!(mirror.registry().value(&key).is_some());
    let mut other = Mirror::default();
    other.merge(at(1_000), at(1_000), mirror.registry().newer_than(&BTreeMap::new()));
    assert!(other.registry().value(&key).is_some(), "a host that asks learns of it");
    let again = if is_written { evacuated("2:65") } else { Vec::new() };
    mirror
        .apply_changes(at(4_000), Topic::Operator, version("2:65"), again)
        .expect("a current answer");
    assert!(mirror.registry().value(&key).is_some());
    mirror
        .apply_changes(at(12_000), Topic::Operator, version("2:66"), Vec::new())
        .expect("a current answer");
    assert_eq!(mirror.registry().value(&key).is_some(), is_written);
}

#[test]
fn an_answer_from_before_the_restore_changes_nothing() {
    let mut mirror = follower();
    mirror
        .apply_read(at(1_000), Topic::Targets, version("2:60"), backup("2"))
        .expect("a current answer");
    let late = vec![row("t4", "1:101", ready(1))];
    assert!(
        mirror.apply_changes(at(1_100), Topic::Targets, version("1:101"), late.clone()).is_none()
    );
    assert!(mirror.apply_read(at(1_100), Topic::Targets, version("1:101"), late).is_none());
    assert!(!knows(&mirror, "t4") && knows(&mirror, "t2"));
}

#[test]
fn a_starting_host_prefers_what_others_know_to_the_backup() {
    let other = follower();
    let mut starting = Mirror::default();
    starting.merge(at(900), at(900), other.registry().newer_than(&BTreeMap::new()));
    starting
        .apply_read(at(1_000), Topic::Targets, version("2:60"), backup("2"))
        .expect("a current answer");
    assert!(!knows(&starting, "t1") && knows(&starting, "t2"));
}

#[test]
fn the_knowledge_of_another_host_counts_after_the_backup_was_read() {
    // This host does not know that `t1` had left.
    let mut mirror = Mirror::default();
    mirror
        .apply_read(at(0), Topic::Targets, version("1:60"), backup("1"))
        .expect("a current answer");
    mirror
        .apply_read(at(1_000), Topic::Targets, version("2:60"), backup("2"))
        .expect("a current answer");
    assert!(knows(&mirror, "t1"));
    let mut witness = follower();
    mirror.merge(at(1_050), at(1_050), witness.registry().newer_than(&BTreeMap::new()));
    assert!(!knows(&mirror, "t1"), "a witness that has not read the backup");
    assert!(!knows(&mirror, "t3"), "a live target writes its entry again");
    let mut mirror = Mirror::default();
    mirror
        .apply_read(at(0), Topic::Targets, version("1:60"), backup("1"))
        .expect("a current answer");
    mirror
        .apply_read(at(1_000), Topic::Targets, version("2:60"), backup("2"))
        .expect("a current answer");
    witness
        .apply_read(at(1_010), Topic::Targets, version("2:60"), backup("2"))
        .expect("a current answer");
    mirror.merge(at(1_050), at(1_050), witness.registry().newer_than(&BTreeMap::new()));
    assert!(!knows(&mirror, "t1"), "a witness that has read the backup");
}

#[test]
fn hosts_missing_from_the_backup_stay_known() {
    let key = Key::Host(name("h1"));
    let mut mirror = Mirror::default();
    let entries = vec![(key.clone(), Entry { version: version("1:90"), value: host(1) })];
    mirror.apply_read(at(0), Topic::Hosts, version("1:90"), entries).expect("a current answer");
    mirror
        .apply_read(at(1_000), Topic::Hosts, version("2:60"), Vec::new())
        .expect("a current answer");
    assert!(mirror.registry().value(&key).is_some(), "it registers again");
}

/// When a starting host may read the store, in milliseconds, given the answers of the hosts that it
/// asked: the time, which of two hosts, and whether it has a configuration.
#[rstest]
#[case::one_knows(&[(40, 1, true)], 40)]
#[case::one_knows_after_one_does_not(&[(40, 1, false), (60, 2, true)], 60)]
#[case::none_knows(&[(40, 1, false), (50, 2, false)], 50)]
#[case::one_is_silent(&[(40, 1, false)], 200)]
fn a_starting_host_waits_briefly_for_others(
    #[case] answers: &[(u64, u16, bool)],
    #[case] expected: u64,
) {
    let host = |number: u16| ([10, 0, 0, 1], number).into();
    let mut bootstrap = Bootstrap::new(at(0), [host(1), host(2)]);
    let done = (0..1_000).step_by(10).find(|millis| {
        for (_, number, has_config) in answers.iter().filter(|(then, ..)| then == millis) {
            bootstrap.record_answer(host(*number), *has_config);
        }
        bootstrap.is_done(at(*millis))
    });
    assert_eq!(done, Some(expected));
    assert!(Bootstrap::new(at(0), []).is_done(at(0)), "nobody to ask");
}
