//! Answers whose status is none.

use rstest::rstest;

use super::support::{Behaviour, FakeTarget, KEY, request, send, site};

/// An answer without a status that ends an exchange never reaches the caller, and nothing that it states counts: the
/// request may have run.
#[rstest]
#[case::zero("000 Trouble")]
#[case::zero_without_reason("000")]
#[case::below_100("099 Trouble")]
#[case::continue_as_final("100 Continue")]
#[case::switching_protocols("101 Switching Protocols")]
#[case::other_interim("199 Interim")]
#[case::from_600("600 Trouble")]
#[case::largest("999 Trouble")]
#[case::four_digits("2000 OK")]
#[case::two_digits("20 OK")]
#[case::letters("abc OK")]
#[tokio::test]
async fn an_answer_without_a_status_counts_as_none(#[case] status: &'static str) {
    for (path, expected, sends) in [("/safe/a", 200, 2), ("/once/a", 502, 1)] {
        let targets = [
            FakeTarget::spawn(Behaviour::Answer).await,
            FakeTarget::spawn(Behaviour::Answer).await,
        ];
        let (edge, _store) = site(&[("t1", &targets[0]), ("t2", &targets[1])]).await;
        // Requests for one object go to the same target.
        let text = request("GET", path, "r-1", Some(KEY), "")
            .replace("\r\n\r\n", "\r\ncookie: toucanhoist-object=1\r\n\r\n");
        let before = targets.each_ref().map(FakeTarget::request_count);
        assert_eq!(send(edge.addresses().callers, &text).await.0, 200);
        let first = usize::from(targets[0].request_count() == before[0]);
        targets[first].set_behaviour(Behaviour::Status(status));
        let before = targets.each_ref().map(FakeTarget::request_count);
        let (answered, head, body) =
            send(edge.addresses().callers, &text.replace("r-1", "r-2")).await;
        assert_eq!(answered, expected, "{path}: {head}{body}");
        assert_eq!(body.contains("may-have-run"), expected == 502, "{body}");
        let sent: usize = targets
            .iter()
            .zip(before)
            .map(|(target, before)| target.request_count() - before)
            .sum();
        assert_eq!(sent, sends, "{path} was sent {sent} times");
    }
}
