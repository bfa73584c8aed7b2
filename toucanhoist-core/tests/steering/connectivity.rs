//! Whether removals right after an absence of the store have to wait.

use {
    rstest::rstest,
    toucanhoist_core::steering::{Connectivity, Topic},
};

use crate::support::at;

/// What a host hears of others while the store does not answer it.
enum Sign {
    /// The word of a host in touch.
    Word,
    /// A host knows all up to this version.
    Version(u64),
}

use Sign::{Version, Word};

fn lost() -> Connectivity {
    let mut touch = Connectivity::default();
    for topic in Topic::ALL {
        touch.mark_answered(at(0), topic);
        touch.mark_unanswered(at(1_000), topic, 100.into());
    }
    touch
}

/// Until when removals wait, in milliseconds, if the host heard these signs and the store answers again
/// nine seconds after it was lost.
#[rstest]
#[case::silence(&[], Some(12_200))]
#[case::turned_away_alone(&[(3_000, Word), (4_000, Word), (5_000, Word), (6_000, Word), (7_000, Word), (8_000, Word), (9_000, Word)], None)]
#[case::news_of_others(&[(3_000, Version(101))], None)]
#[case::old_news(&[(1_400, Version(101)), (3_000, Version(101))], Some(12_200))]
#[case::words_from_before(&[(1_200, Word), (1_700, Word)], Some(12_200))]
#[case::others_are_back_first(&[(9_400, Word), (9_900, Word)], Some(11_600))]
#[case::alone_then_all(&[(3_000, Word), (4_000, Word), (5_000, Word)], Some(12_200))]
#[case::all_then_alone(&[(5_500, Word), (6_500, Word), (7_500, Word), (8_500, Word), (9_500, Word)], None)]
fn removals_wait_only_after_an_absence_for_all(
    #[case] signs: &[(u64, Sign)],
    #[case] expected: Option<u64>,
) {
    let mut touch = lost();
    for (millis, sign) in signs {
        match sign {
            Word => touch.record_watcher_heartbeat(at(*millis)),
            Version(version) => touch.record_peer_version(at(*millis), (*version).into()),
        }
    }
    for topic in Topic::ALL {
        assert_eq!(
            touch.mark_answered(at(10_000), topic).map(|away| away.as_millis()),
            Some(9_000)
        );
    }
    let until = (10_000..15_000).step_by(100).find(|millis| !touch.defers_removals(at(*millis)));
    assert_eq!(until.filter(|until| *until > 10_000), expected);
}

#[test]
fn a_short_absence_lets_nothing_lapse() {
    let mut touch = lost();
    touch.mark_answered(at(1_600), Topic::Targets);
    assert!(!touch.defers_removals(at(1_700)));
}

#[test]
fn a_host_that_rests_is_not_away() {
    let mut touch = lost();
    touch.stop_following();
    assert_eq!(touch.mark_answered(at(17_000), Topic::Targets), None);
    assert!(!touch.defers_removals(at(17_100)));
}

#[test]
fn a_host_is_in_touch_once_all_topics_are_answered() {
    let mut touch = Connectivity::default();
    assert!(!touch.is_connected(), "nothing was asked");
    touch.mark_answered(at(0), Topic::Targets);
    touch.mark_answered(at(0), Topic::Operator);
    assert!(!touch.is_connected());
    touch.mark_answered(at(0), Topic::Hosts);
    assert!(touch.is_connected());
    assert!(touch.mark_unanswered(at(100), Topic::Hosts, 1.into()));
    assert!(!touch.mark_unanswered(at(200), Topic::Hosts, 1.into()), "it was lost before");
    assert!(!touch.is_connected());
}
