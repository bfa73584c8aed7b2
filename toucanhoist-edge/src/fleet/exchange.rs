//! Exchange of the registry between hosts.
//!
//! Watchers, the hosts that follow the store, broadcast each change to the hosts of their region, and send
//! heartbeats with the versions up to which they know the topics. A host requests what it has missed as a
//! snapshot from a host with newer versions.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use {
    rand::seq::IteratorRandom,
    tokio::sync::mpsc,
    toucanhoist_core::{
        clock::Time,
        event::Event,
        membership::{Member, Message, State},
        steering::{
            Changes, Entry, HEARTBEAT_INTERVAL, Key, Snapshot, Topic, Version, Way,
            builds::{self, DECODER},
        },
    },
    toucanhoist_wire::steering::{self as wire, Reach, TopicVersion, packet},
};

use super::{Input, Task};
use crate::{packing, peers};

/// Interval at which a host asks others for confirmations.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);

/// Size limit of changes that are unpacked from a datagram, which holds about a tenth of them.
const CHANGES_BYTES_MAX: u64 = 1 << 20;

impl Task {
    /// Sends a heartbeat if it is due, and this host follows the store and is connected to it.
    pub(super) fn send_heartbeat(&mut self, now: Time) {
        let is_connected = self.relay.is_active(now) && !self.mirror.is_unanswered(Topic::Targets);
        if now < self.last_heartbeat + HEARTBEAT_INTERVAL || !is_connected {
            return;
        }
        let versions = self.mirror.registry().advertised_versions();
        let Some(answered_at) = self.mirror.answered_at(Topic::Targets) else { return };
        if versions.len() < Topic::ALL.len() {
            return;
        }
        let age_ms = u32::try_from(now.since(answered_at).as_millis()).unwrap_or(u32::MAX);
        self.last_heartbeat = now;
        let encode = |(topic, version): (Topic, Version)| TopicVersion {
            topic: topic.number(),
            version: Some(version.into()),
            age_ms,
        };
        let versions = versions.into_iter().map(encode).collect();
        self.parts.peers.send_all(self.relay.peers(), packet::Body::Reach(Reach { versions }));
    }

    /// Broadcasts changes to the hosts of the region.
    pub(super) fn broadcast_changes(&self, now: Time, changes: &Changes) {
        if !self.relay.is_active(now) || changes.entries.is_empty() {
            return;
        }
        // Changes that cannot be packed are requested by other hosts after the next heartbeat.
        let (plain, further) = builds::split(changes.entries.clone());
        let (Ok(packed), Ok(further)) = (packing::pack(&plain), pack_further(&further)) else {
            return;
        };
        let Changes { topic, after, upto, .. } = *changes;
        let packet = wire::Changes {
            topic: topic.number(),
            after: Some(after.into()),
            upto: Some(upto.into()),
            packed: packed.into(),
            further: further.into(),
            decoder: DECODER,
        };
        self.parts.peers.send_all(self.relay.peers(), packet::Body::Changes(packet));
    }

    /// Handles the heartbeat of a watcher.
    pub(super) fn handle_heartbeat(&mut self, now: Time, from: SocketAddr, reach: &Reach) {
        let oldest = reach.versions.iter().map(|known| known.age_ms).max().unwrap_or_default();
        let answered_at = now - Duration::from_millis(oldest.into());
        self.relay.record_heartbeat(now, from, answered_at);
        self.mirror.record_watcher_heartbeat(answered_at);
        for known in &reach.versions {
            if let Some(topic) = Topic::from_number(known.topic) {
                let version = known.version.unwrap_or_default().into();
                self.mirror.confirm(topic, version, answered_at);
            }
        }
        self.relay.set_confirmed(self.mirror.confirmed_at(Topic::Targets));
        let is_ahead = reach.versions.iter().any(|known| {
            let topic = Topic::from_number(known.topic);
            let version = Version::from(known.version.unwrap_or_default());
            topic.is_some_and(|topic| {
                self.mirror.registry().version(topic).is_none_or(|v| v < version)
            })
        });
        if is_ahead {
            self.catch_up.record_watcher_ahead(from);
            self.request_missing(now);
        }
    }

    /// Applies changes that a watcher broadcasts.
    pub(super) fn handle_changes(&mut self, now: Time, packet: &wire::Changes) {
        let Some(topic) = Topic::from_number(packet.topic) else { return };
        let Ok(entries) = unpack_entries(packet) else {
            metrics::counter!("toucanhoist_datagrams_malformed_total").increment(1);
            return;
        };
        let (after, upto) = (packet.after.unwrap_or_default(), packet.upto.unwrap_or_default());
        let changes = Changes { topic, after: after.into(), upto: upto.into(), entries };
        let arrival = self.arrival(topic, Way::Broadcast);
        let changed = self.mirror.apply_changes_of(packet.decoder, changes);
        self.publish(now, &changed, arrival);
    }

    /// Compares another host's version of the registry with this host's.
    pub(super) fn compare_versions(&mut self, now: Time, message: &Message) {
        let from = &message.from;
        let version = Version::new(message.era.into(), message.revision.as_u64());
        self.mirror.record_peer_version(now, version);
        let is_in_region = self.relay.is_in_region(&from.data_centre);
        self.catch_up.record_peer_version(
            now,
            self.mirror.registry().complete_version(),
            from.peers,
            is_in_region,
            version,
        );
    }

    /// Requests another host's snapshot, if entries that it has are still missing here.
    pub(super) fn request_missing(&mut self, now: Time) {
        let Some(from) = self.catch_up.poll(now, self.mirror.registry().complete_version()) else {
            return;
        };
        self.request_newer(now, from);
    }

    fn request_newer(&self, now: Time, from: SocketAddr) {
        let known = self.mirror.registry().versions().clone();
        request_snapshot(self.queue.clone(), now, from, known);
    }

    /// Asks a host of another region what the store has confirmed to it, while the store confirms
    /// nothing here: it may have rejected all hosts of this region, or be away for all.
    pub(super) fn request_confirmation(&mut self, now: Time) {
        let is_due = now >= self.last_confirmation_request + CONFIRMATION_INTERVAL;
        if !is_due || !self.relay.is_active(now) || !self.mirror.needs_confirmation(now) {
            return;
        }
        self.last_confirmation_request = now;
        let view = self.detector.view(now);
        let is_remote = |member: &&Member| {
            member.state == State::Live && !self.relay.is_in_region(&member.data_centre)
        };
        let remote = view.members.iter().filter(is_remote).choose(&mut rand::rng());
        if let Some(host) = remote {
            self.request_newer(now, host.peers);
        }
    }

    /// Handles another host's snapshot, or the failure to get it.
    pub(super) fn handle_snapshot(
        &mut self,
        now: Time,
        from: SocketAddr,
        asked_at: Time,
        snapshot: Option<Snapshot>,
    ) {
        let is_config = |(key, _): &(Key, Entry)| *key == Key::Config;
        let has_config =
            snapshot.as_ref().is_some_and(|snapshot| snapshot.entries.iter().any(is_config));
        // After a failure, the next message with newer versions causes another request.
        if let Some(snapshot) = snapshot {
            self.merge_snapshot(now, from, asked_at, snapshot);
        }
        self.bootstrap.record_answer(from, has_config);
        self.publish_subscription(now);
    }

    fn merge_snapshot(&mut self, now: Time, from: SocketAddr, asked_at: Time, snapshot: Snapshot) {
        let is_first = self.routes.borrow().is_none();
        let arrival = self.arrival(Topic::Targets, Way::Snapshot);
        let changed = self.mirror.merge(now, asked_at, snapshot);
        if is_first && changed.contains(&Key::Config) {
            self.parts.journal.note(Event::ConfigurationFromPeers, &[("from", &from)]);
        }
        self.publish(now, &changed, arrival);
    }
}

/// Packs entries that earlier builds cannot decode; nothing if there are none.
fn pack_further(entries: &[(Key, Entry)]) -> io::Result<Vec<u8>> {
    if entries.is_empty() { Ok(Vec::new()) } else { packing::pack(&entries) }
}

fn unpack_entries(packet: &wire::Changes) -> io::Result<Vec<(Key, Entry)>> {
    let mut entries: Vec<(Key, Entry)> = packing::unpack(&packet.packed, CHANGES_BYTES_MAX)?;
    if !packet.further.is_empty() {
        let further: Vec<(Key, Entry)> = packing::unpack(&packet.further, CHANGES_BYTES_MAX)?;
        entries.extend(further);
    }
    Ok(entries)
}

/// Requests the entries that another host knows beyond the `known` versions.
pub(super) fn request_snapshot(
    queue: mpsc::Sender<Input>,
    now: Time,
    from: SocketAddr,
    known: BTreeMap<Topic, Version>,
) {
    tokio::spawn(async move {
        let snapshot = peers::fetch_snapshot(from, known).await.ok();
        // The task may have ended meanwhile.
        let _ = queue.send(Input::Snapshot(from, now, snapshot)).await;
    });
}
