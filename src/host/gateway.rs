//! The callers' listener.

use std::{io, pin::pin, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    http::{HeaderValue, Method, StatusCode, header},
    http_body::Body as _,
    http_body_util::BodyExt,
    salvo::{Depot, FlowCtrl, Handler, Request, Response, Router},
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{self, Instant},
    },
    toucanhoist_core::{
        catalog::{self, Route, Unrouted},
        event::Event,
        fleet::Access,
        id,
        lookup::Table,
        memory::Budget,
        refusal::{Code, Refusal, Verdict},
    },
    toucanhoist_edge::{connections::Port, held::Collector},
};

use super::{
    Context, Tasks, accounts, dispatch,
    exchange::{Answer, Head, Payload},
    listener::{self, Handling, Limits},
    submissions,
};

mod answer;
mod headers;
mod lookup;
pub(in crate::host) mod problem;
mod secret;
mod submission;

use self::secret::Secrets;

/// Largest body that is buffered so that it can be sent again.
const BUFFERED_MAX_BYTES: usize = 64 * 1_024;
/// Largest body of a submission.
const SUBMISSION_MAX_BYTES: usize = 1_024 * 1_024;
/// `Retry-After` of a host whose memory for requests is used up.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Logged in place of a path that contains a key.
const WITHHELD: &str = "(withheld)";

/// The callers' listener.
pub struct Server {
    listener: listener::Server,
}

impl Server {
    /// Serves callers.
    ///
    /// # Errors
    ///
    /// The certificate or its key cannot be read.
    pub async fn spawn(
        listener: TcpListener,
        context: &Context,
        tasks: &Tasks,
    ) -> io::Result<Server> {
        let table = lookup::spawn(context, tasks);
        let gateway = Gateway { context: context.clone(), tasks: tasks.clone(), table };
        let router = Router::with_path("{**rest}").goal(gateway);
        let tls = context.certificates().await?;
        let limits = Limits::default();
        let port = Port::for_callers(&context.settings.machine.allotment(), &context.memory);
        let listener = listener::Server::spawn(listener, port, router, context, limits, tls);
        Ok(Server { listener })
    }

    /// Stops accepting, waits for running requests, and aborts them after `limit`.
    pub async fn stop(self, limit: Duration) {
        self.listener.stop(limit).await;
    }
}

struct Gateway {
    context: Context,
    tasks: Tasks,
    table: watch::Receiver<Arc<Table>>,
}

#[salvo::async_trait]
impl Handler for Gateway {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let id = id::Request::from(rand::random::<u128>());
        let mut tracker = answer::Tracker::begin(&self.context.journal, id);
        let started = Instant::now();
        let secrets = self.secrets(request);
        let outcome = match request.uri().path() {
            _ if contains_key(request, &secrets) => Err(bad_request(
                "the path or the query contains a key; send it as Authorization: Bearer",
            )),
            "/lookup" => self.look_up(id, request),
            _ => self.proxy(id, request, &secrets).await,
        };
        count(&outcome, started.elapsed());
        match outcome {
            Ok(answer) => {
                if !has_body(request.method(), &answer) {
                    tracker.finish();
                }
                answer::write(response, tracker.attach(answer));
            }
            Err(refusal) => {
                tracker.finish();
                let path =
                    if contains_key(request, &secrets) { WITHHELD } else { request.uri().path() };
                self.log_refusal(id, request.method(), path, &refusal);
                problem::write(response, id, &refusal);
                if refusal.code == Code::MethodNotAllowed {
                    response.headers_mut().insert(header::ALLOW, self.allowed(request));
                }
            }
        }
        if let Ok(value) = HeaderValue::try_from(id.to_string()) {
            response.headers_mut().insert(headers::REQUEST_ID, value);
        }
        if *self.context.leaving.borrow() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

impl Gateway {
    fn look_up(&self, id: id::Request, request: &Request) -> Result<Answer, Refusal> {
        let table = Arc::clone(&self.table.borrow());
        match *request.method() {
            Method::GET | Method::HEAD => {
                lookup::answer(&self.context, &self.tasks, table, id, request)
            }
            _ => Err(Refusal::not_run(Code::MethodNotAllowed, "/lookup")),
        }
    }

    async fn proxy(
        &self,
        id: id::Request,
        request: &mut Request,
        secrets: &Secrets,
    ) -> Result<Answer, Refusal> {
        if !self.tasks.fleet.is_ready() {
            return Err(Refusal::not_run(
                Code::NotReady,
                "this host has not received a configuration yet",
            )
            .retry_after(Duration::from_secs(1)));
        }
        let catalog = self.tasks.fleet.catalog();
        let (service, path) = split_path(request.uri().path())?;
        let resolved = catalog
            .service(&service)
            .ok_or_else(|| Refusal::not_run(Code::UnknownService, service.as_str()))?;
        let route = route(resolved, request.method(), path)?;
        let deadline = Instant::now() + route.deadline;
        let admission = self.admit(route, request, deadline).await?;
        let (account, key) = admission.map(|a| (a.account, a.key)).unzip();
        let mut head = Head {
            request: id,
            service: service.clone(),
            account: account.clone(),
            key,
            method: request.method().clone(),
            path_and_query: path_and_query(request),
            headers: self.target_headers(id, request, secrets, account.as_ref()),
            deadline,
            repeatable: route.repeatable,
            fingerprint: None,
        };
        let mut payload = self.payload(route, request, deadline).await?;
        // From here on, a target may have the request.
        if !request.extensions().get::<Handling>().is_none_or(Handling::begin) {
            return Err(Refusal::not_run(
                Code::NoRoom,
                "the connection is closed to make room for another",
            ));
        }
        head.fingerprint = Some(dispatch::fingerprint(&head, &payload));
        let started = Instant::now();
        let mut answer = if route.repeatable {
            let origin = dispatch::Origin::Caller;
            dispatch::run(&self.context, &self.tasks, &origin, &head, &mut payload).await?
        } else {
            let submission = submission::submission(request, &head, &payload)?;
            submissions::run(&self.context, &self.tasks, submission, head, payload).await?
        };
        self.context.journal.record(
            Event::Answered,
            id,
            &[
                ("status", &answer.status.as_u16()),
                ("target", &answer.target),
                ("micros", &started.elapsed().as_micros()),
            ],
        );
        if has_body(request.method(), &answer) && !is_framed(&answer) {
            return Err(Refusal::may_have_run(
                Code::TargetFailed,
                "the target's answer has neither Content-Length nor Transfer-Encoding",
            ));
        }
        headers::answer_headers(&mut answer.headers);
        answer.headers.insert(headers::VERDICT, HeaderValue::from_static(Verdict::Ran.as_str()));
        Ok(answer)
    }

    /// Finds the keys that a request contains, in whatever part of it.
    fn secrets(&self, request: &Request) -> Secrets {
        let mut secrets = Secrets::in_credentials(request.headers());
        let candidates = secret::candidates(request.headers(), request.uri());
        if !candidates.is_empty() {
            for key in self.tasks.accounts.keys_among(candidates) {
                secrets.add(&key);
            }
        }
        secrets
    }

    fn target_headers(
        &self,
        id: id::Request,
        request: &Request,
        secrets: &Secrets,
        account: Option<&id::Account>,
    ) -> http::HeaderMap {
        let forwarded = headers::target_headers(request.headers(), secrets, id, account);
        if forwarded.withheld > 0 {
            metrics::counter!("toucanhoist_headers_withheld_total")
                .increment(u64::try_from(forwarded.withheld).unwrap_or(u64::MAX));
            let fields: [crate::journal::Field<'_>; 1] = [("headers", &forwarded.withheld)];
            self.context.journal.record(Event::KeyWithheld, id, &fields);
        }
        forwarded.headers
    }

    async fn admit(
        &self,
        route: &Route,
        request: &Request,
        deadline: Instant,
    ) -> Result<Option<accounts::Admission>, Refusal> {
        if route.access == Access::Open {
            return Ok(None);
        }
        let key = headers::bearer(request.headers())
            .ok_or_else(|| Refusal::not_run(Code::KeyRefused, "the key is missing or not valid"))?;
        let client = request.remote_addr().clone().into_std().map(|address| address.ip());
        self.tasks.accounts.admit(key, client, deadline).await.map(Some)
    }

    /// Returns the methods that are allowed for the path of a request.
    fn allowed(&self, request: &Request) -> HeaderValue {
        const METHODS: [Method; 6] =
            [Method::GET, Method::HEAD, Method::POST, Method::PUT, Method::PATCH, Method::DELETE];
        let catalog = self.tasks.fleet.catalog();
        let resolved = split_path(request.uri().path())
            .ok()
            .and_then(|(service, path)| Some((catalog.service(&service)?, path)));
        let is_allowed = |method: &Method| match resolved {
            Some((service, path)) => route(service, method, path).is_ok(),
            None => matches!(*method, Method::GET | Method::HEAD),
        };
        let allowed: Vec<&str> =
            METHODS.iter().filter(|method| is_allowed(method)).map(Method::as_str).collect();
        HeaderValue::try_from(allowed.join(", ")).unwrap_or(HeaderValue::from_static(""))
    }

    /// Takes the body of a request: buffered if it is small enough or a submission, otherwise as a
    /// stream.
    async fn payload(
        &self,
        route: &Route,
        request: &mut Request,
        deadline: Instant,
    ) -> Result<Payload, Refusal> {
        let limit = if route.repeatable { BUFFERED_MAX_BYTES } else { SUBMISSION_MAX_BYTES };
        let length = headers::content_length(request.headers());
        if !route.repeatable && length.is_some_and(|length| length > limit as u64) {
            return Err(too_large(limit));
        }
        let may_exceed_buffer = length.is_none_or(|length| length > limit as u64);
        let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        if route.repeatable && may_exceed_buffer && (length.is_some() || is_chunked) {
            let stream = upload(request).boxed_unsync();
            return Ok(Payload::Stream(Some(stream)));
        }
        match time::timeout_at(deadline, collect(request, limit, &self.context.memory)).await {
            Ok(content) => Ok(Payload::Buffered(content?)),
            Err(_) => Err(Refusal::not_run(Code::DeadlineExceeded, "the body took too long")),
        }
    }

    fn log_refusal(&self, id: id::Request, method: &Method, path: &str, refusal: &Refusal) {
        self.context.journal.record(
            Event::Refused,
            id,
            &[
                ("code", &refusal.code),
                ("verdict", &refusal.verdict),
                ("method", method),
                ("path", &path),
                ("reason", &refusal.detail),
            ],
        );
    }
}

/// Whether the path or the query contains a key, which would be forwarded and logged.
fn contains_key(request: &Request, secrets: &Secrets) -> bool {
    let path_and_query = request.uri().path_and_query();
    path_and_query.is_some_and(|path| secrets.occur_in(path.as_str().as_bytes()))
}

/// Returns the route of a method and a path. `HEAD` falls back to the route of `GET`.
fn route<'a>(
    service: &'a catalog::Service,
    method: &Method,
    path: &str,
) -> Result<&'a Route, Refusal> {
    let matched = service.route(method.as_str(), path).or_else(|error| match (error, method) {
        (Unrouted::Method, &Method::HEAD) => service.route(Method::GET.as_str(), path),
        (error, _) => Err(error),
    });
    matched.map_err(|error| match error {
        Unrouted::Path => Refusal::not_run(Code::UnknownRoute, path),
        Unrouted::Method => Refusal::not_run(Code::MethodNotAllowed, path),
    })
}

fn has_body(method: &Method, answer: &Answer) -> bool {
    *method != Method::HEAD
        && !matches!(answer.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        && headers::content_length(&answer.headers) != Some(0)
        && !answer.body.is_end_stream()
}

/// Counts a request by its outcome.
fn count(outcome: &Result<Answer, Refusal>, elapsed: Duration) {
    let (code, verdict) = match outcome {
        Ok(answer) => (status_class(answer.status), Verdict::Ran),
        Err(refusal) => (refusal.code.as_str(), refusal.verdict),
    };
    if outcome.is_err() {
        metrics::counter!("toucanhoist_refusals_total", "code" => code).increment(1);
    }
    let verdict = verdict.as_str();
    metrics::counter!("toucanhoist_requests_total", "code" => code, "verdict" => verdict)
        .increment(1);
    metrics::histogram!("toucanhoist_request_seconds").record(elapsed.as_secs_f64());
}

fn status_class(status: StatusCode) -> &'static str {
    match status.as_u16() / 100 {
        1 => "1xx",
        2 => "2xx",
        3 => "3xx",
        4 => "4xx",
        _ => "5xx",
    }
}

pub(super) fn bad_request(detail: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(Code::BadRequest, detail)
}

fn too_large(limit: usize) -> Refusal {
    Refusal::not_run(Code::BodyTooLarge, format!("the body has more than {limit} bytes"))
}

/// Splits a path into its service and the rest, which starts with `/`.
fn split_path(path: &str) -> Result<(id::Service, &str), Refusal> {
    if has_dot_segment(path) {
        return Err(bad_request("the path contains a segment `.` or `..`"));
    }
    let path = path.strip_prefix('/').unwrap_or(path);
    let end = path.find('/').unwrap_or(path.len());
    let service = path[..end]
        .parse()
        .map_err(|_| Refusal::not_run(Code::UnknownService, "the path names no service"))?;
    Ok((service, if end == path.len() { "/" } else { &path[end..] }))
}

/// Whether the path has a segment `.` or `..`, by which a server could resolve it to the path of
/// another route.
fn has_dot_segment(path: &str) -> bool {
    let decoded = secret::unescaped(path.as_bytes());
    decoded
        .split(|byte| matches!(byte, b'/' | b'\\'))
        .any(|segment| matches!(segment, b"." | b".."))
}

/// Whether the end of an answer's body can be distinguished from a lost connection.
fn is_framed(answer: &Answer) -> bool {
    let headers = &answer.headers;
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn path_and_query(request: &Request) -> Box<str> {
    request.uri().path_and_query().map_or("/", |path| path.as_str()).into()
}

/// Takes the body of a request, with which the receive window of its connection grows.
fn upload(request: &mut Request) -> impl http_body::Body<Data = Bytes, Error = io::Error> + use<> {
    let mut window = request.extensions().get::<Handling>().map(Handling::window);
    let mut received = 0;
    request.take_body().map_frame(move |frame| {
        received += frame.data_ref().map_or(0, Bytes::len);
        if let Some(window) = &mut window {
            window.grow(received);
        }
        frame
    })
}

/// Collects the body of a request.
pub(super) async fn collect(
    request: &mut Request,
    limit: usize,
    memory: &Arc<Budget>,
) -> Result<Bytes, Refusal> {
    let used_up = |_| {
        Refusal::not_run(Code::NoRoom, "the memory for requests is used up")
            .retry_after(MEMORY_RETRY_AFTER)
    };
    let mut body = pin!(upload(request));
    let mut content = Collector::new(memory, 0);
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| bad_request(format!("failed to read the body: {error}")))?;
        let Ok(chunk) = frame.into_data() else { continue };
        if content.length() + chunk.len() > limit {
            return Err(too_large(limit));
        }
        content.push(&chunk).map_err(used_up)?;
    }
    content.finish().into_bytes(memory).map_err(used_up)
}
