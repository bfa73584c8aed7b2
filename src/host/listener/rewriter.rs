//! Rewriting of the error answers that `hyper` writes itself.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use {
    bytes::{Buf, Bytes},
    http_body::{Frame, SizeHint},
    salvo::{BoxedError, http::ResBody},
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
    toucanhoist_core::{
        event::Event,
        id,
        refusal::{Code, Refusal},
    },
};

use super::Handling;
use crate::{host::gateway::problem, journal::Journal};

/// Counts the requests of a connection that are in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    /// Requests that `hyper` has passed to the router.
    begun: AtomicUsize,
    /// Requests whose complete answer `hyper` has taken from the router.
    ended: AtomicUsize,
}

impl InFlight {
    pub(super) fn enter(&self, handling: Handling) -> Guard {
        self.0.begun.fetch_add(1, Ordering::Relaxed);
        Guard { in_flight: self.clone(), handling }
    }

    /// Returns the number of requests so far, if none of them is in flight.
    fn completed(&self) -> Option<usize> {
        let begun = self.0.begun.load(Ordering::Relaxed);
        (begun == self.0.ended.load(Ordering::Relaxed)).then_some(begun)
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub(super) struct Guard {
    in_flight: InFlight,
    handling: Handling,
}

impl Guard {
    /// Attaches the guard to the body of the answer, so that both are dropped together.
    pub(super) fn attach(self, body: ResBody) -> GuardedBody {
        GuardedBody { body, _guard: self }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.in_flight.0.ended.fetch_add(1, Ordering::Relaxed);
        self.handling.end();
    }
}

/// Body of an answer with the guard of its request.
#[derive(Debug)]
pub(super) struct GuardedBody {
    body: ResBody,
    _guard: Guard,
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BoxedError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxedError>>> {
        Pin::new(&mut self.body).poll_frame(context).map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream that replaces the error answers of `hyper` by refusals in the form of this system.
///
/// `hyper` answers a request that it cannot parse with a bare status line and closes the
/// connection. It does so only when the answers to all requests that it passed on have been
/// flushed, so a status line that is written in that state is not part of an answer.
pub(super) struct Rewriter<S> {
    stream: S,
    in_flight: InFlight,
    journal: Arc<Journal>,
    /// Number of requests whose answers have been flushed, unless something was written since.
    flushed: Option<usize>,
    /// Unwritten rest of a refusal that replaces an error answer.
    refusal: Bytes,
}

impl<S: AsyncWrite + Unpin> Rewriter<S> {
    pub(super) fn new(stream: S, in_flight: InFlight, journal: Arc<Journal>) -> Rewriter<S> {
        Rewriter { stream, in_flight, journal, flushed: Some(0), refusal: Bytes::new() }
    }

    /// Queues the refusal that replaces an error answer with `status`.
    fn replace(&mut self, status: u16) {
        let id = id::Request::from(rand::random::<u128>());
        let (code, detail) = match status {
            414 => (Code::HeadTooLarge, "the request target (URI) is too long"),
            431 => (Code::HeadTooLarge, "the head of the request is too large"),
            _ => (Code::BadRequest, "the request is not valid HTTP/1.1"),
        };
        metrics::counter!("toucanhoist_refusals_total", "code" => code.as_str()).increment(1);
        let refusal = Refusal::not_run(code, detail);
        self.journal.record(Event::Malformed, id, &[("code", &code), ("reason", &detail)]);
        self.refusal = problem::to_bytes(id, &refusal).into();
    }

    fn write_refusal(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.refusal.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &self.refusal))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.refusal.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns the status of an error answer that begins with `start`.
fn error_status(start: &[u8]) -> Option<u16> {
    let digits = start.strip_prefix(b"HTTP/1.1 ").or_else(|| start.strip_prefix(b"HTTP/1.0 "))?;
    let status = std::str::from_utf8(digits.get(..3)?).ok()?.parse().ok()?;
    (400..500).contains(&status).then_some(status)
}

impl<S: AsyncRead + Unpin> AsyncRead for Rewriter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Rewriter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let between_answers = self.flushed.is_some() && self.flushed == self.in_flight.completed();
        if let Some(status) = error_status(buffer).filter(|_| between_answers) {
            self.flushed = None;
            self.replace(status);
            return Poll::Ready(Ok(buffer.len()));
        }
        ready!(self.write_refusal(context))?;
        self.flushed = None;
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        // `hyper` writes an error answer as a single small buffer.
        let first = buffers.iter().find(|buffer| !buffer.is_empty());
        if self.flushed.is_some() || !self.refusal.is_empty() {
            return self.poll_write(context, first.map_or(&[], |buffer| &**buffer));
        }
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.write_refusal(context))?;
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.flushed = self.in_flight.completed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.write_refusal(context))?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
