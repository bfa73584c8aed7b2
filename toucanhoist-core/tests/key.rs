//! Freshness of keys and the limiter of guesses.

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
fn knowledge_rests_on_the_platform_then_a_peer_then_nothing() {
    let mut freshness = Freshness::default();
    let others = [host("a"), host("b")];
    freshness.record_read(at(1_000), 7);
    assert_eq!(freshness.rule(at(5_000), others.iter()).0, Rule::Platform);
    let heard = Report { version: 8, platform_age: Some(Duration::from_millis(500)) };
    freshness.record_report(&others[0], at(4_000), heard);
    assert_eq!(freshness.rule(at(6_000), others.iter()), (Rule::Peer, at(8_000)));
    assert_eq!(freshness.rule(at(8_000), others.iter()).0, Rule::Stale);
}

#[test]
fn the_whole_fleet_vouches_only_while_every_host_is_heard() {
    let mut freshness = Freshness::default();
    let others = [host("a"), host("b")];
    let cut_off = Report { version: 7, platform_age: None };
    freshness.record_read(at(1_000), 7);
    freshness.record_report(&others[0], at(9_000), cut_off);
    assert_eq!(freshness.rule(at(10_000), others.iter()).0, Rule::Stale);
    freshness.record_report(&others[1], at(9_500), cut_off);
    assert_eq!(freshness.rule(at(10_000), others.iter()), (Rule::Fleet, at(13_500)));
    // A report that arrives late is dated by its question.
    freshness.record_report(&others[1], at(9_000), cut_off);
    assert_eq!(freshness.rule(at(13_499), others.iter()).0, Rule::Fleet);
    assert_eq!(freshness.rule(at(13_500), others.iter()).0, Rule::Stale);
}

#[test]
fn a_host_that_never_heard_the_platform_knows_no_keys() {
    let mut freshness = Freshness::default();
    let other = host("a");
    freshness.record_report(&other, at(1_000), Report { version: 0, platform_age: None });
    assert_eq!(freshness.rule(at(1_001), std::iter::once(&other)).0, Rule::Stale);
}

#[test]
fn guesses_are_limited_by_address_in_bounded_memory() {
    let mut limiter = Limiter::default();
    let guesser: IpAddr = "10.0.0.1".parse().expect("an address");
    for _ in 0..20 {
        assert!(limiter.check(at(0), guesser).is_ok());
        limiter.record_failure(at(0), guesser);
    }
    assert!(limiter.check(at(0), guesser).is_err());
    for i in 0..40_000_u32 {
        limiter.record_failure(at(0), IpAddr::from((0x0b00_0000 + i).to_be_bytes()));
    }
    assert!(limiter.len() <= 16_384);
    assert!(limiter.check(at(0), guesser).is_err(), "the guesser was evicted");
    assert!(limiter.check(at(60_000), guesser).is_ok());
}
