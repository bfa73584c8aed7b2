//! Connections of other entry hosts, within the limit of their port.
//!
//! Hosts send each other messages all the time, so the connection that has been quiet longest is the one that is closed
//! when the port is full.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use {
    futures_util::{Stream, stream},
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::futures::OwnedNotified,
    },
    tonic::transport::server::{Connected, TcpConnectInfo},
    toucanhoist_edge::connections::{Port, Slot},
};

use crate::journal::Journal;

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
            if let Some(slot) = slot {
                return Some((Ok(Connection::new(stream, slot)), (listener, port, journal)));
            }
        }
    })
}

/// A connection of another host.
pub(super) struct Connection {
    stream: TcpStream,
    slot: Arc<Slot>,
    closing: Pin<Box<OwnedNotified>>,
}

impl Connection {
    fn new(stream: TcpStream, slot: Arc<Slot>) -> Connection {
        let closing = Box::pin(slot.closing_owned());
        Connection { stream, slot, closing }
    }
}

impl Connected for Connection {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
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
            self.slot.renew();
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
