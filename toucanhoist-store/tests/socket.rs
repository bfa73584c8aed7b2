//! Options of TCP sockets.

use std::{net::Ipv4Addr, time::Duration};

use {
    socket2::SockRef,
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpStream},
    },
    toucanhoist_store::socket,
};

/// Time within which a peer that is gone must be noticed.
const SILENCE_MAX: Duration = Duration::from_secs(2);

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connecting = socket::connect(address, Duration::from_secs(5));
    let (connected, accepted) = tokio::join!(connecting, listener.accept());
    let accepted = accepted.expect("a connection").0;
    socket::configure(&accepted).expect("the options");
    (connected.expect("a connection"), accepted)
}

/// `TCP_USER_TIMEOUT` overrides the number of keepalive probes, so the two must say the same.
#[tokio::test]
async fn the_user_timeout_and_the_keepalive_probes_give_up_at_the_same_time() {
    let (connected, accepted) = pair().await;
    for stream in [&connected, &accepted] {
        let socket = SockRef::from(stream);
        let user_timeout = socket.tcp_user_timeout().expect("an option");
        let idle = socket.tcp_keepalive_time().expect("an option");
        let interval = socket.tcp_keepalive_interval().expect("an option");
        let probes = socket.tcp_keepalive_retries().expect("an option");
        assert!(socket.keepalive().expect("an option"));
        assert_eq!(user_timeout, Some(idle + interval * probes));
        assert!(idle + interval * probes <= SILENCE_MAX);
    }
}

#[tokio::test]
async fn an_idle_connection_ends_when_its_peer_no_longer_answers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let links = toucanhoist_fakes::link::Links::new(&listener).expect("links");
    let address = listener.local_addr().expect("an address");
    let source = Ipv4Addr::new(127, 0, 9, 1);
    let connecting = socket::connect_from(Some(source.into()), address, Duration::from_secs(5));
    let (connected, accepted) = tokio::join!(connecting, listener.accept());
    let (mut connected, accepted) = (connected.expect("a connection"), accepted.expect("one").0);
    let _link = links.add(&accepted).expect("a link");
    links.set_cut(source, true).expect("a filter");
    let error = connected.read_u8().await.expect_err("the peer sends nothing");
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
}
