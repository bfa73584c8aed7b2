//! The last check before a request's first byte goes out.
//!
//! A request that is not repeatable must not go out after its fence, and a refusal must know whether
//! any of it went out. Both are known for certain only where the bytes are written, so the gate
//! stands there: it looks at the clock right before each first write, after any pause.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Instant,
};

/// What a connection's user and its stream share.
#[derive(Clone, Debug)]
pub(super) struct Gate {
    start: Instant,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Time up to which the first byte may go out, in microseconds since the start.
    until_micros: AtomicU64,
    /// One of the stages below.
    stage: AtomicU8,
}

/// Nothing goes out.
const CLOSED: u8 = 0;
/// The first byte may go out.
const OPEN: u8 = 1;
/// The first write is under way.
const WRITING: u8 = 2;
/// A byte has gone out.
const SENT: u8 = 3;

impl Gate {
    /// Creates a gate that lets nothing out.
    pub(super) fn new() -> Gate {
        Gate { start: Instant::now(), state: Arc::default() }
    }

    /// Lets the next request out, until `fence` if there is one.
    pub(super) fn open(&self, fence: Option<Instant>) {
        let until = fence.map_or(u64::MAX, |fence| micros(fence.duration_since(self.start)));
        self.state.until_micros.store(until, Ordering::SeqCst);
        self.state.stage.store(OPEN, Ordering::SeqCst);
    }

    /// Closes the gate before the first byte; returns whether nothing has gone out, and nothing will.
    pub(super) fn close(&self) -> bool {
        match self.step(OPEN, CLOSED) {
            Ok(_) => true,
            Err(stage) => stage == CLOSED,
        }
    }

    /// Passes a write, unless it is the first and comes too late.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let late = |why| Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, why)));
        match self.step(OPEN, WRITING) {
            Ok(_) => {}
            Err(SENT) => return write(),
            Err(_) => return late("the request was given up before it went out"),
        }
        let until = self.state.until_micros.load(Ordering::SeqCst);
        if micros(self.start.elapsed()) >= until {
            self.state.stage.store(CLOSED, Ordering::SeqCst);
            return late("the fence was reached");
        }
        let written = write();
        let sent = matches!(written, Poll::Ready(Ok(length)) if length > 0);
        self.state.stage.store(if sent { SENT } else { OPEN }, Ordering::SeqCst);
        written
    }

    fn step(&self, from: u8, to: u8) -> Result<u8, u8> {
        self.state.stage.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A stream whose writes pass a gate.
#[derive(Debug)]
pub(super) struct Gated {
    stream: TcpStream,
    gate: Gate,
}

impl Gated {
    /// Puts `gate` before the writes of `stream`.
    pub(super) fn new(stream: TcpStream, gate: Gate) -> Gated {
        Gated { stream, gate }
    }
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Gated { stream, gate } = &mut *self;
        gate.write(|| Pin::new(stream).poll_write(context, content))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        contents: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Gated { stream, gate } = &mut *self;
        gate.write(|| Pin::new(stream).poll_write_vectored(context, contents))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
