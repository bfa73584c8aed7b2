/*!
Receive windows of connections on which bodies arrive.

A connection has a small receive buffer, which would slow a large body down. While a body arrives the buffer grows with
it, out of the budget of bytes of callers.
*/

use std::{
    io,
    mem::MaybeUninit,
    sync::{Arc, Mutex, MutexGuard},
};

use {
    socket2::SockRef,
    tokio::net::TcpStream,
    toucanhoist_core::memory::{Budget, Share},
    toucanhoist_store::socket::RECEIVE_BYTES,
};

/// Largest receive buffer; Linux grants no more by default.
const WINDOW_BYTES_MAX: usize = 256 * 1_024;
/// Factor by which the kernel may exceed the size of a buffer, as it counts its own data too.
const KERNEL_FACTOR: usize = 2;
/// Factor by which a buffer grows each time.
const GROWTH: usize = 4;

/// The receive buffer of a connection.
#[derive(Debug)]
pub struct Receiver {
    socket: Arc<TcpStream>,
    memory: Arc<Budget>,
    /// Memory of what has arrived behind a body and not been read since.
    kept: Mutex<Option<Share>>,
}

impl Receiver {
    /// Creates the receiver of a connection with a receive buffer of the first size.
    pub fn new(socket: Arc<TcpStream>, memory: Arc<Budget>) -> Arc<Receiver> {
        Arc::new(Receiver { socket, memory, kept: Mutex::default() })
    }

    /// Opens a window for a body.
    pub fn open(self: &Arc<Receiver>) -> Window {
        Window { receiver: Arc::clone(self), bytes: RECEIVE_BYTES, share: self.kept().take() }
    }

    fn resize(&self, bytes: usize) -> io::Result<()> {
        SockRef::from(&*self.socket).set_recv_buffer_size(bytes)
    }

    /// Whether the kernel holds more than a buffer of the first size can.
    fn is_filled(&self) -> bool {
        let mut buffer = [MaybeUninit::uninit(); RECEIVE_BYTES * KERNEL_FACTOR];
        // Nothing can be read of a connection that has failed.
        let peeked = SockRef::from(&*self.socket).peek(&mut buffer);
        peeked.is_ok_and(|length| length == buffer.len())
    }

    fn kept(&self) -> MutexGuard<'_, Option<Share>> {
        self.kept.lock().expect("no holder of the lock panics")
    }
}

/// A receive buffer that grows with a body, and has its first size again when this is dropped.
#[derive(Debug)]
pub struct Window {
    receiver: Arc<Receiver>,
    bytes: usize,
    share: Option<Share>,
}

impl Window {
    /// Grows the buffer when as many bytes of the body as it has have been received, as far as the budget has room.
    pub fn grow(&mut self, received: usize) {
        if received < self.bytes || self.bytes >= WINDOW_BYTES_MAX {
            return;
        }
        let bytes = (self.bytes * GROWTH).min(WINDOW_BYTES_MAX);
        // Without room, the body goes on to arrive at the speed that it has.
        let Some(share) = self.receiver.memory.take(bytes * KERNEL_FACTOR) else { return };
        if self.receiver.resize(bytes).is_ok() {
            (self.bytes, self.share) = (bytes, Some(share));
        }
    }
}

impl Drop for Window {
    fn drop(&mut self) {
        let Some(share) = self.share.take() else { return };
        if self.receiver.resize(RECEIVE_BYTES).is_err() || self.receiver.is_filled() {
            *self.receiver.kept() = Some(share);
        }
    }
}
