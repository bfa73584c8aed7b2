/*!
Requests that crash the targets that run them.

A [`Fingerprint`] stands for all requests of the same account, service, method, path and content. It is
suspected when a target breaks off while running it, and held back for a bounded time after a second
target has done so, unless a request of the fingerprint has been answered in between: what targets
answer does not crash them. Hosts exchange what they know as [`Report`]s.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
    time::Duration,
};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use twox_hash::XxHash64;

use crate::{Error, clock::Time, id};

/// Targets that break off before a fingerprint is held back.
const TARGETS_LEAST: usize = 2;
const RETENTION: Duration = Duration::from_secs(600);
const ENTRIES_MAX: usize = 1_024;
/// Times that a host tells what it learned itself; a datagram may be lost.
const TELLINGS: u32 = 3;
/// Time after which it tells again what is held back or released, for hosts that were away; less than
/// the time in which all hosts must know.
const REFRESH: Duration = Duration::from_secs(2);

/// Stands for all requests of the same content.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request made of `parts`.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let length = |part: &[u8]| XxHash64::oneshot(0, &part.len().to_le_bytes());
        let chain = |seed, part: &&[u8]| XxHash64::oneshot(seed ^ length(part), part);
        Fingerprint(parts.iter().fold(0, chain))
    }

    /// Returns the fingerprint as a number.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl From<u64> for Fingerprint {
    fn from(number: u64) -> Fingerprint {
        Fingerprint(number)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Fingerprint, Error> {
        match u64::from_str_radix(text, 16) {
            Ok(number) if text.len() == 16 => Ok(Fingerprint(number)),
            _ => Err(Error::unit(text, "a fingerprint of 16 hexadecimal digits")),
        }
    }
}

/// What is known of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// A target broke off while running it.
    Suspected,
    /// It is held back.
    Held,
    /// An operator released it.
    Released,
}

impl Stage {
    /// Returns the text that operators see.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Suspected => "suspected",
            Stage::Held => "held",
            Stage::Released => "released",
        }
    }
}

/// What a host says about a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// What is known of it.
    pub stage: Stage,
    /// Targets that broke off.
    pub targets: BTreeSet<id::Target>,
    /// Time after which it is forgotten.
    pub remaining: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    stage: Stage,
    targets: BTreeSet<id::Target>,
    until: Time,
    /// Whether this host learned its stage or a target itself.
    is_own: bool,
    /// Times that it is still told.
    tellings: u32,
    told: Time,
}

/// Fingerprints that are suspected, held back or released.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Returns the time for which a fingerprint is still held back, if it is.
    pub fn remaining_hold(&self, now: Time, fingerprint: Fingerprint) -> Option<Duration> {
        let entry = self.entries.get(&fingerprint)?;
        let held = entry.stage == Stage::Held && now < entry.until;
        held.then(|| entry.until.since(now))
    }

    /// Learns that a target broke off while it ran a request; returns whether the fingerprint is
    /// held back from now on.
    pub fn record_failure(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: &id::Target,
    ) -> bool {
        self.forget(now);
        let suspected = || Entry::new(Stage::Suspected, BTreeSet::new(), now + RETENTION);
        let entry = self.entries.entry(fingerprint).or_insert_with(suspected);
        entry.targets.insert(target.clone());
        entry.learn();
        entry.judge(now)
    }

    /// Learns that a target answered a request, which clears a suspicion.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        let suspected = self.entries.get(&fingerprint).map(|entry| entry.stage);
        if suspected == Some(Stage::Suspected) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Releases a fingerprint; returns whether it was held back.
    pub fn release(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return false };
        let held = entry.stage == Stage::Held;
        if held {
            (entry.stage, entry.until) = (Stage::Released, now + RETENTION);
            entry.learn();
        }
        held
    }

    /// Returns at most `most` words to tell all other hosts now: what this host learned itself, a few
    /// times, and from time to time what is held back or released. What it heard it does not repeat.
    pub fn due_reports(&mut self, now: Time, most: usize) -> Vec<Report> {
        let mut due: Vec<_> =
            self.entries.iter_mut().filter(|(_, entry)| entry.is_due(now)).collect();
        due.sort_by_key(|(_, entry)| (std::cmp::Reverse(entry.stage), entry.told));
        due.truncate(most);
        let tell = |(&fingerprint, entry): (&Fingerprint, &mut Entry)| {
            entry.tellings = entry.tellings.saturating_sub(1);
            entry.told = now;
            entry.word(now, fingerprint)
        };
        due.into_iter().map(tell).collect()
    }

    /// Returns what other hosts and operators are to know.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let known = self.entries.iter().filter(|(_, entry)| now < entry.until);
        known.map(|(&fingerprint, entry)| entry.word(now, fingerprint)).collect()
    }

    /// Learns what another host says; returns the fingerprints that are held back from now on.
    pub fn merge(&mut self, now: Time, words: Vec<Report>) -> Vec<Fingerprint> {
        self.forget(now);
        let mut held = Vec::new();
        for word in words {
            let until = now + word.remaining.min(RETENTION);
            let heard = Entry::new(word.stage, word.targets, until);
            match self.entries.get_mut(&word.fingerprint) {
                Some(entry) => {
                    if entry.merge(now, heard) {
                        held.push(word.fingerprint);
                    }
                }
                None => {
                    if heard.stage == Stage::Held {
                        held.push(word.fingerprint);
                    }
                    self.entries.insert(word.fingerprint, heard);
                }
            }
        }
        held
    }

    fn forget(&mut self, now: Time) {
        self.entries.retain(|_, entry| now < entry.until);
        while self.entries.len() >= ENTRIES_MAX {
            let next = self.entries.iter().min_by_key(|(_, entry)| (entry.stage, entry.until));
            let Some(next) = next.map(|(fingerprint, _)| *fingerprint) else { return };
            self.entries.remove(&next);
        }
    }
}

impl Entry {
    fn new(stage: Stage, targets: BTreeSet<id::Target>, until: Time) -> Entry {
        Entry { stage, targets, until, is_own: false, tellings: 0, told: Time::ZERO }
    }

    fn word(&self, now: Time, fingerprint: Fingerprint) -> Report {
        let (stage, targets) = (self.stage, self.targets.clone());
        Report { fingerprint, stage, targets, remaining: self.until.since(now) }
    }

    /// Notes that this host learned something itself, which it tells.
    fn learn(&mut self) {
        (self.is_own, self.tellings) = (true, TELLINGS);
    }

    fn is_due(&self, now: Time) -> bool {
        let is_late = self.stage != Stage::Suspected && now >= self.told + REFRESH;
        self.is_own && now < self.until && (self.tellings > 0 || is_late)
    }

    /// Holds a suspected fingerprint back once enough targets broke off.
    fn judge(&mut self, now: Time) -> bool {
        let held = self.stage == Stage::Suspected && self.targets.len() >= TARGETS_LEAST;
        if held {
            (self.stage, self.until) = (Stage::Held, now + RETENTION);
            self.learn();
        }
        held
    }

    /// Takes over the later stage; returns whether the fingerprint is held back from now on.
    fn merge(&mut self, now: Time, heard: Entry) -> bool {
        let was = self.stage;
        if heard.stage > self.stage {
            (self.stage, self.until) = (heard.stage, heard.until);
        }
        self.targets.extend(heard.targets);
        self.judge(now) || (was == Stage::Suspected && self.stage == Stage::Held)
    }
}
