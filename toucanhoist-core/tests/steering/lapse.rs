//! Removals that are set aside, as they may only be lapses.

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

/// A host that sets aside what the store says at version 105: `t1` is gone, `t4` is new.
fn holder() -> (Registry, Changes) {
    let mut holder = registry();
    let others = holder.defer_removals(vec![gone("t1", 104), ready("t4", 105)]);
    let (_, told) = holder.apply_changes(Topic::Targets, 105.into(), others);
    (holder, told)
}

#[test]
fn a_removal_that_is_set_aside_changes_nothing_yet() {
    let (mut holder, _) = holder();
    assert!(holder.value(&key("t1")).is_some());
    assert!(holder.value(&key("t4")).is_some());
    assert_eq!(
        holder.version(Topic::Targets),
        Some(105.into()),
        "the store isn't asked for it again"
    );
    let (changed, _) = holder.apply_deferred_removals().expect("a removal");
    assert_eq!(changed.into_iter().collect::<Vec<_>>(), [key("t1")]);
    assert!(holder.apply_deferred_removals().is_none());
}

#[test]
fn a_target_that_is_back_stays() {
    let (mut holder, _) = holder();
    holder.apply_changes(Topic::Targets, 106.into(), vec![ready("t1", 106)]);
    holder.apply_deferred_removals();
    assert!(holder.value(&key("t1")).is_some());
}

#[test]
fn nobody_counts_on_what_is_set_aside() {
    let (holder, told) = holder();
    let (mut by_change, mut by_snapshot) = (registry(), registry());
    by_change.apply_peer_changes(&told);
    by_snapshot.merge(holder.newer_than(by_snapshot.versions()));
    for host in [by_change, by_snapshot] {
        assert!(host.value(&key("t4")).is_some());
        assert_eq!(host.version(Topic::Targets), Some(100.into()), "it would never ask");
    }
    assert_eq!(holder.advertised_complete_version(), 100.into());
}

#[test]
fn what_is_settled_is_told_with_all_until_then() {
    let (mut holder, told) = holder();
    let (mut hears_all, mut hears_last) = (registry(), registry());
    hears_all.apply_peer_changes(&told);
    let (_, told) = holder.apply_deferred_removals().expect("a removal");
    for host in [&mut hears_all, &mut hears_last] {
        host.apply_peer_changes(&told);
        assert!(host.value(&key("t1")).is_none());
        assert!(host.value(&key("t4")).is_some());
        assert_eq!(host.version(Topic::Targets), Some(105.into()));
    }
    assert_eq!(holder.advertised_versions(), BTreeMap::from([(Topic::Targets, 105.into())]));
}
