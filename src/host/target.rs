//! Connections to targets.
//!
//! One task owns the idle connections. A connection goes back only after a whole answer; one that
//! had a failure, a timeout or a cancellation is closed.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
};

use {
    http::{Request, Response},
    http_body::Body as _,
    http_body_util::BodyExt,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
        time,
    },
    toucanhoist_core::refusal::{Code, Refusal},
};

use self::gate::{Gate, Gated};
use super::exchange::{Answer, Body, Head, Holding, Payload};

mod gate;

const QUEUE_MESSAGES: usize = 1_024;
const IDLE_MAX: usize = 64;

/// An open connection with its gate.
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
}

struct Take {
    address: SocketAddr,
    reply: oneshot::Sender<Option<Connection>>,
}

/// A connection in use, closed when dropped unless it is put back.
struct Lease {
    address: SocketAddr,
    connection: Option<Connection>,
    put_back: mpsc::UnboundedSender<(SocketAddr, Connection)>,
}

impl Lease {
    fn put_back(mut self) {
        if let Some(connection) = self.connection.take() {
            let _ = self.put_back.send((self.address, connection));
        }
    }
}

impl Handle {
    /// Sends a request to a target and returns the head of its answer; the body streams.
    ///
    /// # Errors
    ///
    /// The target could not be reached (not run), or failed after the request went out (may have
    /// run). `payload` is whole again where the request did not go out.
    pub async fn run(
        &self,
        target: &str,
        address: SocketAddr,
        head: &Head,
        payload: &mut Payload,
    ) -> Result<Answer, Refusal> {
        let connecting = time::timeout_at(head.deadline, self.connect(address, head)).await;
        let mut connection = match connecting {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return Err(unreachable(error)),
            Err(_) => return Err(Refusal::not_run(Code::DeadlineExceeded, "while connecting")),
        };
        let Some(body) = payload.take() else {
            return Err(Refusal::not_run(
                Code::TargetUnreachable,
                "the body has been sent already",
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
                return Err(Refusal::not_run(Code::DeadlineExceeded, "before it was sent"));
            }
            Err(_) => {
                return Err(Refusal::may_have_run(Code::DeadlineExceeded, "no answer in time"));
            }
        };
        let lease =
            Lease { address, connection: Some(connection), put_back: self.put_back.clone() };
        Ok(answer(target, response, lease))
    }

    /// Takes an idle connection, or opens one.
    ///
    /// A request that is not repeatable always gets a new one: an idle one may be closed by the
    /// target while the request goes out, and whether it ran would be open.
    async fn connect(&self, address: SocketAddr, head: &Head) -> io::Result<Connection> {
        if head.repeatable {
            if let Some(connection) = self.idle(address).await {
                return Ok(connection);
            }
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let gate = Gate::new();
        let stream = Gated::new(stream, gate.clone());
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(target: "toucanhoist", "connection to {address} ended: {error}");
            }
        });
        Ok(Connection { sender, gate })
    }

    async fn idle(&self, address: SocketAddr) -> Option<Connection> {
        let (reply, taken) = oneshot::channel();
        self.take.send(Take { address, reply }).await.ok()?;
        taken.await.ok()?
    }
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

fn answer(target: &str, response: Response<Incoming>, lease: Lease) -> Answer {
    let (parts, incoming) = response.into_parts();
    let mut body = Whole { body: incoming, lease: Some(lease) };
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

/// Body of a target's answer, which puts its connection back once it has been whole.
struct Whole {
    body: Incoming,
    lease: Option<Lease>,
}

impl Whole {
    fn put_back(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.put_back();
        }
    }
}

impl http_body::Body for Whole {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<http_body::Frame<bytes::Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            None => self.put_back(),
            Some(Err(_)) => self.lease = None,
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

/// Keeps `held` for as long as the answer's body streams.
pub fn hold<T: Send + Unpin + 'static>(mut answer: Answer, held: T) -> Answer {
    answer.body = Holding::new(answer.body, held).boxed_unsync();
    answer
}

/// Spawns the task.
pub fn spawn() -> Handle {
    let (take, takes) = mpsc::channel(QUEUE_MESSAGES);
    let (put_back, returns) = mpsc::unbounded_channel();
    tokio::spawn(run(takes, returns));
    Handle { take, put_back }
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
            take = takes.recv() => {
                let Some(Take { address, reply }) = take else { return };
                let connections = idle.entry(address).or_default();
                connections.retain(|connection| !connection.sender.is_closed());
                let ready = connections.iter().rposition(|connection| connection.sender.is_ready());
                let _ = reply.send(ready.map(|at| connections.swap_remove(at)));
            }
        }
    }
}
