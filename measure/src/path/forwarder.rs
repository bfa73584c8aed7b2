//! A plain HTTP/1 forwarder, the baseline.

use std::{io, net::SocketAddr};

use {
    hyper::{Request, body::Incoming, client, server, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Mutex,
    },
};

use super::process;

/// Forwards every connection to one of `targets`, until standard input ends.
pub(super) async fn run(targets: Vec<SocketAddr>) -> io::Result<()> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        for target in targets.iter().cycle() {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(forward(stream, *target));
        }
    });
    process::serve(&[address]).await
}

async fn forward(stream: TcpStream, target: SocketAddr) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let upstream = TcpStream::connect(target).await?;
    upstream.set_nodelay(true)?;
    let (sender, connection) =
        client::conn::http1::handshake(TokioIo::new(upstream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let sender = Mutex::new(sender);
    let service = service_fn(|request: Request<Incoming>| async {
        let mut sender = sender.lock().await;
        sender.ready().await?;
        sender.send_request(request).await
    });
    server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await
        .map_err(io::Error::other)
}
