/*!
The listener for callers.

[`serve`] accepts connections. [`request`] handles one request from its head to its answer, which
[`attempt`] gets from targets. [`pipeline`] starts pipelined requests early. [`answer`] builds answers
and refusals.
*/

use std::{convert::Infallible, sync::Arc, time::Duration};

use {
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::SockRef,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinSet,
        time,
    },
    toucanhoist_core::{event::Event, memory::Budget, steering::Limits},
    toucanhoist_store::socket,
};

use crate::{
    clock::Clock,
    connections::{Port, Slot},
    dialect::Dialect,
    fleet,
    journal::Journal,
    server,
    settings::Settings,
    steer, target,
    window::Receiver,
};

use self::request::HeadMemory;

mod answer;
mod attempt;
mod pipeline;
mod request;

/// Time for which a connection is kept beyond the configured idle time, and a head beyond the configured one.
const TIME_MARGIN: Duration = Duration::from_secs(1);
/// Bytes of a head beyond the configured limit, which may not count the request line.
const HEAD_MARGIN_BYTES: usize = 4 * 1_024;
/// Smallest buffer that the HTTP library accepts.
const BUFFER_BYTES_MIN: usize = 8 * 1_024;
/// Bytes of the shortest header field.
const FIELD_BYTES_MIN: usize = 4;
/// Fields that the HTTP library's map holds; it panics on more.
const FIELDS_MAX: usize = 24_576;

/// Interval between checks whether a connection has sent all early answers, so that it can close.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State that all requests of a host share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the host.
    pub settings: Arc<Settings>,
    /// Names of headers, paths and fields.
    pub dialect: Arc<Dialect>,
    /// Routes in force and cluster members.
    pub fleet: fleet::Handle,
    /// Admission, quarantine and the choice of targets.
    pub steer: steer::Handle,
    /// Connections to targets.
    pub targets: target::Pool,
    /// Memory for what callers send and are sent.
    pub memory: Arc<Budget>,
    /// Clock.
    pub clock: Clock,
    /// Log.
    pub journal: Arc<Journal>,
    /// Phase of the shutdown.
    pub phase: watch::Receiver<Phase>,
}

impl Shared {
    /// Returns the limits on what callers send.
    fn limits(&self) -> Limits {
        self.fleet.routes().map_or_else(Limits::default, |routes| routes.config().limits)
    }
}

/// Phase of a host's shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Serves requests.
    Serving,
    /// Serves requests, and closes each connection with its next answer so that callers use other hosts.
    Leaving,
    /// Accepts no connections and closes those that are idle.
    Closing,
}

/// Serves callers until the host closes, and then until all connections have ended.
pub async fn serve(listener: TcpListener, port: Arc<Port>, shared: Arc<Shared>) {
    server::bound_new_connections(&listener, &shared.journal);
    let mut phase = shared.phase.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let journal = &shared.journal;
                    let slot = port.admit(|event, fields| journal.note(event, fields)).await;
                    if let Some(slot) = slot {
                        connections.spawn(connection(stream, slot, Arc::clone(&shared)));
                    }
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

async fn connection(stream: TcpStream, slot: Arc<Slot>, shared: Arc<Shared>) {
    let socket = Arc::new(stream);
    let bounded =
        socket::configure(&socket).and_then(|()| socket::Stream::new(Arc::clone(&socket)));
    let stream = match bounded {
        Ok(stream) => stream,
        Err(error) => {
            shared.journal.note(Event::AcceptFailed, &[("error", &error)]);
            return;
        }
    };
    let limits = shared.limits();
    let mut phase = shared.phase.clone();
    let pipeline = request::pipeline(&shared, &slot);
    let receiver = Receiver::new(Arc::clone(&socket), Arc::clone(&shared.memory));
    let stream = pipeline::Stream::new(stream, Arc::clone(&pipeline));
    let service = service_fn(|mut request| {
        // Taken when the head has been read: the library may keep it for long before it polls the future.
        let memory = request::take_head_memory(&shared, &request);
        if matches!(memory, HeadMemory::Lacking) {
            request::shorten(&shared, &mut request);
        }
        let (shared, pipeline, slot) =
            (Arc::clone(&shared), Arc::clone(&pipeline), Arc::clone(&slot));
        let window = receiver.open();
        async move {
            let answer = request::handle(&shared, &pipeline, &slot, memory, window, request).await;
            Ok::<_, Infallible>(answer)
        }
    });
    let head_bytes = limits.header_bytes.saturating_add(HEAD_MARGIN_BYTES);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.max(limits.header_time) + TIME_MARGIN)
        .max_header_size(head_bytes)
        .max_headers((limits.header_bytes / FIELD_BYTES_MIN).min(FIELDS_MAX))
        .max_buf_size(head_bytes.max(BUFFER_BYTES_MIN));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // The connection has ended, so nobody is left to answer.
        _ = connection.as_mut() => return,
        () = pipeline::caller_disconnected(&socket, &pipeline) => return,
        () = pipeline.head_overdue(limits.header_time + TIME_MARGIN) => return,
        () = slot.closing() => return,
        () = pipeline.overdue().notified() => return reset(&socket),
        // Requests that have started are answered before the connection closes.
        () = closing(&mut phase, &pipeline) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection.as_mut() => {}
        () = pipeline.overdue().notified() => reset(&socket),
    }
}

/// Has a connection reset when it is closed, so that an answer of which the rest is missing does not look
/// complete, even to a caller that takes the end of the connection as its end.
fn reset(socket: &TcpStream) {
    // A connection that has already ended cannot be reset.
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Waits until the host closes.
async fn closed(phase: &mut watch::Receiver<Phase>) {
    // The sender is dropped only with the host, which is then closed.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// Waits until the host closes and the connection has no early answers left to send.
async fn closing(phase: &mut watch::Receiver<Phase>, pipeline: &pipeline::Pipeline) {
    closed(phase).await;
    while pipeline.has_early_answers() {
        time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
