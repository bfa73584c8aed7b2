//! The shares of all hosts, as the platform keeps them.

use serde::{Deserialize, Serialize};

use crate::id;

/// Slack for the rounding of sums, as a part of the whole.
const ROUNDING: f64 = 1e-9;

/// An entry host in one of its epochs: a host that was fenced goes on under a new epoch.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Holder {
    /// Name of the host.
    pub host: id::EntryHost,
    /// Epoch, unique for each process and each fence.
    pub epoch: u64,
}

/// A host that may hold shares.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The host.
    pub holder: Holder,
    /// The one host that may fence it.
    pub guardian: Option<Holder>,
    /// Number that the host raises to show that it is there.
    pub beat: u64,
    /// Whether its shares are being taken back.
    pub fenced: bool,
}

/// What an account was agreed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Account.
    pub account: id::Account,
    /// Revision of the configuration.
    pub revision: u64,
    /// Rate, in requests a second.
    pub rate: f64,
    /// Burst, in requests.
    pub burst: f64,
}

/// A share of a rate and of a burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amount {
    /// Of the rate, in requests a second.
    pub rate: f64,
    /// Of the burst, in requests.
    pub burst: f64,
}

/// A host's share of an account; only the host itself changes it while its entry stands.
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

    /// Returns the shares of an account.
    pub fn grants_of<'a>(&'a self, account: &'a id::Account) -> impl Iterator<Item = &'a Grant> {
        self.grants.iter().filter(move |grant| grant.account == *account)
    }

    /// Returns a host's share of an account.
    pub fn grant(&self, account: &id::Account, holder: &Holder) -> Option<&Grant> {
        self.grants.iter().find(|grant| grant.account == *account && grant.holder == *holder)
    }

    /// Returns the size of a host's share of an account, nothing if it has none.
    pub fn share(&self, account: &id::Account, holder: &Holder) -> Amount {
        let size = |grant: &Grant| Amount { rate: grant.rate, burst: grant.burst };
        self.grant(account, holder).map_or(Amount::default(), size)
    }

    /// Removes a host and its shares.
    pub fn remove(&mut self, holder: &Holder) {
        self.entries.retain(|entry| entry.holder != *holder);
        self.grants.retain(|grant| grant.holder != *holder);
    }

    /// Returns what all hosts hold of an account.
    pub fn held(&self, account: &id::Account) -> Amount {
        self.grants_of(account).fold(Amount::default(), |sum, grant| Amount {
            rate: sum.rate + grant.rate,
            burst: sum.burst + grant.burst,
        })
    }

    /// Returns what nobody holds of an account.
    pub fn free(&self, limit: &Limit) -> Amount {
        let held = self.held(&limit.account);
        Amount {
            rate: (limit.rate - held.rate).max(0.0),
            burst: (limit.burst - held.burst).max(0.0),
        }
    }

    /// Returns how often a change from `before` gave out more than an account was agreed.
    ///
    /// After a limit was lowered the sums exceed it until holders have shrunk; they must not grow
    /// until then.
    pub fn violations(&self, before: &Ledger) -> usize {
        let over = |now: f64, most: f64| now > most * (1.0 + ROUNDING) + ROUNDING;
        let exceeds = |limit: &&Limit| {
            let (now, earlier) = (self.held(&limit.account), before.held(&limit.account));
            over(now.rate, limit.rate.max(earlier.rate))
                || over(now.burst, limit.burst.max(earlier.burst))
        };
        self.limits.iter().filter(exceeds).count()
    }
}
