/*!
The callers' listener.

[`serve`] accepts connections; [`request`] carries one request from its head to its answer, through
[`attempt`]s at targets. [`ahead`] begins requests that are sent behind another. Refusals are made in
[`answer`].
*/

use std::{convert::Infallible, sync::Arc, time::Duration};

use {
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinSet,
        time,
    },
    toucanhoist_core::{event::Event, steering::Limits},
    toucanhoist_store::socket,
};

use crate::{
    clock::Clock, dialect::Dialect, fleet, journal::Journal, server, settings::Settings, steer,
    target,
};

mod ahead;
mod answer;
mod attempt;
mod request;

/// Time beyond the idle time of the configuration in which a connection is kept.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Interval at which a host that closes looks whether what has begun is answered.
const BEGUN_INTERVAL: Duration = Duration::from_millis(20);

/// What the requests of a host share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the host.
    pub settings: Arc<Settings>,
    /// Names on the wire.
    pub dialect: Arc<Dialect>,
    /// Routes and members.
    pub fleet: fleet::Handle,
    /// Decisions.
    pub steer: steer::Handle,
    /// Connections to targets.
    pub targets: target::Pool,
    /// Clock.
    pub clock: Clock,
    /// Log.
    pub journal: Arc<Journal>,
    /// How far the host has shut down.
    pub phase: watch::Receiver<Phase>,
}

impl Shared {
    /// Returns the limits on what callers send.
    fn limits(&self) -> Limits {
        self.fleet.routes().map_or_else(Limits::default, |routes| routes.config().limits)
    }
}

/// How far a host has shut down.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It serves, and tells callers on open connections to go elsewhere.
    Leaving,
    /// It takes no new connections and closes those that are idle.
    Closing,
}

/// Serves callers until the host closes, and then until all connections have ended.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let mut phase = shared.phase.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream, Arc::clone(&shared)));
                }
                Err(error) => {
                    shared.journal.note(Event::AcceptFailed, &[("error", &error)]);
                    time::sleep(server::ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = closed(&mut phase) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection(stream: TcpStream, shared: Arc<Shared>) {
    if let Err(error) = socket::configure(&stream) {
        shared.journal.note(Event::AcceptFailed, &[("error", &error)]);
        return;
    }
    let limits = shared.limits();
    let mut phase = shared.phase.clone();
    let ahead = request::look_ahead(&shared);
    let socket = Arc::new(stream);
    let stream = ahead::Stream::new(Arc::clone(&socket), Arc::clone(&ahead));
    let service = service_fn(|request| {
        let (shared, ahead) = (Arc::clone(&shared), Arc::clone(&ahead));
        async move { Ok::<_, Infallible>(request::handle(&shared, &ahead, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.header_time) + IDLE_MARGIN);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // A caller that goes away has nothing more to be told.
        _ = connection.as_mut() => return,
        () = ahead::caller_left(&socket, &ahead) => return,
        // What has begun is answered before the connection closes.
        () = closing(&mut phase, &ahead) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Waits until the host closes.
async fn closed(phase: &mut watch::Receiver<Phase>) {
    // A host that is gone is closed.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// Waits until the host closes, and no request of a connection has begun that waits for its turn.
async fn closing(phase: &mut watch::Receiver<Phase>, ahead: &ahead::Ahead) {
    closed(phase).await;
    while ahead.has_begun() {
        time::sleep(BEGUN_INTERVAL).await;
    }
}
