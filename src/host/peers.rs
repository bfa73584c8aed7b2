//! Forwarding of requests between entry hosts, and the connections and the listener for it.
//!
//! Every part of a forwarded request and of its answer carries the id of the request and the number
//! of the attempt. A part that does not match ends the exchange.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    futures_util::{Stream, StreamExt, stream},
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
    http_body_util::BodyStream,
    tokio::{
        net::TcpListener,
        sync::{mpsc, oneshot},
        task::JoinHandle,
        time::{self, Instant},
    },
    tokio_util::sync::CancellationToken,
    tonic::{
        Request, Response, Status, Streaming,
        metadata::MetadataValue,
        service::InterceptorLayer,
        transport::{Channel, Endpoint},
    },
    toucanhoist_core::{
        id,
        quarantine::Fingerprint,
        refusal::{Code, Refusal},
    },
    toucanhoist_edge::{connections::Port, status},
    toucanhoist_wire::{
        forward::{
            AnswerHead, AnswerPart, End, Go, Header, Ready, RequestHead, RequestPart, answer_part,
            forward_client::ForwardClient,
            forward_server::{Forward, ForwardServer},
            request_part,
        },
        quota::quota_server::QuotaServer,
        room::room_server::RoomServer,
    },
};

use super::{
    Context, Tasks, dispatch,
    exchange::{self, Answer, Head, Payload},
};

mod auth;
mod configuration;
mod incoming;
mod membership;
pub mod quota;
mod room;

const QUEUE_MESSAGES: usize = 1_024;
/// Time after a request's deadline within which the other host's verdict must arrive.
const VERDICT_GRACE: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest lease or deadline that is accepted from another host: one day.
const LEASE_MAX_MS: u64 = 86_400_000;

/// Handle of the task that owns the connections to other entry hosts.
#[derive(Clone, Debug)]
pub struct Handle {
    connect: mpsc::Sender<Connect>,
    name: id::EntryHost,
    secret: Box<str>,
}

/// Asks the task for the connection to an address.
struct Connect {
    address: SocketAddr,
    reply: oneshot::Sender<Channel>,
}

/// Spawns the task that owns the connections.
pub fn spawn(context: &Context) -> Handle {
    let (connect, mut connects) = mpsc::channel::<Connect>(QUEUE_MESSAGES);
    tokio::spawn(async move {
        let mut channels: HashMap<SocketAddr, Channel> = HashMap::new();
        while let Some(Connect { address, reply }) = connects.recv().await {
            let channel = channels.entry(address).or_insert_with(|| open_channel(address));
            let _ = reply.send(channel.clone());
        }
    });
    let settings = &context.settings;
    let secret = settings.fleet_secrets.first().cloned().unwrap_or_default();
    Handle { connect, name: settings.name.clone(), secret }
}

fn open_channel(address: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("an address makes a valid URL")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(Duration::from_secs(2))
        .keep_alive_timeout(Duration::from_secs(2));
    endpoint.connect_lazy()
}

impl Handle {
    /// Returns the connection to the peers' listener at `address`, opened on its first use.
    pub async fn channel(&self, address: SocketAddr) -> Option<Channel> {
        let (reply, channel) = oneshot::channel();
        self.connect.send(Connect { address, reply }).await.ok()?;
        channel.await.ok()
    }

    /// Wraps a message in a request that carries the fleet's secret.
    ///
    /// # Errors
    ///
    /// The secret is not valid as a header value.
    pub fn sign<T>(&self, message: T) -> Result<Request<T>, Refusal> {
        let mut request = Request::new(message);
        let secret = MetadataValue::try_from(&*self.secret)
            .map_err(|_| Refusal::not_run(Code::NoRoom, "invalid bytes in the fleet secret"))?;
        request.metadata_mut().insert(auth::SECRET, secret);
        Ok(request)
    }

    /// Forwards a request to another host and returns its answer, the body of which is a stream.
    ///
    /// # Errors
    ///
    /// The refusal says whether the request may have run.
    pub async fn forward(
        &self,
        host: &id::EntryHost,
        attempt: u32,
        head: &Head,
        payload: &mut Payload,
        tasks: &Tasks,
    ) -> Result<Answer, Refusal> {
        let not_run = |detail: &str| Refusal::not_run(Code::TargetUnreachable, detail);
        let view = tasks.fleet.view();
        let member = view.member(host).ok_or_else(|| not_run("the other host has left"))?;
        let channel =
            self.channel(member.peers).await.ok_or_else(|| not_run("this host is stopping"))?;
        let Some(body) = payload.take() else {
            return Err(not_run("the body was a stream and has been sent already"));
        };
        let attempt_id = AttemptId { request: head.request, attempt };
        let first =
            stream::iter([attempt_id.request_part(request_part::Part::Head(self.head(head)))]);
        let (grant, granted) = oneshot::channel();
        let lease =
            stream::iter((!head.repeatable).then_some(granted)).then(move |granted| async move {
                let lease_ms = granted.await.map_err(io::Error::other)?;
                Ok(attempt_id.request_part(request_part::Part::Go(Go { lease_ms })))
            });
        let chunks = BodyStream::new(body).filter_map(move |frame| async move {
            let chunk = frame.map(|frame| frame.into_data().ok()).transpose()?;
            Some(chunk.map(|chunk| attempt_id.request_part(request_part::Part::Chunk(chunk))))
        });
        // `End` follows only a complete body, so that the receiver recognises an incomplete one.
        let last = stream::iter([Ok(attempt_id.request_part(request_part::Part::End(End {})))]);
        let parts = stop_after_error(lease.chain(chunks).chain(last));
        let parts = parts.filter_map(|part| async move { part.ok() });
        let request = self.sign(first.chain(parts))?;

        let mut client = ForwardClient::new(channel);
        let call = client.run(request);
        let mut parts = match time::timeout_at(head.deadline + VERDICT_GRACE, call).await {
            Ok(Ok(parts)) => parts.into_inner(),
            Ok(Err(status)) => return Err(call_failed(&status, head.repeatable)),
            Err(_) => return Err(deadline_exceeded(head.repeatable)),
        };
        if !head.repeatable {
            grant_lease(attempt_id, head.deadline, &mut parts, grant).await?;
        }
        // The other host ends the request at its deadline and reports whether it ran.
        receive(attempt_id, head.deadline + VERDICT_GRACE, parts).await
    }

    fn head(&self, head: &Head) -> RequestHead {
        let left = head.deadline.saturating_duration_since(Instant::now()).as_millis();
        RequestHead {
            service: head.service.to_string(),
            account: head.account.as_ref().map(ToString::to_string).unwrap_or_default(),
            method: head.method.to_string(),
            path_and_query: head.path_and_query.to_string(),
            headers: headers(&head.headers),
            deadline_ms: u64::try_from(left).unwrap_or(u64::MAX),
            repeatable: head.repeatable,
            origin: self.name.to_string(),
            fingerprint: head.fingerprint.map_or(0, Fingerprint::as_u64),
            key_digest: head
                .key
                .map(|key| Bytes::copy_from_slice(key.as_bytes()))
                .unwrap_or_default(),
        }
    }
}

/// Grants the other host the lease to run a request that is not repeatable, when it asks for it.
///
/// The other host may not send the request to a target without the lease, so after a failure up to
/// here the request has not run. The other host counts the lease from the time at which it asked,
/// so a delay of the grant shortens the lease.
async fn grant_lease(
    attempt_id: AttemptId,
    deadline: Instant,
    parts: &mut Streaming<AnswerPart>,
    grant: oneshot::Sender<u64>,
) -> Result<(), Refusal> {
    let not_run = |detail: &str| Err(Refusal::not_run(Code::TargetUnreachable, detail));
    let first = match time::timeout_at(deadline, parts.message()).await {
        Ok(Ok(Some(part))) if attempt_id.matches(&part) => part.part,
        Ok(Ok(Some(_))) => return not_run("received an answer to another request"),
        Ok(Ok(None)) => return not_run("the other host closed the exchange without an answer"),
        Ok(Err(status)) => return not_run(&status.to_string()),
        Err(_) => return Err(deadline_exceeded(false)),
    };
    match first {
        Some(answer_part::Part::Ready(Ready {})) => {
            let left = deadline.saturating_duration_since(Instant::now()).as_millis();
            match grant.send(u64::try_from(left).unwrap_or_default()) {
                Ok(()) => Ok(()),
                Err(_) => not_run("the other host closed the connection"),
            }
        }
        _ => not_run("the other host did not ask for the lease"),
    }
}

fn deadline_exceeded(repeatable: bool) -> Refusal {
    match repeatable {
        true => Refusal::may_have_run(Code::DeadlineExceeded, "at another host"),
        false => Refusal::not_run(
            Code::DeadlineExceeded,
            "another host did not accept the request in time",
        ),
    }
}

/// Returns the refusal for a call that failed without an answer. The request certainly has not
/// run only if the connection or the authentication failed, or if it needs a lease, which was not
/// granted yet.
fn call_failed(status: &Status, repeatable: bool) -> Refusal {
    let detail = status.to_string();
    let is_unconnected = status.code() == tonic::Code::Unavailable && is_connect_error(status);
    if is_unconnected || !repeatable || status.code() == tonic::Code::Unauthenticated {
        Refusal::not_run(Code::TargetUnreachable, detail)
    } else {
        Refusal::may_have_run(Code::TargetFailed, detail)
    }
}

fn is_connect_error(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}

/// Identifier that every part of one attempt carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct AttemptId {
    request: id::Request,
    attempt: u32,
}

impl AttemptId {
    fn request_part(self, part: request_part::Part) -> RequestPart {
        RequestPart { request_id: self.bytes(), attempt: self.attempt, part: Some(part) }
    }

    fn answer_part(self, part: answer_part::Part) -> AnswerPart {
        AnswerPart { request_id: self.bytes(), attempt: self.attempt, part: Some(part) }
    }

    fn bytes(self) -> Bytes {
        Bytes::copy_from_slice(&self.request.as_u128().to_be_bytes())
    }

    fn matches(self, part: &AnswerPart) -> bool {
        part.request() == Ok(self.request) && part.attempt == self.attempt
    }
}

/// Receives an answer of another host.
async fn receive(
    attempt_id: AttemptId,
    deadline: Instant,
    mut parts: Streaming<AnswerPart>,
) -> Result<Answer, Refusal> {
    let failed = |detail: &str| Refusal::may_have_run(Code::TargetFailed, detail);
    let first = match time::timeout_at(deadline, parts.message()).await {
        Ok(Ok(Some(part))) if attempt_id.matches(&part) => part.part,
        Ok(Ok(Some(_))) => return Err(failed("received an answer to another request")),
        Ok(Ok(None)) => return Err(failed("the other host closed the exchange")),
        Ok(Err(status)) => return Err(failed(&status.to_string())),
        Err(_) => return Err(Refusal::may_have_run(Code::DeadlineExceeded, "at another host")),
    };
    match first {
        Some(answer_part::Part::Head(head)) => Ok(Answer {
            status: u16::try_from(head.status)
                .ok()
                .and_then(|status| StatusCode::from_u16(status).ok())
                .filter(|status| status::is_final(*status))
                .ok_or_else(|| failed("the answer has an invalid status"))?,
            headers: header_map(&head.headers),
            body: exchange::stream(chunks(attempt_id, parts)),
            target: head.target.into(),
        }),
        Some(answer_part::Part::Refusal(refusal)) => {
            Err(refusal.try_into().unwrap_or_else(|_| failed("malformed refusal")))
        }
        _ => Err(failed("the answer has no head")),
    }
}

/// Yields the chunks of an answer; an answer that ends without `End` is an error.
fn chunks(
    attempt_id: AttemptId,
    parts: Streaming<AnswerPart>,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::try_unfold(Some(parts), move |parts| async move {
        let Some(mut parts) = parts else { return Ok(None) };
        match parts.message().await.map_err(io::Error::other)? {
            Some(part) if !attempt_id.matches(&part) => Err(io::Error::other("answer id mismatch")),
            Some(AnswerPart { part: Some(answer_part::Part::Chunk(chunk)), .. }) => {
                Ok(Some((chunk, Some(parts))))
            }
            Some(AnswerPart { part: Some(answer_part::Part::End(_)), .. }) => Ok(None),
            _ => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        }
    })
}

fn headers(map: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.to_string(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    map.iter().map(header).collect()
}

fn header_map(headers: &[Header]) -> HeaderMap {
    exchange::header_map(headers.iter().map(|h| (h.name.as_bytes(), h.value.as_ref())))
}

/// The peers' listener.
pub struct Server {
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves other entry hosts.
    pub fn spawn(listener: TcpListener, context: &Context, tasks: &Tasks) -> Server {
        let stop = CancellationToken::new();
        let service = Service { context: context.clone(), tasks: tasks.clone() };
        let quota = QuotaServer::new(service.clone());
        let router = tonic::transport::Server::builder()
            .tcp_nodelay(true)
            .layer(InterceptorLayer::new(auth::interceptor(context)))
            .add_service(configuration::service(tasks))
            .add_service(membership::service(tasks))
            .add_service(RoomServer::new(service.clone()))
            .add_service(quota)
            .add_service(ForwardServer::new(service));
        let stopped = stop.clone().cancelled_owned();
        let port = Port::new("peers", context.settings.machine.allotment().targets);
        let incoming = incoming::connections(listener, port, Arc::clone(&context.journal));
        let task = tokio::spawn(async move {
            if let Err(error) = router.serve_with_incoming_shutdown(incoming, stopped).await {
                log::error!(target: "toucanhoist", "the peers' listener failed: {error}");
            }
        });
        Server { stop, task }
    }

    /// Stops accepting, waits for running requests, and aborts them after `limit`.
    pub async fn stop(self, limit: Duration) {
        self.stop.cancel();
        let mut task = self.task;
        if time::timeout(limit, &mut task).await.is_err() {
            task.abort();
        }
    }
}

#[derive(Clone)]
struct Service {
    context: Context,
    tasks: Tasks,
}

type AnswerStream = std::pin::Pin<Box<dyn Stream<Item = Result<AnswerPart, Status>> + Send>>;

#[tonic::async_trait]
impl Forward for Service {
    type RunStream = AnswerStream;

    async fn run(
        &self,
        request: Request<Streaming<RequestPart>>,
    ) -> Result<Response<AnswerStream>, Status> {
        let mut parts = request.into_inner();
        let first = parts
            .message()
            .await?
            .ok_or_else(|| Status::invalid_argument("the first part is not a head"))?;
        let attempt_id = AttemptId {
            request: first
                .request()
                .map_err(|error| Status::invalid_argument(error.to_string()))?,
            attempt: first.attempt,
        };
        let Some(request_part::Part::Head(message)) = first.part else {
            return Err(Status::invalid_argument("the first part is not a head"));
        };
        let (head, origin) = request_head(attempt_id, message)
            .ok_or_else(|| Status::invalid_argument("malformed request head"))?;
        let origin = dispatch::Origin::Host { name: origin, attempt: attempt_id.attempt };
        let forwarded = Forwarded {
            context: self.context.clone(),
            tasks: self.tasks.clone(),
            origin,
            attempt_id,
        };
        if head.repeatable {
            return Ok(Response::new(forwarded.answer(head, parts).await));
        }
        let ready = stream::iter([Ok(attempt_id.answer_part(answer_part::Part::Ready(Ready {})))]);
        let asked_at = Instant::now();
        let answer = stream::once(forwarded.answer_within_lease(head, parts, asked_at)).flatten();
        Ok(Response::new(Box::pin(ready.chain(answer))))
    }
}

/// One request that another host forwarded.
struct Forwarded {
    context: Context,
    tasks: Tasks,
    origin: dispatch::Origin,
    attempt_id: AttemptId,
}

impl Forwarded {
    async fn answer(self, head: Head, parts: Streaming<RequestPart>) -> AnswerStream {
        let chunks = exchange::stream(request_chunks(self.attempt_id, parts));
        let mut payload = Payload::Stream(Some(chunks));
        let answered =
            dispatch::run(&self.context, &self.tasks, &self.origin, &head, &mut payload).await;
        match answered {
            Ok(answer) => Box::pin(answer_parts(self.attempt_id, answer)),
            Err(refusal) => self.refusal(&refusal),
        }
    }

    /// Runs a request that is not repeatable within the lease that the forwarding host grants. The
    /// lease counts from `asked_at`, when this host asked for it, so that a delayed grant does not
    /// prolong it.
    async fn answer_within_lease(
        self,
        mut head: Head,
        mut parts: Streaming<RequestPart>,
        asked_at: Instant,
    ) -> AnswerStream {
        let not_run = |code, detail: &str| Refusal::not_run(code, detail);
        let part = match time::timeout_at(head.deadline, parts.message()).await {
            Ok(Ok(Some(part))) if part.request() == Ok(self.attempt_id.request) => part,
            Ok(_) => return self.refusal(&not_run(Code::BadRequest, "no lease granted")),
            Err(_) => return self.refusal(&not_run(Code::DeadlineExceeded, "no lease granted")),
        };
        match part.part {
            Some(request_part::Part::Go(go)) if part.attempt == self.attempt_id.attempt => {
                head.deadline = asked_at + Duration::from_millis(go.lease_ms.min(LEASE_MAX_MS));
                self.answer(head, parts).await
            }
            _ => self.refusal(&not_run(Code::BadRequest, "no lease granted")),
        }
    }

    fn refusal(&self, refusal: &Refusal) -> AnswerStream {
        let part = self.attempt_id.answer_part(answer_part::Part::Refusal(refusal.into()));
        Box::pin(stream::iter([Ok(part)]))
    }
}

/// Returns the head of a forwarded request and the host that sent it; `None` if it is malformed.
fn request_head(attempt_id: AttemptId, message: RequestHead) -> Option<(Head, id::EntryHost)> {
    let account = match message.account.as_str() {
        "" => None,
        name => Some(name.parse().ok()?),
    };
    let key = match message.key_digest.as_ref() {
        [] => None,
        digest => Some(digest.try_into().ok()?),
    };
    let head = Head {
        request: attempt_id.request,
        key,
        service: message.service.parse().ok()?,
        account,
        method: message.method.parse().ok()?,
        path_and_query: message.path_and_query.into(),
        headers: header_map(&message.headers),
        deadline: Instant::now() + Duration::from_millis(message.deadline_ms.min(LEASE_MAX_MS)),
        repeatable: message.repeatable,
        fingerprint: (message.fingerprint != 0).then(|| message.fingerprint.into()),
    };
    Some((head, message.origin.parse().ok()?))
}

fn request_chunks(
    attempt_id: AttemptId,
    parts: Streaming<RequestPart>,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::try_unfold(parts, move |mut parts| async move {
        match parts.message().await.map_err(io::Error::other)? {
            Some(part)
                if part.request() != Ok(attempt_id.request)
                    || part.attempt != attempt_id.attempt =>
            {
                Err(io::Error::other("request id mismatch"))
            }
            Some(RequestPart { part: Some(request_part::Part::Chunk(chunk)), .. }) => {
                Ok(Some((chunk, parts)))
            }
            Some(RequestPart { part: Some(request_part::Part::End(_)), .. }) => Ok(None),
            _ => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        }
    })
}

fn answer_parts(
    attempt_id: AttemptId,
    answer: Answer,
) -> impl Stream<Item = Result<AnswerPart, Status>> + Send + 'static {
    let head = AnswerHead {
        status: answer.status.as_u16().into(),
        headers: headers(&answer.headers),
        target: answer.target.into(),
    };
    let first = stream::iter([Ok(attempt_id.answer_part(answer_part::Part::Head(head)))]);
    let chunks = BodyStream::new(answer.body).filter_map(move |frame| async move {
        match frame {
            Ok(frame) => {
                let chunk = frame.into_data().ok()?;
                Some(Ok(attempt_id.answer_part(answer_part::Part::Chunk(chunk))))
            }
            Err(error) => Some(Err(Status::aborted(error.to_string()))),
        }
    });
    // `End` follows only a complete body, so that the receiver recognises an incomplete one.
    let parts =
        chunks.chain(stream::iter([Ok(attempt_id.answer_part(answer_part::Part::End(End {})))]));
    first.chain(stop_after_error(parts))
}

fn stop_after_error<S, T, E>(parts: S) -> impl Stream<Item = Result<T, E>> + Send
where
    S: Stream<Item = Result<T, E>> + Send,
    T: Send,
    E: Send,
{
    parts.scan(false, |failed, part| {
        let ended = *failed;
        *failed |= part.is_err();
        async move { (!ended).then_some(part) }
    })
}
