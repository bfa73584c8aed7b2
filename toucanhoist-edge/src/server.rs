//! HTTP server for short requests: the directory, the readiness check, metrics, and peers.

use std::{convert::Infallible, future::Future, time::Duration};

use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    tokio::{net::TcpListener, time},
    toucanhoist_store::socket,
};

/// Pause after a failed `accept`, usually for lack of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An answer whose body is in memory.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Returns an answer without a body.
pub(crate) fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Serves requests whose heads are complete within `head_timeout`, for as long as the process runs.
pub(crate) async fn serve<F>(
    listener: TcpListener,
    head_timeout: Duration,
    answer: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Answer> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A client that is gone without a word would keep its connection, and a tunnel, for good. One that has
        // ended its connection already needs no answer.
        if socket::configure(&stream).is_err() {
            continue;
        }
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = answer(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            // A failed connection needs no handling: its client tries again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_timeout)
                .serve_connection(TokioIo::new(stream), service)
                .with_upgrades()
                .await;
        });
    }
}
