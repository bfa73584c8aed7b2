//! TCP sockets and their options.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use {
    socket2::{SockRef, TcpKeepalive},
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        time,
    },
};

mod bounded;

pub use self::bounded::{RECEIVE_BYTES, Stream, bound_new_connections};

/// Idle time before the first keepalive probe, and time between probes; the system counts them in
/// whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 1;

/// Binds a listener. An error names the address.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let with_address =
        |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
    TcpListener::bind(address).await.map_err(with_address)
}

/// Connects within `timeout`.
///
/// # Errors
///
/// The peer refuses the connection, or does not accept it in time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    connect_from(None, address, timeout).await
}

/// Connects within `timeout` from a local address; `None` leaves the choice to the system.
///
/// # Errors
///
/// The local address cannot be bound, or the peer refuses the connection or does not accept it in
/// time.
pub async fn connect_from(
    local: Option<IpAddr>,
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let connecting = async {
        let Some(local) = local else { return TcpStream::connect(address).await };
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.bind(SocketAddr::new(local, 0))?;
        socket.connect(address).await
    };
    let stream = time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting timed out"))??;
    configure(&stream)?;
    Ok(stream)
}

/// Configures a connection whose peer is probed every second.
///
/// # Errors
///
/// The system refuses an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    configure_with(stream, KEEPALIVE_INTERVAL)
}

/// Disables Nagle's algorithm, and enables keepalive and a user timeout of two `interval`s, so that a peer
/// that no longer answers, or that takes nothing of what it is sent, is detected.
///
/// # Errors
///
/// The system refuses an option.
pub fn configure_with(stream: &TcpStream, interval: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    // The user timeout also decides when keepalive probes give up, whatever their number, so the two agree.
    socket.set_tcp_user_timeout(Some(interval * (1 + KEEPALIVE_RETRIES)))
}
