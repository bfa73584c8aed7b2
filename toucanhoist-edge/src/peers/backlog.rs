//! Queue of datagrams that the socket has not accepted yet.
//!
//! A change is sent to all hosts of the region at once, which exceeds the send buffer of a socket of the usual
//! size. The datagrams that do not fit wait here in order, since a receiver that gets changes out of order
//! has a gap in its history.

use std::{collections::VecDeque, io, net::SocketAddr};

use bytes::Bytes;

/// Limit of the queue: what a link of 10 Mbit/s carries in a second; older datagrams are outdated.
const QUEUE_BYTES_MAX: usize = 1_250_000;

/// A bounded first-in, first-out queue of datagrams.
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: VecDeque<(SocketAddr, Bytes)>,
    bytes: usize,
}

impl Backlog {
    /// Appends a datagram; returns whether there was room.
    pub fn push(&mut self, to: SocketAddr, datagram: Bytes) -> bool {
        let has_room = self.bytes + datagram.len() <= QUEUE_BYTES_MAX;
        if has_room {
            self.bytes += datagram.len();
            self.waiting.push_back((to, datagram));
        }
        has_room
    }

    /// Sends datagrams until `send` would block; returns how many failed with another error and are lost.
    pub fn drain(&mut self, send: impl Fn(&[u8], SocketAddr) -> io::Result<usize>) -> u64 {
        let mut failed = 0;
        while let Some((to, datagram)) = self.waiting.front() {
            match send(datagram, *to) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => failed += 1,
                Ok(_) => {}
            }
            self.bytes -= datagram.len();
            self.waiting.pop_front();
        }
        failed
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
