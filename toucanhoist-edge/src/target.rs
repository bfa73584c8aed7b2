/*!
A pool of connections to targets.

Connections are made directly or through tunnels of other hosts ([`connect`]). A connection is reused only
after a complete answer with explicit framing, and only while the target has not announced that it closes it. A
target that sent bytes which belong to no request gets a new connection
for each request during `STRAY_TIME`. The answer's request identifier is compared with the request's, so
that a late or surplus answer is never returned for another request.
*/

use std::{
    collections::HashMap,
    error::Error as _,
    fmt,
    io::{self, ErrorKind},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use {
    http::{HeaderMap, HeaderName, Method, Request, StatusCode, header, response::Parts},
    http_body_util::BodyExt,
    hyper::{body::Incoming, client::conn::http1},
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{self, Instant},
    },
    toucanhoist_core::{
        id,
        memory::Budget,
        steering::{Announced, Gate, HOLD_MAX, Report},
    },
    twox_hash::XxHash64,
};

use self::connect::{Connected, Via};
use crate::{
    clock::Clock,
    dialect::Dialect,
    held::{Collector, Content},
    status,
    steer::{self, Input, Step},
};

mod connect;

/// Time-out for opening a connection; longer than a round trip between regions.
const CONNECT_MAX: Duration = Duration::from_millis(450);
/// Idle time after which a connection is not reused, unless the target announces a limit; targets close
/// idle connections after ten seconds.
const IDLE_MAX: Duration = Duration::from_millis(8_500);
/// The same for requests that must not run twice: if the target closes the connection at the same time, it
/// stays unknown whether the request ran.
const IDLE_MAX_AT_MOST_ONCE: Duration = Duration::from_secs(5);
/// Fraction of the idle time that a target announces after which its connection is not reused.
const ANNOUNCED_FRACTION: f64 = 0.85;
/// Idle connections that are kept for one target.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Time for which connections to a target that sent stray bytes are not reused.
const STRAY_TIME: Duration = Duration::from_secs(8);
/// Time after which a tunnel is not reused, so that requests return to the direct path when it works, and
/// leave a host that shuts down.
const TUNNEL_MAX: Duration = Duration::from_secs(2);
/// Refused requests after which a connection is not reused.
const REFUSED_MAX: usize = 16;
/// Bytes of an answer's body that are buffered before any of it is sent to the caller.
const BUFFER_BYTES: usize = 256 * 1_024;

type Connection = http1::SendRequest<Content>;

/// An address and the target that is expected there.
type Endpoint = (SocketAddr, id::Target);

/// A pool of connections to targets.
#[derive(Clone, Debug)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    dialect: Arc<Dialect>,
    /// Local address of the connections; `None` leaves the choice to the system.
    local: Option<IpAddr>,
    steer: steer::Handle,
    /// Memory for what targets send.
    memory: Arc<Budget>,
    /// Permits of exchanges, each of which needs a connection; as many connections may be idle as are left.
    exchanges: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    idle: HashMap<Endpoint, Vec<Idle>>,
    stray_until: HashMap<Endpoint, Instant>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// The host that carries it; `None` for a direct connection.
    via: Option<Via>,
    since: Instant,
    until: Instant,
    refused: Refused,
}

/// Hashes of the identifiers of requests that were refused on a connection. A target may send a refusal once more,
/// and a caller may send its identifier once more.
type Refused = Vec<u64>;

impl State {
    /// Drops the connection that has been idle longest, if more than `max` are.
    fn drop_surplus(&mut self, max: usize) {
        if self.idle.values().map(Vec::len).sum::<usize>() <= max {
            return;
        }
        // The first connection of each target has been idle longest there.
        let oldest = self.idle.values_mut().filter(|idle| !idle.is_empty());
        if let Some(idle) = oldest.min_by_key(|idle| idle[0].since) {
            idle.remove(0);
        }
    }
}

impl Idle {
    /// Whether it may carry an exchange now.
    fn is_usable(&self, now: Instant, exchange: &Exchange<'_>) -> bool {
        let is_allowed = match &self.via {
            None => self.since >= exchange.fresh_after,
            Some(via) => is_home(exchange.homes, via.region.as_ref()),
        };
        let idle_max = if exchange.at_most_once { IDLE_MAX_AT_MOST_ONCE } else { IDLE_MAX };
        is_allowed
            && now < self.since + idle_max
            && self.is_open(now)
            && !self.refused.contains(&hash(exchange.request_id))
    }

    fn is_open(&self, now: Instant) -> bool {
        now < self.until && now < self.since + IDLE_MAX && self.connection.is_ready()
    }
}

fn hash(request_id: &str) -> u64 {
    XxHash64::oneshot(0, request_id.as_bytes())
}

/// Whether a region may handle a request; an empty list allows all.
fn is_home(homes: &[id::Region], region: Option<&id::Region>) -> bool {
    homes.is_empty() || region.is_some_and(|region| homes.contains(region))
}

/// An answer of a target.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// First part of the body, or all of it.
    pub first: Content,
    /// Rest of a body that is larger than the buffer.
    pub rest: Option<Incoming>,
    /// Load that the target reports.
    pub report: Option<Report>,
    /// Limit that the target announces.
    pub announced: Announced,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the target states that it is leaving.
    pub is_leaving: bool,
    /// Time for which the request waited for a connection.
    pub connecting: Duration,
    /// The host through whose tunnel it came.
    pub via: Option<id::EntryHost>,
    /// Permit of the exchange, which ends with the body.
    pub permit: Option<OwnedSemaphorePermit>,
}

/// A request that got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[error("no connection to the target: {0}")]
    Unreachable(Cause),
    /// All connections to targets that the host may have are in use; nothing was sent.
    #[error("all connections to targets are in use")]
    Full,
    /// The target left, or wants no requests for now, before the request could be sent; nothing was sent.
    #[error("the target takes no requests")]
    Withdrawn,
    /// The connection ended early or carried something other than an answer; the request may have run.
    #[error("no complete answer arrived on the connection: {0}")]
    Broken(Cause),
    /// The answer belongs to another request; the request may have run.
    #[error("the answer belongs to another request")]
    Stray,
    /// The deadline passed before the answer was complete; the request may have run.
    #[error("no answer before the deadline")]
    Overdue,
}

/// A request that is sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct Exchange<'a> {
    /// Address of the target.
    pub address: SocketAddr,
    /// The target that is expected there.
    pub target: &'a id::Target,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// Identifier of the request, which its answer must carry.
    pub request_id: &'a str,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Regions that may handle it; empty for all.
    pub homes: &'a [id::Region],
    /// Start time of the target.
    pub born: u64,
    /// Whether requests may be sent to the target.
    pub gate: &'a Gate,
    /// Clock of the gate.
    pub clock: Clock,
    /// Time since which a kept direct connection must have been in use to be used again.
    pub fresh_after: Instant,
}

/// A failed exchange with a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// What went wrong.
    pub error: Error,
    /// Whether the connection was kept from an earlier request.
    pub is_kept: bool,
    /// Time for which the request waited for a connection.
    pub connecting: Duration,
    /// The host through whose tunnel the request was sent.
    pub via: Option<id::EntryHost>,
}

/// Why a connection could not be made, or ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The target's machine refused the connection.
    Refused,
    /// The connection was reset.
    Reset,
    /// Nothing came from the target's machine in time.
    TimedOut,
    /// The target closed the connection in the middle of an exchange.
    Closed,
    /// The request's deadline passed first.
    DeadlinePassed,
    /// No host that could be asked has a path to the target.
    NoPath,
    /// Anything else, such as bytes that are no answer.
    Other,
}

impl Cause {
    /// Returns the cause's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Refused => "refused",
            Cause::Reset => "reset",
            Cause::TimedOut => "timed-out",
            Cause::Closed => "closed",
            Cause::DeadlinePassed => "deadline-passed",
            Cause::NoPath => "no-path",
            Cause::Other => "other",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl From<&io::Error> for Cause {
    fn from(error: &io::Error) -> Cause {
        match error.kind() {
            ErrorKind::ConnectionRefused => Cause::Refused,
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Cause::Reset,
            ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
                Cause::TimedOut
            }
            ErrorKind::UnexpectedEof => Cause::Closed,
            _ => Cause::Other,
        }
    }
}

impl From<hyper::Error> for Cause {
    fn from(error: hyper::Error) -> Cause {
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        match source {
            Some(source) => source.into(),
            None if error.is_incomplete_message() || error.is_closed() => Cause::Closed,
            None => Cause::Other,
        }
    }
}

impl Pool {
    /// Creates an empty pool, whose direct connections are made from `local` if it is given. `steer` decides
    /// by which paths. At most `connections_max` are in use or idle.
    pub fn new(
        dialect: Arc<Dialect>,
        local: Option<IpAddr>,
        steer: steer::Handle,
        memory: Arc<Budget>,
        connections_max: usize,
    ) -> Pool {
        let state = Mutex::default();
        let exchanges = Arc::new(Semaphore::new(connections_max));
        let shared = Shared { dialect, local, steer, memory, exchanges, state };
        Pool { shared: Arc::new(shared) }
    }

    /// Returns how many connections may be idle beside the exchanges.
    fn idle_max(&self) -> usize {
        self.shared.exchanges.available_permits()
    }

    /// Runs a request on a target. `build` is called for each connection that is tried, as a kept one may
    /// close before any of the request is sent.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if nothing was sent; after any other error the request may have run.
    pub async fn run(
        &self,
        exchange: Exchange<'_>,
        build: impl Fn() -> Request<Content>,
    ) -> Result<Answer, Failure> {
        let endpoint = (exchange.address, exchange.target.clone());
        let begun = Instant::now();
        let unsent =
            |error| Failure { error, is_kept: false, connecting: begun.elapsed(), via: None };
        let permit = Arc::clone(&self.shared.exchanges).try_acquire_owned();
        let mut permit = Some(permit.map_err(|_| unsent(Error::Full))?);
        loop {
            let connecting = self.connection(&endpoint, &exchange);
            let (connection, is_kept) = match time::timeout_at(exchange.deadline, connecting).await
            {
                Ok(Ok(connection)) => connection,
                Ok(Err(cause)) => return Err(unsent(Error::Unreachable(cause))),
                Err(_) => return Err(unsent(Error::Unreachable(Cause::DeadlinePassed))),
            };
            if !exchange.gate.is_open(exchange.clock.now()) {
                return Err(unsent(Error::Withdrawn));
            }
            let connecting = begun.elapsed();
            let via = connection.via.as_ref().map(|via| via.host.clone());
            let sending = self.send(&exchange, &endpoint, connection, build());
            let error = match time::timeout_at(exchange.deadline, sending).await {
                Ok(Ok(Some(answer))) => {
                    let permit = permit.take().filter(|_| answer.rest.is_some());
                    return Ok(Answer { connecting, permit, ..answer });
                }
                // The connection closed before any of the request was sent.
                Ok(Ok(None)) => continue,
                Ok(Err(error)) => error,
                Err(_) => Error::Overdue,
            };
            return Err(Failure { error, is_kept, connecting, via });
        }
    }

    /// Sends a request on a connection; `None` if the connection closed before any of it was sent.
    async fn send(
        &self,
        exchange: &Exchange<'_>,
        endpoint: &Endpoint,
        connected: Connected,
        request: Request<Content>,
    ) -> Result<Option<Answer>, Error> {
        let Connected { mut connection, via, mut refused } = connected;
        let has_no_body = request.method() == Method::HEAD;
        let answer = match connection.try_send_request(request).await {
            Ok(answer) => answer,
            Err(error) if error.message().is_some() => return Ok(None),
            Err(error) => return Err(Error::Broken(error.into_error().into())),
        };
        let (head, body) = answer.into_parts();
        // Nothing in such an answer counts, so it comes before what the target states.
        if !status::is_final(head.status) {
            return Err(Error::Broken(Cause::Other));
        }
        let dialect = &self.shared.dialect;
        let is_leaving = self.record_statements(exchange, &head, via.as_ref());
        if head.headers.get(&dialect.request_id).is_some_and(|id| id != exchange.request_id) {
            self.record_stray(endpoint);
            return Err(Error::Stray);
        }
        let report = head.headers.get(&dialect.load).and_then(|v| parse_load(v.to_str().ok()?));
        let announced = announced(&head.headers, &dialect.limit);
        // A statement without the identifier may belong to an earlier request.
        let not_run = head.headers.contains_key(&dialect.not_run)
            && head.headers.contains_key(&dialect.request_id);
        if via.is_some() && !has_no_body && ends_with_connection(&head) {
            return Err(Error::Broken(Cause::Closed));
        }
        let until = reusable_until(&head.headers);
        let (first, rest) = read(body, &self.shared.memory).await?;
        let host = via.as_ref().map(|via| via.host.clone());
        if rest.is_none() {
            if not_run {
                refused.push(hash(exchange.request_id));
            }
            if let Some(until) = until.filter(|_| refused.len() <= REFUSED_MAX) {
                self.put_back(endpoint.clone(), Connected { connection, via, refused }, until);
            }
        }
        Ok(Some(Answer {
            head,
            first,
            rest,
            report,
            announced,
            not_run,
            is_leaving,
            connecting: Duration::ZERO,
            via: host,
            permit: None,
        }))
    }

    /// Records what an answer says about further requests; returns whether the target leaves. It counts from now on,
    /// whatever becomes of the answer.
    fn record_statements(&self, exchange: &Exchange<'_>, head: &Parts, via: Option<&Via>) -> bool {
        // Another target has the address now, and speaks of itself.
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return false;
        }
        let (target, born) = (exchange.target.clone(), exchange.born);
        let leaving = head.headers.get(&self.shared.dialect.leaving);
        let is_leaving = leaving.is_some_and(|value| value == "1");
        if is_leaving {
            exchange.gate.close();
            self.shared.steer.send(Input::Leaving(target.clone(), born));
        }
        let after = retry_after(&head.headers);
        if let Some(time) = after.filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE) {
            exchange.gate.close_until(exchange.clock.now() + time);
            let via = via.map(|via| via.host.clone());
            self.shared.steer.send(Input::Hold(target, born, time, via));
        }
        is_leaving
    }

    /// Tries the paths of a plan, and keeps the connection.
    pub async fn probe(self, address: SocketAddr, target: id::Target, plan: Vec<Step>) {
        let endpoint = (address, target);
        if let Ok(connected) = self.connect_by(&endpoint, plan).await {
            self.put_back(endpoint, connected, Instant::now() + IDLE_MAX);
        }
    }

    /// Returns a connection, and whether it was kept from an earlier request.
    async fn connection(
        &self,
        endpoint: &Endpoint,
        exchange: &Exchange<'_>,
    ) -> Result<(Connected, bool), Cause> {
        if let Some(idle) = self.take_idle(endpoint, exchange) {
            return Ok((idle, true));
        }
        let plan = self.shared.steer.plan(&endpoint.1, exchange.homes).await;
        let connected = self.connect_by(endpoint, plan).await;
        connected.map(|connected| (connected, false)).map_err(|failed| failed.cause())
    }

    fn take_idle(&self, endpoint: &Endpoint, exchange: &Exchange<'_>) -> Option<Connected> {
        let now = Instant::now();
        let mut state = self.shared.state.lock().expect("no holder of the lock panics");
        state.drop_surplus(self.idle_max());
        let idle = state.idle.get_mut(endpoint)?;
        idle.retain(|found| found.is_open(now));
        // The last one has been idle for the shortest time.
        let index = idle.iter().rposition(|found| found.is_usable(now, exchange))?;
        let Idle { connection, via, refused, .. } = idle.remove(index);
        Some(Connected { connection, via, refused })
    }

    fn put_back(&self, endpoint: Endpoint, connected: Connected, until: Instant) {
        let pool = self.clone();
        tokio::spawn(async move {
            let Connected { mut connection, via, refused } = connected;
            if connection.ready().await.is_err() {
                return;
            }
            let since = Instant::now();
            let expires = via.as_ref().map(|via| via.opened + TUNNEL_MAX);
            let until = expires.map_or(until, |expires| until.min(expires));
            let is_kept = pool.keep(&endpoint, Idle { connection, via, since, until, refused });
            if is_kept && expires.is_some() {
                // The host at its end holds descriptors for it.
                time::sleep_until(until).await;
                pool.drop_closed(&endpoint);
            }
        });
    }

    /// Keeps a connection for later requests; returns whether there was room for it.
    fn keep(&self, endpoint: &Endpoint, connection: Idle) -> bool {
        let mut state = self.shared.state.lock().expect("no holder of the lock panics");
        let is_stray =
            state.stray_until.get(endpoint).is_some_and(|&until| connection.since < until);
        let idle = state.idle.entry(endpoint.clone()).or_default();
        let is_kept = !is_stray && idle.len() < IDLE_CONNECTIONS_MAX;
        if is_kept {
            idle.push(connection);
            state.drop_surplus(self.idle_max());
        }
        is_kept
    }

    fn drop_closed(&self, endpoint: &Endpoint) {
        let now = Instant::now();
        let mut state = self.shared.state.lock().expect("no holder of the lock panics");
        if let Some(idle) = state.idle.get_mut(endpoint) {
            idle.retain(|found| found.is_open(now));
        }
    }

    fn record_stray(&self, endpoint: &Endpoint) {
        metrics::counter!("toucanhoist_stray_answers_total").increment(1);
        let mut state = self.shared.state.lock().expect("no holder of the lock panics");
        state.idle.remove(endpoint);
        state.stray_until.insert(endpoint.clone(), Instant::now() + STRAY_TIME);
    }
}

/// Reads a body, up to [`BUFFER_BYTES`] and as far as the budget reaches; the rest of a longer one is returned
/// unread.
async fn read(
    mut body: Incoming,
    memory: &Arc<Budget>,
) -> Result<(Content, Option<Incoming>), Error> {
    let mut first = Collector::new(memory, 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Broken(error.into()))?;
        let Ok(mut chunk) = frame.into_data() else { continue };
        if let Err(exhausted) = first.push(&chunk) {
            first.push_uncounted(chunk.split_off(exhausted.taken));
            return Ok((first.finish(), Some(body)));
        }
        if first.length() >= BUFFER_BYTES {
            return Ok((first.finish(), Some(body)));
        }
    }
    Ok((first.finish(), None))
}

/// Whether an answer's body ends with the connection. Through a tunnel its end may as well be that of the
/// host in between.
fn ends_with_connection(head: &Parts) -> bool {
    let has_body = !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_body && !is_framed(&head.headers)
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the time until which the connection of an answer may be reused; `None` if it may not be.
fn reusable_until(headers: &HeaderMap) -> Option<Instant> {
    let closes =
        headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok()).any(
            |value| value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")),
        );
    if closes || !is_framed(headers) {
        return None;
    }
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok()?.split(',').find_map(timeout))
        .map(|limit| limit.mul_f64(ANNOUNCED_FRACTION));
    Some(Instant::now() + announced.unwrap_or(IDLE_MAX))
}

fn timeout(parameter: &str) -> Option<Duration> {
    let seconds = parameter.trim().strip_prefix("timeout=")?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Returns the longest time in seconds that `Retry-After` names, bounded by [`HOLD_MAX`]; dates and values that are
/// not positive count for nothing.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let seconds = values.filter_map(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let seconds = seconds.filter(|seconds| *seconds > 0.0).reduce(f64::max)?;
    Some(Duration::from_secs_f64(seconds.min(HOLD_MAX.as_secs_f64())))
}

fn parse_load(text: &str) -> Option<Report> {
    let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>());
    let mut next = || numbers.next()?.ok();
    Some(Report { running: next()?, waiting: next()?, slots: next()? })
}

/// Returns the limit that an answer announces.
fn announced(headers: &HeaderMap, name: &HeaderName) -> Announced {
    // A value that is not text cannot be a rate either.
    Announced::parse(headers.get(name).map(|value| value.to_str().unwrap_or_default()))
}

/// Whether a connection ended because of bytes that belong to no request.
fn is_unexpected(error: &hyper::Error) -> bool {
    !error.is_canceled() && !error.is_closed() && !error.is_incomplete_message() && {
        error.to_string().contains("unexpected")
    }
}
