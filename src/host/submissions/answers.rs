//! Answers kept for resends: small ones in the record, large ones in the object store.

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
    toucanhoist_store::Platform,
};

use crate::host::exchange::{self, Answer, Body};

const INLINE_MAX_BYTES: usize = 4 * 1_024;
const KEPT_MAX_BYTES: usize = 1_024 * 1_024;
const DAY_S: u64 = 86_400;

/// A target's answer with as much of its body as can be kept.
pub(super) struct Collected {
    answer: Answer,
    content: Bytes,
    /// What follows a body that is too large to be kept.
    rest: Option<Body>,
}

/// Takes in the body of an answer before its caller gets any of it.
///
/// # Errors
///
/// The answer broke off or did not come in time: the request may have run.
pub(super) async fn collect(mut answer: Answer, deadline: Instant) -> Result<Collected, Refusal> {
    let mut body = std::mem::replace(&mut answer.body, exchange::full(Bytes::new()));
    let mut content = BytesMut::new();
    let reading = async {
        while content.len() <= KEPT_MAX_BYTES {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        content.extend_from_slice(&chunk);
                    }
                }
                Some(Err(error)) => return Err(broken(&error)),
                None => return Ok(true),
            }
        }
        Ok(false)
    };
    let whole = match time::timeout_at(deadline, reading).await {
        Ok(whole) => whole?,
        Err(_) => {
            let detail = "the answer did not end in time";
            return Err(Refusal::may_have_run(Code::DeadlineExceeded, detail));
        }
    };
    let rest = (!whole).then_some(body);
    Ok(Collected { answer, content: content.freeze(), rest })
}

fn broken(error: &io::Error) -> Refusal {
    Refusal::may_have_run(Code::TargetFailed, format!("the answer broke off: {error}"))
}

impl Collected {
    /// Keeps the body and returns what the record holds.
    pub(super) async fn keep(&mut self, platform: &dyn Platform, name: &str) -> StoredAnswer {
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

/// Returns the name of the object that holds an answer; objects of one day share a prefix.
pub(super) fn object_name(day_time_s: u64, request: id::Request) -> String {
    format!("submissions/{}/{request}", day_time_s / DAY_S)
}

/// Returns a kept answer as its first caller got it.
///
/// # Errors
///
/// The answer was not kept, or cannot be read at present.
pub(super) async fn replay(platform: &dyn Platform, kept: StoredAnswer) -> Result<Answer, Refusal> {
    let content = match kept.content {
        Content::Inline(content) => content.into(),
        Content::Omitted => return Err(ran(Code::AnswerNotKept, "it ran and was answered")),
        Content::Object(name) => match platform.get_object(&name).await {
            Ok(Some(content)) => content,
            Ok(None) => return Err(ran(Code::AnswerNotKept, "its answer has been deleted")),
            Err(error) => {
                return Err(ran(Code::StoreUnavailable, &error.to_string())
                    .retry_after(std::time::Duration::from_secs(1)));
            }
        },
    };
    Ok(Answer {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        headers: header_map(&kept.headers),
        body: exchange::full(content),
        target: kept.target,
    })
}

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
