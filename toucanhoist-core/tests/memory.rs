//! Budgets of memory.

use toucanhoist_core::memory::Budget;

#[test]
fn shares_are_taken_up_to_the_budget_and_given_back() {
    let budget = Budget::new(100);
    let first = budget.take(60).expect("a share");
    assert!(budget.take(41).is_none());
    assert!(budget.take(usize::MAX).is_none());
    let second = budget.take(40).expect("a share");
    assert_eq!((budget.held(), first.bytes(), second.bytes()), (100, 60, 40));
    drop(first);
    assert_eq!(budget.held(), 40);
    assert!(budget.take(60).is_some());
}
