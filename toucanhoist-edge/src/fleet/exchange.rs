//! What hosts tell each other of the registry.
//!
//! Hosts that follow the store tell those of their region of each change, and how far they are. What a host has
//! missed it asks of a host that knows more.

use std::net::SocketAddr;

use {
    toucanhoist_core::{
        clock::Time,
        event::Event,
        membership::Message,
        steering::{Changes, Entry, Key, Snapshot, Topic, WORD_INTERVAL},
    },
    toucanhoist_wire::steering::{self as wire, Reach, TopicVersion, packet},
};

use super::{Input, Task};
use crate::{packing, peers};

impl Task {
    /// Whether this host tells the others of its region what the store says.
    fn is_telling(&self, now: Time) -> bool {
        self.relay.is_active(now) && self.touch.is_whole()
    }

    /// Tells how far this host is, if it follows the store and is in touch with it.
    pub(super) fn tell(&mut self, now: Time) {
        if now < self.told + WORD_INTERVAL || !self.is_telling(now) {
            return;
        }
        let claims = self.registry.claims();
        if claims.len() < Topic::ALL.len() {
            return;
        }
        self.told = now;
        let word = |(topic, version): (Topic, u64)| TopicVersion { topic: topic.number(), version };
        let versions = claims.into_iter().map(word).collect();
        self.parts.peers.send_all(self.relay.neighbours(), packet::Body::Reach(Reach { versions }));
    }

    pub(super) fn tell_changes(&self, now: Time, changes: &Changes) {
        if !self.is_telling(now) || changes.entries.is_empty() {
            return;
        }
        // What cannot be told is asked for, once the next word says that it is there.
        let Ok(packed) = packing::pack(&changes.entries) else { return };
        let Changes { topic, after, upto, .. } = *changes;
        let packet = wire::Changes { topic: topic.number(), after, upto, packed: packed.into() };
        self.parts.peers.send_all(self.relay.neighbours(), packet::Body::Changes(packet));
    }

    /// Takes in how far a watcher is.
    pub(super) fn reached(&mut self, now: Time, from: SocketAddr, reach: &Reach) {
        self.relay.heard(now, from);
        self.touch.hear(now);
        let is_ahead = reach.versions.iter().any(|told| {
            let topic = Topic::of_number(told.topic);
            topic.is_some_and(|topic| self.registry.version(topic).is_none_or(|v| v < told.version))
        });
        if is_ahead {
            self.catch_up.hear_watcher(from);
            self.pull(now);
        }
    }

    /// Takes in changes that a watcher tells of.
    pub(super) fn changes(&mut self, now: Time, told: &wire::Changes) {
        let Some(topic) = Topic::of_number(told.topic) else { return };
        let Ok(entries) = packing::unpack::<Vec<(Key, Entry)>>(&told.packed) else {
            metrics::counter!("toucanhoist_datagrams_malformed_total").increment(1);
            return;
        };
        let changes = Changes { topic, after: told.after, upto: told.upto, entries };
        let changed = self.registry.hear(&changes);
        self.publish(now, &changed);
    }

    /// Compares what a host knows with what this one knows.
    pub(super) fn compare(&mut self, now: Time, message: &Message) {
        let (from, version) = (&message.from, message.revision.as_u64());
        self.touch.hear_version(now, version);
        let is_near = self.relay.is_near(&from.data_centre);
        self.catch_up.hear(now, self.registry.complete(), from.peers, is_near, version);
    }

    /// Asks another host for its snapshot, if the store has not brought what it knows.
    pub(super) fn pull(&mut self, now: Time) {
        let Some(from) = self.catch_up.ask(now, self.registry.complete()) else { return };
        let queue = self.queue.clone();
        let known = self.registry.versions().clone();
        tokio::spawn(async move {
            // A host that does not answer is asked again when it next says that it knows more.
            if let Ok(snapshot) = peers::newer(from, known).await {
                let _ = queue.send(Input::Snapshot(from, snapshot)).await;
            }
        });
    }

    pub(super) fn merge(&mut self, now: Time, from: SocketAddr, snapshot: Snapshot) {
        let first = self.routes.borrow().is_none();
        let entries = self.set_aside(now, snapshot.entries);
        let changed = self.registry.merge(Snapshot { entries, ..snapshot });
        if first && changed.contains(&Key::Config) {
            self.parts.journal.note(Event::ConfigurationFromPeers, &[("from", &from)]);
        }
        self.publish(now, &changed);
    }
}
