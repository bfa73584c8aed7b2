//! Answers stored for resends: small ones in the record, larger ones in the object store.

use std::io;

use {
    bytes::{Bytes, BytesMut},
    futures_util::{StreamExt, stream},
    http::{HeaderMap, StatusCode},
    http_body_util::{BodyExt, BodyStream},
    tokio::time::{self, Instant},
    toucanhoist_core::{
        id,
        refusal::{Code, Refusal, Verdict},
        submission::{Content, Header, StoredAnswer},
    },
    toucanhoist_edge::status,
    toucanhoist_store::Platform,
};

use crate::host::exchange::{self, Answer, Body};

/// Largest body that is stored in the record.
const INLINE_MAX_BYTES: usize = 4 * 1_024;
/// Largest body that is stored at all.
const STORED_MAX_BYTES: usize = 1_024 * 1_024;
const DAY_S: u64 = 86_400;

/// A target's answer with its body, as far as it can be stored.
pub(super) struct Collected {
    answer: Answer,
    content: Bytes,
    /// Rest of a body that is too large to be stored.
    rest: Option<Body>,
}

/// Buffers the body of an answer before any of it is sent to the caller.
///
/// # Errors
///
/// The answer was incomplete or did not arrive in time: the request may have run.
pub(super) async fn collect(mut answer: Answer, deadline: Instant) -> Result<Collected, Refusal> {
    let mut body = std::mem::replace(&mut answer.body, exchange::full(Bytes::new()));
    let mut content = BytesMut::new();
    let reading = async {
        while content.len() <= STORED_MAX_BYTES {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        content.extend_from_slice(&chunk);
                    }
                }
                Some(Err(error)) => return Err(incomplete(&error)),
                None => return Ok(true),
            }
        }
        Ok(false)
    };
    let is_complete = match time::timeout_at(deadline, reading).await {
        Ok(is_complete) => is_complete?,
        Err(_) => {
            let detail = "the answer was not received completely in time";
            return Err(Refusal::may_have_run(Code::DeadlineExceeded, detail));
        }
    };
    let rest = (!is_complete).then_some(body);
    Ok(Collected { answer, content: content.freeze(), rest })
}

fn incomplete(error: &io::Error) -> Refusal {
    Refusal::may_have_run(Code::TargetFailed, format!("incomplete answer: {error}"))
}

impl Collected {
    /// Stores the body and returns the answer for the record.
    pub(super) async fn store(&mut self, platform: &dyn Platform, name: &str) -> StoredAnswer {
        let content = match self.content.len() {
            _ if self.rest.is_some() => Content::Omitted,
            length if length <= INLINE_MAX_BYTES => Content::Inline(self.content.to_vec()),
            _ => match platform.put_object(name, self.content.clone()).await {
                Ok(()) => Content::Object(name.into()),
                Err(_) => Content::Omitted,
            },
        };
        StoredAnswer {
            status: self.answer.status.as_u16(),
            headers: headers(&self.answer.headers),
            target: self.answer.target.clone(),
            content,
        }
    }

    /// Returns the answer for the caller.
    pub(super) fn into_answer(mut self) -> Answer {
        self.answer.body = match self.rest {
            None => exchange::full(self.content),
            Some(rest) => {
                let first = stream::iter([Ok(self.content)]);
                let rest = BodyStream::new(rest).filter_map(|frame| async move {
                    frame.map(|frame| frame.into_data().ok()).transpose()
                });
                exchange::stream(first.chain(rest))
            }
        };
        self.answer
    }
}

/// Returns the name of the object for the body of an answer; objects of one day share a prefix.
pub(super) fn object_name(unix_s: u64, request: id::Request) -> String {
    format!("submissions/{}/{request}", unix_s / DAY_S)
}

/// Returns a stored answer as it was sent to the first caller.
///
/// # Errors
///
/// The answer was not stored, or cannot be read at present.
pub(super) async fn replay(
    platform: &dyn Platform,
    stored: StoredAnswer,
) -> Result<Answer, Refusal> {
    let content = match stored.content {
        Content::Inline(content) => content.into(),
        Content::Omitted => return Err(ran(Code::AnswerNotKept, "it ran, but no answer was kept")),
        Content::Object(name) => match platform.get_object(&name).await {
            Ok(Some(content)) => content,
            Ok(None) => return Err(ran(Code::AnswerNotKept, "it ran, but its answer was deleted")),
            Err(error) => {
                return Err(ran(Code::StoreUnavailable, &error.to_string())
                    .retry_after(std::time::Duration::from_secs(1)));
            }
        },
    };
    let status = StatusCode::from_u16(stored.status).ok().filter(|code| status::is_final(*code));
    Ok(Answer {
        status: status
            .ok_or_else(|| ran(Code::AnswerNotKept, "it ran, its status was not kept"))?,
        headers: header_map(&stored.headers),
        body: exchange::full(content),
        target: stored.target,
    })
}

/// Returns a refusal of a request that did run.
fn ran(code: Code, detail: &str) -> Refusal {
    Refusal { verdict: Verdict::Ran, ..Refusal::may_have_run(code, detail) }
}

fn headers(map: &HeaderMap) -> Vec<Header> {
    map.iter()
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn header_map(headers: &[Header]) -> HeaderMap {
    exchange::header_map(headers.iter().map(|h| (h.name.as_bytes(), h.value.as_ref())))
}
