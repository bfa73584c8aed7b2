/*!
Tunnels: connections to targets that one host carries for another.

A host that has lost its path to a target asks another one with `CONNECT` and the target's address, and names
the target. The other one connects from its own place and then copies bytes; it neither reads nor counts what
passes. It refuses if it has no path itself, so that a tunnel has one hop. A refusal says why, in the header
`toucanhoist-tunnel`.
*/

use std::{net::SocketAddr, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Method, Request, StatusCode},
    http_body_util::Empty,
    hyper::{body::Incoming, client::conn::http1, upgrade, upgrade::Upgraded},
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    tokio::{
        io::{self, AsyncWriteExt},
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        time,
    },
    toucanhoist_core::{
        id,
        steering::{Failure, Path},
    },
    toucanhoist_store::socket,
};

use crate::{
    gateway::Phase,
    server,
    steer::{self, Input},
    target::Pool,
};

/// Time-out for connecting to a host, or from there to the target; two of them fit into the time that an
/// attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(210);
/// Time for which the rest of a request is read after its answer has ended, as closing a connection with
/// unread bytes resets it and may discard the answer.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// Receive buffer of the connection to the other host, whose requests may have bodies.
const RECEIVE_BYTES: usize = 16 * 1_024;
/// Header of a request with the target that is expected at the address.
const TARGET: HeaderName = HeaderName::from_static("toucanhoist-target");
/// Header of a refusal with its reason.
const FAILURE: HeaderName = HeaderName::from_static("toucanhoist-tunnel");

/// Opens a tunnel through another host to a target.
///
/// # Errors
///
/// The other host does not answer, or has no path to the target.
pub async fn open(
    host: SocketAddr,
    address: SocketAddr,
    target: &id::Target,
) -> Result<Upgraded, Failure> {
    let unavailable = |_| Failure::NoHelper;
    let stream = socket::connect(host, CONNECT_TIMEOUT).await.map_err(|_| Failure::NoHelper)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(unavailable)?;
    tokio::spawn(async move {
        // An error of the connection also fails its request.
        let _ = connection.with_upgrades().await;
    });
    let request = Request::connect(address.to_string())
        .header(TARGET, target.as_str())
        .body(Empty::<Bytes>::new())
        .map_err(|_| Failure::NoHelper)?;
    let answer = sender.send_request(request).await.map_err(unavailable)?;
    if !answer.status().is_success() {
        let stated = answer.headers().get(FAILURE).and_then(|text| text.to_str().ok());
        let failure = Failure::ALL.into_iter().find(|failure| Some(failure.as_str()) == stated);
        return Err(failure.unwrap_or(Failure::NoHelper));
    }
    upgrade::on(answer).await.map_err(unavailable)
}

/// The tunnels that a host carries for others.
#[derive(Clone, Debug)]
pub struct Tunnels {
    pool: Pool,
    steer: steer::Handle,
    phase: watch::Receiver<Phase>,
    permits: Arc<Semaphore>,
    max: usize,
}

impl Tunnels {
    /// Creates the tunnels of a host, of which at most `max` are open at the same time; none is yet.
    pub fn new(
        pool: Pool,
        steer: steer::Handle,
        phase: watch::Receiver<Phase>,
        max: usize,
    ) -> Tunnels {
        Tunnels { pool, steer, phase, permits: Arc::new(Semaphore::new(max)), max }
    }

    /// Waits until all tunnels have ended.
    pub async fn ended(&self) {
        let all = u32::try_from(self.max).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        let _ = self.permits.acquire_many(all).await;
    }

    /// Answers a request for a tunnel.
    pub(super) async fn answer(self, request: Request<Incoming>) -> server::Answer {
        match self.connect(&request).await {
            Ok((stream, permit)) => {
                if let Some(socket) = request.extensions().get::<Arc<TcpStream>>() {
                    // Bodies arrive more slowly if the system refuses the size.
                    let _ = SockRef::from(&**socket).set_recv_buffer_size(RECEIVE_BYTES);
                }
                tokio::spawn(async move {
                    // If the other host is gone, there is nobody to carry bytes for.
                    if let Ok(upgraded) = upgrade::on(request).await {
                        carry(upgraded, stream).await;
                    }
                    drop(permit);
                });
                count("opened");
                server::empty(StatusCode::OK)
            }
            Err(failure) => {
                count(failure.as_str());
                let mut refusal = server::empty(StatusCode::SERVICE_UNAVAILABLE);
                let reason = HeaderValue::from_static(failure.as_str());
                refusal.headers_mut().insert(FAILURE, reason);
                refusal
            }
        }
    }

    async fn connect(
        &self,
        request: &Request<Incoming>,
    ) -> Result<(TcpStream, OwnedSemaphorePermit), Failure> {
        let authority = request.uri().authority().and_then(|text| text.as_str().parse().ok());
        let address: SocketAddr = authority.ok_or(Failure::NoPath)?;
        // Names have any characters, which `to_str` does not allow.
        let target = request.headers().get(TARGET).ok_or(Failure::NoPath)?;
        let target = std::str::from_utf8(target.as_bytes()).map_err(|_| Failure::NoPath)?;
        let target = id::Target::from_text(target).map_err(|_| Failure::NoPath)?;
        if *self.phase.borrow() != Phase::Serving {
            return Err(Failure::NoHelper);
        }
        self.steer.check_tunnel(&target, address).await?;
        let permit =
            Arc::clone(&self.permits).try_acquire_owned().map_err(|_| Failure::NoHelper)?;
        let result = self.pool.connect(address, CONNECT_TIMEOUT).await;
        let outcome = result.as_ref().map(|_| ()).map_err(|failure| *failure);
        self.steer.send(Input::Connected(target, Path::Direct, outcome));
        Ok((result?, permit))
    }
}

/// Whether a request asks for a tunnel.
pub(super) fn is_tunnel(request: &Request<Incoming>) -> bool {
    *request.method() == Method::CONNECT
}

/// Copies bytes between a host and a target until one of them closes its connection.
async fn carry(host: Upgraded, mut target: TcpStream) {
    let (mut from_host, mut to_host) = io::split(TokioIo::new(host));
    let (mut from_target, mut to_target) = target.split();
    // Errors end the tunnel, which is all that can be done about them.
    tokio::select! {
        // The host has given up the exchange, so the target must see the end of its connection.
        _ = io::copy(&mut from_host, &mut to_target) => {}
        _ = io::copy(&mut from_target, &mut to_host) => {
            let _ = to_host.shutdown().await;
            let _ = time::timeout(DRAIN_TIME, io::copy(&mut from_host, &mut io::sink())).await;
        }
    }
}

/// Counts a request for a tunnel.
fn count(outcome: &'static str) {
    metrics::counter!("toucanhoist_tunnels_total", "outcome" => outcome).increment(1);
}
