/*!
Listeners that speak HTTP.

`hyper` serves each connection and passes its requests to a `salvo` router. Requests that `hyper`
refuses itself, because it cannot parse them, get a refusal in the same form, a log line and a count
like all others (see [`Rewriter`]).
*/

use std::{
    future::Future,
    io,
    pin::pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use {
    http::{Request, Response, uri::Scheme},
    hyper::{
        body::Incoming,
        server::conn::http1,
        service::{self, Service as _},
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    salvo::{ConnCtrl, Router, Service, http::ResBody},
    tokio::{
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
        time,
    },
    tokio_util::{either::Either, sync::CancellationToken},
    toucanhoist_core::{event::Event, memory::Budget},
    toucanhoist_edge::{
        connections::{Busy, Port, Slot},
        window::{Receiver, Window},
    },
    toucanhoist_store::socket,
};

use self::rewriter::{InFlight, Rewriter};
use super::{Context, tls::Certificates};
use crate::journal::{Field, Journal};

mod rewriter;

const HEAD_MAX_BYTES: usize = 32 * 1_024;
const HEADERS_MAX: usize = 100;
/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two probes of a caller. One that takes nothing of its answer for two of them is disconnected.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Limits of a listener's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time within which a caller must send the head of a request.
    pub head_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { head_timeout: DEFAULT_HEAD_TIMEOUT }
    }
}

/// A running listener.
pub struct Server {
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves a router on a bound listener, over TLS if there is a certificate.
    pub(super) fn spawn(
        listener: TcpListener,
        port: Arc<Port>,
        router: Router,
        context: &Context,
        limits: Limits,
        tls: Option<Certificates>,
    ) -> Server {
        let stop = CancellationToken::new();
        let (journal, memory) = (Arc::clone(&context.journal), Arc::clone(&context.memory));
        let service = Service::new(router);
        let acceptor = Acceptor { port, service, journal, memory, limits, tls };
        let task = tokio::spawn(acceptor.run(listener, stop.clone()));
        Server { stop, task }
    }

    /// Stops accepting, waits for running requests, and aborts them after `limit`.
    pub async fn stop(self, limit: Duration) {
        self.stop.cancel();
        let mut task = self.task;
        if time::timeout(limit, &mut task).await.is_err() {
            task.abort();
        }
    }
}

struct Acceptor {
    port: Arc<Port>,
    service: Service,
    journal: Arc<Journal>,
    memory: Arc<Budget>,
    limits: Limits,
    tls: Option<Certificates>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener, stop: CancellationToken) {
        if let Err(error) = socket::bound_new_connections(&listener) {
            self.journal.note(Event::ReceiveBufferLarge, &[("error", &error)]);
        }
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                () = stop.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let note = |event, fields: &[Field<'_>]| self.journal.note(event, fields);
                        let Some(slot) = self.port.admit(note).await else { continue };
                        match bounded(stream) {
                            Ok(stream) => {
                                connections.spawn(self.connection(stream, slot, stop.clone()));
                            }
                            Err(error) => {
                                self.journal.note(Event::AcceptFailed, &[("reason", &error)]);
                            }
                        }
                    }
                    Err(error) => {
                        self.journal.note(Event::AcceptFailed, &[("reason", &error)]);
                        time::sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    fn connection(
        &self,
        stream: socket::Stream,
        slot: Arc<Slot>,
        stop: CancellationToken,
    ) -> impl Future<Output = ()> + Send + 'static {
        let socket = stream.socket();
        let (local, remote) = (socket.local_addr(), socket.peer_addr());
        let receiver = Receiver::new(Arc::clone(socket), Arc::clone(&self.memory));
        let in_flight = InFlight::default();
        let handler = self.service.hyper_handler(
            local.map_or(salvo::conn::SocketAddr::Unknown, Into::into),
            remote.map_or(salvo::conn::SocketAddr::Unknown, Into::into),
            if self.tls.is_some() { Scheme::HTTPS } else { Scheme::HTTP },
            None,
            ConnCtrl::new(),
            None,
        );
        let service = service::service_fn({
            let (in_flight, slot) = (in_flight.clone(), Arc::clone(&slot));
            move |mut request: Request<Incoming>| {
                let handling = Handling::new(&slot, &receiver);
                let guard = in_flight.enter(handling.clone());
                request.extensions_mut().insert(handling);
                let answer = handler.call(request);
                async move {
                    let answer: Response<ResBody> = answer.await?;
                    Ok::<_, hyper::Error>(answer.map(|body| guard.attach(body)))
                }
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .max_buf_size(HEAD_MAX_BYTES)
            .max_headers(HEADERS_MAX)
            .header_read_timeout(self.limits.head_timeout)
            .half_close(false);
        let journal = Arc::clone(&self.journal);
        let (tls, head_timeout) = (self.tls.clone(), self.limits.head_timeout);
        async move {
            let stream = match tls {
                None => Either::Left(stream),
                Some(tls) => tokio::select! {
                    accepted = time::timeout(head_timeout, tls.accept(stream)) => match accepted {
                        Ok(Ok(stream)) => Either::Right(stream),
                        Ok(Err(_)) | Err(_) => return,
                    },
                    () = slot.closing() => return,
                },
            };
            let stream = Rewriter::new(stream, in_flight, Arc::clone(&journal));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let mut connection = pin!(connection);
            let result = tokio::select! {
                result = connection.as_mut() => result,
                () = slot.closing() => return,
                () = stop.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = result {
                log_end(&journal, &error);
            }
        }
    }
}

/// Bounds what the kernel holds for a connection, and for how long.
fn bounded(stream: TcpStream) -> io::Result<socket::Stream> {
    socket::configure_with(&stream, PROBE_INTERVAL)?;
    socket::Stream::new(Arc::new(stream))
}

/// Whether a request is being handled, shared by its handler and the body of its answer.
#[derive(Clone, Debug)]
pub(super) struct Handling {
    slot: Arc<Slot>,
    receiver: Arc<Receiver>,
    busy: Arc<Mutex<Option<Busy>>>,
}

impl Handling {
    fn new(slot: &Arc<Slot>, receiver: &Arc<Receiver>) -> Handling {
        let (slot, receiver) = (Arc::clone(slot), Arc::clone(receiver));
        Handling { slot, receiver, busy: Arc::default() }
    }

    /// Opens the receive window for the body of the request.
    pub(super) fn window(&self) -> Window {
        self.receiver.open()
    }

    /// Keeps the connection open until the answer has been sent; returns false if it is closed already to make room for
    /// another.
    pub(super) fn begin(&self) -> bool {
        let busy = self.slot.begin();
        let has_begun = busy.is_some();
        *self.busy.lock().expect("no holder of the lock panics") = busy;
        has_begun
    }

    fn end(&self) {
        self.busy.lock().expect("no holder of the lock panics").take();
    }
}

/// Logs a connection that ended before a complete request was received.
fn log_end(journal: &Journal, error: &hyper::Error) {
    let event = if error.is_timeout() {
        Event::SenderSlow
    } else if error.is_incomplete_message() {
        Event::HeadBroken
    } else {
        // The `Rewriter` logs parse errors when it writes their refusals. A write error concerns an
        // answer, which is logged as abandoned or broken when its body is dropped.
        return;
    };
    journal.note(event, &[("reason", error)]);
}
