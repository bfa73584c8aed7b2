//! Freshness of a host's knowledge of withdrawn keys.
//!
//! A withdrawal is accepted only by a write to the platform, and the host that writes it applies it
//! before it answers the operator. A host therefore knows all withdrawals accepted up to a time `t`
//! if at `t` or later (a) it read the platform, (b) it had a report from a host that had read the
//! platform at `t` or later, or (c) every other host of the fleet reported that it knows no more.
//! Each read or report counts from the time at which it was requested.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Time, id};

/// Evidence by which the knowledge of keys is fresh.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The host read the platform.
    Platform,
    /// Another host reported that it had read the platform.
    Peer,
    /// Every other host of the fleet reported, and none knows more.
    Fleet,
    /// No recent evidence: requests to keyed routes are refused.
    Stale,
}

impl Rule {
    /// Returns the text that operators see.
    pub fn as_str(self) -> &'static str {
        match self {
            Rule::Platform => "platform",
            Rule::Peer => "peer",
            Rule::Fleet => "fleet",
            Rule::Stale => "stale",
        }
    }
}

/// Another host's report of its knowledge of keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Version of the platform's table up to which the host knows all changes.
    pub version: u64,
    /// Time between its last read of the platform and its report.
    pub platform_age: Option<Duration>,
}

/// Tracks how fresh a host's knowledge of keys is.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    version: u64,
    platform_read_at: Option<Time>,
    /// Latest time at which a reporting host had read the platform.
    peer_read_at: Option<Time>,
    /// Latest report of each host: the time of the request and the version.
    reports: HashMap<id::EntryHost, (Time, u64)>,
}

impl Freshness {
    /// Time for which a read of the platform or a report of another host proves freshness.
    ///
    /// Operators are promised that a withdrawal is effective everywhere within 5 s. This is less,
    /// to allow for the delay of a hop and for clock errors.
    pub const MAX: Duration = Duration::from_millis(4_500);

    /// Returns the version up to which all changes are known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a read of the platform, requested at `asked`, of all changes up to `version`.
    pub fn record_read(&mut self, asked: Time, version: u64) {
        self.platform_read_at = self.platform_read_at.max(Some(asked));
        self.version = self.version.max(version);
    }

    /// Records that all changes up to `version` are known, though later ones may exist.
    pub fn advance(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Records another host's report, requested at `asked`, whose changes have been applied.
    pub fn record_report(&mut self, host: &id::EntryHost, asked: Time, report: Report) {
        self.version = self.version.max(report.version);
        if let Some(age) = report.platform_age.filter(|age| *age < Freshness::MAX) {
            self.peer_read_at = self.peer_read_at.max(Some(asked - age));
        }
        let latest = self.reports.entry(host.clone()).or_insert((asked, report.version));
        if asked >= latest.0 {
            *latest = (asked, report.version);
        }
    }

    /// Returns the time since this host or a host that reported to it last read the platform.
    pub fn platform_age(&self, now: Time) -> Option<Duration> {
        self.platform_read_at.max(self.peer_read_at).map(|at| now.since(at))
    }

    /// Returns the rule by which the knowledge is fresh and the time until which it holds; `others`
    /// are the other hosts of the fleet.
    pub fn rule<'a>(
        &self,
        now: Time,
        others: impl Iterator<Item = &'a id::EntryHost>,
    ) -> (Rule, Time) {
        let rules = [
            (Rule::Platform, self.platform_read_at),
            (Rule::Peer, self.peer_read_at),
            (Rule::Fleet, self.platform_read_at.and(self.fleet_reported_at(others))),
        ];
        let fresh = rules.into_iter().filter_map(|(rule, at)| Some((rule, at? + Freshness::MAX)));
        let mut fresh = fresh.filter(|(_, until)| now < *until);
        fresh.next().unwrap_or((Rule::Stale, now))
    }

    /// Returns the request time of the oldest report if every other host reported and none knows
    /// more.
    fn fleet_reported_at<'a>(
        &self,
        others: impl Iterator<Item = &'a id::EntryHost>,
    ) -> Option<Time> {
        let mut oldest: Option<Time> = None;
        for host in others {
            let (asked, version) = self.reports.get(host)?;
            if *version > self.version {
                return None;
            }
            oldest = Some(oldest.map_or(*asked, |at| at.min(*asked)));
        }
        oldest
    }
}
