//! Whether a host is in touch with the store, and since when the store is back.
//!
//! The store may be away for all hosts, or turn away this one alone. Only when it was away for all, or came
//! back from a copy, may entries of targets have lapsed, so that their removals have to wait. What tells an
//! outage for all from one for this host is a sign of others that the store serves them: the word of a host in
//! touch, or news that cannot date from before.

use std::{collections::BTreeMap, time::Duration};

use super::{Topic, Version, relay::SILENCE_MAX};
use crate::clock::Time;

/// Time for which removals wait once the store is back; targets renew their entries within two seconds.
const LAPSE_HOLD: Duration = Duration::from_millis(2_200);
/// Absence of the store after which entries may have lapsed; a part of the shortest heartbeat.
const ABSENCE_MIN: Duration = Duration::from_millis(700);
/// Time in which what was written before the store went away has reached all hosts.
const SPREAD: Duration = Duration::from_millis(1_500);

/// A host's touch with the store.
#[derive(Debug, Default)]
pub struct Connectivity {
    topics: BTreeMap<Topic, State>,
    absence: Option<Absence>,
    lapse_until: Time,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Answered,
    Lost(Time),
}

/// A time in which the store does not answer this host.
#[derive(Debug)]
struct Absence {
    since: Time,
    /// Highest version of which others knew before [`SPREAD`] had passed.
    known: Version,
    /// Last word of a host in touch.
    word: Option<Time>,
    /// Since when the store serves somebody, as far as signs say.
    back: Option<Time>,
}

impl Absence {
    fn is_old(&self, now: Time) -> bool {
        now >= self.since + SPREAD
    }

    /// Takes in a sign that the store serves somebody. When the words of hosts in touch have stopped in
    /// between, it was away for all since.
    fn sign(&mut self, now: Time) -> Time {
        let is_silent = self.word.is_some_and(|word| now >= word + SILENCE_MAX);
        let back = self.back.filter(|_| !is_silent).unwrap_or(now);
        self.back = Some(back);
        back
    }
}

impl Connectivity {
    /// Notes that the store does not answer for a topic, where all up to `complete` is known here; returns
    /// whether it did until now, or was not asked yet.
    pub fn mark_unanswered(&mut self, now: Time, topic: Topic, complete: Version) -> bool {
        if matches!(self.topics.get(&topic), Some(State::Lost(_))) {
            return false;
        }
        self.topics.insert(topic, State::Lost(now));
        self.absence.get_or_insert(Absence { since: now, known: complete, word: None, back: None });
        true
    }

    /// Notes that the store answers for a topic; returns how long it did not.
    pub fn mark_answered(&mut self, now: Time, topic: Topic) -> Option<Duration> {
        let before = self.topics.insert(topic, State::Answered);
        let Some(State::Lost(since)) = before else { return None };
        let absence = self.absence.as_mut()?;
        let back = absence.sign(now);
        let away = now.since(since);
        if topic == Topic::Targets && away >= ABSENCE_MIN {
            self.lapse_until = back + LAPSE_HOLD;
        }
        if !self.topics.values().any(|state| matches!(state, State::Lost(_))) {
            self.absence = None;
        }
        Some(away)
    }

    /// Notes that the store came back from a copy: what the copy lacks may be written again.
    pub fn mark_restored(&mut self, now: Time) {
        self.lapse_until = self.lapse_until.max(now + LAPSE_HOLD);
    }

    /// Notes that this host no longer asks the store.
    pub fn stop_following(&mut self) {
        self.topics.clear();
        self.absence = None;
    }

    /// Takes in the word of a host that is in touch with the store.
    pub fn record_watcher_heartbeat(&mut self, now: Time) {
        if let Some(absence) = self.absence.as_mut().filter(|absence| absence.is_old(now)) {
            absence.sign(now);
            absence.word = Some(now);
        }
    }

    /// Takes in that a host knows all up to a version.
    pub fn record_peer_version(&mut self, now: Time, version: Version) {
        let Some(absence) = &mut self.absence else { return };
        if !absence.is_old(now) {
            absence.known = absence.known.max(version);
        } else if version > absence.known {
            absence.sign(now);
        }
    }

    /// Whether the store answers for all topics.
    pub fn is_connected(&self) -> bool {
        Topic::ALL.iter().all(|topic| self.topics.get(topic) == Some(&State::Answered))
    }

    /// Whether removals of targets may be lapses now.
    pub fn defers_removals(&self, now: Time) -> bool {
        now < self.lapse_until
    }
}
