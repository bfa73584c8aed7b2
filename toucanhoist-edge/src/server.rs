//! HTTP server for short requests: the directory, the readiness check, metrics, and peers.

use std::{convert::Infallible, future::Future, pin::pin, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    tokio::{net::TcpListener, time},
    toucanhoist_core::event::Event,
    toucanhoist_store::socket,
};

use crate::{
    connections::{Port, Slot},
    journal::Journal,
};

/// Pause after a failed `accept`, usually for lack of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits of a port's requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Bytes of a head.
    pub(crate) head_bytes: usize,
    /// Time within which a head must be complete.
    pub(crate) head_timeout: Duration,
}

/// An answer whose body is in memory.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Returns an answer without a body.
pub(crate) fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Has connections of a listener begin with a small receive buffer, where the system allows that.
pub(crate) fn bound_new_connections(listener: &TcpListener, journal: &Journal) {
    if let Err(error) = socket::bound_new_connections(listener) {
        journal.note(Event::ReceiveBufferLarge, &[("error", &error)]);
    }
}

/// Serves requests for as long as the process runs. A request has its connection's socket among its extensions.
pub(crate) async fn serve<F>(
    listener: TcpListener,
    port: Arc<Port>,
    journal: Arc<Journal>,
    limits: Limits,
    answer: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Answer> + Send + 'static,
{
    bound_new_connections(&listener, &journal);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A client that is gone without a word would keep its connection, and a tunnel, for good. One that has
        // ended its connection already needs no answer.
        let Ok(stream) =
            socket::configure(&stream).and_then(|()| socket::Stream::new(stream.into()))
        else {
            continue;
        };
        let slot = port.admit(|event, fields| journal.note(event, fields)).await;
        if let Some(slot) = slot {
            tokio::spawn(connection(stream, slot, limits, answer.clone()));
        }
    }
}

async fn connection<F>(
    stream: socket::Stream,
    slot: Arc<Slot>,
    limits: Limits,
    answer: impl Fn(Request<Incoming>) -> F + Send + Sync + 'static,
) where
    F: Future<Output = Answer> + Send + 'static,
{
    let socket = Arc::clone(stream.socket());
    let service = service_fn(|mut request: Request<Incoming>| {
        let busy = slot.begin();
        request.extensions_mut().insert(Arc::clone(&socket));
        let answer = answer(request);
        async move {
            // The connection is closed already to make room for another.
            let Some(_busy) = busy else {
                return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
            };
            Ok::<_, Infallible>(answer.await)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    tokio::select! {
        // A failed connection needs no handling: its client tries again.
        _ = pin!(connection) => {}
        () = slot.closing() => {}
    }
}
