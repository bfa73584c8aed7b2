//! HTTP pipelining: requests that a caller sends before an earlier one on its connection is answered.
//!
//! The HTTP library handles the requests of a connection one after the other, so a pipelined request
//! would wait until the one before it is answered. [`Stream`] parses the request heads in the bytes that it
//! passes to the library. A repeatable request without a body starts as soon as its head is complete, and
//! its answer is kept until its turn. The library still parses each request itself, and an early answer
//! is used only if both heads are equal. After a request with a body no request starts early, since
//! bodies are not parsed here. The stream also shows when a head has begun, so that one that does not
//! end is given up sooner than an idle connection.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
    time::Duration,
};

use {
    bytes::{Buf, BytesMut},
    http::{HeaderName, HeaderValue, Method, Request, Response, Version, header, request::Parts},
    tokio::{
        io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
        net::TcpStream,
        sync::Notify,
        task::JoinHandle,
        time::{self, Instant},
    },
    toucanhoist_store::socket,
};

use super::answer::Body;

/// Requests of one connection that may run early; more would let one caller crowd out others.
const EARLY_ANSWERS_MAX: usize = 4;
/// Headers of one request; one with more does not start early.
const HEADERS_MAX: usize = 100;
/// Pipelined requests that are parsed ahead; the others stay bytes until then.
const WAITING_MAX: usize = 2 * EARLY_ANSWERS_MAX;
/// Bytes of heads that are kept to be parsed. After more of them, no request of the connection starts early.
const PENDING_BYTES_MAX: usize = 8 * 1_024;
/// End of a head: the end of its last line, and an empty line.
const EMPTY_LINE: &[u8] = b"\n\r\n";
/// Interval between checks for a disconnected caller; a fraction of the time within which its requests must
/// be cancelled.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Task that produces an answer.
type AnswerTask = JoinHandle<Response<Body>>;

/// Starts a request, if it may run early.
type Start = dyn Fn(&Parts) -> Option<AnswerTask> + Send + Sync;

/// The answer to a request that was started before its turn.
pub(super) struct EarlyAnswer {
    head: Parts,
    answer: AnswerTask,
}

impl Drop for EarlyAnswer {
    fn drop(&mut self) {
        // No effect on a task that has finished.
        self.answer.abort();
    }
}

impl EarlyAnswer {
    /// Waits for the answer; `None` if its task panicked.
    pub(super) async fn answer(mut self) -> Option<Response<Body>> {
        (&mut self.answer).await.ok()
    }
}

/// The pipelined requests of one connection.
pub(super) struct Pipeline {
    state: Mutex<State>,
    start: Box<Start>,
    /// Notified when a request waits for an earlier one.
    queued: Notify,
    /// Notified when the deadline of an answer passes that has not been sent whole.
    overdue: Arc<Notify>,
    /// Notified when part of a head has arrived.
    head_begun: Notify,
}

#[derive(Default)]
struct State {
    heads: HeadReader,
    /// Requests that have been parsed here and not been taken yet, in order.
    waiting: VecDeque<Option<EarlyAnswer>>,
    /// Whether a request is being handled.
    is_busy: bool,
    /// When the head began to arrive that is not complete; `None` if none has begun.
    head_since: Option<Instant>,
}

impl Pipeline {
    pub(super) fn new(
        start: impl Fn(&Parts) -> Option<AnswerTask> + Send + Sync + 'static,
    ) -> Arc<Pipeline> {
        let (state, queued, head_begun) = (Mutex::default(), Notify::new(), Notify::new());
        let overdue = Arc::default();
        Arc::new(Pipeline { state, start: Box::new(start), queued, overdue, head_begun })
    }

    /// Returns what is notified when the deadline of an answer passes that has not been sent whole.
    pub(super) fn overdue(&self) -> &Arc<Notify> {
        &self.overdue
    }

    /// Parses bytes that are passed to the HTTP library, and starts the requests that may run early.
    fn observe(&self, bytes: &[u8]) {
        let mut state = self.state();
        state.heads.push(bytes);
        self.advance(&mut state);
        if !state.is_busy && state.waiting.is_empty() {
            state.head_since.get_or_insert_with(Instant::now);
            self.head_begun.notify_one();
        }
    }

    /// Parses heads that have arrived, as far as they may be parsed ahead.
    fn advance(&self, state: &mut State) {
        while state.waiting.len() < WAITING_MAX {
            let Some(head) = state.heads.next() else { return };
            let is_next = !state.is_busy && state.waiting.is_empty();
            let early = state.waiting.iter().flatten().count();
            let answer =
                if is_next || early >= EARLY_ANSWERS_MAX { None } else { (self.start)(&head) };
            state.waiting.push_back(answer.map(|answer| EarlyAnswer { head: *head, answer }));
            if !is_next {
                self.queued.notify_one();
            }
        }
    }

    /// Waits until a head has not been complete for `limit` since it began.
    pub(super) async fn head_overdue(&self, limit: Duration) {
        loop {
            self.head_begun.notified().await;
            while let Some(end) = self.head_since().map(|since| since + limit) {
                if Instant::now() >= end {
                    return;
                }
                time::sleep_until(end).await;
            }
        }
    }

    fn head_since(&self) -> Option<Instant> {
        self.state().head_since
    }

    /// Takes the early answer to the next request; `None` if it was not started early, or with another head.
    pub(super) fn take(&self, head: &Parts) -> Option<EarlyAnswer> {
        let mut state = self.state();
        state.is_busy = true;
        state.head_since = None;
        let early = state.waiting.pop_front().flatten();
        self.advance(&mut state);
        early.filter(|early| is_same(&early.head, head))
    }

    /// Whether requests wait for an earlier one.
    fn is_waiting(&self) -> bool {
        !self.state().waiting.is_empty()
    }

    /// Whether requests that wait for their turn have been started.
    pub(super) fn has_early_answers(&self) -> bool {
        self.state().waiting.iter().any(Option::is_some)
    }

    /// Records that the request that was taken last has been answered.
    pub(super) fn finish(&self) {
        let mut state = self.state();
        state.is_busy = false;
        if state.waiting.is_empty() && state.heads.has_begun() {
            state.head_since = Some(Instant::now());
            self.head_begun.notify_one();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

fn is_same(early: &Parts, head: &Parts) -> bool {
    early.method == head.method && early.uri == head.uri && early.headers == head.headers
}

/// Parses the heads of requests without a body in the bytes of a connection.
#[derive(Default)]
struct HeadReader {
    pending: BytesMut,
    /// Bytes at the start of `pending` that hold no end of a head.
    searched: usize,
    /// Whether parsing has stopped, as something other than a request without a body arrived.
    is_stopped: bool,
}

impl HeadReader {
    fn push(&mut self, bytes: &[u8]) {
        if self.is_stopped {
            return;
        }
        if self.pending.len() + bytes.len() > PENDING_BYTES_MAX {
            return self.stop();
        }
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next head; `None` if it is not complete, or nothing more is parsed.
    fn next(&mut self) -> Option<Box<Parts>> {
        if !self.has_end() {
            return None;
        }
        match next(&self.pending) {
            Next::Head(head, length) => {
                self.pending.advance(length);
                self.searched = 0;
                if self.pending.is_empty() {
                    // An idle connection keeps no buffer.
                    self.pending = BytesMut::new();
                }
                Some(head)
            }
            Next::Incomplete => None,
            Next::Unsupported => {
                self.stop();
                None
            }
        }
    }

    /// Whether an empty line has arrived since the last call. Without one, parsing a head again that arrives in many
    /// pieces would take time that grows with the square of its length.
    fn has_end(&mut self) -> bool {
        let from = self.searched.saturating_sub(EMPTY_LINE.len() - 1);
        self.searched = self.pending.len();
        let fresh = &self.pending[from..];
        let is_end = |(index, byte): (usize, &u8)| {
            *byte == b'\n' && matches!(&fresh[index + 1..], [b'\n', ..] | [b'\r', b'\n', ..])
        };
        fresh.iter().enumerate().any(is_end)
    }

    /// Whether part of a head has arrived.
    fn has_begun(&self) -> bool {
        !self.pending.is_empty()
    }

    fn stop(&mut self) {
        *self = HeadReader { is_stopped: true, ..HeadReader::default() };
    }
}

enum Next {
    /// A head, with its length.
    Head(Box<Parts>, usize),
    /// The head is not complete.
    Incomplete,
    /// Something other than a request without a body.
    Unsupported,
}

fn next(bytes: &[u8]) -> Next {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => match head(&parsed) {
            Some(head) => Next::Head(Box::new(head), length),
            None => Next::Unsupported,
        },
        Ok(httparse::Status::Partial) => Next::Incomplete,
        Err(_) => Next::Unsupported,
    }
}

/// Returns the head of a GET request without a body, in the form in which the HTTP library returns it.
fn head(parsed: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut head = Request::new(()).into_parts().0;
    head.method = parsed.method?.parse().ok().filter(|method| *method == Method::GET)?;
    head.uri = parsed.path?.parse().ok()?;
    head.version = (parsed.version? == 1).then_some(Version::HTTP_11)?;
    for field in parsed.headers.iter() {
        let name: HeaderName = field.name.parse().ok()?;
        head.headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    let excluded = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING, header::UPGRADE];
    let has_no_body = excluded.iter().all(|name| !head.headers.contains_key(name));
    has_no_body.then_some(head)
}

/// A caller's stream that shows its bytes to a [`Pipeline`] as they are read.
pub(super) struct Stream {
    stream: socket::Stream,
    pipeline: Arc<Pipeline>,
}

impl Stream {
    pub(super) fn new(stream: socket::Stream, pipeline: Arc<Pipeline>) -> Stream {
        Stream { stream, pipeline }
    }
}

/// Waits until the caller has disconnected while requests wait for an earlier one. The HTTP library does
/// not notice this, as it does not read past the request that waits.
pub(super) async fn caller_disconnected(stream: &TcpStream, pipeline: &Pipeline) {
    loop {
        pipeline.queued.notified().await;
        while pipeline.is_waiting() {
            time::sleep(DISCONNECT_CHECK_INTERVAL).await;
            // A stream that is not ready has neither data nor a close, so its caller is still connected.
            let ready = time::timeout(Duration::ZERO, stream.ready(Interest::READABLE)).await;
            if matches!(ready, Ok(Ok(ready)) if ready.is_read_closed()) {
                return;
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.pipeline.observe(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, content)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        contents: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, contents)
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
