//! Handles one request, from its head to its answer.

use std::{sync::Arc, time::Duration};

use {
    http::{HeaderMap, HeaderValue, Method, Request, Response, header, request::Parts},
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    tokio::time::{self, Instant},
    toucanhoist_core::{
        event::Event,
        id,
        memory::Share,
        quarantine::Fingerprint,
        refusal::{Code, Refusal},
        steering::{AccountTerms, Route, Routes},
    },
    twox_hash::XxHash64,
};

use super::{
    Phase, Shared,
    answer::{self, Body},
    attempt,
    pipeline::Pipeline,
};
use crate::{
    connections::Slot,
    held::{Collector, Content},
    window::Window,
};

/// Time-out of a request whose caller states none, on a route without one.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);
/// Longest time-out, whatever the caller states.
const TIMEOUT_MAX: Duration = Duration::from_secs(120);
/// Time for which the rest of a refused request's body is read, as closing a connection with unread bytes resets it
/// and may discard the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Memory of a header field that has been parsed, apart from its text.
const FIELD_BYTES: usize = 128;
/// Size of a parsed head that the memory of a connection covers.
const FREE_HEAD_BYTES: usize = 8 * 1_024;
/// Memory of a request that is started before its turn.
const EARLY_BYTES: usize = 16 * 1_024;
/// `Retry-After` of a host whose memory for requests is used up.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of a host that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of requests that cannot be served until an operator changes the configuration.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A request that has a route and an account, and may be sent to targets.
pub(super) struct Admitted {
    /// Identifier, from the caller or generated.
    pub id: Box<str>,
    /// The identifier as the value of a header.
    pub id_header: HeaderValue,
    /// Route that it matches.
    pub route: Arc<Route>,
    /// Revision of the configuration that it was admitted under.
    pub revision: id::Revision,
    /// Service that runs it.
    pub service: id::Service,
    /// Client account; `None` where the route or the configuration needs none.
    pub account: Option<Arc<AccountTerms>>,
    /// Name of the client account as the value of a header.
    pub account_header: Option<HeaderValue>,
    /// Regions that may serve it; empty for all.
    pub homes: Vec<id::Region>,
    /// Hash of the object that it is about, on routes with affinity.
    pub object: Option<u64>,
    /// Hash of its content, which equal requests share.
    pub fingerprint: Fingerprint,
    pub head: Parts,
    pub body: Content,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller stops waiting for an answer.
    pub deadline: Instant,
}

/// The body of a request that is being read.
struct Upload {
    content: Incoming,
    window: Window,
}

/// Memory of a request's head.
#[derive(Debug)]
pub(super) enum HeadMemory {
    /// The memory of the connection covers it.
    Covered,
    /// It is taken from the budget.
    Taken { _share: Share },
    /// The budget had no room for it.
    Lacking,
}

/// Takes the memory that the head of a request needs beyond that of its connection.
pub(super) fn take_head_memory<B>(shared: &Shared, request: &Request<B>) -> HeadMemory {
    let headers = request.headers();
    let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let bytes = text + headers.len() * FIELD_BYTES;
    if bytes <= FREE_HEAD_BYTES {
        return HeadMemory::Covered;
    }
    let taken = shared.memory.take(bytes);
    taken.map_or(HeadMemory::Lacking, |share| HeadMemory::Taken { _share: share })
}

/// Drops the headers of a request but for its identifier.
pub(super) fn shorten<B>(shared: &Shared, request: &mut Request<B>) {
    let name = &shared.dialect.request_id;
    let id = request.headers().get(name).map(|id| HeaderValue::from_bytes(id.as_bytes()));
    request.headers_mut().clear();
    if let Some(Ok(id)) = id {
        request.headers_mut().insert(name.clone(), id);
    }
}

/// Creates the pipeline of a connection, which starts repeatable requests early while the host serves.
pub(super) fn pipeline(shared: &Arc<Shared>, slot: &Arc<Slot>) -> Arc<Pipeline> {
    let (shared, slot) = (Arc::clone(shared), Arc::clone(slot));
    Pipeline::new(move |head| {
        let routes = shared.fleet.routes()?;
        let is_repeatable = routes.route(host(head), head.uri.path())?.repeatable;
        if !is_repeatable || *shared.phase.borrow() != Phase::Serving {
            return None;
        }
        let share = shared.memory.take(EARLY_BYTES)?;
        let (shared, slot, head) = (Arc::clone(&shared), Arc::clone(&slot), head.clone());
        Some(tokio::spawn(async move {
            respond(&shared, &slot, head, HeadMemory::Taken { _share: share }, None).await
        }))
    })
}

/// Handles one request.
pub(super) async fn handle(
    shared: &Arc<Shared>,
    pipeline: &Pipeline,
    slot: &Arc<Slot>,
    head_memory: HeadMemory,
    window: Window,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, content) = request.into_parts();
    let mut response = match pipeline.take(&head) {
        Some(early) => early.answer().await.unwrap_or_else(|| {
            let refusal =
                Refusal::may_have_run(Code::TargetFailed, "the task of the request failed");
            answer::of_refusal(&identifier(shared, &head.headers), &refusal, &shared.dialect)
        }),
        None => {
            let upload = Upload { content, window };
            respond(shared, slot, head, head_memory, Some(upload)).await
        }
    };
    pipeline.finish();
    response.body_mut().watch(pipeline.overdue());
    // A connection closes only after the requests that were started early are answered.
    if *shared.phase.borrow() != Phase::Serving && !pipeline.has_early_answers() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the answer to a request, which may be a refusal.
async fn respond(
    shared: &Arc<Shared>,
    slot: &Arc<Slot>,
    head: Parts,
    head_memory: HeadMemory,
    mut upload: Option<Upload>,
) -> Response<Body> {
    let arrived = Instant::now();
    let id = identifier(shared, &head.headers);
    let mut guard = AbandonGuard { shared, id: &id, arrived, is_armed: true };
    let is_discarded = !head.headers.contains_key(header::EXPECT);
    let outcome = process(shared, slot, &id, arrived, head, head_memory, &mut upload).await;
    guard.is_armed = false;
    let rest = upload.map(|upload| upload.content).filter(|rest| !rest.is_end_stream());
    if let Some(rest) = rest.filter(|_| is_discarded) {
        tokio::spawn(discard(rest, shared.limits().body_bytes));
    }
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

/// Logs and counts a request as abandoned if it is dropped before it is answered, since its caller has
/// disconnected.
struct AbandonGuard<'a> {
    shared: &'a Shared,
    id: &'a str,
    arrived: Instant,
    is_armed: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            let micros = self.arrived.elapsed().as_micros();
            self.shared.journal.record(Event::Abandoned, self.id, &[("micros", &micros)]);
            metrics::counter!("toucanhoist_abandoned_total").increment(1);
        }
    }
}

async fn process(
    shared: &Arc<Shared>,
    slot: &Arc<Slot>,
    id: &str,
    arrived: Instant,
    head: Parts,
    head_memory: HeadMemory,
    upload: &mut Option<Upload>,
) -> Result<Response<Body>, Refusal> {
    if matches!(head_memory, HeadMemory::Lacking) {
        return Err(memory_used_up());
    }
    let Some(routes) = shared.fleet.routes() else {
        return Err(Refusal::not_run(Code::NotReady, "no configuration has arrived")
            .retry_after(NOT_READY_RETRY_AFTER));
    };
    let mut admitted = admit(shared, &routes, id, arrived, head)?;
    if let Some(account) = admitted.account.as_ref().filter(|account| account.rate > 0.0) {
        take_token(shared, account, admitted.deadline).await?;
    }
    if let Some(upload) = upload {
        admitted.body = read(shared, upload, &admitted).await?;
    }
    *upload = None;
    admitted.fingerprint = fingerprint(&admitted);
    // From here on, a target may have the request.
    let busy = slot.begin().ok_or_else(|| {
        Refusal::not_run(Code::NoRoom, "the connection is closed to make room for another")
            .retry_after(MEMORY_RETRY_AFTER)
    })?;
    let mut response = attempt::run(shared, &admitted).await?;
    response.body_mut().keep_busy(busy);
    Ok(response)
}

fn memory_used_up() -> Refusal {
    Refusal::not_run(Code::NoRoom, "the memory for requests is used up")
        .retry_after(MEMORY_RETRY_AFTER)
}

/// Takes a token of a client account, which may have to come from another host. If the deadline passes
/// before that, the request goes on and is refused when it asks for a target.
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

/// Determines the route, account, service and deadline of a request, or refuses it. Its body is not read yet.
fn admit(
    shared: &Shared,
    routes: &Routes,
    id: &str,
    arrived: Instant,
    head: Parts,
) -> Result<Admitted, Refusal> {
    let wait = remaining_time(shared, &head.headers).map(|wait| wait.min(TIMEOUT_MAX));
    let (host, path) = (host(&head), head.uri.path());
    let route = routes.route(host, path).ok_or_else(|| no_route(routes, host, path))?;
    let account = match route.open || !routes.requires_keys() {
        true => None,
        false => Some(account_of(routes, &head.headers)?),
    };
    let account_header = account.as_deref().map(account_header).transpose()?;
    let service = route
        .service(rand::random())
        .cloned()
        .ok_or_else(|| Refusal::not_run(Code::NoRoom, "the route has no service"))?;
    let account_homes = account.as_ref().map_or(&[][..], |account| &account.homes);
    let homes = homes(&route.homes, account_homes)
        .ok_or_else(|| Refusal::not_run(Code::NoRoom, "route and account share no region"))?;
    let wait = match (wait, route.timeout) {
        (Some(wait), Some(timeout)) => wait.min(timeout),
        (wait, timeout) => wait.or(timeout).unwrap_or(TIMEOUT_DEFAULT),
    };
    let object = object(&head.headers, &shared.dialect.object_cookie)
        .filter(|_| route.affinity)
        .map(|object| XxHash64::oneshot(0, object.as_bytes()) ^ route_hash(&route.name));
    Ok(Admitted {
        id: id.into(),
        id_header: HeaderValue::from_str(id).map_err(|_| {
            Refusal::not_run(Code::BadRequest, "no header can carry the identifier")
        })?,
        route: Arc::clone(route),
        revision: routes.config().revision,
        service,
        account,
        account_header,
        homes,
        object,
        fingerprint: Fingerprint::default(),
        head,
        body: Content::default(),
        arrived,
        deadline: arrived + wait,
    })
}

fn no_route(routes: &Routes, host: &str, path: &str) -> Refusal {
    if routes.config().routes_unreadable {
        return Refusal::not_run(Code::NotReady, "the routes of the configuration cannot be read")
            .retry_after(CONFIGURATION_RETRY_AFTER);
    }
    Refusal::not_run(Code::UnknownRoute, format!("{host}{path}"))
}

/// Returns the account whose key came with a request.
///
/// # Errors
///
/// No valid key came with it, or the entry of the key's account cannot be used.
fn account_of(routes: &Routes, headers: &HeaderMap) -> Result<Arc<AccountTerms>, Refusal> {
    let refused = || Refusal::not_run(Code::KeyRefused, "the request carries no valid key");
    let key = bearer(headers).ok_or_else(refused)?;
    if let Some(account) = routes.account(key) {
        return Ok(Arc::clone(account));
    }
    // The key is valid, so the caller must not take it for a withdrawn one.
    Err(if routes.is_unusable(key) {
        unusable_account("its entry in the configuration cannot be read")
    } else {
        refused()
    })
}

fn unusable_account(reason: &str) -> Refusal {
    Refusal::not_run(Code::AccountUnusable, reason).retry_after(CONFIGURATION_RETRY_AFTER)
}

/// Returns the value of the header that names the account to targets.
///
/// # Errors
///
/// No header can carry the name, so targets would not know whose requests they run.
fn account_header(account: &AccountTerms) -> Result<HeaderValue, Refusal> {
    let value = HeaderValue::from_bytes(account.name.as_str().as_bytes());
    let value = value.ok().filter(|_| account.name.fits_header());
    value.ok_or_else(|| unusable_account("no header can carry its name"))
}

/// Returns the fingerprint of a request whose body has been read.
fn fingerprint(request: &Admitted) -> Fingerprint {
    let head = &request.head;
    let account = request.account.as_ref().map_or("", |account| account.name.as_str());
    let path = head.uri.path_and_query().map_or_else(|| head.uri.path(), |target| target.as_str());
    let parts = [account, host(head), head.method.as_str(), path].map(str::as_bytes);
    Fingerprint::with_content(&parts, request.body.length(), request.body.segments())
}

/// Returns the host name that a request is for.
fn host(head: &Parts) -> &str {
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or_default()
}

/// Returns the regions that may serve a request, empty for all; `None` if route and account share none.
fn homes(route: &[id::Region], account: &[id::Region]) -> Option<Vec<id::Region>> {
    if route.is_empty() || account.is_empty() {
        return Some(if route.is_empty() { account } else { route }.to_vec());
    }
    let common: Vec<id::Region> = route.iter().filter(|r| account.contains(r)).cloned().collect();
    (!common.is_empty()).then_some(common)
}

fn route_hash(name: &str) -> u64 {
    XxHash64::oneshot(1, name.as_bytes())
}

/// Returns the identifier that the caller gave the request, or a random one.
fn identifier(shared: &Shared, headers: &HeaderMap) -> Box<str> {
    let given = headers.get(&shared.dialect.request_id).and_then(|id| id.to_str().ok());
    given.map_or_else(|| format!("{:032x}", rand::random::<u128>()).into(), Into::into)
}

/// Returns the time for which the caller still waits, if it states one.
fn remaining_time(shared: &Shared, headers: &HeaderMap) -> Option<Duration> {
    let millis = headers.get(&shared.dialect.remaining_ms)?.to_str().ok()?;
    millis.trim().parse().ok().map(Duration::from_millis)
}

/// Returns the key of a `Bearer` authorisation.
fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(b"Bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"Bearer ").then(|| key.trim_ascii())
}

/// Returns the object that a cookie names.
fn object<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(';'))
        .find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

/// Reads the body of a request, which must arrive before its deadline.
async fn read(
    shared: &Shared,
    upload: &mut Upload,
    request: &Admitted,
) -> Result<Content, Refusal> {
    let limit = shared.limits().body_bytes;
    let too_large =
        || Refusal::not_run(Code::BodyTooLarge, format!("the body is larger than {limit} bytes"));
    let stated = request.head.headers.get(header::CONTENT_LENGTH);
    let stated: usize = stated.and_then(|v| v.to_str().ok()?.parse().ok()).unwrap_or_default();
    if stated > limit {
        return Err(too_large());
    }
    let mut content = Collector::new(&shared.memory, stated);
    loop {
        let frame = upload.content.frame();
        let frame = time::timeout_at(request.deadline, frame).await.map_err(|_| {
            Refusal::not_run(Code::NoRoom, "the body did not arrive before the request's deadline")
        })?;
        let Some(frame) = frame else { return Ok(content.finish()) };
        let frame = frame.map_err(|error| {
            Refusal::not_run(Code::BadRequest, format!("the body is incomplete: {error}"))
        })?;
        let Ok(chunk) = frame.into_data() else { continue };
        if content.length() + chunk.len() > limit {
            return Err(too_large());
        }
        content.push(&chunk).map_err(|_| memory_used_up())?;
        upload.window.grow(content.length());
    }
}

/// Reads the rest of a refused request's body, and holds none of it.
async fn discard(mut body: Incoming, limit: usize) {
    let reading = async {
        let mut length = 0;
        while let Some(Ok(frame)) = body.frame().await {
            length += frame.data_ref().map_or(0, |chunk| chunk.len());
            if length > limit {
                return;
            }
        }
    };
    // The connection closes if there is more.
    let _ = time::timeout(DISCARD_TIME, reading).await;
}

/// Whether the answer to a request never has a body.
pub(super) fn is_without_body(method: &Method) -> bool {
    *method == Method::HEAD
}
