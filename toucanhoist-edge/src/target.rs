/*!
A pool of connections to targets.

A connection is reused only after a complete answer with explicit framing, and only while the target has
not announced that it closes it. A target that sent bytes which belong to no request gets a new connection
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
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, HeaderName, Request, header, response::Parts},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    tokio::{
        net::TcpStream,
        time::{self, Instant},
    },
    toucanhoist_core::{
        id,
        steering::{Announced, Report},
    },
    toucanhoist_store::socket,
};

use crate::dialect::Dialect;

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
/// Bytes of an answer's body that are buffered before any of it is sent to the caller.
const BUFFER_BYTES: usize = 256 * 1_024;

type Connection = http1::SendRequest<Full<Bytes>>;

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
    since: Instant,
    until: Instant,
}

/// An answer of a target.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// First part of the body, or all of it.
    pub first: Bytes,
    /// Rest of a body that is larger than the buffer.
    pub rest: Option<Incoming>,
    /// Load that the target reports.
    pub report: Option<Report>,
    /// Limit that the target announces.
    pub announced: Announced,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
}

/// A request that got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[error("no connection to the target: {0}")]
    Unreachable(Cause),
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
}

/// A failed exchange with a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// What went wrong.
    pub error: Error,
    /// Whether the connection was kept from an earlier request.
    pub is_kept: bool,
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
    /// Creates an empty pool, whose connections are made from `local` if it is given.
    pub fn new(dialect: Arc<Dialect>, local: Option<IpAddr>) -> Pool {
        Pool { shared: Arc::new(Shared { dialect, local, state: Mutex::default() }) }
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
        build: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<Answer, Failure> {
        let endpoint = (exchange.address, exchange.target.clone());
        loop {
            let connecting = self.connection(&endpoint, exchange.at_most_once);
            let overdue =
                Failure { error: Error::Unreachable(Cause::DeadlinePassed), is_kept: false };
            let (connection, is_kept) =
                time::timeout_at(exchange.deadline, connecting).await.unwrap_or(Err(overdue))?;
            let sending = self.send(&exchange, &endpoint, connection, build());
            let error = match time::timeout_at(exchange.deadline, sending).await {
                Ok(Ok(Some(answer))) => return Ok(answer),
                // The connection closed before any of the request was sent.
                Ok(Ok(None)) => continue,
                Ok(Err(error)) => error,
                Err(_) => Error::Overdue,
            };
            return Err(Failure { error, is_kept });
        }
    }

    /// Sends a request on a connection; `None` if the connection closed before any of it was sent.
    async fn send(
        &self,
        exchange: &Exchange<'_>,
        endpoint: &Endpoint,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Option<Answer>, Error> {
        let answer = match connection.try_send_request(request).await {
            Ok(answer) => answer,
            Err(error) if error.message().is_some() => return Ok(None),
            Err(error) => return Err(Error::Broken(error.into_error().into())),
        };
        let (head, body) = answer.into_parts();
        let dialect = &self.shared.dialect;
        if head.headers.get(&dialect.request_id).is_some_and(|id| id != exchange.request_id) {
            self.record_stray(endpoint);
            return Err(Error::Stray);
        }
        let report = head.headers.get(&dialect.load).and_then(|v| parse_load(v.to_str().ok()?));
        let announced = announced(&head.headers, &dialect.limit);
        let not_run = head.headers.contains_key(&dialect.not_run);
        let until = reusable_until(&head.headers);
        let (first, rest) = read(body).await?;
        if rest.is_none() {
            if let Some(until) = until {
                self.put_back(endpoint.clone(), connection, until);
            }
        }
        Ok(Some(Answer { head, first, rest, report, announced, not_run }))
    }

    /// Whether an address accepts connections.
    pub async fn is_listening(&self, address: SocketAddr) -> bool {
        self.connect(address).await.is_ok()
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        socket::connect_from(self.shared.local, address, CONNECT_MAX).await
    }

    /// Returns a connection, and whether it was kept from an earlier request.
    async fn connection(
        &self,
        endpoint: &Endpoint,
        at_most_once: bool,
    ) -> Result<(Connection, bool), Failure> {
        if let Some(idle) = self.take_idle(endpoint, at_most_once) {
            return Ok((idle, true));
        }
        let stream = self.connect(endpoint.0).await;
        count_connect(stream.as_ref().err());
        let unreachable = |cause| Failure { error: Error::Unreachable(cause), is_kept: false };
        let stream = stream.map_err(|error| unreachable(Cause::from(&error)))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(Cause::from(error)))?;
        let (pool, endpoint) = (self.clone(), endpoint.clone());
        tokio::spawn(async move {
            // Bytes that belong to no request end the connection with one of these errors.
            if connection.await.is_err_and(|error| error.is_parse() || is_unexpected(&error)) {
                pool.record_stray(&endpoint);
            }
        });
        Ok((sender, false))
    }

    fn take_idle(&self, endpoint: &Endpoint, at_most_once: bool) -> Option<Connection> {
        let now = Instant::now();
        let idle_max = if at_most_once { IDLE_MAX_AT_MOST_ONCE } else { IDLE_MAX };
        let mut state = self.shared.state.lock().expect("no holder of the lock panics");
        let idle = state.idle.get_mut(endpoint)?;
        while let Some(found) = idle.pop() {
            let is_usable = now < found.until && found.connection.is_ready();
            if is_usable && now < found.since + idle_max {
                return Some(found.connection);
            }
            if is_usable && now < found.since + IDLE_MAX {
                // The connections below it on the stack have been idle for longer.
                idle.push(found);
                return None;
            }
        }
        None
    }

    fn put_back(&self, endpoint: Endpoint, mut connection: Connection, until: Instant) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            if connection.ready().await.is_err() {
                return;
            }
            let now = Instant::now();
            let mut state = shared.state.lock().expect("no holder of the lock panics");
            if state.stray_until.get(&endpoint).is_some_and(|&until| now < until) {
                return;
            }
            let idle = state.idle.entry(endpoint).or_default();
            if idle.len() < IDLE_CONNECTIONS_MAX {
                idle.push(Idle { connection, since: now, until });
            }
        });
    }

    fn record_stray(&self, endpoint: &Endpoint) {
        metrics::counter!("toucanhoist_stray_answers_total").increment(1);
        let mut state = self.shared.state.lock().expect("no holder of the lock panics");
        state.idle.remove(endpoint);
        state.stray_until.insert(endpoint.clone(), Instant::now() + STRAY_TIME);
    }
}

/// Reads a body, up to [`BUFFER_BYTES`]; the rest of a longer one is returned unread.
async fn read(mut body: Incoming) -> Result<(Bytes, Option<Incoming>), Error> {
    let mut first = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Broken(error.into()))?;
        let Ok(chunk) = frame.into_data() else { continue };
        first.extend_from_slice(&chunk);
        if first.len() >= BUFFER_BYTES {
            return Ok((first.freeze(), Some(body)));
        }
    }
    Ok((first.freeze(), None))
}

/// Counts an attempt to connect to a target.
fn count_connect(error: Option<&io::Error>) {
    let outcome = error.map_or("connected", |error| Cause::from(error).as_str());
    metrics::counter!("toucanhoist_target_connects_total", "outcome" => outcome).increment(1);
}

/// Returns the time until which the connection of an answer may be reused; `None` if it may not be.
fn reusable_until(headers: &HeaderMap) -> Option<Instant> {
    let closes =
        headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok()).any(
            |value| value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")),
        );
    let is_framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if closes || !is_framed {
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
