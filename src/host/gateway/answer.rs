//! Answers to callers, and the count and log of those that do not complete.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use {
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, StatusCode, header},
    http_body::{Frame, SizeHint},
    http_body_util::BodyExt,
    salvo::{Response, http::ResBody},
    serde::Serialize,
    toucanhoist_core::{
        event::Event,
        id,
        refusal::{Code, Refusal},
    },
};

use crate::{
    host::exchange::{self, Answer, Body},
    journal::Journal,
};

pub(super) fn json<T: Serialize>(value: &T, cache_control: &str) -> Result<Answer, Refusal> {
    let content = serde_json::to_vec(value)
        .map_err(|error| Refusal::not_run(Code::BadRequest, error.to_string()))?;
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::try_from(cache_control) {
        headers.insert(header::CACHE_CONTROL, value);
    }
    let body = exchange::full(content.into());
    Ok(Answer { status: StatusCode::OK, headers, body, target: Box::default() })
}

pub(super) fn write(response: &mut Response, answer: Answer) {
    response.status_code(answer.status);
    *response.headers_mut() = answer.headers;
    response.body(ResBody::stream(answer.body.into_data_stream()));
}

/// Tracks a request until its answer is complete.
///
/// When dropped before that, it logs that the caller has disconnected: `hyper` drops the future and
/// the body of a request when its connection ends.
#[derive(Debug)]
pub(super) struct Tracker {
    journal: Arc<Journal>,
    request: id::Request,
    bytes: u64,
    done: bool,
}

impl Tracker {
    pub(super) fn begin(journal: &Arc<Journal>, request: id::Request) -> Tracker {
        metrics::gauge!("toucanhoist_requests_in_flight").increment(1.0);
        Tracker { journal: Arc::clone(journal), request, bytes: 0, done: false }
    }

    /// Tracks the body of the answer too.
    pub(super) fn attach(self, mut answer: Answer) -> Answer {
        answer.body = TrackedBody { body: answer.body, tracker: self }.boxed_unsync();
        answer
    }

    /// Marks the answer as complete.
    pub(super) fn finish(&mut self) {
        self.done = true;
    }

    /// Records that the target's answer broke off with an error.
    fn fail(&mut self, error: &io::Error) {
        self.done = true;
        metrics::counter!("toucanhoist_answers_broken_total").increment(1);
        let fields: [crate::journal::Field<'_>; 2] = [("bytes", &self.bytes), ("reason", error)];
        self.journal.record(Event::Broken, self.request, &fields);
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        metrics::gauge!("toucanhoist_requests_in_flight").decrement(1.0);
        if !self.done {
            metrics::counter!("toucanhoist_requests_abandoned_total").increment(1);
            self.journal.record(Event::Abandoned, self.request, &[("bytes", &self.bytes)]);
        }
    }
}

/// Body of an answer that is tracked.
struct TrackedBody {
    body: Body,
    tracker: Tracker,
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            None => self.tracker.finish(),
            Some(Ok(frame)) => {
                let chunk = frame.data_ref().map_or(0, Bytes::len);
                self.tracker.bytes += u64::try_from(chunk).unwrap_or(u64::MAX);
                if self.body.is_end_stream() {
                    self.tracker.finish();
                }
            }
            Some(Err(error)) => self.tracker.fail(error),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
