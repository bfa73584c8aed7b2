//! What hosts tell each other of the registry.
//!
//! Hosts that follow the store tell those of their region of each change, and how far they are. What a host has
//! missed it asks of a host that knows more.

use std::{collections::BTreeMap, net::SocketAddr};

use {
    tokio::sync::mpsc,
    toucanhoist_core::{
        clock::Time,
        event::Event,
        membership::Message,
        steering::{Changes, Entry, HEARTBEAT_INTERVAL, Key, Snapshot, Topic, Version},
    },
    toucanhoist_wire::steering::{self as wire, Reach, TopicVersion, packet},
};

use super::{Input, Task};
use crate::{packing, peers};

impl Task {
    /// Whether this host tells the others of its region what the store says.
    fn is_telling(&self, now: Time) -> bool {
        self.relay.is_active(now) && self.mirror.is_connected()
    }

    /// Tells how far this host is, if it follows the store and is in touch with it.
    pub(super) fn tell(&mut self, now: Time) {
        if now < self.told + HEARTBEAT_INTERVAL || !self.is_telling(now) {
            return;
        }
        let claims = self.mirror.registry().advertised_versions();
        if claims.len() < Topic::ALL.len() {
            return;
        }
        self.told = now;
        let word = |(topic, version): (Topic, Version)| TopicVersion {
            topic: topic.number(),
            version: Some(version.into()),
        };
        let versions = claims.into_iter().map(word).collect();
        self.parts.peers.send_all(self.relay.peers(), packet::Body::Reach(Reach { versions }));
    }

    pub(super) fn tell_changes(&self, now: Time, changes: &Changes) {
        if !self.is_telling(now) || changes.entries.is_empty() {
            return;
        }
        // What cannot be told is asked for, once the next word says that it is there.
        let Ok(packed) = packing::pack(&changes.entries) else { return };
        let Changes { topic, after, upto, .. } = *changes;
        let packet = wire::Changes {
            topic: topic.number(),
            after: Some(after.into()),
            upto: Some(upto.into()),
            packed: packed.into(),
        };
        self.parts.peers.send_all(self.relay.peers(), packet::Body::Changes(packet));
    }

    /// Takes in how far a watcher is.
    pub(super) fn reached(&mut self, now: Time, from: SocketAddr, reach: &Reach) {
        self.relay.record_heartbeat(now, from);
        self.mirror.record_watcher_heartbeat(now);
        let is_ahead = reach.versions.iter().any(|told| {
            let topic = Topic::from_number(told.topic);
            let version = Version::from(told.version.unwrap_or_default());
            topic.is_some_and(|topic| {
                self.mirror.registry().version(topic).is_none_or(|v| v < version)
            })
        });
        if is_ahead {
            self.catch_up.record_watcher_ahead(from);
            self.pull(now);
        }
    }

    /// Takes in changes that a watcher tells of.
    pub(super) fn changes(&mut self, now: Time, told: &wire::Changes) {
        let Some(topic) = Topic::from_number(told.topic) else { return };
        let Ok(entries) = packing::unpack::<Vec<(Key, Entry)>>(&told.packed) else {
            metrics::counter!("toucanhoist_datagrams_malformed_total").increment(1);
            return;
        };
        let (after, upto) = (told.after.unwrap_or_default(), told.upto.unwrap_or_default());
        let changes = Changes { topic, after: after.into(), upto: upto.into(), entries };
        let changed = self.mirror.apply_peer_changes(&changes);
        self.publish(now, &changed);
    }

    /// Compares what a host knows with what this one knows.
    pub(super) fn compare(&mut self, now: Time, message: &Message) {
        let from = &message.from;
        let version = Version::new(message.era.into(), message.revision.as_u64());
        self.mirror.record_peer_version(now, version);
        let is_near = self.relay.is_in_region(&from.data_centre);
        self.catch_up.record_peer_version(
            now,
            self.mirror.registry().complete_version(),
            from.peers,
            is_near,
            version,
        );
    }

    /// Asks another host for its snapshot, if the store has not brought what it knows.
    pub(super) fn pull(&mut self, now: Time) {
        let Some(from) = self.catch_up.poll(now, self.mirror.registry().complete_version()) else {
            return;
        };
        ask(self.queue.clone(), from, self.mirror.registry().versions().clone());
    }

    /// Takes in another host's snapshot, or that it did not give one.
    pub(super) fn answered_by(&mut self, now: Time, from: SocketAddr, snapshot: Option<Snapshot>) {
        let is_config = |(key, _): &(Key, Entry)| *key == Key::Config;
        let has_config =
            snapshot.as_ref().is_some_and(|snapshot| snapshot.entries.iter().any(is_config));
        // A host that does not answer is asked again when it next says that it knows more.
        if let Some(snapshot) = snapshot {
            self.merge(now, from, snapshot);
        }
        self.priming.record_answer(from, has_config);
        self.give_order(now);
    }

    fn merge(&mut self, now: Time, from: SocketAddr, snapshot: Snapshot) {
        let first = self.routes.borrow().is_none();
        let changed = self.mirror.merge(now, snapshot);
        if first && changed.contains(&Key::Config) {
            self.parts.journal.note(Event::ConfigurationFromPeers, &[("from", &from)]);
        }
        self.publish(now, &changed);
    }
}

/// Asks another host for what it knows beyond the `known` versions.
pub(super) fn ask(queue: mpsc::Sender<Input>, from: SocketAddr, known: BTreeMap<Topic, Version>) {
    tokio::spawn(async move {
        let snapshot = peers::newer(from, known).await.ok();
        // The task may have ended meanwhile.
        let _ = queue.send(Input::Snapshot(from, snapshot)).await;
    });
}
