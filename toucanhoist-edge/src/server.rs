//! Small HTTP servers that answer at once: the directory, the readiness check, metrics, other hosts.

use std::{convert::Infallible, future::Future, time::Duration};

use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    tokio::{net::TcpListener, time},
};

/// Pause after a connection could not be accepted, for lack of descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An answer with a whole body.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Returns an answer without a body.
pub(crate) fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Serves requests whose heads are complete within `head_max`, for as long as the process runs.
pub(crate) async fn serve<F>(
    listener: TcpListener,
    head_max: Duration,
    answer: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Answer> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = answer(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            // A caller that goes away asks again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_max)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
