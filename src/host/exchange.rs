//! A request and its answer on their way through a host.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use {
    bytes::Bytes,
    futures_util::{Stream, TryStreamExt},
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode},
    http_body::{Frame, SizeHint},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    tokio::time::Instant,
    toucanhoist_core::{id, key::Digest, quarantine::Fingerprint},
};

/// A body that streams.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// The request's id.
    pub request: id::Request,
    /// Service.
    pub service: id::Service,
    /// Client account, on keyed routes.
    pub account: Option<id::Account>,
    /// Digest of the key that the account was admitted with.
    pub key: Option<Digest>,
    /// Method.
    pub method: Method,
    /// Path and query below the service, as the target sees it.
    pub path_and_query: Box<str>,
    /// Headers that the target gets.
    pub headers: HeaderMap,
    /// Time at which the request is given up.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Stands for all requests of the same content, once the body is known.
    pub fingerprint: Option<Fingerprint>,
}

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// All of it; it can be sent again.
    Buffered(Bytes),
    /// A stream; it can be sent once.
    Stream(Option<Body>),
}

impl Payload {
    /// Takes the body for an attempt; `None` when a stream has been used up.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Payload::Buffered(content) => Some(full(content.clone())),
            Payload::Stream(body) => body.take(),
        }
    }

    /// Puts back a stream of which nothing was read.
    pub fn put_back(&mut self, unused: Body) {
        if let Payload::Stream(body) = self {
            *body = Some(unused);
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
    /// Target that answered.
    pub target: Box<str>,
}

/// Returns headers from their names and values; what is no header is left out.
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

/// Returns a body of known content.
pub fn full(content: Bytes) -> Body {
    Full::new(content).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that streams.
pub fn stream<S>(stream: S) -> Body
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    StreamBody::new(stream.map_ok(Frame::data)).boxed_unsync()
}

/// A body that keeps `held` until it ends or is dropped.
pub struct Holding<T> {
    body: Body,
    held: Option<T>,
}

impl<T> Holding<T> {
    /// Creates a body that keeps `held`.
    pub fn new(body: Body, held: T) -> Holding<T> {
        Holding { body, held: Some(held) }
    }
}

impl<T: Unpin> http_body::Body for Holding<T> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if !matches!(frame, Some(Ok(_))) {
            self.held = None;
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
