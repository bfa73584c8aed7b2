//! A full port closes connections that wait, and never one whose request is being handled.

use std::time::Duration;

use {tokio::time, toucanhoist_edge::connections::Port};

/// Whether a connection is to be closed.
async fn is_closing(slot: &toucanhoist_edge::connections::Slot) -> bool {
    time::timeout(Duration::ZERO, slot.closing()).await.is_ok()
}

#[tokio::test]
async fn a_new_connection_takes_the_place_of_the_one_that_waited_longest() {
    let port = Port::new("callers", 2);
    let first = port.admit().await.expect("room");
    let second = port.admit().await.expect("room");
    // The first connection has a request, which makes the second one wait longest.
    let busy = first.begin().expect("not closed");
    let admitting = tokio::spawn({
        let port = port.clone();
        async move { port.admit().await }
    });
    second.closing().await;
    assert!(second.begin().is_none(), "a connection that closes takes no request");
    drop(second);
    let third = admitting.await.expect("no panic").expect("room");
    assert!(!is_closing(&first).await && !is_closing(&third).await);
    drop(busy);
    let report = port.report().expect("a report");
    assert_eq!((report.closed, report.refused), (1, 0));
    assert!(port.report().is_none(), "reports come at most once in a while");
}

#[tokio::test]
async fn a_new_connection_is_refused_if_all_have_requests() {
    let port = Port::new("callers", 1);
    let slot = port.admit().await.expect("room");
    let first = slot.begin().expect("not closed");
    let second = slot.begin().expect("not closed");
    assert!(port.admit().await.is_none());
    drop(first);
    assert!(port.admit().await.is_none(), "a pipelined request is still being handled");
    drop(second);
    drop(slot);
    assert!(port.admit().await.is_some());
}

#[tokio::test]
async fn a_connection_that_is_renewed_is_closed_last() {
    let port = Port::new("peers", 2);
    let first = port.admit().await.expect("room");
    let second = port.admit().await.expect("room");
    first.renew();
    let admitting = port.admit();
    let closing = second.closing();
    tokio::select! {
        _ = admitting => panic!("no connection has closed yet"),
        () = closing => {}
    }
}
