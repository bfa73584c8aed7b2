//! Which connection of a full port is closed first.

use toucanhoist_core::connections::Waiting;

#[test]
fn the_connection_that_has_waited_longest_is_closed_first() {
    let mut waiting = Waiting::default();
    let first = waiting.begin("first");
    waiting.begin("second");
    let third = waiting.begin("third");
    // The first one has a request, and waits again when it has been answered.
    assert_eq!(waiting.end(first), Some("first"));
    waiting.begin("first");
    assert_eq!(waiting.take_longest(), Some("second"));
    assert_eq!(waiting.take_longest(), Some("third"));
    // A connection that was taken to be closed cannot begin a request.
    assert_eq!(waiting.end(third), None);
    assert_eq!(waiting.take_longest(), Some("first"));
    assert_eq!(waiting.take_longest(), None);
}
