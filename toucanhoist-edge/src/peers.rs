/*!
Datagrams and snapshots between entry hosts.

Datagrams carry what may be lost: the failure detector's messages, tokens of client accounts, and
fingerprints of requests that crash targets. A snapshot of the registry is asked for over a connection, by a
host that learns that another knows more.
*/

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    prost::Message as _,
    tokio::{
        net::{TcpListener, UdpSocket},
        time,
    },
    toucanhoist_core::steering::{Snapshot, Topic},
    toucanhoist_store::socket,
    toucanhoist_wire::steering::{Packet, packet},
};

use crate::{fleet, server};

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
    socket: Arc<UdpSocket>,
}

impl Sender {
    /// Binds the socket for datagrams.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Sender> {
        let named = |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
        Ok(Sender { socket: Arc::new(UdpSocket::bind(address).await.map_err(named)?) })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram; one that cannot be sent at once is lost, as any datagram may be.
    pub fn send(&self, to: SocketAddr, body: packet::Body) {
        self.send_all(&[to], body);
    }

    /// Sends a datagram to several hosts. One that is too large is not sent.
    pub fn send_all(&self, to: &[SocketAddr], body: packet::Body) {
        let datagram = Packet { body: Some(body) }.encode_to_vec();
        if datagram.len() > DATAGRAM_BYTES {
            metrics::counter!("toucanhoist_datagrams_unsent_total").increment(1);
            return;
        }
        for &to in to {
            self.send_datagram(to, &datagram);
        }
    }

    fn send_datagram(&self, to: SocketAddr, datagram: &[u8]) {
        if self.socket.try_send_to(datagram, to).is_err() {
            metrics::counter!("toucanhoist_datagrams_unsent_total").increment(1);
        }
    }

    /// Receives datagrams until `deliver` says that nobody wants them.
    pub async fn receive(self, mut deliver: impl FnMut(SocketAddr, packet::Body) -> bool) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
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

/// Serves snapshots of the registry to other hosts.
pub async fn serve(listener: TcpListener, fleet: fleet::Handle) {
    server::serve(listener, HEAD_MAX, move |request| answer(fleet.clone(), request)).await;
}

async fn answer(fleet: fleet::Handle, request: Request<hyper::body::Incoming>) -> server::Answer {
    if request.uri().path() != SNAPSHOT_PATH {
        return server::plain(StatusCode::NOT_FOUND);
    }
    let known = request.uri().query().map(versions).unwrap_or_default();
    match fleet.newer(known).await.map(|snapshot| serde_json::to_vec(&snapshot)) {
        Some(Ok(content)) => Response::new(Full::new(content.into())),
        _ => server::plain(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Reads versions by topic from a query.
fn versions(query: &str) -> BTreeMap<Topic, u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let versions = pairs.filter_map(|(topic, version)| {
        Some((Topic::of_number(topic.parse().ok()?)?, version.parse().ok()?))
    });
    versions.collect()
}

/// Asks another host for what it knows beyond the `known` versions.
///
/// # Errors
///
/// The host cannot be reached, or its answer cannot be read.
pub async fn newer(from: SocketAddr, known: BTreeMap<Topic, u64>) -> io::Result<Snapshot> {
    time::timeout(SNAPSHOT_MAX, fetch(from, known))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no snapshot in time"))?
}

async fn fetch(from: SocketAddr, known: BTreeMap<Topic, u64>) -> io::Result<Snapshot> {
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
    serde_json::from_slice(&content).map_err(Into::into)
}
