//! What the store says.

use std::{collections::BTreeMap, net::SocketAddr};

use {
    rand::seq::IteratorRandom,
    toucanhoist_core::{
        clock::Time,
        event::Event,
        membership::State,
        steering::{Topic, Update, Version},
    },
};

use super::{Task, exchange};
use crate::store::{Batch, Error, News};

/// Hosts that are asked for what they know when the store has come back from a copy.
const WITNESSES: usize = 3;

impl Task {
    /// Takes in what the store says.
    pub(super) fn hear(&mut self, now: Time, news: News) {
        let (topic, version, taken) = match news {
            News::All(topic, Batch { entries, version }) => {
                (topic, version, self.mirror.apply_read(now, topic, version, entries))
            }
            News::Changed(topic, Batch { entries, version }) => {
                (topic, version, self.mirror.apply_changes(now, topic, version, entries))
            }
            News::Lost(topic, error) => return self.lost(now, topic, &error),
        };
        match taken {
            Some(taken) => self.taken(now, topic, version, taken),
            None => self.parts.journal.note(
                Event::StoreAnswerOutdated,
                &[("topic", &topic.as_str()), ("version", &version)],
            ),
        }
    }

    fn taken(&mut self, now: Time, topic: Topic, version: Version, taken: Update) {
        let Update { changed, broadcast, outage, restored } = taken;
        let (name, journal) = (topic.as_str(), &self.parts.journal);
        if let Some(outage) = outage {
            let away_ms = outage.as_millis();
            journal.note(Event::PlatformUp, &[("topic", &name), ("away_ms", &away_ms)]);
        }
        if let Some(known) = restored {
            let fields =
                [("topic", &name as _), ("version", &version as _), ("known", &known as _)];
            journal.note(Event::StoreRestored, &fields);
            // What other hosts know of targets goes before the copy too.
            if topic == Topic::Targets {
                self.ask_witnesses(now);
            }
        }
        if let Some(broadcast) = broadcast {
            self.tell_changes(now, &broadcast);
        }
        self.publish(now, &changed);
        self.give_order(now);
    }

    /// Asks some live hosts, of any region, for all that they know.
    fn ask_witnesses(&self, now: Time) {
        let view = self.detector.view(now);
        let own = &self.parts.settings.name;
        let others = view.members.iter().filter(|member| member.name != *own);
        let live = others.filter(|member| member.state == State::Live);
        let hosts: Vec<SocketAddr> =
            live.map(|member| member.peers).sample(&mut rand::rng(), WITNESSES);
        for host in hosts {
            exchange::ask(self.queue.clone(), host, BTreeMap::new());
        }
    }

    /// Notes that the store does not answer for a topic.
    fn lost(&mut self, now: Time, topic: Topic, error: &Error) {
        // A call that ends after the host has stopped following says nothing about it.
        if self.relay.is_active(now) && self.mirror.mark_unanswered(now, topic) {
            let topic = topic.as_str();
            self.parts.journal.note(Event::PlatformDown, &[("topic", &topic), ("error", error)]);
        }
    }

    /// Takes in the removals that were set aside, once they are no lapses.
    pub(super) fn settle(&mut self, now: Time) {
        let Some((changed, changes)) = self.mirror.apply_deferred_removals(now) else { return };
        self.publish(now, &changed);
        self.tell_changes(now, &changes);
    }
}
