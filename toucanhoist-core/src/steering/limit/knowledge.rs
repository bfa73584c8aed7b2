//! What one host knows of the statements of all targets, and what it tells other hosts.
//!
//! Statements spread by gossip: a host that learns of one reports it to a few others, who do the
//! same. In addition each host reports all limits to another host at intervals, which reaches those
//! that missed the first reports or were restarted. The messages of a host do not grow with the
//! number of hosts.

use std::{collections::BTreeMap, time::Duration};

use {
    rand::{RngExt, SeedableRng, seq::IndexedRandom},
    rand_xoshiro::Xoshiro256PlusPlus,
};

use super::{Report, Statement, statement::is_stricter};
use crate::{
    clock::Time,
    id,
    steering::{Announced, Ticket},
    unit::Rate,
};

/// Hosts to which a new statement is reported each time.
const FANOUT: usize = 8;
/// Number of times that a new statement is reported, since a datagram may be lost.
const TRANSMISSIONS: u32 = 2;
const TRANSMISSION_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which all limits are reported to another host.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Reports in one message.
const REPORTS_MAX: usize = 32;
/// Time for which a statement is kept after its limit has ended or its target is gone; longer than
/// a message is in transit and than a target is missing after an outage of the store.
const RETENTION: Duration = Duration::from_secs(60);
/// Highest version that is accepted from another host. A higher one is malformed, and would leave no
/// versions for later statements of its target.
const VERSION_MAX: u64 = 1 << 48;
/// Targets about which statements are kept; more than a host has.
const STATEMENTS_MAX: usize = 8_192;

/// Where a host learned of a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// An answer of the target.
    Answer,
    /// The target's entry; hosts learn of entries in other ways, so it is not reported to them.
    Entry,
    /// Another host.
    Host,
}

impl Source {
    /// Returns the name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Answer => "answer",
            Source::Entry => "entry",
            Source::Host => "host",
        }
    }
}

/// A change of what a host knows.
#[derive(Clone, Debug, PartialEq)]
pub struct Learned {
    /// The target.
    pub target: id::Target,
    /// Its limit; `None` if it names none any more.
    pub limit: Option<Rate>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Where the host learned of it.
    pub source: Source,
}

/// What one host knows of the limits of all targets.
#[derive(Debug)]
pub struct Knowledge {
    rng: Xoshiro256PlusPlus,
    statements: BTreeMap<id::Target, Known>,
    refreshed_at: Time,
    learned: Vec<Learned>,
    /// Whether statements have not been reported yet.
    has_unsent: bool,
}

#[derive(Debug)]
struct Known {
    statement: Statement,
    /// Where this host learned that the target leaves.
    leaving: Option<Source>,
    /// When an answer of the target last said so to any host.
    confirmed_at: Time,
    /// When the limit had ended, or the target was first missing.
    obsolete_since: Option<Time>,
    transmissions_left: u32,
    last_sent: Time,
    last_refreshed: Time,
}

impl Knowledge {
    /// Creates empty knowledge.
    pub fn new(seed: u64) -> Knowledge {
        Knowledge {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            statements: BTreeMap::new(),
            refreshed_at: Time::ZERO,
            learned: Vec::new(),
            has_unsent: false,
        }
    }

    /// Returns the statement of the incarnation of a target that was born at `born`, and when it
    /// was last confirmed.
    pub fn get(&self, target: &id::Target, born: u64) -> Option<(Statement, Time)> {
        let known = self.statements.get(target)?;
        (known.statement.born >= born).then_some((known.statement, known.confirmed_at))
    }

    /// Returns where this host learned that the incarnation of a target leaves; `None` if it does not leave.
    pub fn leaving(&self, target: &id::Target, born: u64) -> Option<Source> {
        let known = self.statements.get(target).filter(|known| known.statement.born >= born)?;
        known.leaving
    }

    /// Whether nothing is known of any target.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Returns how many targets have a limit.
    pub fn limited(&self) -> usize {
        self.statements.values().filter(|known| known.statement.limit.is_some()).count()
    }

    /// Records an answer to the request of a ticket; returns whether this adds to the knowledge.
    /// `ran` says whether the target ran the request: an answer without a limit to one that it did
    /// not run says nothing.
    pub fn record(&mut self, now: Time, ticket: &Ticket, announced: Announced, ran: bool) -> bool {
        let Ticket { target, born, .. } = ticket;
        let born = *born;
        let limit = match announced {
            Announced::Limit(limit) => Some(limit),
            Announced::Unlimited if ran => None,
            Announced::Unlimited | Announced::Unreadable | Announced::Recorded => return false,
        };
        let current = self.statements.get_mut(target).filter(|known| known.statement.born >= born);
        let (current_version, current_limit) = match current {
            Some(known) if known.statement.born > born => return false,
            Some(known) if known.statement.limit == limit => {
                known.confirmed_at = now;
                return true;
            }
            Some(known) => (known.statement.version, known.statement.limit),
            None => (0, None),
        };
        if limit == current_limit
            || (!is_stricter(limit, current_limit) && ticket.limit_version != current_version)
        {
            return false;
        }
        let is_leaving = self.leaving(target, born).is_some();
        let statement = Statement { born, version: current_version + 1, limit, is_leaving };
        self.learn(now, target, statement, now, Source::Answer)
    }

    /// Records that an incarnation of a target leaves; returns whether this adds to the knowledge.
    pub fn record_leaving(
        &mut self,
        now: Time,
        target: &id::Target,
        born: u64,
        source: Source,
    ) -> bool {
        let statement = match self.statements.get_mut(target) {
            Some(known) if known.statement.born > born => return false,
            Some(known) if known.statement.born == born && known.statement.is_leaving => {
                // What the target said to this host itself counts for more than what others report.
                let is_added = known.leaving == Some(Source::Host);
                if is_added {
                    known.leaving = Some(source);
                }
                return is_added;
            }
            Some(known) if known.statement.born == born => {
                Statement { is_leaving: true, ..known.statement }
            }
            _ => Statement { born, version: 0, limit: None, is_leaving: true },
        };
        let confirmed_at = self.statements.get(target).map_or(now, |known| known.confirmed_at);
        self.learn(now, target, statement, confirmed_at, source)
    }

    /// Merges the reports of another host; returns the targets about which they add to the
    /// knowledge.
    pub fn merge(&mut self, now: Time, reports: Vec<Report>) -> Vec<id::Target> {
        let mut added = Vec::new();
        let reports = reports.into_iter().filter(|report| report.statement.version <= VERSION_MAX);
        for Report { target, statement, age } in reports {
            let confirmed_at = now - age;
            let is_added = match self.statements.get_mut(&target) {
                Some(known) if known.statement == statement => {
                    let is_later = confirmed_at > known.confirmed_at;
                    known.confirmed_at = known.confirmed_at.max(confirmed_at);
                    is_later
                }
                Some(known) => {
                    let joined = statement.joined(&known.statement);
                    let is_newer = statement.supersedes(&known.statement);
                    let confirmed_at = if is_newer { confirmed_at } else { known.confirmed_at };
                    joined != known.statement
                        && self.learn(now, &target, joined, confirmed_at, Source::Host)
                }
                None => self.learn(now, &target, statement, confirmed_at, Source::Host),
            };
            if is_added {
                added.push(target);
            }
        }
        added
    }

    fn learn(
        &mut self,
        now: Time,
        target: &id::Target,
        statement: Statement,
        confirmed_at: Time,
        source: Source,
    ) -> bool {
        let former = self.statements.get(target);
        if former.is_none() && self.statements.len() >= STATEMENTS_MAX {
            return false;
        }
        let former_limit = former.and_then(|known| known.statement.limit);
        let was_leaving = former.is_some_and(|known| known.statement.is_leaving);
        let leaving = statement.is_leaving.then(|| {
            let same = former.filter(|known| known.statement.born == statement.born);
            same.and_then(|known| known.leaving).unwrap_or(source)
        });
        let Statement { limit, is_leaving, .. } = statement;
        if former_limit != limit || (is_leaving && !was_leaving && source != Source::Entry) {
            self.learned.push(Learned { target: target.clone(), limit, is_leaving, source });
        }
        let known = Known {
            statement,
            leaving,
            confirmed_at,
            obsolete_since: None,
            transmissions_left: TRANSMISSIONS,
            last_sent: Time::ZERO,
            last_refreshed: now,
        };
        self.has_unsent |= known.is_reported();
        self.statements.insert(target.clone(), known);
        true
    }

    /// Returns the changes since the last call.
    pub fn take_learned(&mut self) -> Vec<Learned> {
        std::mem::take(&mut self.learned)
    }

    /// Whether statements have not been reported yet.
    pub fn has_unsent(&self) -> bool {
        self.has_unsent
    }

    /// Returns the reports that are due, by the host that they are for; `others` are the other
    /// hosts, and `is_target` says which targets still exist.
    pub fn due_reports(
        &mut self,
        now: Time,
        others: &[&id::EntryHost],
        is_target: impl Fn(&id::Target) -> bool,
    ) -> BTreeMap<id::EntryHost, Vec<Report>> {
        let mut due = BTreeMap::new();
        self.has_unsent = false;
        let reports = self.due_new_reports(now);
        for host in others.sample(&mut self.rng, FANOUT).filter(|_| !reports.is_empty()) {
            due.insert((*host).clone(), reports.clone());
        }
        if now >= self.refreshed_at + REFRESH_INTERVAL {
            self.refreshed_at = now;
            self.forget_obsolete(now, is_target);
            let reports = self.due_refresh(now);
            if !reports.is_empty() && !others.is_empty() {
                let host = others[self.rng.random_range(0..others.len())];
                due.insert(host.clone(), reports);
            }
        }
        due
    }

    /// Returns reports of new statements, for several hosts.
    fn due_new_reports(&mut self, now: Time) -> Vec<Report> {
        let is_due = |known: &Known| {
            known.transmissions_left > 0
                && known.is_reported()
                && now >= known.last_sent + TRANSMISSION_INTERVAL
        };
        let due = self.statements.iter_mut().filter(|(_, known)| is_due(known));
        let report = |(target, known): (&id::Target, &mut Known)| {
            (known.transmissions_left, known.last_sent) = (known.transmissions_left - 1, now);
            known.report(now, target)
        };
        due.take(REPORTS_MAX).map(report).collect()
    }

    /// Returns reports for one host, of the statements that were reported longest ago.
    fn due_refresh(&mut self, now: Time) -> Vec<Report> {
        let mut due: Vec<_> =
            self.statements.iter_mut().filter(|(_, known)| known.is_reported()).collect();
        due.sort_by(|(name, known), (other_name, other)| {
            (known.last_refreshed, name).cmp(&(other.last_refreshed, other_name))
        });
        due.truncate(REPORTS_MAX);
        let report = |(target, known): (&id::Target, &mut Known)| {
            known.last_refreshed = now;
            known.report(now, target)
        };
        due.into_iter().map(report).collect()
    }

    /// Forgets limits that have ended and targets that are gone, after their retention.
    fn forget_obsolete(&mut self, now: Time, is_target: impl Fn(&id::Target) -> bool) {
        self.statements.retain(|target, known| {
            let is_current = known.statement.limit.is_some() || known.statement.is_leaving;
            if is_current && is_target(target) {
                known.obsolete_since = None;
                return true;
            }
            now < *known.obsolete_since.get_or_insert(now) + RETENTION
        });
    }
}

impl Known {
    /// Whether other hosts are told of it.
    fn is_reported(&self) -> bool {
        self.statement.version > 0 || self.leaving != Some(Source::Entry)
    }

    fn report(&self, now: Time, target: &id::Target) -> Report {
        let (target, statement) = (target.clone(), self.statement);
        Report { target, statement, age: now.since(self.confirmed_at) }
    }
}
