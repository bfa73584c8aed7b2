//! Requests that callers send before an earlier one of their connection has been answered.
//!
//! The HTTP library takes the requests of a connection one after the other, so that one behind another
//! would wait for the whole time of that. [`Stream`] looks at the heads that pass on their way to the
//! library; work on a request that may run twice and has no body begins as soon as its head is in, and
//! its answer is kept until it is its turn. The library still reads each request itself: what was
//! begun early is used only if its head is the same. Behind a request with a body nothing is begun
//! early, since its bytes are not read here.

use std::{
    collections::VecDeque,
    io,
    net::Shutdown,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};

use {
    http::{HeaderName, HeaderValue, Method, Request, Response, Version, header, request::Parts},
    socket2::SockRef,
    tokio::{
        io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
        net::TcpStream,
        sync::Notify,
        task::JoinHandle,
        time,
    },
};

use super::answer::Body;

/// Requests of one connection that are begun early; more would let one caller crowd out others.
const EARLY_MAX: usize = 4;
/// Headers of one request; the HTTP library takes no more.
const HEADERS_MAX: usize = 100;
/// Interval at which is looked whether a caller has left; a fraction of the time in which work for it
/// must end.
const LEFT_INTERVAL: Duration = Duration::from_millis(150);

/// Work on an answer.
type Work = JoinHandle<Response<Body>>;

/// Begins work on a request, if it may be begun early.
type Begin = dyn Fn(&Parts) -> Option<Work> + Send + Sync;

/// An answer that is worked on.
pub(super) struct Early {
    head: Parts,
    answer: Work,
}

impl Drop for Early {
    fn drop(&mut self) {
        // Without effect on one that has ended.
        self.answer.abort();
    }
}

impl Early {
    /// Waits for the answer; `None` if the work on it broke down.
    pub(super) async fn answer(mut self) -> Option<Response<Body>> {
        (&mut self.answer).await.ok()
    }
}

/// The requests of one connection.
pub(super) struct Ahead {
    state: Mutex<State>,
    begin: Box<Begin>,
    /// Told when a request waits behind another.
    behind: Notify,
}

#[derive(Default)]
struct State {
    heads: Heads,
    /// Requests that have been read and not been taken, in their order.
    waiting: VecDeque<Option<Early>>,
    /// Whether a request is being answered.
    is_busy: bool,
}

impl Ahead {
    pub(super) fn new(
        begin: impl Fn(&Parts) -> Option<Work> + Send + Sync + 'static,
    ) -> Arc<Ahead> {
        let (state, behind) = (Mutex::default(), Notify::new());
        Arc::new(Ahead { state, begin: Box::new(begin), behind })
    }

    /// Looks at bytes on their way to the HTTP library.
    fn pass(&self, bytes: &[u8]) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        for head in state.heads.read(bytes) {
            let is_next = !state.is_busy && state.waiting.is_empty();
            let early = state.waiting.iter().flatten().count();
            let begun = if is_next || early >= EARLY_MAX { None } else { (self.begin)(&head) };
            state.waiting.push_back(begun.map(|answer| Early { head, answer }));
            if !is_next {
                self.behind.notify_one();
            }
        }
    }

    /// Takes what was begun of the next request; `None` if nothing was.
    pub(super) fn take(&self, head: &Parts) -> Option<Early> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.is_busy = true;
        let early = state.waiting.pop_front()??;
        is_same(&early.head, head).then_some(early)
    }

    /// Whether requests wait behind another.
    fn is_waiting(&self) -> bool {
        !self.state.lock().expect("no holder of the lock panics").waiting.is_empty()
    }

    /// Whether work on requests has begun that wait for their turn.
    pub(super) fn has_begun(&self) -> bool {
        let state = self.state.lock().expect("no holder of the lock panics");
        state.waiting.iter().any(Option::is_some)
    }

    /// Notes that the request that was taken last has been answered.
    pub(super) fn done(&self) {
        self.state.lock().expect("no holder of the lock panics").is_busy = false;
    }
}

fn is_same(early: &Parts, head: &Parts) -> bool {
    early.method == head.method && early.uri == head.uri && early.headers == head.headers
}

/// Finds the heads of requests without body in the bytes of a connection.
#[derive(Default)]
struct Heads {
    pending: Vec<u8>,
    /// Whether bytes came whose end is not known here.
    is_lost: bool,
}

impl Heads {
    fn read(&mut self, bytes: &[u8]) -> Vec<Parts> {
        let mut found = Vec::new();
        if self.is_lost {
            return found;
        }
        self.pending.extend_from_slice(bytes);
        while !self.pending.is_empty() {
            match next(&self.pending) {
                Next::Head(head, length) => {
                    self.pending.drain(..length);
                    found.push(*head);
                }
                Next::More => break,
                Next::Lost => {
                    (self.pending, self.is_lost) = (Vec::new(), true);
                }
            }
        }
        found
    }
}

enum Next {
    /// A head, with its length.
    Head(Box<Parts>, usize),
    /// The head is not complete.
    More,
    /// Something else than a request without body.
    Lost,
}

fn next(bytes: &[u8]) -> Next {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => match head(&parsed) {
            Some(head) => Next::Head(Box::new(head), length),
            None => Next::Lost,
        },
        Ok(httparse::Status::Partial) => Next::More,
        Err(_) => Next::Lost,
    }
}

/// Returns the head of a request that has no body, as the HTTP library gives it.
fn head(parsed: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut head = Request::new(()).into_parts().0;
    head.method = parsed.method?.parse().ok().filter(|method| *method == Method::GET)?;
    head.uri = parsed.path?.parse().ok()?;
    head.version = (parsed.version? == 1).then_some(Version::HTTP_11)?;
    for field in parsed.headers.iter() {
        let name: HeaderName = field.name.parse().ok()?;
        head.headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    let closes = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING, header::UPGRADE];
    let is_bare = closes.iter().all(|name| !head.headers.contains_key(name));
    is_bare.then_some(head)
}

/// A caller's stream whose requests are looked at as they pass.
pub(super) struct Stream {
    stream: Arc<TcpStream>,
    ahead: Arc<Ahead>,
}

impl Stream {
    pub(super) fn new(stream: Arc<TcpStream>, ahead: Arc<Ahead>) -> Stream {
        Stream { stream, ahead }
    }
}

/// Waits until the caller has left while requests wait behind another. The HTTP library does not notice
/// then, as it reads no further than the request that waits.
pub(super) async fn caller_left(stream: &TcpStream, ahead: &Ahead) {
    loop {
        ahead.behind.notified().await;
        while ahead.is_waiting() {
            time::sleep(LEFT_INTERVAL).await;
            // A stream without news is not ready, and its caller is there.
            let ready = time::timeout(Duration::ZERO, stream.ready(Interest::READABLE)).await;
            if matches!(ready, Ok(Ok(ready)) if ready.is_read_closed()) {
                return;
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    self.ahead.pass(&buffer.initialize_unfilled()[..length]);
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Stream {
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(content))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        contents: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(contents))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The system sends what was written.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
