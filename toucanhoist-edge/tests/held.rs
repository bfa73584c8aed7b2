//! Bodies in memory, within a budget.

use std::sync::Arc;

use {
    bytes::Bytes,
    proptest::{collection::vec, prelude::*},
    toucanhoist_core::{memory::Budget, quarantine::Fingerprint},
    toucanhoist_edge::held::{Collector, Content},
};

const KB: usize = 1_024;

fn collect(budget: &Arc<Budget>, chunks: &[Vec<u8>]) -> Content {
    let mut collector = Collector::new(budget, 0);
    for chunk in chunks {
        collector.push(chunk).expect("room");
    }
    collector.finish()
}

proptest! {
    #[test]
    fn a_body_is_kept_whole(chunks in vec(vec(any::<u8>(), 0..5_000), 0..20)) {
        let budget = Budget::new(KB * KB);
        let whole = chunks.concat();
        let content = collect(&budget, &chunks);
        prop_assert_eq!(content.length(), whole.len());
        prop_assert_eq!(content.segments().collect::<Vec<_>>().concat(), whole.clone());
        // Hosts of other versions know requests by the fingerprint of the body in one piece.
        let fingerprint = Fingerprint::with_content(&[b"GET", b"/a"], whole.len(), content.segments());
        prop_assert_eq!(fingerprint, Fingerprint::of(&[b"GET", b"/a", &whole]));
        prop_assert_eq!(content.into_bytes(&budget), Ok(Bytes::from(whole)));
        prop_assert_eq!(budget.held(), 0);
    }
}

#[test]
fn each_part_is_given_back_when_it_has_been_sent() {
    let budget = Budget::new(200 * KB);
    let mut content = collect(&budget, &[vec![1; 100 * KB]]);
    let held = budget.held();
    assert!((100 * KB..=120 * KB).contains(&held), "{held}");
    drop(content.take_next());
    assert!(budget.held() < held);
    let copy = content.clone();
    drop(content);
    assert!(budget.held() > 0);
    drop(copy);
    assert_eq!(budget.held(), 0);
}

#[test]
fn small_bodies_need_no_budget_and_large_ones_stop_at_its_end() {
    let budget = Budget::new(40 * KB);
    let _other = budget.take(40 * KB);
    let mut small = Collector::new(&budget, 0);
    small.push(&[1; KB]).expect("room for a small body");
    assert_eq!(small.finish().length(), KB);

    let budget = Budget::new(40 * KB);
    let mut large = Collector::new(&budget, 0);
    let exhausted = large.push(&[1; 100 * KB]).expect_err("no room for all of it");
    assert!(exhausted.taken <= 40 * KB, "{exhausted:?}");
    assert_eq!(large.length(), exhausted.taken);
    large.push_uncounted(vec![2; 100 * KB - exhausted.taken].into());
    assert_eq!(large.finish().length(), 100 * KB);
    assert_eq!(budget.held(), 0);
}
