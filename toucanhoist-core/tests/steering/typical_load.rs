//! Expected load of a target, from its last report and from the typical load of similar targets.

use {
    rstest::rstest,
    toucanhoist_core::steering::{Load, Report},
};

use crate::support::at;

/// Requests that a target is expected to hold after some time, where targets of its region
/// typically hold `typical`.
#[rstest]
#[case::in_region(None, 0.0, 20_000, 0.0)]
#[case::no_report(None, 3.0, 20_000, 3.0)]
#[case::report(Some(5), 3.0, 0, 3.0)]
#[case::old_report(Some(5), 3.0, 20_000, 3.0)]
#[case::report_of_an_idle_one(Some(0), 3.0, 0, 0.0)]
#[case::old_report_of_an_idle_one(Some(0), 3.0, 20_000, 3.0)]
fn a_target_without_news_counts_as_busy_as_others(
    #[case] report: Option<u32>,
    #[case] typical: f64,
    #[case] after_ms: u64,
    #[case] expected: f64,
) {
    let mut load = Load::default();
    if let Some(running) = report {
        load.apply_report(at(0), Report { running, waiting: 0, slots: 4 });
    }
    let busy = load.busy(at(after_ms), typical);
    assert!((busy - expected).abs() < 0.05, "{busy}");
}

#[test]
fn own_requests_count_towards_the_typical_load() {
    let mut load = Load::default();
    (0..2).for_each(|_| load.send());
    assert!((load.busy(at(20_000), 3.0) - 3.0).abs() < 0.05);
    (0..4).for_each(|_| load.send());
    assert!((load.busy(at(20_000), 3.0) - 6.0).abs() < 0.05);
}
