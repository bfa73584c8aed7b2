//! The shares of all hosts, as the platform stores them.

use serde::{Deserialize, Serialize};

use crate::id;

/// Slack for the rounding of sums, as a fraction of the whole and in absolute terms.
const ROUNDING: f64 = 1e-9;

/// An entry host in one of its epochs; a host that was fenced continues under a new epoch.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Holder {
    /// Name of the host.
    pub host: id::EntryHost,
    /// Epoch; a new one starts with each process and after each fence.
    pub epoch: u64,
}

/// Ledger entry of a host that may hold shares.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The host.
    pub holder: Holder,
    /// The one other host that may fence the entry.
    pub guardian: Option<Holder>,
    /// Heartbeat counter, which the host raises with each write.
    pub beat: u64,
    /// Whether its shares are being revoked.
    pub fenced: bool,
}

/// Limits of an account over the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Account.
    pub account: id::Account,
    /// Revision of the configuration that sets the limits.
    pub revision: u64,
    /// Rate, in requests a second.
    pub rate: f64,
    /// Burst, in requests.
    pub burst: f64,
}

/// An amount of rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amount {
    /// Rate, in requests a second.
    pub rate: f64,
    /// Burst, in requests.
    pub burst: f64,
}

/// A host's share of an account; only the host itself changes it until its entry is fenced.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// Account.
    pub account: id::Account,
    /// Host.
    pub holder: Holder,
    /// Share of the rate, in requests a second.
    pub rate: f64,
    /// Share of the burst, in requests.
    pub burst: f64,
    /// Demand that the host sees, in requests a second.
    pub demand: f64,
}

/// Shares of all hosts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ledger {
    /// Hosts.
    pub entries: Vec<Entry>,
    /// Accounts.
    pub limits: Vec<Limit>,
    /// Shares.
    pub grants: Vec<Grant>,
}

impl Ledger {
    /// Returns a host's entry.
    pub fn entry(&self, holder: &Holder) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.holder == *holder)
    }

    /// Returns the limit of an account.
    pub fn limit(&self, account: &id::Account) -> Option<&Limit> {
        self.limits.iter().find(|limit| limit.account == *account)
    }

    /// Returns the grants of an account to all hosts.
    pub fn grants_of<'a>(&'a self, account: &'a id::Account) -> impl Iterator<Item = &'a Grant> {
        self.grants.iter().filter(move |grant| grant.account == *account)
    }

    /// Returns the grant of an account to a host.
    pub fn grant(&self, account: &id::Account, holder: &Holder) -> Option<&Grant> {
        self.grants.iter().find(|grant| grant.account == *account && grant.holder == *holder)
    }

    /// Returns a host's share of an account, zero if it has none.
    pub fn share(&self, account: &id::Account, holder: &Holder) -> Amount {
        let amount = |grant: &Grant| Amount { rate: grant.rate, burst: grant.burst };
        self.grant(account, holder).map_or(Amount::default(), amount)
    }

    /// Removes a host and its shares.
    pub fn remove(&mut self, holder: &Holder) {
        self.entries.retain(|entry| entry.holder != *holder);
        self.grants.retain(|grant| grant.holder != *holder);
    }

    /// Returns the sum of all hosts' shares of an account.
    pub fn held(&self, account: &id::Account) -> Amount {
        self.grants_of(account).fold(Amount::default(), |sum, grant| Amount {
            rate: sum.rate + grant.rate,
            burst: sum.burst + grant.burst,
        })
    }

    /// Returns the amount of an account that no host holds.
    pub fn free(&self, limit: &Limit) -> Amount {
        let held = self.held(&limit.account);
        Amount {
            rate: (limit.rate - held.rate).max(0.0),
            burst: (limit.burst - held.burst).max(0.0),
        }
    }

    /// Returns the number of accounts whose shares exceed the limit after a change from `before`.
    ///
    /// When a limit is lowered, the sums exceed it until the holders have reduced their shares;
    /// they must not grow until then.
    pub fn violations(&self, before: &Ledger) -> usize {
        let is_above = |sum: f64, limit: f64| sum > limit * (1.0 + ROUNDING) + ROUNDING;
        let exceeds = |limit: &&Limit| {
            let (held, held_before) = (self.held(&limit.account), before.held(&limit.account));
            is_above(held.rate, limit.rate.max(held_before.rate))
                || is_above(held.burst, limit.burst.max(held_before.burst))
        };
        self.limits.iter().filter(exceeds).count()
    }
}
