/*!
Links between a listener on loopback and its clients, which can be cut.

A cut link drops all that arrives from an address, as a partition does: open connections fall silent, and new
ones are never established. Clients that connect from different loopback addresses are told apart.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::Ipv4Addr,
    os::fd::{AsFd, OwnedFd},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use {
    socket2::{SockFilter, SockRef},
    tokio::net::{TcpListener, TcpStream},
};

/// Instructions of a classic Berkeley Packet Filter, and offset of the source address in an IPv4 header.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;
/// Bytes of a packet that are kept.
const ALL_BYTES: u32 = u32::MAX;
/// Addresses that can be cut at the same time; a jump skips at most 255 instructions.
const CUT_MAX: usize = 200;

/// The links of one listener.
#[derive(Clone, Debug)]
pub struct Links {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    listener: OwnedFd,
    connections: BTreeMap<u64, OwnedFd>,
    next: u64,
    cut: BTreeSet<Ipv4Addr>,
}

impl Links {
    /// Creates the links of a listener, all of them whole.
    ///
    /// # Errors
    ///
    /// The system refuses a copy of the descriptor.
    pub fn new(listener: &TcpListener) -> io::Result<Links> {
        let listener = listener.as_fd().try_clone_to_owned()?;
        let state = State { listener, connections: BTreeMap::new(), next: 0, cut: BTreeSet::new() };
        Ok(Links { state: Arc::new(Mutex::new(state)) })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an accepted connection, until the guard is dropped.
    ///
    /// # Errors
    ///
    /// The system refuses a copy of the descriptor, or the filter.
    pub fn add(&self, connection: &TcpStream) -> io::Result<Link> {
        let mut state = self.state();
        let copy = connection.as_fd().try_clone_to_owned()?;
        set_filter(&copy, &state.cut)?;
        state.next += 1;
        let number = state.next;
        state.connections.insert(number, copy);
        Ok(Link { number, links: self.clone() })
    }

    /// Cuts the links from an address, or restores them.
    ///
    /// # Errors
    ///
    /// The system refuses the filter.
    ///
    /// # Panics
    ///
    /// More than 200 addresses are cut.
    pub fn set_cut(&self, from: Ipv4Addr, is_cut: bool) -> io::Result<()> {
        let mut state = self.state();
        if is_cut {
            state.cut.insert(from);
        } else {
            state.cut.remove(&from);
        }
        assert!(state.cut.len() <= CUT_MAX, "{} addresses are cut", state.cut.len());
        let State { listener, connections, cut, .. } = &*state;
        std::iter::once(listener).chain(connections.values()).try_for_each(|fd| set_filter(fd, cut))
    }
}

/// A connection that is cut with its link.
#[derive(Debug)]
pub struct Link {
    number: u64,
    links: Links,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.links.state().connections.remove(&self.number);
    }
}

/// Has a socket drop what arrives from some addresses.
fn set_filter(socket: &OwnedFd, sources: &BTreeSet<Ipv4Addr>) -> io::Result<()> {
    let socket = SockRef::from(socket);
    if sources.is_empty() {
        return match socket.detach_filter() {
            // It had no filter.
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        };
    }
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for (index, source) in sources.iter().enumerate() {
        let skip = u8::try_from(sources.len() - index).unwrap_or(u8::MAX);
        program.push(SockFilter::new(JUMP_IF_EQUAL, skip, 0, u32::from(*source)));
    }
    program.push(SockFilter::new(RETURN, 0, 0, ALL_BYTES));
    program.push(SockFilter::new(RETURN, 0, 0, 0));
    socket.attach_filter(&program)
}
