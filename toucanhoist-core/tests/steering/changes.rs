//! Reports of the store's changes between hosts.

use toucanhoist_core::steering::{Changes, Entry, Key, Registry, Topic, Value};

use crate::support::{name, target};

fn entry(text: &str, version: u64) -> (Key, Entry) {
    let value = Some(Value::Target(target("n1", 1)));
    (Key::Target(name(text)), Entry { version: version.into(), value })
}

/// A registry that knows all targets up to version 100.
fn registry() -> Registry {
    let mut registry = Registry::default();
    registry.advance(Topic::Targets, 100.into());
    registry
}

fn knows(registry: &Registry, text: &str) -> bool {
    registry.value(&Key::Target(name(text))).is_some()
}

#[test]
fn entries_known_from_another_watcher_are_reported_again() {
    let (mut first, mut second, mut other) = (registry(), registry(), registry());
    // The first datagram is lost; the second one reaches only the other watcher.
    first.apply_changes(Topic::Targets, 101.into(), vec![entry("t1", 101)]);
    let (_, changes) = first.apply_changes(Topic::Targets, 102.into(), vec![entry("t2", 102)]);
    second.apply_peer_changes(&changes);
    assert_eq!(second.version(Topic::Targets), Some(100.into()));
    // The other watcher reads both from the store.
    let both = vec![entry("t1", 101), entry("t2", 102)];
    let (changed, changes) = second.apply_changes(Topic::Targets, 102.into(), both);
    assert_eq!(changed.len(), 1, "{changed:?}");
    other.apply_peer_changes(&changes);
    let all = knows(&other, "t1") && knows(&other, "t2");
    assert!(
        all || other.version(Topic::Targets) == Some(100.into()),
        "it would never ask: {other:?}"
    );
}

#[test]
fn a_host_that_missed_changes_does_not_count_as_knowing_them() {
    let mut host = registry();
    let changes = Changes {
        topic: Topic::Targets,
        after: 103.into(),
        upto: 104.into(),
        entries: vec![entry("t4", 104)],
    };
    assert_eq!(host.apply_peer_changes(&changes).len(), 1);
    assert!(knows(&host, "t4"));
    assert_eq!(host.version(Topic::Targets), Some(100.into()));
}

#[test]
fn an_older_entry_changes_nothing() {
    let mut host = registry();
    let (changed, _) = host.apply_changes(Topic::Targets, 105.into(), vec![entry("t1", 105)]);
    assert_eq!(changed.len(), 1);
    let changes = Changes {
        topic: Topic::Targets,
        after: 100.into(),
        upto: 102.into(),
        entries: vec![entry("t1", 102)],
    };
    assert!(host.apply_peer_changes(&changes).is_empty());
    assert_eq!(host.version(Topic::Targets), Some(105.into()));
}
