//! State of keys and shares, as shown to operators.

use {
    serde::Serialize,
    toucanhoist_core::{
        id,
        quota::{Ledger, Source},
    },
};

/// State of a host's keys and shares.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Source by which the keys are known to be up to date: `platform`, `peer`, `fleet` or `stale`.
    pub keys_rule: Box<str>,
    /// Time since the last read from the platform, in milliseconds.
    pub platform_age_ms: Option<u64>,
    /// Source by which the lease on the shares is valid: `platform`, `guardian` or `lapsed`.
    pub lease: Box<str>,
    /// The host's shares.
    pub shares: Vec<Share>,
}

/// A host's share of an account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Share {
    /// Account.
    pub account: id::Account,
    /// Share of the rate, in requests a second.
    pub rate: f64,
    /// Share of the burst, in requests.
    pub burst: f64,
    /// Demand measured at the host, in requests a second.
    pub demand: f64,
}

pub(super) fn lease(source: Source) -> &'static str {
    match source {
        Source::Platform => "platform",
        Source::Guardian => "guardian",
        Source::Lapsed => "lapsed",
    }
}

pub(super) fn shares(ledger: &Ledger, host: &id::EntryHost) -> Vec<Share> {
    let own = ledger.grants.iter().filter(|grant| grant.holder.host == *host);
    let share = own.map(|grant| Share {
        account: grant.account.clone(),
        rate: grant.rate,
        burst: grant.burst,
        demand: grant.demand,
    });
    share.collect()
}
