//! Packed registry entries are small enough for slow links.

use std::{sync::Arc, time::Duration};

use {
    rstest::rstest,
    toucanhoist_core::{
        key::Digest,
        steering::{
            AccountTerms, Config, Entry, Host, Key, Part, Route, Target, TargetState, Value,
        },
    },
    toucanhoist_edge::packing,
};

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

fn route(number: u32) -> Route {
    Route {
        name: format!("r-{number}").into(),
        prefix: format!("/path{number}/").into(),
        repeatable: true,
        timeout: Some(Duration::from_secs(4)),
        objective: Some(Duration::from_millis(600)),
        priority: 1,
        parts: vec![Part { service: name("curves"), weight: 1.0 }],
        attempts_max: 2,
        open: false,
        affinity: true,
        homes: Vec::new(),
    }
}

fn account(number: u32) -> AccountTerms {
    let key = |key: u32| Digest::of(format!("key {number} {key}").as_bytes());
    AccountTerms {
        name: name(&format!("account{number}")),
        keys: vec![key(1), key(2)],
        priority: None,
        rate: 12.5,
        burst: 40.0,
        homes: Vec::new(),
    }
}

fn config() -> Vec<(Key, Entry)> {
    let hosts = (0..4).map(|number| Host {
        name: format!("host{number}.example").into(),
        routes: (0..40).map(route).collect(),
    });
    let config = Config {
        revision: 31.into(),
        accounts: (0..80).map(account).collect(),
        hosts: hosts.collect(),
        ..Config::default()
    };
    vec![(Key::Config, Entry { version: 7.into(), value: Some(Value::Config(Arc::new(config))) })]
}

/// Changes of targets as a release causes them in one call to the store.
fn targets() -> Vec<(Key, Entry)> {
    let target = |number: u16| Target {
        service: name("curves"),
        address: ([10, 1, 64, (number % 250) as u8], 8_000 + number).into(),
        data_centre: name("n1"),
        slots: 3,
        state: TargetState::Draining,
        cold_left: Duration::ZERO,
        born: 1_772_567_778_029 + u64::from(number) * 7_919,
    };
    let entry = |number: u16| Entry {
        version: (1_000 + u64::from(number)).into(),
        value: Some(Value::Target(target(number))),
    };
    // Targets have random hexadecimal names, which compress badly.
    let key = |number: u16| {
        let digest = Digest::of(&number.to_le_bytes()).to_string();
        Key::Target(name(&format!("i-{}", &digest[..10])))
    };
    (0..50).map(|number| (key(number), entry(number))).collect()
}

/// A change should reach all hosts within a second. A host with a link of 10 Mbit/s sends it to 30 others in a
/// fifth of that time: 250 kB, or about 8 kB for each.
#[rstest]
#[case::config(config())]
#[case::targets(targets())]
fn a_slow_link_can_broadcast_a_change_to_a_region(#[case] entries: Vec<(Key, Entry)>) {
    let plain = serde_json::to_vec(&entries).expect("entries are JSON").len();
    let packed = packing::pack(&entries).expect("entries are JSON");
    println!("{plain} bytes, {} packed", packed.len());
    assert!(packed.len() <= 8_000, "{} bytes of {plain}", packed.len());
    let unpacked = |bytes_max| packing::unpack::<Vec<(Key, Entry)>>(&packed, bytes_max);
    assert_eq!(unpacked(plain as u64).expect("what was packed"), entries);
    assert!(unpacked(plain as u64 - 1).is_err());
}

#[rstest]
#[case::empty(&[])]
#[case::not_packed(b"[]")]
#[case::truncated(&[0x4b, 0x04, 0x00])]
fn bytes_that_are_not_a_packed_value_are_an_error(#[case] bytes: &[u8]) {
    assert!(packing::unpack::<Vec<(Key, Entry)>>(bytes, 1_000).is_err());
}
