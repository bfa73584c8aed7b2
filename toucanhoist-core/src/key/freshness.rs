//! How fresh a host's knowledge of withdrawn keys is.
//!
//! A withdrawal is accepted only by a write to the platform, and the host that wrote it knows it
//! before it answers. So a host knows all withdrawals accepted until some time if it heard, at that
//! time or later, (a) from the platform, (b) from a host that had, or (c) from every other host of
//! the fleet that none knows more. Each is dated with the time at which the question was asked.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Time, id};

/// What the knowledge of keys rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The platform was heard.
    Platform,
    /// A host was heard that heard the platform.
    Peer,
    /// Every other host of the fleet was heard.
    Fleet,
    /// Nothing recent enough: keyed routes are closed.
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

/// What another host said of its knowledge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Version of the platform up to which it knows all changes.
    pub version: u64,
    /// Time since it heard from the platform, when it answered.
    pub platform_age: Option<Duration>,
}

/// How fresh a host's knowledge of keys is.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    version: u64,
    platform: Option<Time>,
    peer: Option<Time>,
    reports: HashMap<id::EntryHost, (Time, u64)>,
}

impl Freshness {
    /// Time that knowledge is good for. A request runs and a withdrawal spreads within the bound of
    /// 5 s that operators are promised, so this is below it by what a hop and a clock may err.
    pub const MAX: Duration = Duration::from_millis(4_500);

    /// Returns the version up to which all changes are known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that all changes up to `version` were read from the platform, asked at `asked`.
    pub fn record_read(&mut self, asked: Time, version: u64) {
        self.platform = self.platform.max(Some(asked));
        self.version = self.version.max(version);
    }

    /// Records that all changes up to `version` are known, but that there may be more.
    pub fn advance(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Records another host's report, asked at `asked`, whose changes have been taken in.
    pub fn record_report(&mut self, host: &id::EntryHost, asked: Time, report: Report) {
        self.version = self.version.max(report.version);
        if let Some(age) = report.platform_age.filter(|age| *age < Freshness::MAX) {
            self.peer = self.peer.max(Some(asked - age));
        }
        let known = self.reports.entry(host.clone()).or_insert((asked, report.version));
        if asked >= known.0 {
            *known = (asked, report.version);
        }
    }

    /// Returns the time since the platform was heard, here or by way of another host.
    pub fn platform_age(&self, now: Time) -> Option<Duration> {
        self.platform.max(self.peer).map(|at| now.since(at))
    }

    /// Returns what the knowledge rests on and until when, with `others` the other hosts of the
    /// fleet.
    pub fn rule<'a>(
        &self,
        now: Time,
        others: impl Iterator<Item = &'a id::EntryHost>,
    ) -> (Rule, Time) {
        let rules = [
            (Rule::Platform, self.platform),
            (Rule::Peer, self.peer),
            (Rule::Fleet, self.platform.and(self.fleet(others))),
        ];
        let fresh = rules.into_iter().filter_map(|(rule, at)| Some((rule, at? + Freshness::MAX)));
        let mut fresh = fresh.filter(|(_, until)| now < *until);
        fresh.next().unwrap_or((Rule::Stale, now))
    }

    /// Returns the time at which every other host was heard, none of which knows more.
    fn fleet<'a>(&self, others: impl Iterator<Item = &'a id::EntryHost>) -> Option<Time> {
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
