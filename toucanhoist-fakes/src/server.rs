use std::{convert::Infallible, future::Future, io, net::SocketAddr};

use {
    http_body_util::combinators::BoxBody,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    tokio::{
        net::TcpListener,
        task::{JoinHandle, JoinSet},
    },
};

/// Body of a fake's response; an error breaks the connection.
pub(crate) type Body = BoxBody<bytes::Bytes, io::Error>;

/// A listener that closes its connections when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Serves `handler` at `address`. An error of the handler breaks the connection.
    pub(crate) async fn bind<H, F>(address: SocketAddr, handler: H) -> io::Result<Listener>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Listener { address, task })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(handler);
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("connection failed: {error}");
            }
        });
    }
}

/// Boxes a body that cannot fail.
pub(crate) fn body<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = bytes::Bytes, Error = Infallible> + Send + Sync + 'static,
{
    use http_body_util::BodyExt;
    BoxBody::new(body.map_err(|never| match never {}))
}
