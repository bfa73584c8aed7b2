//! A loopback proxy that can delay, reset or stall its connections, or those of one client.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
    time,
};
use toucanhoist_fakes::link::Links;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Bytes are forwarded late.
    Delayed,
    /// Open and new connections are reset.
    Reset,
    /// Bytes from the client are held back.
    StalledUpstream,
    /// Bytes to the client are held back.
    StalledDownstream,
}

/// What happens to the connections from one address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Open ones fall silent, and new ones are not established.
    Hang,
    /// Open and new ones are reset.
    Reset,
}

/// The proxy in front of one server.
#[derive(Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    links: Links,
    fault: watch::Sender<Fault>,
    /// Addresses whose connections are reset.
    reset: watch::Sender<BTreeSet<IpAddr>>,
    to: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// Binds a proxy in front of a server.
    pub async fn bind(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let links = Links::new(&listener).expect("links");
        let (fault, faults) = watch::channel(Fault::None);
        let (reset, resets) = watch::channel(BTreeSet::new());
        let to = Arc::new(Mutex::new(to));
        let (target, accepted) = (Arc::clone(&to), links.clone());
        tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
                let link = accepted.add(&stream).expect("a link");
                let forwarding = forward(stream, from.ip(), to, faults.clone(), resets.clone());
                tokio::spawn(async move {
                    forwarding.await;
                    drop(link);
                });
            }
        });
        Proxy { address, links, fault, reset, to }
    }

    /// Cuts the connections from an address, or ends what cut them.
    pub fn set_cut(&self, from: Ipv4Addr, cut: Option<Cut>) {
        self.links.set_cut(from, cut == Some(Cut::Hang)).expect("a filter");
        self.reset.send_modify(|reset| {
            if cut == Some(Cut::Reset) {
                reset.insert(from.into());
            } else {
                reset.remove(&IpAddr::from(from));
            }
        });
    }

    /// Sets what happens to connections.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Sets the server behind the proxy.
    pub fn set_server(&self, to: SocketAddr) {
        *self.to.lock().unwrap_or_else(PoisonError::into_inner) = to;
    }
}

async fn forward(
    client: TcpStream,
    from: IpAddr,
    to: SocketAddr,
    mut faults: watch::Receiver<Fault>,
    mut resets: watch::Receiver<BTreeSet<IpAddr>>,
) {
    if *faults.borrow() == Fault::Reset || resets.borrow().contains(&from) {
        return reset(&client);
    }
    let Ok(server) = TcpStream::connect(to).await else { return reset(&client) };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let upstream = copy(from_client, to_server, faults.clone(), Fault::StalledUpstream);
    let downstream = copy(from_server, to_client, faults.clone(), Fault::StalledDownstream);
    let copies = async { tokio::join!(upstream, downstream) };
    tokio::select! {
        _ = copies => {}
        // Dropping the connections while bytes are in transit resets them.
        _ = faults.wait_for(|fault| *fault == Fault::Reset) => {}
        _ = resets.wait_for(|reset| reset.contains(&from)) => {}
    }
}

fn reset(stream: &TcpStream) {
    // A connection that is already closed needs no reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<Fault>,
    stall: Fault,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        if *faults.borrow() == Fault::Delayed {
            time::sleep(Duration::from_millis(120)).await;
        }
        // Bytes are held while this direction is stalled.
        if faults.wait_for(|fault| *fault != stall).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // The other end may have closed the connection already.
    let _ = to.shutdown().await;
}
