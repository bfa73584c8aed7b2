/*!
Datagrams and snapshots between entry hosts.

Datagrams carry what may be lost: the failure detector's messages, tokens of client accounts, and
fingerprints of requests that crash targets. A snapshot of the registry is asked for over a connection, by a
host that learns that another knows more.
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
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    prost::Message as _,
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::Notify,
        time,
    },
    toucanhoist_core::steering::{Snapshot, Topic, Version},
    toucanhoist_store::socket,
    toucanhoist_wire::steering::{Packet, packet},
};

use crate::{fleet, packing, server};

mod backlog;

pub use self::backlog::Backlog;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 60_000;
/// Path of the registry's snapshot.
const SNAPSHOT_PATH: &str = "/registry";
/// Time in which a snapshot must have arrived.
const SNAPSHOT_MAX: Duration = Duration::from_secs(2);
/// Time in which the head of a peer's request must be complete.
const HEAD_MAX: Duration = Duration::from_secs(2);

/// Sends datagrams.
#[derive(Clone, Debug)]
pub struct Sender {
    outbox: Arc<Outbox>,
}

/// A socket with the datagrams that it has not taken yet.
#[derive(Debug)]
struct Outbox {
    socket: UdpSocket,
    backlog: Mutex<Backlog>,
    /// Told when datagrams wait, and at the end.
    waiting: Arc<Notify>,
}

impl Outbox {
    fn backlog(&self) -> MutexGuard<'_, Backlog> {
        self.backlog.lock().expect("nothing panics with the backlog")
    }

    /// Sends what the socket takes now.
    fn drain(&self) {
        let mut backlog = self.backlog();
        count_unsent(backlog.drain(|datagram, to| self.socket.try_send_to(datagram, to)));
        if !backlog.is_empty() {
            self.waiting.notify_one();
        }
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.waiting.notify_one();
    }
}

/// Sends what waits as soon as the socket takes more, until nobody sends any longer.
async fn send_waiting(outbox: Weak<Outbox>, waiting: Arc<Notify>) {
    loop {
        waiting.notified().await;
        let Some(outbox) = outbox.upgrade() else { return };
        // An error shows again with the datagram that is sent next.
        let _ = outbox.socket.writable().await;
        outbox.drain();
    }
}

impl Sender {
    /// Binds the socket for datagrams, and spawns the task that sends those that wait.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Sender> {
        let named = |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
        let socket = UdpSocket::bind(address).await.map_err(named)?;
        let waiting = Arc::<Notify>::default();
        let outbox = Outbox { socket, backlog: Mutex::default(), waiting: Arc::clone(&waiting) };
        let outbox = Arc::new(outbox);
        tokio::spawn(send_waiting(Arc::downgrade(&outbox), waiting));
        Ok(Sender { outbox })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.outbox.socket.local_addr()
    }

    /// Sends a datagram; one that the socket does not take soon is lost, as any datagram may be.
    pub fn send(&self, to: SocketAddr, body: packet::Body) {
        self.send_all(&[to], body);
    }

    /// Sends a datagram to several hosts. One that is too large is not sent.
    pub fn send_all(&self, to: &[SocketAddr], body: packet::Body) {
        let datagram = Bytes::from(Packet { body: Some(body) }.encode_to_vec());
        if datagram.len() > DATAGRAM_BYTES {
            count_unsent(1);
            return;
        }
        let mut backlog = self.outbox.backlog();
        let lost = to.iter().filter(|to| !backlog.push(**to, datagram.clone())).count();
        drop(backlog);
        count_unsent(lost as u64);
        self.outbox.drain();
    }

    /// Receives datagrams until `deliver` says that nobody wants them.
    pub async fn receive(self, mut deliver: impl FnMut(SocketAddr, packet::Body) -> bool) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.outbox.socket.recv_from(&mut buffer).await else {
                // A datagram to a port without a listener is reported here; the next call goes on.
                time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            let body = Packet::decode(&buffer[..length]).ok().and_then(|packet| packet.body);
            match body {
                Some(body) => {
                    if !deliver(from, body) {
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

/// Serves snapshots of the registry to other hosts.
pub async fn serve(listener: TcpListener, fleet: fleet::Handle) {
    server::serve(listener, HEAD_MAX, move |request| answer(fleet.clone(), request)).await;
}

async fn answer(fleet: fleet::Handle, request: Request<hyper::body::Incoming>) -> server::Answer {
    if request.uri().path() != SNAPSHOT_PATH {
        return server::plain(StatusCode::NOT_FOUND);
    }
    let known = request.uri().query().map(versions).unwrap_or_default();
    match fleet.newer(known).await.map(|snapshot| packing::pack(&snapshot)) {
        Some(Ok(content)) => Response::new(Full::new(content.into())),
        _ => server::plain(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Reads versions by topic from a query.
fn versions(query: &str) -> BTreeMap<Topic, Version> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let versions = pairs.filter_map(|(topic, version)| {
        Some((Topic::from_number(topic.parse().ok()?)?, version.parse().ok()?))
    });
    versions.collect()
}

/// Asks another host for what it knows beyond the `known` versions.
///
/// # Errors
///
/// The host cannot be reached, or its answer cannot be read.
pub async fn newer(from: SocketAddr, known: BTreeMap<Topic, Version>) -> io::Result<Snapshot> {
    time::timeout(SNAPSHOT_MAX, fetch(from, known))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no snapshot in time"))?
}

async fn fetch(from: SocketAddr, known: BTreeMap<Topic, Version>) -> io::Result<Snapshot> {
    let stream = socket::connect(from, SNAPSHOT_MAX).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(connection);
    let query = known.iter().map(|(topic, version)| format!("{}={version}", topic.number()));
    let request = Request::get(format!("{SNAPSHOT_PATH}?{}", query.collect::<Vec<_>>().join("&")))
        .header("host", from.to_string())
        .body(Full::<Bytes>::default())
        .map_err(io::Error::other)?;
    let answer = sender.send_request(request).await.map_err(io::Error::other)?;
    let content = answer.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    driver.abort();
    packing::unpack(&content)
}
