//! A loopback proxy whose connections are delayed, reset, cut or silenced.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
    time,
};

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Bytes arrive late.
    Delayed,
    /// Open connections are reset, and new ones too.
    Reset,
    /// Nothing passes from the caller.
    SilentThere,
    /// Nothing passes to the caller.
    SilentBack,
}

/// The proxy before one server.
#[derive(Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    fault: watch::Sender<Fault>,
    to: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// Listens before a server.
    pub async fn bind(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (fault, faults) = watch::channel(Fault::None);
        let to = Arc::new(Mutex::new(to));
        let target = Arc::clone(&to);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let to = *target.lock().unwrap_or_else(PoisonError::into_inner);
                tokio::spawn(pass(stream, to, faults.clone()));
            }
        });
        Proxy { address, fault, to }
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

async fn pass(caller: TcpStream, to: SocketAddr, mut faults: watch::Receiver<Fault>) {
    if *faults.borrow() == Fault::Reset {
        return reset(&caller);
    }
    let Ok(server) = TcpStream::connect(to).await else { return reset(&caller) };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let there = copy(from_caller, to_server, faults.clone(), Fault::SilentThere);
    let back = copy(from_server, to_caller, faults.clone(), Fault::SilentBack);
    let both = async { tokio::join!(there, back) };
    tokio::select! {
        _ = both => {}
        // Dropped connections are reset while bytes are on their way.
        _ = faults.wait_for(|fault| *fault == Fault::Reset) => {}
    }
}

fn reset(stream: &TcpStream) {
    // A connection that has closed already needs no reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<Fault>,
    silent: Fault,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        if *faults.borrow() == Fault::Delayed {
            time::sleep(Duration::from_millis(120)).await;
        }
        // Bytes are held while the direction is silent.
        if faults.wait_for(|fault| *fault != silent).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // The other end may have closed already.
    let _ = to.shutdown().await;
}
