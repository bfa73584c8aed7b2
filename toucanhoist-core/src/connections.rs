/*!
Order in which the connections of a full port are closed.

A connection waits while no whole request of it is being handled: it is new, its request is still arriving, or its last
one has been answered. When a port is full, the connection that has waited longest is closed for a new one. One
whose request is being handled is never closed, so no work is lost.
*/

use std::collections::BTreeMap;

/// Place of a connection among those that wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place(u64);

/// The connections of a port that wait, with what is needed to close each.
#[derive(Debug)]
pub struct Waiting<T> {
    next: u64,
    connections: BTreeMap<Place, T>,
}

impl<T> Default for Waiting<T> {
    fn default() -> Waiting<T> {
        Waiting { next: 0, connections: BTreeMap::new() }
    }
}

impl<T> Waiting<T> {
    /// Adds a connection that waits from now on.
    pub fn begin(&mut self, connection: T) -> Place {
        let place = Place(self.next);
        self.next += 1;
        self.connections.insert(place, connection);
        place
    }

    /// Removes a connection that no longer waits; `None` if it has been taken to be closed.
    pub fn end(&mut self, place: Place) -> Option<T> {
        self.connections.remove(&place)
    }

    /// Takes the connection that has waited longest; `None` if none waits.
    pub fn take_longest(&mut self) -> Option<T> {
        self.connections.pop_first().map(|(_, connection)| connection)
    }
}
