//! Pool of HTTP connections to targets.
//!
//! One task owns the idle connections. A connection returns to the pool only after its answer was
//! read to the end; after a failure, a timeout or a cancellation it is closed. The number of connections is limited:
//! an idle one is closed for a new one, and a request for which there is none is refused.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use {
    http::{Request, Response},
    http_body::Body as _,
    http_body_util::BodyExt,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    tokio::{
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
        time::{self, Instant},
    },
    toucanhoist_core::refusal::{Code, Refusal},
    toucanhoist_edge::status,
};

use self::gate::{Gate, Gated};
use super::exchange::{Answer, Body, Guarded, Head, Payload};

mod gate;

const QUEUE_MESSAGES: usize = 1_024;
/// Largest head of a target's answer.
const HEAD_MAX_BYTES: usize = 32 * 1_024;
/// `Retry-After` of a host that has no connection to targets left.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Idle connections that are kept for one target.
const IDLE_MAX: usize = 64;

/// An open connection and the gate that checks its writes.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Body>,
    gate: Gate,
}

/// Handle of the task.
#[derive(Clone, Debug)]
pub struct Handle {
    take: mpsc::Sender<Take>,
    put_back: mpsc::UnboundedSender<(SocketAddr, Connection)>,
    /// Permits of open connections.
    permits: Arc<Semaphore>,
}

/// Asks the pool for an idle connection.
enum Take {
    /// One to a target, to be used.
    To(SocketAddr, oneshot::Sender<Option<Connection>>),
    /// One to any target, to be closed.
    Any(oneshot::Sender<Option<Connection>>),
}

/// A connection in use. It is closed when dropped, unless it was put back into the pool.
struct Checkout {
    address: SocketAddr,
    connection: Option<Connection>,
    put_back: mpsc::UnboundedSender<(SocketAddr, Connection)>,
}

impl Checkout {
    fn put_back(mut self) {
        if let Some(connection) = self.connection.take() {
            let _ = self.put_back.send((self.address, connection));
        }
    }
}

impl Handle {
    /// Sends a request to a target and returns its answer, the body of which is a stream.
    ///
    /// # Errors
    ///
    /// The target could not be reached (not run), or failed after the request was sent (may have
    /// run). The body of a request that was returned unsent is put back into `payload`.
    pub async fn run(
        &self,
        target: &str,
        address: SocketAddr,
        head: &Head,
        payload: &mut Payload,
    ) -> Result<Answer, Refusal> {
        let connecting = time::timeout_at(head.deadline, self.connect(address, head)).await;
        let mut connection = match connecting {
            Ok(connection) => connection?,
            Err(_) => return Err(Refusal::not_run(Code::DeadlineExceeded, "connect timed out")),
        };
        let Some(body) = payload.take() else {
            return Err(Refusal::not_run(
                Code::TargetUnreachable,
                "the body was a stream and has been sent already",
            ));
        };
        let request = request(address, head, body)?;
        connection.gate.open((!head.repeatable).then_some(head.deadline));
        let sending = connection.sender.try_send_request(request);
        let response = match time::timeout_at(head.deadline, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                return match error.take_message() {
                    Some(request) => {
                        payload.put_back(request.into_body());
                        Err(unreachable(error.into_error()))
                    }
                    None if connection.gate.close() => Err(unreachable(error.into_error())),
                    None => Err(failed(error.into_error())),
                };
            }
            Err(_) if connection.gate.close() => {
                return Err(Refusal::not_run(
                    Code::DeadlineExceeded,
                    "the request was not sent in time",
                ));
            }
            Err(_) => {
                return Err(Refusal::may_have_run(
                    Code::DeadlineExceeded,
                    "the target did not answer in time",
                ));
            }
        };
        if !status::is_final(response.status()) {
            return Err(failed(format!("status {} ends no exchange", response.status().as_u16())));
        }
        let checkout =
            Checkout { address, connection: Some(connection), put_back: self.put_back.clone() };
        Ok(answer(target, response, checkout))
    }

    /// Takes an idle connection, or opens one.
    ///
    /// A request that is not repeatable always gets a new connection: the target may close an idle
    /// one while the request is being sent, and whether the request ran would then be unknown.
    async fn connect(&self, address: SocketAddr, head: &Head) -> Result<Connection, Refusal> {
        if head.repeatable {
            if let Some(connection) = self.idle(|reply| Take::To(address, reply)).await {
                return Ok(connection);
            }
        }
        let permit = self.permit().await.ok_or_else(|| {
            Refusal::not_run(Code::NoRoom, "all connections to targets are in use")
                .retry_after(FULL_RETRY_AFTER)
        })?;
        open(address, permit).await.map_err(unreachable)
    }

    /// Takes a permit to open a connection, for which an idle one may have to be closed; `None` if all are in use.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        let permits = Arc::clone(&self.permits);
        if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
            return Some(permit);
        }
        drop(self.idle(Take::Any).await?);
        permits.acquire_owned().await.ok()
    }

    async fn idle(
        &self,
        take: impl FnOnce(oneshot::Sender<Option<Connection>>) -> Take,
    ) -> Option<Connection> {
        let (reply, connection) = oneshot::channel();
        self.take.send(take(reply)).await.ok()?;
        connection.await.ok()?
    }
}

/// Opens a connection, which has a permit until it is closed.
async fn open(address: SocketAddr, permit: OwnedSemaphorePermit) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let gate = Gate::new();
    let stream = TokioIo::new(Gated::new(stream, gate.clone()));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_MAX_BYTES);
    let (sender, driver) = builder.handshake(stream).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!(target: "toucanhoist", "connection to {address} ended: {error}");
        }
        drop(permit);
    });
    Ok(Connection { sender, gate })
}

fn request(address: SocketAddr, head: &Head, body: Body) -> Result<Request<Body>, Refusal> {
    let mut request = Request::builder()
        .method(head.method.clone())
        .uri(&*head.path_and_query)
        .body(body)
        .map_err(|error| Refusal::not_run(Code::BadRequest, error.to_string()))?;
    *request.headers_mut() = head.headers.clone();
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    Ok(request)
}

fn answer(target: &str, response: Response<Incoming>, checkout: Checkout) -> Answer {
    let (parts, incoming) = response.into_parts();
    let mut body = PooledBody { body: incoming, checkout: Some(checkout) };
    if body.body.is_end_stream() {
        body.put_back();
    }
    Answer {
        status: parts.status,
        headers: parts.headers,
        body: body.boxed_unsync(),
        target: target.into(),
    }
}

/// Body of a target's answer, which puts its connection back into the pool when it has ended.
struct PooledBody {
    body: Incoming,
    checkout: Option<Checkout>,
}

impl PooledBody {
    fn put_back(&mut self) {
        if let Some(checkout) = self.checkout.take() {
            checkout.put_back();
        }
    }
}

impl http_body::Body for PooledBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<http_body::Frame<bytes::Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            None => self.put_back(),
            Some(Err(_)) => self.checkout = None,
            Some(Ok(_)) if self.body.is_end_stream() => self.put_back(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

fn unreachable(error: impl std::fmt::Display) -> Refusal {
    Refusal::not_run(Code::TargetUnreachable, error.to_string())
}

fn failed(error: impl std::fmt::Display) -> Refusal {
    Refusal::may_have_run(Code::TargetFailed, error.to_string())
}

/// Attaches a guard to an answer, which drops it when the body has ended or its deadline passes.
pub fn attach<T: Send + 'static>(mut answer: Answer, guard: T, deadline: Instant) -> Answer {
    if !answer.body.is_end_stream() {
        answer.body = Guarded::new(answer.body, guard, deadline).boxed_unsync();
    }
    answer
}

/// Spawns the task; at most `max` connections are open at the same time.
pub fn spawn(max: usize) -> Handle {
    let (take, takes) = mpsc::channel(QUEUE_MESSAGES);
    let (put_back, returns) = mpsc::unbounded_channel();
    tokio::spawn(run(takes, returns));
    Handle { take, put_back, permits: Arc::new(Semaphore::new(max)) }
}

async fn run(
    mut takes: mpsc::Receiver<Take>,
    mut returns: mpsc::UnboundedReceiver<(SocketAddr, Connection)>,
) {
    let mut idle: HashMap<SocketAddr, Vec<Connection>> = HashMap::new();
    loop {
        tokio::select! {
            biased;
            Some((address, connection)) = returns.recv() => {
                let connections = idle.entry(address).or_default();
                if connections.len() < IDLE_MAX && !connection.sender.is_closed() {
                    connections.push(connection);
                }
            }
            take = takes.recv() => match take {
                None => return,
                // A request that was dropped meanwhile drops its connection too.
                Some(Take::To(address, reply)) => {
                    let connections = idle.entry(address).or_default();
                    connections.retain(|connection| !connection.sender.is_closed());
                    let ready =
                        connections.iter().rposition(|connection| connection.sender.is_ready());
                    let _ = reply.send(ready.map(|index| connections.swap_remove(index)));
                }
                Some(Take::Any(reply)) => {
                    let most = idle.values_mut().max_by_key(|connections| connections.len());
                    let _ = reply.send(most.and_then(Vec::pop));
                }
            }
        }
    }
}
