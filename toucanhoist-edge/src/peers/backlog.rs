//! Datagrams that wait until the socket takes them.
//!
//! A change is told to all hosts of the region at once, which is more than a socket of usual size takes. What
//! does not fit waits here, in order, since a change that overtakes another leaves a gap at its receivers.

use std::{collections::VecDeque, io, net::SocketAddr};

use bytes::Bytes;

/// Bytes that wait at most: a second of a link of 10 Mbit/s; older news is not worth sending.
const WAITING_BYTES: usize = 1_250_000;

/// Datagrams in the order in which they are sent.
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: VecDeque<(SocketAddr, Bytes)>,
    bytes: usize,
}

impl Backlog {
    /// Adds a datagram; returns whether there was room.
    pub fn push(&mut self, to: SocketAddr, datagram: Bytes) -> bool {
        let has_room = self.bytes + datagram.len() <= WAITING_BYTES;
        if has_room {
            self.bytes += datagram.len();
            self.waiting.push_back((to, datagram));
        }
        has_room
    }

    /// Sends what `send` takes without blocking; returns how many it refused for good.
    pub fn drain(&mut self, send: impl Fn(&[u8], SocketAddr) -> io::Result<usize>) -> u64 {
        let mut refused = 0;
        while let Some((to, datagram)) = self.waiting.front() {
            match send(datagram, *to) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => refused += 1,
                Ok(_) => {}
            }
            self.bytes -= datagram.len();
            self.waiting.pop_front();
        }
        refused
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
