use std::collections::{HashMap, VecDeque};

use crate::{clock::Time, id};

use super::{PlacementRequest, Ticket};

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) ask: PlacementRequest,
}

/// What became of a request that came to a full queue.
#[derive(Debug)]
pub(super) enum Pushed {
    /// It waits.
    Waits,
    /// It waits in place of a request of an account that had more than its part.
    Evicted(Box<Waiting>),
    /// It does not wait.
    Full(Box<Waiting>),
}

/// The bounded queue of one service: deficit round robin between client accounts, each in the order
/// of arrival. Requests of open routes are one more account.
#[derive(Debug, Default)]
pub(super) struct Queue {
    lines: HashMap<Option<id::Account>, Line>,
    turns: VecDeque<Option<id::Account>>,
    length: usize,
}

#[derive(Debug, Default)]
struct Line {
    waiting: VecDeque<Waiting>,
    deficit: u32,
    weight: u32,
}

impl Line {
    /// Returns the requests for each unit of weight, in thousandths.
    fn load(&self, more: usize) -> usize {
        (self.waiting.len() + more) * 1_000 / self.weight.max(1) as usize
    }
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    pub(super) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends a request unless `limit` requests wait already.
    ///
    /// A full queue gives up the newest request of the account with the most requests for its
    /// weight, so that one account cannot shut out the others.
    pub(super) fn push(&mut self, waiting: Waiting, limit: usize) -> Pushed {
        if self.length < limit {
            self.append(waiting);
            return Pushed::Waits;
        }
        let own = self.lines.get(&waiting.ask.account).map_or(0, |line| line.waiting.len());
        let own = (own + 1) * 1_000 / waiting.ask.weight.max(1) as usize;
        let longest = self.turns.iter().max_by_key(|&name| self.lines[name].load(0)).cloned();
        let longest = longest.filter(|name| self.lines[name].load(0) > own);
        match longest.and_then(|name| self.pop_newest(&name)) {
            Some(evicted) => {
                self.append(waiting);
                Pushed::Evicted(Box::new(evicted))
            }
            None => Pushed::Full(Box::new(waiting)),
        }
    }

    /// Removes the request whose turn it is.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let name = self.turns.front()?.clone();
        let line = self.lines.get_mut(&name)?;
        if line.deficit == 0 {
            line.deficit = line.weight.max(1);
        }
        let waiting = line.waiting.pop_front()?;
        line.deficit -= 1;
        self.length -= 1;
        if line.waiting.is_empty() {
            self.close(&name);
        } else if line.deficit == 0 {
            self.turns.rotate_left(1);
        }
        Some(waiting)
    }

    /// Removes a request by its ticket.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        self.take_first(|waiting| waiting.ticket == ticket)
    }

    /// Removes the oldest request of some account for which `wanted` holds.
    pub(super) fn take_first(&mut self, wanted: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let (name, at) = self.turns.iter().find_map(|name| {
            let at = self.lines[name].waiting.iter().position(&wanted)?;
            Some((name.clone(), at))
        })?;
        let line = self.lines.get_mut(&name)?;
        let waiting = line.waiting.remove(at)?;
        self.length -= 1;
        if line.waiting.is_empty() {
            self.close(&name);
        }
        Some(waiting)
    }

    /// Returns the oldest request of the first account in turn for which `wanted` holds.
    pub(super) fn first(&self, wanted: impl Fn(&Waiting) -> bool) -> Option<&Waiting> {
        self.turns.iter().find_map(|name| self.lines[name].waiting.iter().find(|&w| wanted(w)))
    }

    /// Removes a request whose deadline has come.
    pub(super) fn pop_expired(&mut self, now: Time) -> Option<Waiting> {
        self.take_first(|waiting| waiting.ask.deadline <= now)
    }

    /// Returns how many requests of each account wait.
    pub(super) fn accounts(&self) -> impl Iterator<Item = (&Option<id::Account>, usize)> {
        self.lines.iter().map(|(name, line)| (name, line.waiting.len()))
    }

    fn append(&mut self, waiting: Waiting) {
        let name = waiting.ask.account.clone();
        let line = self.lines.entry(name.clone()).or_default();
        line.weight = waiting.ask.weight;
        line.waiting.push_back(waiting);
        self.length += 1;
        if line.waiting.len() == 1 {
            self.turns.push_back(name);
        }
    }

    fn pop_newest(&mut self, name: &Option<id::Account>) -> Option<Waiting> {
        let line = self.lines.get_mut(name)?;
        let waiting = line.waiting.pop_back()?;
        self.length -= 1;
        if line.waiting.is_empty() {
            self.close(name);
        }
        Some(waiting)
    }

    fn close(&mut self, name: &Option<id::Account>) {
        self.lines.remove(name);
        self.turns.retain(|turn| turn != name);
    }
}
