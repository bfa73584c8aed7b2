use std::collections::{HashMap, VecDeque};

use crate::{clock::Time, id};

use super::{PlacementRequest, Ticket};

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) request: PlacementRequest,
}

/// Result of adding a request to the queue.
#[derive(Debug)]
pub(super) enum Pushed {
    /// The request waits.
    Queued,
    /// The request waits in place of one of an account with more than its share.
    Evicted(Box<Waiting>),
    /// The queue is full, and the request does not wait.
    Full(Box<Waiting>),
}

/// The bounded queue of one service: deficit round robin between client accounts, first in, first
/// out within each. Requests on open routes count as one more account.
#[derive(Debug, Default)]
pub(super) struct Queue {
    queues: HashMap<Option<id::Account>, AccountQueue>,
    rotation: VecDeque<Option<id::Account>>,
    length: usize,
}

#[derive(Debug, Default)]
struct AccountQueue {
    waiting: VecDeque<Waiting>,
    deficit: u32,
    weight: u32,
}

impl AccountQueue {
    /// Returns the requests for each unit of weight, in thousandths, with `more` further requests.
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
    /// A full queue drops the newest request of the account with the most requests for its weight,
    /// so that one account cannot shut out the others.
    pub(super) fn push(&mut self, waiting: Waiting, limit: usize) -> Pushed {
        if self.length < limit {
            self.append(waiting);
            return Pushed::Queued;
        }
        let own = self.queues.get(&waiting.request.account).map_or(0, |queue| queue.waiting.len());
        let own = (own + 1) * 1_000 / waiting.request.weight.max(1) as usize;
        let longest = self.rotation.iter().max_by_key(|&name| self.queues[name].load(0)).cloned();
        let longest = longest.filter(|name| self.queues[name].load(0) > own);
        match longest.and_then(|name| self.pop_newest(&name)) {
            Some(evicted) => {
                self.append(waiting);
                Pushed::Evicted(Box::new(evicted))
            }
            None => Pushed::Full(Box::new(waiting)),
        }
    }

    /// Removes the next request in turn.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let name = self.rotation.front()?.clone();
        let queue = self.queues.get_mut(&name)?;
        if queue.deficit == 0 {
            queue.deficit = queue.weight.max(1);
        }
        let waiting = queue.waiting.pop_front()?;
        queue.deficit -= 1;
        self.length -= 1;
        if queue.waiting.is_empty() {
            self.remove_account(&name);
        } else if queue.deficit == 0 {
            self.rotation.rotate_left(1);
        }
        Some(waiting)
    }

    /// Removes a request by its ticket.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        self.take_first(|waiting| waiting.ticket == ticket)
    }

    /// Removes the oldest request of some account that satisfies `wanted`.
    pub(super) fn take_first(&mut self, wanted: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let (name, index) = self.rotation.iter().find_map(|name| {
            let index = self.queues[name].waiting.iter().position(&wanted)?;
            Some((name.clone(), index))
        })?;
        let queue = self.queues.get_mut(&name)?;
        let waiting = queue.waiting.remove(index)?;
        self.length -= 1;
        if queue.waiting.is_empty() {
            self.remove_account(&name);
        }
        Some(waiting)
    }

    /// Returns the oldest request that satisfies `wanted`, of the first account in turn that has
    /// one.
    pub(super) fn first(&self, wanted: impl Fn(&Waiting) -> bool) -> Option<&Waiting> {
        self.rotation.iter().find_map(|name| self.queues[name].waiting.iter().find(|&w| wanted(w)))
    }

    /// Removes a request whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now: Time) -> Option<Waiting> {
        self.take_first(|waiting| waiting.request.deadline <= now)
    }

    /// Returns the number of waiting requests of each account.
    pub(super) fn accounts(&self) -> impl Iterator<Item = (&Option<id::Account>, usize)> {
        self.queues.iter().map(|(name, queue)| (name, queue.waiting.len()))
    }

    fn append(&mut self, waiting: Waiting) {
        let name = waiting.request.account.clone();
        let queue = self.queues.entry(name.clone()).or_default();
        queue.weight = waiting.request.weight;
        queue.waiting.push_back(waiting);
        self.length += 1;
        if queue.waiting.len() == 1 {
            self.rotation.push_back(name);
        }
    }

    fn pop_newest(&mut self, name: &Option<id::Account>) -> Option<Waiting> {
        let queue = self.queues.get_mut(name)?;
        let waiting = queue.waiting.pop_back()?;
        self.length -= 1;
        if queue.waiting.is_empty() {
            self.remove_account(name);
        }
        Some(waiting)
    }

    fn remove_account(&mut self, name: &Option<id::Account>) {
        self.queues.remove(name);
        self.rotation.retain(|turn| turn != name);
    }
}
