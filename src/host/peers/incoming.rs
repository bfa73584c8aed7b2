//! Connections of other entry hosts, within the limit of their port.
//!
//! When the port is full, the connection is closed that has been quiet longest among those that have not shown the
//! fleet's secret. One that has may carry requests that run at targets.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
};

use {
    futures_util::{Stream, stream},
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::futures::OwnedNotified,
    },
    tonic::transport::server::Connected,
    toucanhoist_core::event::Event,
    toucanhoist_edge::connections::{Busy, Port, Slot},
    toucanhoist_store::socket,
};

use crate::journal::Journal;

/// Time between two probes of a host. One that is gone, or takes nothing of what it is sent for two of them, is
/// disconnected.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the connections that a port admits.
pub(super) fn connections(
    listener: TcpListener,
    port: Arc<Port>,
    journal: Arc<Journal>,
) -> impl Stream<Item = io::Result<Connection>> {
    stream::unfold((listener, port, journal), |(listener, port, journal)| async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => return Some((Err(error), (listener, port, journal))),
            };
            let slot = port.admit(|event, fields| journal.note(event, fields)).await;
            let Some(slot) = slot else { continue };
            if let Err(error) = socket::configure_with(&stream, PROBE_INTERVAL) {
                journal.note(Event::AcceptFailed, &[("reason", &error)]);
                continue;
            }
            return Some((Ok(Connection::new(stream, slot)), (listener, port, journal)));
        }
    })
}

/// Who is at the other end of a connection, which its calls share.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    slot: Arc<Slot>,
    /// Keeps the connection of a host open; `None` until it has shown the secret.
    kept: Arc<Mutex<Option<Busy>>>,
}

impl Peer {
    /// Keeps the connection of a host that has shown the secret; returns false if it is being closed already.
    pub(super) fn keep(&self) -> bool {
        let mut kept = self.kept.lock().expect("no holder of the lock panics");
        if kept.is_none() {
            *kept = self.slot.begin();
        }
        kept.is_some()
    }
}

/// A connection of another host.
pub(super) struct Connection {
    stream: TcpStream,
    peer: Peer,
    closing: Pin<Box<OwnedNotified>>,
}

impl Connection {
    fn new(stream: TcpStream, slot: Arc<Slot>) -> Connection {
        let closing = Box::pin(slot.closing_owned());
        Connection { stream, peer: Peer { slot, kept: Arc::default() }, closing }
    }
}

impl Connected for Connection {
    type ConnectInfo = Peer;

    fn connect_info(&self) -> Peer {
        self.peer.clone()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.closing.as_mut().poll(context).is_ready() {
            let error = io::Error::new(io::ErrorKind::ConnectionAborted, "the port is full");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        if buffer.filled().len() > before {
            self.peer.slot.renew();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, content)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        contents: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, contents)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
