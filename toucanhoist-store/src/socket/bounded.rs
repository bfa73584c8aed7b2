//! Accepted connections for which the kernel holds little.
//!
//! By default the kernel receives and keeps up to megabytes on each connection, whatever the process reads, and takes
//! as much of what the peer does not read. Here a connection begins with a small receive buffer, and the kernel takes
//! further bytes only while few are unsent.

use std::{
    io::{self, IoSlice},
    net::Shutdown,
    os::fd::AsFd,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use {
    nix::{
        poll::{PollFd, PollFlags, PollTimeout, poll},
        sys::socket::setsockopt,
    },
    socket2::SockRef,
    tokio::{
        io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
        net::{TcpListener, TcpStream},
    },
};

/// Receive buffer of a connection on which no body arrives. The kernel counts its own data too, up to twice as much.
pub const RECEIVE_BYTES: usize = 4 * 1_024;
/// Unsent bytes above which the kernel takes no more.
const UNSENT_BYTES: u32 = 4 * 1_024;
/// Bytes that are written between two checks of the unsent ones. The kernel by itself goes on to fill a segment, which
/// may have 64 KB.
const UNCHECKED_BYTES: usize = 8 * 1_024;
/// Option of a socket that says which buffer sizes are fixed.
const SO_BUF_LOCK: nix::libc::c_int = 72;

mod option {
    use nix::{libc, setsockopt_impl, sockopt_impl};

    sockopt_impl!(
        /// Buffer sizes that are fixed.
        BufferLock,
        SetOnly,
        libc::SOL_SOCKET,
        super::SO_BUF_LOCK,
        u32
    );
}

/// Has connections of a listener begin with a small receive buffer.
///
/// # Errors
///
/// The system refuses the option, which Linux has since 5.14. Connections then begin with the system's buffer.
pub fn bound_new_connections(listener: &TcpListener) -> io::Result<()> {
    let socket = SockRef::from(listener);
    // A size that is fixed would also limit how far the window can grow later.
    setsockopt(listener, option::BufferLock, &0)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    setsockopt(listener, option::BufferLock, &0)?;
    Ok(())
}

/// An accepted connection.
#[derive(Debug)]
pub struct Stream {
    stream: Arc<TcpStream>,
    /// Bytes that were written since the unsent ones were last checked.
    unchecked: usize,
}

impl Stream {
    /// Bounds what the kernel holds for a connection.
    ///
    /// # Errors
    ///
    /// The system refuses an option.
    pub fn new(stream: Arc<TcpStream>) -> io::Result<Stream> {
        let socket = SockRef::from(&*stream);
        socket.set_recv_buffer_size(RECEIVE_BYTES)?;
        socket.set_tcp_notsent_lowat(UNSENT_BYTES)?;
        Ok(Stream { stream, unchecked: 0 })
    }

    /// Returns the socket.
    pub fn socket(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Whether few enough bytes are unsent. If not, the connection becomes writable when that is so.
    fn may_write(&mut self, length: usize) -> bool {
        if self.unchecked + length > UNCHECKED_BYTES {
            let mut sockets = [PollFd::new(self.stream.as_fd(), PollFlags::POLLOUT)];
            // An error of the connection shows when it is written to.
            if poll(&mut sockets, PollTimeout::ZERO) == Ok(0) {
                return false;
            }
            self.unchecked = 0;
        }
        true
    }

    fn poll_write_with(
        &mut self,
        context: &mut Context<'_>,
        length: usize,
        write: impl Fn(&SockRef<'_>) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let stream = Arc::clone(&self.stream);
        loop {
            ready!(stream.poll_write_ready(context))?;
            let written = stream.try_io(Interest::WRITABLE, || match self.may_write(length) {
                true => write(&SockRef::from(&*stream)),
                false => Err(io::ErrorKind::WouldBlock.into()),
            });
            match written {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(written) => {
                    self.unchecked += written;
                    return Poll::Ready(Ok(written));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        let content = &content[..content.len().min(UNCHECKED_BYTES)];
        self.poll_write_with(context, content.len(), |socket| socket.send(content))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        contents: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = contents.iter().map(|content| content.len()).sum();
        if length > UNCHECKED_BYTES {
            let first = contents.iter().find(|content| !content.is_empty());
            return self.poll_write(context, first.map_or(&[], |first| first));
        }
        self.poll_write_with(context, length, |socket| socket.send_vectored(contents))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The kernel sends what was written; nothing is buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
