/*!
Connections to targets, and the run of one request on one of them.

A connection is used again only after a whole, framed answer, and only while the target has not hinted that
it closes it. A target that sent bytes which belong to no request gets a fresh connection for each request
for a while. The answer's request identifier is compared with the request's, so that a late or surplus
answer is never taken for this one.
*/

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use {
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Request, header, response::Parts},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    tokio::time::Instant,
    toucanhoist_core::{id, steering::Report},
    toucanhoist_store::socket,
};

use crate::dialect::Dialect;

/// Time in which a connection must be made; longer than a round trip between regions.
const CONNECT_MAX: Duration = Duration::from_millis(450);
/// Idle time after which a connection is not used again, where the target announces none; targets
/// close theirs after ten seconds.
const IDLE_MAX: Duration = Duration::from_millis(8_500);
/// The same for requests that must not run twice: a close on its way would leave their end open.
const IDLE_MAX_ONCE: Duration = Duration::from_secs(5);
/// Part of the idle time that a target announces after which its connection is not used again.
const ANNOUNCED_PART: f64 = 0.85;
/// Idle connections that are kept to one target.
const IDLE_CONNECTIONS: usize = 16;
/// Time for which a target that sent stray bytes gets fresh connections.
const STRAY_TIME: Duration = Duration::from_secs(8);
/// Bytes of an answer that are read before any of it goes to the caller.
const WHOLE_BYTES: usize = 256 * 1_024;

type Connection = http1::SendRequest<Full<Bytes>>;

/// An address with the target that is expected there.
type Place = (SocketAddr, id::Target);

/// Connections to targets.
#[derive(Clone, Debug)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    dialect: Arc<Dialect>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    idle: HashMap<Place, Vec<Idle>>,
    stray_until: HashMap<Place, Instant>,
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
    /// Start of the body, or all of it.
    pub first: Bytes,
    /// The rest, if the body is long.
    pub rest: Option<Incoming>,
    /// Load that the target reports.
    pub report: Option<Report>,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
}

/// A request that got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[error("no connection to the target")]
    Unreachable,
    /// The connection ended, or brought something else than the answer; the request may have run.
    #[error("the connection brought no whole answer")]
    Broken,
    /// The answer belongs to another request; the request may have run.
    #[error("the connection brought the answer to another request")]
    Stray,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(dialect: Arc<Dialect>) -> Pool {
        Pool { shared: Arc::new(Shared { dialect, state: Mutex::default() }) }
    }

    /// Runs a request on a target. `once` says that it must not run twice; `build` makes it for each
    /// connection that is tried before any of it is sent.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] says that nothing was sent, the others that it may have run.
    pub async fn run(
        &self,
        address: SocketAddr,
        target: &id::Target,
        once: bool,
        request_id: &str,
        build: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<Answer, Error> {
        let place = (address, target.clone());
        let mut connection = self.connection(&place, once).await?;
        let head = loop {
            match connection.try_send_request(build()).await {
                Ok(answer) => break answer,
                // The connection had ended before any of the request was sent.
                Err(error) if error.message().is_some() => {
                    connection = self.connection(&place, once).await?;
                }
                Err(_) => return Err(Error::Broken),
            }
        };
        let (head, body) = head.into_parts();
        let dialect = &self.shared.dialect;
        if head.headers.get(&dialect.request_id).is_some_and(|id| id != request_id) {
            self.note_stray(&place);
            return Err(Error::Stray);
        }
        let report = head.headers.get(&dialect.load).and_then(|v| parse_load(v.to_str().ok()?));
        let not_run = head.headers.contains_key(&dialect.not_run);
        let until = reusable_until(&head.headers);
        let (first, rest) = read(body).await?;
        if rest.is_none() {
            if let Some(until) = until {
                self.put_back(place, connection, until);
            }
        }
        Ok(Answer { head, first, rest, report, not_run })
    }

    /// Whether something listens at an address.
    pub async fn is_listening(&self, address: SocketAddr) -> bool {
        socket::connect(address, CONNECT_MAX).await.is_ok()
    }

    async fn connection(&self, place: &Place, once: bool) -> Result<Connection, Error> {
        if let Some(idle) = self.take_idle(place, once) {
            return Ok(idle);
        }
        let stream = socket::connect(place.0, CONNECT_MAX).await.map_err(|_| Error::Unreachable)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| Error::Unreachable)?;
        let (pool, place) = (self.clone(), place.clone());
        tokio::spawn(async move {
            // An unexpected message is bytes that belong to no request.
            if connection.await.is_err_and(|error| error.is_parse() || is_unexpected(&error)) {
                pool.note_stray(&place);
            }
        });
        Ok(sender)
    }

    fn take_idle(&self, place: &Place, once: bool) -> Option<Connection> {
        let now = Instant::now();
        let idle_max = if once { IDLE_MAX_ONCE } else { IDLE_MAX };
        let mut state = self.shared.state.lock().expect("no holder of the lock panics");
        let idle = state.idle.get_mut(place)?;
        while let Some(found) = idle.pop() {
            let usable = now < found.until && found.connection.is_ready();
            if usable && now < found.since + idle_max {
                return Some(found.connection);
            }
            if usable && now < found.since + IDLE_MAX {
                // Those below have been idle for longer still.
                idle.push(found);
                return None;
            }
        }
        None
    }

    fn put_back(&self, place: Place, mut connection: Connection, until: Instant) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            if connection.ready().await.is_err() {
                return;
            }
            let now = Instant::now();
            let mut state = shared.state.lock().expect("no holder of the lock panics");
            if state.stray_until.get(&place).is_some_and(|&until| now < until) {
                return;
            }
            let idle = state.idle.entry(place).or_default();
            if idle.len() < IDLE_CONNECTIONS {
                idle.push(Idle { connection, since: now, until });
            }
        });
    }

    fn note_stray(&self, place: &Place) {
        metrics::counter!("toucanhoist_stray_answers_total").increment(1);
        let mut state = self.shared.state.lock().expect("no holder of the lock panics");
        state.idle.remove(place);
        state.stray_until.insert(place.clone(), Instant::now() + STRAY_TIME);
    }
}

/// Reads a body, up to [`WHOLE_BYTES`]; what is longer comes back to be read on.
async fn read(mut body: Incoming) -> Result<(Bytes, Option<Incoming>), Error> {
    let mut first = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(|_| Error::Broken)?.into_data() else { continue };
        first.extend_from_slice(&chunk);
        if first.len() >= WHOLE_BYTES {
            return Ok((first.freeze(), Some(body)));
        }
    }
    Ok((first.freeze(), None))
}

/// Returns the time until which the connection of an answer may be used again.
fn reusable_until(headers: &HeaderMap) -> Option<Instant> {
    let closes =
        headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok()).any(
            |value| value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")),
        );
    let framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if closes || !framed {
        return None;
    }
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok()?.split(',').find_map(timeout))
        .map(|limit| limit.mul_f64(ANNOUNCED_PART));
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

/// Whether a connection ended because of bytes that no request had asked for.
fn is_unexpected(error: &hyper::Error) -> bool {
    !error.is_canceled() && !error.is_closed() && !error.is_incomplete_message() && {
        error.to_string().contains("unexpected")
    }
}
