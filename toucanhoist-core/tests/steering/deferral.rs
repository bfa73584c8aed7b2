//! Deferred removals of targets whose entries may only have expired.

use std::collections::BTreeMap;

use toucanhoist_core::steering::{Changes, Entry, Key, Registry, Topic, Value};

use crate::support::{name, target};

fn key(text: &str) -> Key {
    Key::Target(name(text))
}

fn ready(text: &str, version: u64) -> (Key, Entry) {
    (key(text), Entry { version: version.into(), value: Some(Value::Target(target("n1", 1))) })
}

fn gone(text: &str, version: u64) -> (Key, Entry) {
    (key(text), Entry { version: version.into(), value: None })
}

/// A registry that knows three targets.
fn registry() -> Registry {
    let mut registry = Registry::default();
    let targets = vec![ready("t1", 1), ready("t2", 2), ready("t3", 3)];
    registry.apply_changes(Topic::Targets, 100.into(), targets);
    registry
}

/// A host that has applied changes up to version 105, but defers one of them: `t1` has been removed,
/// `t4` is new.
fn deferring_host() -> (Registry, Changes) {
    let mut host = registry();
    let kept = host.defer_removals(vec![gone("t1", 104), ready("t4", 105)]);
    let (_, changes) = host.apply_changes(Topic::Targets, 105.into(), kept);
    (host, changes)
}

#[test]
fn a_deferred_removal_changes_nothing_yet() {
    let (mut host, _) = deferring_host();
    assert!(host.value(&key("t1")).is_some());
    assert!(host.value(&key("t4")).is_some());
    assert_eq!(
        host.version(Topic::Targets),
        Some(105.into()),
        "the store is not asked for it again"
    );
    let (changed, _) = host.apply_deferred_removals().expect("a removal");
    assert_eq!(changed.into_iter().collect::<Vec<_>>(), [key("t1")]);
    assert!(host.apply_deferred_removals().is_none());
}

#[test]
fn a_target_that_returns_stays() {
    let (mut host, _) = deferring_host();
    host.apply_changes(Topic::Targets, 106.into(), vec![ready("t1", 106)]);
    host.apply_deferred_removals();
    assert!(host.value(&key("t1")).is_some());
}

#[test]
fn versions_of_deferred_removals_are_not_advertised() {
    let (host, changes) = deferring_host();
    let (mut by_change, mut by_snapshot) = (registry(), registry());
    by_change.apply_peer_changes(&changes);
    by_snapshot.merge(host.newer_than(by_snapshot.versions()));
    for host in [by_change, by_snapshot] {
        assert!(host.value(&key("t4")).is_some());
        assert_eq!(host.version(Topic::Targets), Some(100.into()), "it would never ask");
    }
    assert_eq!(host.advertised_complete_version(), 100.into());
}

#[test]
fn applied_removals_are_sent_with_all_changes_until_then() {
    let (mut host, changes) = deferring_host();
    let (mut receives_all, mut receives_last) = (registry(), registry());
    receives_all.apply_peer_changes(&changes);
    let (_, changes) = host.apply_deferred_removals().expect("a removal");
    for host in [&mut receives_all, &mut receives_last] {
        host.apply_peer_changes(&changes);
        assert!(host.value(&key("t1")).is_none());
        assert!(host.value(&key("t4")).is_some());
        assert_eq!(host.version(Topic::Targets), Some(105.into()));
    }
    assert_eq!(host.advertised_versions(), BTreeMap::from([(Topic::Targets, 105.into())]));
}
