/*!
Datagrams and snapshots between entry hosts.

Datagrams carry messages that may be lost: those of the failure detector, tokens of client accounts,
fingerprints of requests that crash targets, and changes of the registry. A host that learns that another
one has newer entries requests a snapshot of the registry over a TCP connection.
*/

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    prost::Message as _,
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::{Mutex as AsyncMutex, Notify},
        task::JoinSet,
        time,
    },
    toucanhoist_core::{
        memory::{Budget, Share},
        steering::{Snapshot, Topic, Version},
    },
    toucanhoist_store::socket,
    toucanhoist_wire::steering::{Packet, packet},
};

use crate::{connections::Port, fleet, held, journal::Journal, packing, server};

mod backlog;
pub mod tunnel;

pub use self::{backlog::Backlog, tunnel::Tunnels};

/// Size limit of a datagram.
const DATAGRAM_BYTES_MAX: usize = 60_000;
/// Bytes of datagrams that have been received and not handled yet. More are lost, as they may be in the network.
const RECEIVED_BYTES_MAX: usize = 1 << 20;
/// Path of the registry's snapshot.
const SNAPSHOT_PATH: &str = "/registry";
/// Size limit of a snapshot that is fetched, packed and unpacked. The registry of a large fleet has 64 and 640 KB, so
/// a larger one can only be a fault.
const SNAPSHOT_BYTES_MAX: usize = 4 << 20;
const SNAPSHOT_UNPACKED_BYTES_MAX: u64 = 16 << 20;
/// Time-out for fetching a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limits of a peer's requests.
const LIMITS: server::Limits =
    server::Limits { head_bytes: 8 * 1_024, head_timeout: Duration::from_secs(2) };

/// A message of another host, with its memory.
#[derive(Debug)]
pub struct Received<T> {
    /// Address of the sender.
    pub from: SocketAddr,
    /// The message.
    pub message: T,
    _share: Share,
}

/// Sends datagrams.
#[derive(Clone, Debug)]
pub struct Sender {
    outbox: Arc<Outbox>,
}

/// A socket with the datagrams that it has not accepted yet.
#[derive(Debug)]
struct Outbox {
    socket: UdpSocket,
    backlog: Mutex<Backlog>,
    /// Notified when datagrams wait, and when the last sender is dropped.
    wake: Arc<Notify>,
}

impl Outbox {
    fn backlog(&self) -> MutexGuard<'_, Backlog> {
        self.backlog.lock().expect("no holder of the lock panics")
    }

    /// Sends datagrams until the socket would block.
    fn drain(&self) {
        let mut backlog = self.backlog();
        count_unsent(backlog.drain(|datagram, to| self.socket.try_send_to(datagram, to)));
        if !backlog.is_empty() {
            self.wake.notify_one();
        }
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.wake.notify_one();
    }
}

/// Sends queued datagrams when the socket becomes writable, until the last sender is dropped.
async fn drain_when_writable(outbox: Weak<Outbox>, wake: Arc<Notify>) {
    loop {
        wake.notified().await;
        let Some(outbox) = outbox.upgrade() else { return };
        // An error recurs when the next datagram is sent, and is handled there.
        let _ = outbox.socket.writable().await;
        outbox.drain();
    }
}

impl Sender {
    /// Binds the UDP socket, and spawns the task that sends queued datagrams.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Sender> {
        let with_address =
            |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
        let socket = UdpSocket::bind(address).await.map_err(with_address)?;
        let wake = Arc::<Notify>::default();
        let outbox = Outbox { socket, backlog: Mutex::default(), wake: Arc::clone(&wake) };
        let outbox = Arc::new(outbox);
        tokio::spawn(drain_when_writable(Arc::downgrade(&outbox), wake));
        Ok(Sender { outbox })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// The operating system returns an error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.outbox.socket.local_addr()
    }

    /// Sends a datagram, which is dropped and counted if the queue is full.
    pub fn send(&self, to: SocketAddr, body: packet::Body) {
        self.send_all(&[to], body);
    }

    /// Sends a datagram to several hosts. One that is too large is dropped and counted.
    pub fn send_all(&self, to: &[SocketAddr], body: packet::Body) {
        let datagram = Bytes::from(Packet { body: Some(body) }.encode_to_vec());
        if datagram.len() > DATAGRAM_BYTES_MAX {
            count_unsent(1);
            return;
        }
        let mut backlog = self.outbox.backlog();
        let lost = to.iter().filter(|to| !backlog.push(**to, datagram.clone())).count();
        drop(backlog);
        count_unsent(lost as u64);
        self.outbox.drain();
    }

    /// Receives datagrams until `deliver` returns false. Their memory is given back when their shares are dropped.
    pub async fn receive(self, mut deliver: impl FnMut(Received<packet::Body>) -> bool) {
        let budget = Budget::new(RECEIVED_BYTES_MAX);
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            let Ok((length, from)) = self.outbox.socket.recv_from(&mut buffer).await else {
                // Errors refer to an earlier datagram that was sent to a closed port, so receiving goes on.
                time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            let Some(share) = budget.take(length) else {
                metrics::counter!("toucanhoist_datagrams_unread_total").increment(1);
                continue;
            };
            let body = Packet::decode(&buffer[..length]).ok().and_then(|packet| packet.body);
            match body {
                Some(message) => {
                    if !deliver(Received { from, message, _share: share }) {
                        return;
                    }
                }
                None => metrics::counter!("toucanhoist_datagrams_malformed_total").increment(1),
            }
        }
    }
}

fn count_unsent(datagrams: u64) {
    if datagrams > 0 {
        metrics::counter!("toucanhoist_datagrams_unsent_total").increment(datagrams);
    }
}

/// Serves snapshots of the registry and tunnels to other hosts.
pub async fn serve(
    listener: TcpListener,
    port: Arc<Port>,
    journal: Arc<Journal>,
    snapshots: Snapshots,
    tunnels: Tunnels,
) {
    let answer = move |request| answer(snapshots.clone(), tunnels.clone(), request);
    server::serve(listener, port, journal, LIMITS, answer).await;
}

async fn answer(
    snapshots: Snapshots,
    tunnels: Tunnels,
    request: Request<hyper::body::Incoming>,
) -> server::Answer {
    if tunnel::is_tunnel(&request) {
        return tunnels.answer(request).await;
    }
    if request.uri().path() != SNAPSHOT_PATH {
        return server::empty(StatusCode::NOT_FOUND);
    }
    let known = request.uri().query().map(parse_versions).unwrap_or_default();
    match snapshots.pack(known).await {
        Some(content) => Response::new(Full::new(content)),
        None => server::empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Snapshots of the registry for other hosts, which share a budget until they have been sent.
#[derive(Clone, Debug)]
pub struct Snapshots {
    fleet: fleet::Handle,
    budget: Arc<Budget>,
    /// Bytes of the budget.
    max: usize,
    /// Held while a snapshot is made, which takes a multiple of its size.
    turn: Arc<AsyncMutex<()>>,
}

impl Snapshots {
    /// Creates the snapshots of a host, of which at most `max` bytes are being sent at the same time, or one.
    pub fn new(fleet: fleet::Handle, max: usize) -> Snapshots {
        Snapshots { fleet, budget: Budget::new(max), max, turn: Arc::default() }
    }

    /// Returns the packed entries beyond the `known` versions; `None` if there is no room for them.
    async fn pack(&self, known: BTreeMap<Topic, Version>) -> Option<Bytes> {
        let _turn = self.turn.lock().await;
        let snapshot = self.fleet.newer_than(known).await?.into_message();
        let content = packing::pack(&snapshot).ok()?;
        let share = self.budget.take(content.len().min(self.max))?;
        Some(held::with_share(content.into(), share))
    }
}

/// Parses versions by topic from a query.
fn parse_versions(query: &str) -> BTreeMap<Topic, Version> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let versions = pairs.filter_map(|(topic, version)| {
        Some((Topic::from_number(topic.parse().ok()?)?, version.parse().ok()?))
    });
    versions.collect()
}

/// Fetches the entries that another host knows beyond the `known` versions.
///
/// # Errors
///
/// The host does not answer in time, or its answer is too large or cannot be unpacked.
pub async fn fetch_snapshot(
    from: SocketAddr,
    known: BTreeMap<Topic, Version>,
) -> io::Result<Snapshot> {
    time::timeout(SNAPSHOT_TIMEOUT, request_snapshot(from, known))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "fetching the snapshot timed out"))?
}

async fn request_snapshot(
    from: SocketAddr,
    known: BTreeMap<Topic, Version>,
) -> io::Result<Snapshot> {
    let stream = socket::connect(from, SNAPSHOT_TIMEOUT).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    // Aborted when the request ends, also in a time-out.
    let mut driver = JoinSet::new();
    driver.spawn(connection);
    let query = known.iter().map(|(topic, version)| format!("{}={version}", topic.number()));
    let request = Request::get(format!("{SNAPSHOT_PATH}?{}", query.collect::<Vec<_>>().join("&")))
        .header("host", from.to_string())
        .body(Full::<Bytes>::default())
        .map_err(io::Error::other)?;
    let answer = sender.send_request(request).await.map_err(io::Error::other)?;
    let content = Limited::new(answer.into_body(), SNAPSHOT_BYTES_MAX).collect().await;
    let content = content.map_err(io::Error::other)?.to_bytes();
    packing::unpack(&content, SNAPSHOT_UNPACKED_BYTES_MAX).map(Snapshot::from_message)
}
