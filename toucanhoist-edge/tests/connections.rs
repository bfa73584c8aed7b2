//! A full port closes connections that wait, and never one whose request is being handled.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use {
    tokio::time,
    toucanhoist_core::{machine::Machine, memory::Budget},
    toucanhoist_edge::connections::{Port, Slot},
};

/// Admits a connection to a port whose log is discarded.
async fn admit(port: &Arc<Port>) -> Option<Arc<Slot>> {
    port.admit(|_, _| ()).await
}

/// Whether a connection is to be closed.
async fn is_closing(slot: &Slot) -> bool {
    time::timeout(Duration::ZERO, slot.closing()).await.is_ok()
}

#[tokio::test]
async fn a_new_connection_takes_the_place_of_the_one_that_waited_longest() {
    let port = Port::new("callers", 2);
    let first = admit(&port).await.expect("room");
    let second = admit(&port).await.expect("room");
    // The first connection has a request, which makes the second one wait longest.
    let busy = first.begin().expect("not closed");
    let admitting = tokio::spawn({
        let port = port.clone();
        async move { admit(&port).await }
    });
    second.closing().await;
    assert!(second.begin().is_none(), "a connection that closes takes no request");
    drop(second);
    let third = admitting.await.expect("no panic").expect("room");
    assert!(!is_closing(&first).await && !is_closing(&third).await);
    drop(busy);
}

#[tokio::test]
async fn a_new_connection_is_refused_if_all_have_requests() {
    let port = Port::new("callers", 1);
    let slot = admit(&port).await.expect("room");
    let first = slot.begin().expect("not closed");
    let second = slot.begin().expect("not closed");
    assert!(admit(&port).await.is_none());
    drop(first);
    assert!(admit(&port).await.is_none(), "a pipelined request is still being handled");
    drop(second);
    drop(slot);
    assert!(admit(&port).await.is_some());
}

#[tokio::test]
async fn a_full_port_is_logged_once_in_a_while() {
    let port = Port::new("callers", 1);
    let slot = admit(&port).await.expect("room");
    let _busy = slot.begin().expect("not closed");
    let lines = Mutex::new(Vec::new());
    for _ in 0..3 {
        let refused = port.admit(|event, fields| {
            let fields = fields.iter().map(|(name, value)| format!("{name}={value}"));
            let line = format!("{event} {}", fields.collect::<Vec<_>>().join(" "));
            lines.lock().expect("no panic").push(line);
        });
        assert!(refused.await.is_none());
    }
    let lines = lines.into_inner().expect("no panic");
    assert_eq!(lines, ["port-full port=callers closed=0 refused=1"]);
}

#[tokio::test]
async fn a_connection_that_is_renewed_is_closed_last() {
    let port = Port::new("peers", 2);
    let first = admit(&port).await.expect("room");
    let second = admit(&port).await.expect("room");
    first.renew();
    let admitting = admit(&port);
    let closing = second.closing();
    tokio::select! {
        _ = admitting => panic!("no connection has closed yet"),
        () = closing => {}
    }
}

/// On a small machine some connections take their memory from the budget of callers, as far as it reaches.
#[tokio::test]
async fn further_connections_are_admitted_while_the_budget_has_room() {
    let machine = Machine { memory: 160_000_000, descriptors: 4_100 };
    let allotment = machine.allotment();
    let memory = Budget::new(allotment.held);
    let port = Port::for_callers(&allotment, &memory);
    let mut slots = Vec::new();
    for _ in 0..allotment.callers {
        slots.push(admit(&port).await.expect("room"));
    }
    assert!(memory.held() > 0 && allotment.held - memory.held() >= machine.memory / 64 * 15);
    // All have requests, so the next one is refused.
    let busy: Vec<_> = slots.iter().map(|slot| slot.begin().expect("not closed")).collect();
    assert!(admit(&port).await.is_none());
    drop(busy);
    drop(slots);
    assert_eq!(memory.held(), 0);
    // A body of the largest size leaves no room for them, but for the others.
    let _body = memory.take(allotment.held).expect("room");
    let mut slots = Vec::new();
    for _ in 0..allotment.callers_assured {
        slots.push(admit(&port).await.expect("room"));
    }
    let _busy: Vec<_> = slots.iter().map(|slot| slot.begin().expect("not closed")).collect();
    assert!(admit(&port).await.is_none());
}
