//! Identity of a submission: its idempotency key and its digest.

use {
    bytes::BytesMut,
    salvo::Request,
    toucanhoist_core::{
        key::Digest,
        refusal::{Code, Refusal},
        submission::Submission,
    },
};

use crate::host::exchange::{Head, Payload};

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// Returns the submission that a request makes.
pub(super) fn submission(
    request: &Request,
    head: &Head,
    payload: &Payload,
) -> Result<Submission, Refusal> {
    let key = request.headers().get(IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
    let key = key
        .filter(|key| (1..=IDEMPOTENCY_KEY_MAX_BYTES).contains(&key.len()))
        .ok_or_else(|| Refusal::not_run(Code::KeyRequired, "send a unique Idempotency-Key"))?;
    let Some(account) = head.account.clone() else {
        return Err(Refusal::not_run(Code::KeyRefused, "a submission needs an account"));
    };
    let content: &[u8] = match payload {
        Payload::Buffered(content) => content,
        Payload::Stream(_) => &[],
    };
    let mut digested = BytesMut::new();
    digested.extend_from_slice(head.method.as_str().as_bytes());
    digested.extend_from_slice(b" ");
    digested.extend_from_slice(head.path_and_query.as_bytes());
    digested.extend_from_slice(b"\n");
    digested.extend_from_slice(content);
    Ok(Submission {
        account,
        service: head.service.clone(),
        key: key.into(),
        digest: Digest::of(&digested),
        request: head.request,
    })
}
