//! One request, from its head to its answer.

use std::{sync::Arc, time::Duration};

use {
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, HeaderValue, Method, Request, Response, header, request::Parts},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    tokio::time::{self, Instant},
    toucanhoist_core::{
        event::Event,
        id,
        quarantine::Fingerprint,
        refusal::{Code, Refusal},
        steering::{AccountTerms, Route, Routes},
    },
    twox_hash::XxHash64,
};

use super::{
    Phase, Shared,
    ahead::Ahead,
    answer::{self, Body},
    attempt,
};

/// Time for which a caller is taken to wait that states none, on a route without timeout.
const WAIT_DEFAULT: Duration = Duration::from_secs(10);
/// Time after which a caller may come back that met a host without configuration.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// A request that may be sent to targets.
pub(super) struct Admitted {
    /// Identifier that the caller gave it.
    pub id: Box<str>,
    /// Its route.
    pub route: Arc<Route>,
    /// Revision of the configuration that decided.
    pub revision: id::Revision,
    /// Service that runs it.
    pub service: id::Service,
    /// Its client account.
    pub account: Option<Arc<AccountTerms>>,
    /// Regions that may serve it; empty for all.
    pub homes: Vec<id::Region>,
    /// Object that it is about, on routes with affinity.
    pub object: Option<u64>,
    /// Stands for all requests of its content.
    pub fingerprint: Fingerprint,
    /// Head.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer is of no use any more.
    pub deadline: Instant,
}

/// Returns what begins requests of a connection early that are sent behind another.
pub(super) fn look_ahead(shared: &Arc<Shared>) -> Arc<Ahead> {
    let shared = Arc::clone(shared);
    Ahead::new(move |head| {
        let routes = shared.fleet.routes()?;
        let is_repeatable = routes.route(host(head), head.uri.path())?.repeatable;
        if !is_repeatable || *shared.phase.borrow() != Phase::Serving {
            return None;
        }
        let (shared, head) = (Arc::clone(&shared), head.clone());
        Some(tokio::spawn(async move { respond(&shared, head, None).await }))
    })
}

/// Handles one request.
pub(super) async fn handle(
    shared: &Arc<Shared>,
    ahead: &Ahead,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let mut response = match ahead.take(&head) {
        Some(early) => early.answer().await.unwrap_or_else(|| {
            let refusal = Refusal::may_have_run(Code::TargetFailed, "the work on it broke down");
            answer::of_refusal(&identifier(shared, &head.headers), &refusal, &shared.dialect)
        }),
        None => respond(shared, head, Some(body)).await,
    };
    ahead.done();
    // A connection does not close before what has begun is answered.
    if *shared.phase.borrow() != Phase::Serving && !ahead.has_begun() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the answer to a request, which may be a refusal.
async fn respond(shared: &Arc<Shared>, head: Parts, body: Option<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let id = identifier(shared, &head.headers);
    let mut watch = Watch { shared, id: &id, arrived, open: true };
    let outcome = carry(shared, &id, arrived, head, body).await;
    watch.open = false;
    match outcome {
        Ok(response) => response,
        Err(refusal) => {
            shared.journal.record_failure(
                Event::Refused,
                &id,
                &[
                    ("code", &refusal.code),
                    ("verdict", &refusal.verdict),
                    ("reason", &refusal.detail),
                    ("retry_after_ms", &refusal.retry_after.unwrap_or_default().as_millis()),
                    ("micros", &arrived.elapsed().as_micros()),
                ],
            );
            metrics::counter!("toucanhoist_refusals_total", "code" => refusal.code.as_str())
                .increment(1);
            answer::of_refusal(&id, &refusal, &shared.dialect)
        }
    }
}

/// Notes a request that ended because its caller went away.
struct Watch<'a> {
    shared: &'a Shared,
    id: &'a str,
    arrived: Instant,
    open: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if self.open {
            let micros = self.arrived.elapsed().as_micros();
            self.shared.journal.record(Event::Abandoned, self.id, &[("micros", &micros)]);
            metrics::counter!("toucanhoist_abandoned_total").increment(1);
        }
    }
}

async fn carry(
    shared: &Arc<Shared>,
    id: &str,
    arrived: Instant,
    head: Parts,
    body: Option<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let limits = shared.limits();
    let wait = remaining(shared, &head.headers);
    let until = arrived + wait.unwrap_or(WAIT_DEFAULT);
    let body = match body {
        Some(body) => read(body, &head.headers, limits.body_bytes, until).await?,
        None => Bytes::new(),
    };
    let Some(routes) = shared.fleet.routes() else {
        return Err(Refusal::not_run(Code::NotReady, "no configuration has arrived")
            .retry_after(NOT_READY_RETRY));
    };
    let admitted = admit(shared, &routes, id, arrived, wait, head, body)?;
    if let Some(account) = admitted.account.as_ref().filter(|account| account.rate > 0.0) {
        take_token(shared, account, admitted.deadline).await?;
    }
    attempt::run(shared, &admitted).await
}

/// Takes a token of a client account. Tokens may be asked of other hosts, which takes some time; where
/// the deadline passes meanwhile, finding a target ends the request.
async fn take_token(
    shared: &Shared,
    account: &AccountTerms,
    deadline: Instant,
) -> Result<(), Refusal> {
    match time::timeout_at(deadline, shared.steer.admit(&account.name)).await {
        Ok(Err(after)) => {
            let detail = format!("account {} is over {}/s", account.name, account.rate);
            Err(Refusal::not_run(Code::RateExceeded, detail).retry_after(after))
        }
        Ok(Ok(())) | Err(_) => Ok(()),
    }
}

/// Finds the route and the account of a request.
fn admit(
    shared: &Shared,
    routes: &Routes,
    id: &str,
    arrived: Instant,
    wait: Option<Duration>,
    head: Parts,
    body: Bytes,
) -> Result<Admitted, Refusal> {
    let (host, path) = (host(&head), head.uri.path());
    let route = routes
        .route(host, path)
        .ok_or_else(|| Refusal::not_run(Code::UnknownRoute, format!("{host}{path}")))?;
    let account = match bearer(&head.headers) {
        _ if route.open || !routes.has_accounts() => None,
        Some(key) => routes.account(key).cloned(),
        None => None,
    };
    if account.is_none() && !route.open && routes.has_accounts() {
        return Err(Refusal::not_run(Code::KeyRefused, "no valid key came with the request"));
    }
    let service = route
        .service(rand::random())
        .cloned()
        .ok_or_else(|| Refusal::not_run(Code::NoRoom, "the route has no service"))?;
    let account_homes = account.as_ref().map_or(&[][..], |account| &account.homes);
    let homes = homes(&route.homes, account_homes)
        .ok_or_else(|| Refusal::not_run(Code::NoRoom, "route and account share no region"))?;
    let wait = match (wait, route.timeout) {
        (Some(wait), Some(timeout)) => wait.min(timeout),
        (wait, timeout) => wait.or(timeout).unwrap_or(WAIT_DEFAULT),
    };
    let object = object(&head.headers, &shared.dialect.object_cookie)
        .filter(|_| route.affinity)
        .map(|object| XxHash64::oneshot(0, object.as_bytes()) ^ hash(&route.name));
    let account_name = account.as_ref().map_or("", |account| account.name.as_str());
    let target = head.uri.path_and_query().map_or(path, |target| target.as_str());
    let fingerprint = Fingerprint::of(&[
        account_name.as_bytes(),
        host.as_bytes(),
        head.method.as_str().as_bytes(),
        target.as_bytes(),
        &body,
    ]);
    Ok(Admitted {
        id: id.into(),
        route: Arc::clone(route),
        revision: routes.config().revision,
        service,
        account,
        homes,
        object,
        fingerprint,
        head,
        body,
        arrived,
        deadline: arrived + wait,
    })
}

/// Returns the host name that a request is for.
fn host(head: &Parts) -> &str {
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or_default()
}

/// Returns the regions that may serve a request; `None` if there is none.
fn homes(route: &[id::Region], account: &[id::Region]) -> Option<Vec<id::Region>> {
    if route.is_empty() || account.is_empty() {
        return Some(if route.is_empty() { account } else { route }.to_vec());
    }
    let both: Vec<id::Region> = route.iter().filter(|r| account.contains(r)).cloned().collect();
    (!both.is_empty()).then_some(both)
}

fn hash(name: &str) -> u64 {
    XxHash64::oneshot(1, name.as_bytes())
}

fn identifier(shared: &Shared, headers: &HeaderMap) -> Box<str> {
    let given = headers.get(&shared.dialect.request_id).and_then(|id| id.to_str().ok());
    given.map_or_else(|| format!("{:032x}", rand::random::<u128>()).into(), Into::into)
}

fn remaining(shared: &Shared, headers: &HeaderMap) -> Option<Duration> {
    let millis = headers.get(&shared.dialect.remaining_ms)?.to_str().ok()?;
    millis.trim().parse().ok().map(Duration::from_millis)
}

fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(b"Bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"Bearer ").then(|| key.trim_ascii())
}

fn object<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(';'))
        .find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

/// Reads a body of at most `limit` bytes.
async fn read(
    mut body: Incoming,
    headers: &HeaderMap,
    limit: usize,
    until: Instant,
) -> Result<Bytes, Refusal> {
    let too_large =
        || Refusal::not_run(Code::BodyTooLarge, format!("at most {limit} bytes are taken"));
    let stated = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if stated.is_some_and(|stated: usize| stated > limit) {
        return Err(too_large());
    }
    let mut content = BytesMut::new();
    loop {
        let frame = time::timeout_at(until, body.frame()).await.map_err(|_| {
            Refusal::not_run(Code::NoRoom, "the body did not arrive while its caller waited")
        })?;
        let Some(frame) = frame else { return Ok(content.freeze()) };
        let frame = frame.map_err(|error| {
            Refusal::not_run(Code::BadRequest, format!("the body broke off: {error}"))
        })?;
        let Ok(chunk) = frame.into_data() else { continue };
        if content.len() + chunk.len() > limit {
            return Err(too_large());
        }
        content.extend_from_slice(&chunk);
    }
}

/// Whether the answer to a request never has a body.
pub(super) fn is_without_body(method: &Method) -> bool {
    *method == Method::HEAD
}
