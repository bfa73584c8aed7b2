//! The queue of datagrams that a full socket does not accept at once.

use std::{cell::RefCell, io, net::SocketAddr};

use toucanhoist_edge::peers::Backlog;

/// A socket that accepts `room` datagrams before it would block, and fails for port 666.
#[derive(Default)]
struct Socket {
    room: RefCell<usize>,
    sent: RefCell<Vec<(u16, u8)>>,
}

impl Socket {
    fn send(&self, datagram: &[u8], to: SocketAddr) -> io::Result<usize> {
        let mut room = self.room.borrow_mut();
        if *room == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        *room -= 1;
        if to.port() == 666 {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        self.sent.borrow_mut().push((to.port(), datagram[0]));
        Ok(datagram.len())
    }
}

fn to(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

#[test]
fn queued_datagrams_are_sent_later_and_in_order() {
    let (mut backlog, socket) = (Backlog::default(), Socket::default());
    for port in 1..=26 {
        assert!(backlog.push(to(port), vec![7; 8_000].into()));
    }
    socket.room.replace(10);
    backlog.drain(|datagram, to| socket.send(datagram, to));
    assert_eq!(socket.sent.borrow().len(), 10);
    assert!(!backlog.is_empty());
    assert!(backlog.push(to(1), vec![8; 100].into()));
    socket.room.replace(100);
    assert_eq!(backlog.drain(|datagram, to| socket.send(datagram, to)), 0);
    let expected: Vec<(u16, u8)> = (1..=26).map(|port| (port, 7)).chain([(1, 8)]).collect();
    assert_eq!(*socket.sent.borrow(), expected);
    assert!(backlog.is_empty());
}

#[test]
fn a_failed_datagram_does_not_delay_others() {
    let (mut backlog, socket) = (Backlog::default(), Socket::default());
    socket.room.replace(100);
    for port in [1, 666, 2] {
        backlog.push(to(port), vec![1].into());
    }
    assert_eq!(backlog.drain(|datagram, to| socket.send(datagram, to)), 1);
    assert_eq!(*socket.sent.borrow(), [(1, 1), (2, 1)]);
}

#[test]
fn the_queue_is_bounded_while_the_socket_stays_full() {
    let (mut backlog, socket) = (Backlog::default(), Socket::default());
    let pushed = (0..1_000).filter(|_| backlog.push(to(1), vec![1; 50_000].into())).count();
    assert_eq!(pushed, 25);
    socket.room.replace(1);
    backlog.drain(|datagram, to| socket.send(datagram, to));
    assert!(backlog.push(to(1), vec![1; 50_000].into()), "there is room again");
}
