//! When a host asks another one for changes that it has missed.

use std::net::SocketAddr;

use toucanhoist_core::steering::CatchUp;

use crate::support::at;

fn host(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], number).into()
}

/// Polls every 100 ms for three seconds; returns the times in milliseconds at which a host is to be
/// asked, with the port of that host.
fn polled(catch_up: &mut CatchUp, newest: impl Fn(u64) -> u64) -> Vec<(u64, u16)> {
    let polled = (0..30).filter_map(|tick| {
        let millis = tick * 100;
        Some((millis, catch_up.poll(at(millis), newest(millis).into())?.port()))
    });
    polled.collect()
}

#[test]
fn changes_that_arrive_in_time_are_not_requested() {
    let mut catch_up = CatchUp::default();
    catch_up.record_peer_version(at(0), 10.into(), host(1), true, 12.into());
    assert_eq!(polled(&mut catch_up, |millis| if millis < 300 { 10 } else { 12 }), []);
}

#[test]
fn a_host_of_the_region_is_asked_before_one_of_another() {
    let mut catch_up = CatchUp::default();
    catch_up.record_peer_version(at(0), 10.into(), host(2), false, 12.into());
    catch_up.record_peer_version(at(100), 10.into(), host(1), true, 12.into());
    assert_eq!(polled(&mut catch_up, |_| 10), [(400, 1)]);
}

#[test]
fn a_host_of_another_region_is_asked_when_none_of_the_region_is_ahead() {
    let mut catch_up = CatchUp::default();
    catch_up.record_peer_version(at(0), 10.into(), host(2), false, 12.into());
    assert_eq!(polled(&mut catch_up, |_| 10), [(1_200, 2)]);
}

#[test]
fn the_delay_restarts_for_changes_after_the_host_has_caught_up() {
    let mut catch_up = CatchUp::default();
    catch_up.record_peer_version(at(0), 10.into(), host(1), true, 12.into());
    catch_up.record_peer_version(at(300), 12.into(), host(1), true, 13.into());
    assert_eq!(polled(&mut catch_up, |_| 12), [(700, 1)]);
}

#[test]
fn a_watcher_is_asked_at_once_and_not_too_often() {
    let mut catch_up = CatchUp::default();
    catch_up.record_watcher_ahead(host(3));
    assert_eq!(catch_up.poll(at(0), 10.into()), Some(host(3)));
    catch_up.record_watcher_ahead(host(4));
    assert_eq!(polled(&mut catch_up, |_| 10), [(500, 4)]);
}
