//! Check of the deadline right before a request's first byte is written.
//!
//! A request that is not repeatable must not be sent after its deadline, and a refusal must say
//! whether any byte of it was sent. Both are known for certain only where the bytes are written, so
//! the gate wraps the stream: it reads the clock right before each first write, after any pause.

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

/// State that a connection's user and its stream share.
#[derive(Clone, Debug)]
pub(super) struct Gate {
    start: Instant,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Time before which the first byte may be written, in microseconds since the start.
    until_micros: AtomicU64,
    /// One of the stages below.
    stage: AtomicU8,
}

/// Nothing may be written.
const CLOSED: u8 = 0;
/// The first byte may be written.
const OPEN: u8 = 1;
/// The first write is in progress.
const WRITING: u8 = 2;
/// At least one byte has been written.
const SENT: u8 = 3;

impl Gate {
    /// Creates a closed gate.
    pub(super) fn new() -> Gate {
        Gate { start: Instant::now(), state: Arc::default() }
    }

    /// Lets the next request be sent, before `deadline` if there is one.
    pub(super) fn open(&self, deadline: Option<Instant>) {
        let until =
            deadline.map_or(u64::MAX, |deadline| micros(deadline.duration_since(self.start)));
        self.state.until_micros.store(until, Ordering::SeqCst);
        self.state.stage.store(OPEN, Ordering::SeqCst);
    }

    /// Closes the gate, unless the first write has begun. Returns whether it is closed, so that no
    /// byte has been written nor will be.
    pub(super) fn close(&self) -> bool {
        match self.transition(OPEN, CLOSED) {
            Ok(_) => true,
            Err(stage) => stage == CLOSED,
        }
    }

    /// Performs a write, unless it is the first one and comes too late.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let timed_out =
            |message| Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)));
        match self.transition(OPEN, WRITING) {
            Ok(_) => {}
            Err(SENT) => return write(),
            Err(_) => return timed_out("the request was cancelled before it was sent"),
        }
        let until = self.state.until_micros.load(Ordering::SeqCst);
        if micros(self.start.elapsed()) >= until {
            self.state.stage.store(CLOSED, Ordering::SeqCst);
            return timed_out("the deadline passed before the request was sent");
        }
        let written = write();
        let sent = matches!(written, Poll::Ready(Ok(length)) if length > 0);
        self.state.stage.store(if sent { SENT } else { OPEN }, Ordering::SeqCst);
        written
    }

    fn transition(&self, from: u8, to: u8) -> Result<u8, u8> {
        self.state.stage.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A stream whose writes are checked by a gate.
#[derive(Debug)]
pub(super) struct Gated {
    stream: TcpStream,
    gate: Gate,
}

impl Gated {
    /// Checks the writes of `stream` by `gate`.
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
