//! HTTP requests and answers as they pass through a host.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
};

use {
    bytes::Bytes,
    futures_util::{Stream, TryStreamExt},
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode},
    http_body::{Frame, SizeHint},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    tokio::{
        task::AbortHandle,
        time::{self, Instant},
    },
    toucanhoist_core::{id, key::Digest, quarantine::Fingerprint},
};

/// A streamed body.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// The request's id.
    pub request: id::Request,
    /// Service that the request is for.
    pub service: id::Service,
    /// Client account, on keyed routes.
    pub account: Option<id::Account>,
    /// Digest of the key that the account was admitted with.
    pub key: Option<Digest>,
    /// Method.
    pub method: Method,
    /// Path and query below the service, as the target sees it.
    pub path_and_query: Box<str>,
    /// Headers that are sent to the target.
    pub headers: HeaderMap,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Fingerprint that requests with the same content share, once the body is known.
    pub fingerprint: Option<Fingerprint>,
}

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// The complete body in memory; it can be sent more than once.
    Buffered(Bytes),
    /// A stream, which can be sent once; `None` after that.
    Stream(Option<Body>),
}

impl Payload {
    /// Takes the body for an attempt; `None` if it is a stream that has been sent already.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Payload::Buffered(content) => Some(full(content.clone())),
            Payload::Stream(body) => body.take(),
        }
    }

    /// Puts back a stream that was taken but not read from.
    pub fn put_back(&mut self, unread: Body) {
        if let Payload::Stream(body) = self {
            *body = Some(unread);
        }
    }
}

/// The answer to a request.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
    /// Name of the target that answered.
    pub target: Box<str>,
}

/// Builds a header map from names and values; invalid headers are left out.
pub fn header_map<'a>(headers: impl Iterator<Item = (&'a [u8], &'a [u8])>) -> HeaderMap {
    headers
        .filter_map(|(name, value)| {
            Some((HeaderName::from_bytes(name).ok()?, HeaderValue::from_bytes(value).ok()?))
        })
        .fold(HeaderMap::new(), |mut map, (name, value)| {
            map.append(name, value);
            map
        })
}

/// Returns a body with the given content.
pub fn full(content: Bytes) -> Body {
    Full::new(content).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that yields the chunks of a stream.
pub fn stream<S>(stream: S) -> Body
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    StreamBody::new(stream.map_ok(Frame::data)).boxed_unsync()
}

/// A body that keeps a guard until it ends, fails, is dropped, or its deadline passes.
///
/// At the deadline, body and guard are dropped even if nobody polls the body, as a caller that
/// reads nothing would otherwise hold them without end.
pub struct Guarded<T> {
    state: Arc<Mutex<State<T>>>,
    watch: AbortHandle,
}

struct State<T> {
    current: Option<(Body, T)>,
    is_overdue: bool,
    /// Wakes the reader of the body.
    waker: Option<Waker>,
}

impl<T: Send + 'static> Guarded<T> {
    /// Creates a body that keeps `guard`.
    pub fn new(body: Body, guard: T, deadline: Instant) -> Guarded<T> {
        let state = State { current: Some((body, guard)), is_overdue: false, waker: None };
        let state = Arc::new(Mutex::new(state));
        let watched = Arc::clone(&state);
        let watch = tokio::spawn(async move {
            time::sleep_until(deadline).await;
            let mut state = watched.lock().expect("no holder of the lock panics");
            if state.current.take().is_some() {
                state.is_overdue = true;
                state.waker.take().into_iter().for_each(Waker::wake);
            }
        });
        Guarded { state, watch: watch.abort_handle() }
    }
}

impl<T> Drop for Guarded<T> {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

impl<T> Guarded<T> {
    fn state(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl<T> http_body::Body for Guarded<T> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let mut state = self.state();
        let Some((body, _)) = &mut state.current else {
            let is_overdue = std::mem::take(&mut state.is_overdue);
            let overdue = || io::Error::new(io::ErrorKind::TimedOut, "the deadline passed");
            return Poll::Ready(is_overdue.then(|| Err(overdue())));
        };
        let Poll::Ready(frame) = Pin::new(body).poll_frame(context) else {
            state.waker = Some(context.waker().clone());
            return Poll::Pending;
        };
        if !matches!(frame, Some(Ok(_))) {
            state.current = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let state = self.state();
        state.current.as_ref().map_or(!state.is_overdue, |(body, _)| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.state().current.as_ref().map_or_else(SizeHint::new, |(body, _)| body.size_hint())
    }
}
