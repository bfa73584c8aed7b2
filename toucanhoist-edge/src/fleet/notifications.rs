//! Handles notifications from the store.

use std::{collections::BTreeMap, net::SocketAddr};

use {
    rand::seq::IteratorRandom,
    toucanhoist_core::{
        clock::Time,
        event::Event,
        membership::State,
        steering::{Arrival, Entry, Key, Topic, Update, Value, Version, Way},
    },
};

use super::{Task, exchange};
use crate::{
    journal::Field,
    store::{Batch, Error, Fault, Notification},
};

/// Values of one answer that are logged one by one.
const FAULT_LINES_MAX: usize = 20;
/// Number of hosts whose snapshots are requested after the store was restored from a backup.
const RESTORE_SNAPSHOTS: usize = 3;

impl Task {
    /// Handles a notification from the store.
    pub(super) fn handle_notification(&mut self, now: Time, notification: Notification) {
        let (topic, arrival, version, update) = match notification {
            Notification::All(topic, Batch { entries, version, faults }) => {
                self.report_faults(topic, &entries, &faults);
                let arrival = self.arrival(topic, Way::Store);
                (topic, arrival, version, self.mirror.apply_read(now, topic, version, entries))
            }
            Notification::Changed(topic, Batch { entries, version, faults }) => {
                self.report_faults(topic, &entries, &faults);
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

    /// Logs and counts what the store's answer holds that cannot be read.
    fn report_faults(&self, topic: Topic, entries: &[(Key, Entry)], faults: &[Fault]) {
        let config = entries.iter().rev().find(|(key, _)| *key == Key::Config);
        let is_unreadable = config.map(|(_, entry)| entry.value == Some(Value::Unreadable));
        if let Some(is_unreadable) = is_unreadable {
            metrics::gauge!("toucanhoist_configuration_unreadable")
                .set(f64::from(u8::from(is_unreadable)));
        }
        let topic = topic.as_str();
        metrics::counter!("toucanhoist_values_unreadable_total", "topic" => topic)
            .increment(faults.len() as u64);
        let journal = &self.parts.journal;
        for Fault { entry, pointer, reason } in faults.iter().take(FAULT_LINES_MAX) {
            let whole: [Field<'_>; 3] = [("topic", &topic), ("entry", entry), ("reason", reason)];
            if pointer.is_empty() {
                journal.note(Event::EntryUnreadable, &whole);
            } else {
                let [topic, entry, reason] = whole;
                journal.note(Event::ValueUnreadable, &[topic, entry, ("pointer", pointer), reason]);
            }
        }
        if let Some(unlogged) = faults.len().checked_sub(FAULT_LINES_MAX).filter(|left| *left > 0) {
            let reason = format!("{unlogged} further values");
            journal.note(Event::ValueUnreadable, &[("topic", &topic), ("reason", &reason)]);
        }
        if is_unreadable == Some(true) {
            let current = self.mirror.registry().value(&Key::Config);
            let revision = match current {
                Some(Value::Config(config)) => config.revision.to_string(),
                _ => "none".to_owned(),
            };
            journal.note(Event::ConfigurationUnreadable, &[("in_force", &revision)]);
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
