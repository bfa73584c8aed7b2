//! Whether removals right after an outage of the store are deferred.

use {
    rstest::rstest,
    toucanhoist_core::steering::{Connectivity, Topic},
};

use crate::support::at;

/// Evidence from other hosts while the store does not answer this one.
enum Evidence {
    /// The heartbeat of a connected host.
    Heartbeat,
    /// Another host knows all changes up to this version.
    Version(u64),
}

use Evidence::{Heartbeat, Version};

fn disconnected() -> Connectivity {
    let mut connectivity = Connectivity::default();
    for topic in Topic::ALL {
        connectivity.mark_answered(at(0), topic);
        connectivity.mark_unanswered(at(1_000), topic, 100.into());
    }
    connectivity
}

/// Until when removals are deferred, in milliseconds, if the host received this evidence and the
/// store answers again nine seconds after the outage began.
#[rstest]
#[case::silence(&[], Some(12_200))]
#[case::rejected_alone(&[(3_000, Heartbeat), (4_000, Heartbeat), (5_000, Heartbeat), (6_000, Heartbeat), (7_000, Heartbeat), (8_000, Heartbeat), (9_000, Heartbeat)], None)]
#[case::newer_version_of_others(&[(3_000, Version(101))], None)]
#[case::version_from_before(&[(1_400, Version(101)), (3_000, Version(101))], Some(12_200))]
#[case::heartbeats_from_before(&[(1_200, Heartbeat), (1_700, Heartbeat)], Some(12_200))]
#[case::others_are_back_first(&[(9_400, Heartbeat), (9_900, Heartbeat)], Some(11_600))]
#[case::alone_then_all(&[(3_000, Heartbeat), (4_000, Heartbeat), (5_000, Heartbeat)], Some(12_200))]
#[case::all_then_alone(&[(5_500, Heartbeat), (6_500, Heartbeat), (7_500, Heartbeat), (8_500, Heartbeat), (9_500, Heartbeat)], None)]
fn removals_are_deferred_only_after_an_outage_for_all_hosts(
    #[case] evidence: &[(u64, Evidence)],
    #[case] expected: Option<u64>,
) {
    let mut connectivity = disconnected();
    for (millis, item) in evidence {
        match item {
            Heartbeat => connectivity.record_watcher_heartbeat(at(*millis)),
            Version(version) => connectivity.record_peer_version(at(*millis), (*version).into()),
        }
    }
    for topic in Topic::ALL {
        assert_eq!(
            connectivity.mark_answered(at(10_000), topic).map(|outage| outage.as_millis()),
            Some(9_000)
        );
    }
    let until =
        (10_000..15_000).step_by(100).find(|millis| !connectivity.defers_removals(at(*millis)));
    assert_eq!(until.filter(|until| *until > 10_000), expected);
}

#[test]
fn a_short_outage_defers_no_removals() {
    let mut connectivity = disconnected();
    connectivity.mark_answered(at(1_600), Topic::Targets);
    assert!(!connectivity.defers_removals(at(1_700)));
}

#[test]
fn a_host_that_stopped_following_has_no_outage() {
    let mut connectivity = disconnected();
    connectivity.stop_following();
    assert_eq!(connectivity.mark_answered(at(17_000), Topic::Targets), None);
    assert!(!connectivity.defers_removals(at(17_100)));
}

#[test]
fn a_host_is_connected_once_all_topics_are_answered() {
    let mut connectivity = Connectivity::default();
    assert!(!connectivity.is_connected(), "no topic was read");
    connectivity.mark_answered(at(0), Topic::Targets);
    connectivity.mark_answered(at(0), Topic::Operator);
    assert!(!connectivity.is_connected());
    connectivity.mark_answered(at(0), Topic::Hosts);
    assert!(connectivity.is_connected());
    assert!(connectivity.mark_unanswered(at(100), Topic::Hosts, 1.into()));
    assert!(
        !connectivity.mark_unanswered(at(200), Topic::Hosts, 1.into()),
        "it was unanswered before"
    );
    assert!(!connectivity.is_connected());
}
