use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Entry, Outcome, Replica, Snapshot, tree};
use crate::{
    clock::Time,
    id,
    membership::{Member, View},
};

const PULL_INTERVAL: Duration = Duration::from_millis(500);
const HOPS_MAX: u32 = 16;

/// A message between the followers of two hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Forwards new entries.
    Push {
        /// The entries, in order.
        entries: Vec<Arc<Entry>>,
        /// Hosts to which they are forwarded.
        reach: Reach,
    },
    /// Asks for the entries after a revision.
    Pull {
        /// The revision that the sender has.
        have: id::Revision,
    },
    /// Answers a pull.
    Entries {
        /// The entries, in order.
        entries: Vec<Arc<Entry>>,
    },
    /// Answers a pull whose entries are no longer in memory.
    Snapshot {
        /// The whole configuration.
        snapshot: Box<Snapshot>,
    },
}

/// Hosts that a push is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Every data centre, along the tree over the data centres.
    Everywhere {
        /// Root of the tree.
        root: id::DataCentre,
        /// Steps so far.
        hops: u32,
    },
    /// Every host of the receiver's data centre, along the tree over its hosts.
    DataCentre {
        /// Root of the tree.
        root: id::EntryHost,
    },
}

/// A message with the address of its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Receiver's address for other entry hosts.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Result of a change or a message that a [`Follower`] has processed.
#[derive(Clone, Debug, Default, PartialEq)]
#[must_use]
pub struct Step {
    /// Messages to send.
    pub outgoing: Vec<Envelope>,
    /// Whether a new revision is in force.
    pub is_new: bool,
    /// Number of entries that contradict the history; always 0 unless an invariant is violated.
    pub contradictions: u32,
}

/// Keeps one host's configuration up to date.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    replica: Replica,
    pulled_at: Option<Time>,
}

impl Follower {
    /// Returns the host's replica of the configuration.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Installs a snapshot if it is ahead, and returns whether it was.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        self.replica.install(snapshot)
    }

    /// Applies a change that the platform accepted from this host, and pushes it to all hosts.
    pub fn publish(&mut self, view: &View, me: &Member, entry: Arc<Entry>) -> Step {
        let mut step = self.apply(&[Arc::clone(&entry)]);
        let root = me.data_centre.clone();
        step.outgoing.extend(push_everywhere(view, me, &[entry], &root, 0));
        if step.is_new {
            step.outgoing.extend(self.push_last(view, me, &me.name));
        }
        step
    }

    /// Applies entries read from the platform's table or pulled from another host, and pushes them
    /// to the hosts of the data centre.
    pub fn apply_entries(&mut self, view: &View, me: &Member, entries: &[Arc<Entry>]) -> Step {
        let before = self.replica.revision();
        let mut step = self.apply(entries);
        if step.is_new {
            step.outgoing.extend(self.push_since(view, me, &me.name, before));
        }
        step
    }

    /// Returns a pull to send to another host if its revision is ahead, unless a pull was sent
    /// recently.
    pub fn pull_if_behind(
        &mut self,
        now: Time,
        from: SocketAddr,
        revision: id::Revision,
    ) -> Option<Envelope> {
        let has_pulled = self.pulled_at.is_some_and(|pulled| now.since(pulled) < PULL_INTERVAL);
        if revision <= self.replica.revision() || has_pulled {
            return None;
        }
        self.pulled_at = Some(now);
        Some(self.pull(from))
    }

    /// Processes a message from another host.
    pub fn receive(
        &mut self,
        view: &View,
        me: &Member,
        from: SocketAddr,
        message: Message,
    ) -> Step {
        let before = self.replica.revision();
        match message {
            Message::Push { entries, reach } => {
                let mut step = self.apply(&entries);
                if self.is_behind(&entries) {
                    step.outgoing.push(self.pull(from));
                }
                match reach {
                    Reach::Everywhere { root, hops } => {
                        if hops < HOPS_MAX {
                            step.outgoing.extend(push_everywhere(
                                view,
                                me,
                                &entries,
                                &root,
                                hops + 1,
                            ));
                        }
                        if step.is_new {
                            step.outgoing.extend(self.push_since(view, me, &me.name, before));
                        }
                    }
                    Reach::DataCentre { root } if step.is_new => {
                        step.outgoing.extend(self.push_since(view, me, &root, before));
                    }
                    Reach::DataCentre { .. } => {}
                }
                step
            }
            Message::Pull { have } => Step {
                outgoing: vec![Envelope { to: from, message: self.answer(have) }],
                ..Step::default()
            },
            Message::Entries { entries } => self.apply_entries(view, me, &entries),
            Message::Snapshot { snapshot } => {
                Step { is_new: self.replica.install(*snapshot), ..Step::default() }
            }
        }
    }

    fn apply(&mut self, entries: &[Arc<Entry>]) -> Step {
        let mut step = Step::default();
        for entry in entries {
            match self.replica.apply(Arc::clone(entry)) {
                Outcome::Applied => step.is_new = true,
                Outcome::Known | Outcome::Gap => {}
                Outcome::Contradiction => step.contradictions += 1,
            }
        }
        step
    }

    fn is_behind(&self, entries: &[Arc<Entry>]) -> bool {
        entries.last().is_some_and(|last| last.revision > self.replica.revision())
    }

    fn pull(&self, to: SocketAddr) -> Envelope {
        Envelope { to, message: Message::Pull { have: self.replica.revision() } }
    }

    fn answer(&self, have: id::Revision) -> Message {
        match self.replica.since(have) {
            Some(entries) => Message::Entries { entries },
            None => Message::Snapshot { snapshot: Box::new(Snapshot::of(&self.replica)) },
        }
    }

    /// Returns pushes of the last entry to the host's children in its data centre.
    fn push_last(&self, view: &View, me: &Member, root: &id::EntryHost) -> Vec<Envelope> {
        let last = self.replica.last().cloned().into_iter().collect();
        push_local(view, me, root, last)
    }

    /// Returns pushes of the entries after `before` to the host's children in its data centre.
    fn push_since(
        &self,
        view: &View,
        me: &Member,
        root: &id::EntryHost,
        before: id::Revision,
    ) -> Vec<Envelope> {
        match self.replica.since(before) {
            Some(entries) => push_local(view, me, root, entries),
            None => self.push_last(view, me, root),
        }
    }
}

/// Returns pushes of entries to the host's children in its data centre.
fn push_local(
    view: &View,
    me: &Member,
    root: &id::EntryHost,
    entries: Vec<Arc<Entry>>,
) -> Vec<Envelope> {
    if entries.is_empty() {
        return Vec::new();
    }
    let reach = Reach::DataCentre { root: root.clone() };
    let message = Message::Push { entries, reach };
    let children = tree::children(view, me, root).into_iter();
    children.map(|child| Envelope { to: child.peers, message: message.clone() }).collect()
}

/// Returns pushes of entries to the data centre's children in the tree over the data centres.
fn push_everywhere(
    view: &View,
    me: &Member,
    entries: &[Arc<Entry>],
    root: &id::DataCentre,
    hops: u32,
) -> Vec<Envelope> {
    let reach = Reach::Everywhere { root: root.clone(), hops };
    let message = Message::Push { entries: entries.to_vec(), reach };
    let children = tree::remote_children(view, &me.data_centre, root).into_iter();
    children.map(|child| Envelope { to: child.peers, message: message.clone() }).collect()
}
