//! Entries of targets that other writers have left, at a running host.

use toucanhoist_core::steering::{Key, Value};

use crate::support::{Behaviour, FakeTarget, KEY, entry, name, request, send, site};

#[tokio::test]
async fn a_target_at_the_address_of_a_host_gets_no_requests() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, store) = site(&[("t1", &target)]).await;
    for (id, address) in [("t2", edge.addresses().callers), ("t3", edge.addresses().peers)] {
        let odd = entry(address);
        store.put(Key::Target(name(id)), Some(Value::Target(odd)));
    }
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let before = target.request_count();
    for number in 0..20 {
        let text = request("GET", &format!("/safe/{number}"), "r", Some(KEY), "");
        let text = text.replace("r-", &format!("r-{number}-"));
        let (status, _, _) = send(edge.addresses().callers, &text).await;
        assert_eq!(status, 200, "request {number}");
    }
    assert_eq!(target.request_count() - before, 20);
}
