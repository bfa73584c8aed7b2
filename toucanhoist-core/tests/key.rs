//! Freshness of the knowledge of keys, and the rate limit on wrong keys.

use std::{net::IpAddr, time::Duration};

use toucanhoist_core::{
    clock::Time,
    id,
    key::{Freshness, Limiter, Report, Rule},
};

fn host(name: &str) -> id::EntryHost {
    name.parse().expect("a valid name")
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn knowledge_is_fresh_by_the_platform_then_by_a_peer_then_stale() {
    let mut freshness = Freshness::default();
    let others = [host("a"), host("b")];
    freshness.record_read(at(1_000), 7);
    assert_eq!(freshness.rule(at(5_000), others.iter()).0, Rule::Platform);
    let report = Report { version: 8, platform_age: Some(Duration::from_millis(500)) };
    freshness.record_report(&others[0], at(4_000), report);
    assert_eq!(freshness.rule(at(6_000), others.iter()), (Rule::Peer, at(8_000)));
    assert_eq!(freshness.rule(at(8_000), others.iter()).0, Rule::Stale);
}

#[test]
fn knowledge_is_fresh_by_the_fleet_only_while_every_host_reports() {
    let mut freshness = Freshness::default();
    let others = [host("a"), host("b")];
    let no_platform = Report { version: 7, platform_age: None };
    freshness.record_read(at(1_000), 7);
    freshness.record_report(&others[0], at(9_000), no_platform);
    assert_eq!(freshness.rule(at(10_000), others.iter()).0, Rule::Stale);
    freshness.record_report(&others[1], at(9_500), no_platform);
    assert_eq!(freshness.rule(at(10_000), others.iter()), (Rule::Fleet, at(13_500)));
    // A report counts from the time at which it was requested.
    freshness.record_report(&others[1], at(9_000), no_platform);
    assert_eq!(freshness.rule(at(13_499), others.iter()).0, Rule::Fleet);
    assert_eq!(freshness.rule(at(13_500), others.iter()).0, Rule::Stale);
}

#[test]
fn a_host_that_never_read_the_platform_is_stale() {
    let mut freshness = Freshness::default();
    let other = host("a");
    freshness.record_report(&other, at(1_000), Report { version: 0, platform_age: None });
    assert_eq!(freshness.rule(at(1_001), std::iter::once(&other)).0, Rule::Stale);
}

#[test]
fn wrong_keys_are_limited_by_address_in_bounded_memory() {
    let mut limiter = Limiter::default();
    let client: IpAddr = "10.0.0.1".parse().expect("an address");
    for _ in 0..20 {
        assert!(limiter.check(at(0), client).is_ok());
        limiter.record_failure(at(0), client);
    }
    assert!(limiter.check(at(0), client).is_err());
    for i in 0..40_000_u32 {
        limiter.record_failure(at(0), IpAddr::from((0x0b00_0000 + i).to_be_bytes()));
    }
    assert!(limiter.len() <= 16_384);
    assert!(limiter.check(at(0), client).is_err(), "the client's entry was evicted");
    assert!(limiter.check(at(60_000), client).is_ok());
}
