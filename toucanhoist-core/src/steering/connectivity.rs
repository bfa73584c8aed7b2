//! Whether a host is connected to the store, and since when the store is available again.
//!
//! The store may be unavailable to all hosts, or reject only this one. Only if it was unavailable to
//! all, or was restored from a backup, can entries of live targets have expired, so that removals
//! must be deferred. The two kinds of outage are told apart by evidence that the store served other
//! hosts meanwhile: when it last answered them or confirmed what they know, or a version that cannot
//! predate the outage.

use std::{collections::BTreeMap, time::Duration};

use super::{Topic, Version, relay::HEARTBEAT_TIMEOUT};
use crate::clock::Time;

/// Time for which removals are deferred once the store is available; targets renew their entries
/// within two seconds.
const REMOVAL_DEFERRAL: Duration = Duration::from_millis(2_200);
/// Outage after which entries may have expired; a fraction of the shortest interval at which targets
/// renew theirs.
const OUTAGE_MIN: Duration = Duration::from_millis(700);
/// Time in which what was written before an outage has reached all hosts.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);

/// A host's connectivity to the store.
#[derive(Debug, Default)]
pub struct Connectivity {
    topics: BTreeMap<Topic, State>,
    outage: Option<Outage>,
    defer_until: Time,
    /// When the outage began after which removals are deferred, and when it ended here.
    deferred_outage: Option<(Time, Time)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Answered,
    Unanswered(Time),
}

/// A period in which the store does not answer this host.
#[derive(Debug)]
struct Outage {
    since: Time,
    /// Highest version that this host or others knew before [`PROPAGATION_TIME`] had passed.
    newest_known: Version,
    /// When the store last served another host, according to the evidence.
    last_service: Option<Time>,
    /// Since when the store has served some host, according to the evidence.
    available_since: Option<Time>,
}

impl Outage {
    fn is_past_propagation(&self, now: Time) -> bool {
        now >= self.since + PROPAGATION_TIME
    }

    /// Records evidence that the store serves some host from a time on; returns since when it does.
    /// If it served none for a while, it was unavailable to all hosts, and counts as available
    /// again from then on.
    fn record_availability(&mut self, from: Time) -> Time {
        let is_interrupted = self.last_service.is_some_and(|at| from >= at + HEARTBEAT_TIMEOUT);
        let before = self.available_since.filter(|_| !is_interrupted);
        let available_since = before.map_or(from, |before| before.min(from));
        self.available_since = Some(available_since);
        available_since
    }
}

impl Connectivity {
    /// Records that the store does not answer for a topic, while all changes up to `complete` are
    /// known here; returns whether it had answered until now, or was not asked yet.
    pub fn mark_unanswered(&mut self, now: Time, topic: Topic, complete: Version) -> bool {
        if matches!(self.topics.get(&topic), Some(State::Unanswered(_))) {
            return false;
        }
        self.topics.insert(topic, State::Unanswered(now));
        self.outage.get_or_insert(Outage {
            since: now,
            newest_known: complete,
            last_service: None,
            available_since: None,
        });
        true
    }

    /// Records that the store answers for a topic; returns how long it had not.
    pub fn mark_answered(&mut self, now: Time, topic: Topic) -> Option<Duration> {
        let before = self.topics.insert(topic, State::Answered);
        let Some(State::Unanswered(since)) = before else { return None };
        let outage = self.outage.as_mut()?;
        let available_since = outage.record_availability(now);
        let duration = now.since(since);
        if topic == Topic::Targets && duration >= OUTAGE_MIN {
            self.defer_until = available_since + REMOVAL_DEFERRAL;
            self.deferred_outage = Some((since, now));
        }
        if !self.topics.values().any(|state| matches!(state, State::Unanswered(_))) {
            self.outage = None;
        }
        Some(duration)
    }

    /// Records that the store was restored: entries that the backup lacks may be written again.
    pub fn mark_restored(&mut self, now: Time) {
        self.defer_until = self.defer_until.max(now + REMOVAL_DEFERRAL);
        // Evidence of service says nothing about what the backup lacks.
        self.deferred_outage = None;
    }

    /// Records that this host no longer follows the store.
    pub fn stop_following(&mut self) {
        self.topics.clear();
        self.outage = None;
    }

    /// Records the heartbeat of a host that the store last answered at a time.
    pub fn record_watcher_heartbeat(&mut self, answered_at: Time) {
        self.record_service(answered_at, answered_at);
    }

    /// Records that the store served another host all the time between two.
    pub fn record_service(&mut self, from: Time, until: Time) {
        if let Some(outage) = self.outage.as_mut().filter(|outage| until > outage.since) {
            outage.record_availability(from);
            outage.last_service = outage.last_service.max(Some(until));
        }
        // What is left of the outage is too short for entries to expire.
        let is_refuted = |(since, end): (Time, Time)| from <= since && until + OUTAGE_MIN > end;
        if self.deferred_outage.is_some_and(is_refuted) {
            (self.defer_until, self.deferred_outage) = (Time::ZERO, None);
        }
    }

    /// Records that another host knows all changes up to a version.
    pub fn record_peer_version(&mut self, now: Time, version: Version) {
        let Some(outage) = &mut self.outage else { return };
        if !outage.is_past_propagation(now) {
            outage.newest_known = outage.newest_known.max(version);
        } else if version > outage.newest_known {
            outage.record_availability(now);
        }
    }

    /// Whether the store does not answer this host for a topic.
    pub fn is_unanswered(&self, topic: Topic) -> bool {
        matches!(self.topics.get(&topic), Some(State::Unanswered(_)))
    }

    /// Whether the store does not answer this host for some topic.
    pub fn has_outage(&self) -> bool {
        self.outage.is_some()
    }

    /// Whether removals of targets may be caused by an outage now, so that they must be deferred.
    pub fn defers_removals(&self, now: Time) -> bool {
        now < self.defer_until
    }
}
