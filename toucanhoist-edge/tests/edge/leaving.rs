//! Targets that say in their answers that they leave, or when they want to be asked again.

use std::time::Duration;

use {
    rstest::rstest,
    tokio::time::{self, Instant},
    toucanhoist_core::steering::{Key, Value},
};

use crate::support::{Behaviour, FakeTarget, entry, get, header, name, site};

#[rstest]
#[case::success("/safe/a", 200)]
#[case::refusal("/safe/a", 503)]
#[case::failure("/once/a", 500)]
#[case::no_promise("/once/a", 503)]
#[tokio::test]
async fn a_target_that_says_that_it_leaves_gets_no_more_requests(
    #[case] path: &str,
    #[case] status: u16,
) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::Leave(status, "1"));
    get(edge.addresses().callers, path, "r-1").await;
    let before = target.request_count();
    // The entry stays, and is written again.
    let mut again = entry(target.address);
    again.slots += 1;
    store.put(Key::Target(name("t1")), Some(Value::Target(again.clone())));
    for number in 2..12 {
        let (status, head, body) =
            get(edge.addresses().callers, path, &format!("r-{number}")).await;
        assert_eq!(status, 503, "{head}{body}");
        assert!(body.contains("not-run"), "{body}");
        time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(target.request_count(), before);
    // A later start of the target is another incarnation.
    again.born += 1;
    target.set_behaviour(Behaviour::Answer);
    store.put(Key::Target(name("t1")), Some(Value::Target(again)));
    while get(edge.addresses().callers, path, "r-again").await.0 != 200 {
        time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn another_value_of_the_header_says_nothing() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::Leave(200, "0"));
    for number in 1..4 {
        assert_eq!(get(edge.addresses().callers, "/safe/a", &format!("r-{number}")).await.0, 200);
    }
}

#[tokio::test]
async fn a_target_that_names_a_time_to_come_back_gets_nothing_until_then() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::Busy("1.5"));
    let begun = Instant::now();
    let (status, head, _) = get(edge.addresses().callers, "/once/a", "r-1").await;
    assert_eq!((status, header(&head, "retry-after").is_some()), (503, true), "{head}");
    let before = target.request_count();
    target.set_behaviour(Behaviour::Answer);
    let mut number = 2;
    // Refused at once while the time lasts, and served soon after it.
    while get(edge.addresses().callers, "/once/a", &format!("r-{number}")).await.0 == 503 {
        assert_eq!(target.request_count(), before);
        number += 1;
        time::sleep(Duration::from_millis(20)).await;
    }
    assert!(begun.elapsed() >= Duration::from_millis(1_500), "served early");
}
