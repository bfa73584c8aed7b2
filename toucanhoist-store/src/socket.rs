//! Options of sockets.

use std::{io, net::SocketAddr, time::Duration};

use {
    socket2::{SockRef, TcpKeepalive},
    tokio::{
        net::{TcpListener, TcpStream},
        time,
    },
};

/// Time after which a connection on which nothing is acknowledged has ended.
const SILENT_MAX: Duration = Duration::from_millis(2_000);
/// Idle time before the other end is asked whether it is there, and the time between questions.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// Binds a listener; the error names the address.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let named = |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
    TcpListener::bind(address).await.map_err(named)
}

/// Connects, within `limit`.
///
/// # Errors
///
/// The other end refuses, or does not answer in time.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
    configure(&stream)?;
    Ok(stream)
}

/// Sets a connection up so that a silent other end is noticed.
///
/// # Errors
///
/// An option is refused.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENT_MAX))
}
