//! Connections to targets, made directly or through tunnels of other hosts.
//!
//! Attempts follow one another: the next one begins when those before have failed, or have taken longer
//! than the plan gives them. The first one that succeeds is used. A direct attempt goes on when another path
//! was faster, so that the host learns whether its own path works.

use std::{io, net::SocketAddr, time::Duration};

use {
    hyper::{
        client::conn::http1,
        rt::{Read, Write},
    },
    hyper_util::rt::TokioIo,
    tokio::{
        net::TcpStream,
        sync::mpsc,
        task::AbortHandle,
        time::{self, Instant},
    },
    toucanhoist_core::{
        id,
        steering::{Failure, Path},
    },
    toucanhoist_store::socket,
};

use super::{CONNECT_MAX, Cause, Connection, Endpoint, IDLE_MAX, Pool, Refused, is_unexpected};
use crate::{
    peers::tunnel,
    steer::{Input, Step},
};

/// Bytes of the buffers of a connection, and of the longest head of an answer.
const BUFFER_BYTES_MAX: usize = 24 * 1_024;

/// A new connection to a target.
#[derive(Debug)]
pub(super) struct Connected {
    pub connection: Connection,
    /// The host that carries it, with its region; `None` for a direct connection.
    pub via: Option<Via>,
    /// Requests that were refused on it.
    pub refused: Refused,
}

impl Connected {
    fn new(connection: Connection, via: Option<Via>) -> Connected {
        Connected { connection, via, refused: Refused::new() }
    }
}

/// A host that carries a tunnel.
#[derive(Clone, Debug)]
pub(super) struct Via {
    pub host: id::EntryHost,
    pub region: Option<id::Region>,
    /// When the tunnel was opened.
    pub opened: Instant,
}

/// Attempts that are aborted when the connection is no longer needed.
#[derive(Default)]
struct Running(Vec<AbortHandle>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

impl Pool {
    /// Connects to a target by the first path of a plan that works.
    pub(super) async fn connect_by(
        &self,
        endpoint: &Endpoint,
        plan: Vec<Step>,
    ) -> Result<Connected, Failed> {
        let (results, mut ended) = mpsc::unbounded_channel();
        let mut running = Running::default();
        let mut pending = 0_usize;
        let mut failed = Failed::default();
        let mut steps = plan.into_iter().peekable();
        loop {
            let delay = steps.peek().map(|step| step.delay);
            let is_due = tokio::select! {
                biased;
                Some(result) = ended.recv(), if pending > 0 => {
                    pending -= 1;
                    match result {
                        Ok(connected) => return Ok(connected),
                        Err((path, failure)) => failed.add(path, failure),
                    }
                    pending == 0
                }
                () = time::sleep(delay.unwrap_or_default()), if delay.is_some() => true,
                else => return Err(failed),
            };
            let Some(step) = steps.next_if(|_| is_due) else { continue };
            pending += 1;
            let is_direct = step.path == Path::Direct;
            let attempt = self.clone().attempt(endpoint.clone(), step, results.clone());
            let task = tokio::spawn(attempt);
            if !is_direct {
                running.0.push(task.abort_handle());
            }
        }
    }

    /// Makes one attempt, and records how it ended.
    async fn attempt(
        self,
        endpoint: Endpoint,
        step: Step,
        results: mpsc::UnboundedSender<Result<Connected, (Path, Failure)>>,
    ) {
        let result = self.connect_once(&endpoint, &step).await;
        count(&step.path, result.as_ref().err().copied());
        let outcome = result.as_ref().map(|_| ()).map_err(|failure| *failure);
        self.shared.steer.send(Input::Connected(endpoint.1.clone(), step.path.clone(), outcome));
        let result = result.map_err(|failure| (step.path, failure));
        if let Err(mpsc::error::SendError(Ok(Connected { connection, via: None, .. }))) =
            results.send(result)
        {
            // Another path was faster; the connection serves a later request.
            let connected = Connected::new(connection, None);
            self.put_back(endpoint, connected, Instant::now() + IDLE_MAX);
        }
    }

    async fn connect_once(&self, endpoint: &Endpoint, step: &Step) -> Result<Connected, Failure> {
        match (&step.path, &step.helper) {
            (Path::Direct, _) => {
                let stream = self.connect(endpoint.0, CONNECT_MAX).await?;
                let connection = self.handshake(endpoint, TokioIo::new(stream)).await;
                Ok(Connected::new(connection.ok_or(Failure::Refused)?, None))
            }
            (Path::Tunnel(host), Some(helper)) => {
                let opening = tunnel::open(helper.address, endpoint.0, &endpoint.1);
                let stream =
                    time::timeout(CONNECT_MAX, opening).await.unwrap_or(Err(Failure::NoHelper))?;
                let connection = self.handshake(endpoint, stream).await.ok_or(Failure::NoHelper)?;
                let (host, region) = (host.clone(), helper.region.clone());
                let via = Via { host, region, opened: Instant::now() };
                Ok(Connected::new(connection, Some(via)))
            }
            (Path::Tunnel(_), None) => Err(Failure::NoHelper),
        }
    }

    /// Connects directly to a target.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<TcpStream, Failure> {
        let connecting = socket::connect_from(self.shared.local, address, timeout);
        connecting.await.map_err(|error| failure(&error))
    }

    async fn handshake<T>(&self, endpoint: &Endpoint, stream: T) -> Option<Connection>
    where
        T: Read + Write + Unpin + Send + 'static,
    {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES_MAX);
        let (sender, connection) = builder.handshake(stream).await.ok()?;
        let (pool, endpoint) = (self.clone(), endpoint.clone());
        tokio::spawn(async move {
            // Bytes that belong to no request end the connection with one of these errors.
            if connection.await.is_err_and(|error| error.is_parse() || is_unexpected(&error)) {
                pool.record_stray(&endpoint);
            }
        });
        Some(sender)
    }

    /// Whether a target accepts connections; `None` if no host that could be asked has a path to it.
    pub async fn is_listening(&self, address: SocketAddr, target: &id::Target) -> Option<bool> {
        let plan = self.shared.steer.plan(target, &[]).await;
        let has_helpers = plan.iter().any(|step| step.path != Path::Direct);
        match self.connect_by(&(address, target.clone()), plan).await {
            Ok(_) => Some(true),
            Err(failed) if failed.at_tunnel_end || !has_helpers => Some(false),
            Err(_) => None,
        }
    }
}

/// Attempts that have all failed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Failed {
    /// Why the direct attempt failed.
    direct: Option<Failure>,
    /// Whether another host tried too, and could not connect either.
    at_tunnel_end: bool,
}

impl Failed {
    fn add(&mut self, path: Path, failure: Failure) {
        match path {
            Path::Direct => self.direct = Some(failure),
            Path::Tunnel(_) => {
                self.at_tunnel_end |= matches!(failure, Failure::Refused | Failure::TimedOut);
            }
        }
    }

    /// Returns the cause, as this host saw it.
    pub(super) fn cause(self) -> Cause {
        match self.direct {
            Some(Failure::Refused) => Cause::Refused,
            Some(_) => Cause::TimedOut,
            None => Cause::NoPath,
        }
    }
}

/// Returns the failure that an error of a direct attempt stands for.
fn failure(error: &io::Error) -> Failure {
    match Cause::from(error) {
        Cause::TimedOut => Failure::TimedOut,
        _ => Failure::Refused,
    }
}

/// Counts an attempt to connect to a target.
fn count(path: &Path, failure: Option<Failure>) {
    let path = if *path == Path::Direct { "direct" } else { "tunnel" };
    let outcome = failure.map_or("connected", Failure::as_str);
    metrics::counter!("toucanhoist_target_connects_total", "path" => path, "outcome" => outcome)
        .increment(1);
}
