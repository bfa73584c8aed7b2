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
    /// Hands on new entries.
    Push {
        /// The entries, in order.
        entries: Vec<Arc<Entry>>,
        /// How far they go.
        reach: Reach,
    },
    /// Asks for what follows a revision.
    Pull {
        /// The revision.
        have: id::Revision,
    },
    /// Answers a pull.
    Entries {
        /// The entries, in order.
        entries: Vec<Arc<Entry>>,
    },
    /// Answers a pull from too far back.
    Snapshot {
        /// The whole configuration.
        snapshot: Box<Snapshot>,
    },
}

/// How far a push goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reach {
    /// To every data centre, along the tree from a data centre.
    Everywhere {
        /// Root of the tree.
        root: id::DataCentre,
        /// Steps so far.
        hops: u32,
    },
    /// To every host of the data centre, along the tree from a host.
    DataCentre {
        /// Root of the tree.
        root: id::EntryHost,
    },
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Address for other entry hosts of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// What a [`Follower`] did with a message.
#[derive(Clone, Debug, Default, PartialEq)]
#[must_use]
pub struct Step {
    /// Messages to be sent.
    pub outgoing: Vec<Envelope>,
    /// Whether a new revision is in force.
    pub is_new: bool,
    /// Entries that contradict the history; there should never be any.
    pub contradictions: u32,
}

/// Keeps one host's configuration up to date.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    replica: Replica,
    pulled: Option<Time>,
}

impl Follower {
    /// Returns the configuration.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Takes a snapshot, and returns whether it was ahead.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        self.replica.install(snapshot)
    }

    /// Takes a change that the platform accepted from this host, and tells everyone.
    pub fn publish(&mut self, view: &View, me: &Member, entry: Arc<Entry>) -> Step {
        let mut step = self.take(&[Arc::clone(&entry)]);
        let root = me.data_centre.clone();
        step.outgoing.extend(everywhere(view, me, &[entry], &root, 0));
        if step.is_new {
            step.outgoing.extend(self.local(view, me, &me.name));
        }
        step
    }

    /// Takes entries that were read from the platform's table, and tells the data centre.
    pub fn apply_entries(&mut self, view: &View, me: &Member, entries: &[Arc<Entry>]) -> Step {
        let before = self.replica.revision();
        let mut step = self.take(entries);
        if step.is_new {
            step.outgoing.extend(self.hand_on(view, me, &me.name, before));
        }
        step
    }

    /// Takes the revision that another host has, and asks for what is missing.
    pub fn pull_if_behind(
        &mut self,
        now: Time,
        from: SocketAddr,
        revision: id::Revision,
    ) -> Option<Envelope> {
        let waits = self.pulled.is_some_and(|pulled| now.since(pulled) < PULL_INTERVAL);
        if revision <= self.replica.revision() || waits {
            return None;
        }
        self.pulled = Some(now);
        Some(self.pull(from))
    }

    /// Takes a message of another host.
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
                let mut step = self.take(&entries);
                if self.lacks(&entries) {
                    step.outgoing.push(self.pull(from));
                }
                match reach {
                    Reach::Everywhere { root, hops } => {
                        if hops < HOPS_MAX {
                            step.outgoing.extend(everywhere(view, me, &entries, &root, hops + 1));
                        }
                        if step.is_new {
                            step.outgoing.extend(self.hand_on(view, me, &me.name, before));
                        }
                    }
                    Reach::DataCentre { root } if step.is_new => {
                        step.outgoing.extend(self.hand_on(view, me, &root, before));
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

    fn take(&mut self, entries: &[Arc<Entry>]) -> Step {
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

    fn lacks(&self, entries: &[Arc<Entry>]) -> bool {
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

    fn local(&self, view: &View, me: &Member, root: &id::EntryHost) -> Vec<Envelope> {
        let last = self.replica.last().cloned().into_iter().collect();
        local(view, me, root, last)
    }

    /// Hands on what came after `before` inside the data centre.
    fn hand_on(
        &self,
        view: &View,
        me: &Member,
        root: &id::EntryHost,
        before: id::Revision,
    ) -> Vec<Envelope> {
        match self.replica.since(before) {
            Some(entries) => local(view, me, root, entries),
            None => self.local(view, me, root),
        }
    }
}

fn local(
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

fn everywhere(
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
