//! Handles notifications from the store.

use std::{collections::BTreeMap, net::SocketAddr};

use {
    rand::seq::IteratorRandom,
    toucanhoist_core::{
        clock::Time,
        event::Event,
        membership::State,
        steering::{Arrival, Topic, Update, Version, Way},
    },
};

use super::{Task, exchange};
use crate::store::{Batch, Error, Notification};

/// Number of hosts whose snapshots are requested after the store was restored from a backup.
const RESTORE_SNAPSHOTS: usize = 3;

impl Task {
    /// Handles a notification from the store.
    pub(super) fn handle_notification(&mut self, now: Time, notification: Notification) {
        let (topic, arrival, version, update) = match notification {
            Notification::All(topic, Batch { entries, version, unreadable }) => {
                self.log_unreadable(topic, &unreadable);
                let arrival = self.arrival(topic, Way::Store);
                (topic, arrival, version, self.mirror.apply_read(now, topic, version, entries))
            }
            Notification::Changed(topic, Batch { entries, version, unreadable }) => {
                self.log_unreadable(topic, &unreadable);
                let arrival = self.arrival(topic, Way::Store);
                (topic, arrival, version, self.mirror.apply_changes(now, topic, version, entries))
            }
            Notification::Failed(topic, error) => return self.handle_failure(now, topic, &error),
        };
        match update {
            Some(update) => self.handle_update(now, topic, arrival, version, update),
            None => self.parts.journal.note(
                Event::StoreAnswerOutdated,
                &[("topic", &topic.as_str()), ("version", &version)],
            ),
        }
    }

    fn log_unreadable(&self, topic: Topic, unreadable: &[(Box<str>, Box<str>)]) {
        for (name, reason) in unreadable {
            let topic = topic.as_str();
            self.parts.journal.note(
                Event::EntryUnreadable,
                &[("topic", &topic), ("entry", name), ("reason", reason)],
            );
        }
    }

    fn handle_update(
        &mut self,
        now: Time,
        topic: Topic,
        arrival: Arrival,
        version: Version,
        update: Update,
    ) {
        let Update { changed, broadcast, outage, restored } = update;
        let (name, journal) = (topic.as_str(), &self.parts.journal);
        if let Some(outage) = outage {
            let away_ms = outage.as_millis();
            journal.note(Event::PlatformUp, &[("topic", &name), ("away_ms", &away_ms)]);
        }
        if let Some(known) = restored {
            let fields =
                [("topic", &name as _), ("version", &version as _), ("known", &known as _)];
            journal.note(Event::StoreRestored, &fields);
            // Newer entries of targets that other hosts know take precedence over the backup.
            if topic == Topic::Targets {
                self.request_snapshots(now);
            }
        }
        if let Some(broadcast) = broadcast {
            self.broadcast_changes(now, &broadcast);
        }
        self.publish(now, &changed, arrival);
        self.send_heartbeat(now);
        self.publish_subscription(now);
    }

    /// Requests full snapshots from some live hosts of any region.
    fn request_snapshots(&self, now: Time) {
        let view = self.detector.view(now);
        let own_name = &self.parts.settings.name;
        let others = view.members.iter().filter(|member| member.name != *own_name);
        let live = others.filter(|member| member.state == State::Live);
        let hosts: Vec<SocketAddr> =
            live.map(|member| member.peers).sample(&mut rand::rng(), RESTORE_SNAPSHOTS);
        for host in hosts {
            exchange::request_snapshot(self.queue.clone(), now, host, BTreeMap::new());
        }
    }

    /// Handles a failed call to the store for a topic.
    fn handle_failure(&mut self, now: Time, topic: Topic, error: &Error) {
        // A call that ends after the host has stopped following the store is no sign of an outage.
        if self.relay.is_active(now) && self.mirror.mark_unanswered(now, topic) {
            let topic = topic.as_str();
            self.parts.journal.note(Event::PlatformDown, &[("topic", &topic), ("error", error)]);
            self.request_confirmation(now);
            self.publish_subscription(now);
        }
    }

    /// Applies the deferred removals, once an outage can no longer have caused them.
    pub(super) fn apply_deferred_removals(&mut self, now: Time) {
        let Some((changed, changes)) = self.mirror.apply_deferred_removals(now) else { return };
        let arrival = Arrival { way: Way::Deferral, confirmed_at: self.mirror.deferred_since() };
        self.publish(now, &changed, arrival);
        self.broadcast_changes(now, &changes);
    }
}
