//! Addresses for entry hosts that run as processes.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process,
    sync::atomic::{AtomicU8, Ordering},
};

use tokio::net::TcpListener;

/// Free addresses for the listeners of one host.
#[derive(Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

impl Addresses {
    /// Finds free ports at a loopback address that no other host and no outgoing connection uses.
    pub async fn find() -> Addresses {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let [.., high, low] = process::id().to_be_bytes();
        let last = NEXT.fetch_add(1, Ordering::Relaxed);
        let own = IpAddr::V4(Ipv4Addr::new(127, high | 0x80, low, last));
        let mut listeners = Vec::new();
        for _ in 0..5 {
            listeners.push(TcpListener::bind((own, 0)).await.expect("a port"));
        }
        let address = |index: usize| listeners[index].local_addr().expect("an address");
        Addresses {
            callers: address(0),
            readiness: address(1),
            directory: address(2),
            peers: address(3),
            metrics: address(4),
        }
    }
}
