//! Entries between hosts of different builds.

use std::{sync::Arc, time::Duration};

use {
    rstest::rstest,
    toucanhoist_core::{
        clock::Time,
        id,
        key::Digest,
        steering::{
            AccountTerms, Changes, Config, Entry, Host, Key, Mirror, Part, Route, ServiceTerms,
            Snapshot, Topic, Value,
            builds::{DECODER, split},
        },
    },
};

use crate::support::{at, name, target};

/// Number of the rules of builds that have none.
const EARLIER: u32 = 0;

fn config(revision: u64) -> Config {
    Config { revision: revision.into(), ..Config::default() }
}

fn entry(version: u64, value: Value) -> Entry {
    Entry { version: version.into(), value: Some(value) }
}

fn config_entry(version: u64, config: Config) -> (Key, Entry) {
    (Key::Config, entry(version, Value::Config(Arc::new(config))))
}

fn with_account(account: &str, home: &str) -> Config {
    let account = AccountTerms {
        name: id::Account::from_text(account).expect("a name"),
        keys: vec![Digest::of(b"k")],
        priority: None,
        rate: 0.0,
        burst: 0.0,
        homes: vec![id::Region::from_text(home).expect("a name")],
    };
    Config { accounts: vec![account], requires_keys: true, ..config(2) }
}

fn with_service(terms: &str, part: &str) -> Config {
    let service = |text| id::Service::from_text(text).expect("a name");
    let terms = ServiceTerms {
        name: service(terms),
        connections_max: 1,
        cold_time: Duration::ZERO,
        cold_rate: 0.0,
    };
    let route = Route {
        name: "r".into(),
        prefix: "/r/".into(),
        repeatable: true,
        timeout: None,
        objective: None,
        priority: 1,
        parts: vec![Part { service: service(part), weight: 1.0 }],
        attempts_max: 1,
        open: false,
        affinity: false,
        homes: Vec::new(),
    };
    let hosts = vec![Host { name: "Ünal.example".into(), routes: vec![route] }];
    Config { services: vec![terms], hosts, ..config(2) }
}

fn target_key(text: &str) -> Key {
    Key::Target(id::Target::from_text(text).expect("a name"))
}

#[rstest]
#[case::names_of_the_pattern(config_entry(1, with_account("farm", "jura")), true)]
#[case::account(config_entry(1, with_account("Farm", "jura")), false)]
#[case::home_region(config_entry(1, with_account("farm", "Jura")), false)]
#[case::services_of_the_pattern(config_entry(1, with_service("curves", "curves")), true)]
#[case::service(config_entry(1, with_service("Curves", "curves")), false)]
#[case::service_of_a_route(config_entry(1, with_service("curves", "Curves")), false)]
#[case::unusable_keys(
    config_entry(1, Config { unusable_keys: vec![Digest::of(b"k")], ..config(2) }),
    false
)]
#[case::unusable_accounts(config_entry(1, Config { requires_keys: true, ..config(2) }), false)]
#[case::unreadable_routes(config_entry(1, Config { routes_unreadable: true, ..config(2) }), false)]
#[case::target((target_key("t1"), entry(1, Value::Target(target("n1", 1)))), true)]
#[case::target_name((target_key("T1"), entry(1, Value::Target(target("n1", 1)))), false)]
#[case::removed_target_name((target_key("T1"), Entry { version: 1.into(), value: None }), false)]
#[case::evacuation((Key::Evacuation(name("n1")), entry(1, Value::Evacuation)), true)]
#[case::evacuation_name(
    (Key::Evacuation(id::DataCentre::from_text("N 1").expect("a name")), entry(1, Value::Evacuation)),
    false
)]
fn only_what_earlier_builds_decode_whole_is_plain(#[case] one: (Key, Entry), #[case] plain: bool) {
    let (first, further) = split(vec![one.clone()]);
    let expected = if plain { (vec![one], vec![]) } else { (vec![], vec![one]) };
    assert_eq!((first, further), expected);
}

// Guards against an entry that makes a whole message undecodable to hosts of an earlier build.
#[test]
fn a_message_holds_odd_names_only_where_earlier_builds_do_not_look() {
    let odd = (target_key("Ziel 1"), entry(4, Value::Target(target("n1", 1))));
    let plain = (target_key("t1"), entry(5, Value::Target(target("n1", 1))));
    let both = vec![plain.clone(), odd.clone()];
    let snapshot =
        Snapshot { entries: both.clone(), disputed: both.clone(), ..Snapshot::default() };
    let text = serde_json::to_string(&snapshot.into_message()).expect("JSON");
    let mut message: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let copy: Snapshot = serde_json::from_str(&text).expect("the message again");
    let copy = copy.from_message();
    assert_eq!((copy.entries, copy.disputed, copy.decoder), (both.clone(), both, DECODER));
    // An earlier build decodes the fields that it knows, whose names follow the pattern.
    let fields = message.as_object_mut().expect("an object");
    let removed = ["further", "further_disputed"].map(|field| fields.remove(field).is_some());
    assert_eq!((removed, message.to_string().contains("Ziel")), ([true; 2], false), "{message}");
}

fn changes(upto: u64, entries: Vec<(Key, Entry)>) -> Changes {
    Changes { topic: Topic::Operator, after: 3.into(), upto: upto.into(), entries }
}

/// A host that knows the configuration with revision 1 up to version 3.
fn host() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.apply_read(at(0), Topic::Operator, 3.into(), vec![config_entry(3, config(1))]);
    mirror
}

fn revision(mirror: &Mirror) -> Option<id::Revision> {
    match mirror.registry().value(&Key::Config) {
        Some(Value::Config(config)) => Some(config.revision),
        _ => None,
    }
}

// Guards against a host that keeps a former configuration because a host of an earlier build, from
// which it hears of the new one, could not read that.
#[test]
fn what_an_earlier_build_could_not_read_is_read_from_the_store() {
    let mut mirror = host();
    let unread = vec![(Key::Config, entry(4, Value::Unreadable))];
    mirror.apply_changes_of(EARLIER, changes(4, unread));
    assert_eq!(mirror.registry().version(Topic::Operator), Some(3.into()), "it would not ask");
    assert!(mirror.has_unread());
    // Later changes do not make up for it.
    let evacuated = (Key::Evacuation(name("n1")), entry(5, Value::Evacuation));
    let later = Changes { after: 4.into(), ..changes(5, vec![evacuated]) };
    mirror.apply_changes_of(EARLIER, later);
    assert!(mirror.has_unread());
    let now = Time::from_micros(1_000_000);
    let read = vec![config_entry(4, with_account("Beratung-Chur", "Jura"))];
    mirror.apply_changes(now, Topic::Operator, 5.into(), read);
    assert_eq!((mirror.has_unread(), revision(&mirror)), (false, Some(2.into())));
}

#[test]
fn what_the_same_build_could_not_read_is_not_read_again() {
    let mut mirror = host();
    let unreadable = vec![(Key::Config, entry(4, Value::Unreadable))];
    mirror.apply_changes_of(DECODER, changes(4, unreadable));
    assert_eq!(mirror.registry().version(Topic::Operator), Some(4.into()));
    assert_eq!((mirror.has_unread(), revision(&mirror)), (false, Some(1.into())));
}

#[rstest]
#[case::earlier(EARLIER, true)]
#[case::same(DECODER, false)]
fn a_snapshot_of_an_earlier_build_may_hold_a_former_configuration(
    #[case] decoder: u32,
    #[case] has_unread: bool,
) {
    let mut mirror = Mirror::default();
    let entries = vec![config_entry(3, config(1))];
    let versions = [(Topic::Operator, 9.into()), (Topic::Targets, 9.into())].into();
    let snapshot = Snapshot { entries, versions, decoder, ..Snapshot::default() };
    mirror.merge(at(0), at(0), snapshot);
    assert_eq!(revision(&mirror), Some(1.into()), "it serves meanwhile");
    assert_eq!(mirror.registry().version(Topic::Targets), Some(9.into()));
    assert_eq!(mirror.has_unread(), has_unread);
    mirror.apply_read(at(1), Topic::Operator, 9.into(), vec![config_entry(7, config(2))]);
    assert_eq!((mirror.has_unread(), revision(&mirror)), (false, Some(2.into())));
}

#[test]
fn of_two_readings_of_one_row_the_one_that_says_something_holds() {
    let mut mirror = Mirror::default();
    let key = target_key("Ziel 1");
    let readings = [Value::Unreadable, Value::Target(target("n1", 1)), Value::Unreadable];
    for reading in readings {
        mirror.apply_changes(
            at(0),
            Topic::Targets,
            4.into(),
            vec![(key.clone(), entry(4, reading))],
        );
    }
    assert!(matches!(mirror.registry().value(&key), Some(Value::Target(_))));
}
