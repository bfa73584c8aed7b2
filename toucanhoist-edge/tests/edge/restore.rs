//! Running hosts while the store is restored from a backup.

use std::{sync::Arc, time::Duration};

use {
    tokio::time,
    toucanhoist_core::steering::{Key, Value},
    toucanhoist_edge::{dialect::Dialect, host::Edge, store::Store},
};

use crate::support::{
    Behaviour, FakeTarget, KEY, Memory, config, entry, get, host, name, put_config, request, send,
    settings, site, wait_until_ready,
};

/// Time within which hosts apply changes of the store.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Sends 20 requests through a host; returns how many each target gets.
async fn counts(edge: &Edge, targets: &[&FakeTarget]) -> Vec<usize> {
    let before: Vec<usize> = targets.iter().map(|target| target.request_count()).collect();
    for number in 0..20 {
        let text = request("GET", &format!("/safe/{number}"), "r", Some(KEY), "");
        let text = text.replace("r-", &format!("r-{number}-"));
        send(edge.addresses().callers, &text).await;
    }
    targets.iter().zip(before).map(|(target, before)| target.request_count() - before).collect()
}

fn key(text: &str) -> Key {
    Key::Target(name(text))
}

#[tokio::test]
async fn a_target_that_left_after_the_backup_gets_no_requests() {
    let (left, stays) =
        (FakeTarget::spawn(Behaviour::Answer).await, FakeTarget::spawn(Behaviour::Answer).await);
    let (edge, store) = site(&[("t1", &left), ("t2", &stays)]).await;
    let backup = store.backup();
    store.put(key("t1"), None);
    time::sleep(PROPAGATION_TIME).await;
    store.restore(backup);
    time::sleep(PROPAGATION_TIME).await;
    assert_eq!(counts(&edge, &[&left, &stays]).await, [0, 20]);
    // A host that starts now asks the other host before it reads the restored store.
    let mut settings = settings("h2", vec![edge.addresses().peers]);
    settings.first_start = false;
    let second = Edge::spawn(settings, Dialect::default(), Arc::clone(&store) as Arc<dyn Store>);
    let second = second.await.expect("a host");
    wait_until_ready(&second).await;
    assert_eq!(counts(&second, &[&left, &stays]).await, [0, 20]);
    // The target starts again and registers.
    let mut restarted = entry(left.address);
    restarted.born = 2;
    store.put(key("t1"), Some(Value::Target(restarted)));
    time::sleep(PROPAGATION_TIME).await;
    assert_ne!(counts(&edge, &[&left]).await, [0]);
}

#[tokio::test]
async fn a_key_that_was_withdrawn_after_the_backup_is_refused() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, store) = site(&[("t1", &target)]).await;
    let backup = store.backup();
    let mut without = config(2);
    without.accounts[0].keys.clear();
    put_config(&store, without.clone());
    time::sleep(PROPAGATION_TIME).await;
    store.restore(backup);
    time::sleep(PROPAGATION_TIME).await;
    assert_eq!(get(edge.addresses().callers, "/safe/", "r-1").await.0, 401);
    let mut settings = settings("h2", vec![edge.addresses().peers]);
    settings.first_start = false;
    let second = Edge::spawn(settings, Dialect::default(), Arc::clone(&store) as Arc<dyn Store>);
    let second = second.await.expect("a host");
    wait_until_ready(&second).await;
    assert_eq!(get(second.addresses().callers, "/safe/", "r-2").await.0, 401);
    // Changes after the restore take effect, although their version numbers were used before it.
    without.revision = 3.into();
    without.accounts[0].keys = config(1).accounts[0].keys.clone();
    put_config(&store, without);
    time::sleep(PROPAGATION_TIME).await;
    assert_eq!(get(edge.addresses().callers, "/safe/", "r-3").await.0, 200);
}

#[tokio::test]
async fn a_host_that_the_backup_lacks_registers_again() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let store = Memory::new();
    put_config(&store, config(1));
    store.put(key("t1"), Some(Value::Target(entry(target.address))));
    let backup = store.backup();
    let edge = host("h1", &store, Vec::new()).await;
    wait_until_ready(&edge).await;
    let own = Key::Host(name("h1"));
    assert!(store.row(&own).is_some());
    store.restore(backup);
    assert!(store.row(&own).is_none());
    time::sleep(2 * PROPAGATION_TIME).await;
    assert!(store.row(&own).is_some());
}
