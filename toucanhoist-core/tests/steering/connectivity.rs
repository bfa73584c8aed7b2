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
fn a_topic_is_unanswered_from_its_failure_to_its_next_answer() {
    let mut connectivity = Connectivity::default();
    connectivity.mark_answered(at(0), Topic::Targets);
    assert!(!connectivity.has_outage());
    assert!(connectivity.mark_unanswered(at(100), Topic::Targets, 1.into()));
    assert!(
        !connectivity.mark_unanswered(at(200), Topic::Targets, 1.into()),
        "it was unanswered before"
    );
    assert!(connectivity.is_unanswered(Topic::Targets) && connectivity.has_outage());
    assert!(!connectivity.is_unanswered(Topic::Hosts));
    connectivity.mark_answered(at(300), Topic::Hosts);
    assert!(connectivity.is_unanswered(Topic::Targets), "another topic was answered");
    connectivity.mark_answered(at(300), Topic::Targets);
    assert!(!connectivity.is_unanswered(Topic::Targets) && !connectivity.has_outage());
}

/// Removals after the host alone was rejected for a second, by when the store served others
/// without a break, in milliseconds.
#[rstest]
#[case::all_the_time(&[(1_400, 500, 1_300)], false)]
#[case::known_after_the_return(&[(2_300, 500, 2_200)], false)]
#[case::until_shortly_before_the_return(&[(2_300, 500, 1_600)], false)]
#[case::from_before_only(&[(2_300, 500, 900)], true)]
#[case::since_the_return_only(&[(2_900, 2_000, 2_800)], true)]
fn service_of_others_refutes_a_deferral(
    #[case] evidence: &[(u64, u64, u64)],
    #[case] is_deferred: bool,
) {
    let mut connectivity = disconnected();
    let record = |connectivity: &mut Connectivity, before: bool| {
        for (_, from, until) in evidence.iter().filter(|(at, ..)| (*at < 2_000) == before) {
            connectivity.record_service(at(*from), at(*until));
        }
    };
    record(&mut connectivity, true);
    for topic in Topic::ALL {
        connectivity.mark_answered(at(2_000), topic);
    }
    record(&mut connectivity, false);
    assert_eq!(connectivity.defers_removals(at(3_000)), is_deferred);
}
