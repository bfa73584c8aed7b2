//! Answers that stop in the middle of their head, and refusals that do not belong to the request.

use rstest::rstest;

use crate::support::{Behaviour, FakeTarget, get, site};

/// Bytes of an interim answer and of a head; more than the longest head of this test has.
const HEAD_BYTES: usize = 140;

#[rstest]
#[case::closed(false)]
#[case::reset(true)]
#[tokio::test]
async fn a_head_that_stops_in_the_middle_never_reaches_a_caller_as_an_answer(#[case] resets: bool) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    for bytes in 0..HEAD_BYTES {
        // The target would count as failing.
        target.set_behaviour(Behaviour::Answer);
        while get(edge.addresses().callers, "/safe/a", "r-between").await.0 != 200 {}
        target.set_behaviour(Behaviour::Head { bytes, resets });
        let (status, head, body) =
            get(edge.addresses().callers, "/once/a", &format!("r-{bytes}")).await;
        assert_eq!(status, 502, "after {bytes} bytes: {head}{body}");
        assert!(body.contains("may-have-run"), "after {bytes} bytes: {body}");
    }
}

#[tokio::test]
async fn a_refusal_without_the_identifier_does_not_promise_that_a_request_did_not_run() {
    let targets =
        [FakeTarget::spawn(Behaviour::Answer).await, FakeTarget::spawn(Behaviour::Answer).await];
    let (edge, _store) = site(&[("t1", &targets[0]), ("t2", &targets[1])]).await;
    targets.iter().for_each(|target| target.set_behaviour(Behaviour::Anonymous));
    let count = || targets.iter().map(FakeTarget::request_count).sum::<usize>();
    let before = count();
    let (status, head, body) = get(edge.addresses().callers, "/once/a", "r-1").await;
    assert_eq!(status, 502, "{head}{body}");
    assert_eq!(count() - before, 1, "sent once");
}

#[tokio::test]
async fn an_earlier_refusal_is_not_taken_for_that_of_the_same_request_sent_again() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::RefusalAgain);
    for _ in 0..20 {
        let (status, _, body) = get(edge.addresses().callers, "/once/a", "r-1").await;
        assert!(status == 503 && body.contains("not-run"), "{status} {body}");
    }
    let requests = target.requests.lock().expect("no panic");
    assert!(requests.iter().filter(|request| request.contains("/once/a")).count() > 1);
    let ran = requests.iter().filter(|request| request.starts_with("run: "));
    assert_eq!(ran.count(), 0, "requests ran that callers were told had not run");
}
