use std::{collections::BTreeMap, sync::Arc, time::Duration};

use {
    rstest::rstest,
    toucanhoist_core::steering::{Changes, Config, Entry, Key, Registry, Topic, Value},
};

use crate::support::{name, target};

fn config(revision: u64) -> Value {
    Value::Config(Arc::new(Config { revision: revision.into(), ..Config::default() }))
}

fn entry(version: u64, value: Value) -> Entry {
    Entry { version: version.into(), value: Some(value) }
}

fn gone(version: u64) -> Entry {
    Entry { version: version.into(), value: None }
}

#[test]
fn the_newest_entry_wins_on_any_path() {
    let key = Key::Target(name("t1"));
    let mut registry = Registry::default();
    assert!(registry.apply(key.clone(), entry(5, Value::Target(target("n1", 1)))));
    assert!(!registry.apply(key.clone(), gone(4)), "an older removal");
    assert!(!registry.apply(key.clone(), gone(5)), "the same version again");
    assert!(registry.apply(key.clone(), gone(6)));
    assert_eq!(registry.value(&key), None);
    assert!(!registry.apply(key.clone(), entry(5, Value::Target(target("n1", 1)))));
    assert!(registry.apply(key.clone(), entry(7, Value::Target(target("n2", 1)))));
    assert!(registry.value(&key).is_some(), "a target that is back under its name");
}

#[rstest]
#[case::lower_revision(entry(9, config(6)))]
#[case::removed(gone(9))]
#[case::unreadable(entry(9, Value::Unreadable))]
fn a_configuration_never_goes_back(#[case] later: Entry) {
    let mut registry = Registry::default();
    registry.apply(Key::Config, entry(3, config(7)));
    assert!(!registry.apply(Key::Config, later));
    assert_eq!(registry.value(&Key::Config), Some(&config(7)));
    assert!(registry.apply(Key::Config, entry(10, config(8))));
}

#[test]
fn a_full_read_removes_what_is_missing() {
    let mut registry = Registry::default();
    let keys = ["t1", "t2", "t3"].map(|text| Key::Target(name(text)));
    for (version, key) in (1..).zip(&keys) {
        registry.apply(key.clone(), entry(version, Value::Target(target("n1", 1))));
    }
    registry.apply(Key::Evacuation(name("n2")), entry(9, Value::Evacuation));
    let read = vec![(keys[0].clone(), entry(1, Value::Target(target("n1", 1))))];
    let changed = registry.replace(Topic::Targets, 2.into(), read);
    assert_eq!(changed.into_iter().collect::<Vec<_>>(), [keys[1].clone()]);
    assert!(registry.value(&keys[2]).is_some(), "newer than the read");
    assert!(registry.value(&Key::Evacuation(name("n2"))).is_some(), "of another topic");
    assert_eq!(registry.version(Topic::Targets), Some(2.into()));
}

#[test]
fn a_snapshot_brings_another_host_up_to_date() {
    let mut one = Registry::default();
    one.apply(Key::Config, entry(3, config(7)));
    one.apply(Key::Target(name("t1")), gone(4));
    one.advance(Topic::Operator, 3.into());
    let mut other = Registry::default();
    other.apply(Key::Target(name("t1")), entry(2, Value::Target(target("n1", 1))));
    let text =
        serde_json::to_string(&one.newer_than(&BTreeMap::new())).expect("a snapshot is JSON");
    let changed = other.merge(serde_json::from_str(&text).expect("the snapshot again"));
    assert_eq!(changed.len(), 2);
    assert_eq!(other.value(&Key::Config), Some(&config(7)));
    assert_eq!(other.value(&Key::Target(name("t1"))), None);
}

#[test]
fn durations_survive_a_snapshot() {
    let mut cold = target("n1", 1);
    cold.cold_left = Duration::from_millis(1_250);
    let mut one = Registry::default();
    one.apply(Key::Target(name("t1")), entry(2, Value::Target(cold.clone())));
    let text =
        serde_json::to_string(&one.newer_than(&BTreeMap::new())).expect("a snapshot is JSON");
    let mut other = Registry::default();
    other.merge(serde_json::from_str(&text).expect("the snapshot again"));
    assert_eq!(other.value(&Key::Target(name("t1"))), Some(&Value::Target(cold)));
}

#[test]
fn another_host_gets_what_is_newer_than_it_knows() {
    let mut one = Registry::default();
    for version in 1..=5 {
        let key = Key::Target(name(&format!("t{version}")));
        one.apply(key, entry(version, Value::Target(target("n1", 1))));
    }
    one.apply(Key::Target(name("t1")), gone(6));
    one.apply(Key::Config, entry(2, config(7)));
    let newer =
        one.newer_than(&BTreeMap::from([(Topic::Targets, 4.into()), (Topic::Operator, 2.into())]));
    let keys: Vec<&Key> = newer.entries.iter().map(|(key, _)| key).collect();
    assert_eq!(keys, [&Key::Target(name("t1")), &Key::Target(name("t5"))]);
}

#[test]
fn a_host_is_complete_up_to_its_first_gap() {
    let target = |version| entry(version, Value::Target(target("n1", 1)));
    let mut registry = Registry::default();
    assert_eq!(registry.complete_version(), 0.into());
    registry.apply_changes(Topic::Targets, 100.into(), vec![(Key::Target(name("t1")), target(90))]);
    registry.apply_changes(Topic::Operator, 120.into(), vec![(Key::Config, entry(120, config(7)))]);
    assert_eq!(registry.complete_version(), 120.into());
    // The change before this one was lost.
    let entries = vec![(Key::Target(name("t3")), target(110))];
    registry.apply_peer_changes(&Changes {
        topic: Topic::Targets,
        after: 105.into(),
        upto: 110.into(),
        entries,
    });
    assert_eq!(registry.complete_version(), 100.into());
    let entries = vec![(Key::Target(name("t2")), target(105))];
    registry.apply_peer_changes(&Changes {
        topic: Topic::Targets,
        after: 100.into(),
        upto: 110.into(),
        entries,
    });
    assert_eq!(registry.complete_version(), 120.into());
}
