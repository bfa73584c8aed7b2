/*!
Quarantine of requests that crash the targets that run them.

A [`Fingerprint`] identifies all requests of the same account, service, method, path and content. It
becomes suspected when a target breaks the connection while running such a request, and quarantined
for a bounded time when a second target does so. An answer to a request of the fingerprint in
between clears the suspicion, because a request that a target answers does not crash it. Hosts
exchange what they know as [`Report`]s.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    hash::Hasher,
    str::FromStr,
    time::Duration,
};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use twox_hash::XxHash64;

use crate::{Error, clock::Time, id};

/// Targets that must fail on a fingerprint before it is quarantined.
const TARGETS_MIN: usize = 2;
const RETENTION: Duration = Duration::from_secs(600);
const ENTRIES_MAX: usize = 1_024;
/// Targets that are kept of a fingerprint; two of them quarantine it.
const TARGETS_MAX: usize = 8;
/// Number of times that a host sends a report of its own observation, since a datagram may be lost.
const TRANSMISSIONS: u32 = 3;
/// Interval at which quarantines and releases are sent again, for hosts that were unreachable;
/// shorter than the time within which all hosts must know of them.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Hash that identifies all requests of the same content.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request made of `parts`.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let chain = |seed, part: &&[u8]| XxHash64::oneshot(seed ^ hash_of_length(part.len()), part);
        Fingerprint(parts.iter().fold(0, chain))
    }

    /// Returns the fingerprint of a request made of `parts` and a last part of `length` bytes, which comes in
    /// segments. It is that of the same parts in one piece each.
    pub fn with_content<'a>(
        parts: &[&[u8]],
        length: usize,
        segments: impl Iterator<Item = &'a [u8]>,
    ) -> Fingerprint {
        let Fingerprint(seed) = Fingerprint::of(parts);
        let mut hash = XxHash64::with_seed(seed ^ hash_of_length(length));
        segments.for_each(|segment| hash.write(segment));
        Fingerprint(hash.finish())
    }

    /// Returns the fingerprint as a number.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

fn hash_of_length(length: usize) -> u64 {
    XxHash64::oneshot(0, &length.to_le_bytes())
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

/// Stage of a fingerprint; when reports differ, the later stage prevails.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// A target failed while running it.
    Suspected,
    /// It is quarantined.
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

/// What a host reports about a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Stage of the fingerprint.
    pub stage: Stage,
    /// Targets that failed while running it.
    pub targets: BTreeSet<id::Target>,
    /// Time until the entry expires.
    pub remaining: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    stage: Stage,
    targets: BTreeSet<id::Target>,
    until: Time,
    /// Whether this host observed the stage or one of the targets itself.
    is_own: bool,
    transmissions_left: u32,
    last_sent: Time,
}

/// Fingerprints that are suspected, quarantined or released.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Returns the time for which a fingerprint stays quarantined, or `None` if it is not
    /// quarantined.
    pub fn remaining_hold(&self, now: Time, fingerprint: Fingerprint) -> Option<Duration> {
        let entry = self.entries.get(&fingerprint)?;
        let held = entry.stage == Stage::Held && now < entry.until;
        held.then(|| entry.until.since(now))
    }

    /// Records that a target failed while it ran a request; returns whether this quarantines the
    /// fingerprint.
    pub fn record_failure(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        target: &id::Target,
    ) -> bool {
        self.evict(now);
        let suspected = || Entry::new(Stage::Suspected, BTreeSet::new(), now + RETENTION);
        let entry = self.entries.entry(fingerprint).or_insert_with(suspected);
        entry.add_targets([target.clone()]);
        entry.schedule_reports();
        entry.quarantine_if_due(now)
    }

    /// Records that a target answered a request, which clears a suspicion.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        let stage = self.entries.get(&fingerprint).map(|entry| entry.stage);
        if stage == Some(Stage::Suspected) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Releases a fingerprint; returns whether it was quarantined.
    pub fn release(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return false };
        let held = entry.stage == Stage::Held;
        if held {
            (entry.stage, entry.until) = (Stage::Released, now + RETENTION);
            entry.schedule_reports();
        }
        held
    }

    /// Returns at most `limit` reports that are due to be sent to all other hosts.
    ///
    /// A host sends its own observations a few times and then repeats quarantines and releases at
    /// intervals. It does not pass on what it knows from other hosts.
    pub fn due_reports(&mut self, now: Time, limit: usize) -> Vec<Report> {
        let mut due: Vec<_> =
            self.entries.iter_mut().filter(|(_, entry)| entry.is_due(now)).collect();
        due.sort_by_key(|(_, entry)| (std::cmp::Reverse(entry.stage), entry.last_sent));
        due.truncate(limit);
        let send = |(&fingerprint, entry): (&Fingerprint, &mut Entry)| {
            entry.transmissions_left = entry.transmissions_left.saturating_sub(1);
            entry.last_sent = now;
            entry.report(now, fingerprint)
        };
        due.into_iter().map(send).collect()
    }

    /// Returns reports of all fingerprints that have not expired, for other hosts and operators.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let known = self.entries.iter().filter(|(_, entry)| now < entry.until);
        known.map(|(&fingerprint, entry)| entry.report(now, fingerprint)).collect()
    }

    /// Merges another host's reports; returns the fingerprints that this quarantines.
    pub fn merge(&mut self, now: Time, reports: Vec<Report>) -> Vec<Fingerprint> {
        let mut quarantined = Vec::new();
        for report in reports {
            if !self.entries.contains_key(&report.fingerprint) {
                self.evict(now);
            }
            let until = now + report.remaining.min(RETENTION);
            let reported = Entry::new(report.stage, report.targets, until);
            match self.entries.get_mut(&report.fingerprint) {
                Some(entry) => {
                    if entry.merge(now, reported) {
                        quarantined.push(report.fingerprint);
                    }
                }
                None => {
                    if reported.stage == Stage::Held {
                        quarantined.push(report.fingerprint);
                    }
                    self.entries.insert(report.fingerprint, reported);
                }
            }
        }
        quarantined
    }

    /// Removes expired entries and, while there is no room for another one, the entry that expires
    /// first among those of the earliest stage.
    fn evict(&mut self, now: Time) {
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
        let mut entry = Entry {
            stage,
            targets: BTreeSet::new(),
            until,
            is_own: false,
            transmissions_left: 0,
            last_sent: Time::ZERO,
        };
        entry.add_targets(targets);
        entry
    }

    fn add_targets(&mut self, targets: impl IntoIterator<Item = id::Target>) {
        for target in targets {
            if self.targets.len() < TARGETS_MAX {
                self.targets.insert(target);
            }
        }
    }

    fn report(&self, now: Time, fingerprint: Fingerprint) -> Report {
        let (stage, targets) = (self.stage, self.targets.clone());
        Report { fingerprint, stage, targets, remaining: self.until.since(now) }
    }

    /// Marks the entry as this host's own observation, to be sent to the other hosts.
    fn schedule_reports(&mut self) {
        (self.is_own, self.transmissions_left) = (true, TRANSMISSIONS);
    }

    fn is_due(&self, now: Time) -> bool {
        let needs_refresh =
            self.stage != Stage::Suspected && now >= self.last_sent + REFRESH_INTERVAL;
        self.is_own && now < self.until && (self.transmissions_left > 0 || needs_refresh)
    }

    /// Quarantines a suspected fingerprint on which enough targets failed.
    fn quarantine_if_due(&mut self, now: Time) -> bool {
        let is_due = self.stage == Stage::Suspected && self.targets.len() >= TARGETS_MIN;
        if is_due {
            (self.stage, self.until) = (Stage::Held, now + RETENTION);
            self.schedule_reports();
        }
        is_due
    }

    /// Adopts the later stage; returns whether this quarantines the fingerprint.
    fn merge(&mut self, now: Time, reported: Entry) -> bool {
        let stage_before = self.stage;
        if reported.stage > self.stage {
            (self.stage, self.until) = (reported.stage, reported.until);
        }
        self.add_targets(reported.targets);
        self.quarantine_if_due(now)
            || (stage_before == Stage::Suspected && self.stage == Stage::Held)
    }
}
