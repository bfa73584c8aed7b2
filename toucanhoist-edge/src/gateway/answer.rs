//! Answers to callers: a target's answer, or a refusal as a problem document (RFC 9457).

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use {
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    http_body::{Frame, SizeHint},
    hyper::body::Incoming,
    serde::Serialize,
    toucanhoist_core::refusal::{Code, Refusal},
};

use crate::{dialect::Dialect, headers::strip_hop_by_hop, steer::Lease, target};

const MEDIA_TYPE: &str = "application/problem+json";

/// Body of an answer.
#[derive(Debug, Default)]
pub(super) struct Body {
    first: Option<Bytes>,
    rest: Option<Incoming>,
    /// Lease of the target, held until the rest has arrived.
    _lease: Option<Lease>,
}

impl Body {
    fn complete(content: Bytes) -> Body {
        Body { first: Some(content), rest: None, _lease: None }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.as_ref().is_none_or(Bytes::is_empty) && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        match &self.rest {
            Some(rest) => {
                // An upper bound below the lower one panics, so the upper bound is set first.
                let mut hint = SizeHint::new();
                if let Some(upper) = rest.size_hint().upper() {
                    hint.set_upper(upper.saturating_add(first));
                }
                hint.set_lower(rest.size_hint().lower().saturating_add(first));
                hint
            }
            None => SizeHint::with_exact(first),
        }
    }
}

/// Returns a target's answer. `lease` is held until the whole body has been sent. `without_body` is set
/// for answers that state the length of a body but have none, as those to HEAD requests.
pub(super) fn of_target(
    answer: target::Answer,
    without_body: bool,
    lease: Option<Lease>,
) -> Response<Body> {
    let target::Answer { head, first, rest, .. } = answer;
    let mut response = Response::new(Body { first: Some(first), rest, _lease: lease });
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    let headers = response.headers_mut();
    strip_hop_by_hop(headers);
    if !without_body {
        // The HTTP library sets the length of the body that it sends.
        headers.remove(header::CONTENT_LENGTH);
    }
    response
}

#[derive(Serialize)]
struct Problem<'a> {
    title: &'static str,
    status: u16,
    code: &'static str,
    verdict: &'static str,
    detail: &'a str,
    request_id: &'a str,
}

/// Returns a refusal.
pub(super) fn of_refusal(id: &str, refusal: &Refusal, dialect: &Dialect) -> Response<Body> {
    let problem = Problem {
        title: refusal.code.title(),
        status: refusal.code.status(),
        code: refusal.code.as_str(),
        verdict: refusal.verdict.as_str(),
        detail: &refusal.detail,
        request_id: id,
    };
    // Serialisation cannot fail: a problem holds only text and numbers.
    let content = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(Body::complete(content.into()));
    *response.status_mut() =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(dialect.request_id.clone(), id);
    }
    if refusal.code == Code::KeyRefused {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some(after) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, retry_after(after, dialect.fractional_retry_after));
    }
    response
}

fn retry_after(after: Duration, fractional: bool) -> HeaderValue {
    let text = if fractional {
        format!("{:.3}", after.as_secs_f64())
    } else {
        // Rounded up to whole seconds, so that a caller does not retry too early.
        (after.as_secs() + u64::from(after.subsec_nanos() > 0)).max(1).to_string()
    };
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("1"))
}
