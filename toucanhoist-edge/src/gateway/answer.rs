//! Answers to callers: a target's answer, or a refusal as a problem document (RFC 9457).

use std::{
    fmt::Display,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use {
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header, response::Parts},
    http_body::{Frame, SizeHint},
    hyper::body::Incoming,
    serde::Serialize,
    tokio::{
        sync::{Notify, OwnedSemaphorePermit},
        task::AbortHandle,
        time::{self, Instant},
    },
    toucanhoist_core::{
        event::Event,
        refusal::{Code, Refusal},
        steering::Outcome,
    },
};

use super::{Shared, request::Admitted};
use crate::{
    connections::Busy, dialect::Dialect, headers::strip_hop_by_hop, held::Content, steer::Lease,
};

const MEDIA_TYPE: &str = "application/problem+json";

/// Body of an answer.
#[derive(Debug, Default)]
pub(super) struct Body {
    first: Content,
    rest: Option<Box<Rest>>,
    /// Marks the request as being handled until its answer has been sent.
    busy: Option<Busy>,
}

impl Body {
    fn complete(content: Bytes) -> Body {
        Body { first: content.into(), ..Body::default() }
    }

    /// Keeps the mark of a request that is being handled until the body has been sent.
    pub(super) fn keep_busy(&mut self, busy: Busy) {
        self.busy = Some(busy);
    }

    /// Notifies `overdue` when the deadline passes before the whole body has been sent. The body itself may not
    /// be polled by then, as a caller that reads nothing holds up the connection.
    pub(super) fn watch(&mut self, overdue: &Arc<Notify>) {
        let Some(rest) = &mut self.rest else { return };
        let (overdue, deadline) = (Arc::clone(overdue), rest.deadline);
        let watch = tokio::spawn(async move {
            time::sleep_until(deadline).await;
            overdue.notify_one();
        });
        rest.watch = Some(watch.abort_handle());
    }
}

/// Rest of a body that is larger than the buffer.
#[derive(Debug)]
pub(super) struct Rest {
    body: Incoming,
    /// Lease of the target, held until the body has ended, and the outcome if that is complete. `None` if the
    /// lease has ended.
    lease: Option<(Lease, Outcome)>,
    /// Whether the body has ended.
    has_ended: bool,
    deadline: Instant,
    shared: Arc<Shared>,
    id: Box<str>,
    /// Task that watches the deadline.
    watch: Option<AbortHandle>,
    /// Permit of the exchange with the target.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Rest {
    pub(super) fn new(
        shared: &Arc<Shared>,
        request: &Admitted,
        body: Incoming,
        lease: Option<(Lease, Outcome)>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Rest {
        Rest {
            body,
            lease,
            has_ended: false,
            deadline: request.deadline,
            shared: Arc::clone(shared),
            id: request.id.clone(),
            watch: None,
            _permit: permit,
        }
    }

    /// Records the end of an answer that is not complete.
    fn end_broken(&mut self, reason: &dyn Display, outcome: Outcome) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        self.shared.journal.record(Event::Broken, &self.id, &[("reason", reason)]);
        metrics::counter!("toucanhoist_answers_broken_total").increment(1);
        if let Some((lease, _)) = self.lease.take() {
            lease.end(outcome);
        }
    }

    fn end_complete(&mut self) {
        self.has_ended = true;
        if let Some((lease, outcome)) = self.lease.take() {
            lease.end(outcome);
        }
    }
}

impl Drop for Rest {
    fn drop(&mut self) {
        if let Some(watch) = &self.watch {
            watch.abort();
        }
        if Instant::now() >= self.deadline {
            self.end_broken(&"the deadline passed", Outcome::Unanswered);
        } else {
            self.end_broken(&"the caller disconnected", Outcome::Abandoned);
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(first) = self.first.take_next() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(&mut rest.body).poll_frame(context));
        match &frame {
            None => {
                rest.end_complete();
                self.rest = None;
            }
            Some(Err(error)) => rest.end_broken(error, Outcome::Broken),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.first.length() == 0 && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.length() as u64;
        match &self.rest {
            Some(rest) => {
                let body = &rest.body;
                // An upper bound below the lower one panics, so the upper bound is set first.
                let mut hint = SizeHint::new();
                if let Some(upper) = body.size_hint().upper() {
                    hint.set_upper(upper.saturating_add(first));
                }
                hint.set_lower(body.size_hint().lower().saturating_add(first));
                hint
            }
            None => SizeHint::with_exact(first),
        }
    }
}

/// Returns a target's answer, of which `rest` is not in the buffer. `without_body` is set for answers that
/// state the length of a body but have none, as those to HEAD requests.
pub(super) fn of_target(
    head: Parts,
    first: Content,
    rest: Option<Rest>,
    without_body: bool,
) -> Response<Body> {
    let rest = rest.map(Box::new);
    let mut response = Response::new(Body { first, rest, busy: None });
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
