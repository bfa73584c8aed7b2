//! Answers whose status is none.

use rstest::rstest;

use super::support::{Behaviour, send_to_faulty};

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
        let ((answered, head, body), sent) = send_to_faulty(Behaviour::Status(status), path).await;
        assert_eq!(answered, expected, "{path}: {head}{body}");
        assert_eq!(body.contains("may-have-run"), expected == 502, "{body}");
        assert_eq!(sent, sends, "{path} was sent {sent} times");
    }
}
