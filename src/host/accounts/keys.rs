//! Grants and withdrawals of keys by operators.

use std::time::Duration;

use {
    serde::{Deserialize, Serialize},
    tokio::time::{self, Instant},
    toucanhoist_core::{event::Event, id, key::Digest},
    toucanhoist_store::{Error, Transaction, Version, Write},
};

use super::Handle;
use crate::host::peers::quota;

/// Table of the keys at the platform.
pub(super) const TABLE: &str = "keys";
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// A key as stored by the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Grant {
    /// Client account.
    pub account: id::Account,
    /// Operator who granted or withdrew it.
    pub author: Box<str>,
    /// Whether it is withdrawn.
    pub withdrawn: bool,
}

/// Outcome of a withdrawal that the platform accepted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// Other hosts that have confirmed that they know of it.
    pub confirmed: Vec<id::EntryHost>,
    /// Other hosts that did not confirm it in time. They refuse requests on keyed routes unless
    /// they learn of it from the platform or from another host.
    pub unconfirmed: Vec<id::EntryHost>,
}

impl Withdrawal {
    /// Whether the withdrawal is accepted, which requires that another host knows of it, if there
    /// is one.
    pub fn is_accepted(&self) -> bool {
        !self.confirmed.is_empty() || self.unconfirmed.is_empty()
    }
}

impl Handle {
    /// Grants a key.
    ///
    /// # Errors
    ///
    /// The platform did not accept it, or the outcome is unknown.
    pub async fn grant(
        &self,
        digest: Digest,
        account: id::Account,
        author: &str,
    ) -> Result<(), Error> {
        let grant = Grant { account, author: author.into(), withdrawn: false };
        self.write(digest, grant).await.map(|_| ())
    }

    /// Withdraws a key; `None` if there is no such key.
    ///
    /// # Errors
    ///
    /// The platform did not accept it, or the outcome is unknown.
    pub async fn withdraw(
        &self,
        digest: Digest,
        author: &str,
    ) -> Result<Option<Withdrawal>, Error> {
        let Some((_, mut grant)) = self.read(digest).await? else { return Ok(None) };
        grant.withdrawn = true;
        grant.author = author.into();
        let version = match self.write(digest, grant).await {
            Ok(version) => version,
            Err(error) if error.is_unknown() => match self.read(digest).await? {
                Some((version, stored)) if stored.withdrawn => version,
                _ => return Err(error),
            },
            Err(error) => return Err(error),
        };
        Ok(Some(self.confirm(version.as_u64()).await))
    }

    /// Lists the keys' digests with their grants.
    ///
    /// # Errors
    ///
    /// The platform is not available.
    pub async fn list(&self) -> Result<Vec<(Box<str>, Grant)>, Error> {
        let rows = self.context.platform.scan(TABLE, Version::default(), usize::MAX >> 1).await?;
        let grant = |value: Box<str>| serde_json::from_str(&value).ok();
        Ok(rows.into_iter().filter_map(|r| Some((r.key, r.value.and_then(grant)?))).collect())
    }

    async fn read(&self, digest: Digest) -> Result<Option<(Version, Grant)>, Error> {
        let key: Box<str> = digest.to_string().into();
        let rows = self.context.platform.read(TABLE, std::slice::from_ref(&key)).await?;
        let row = rows.into_iter().flatten().next();
        Ok(row.and_then(|row| Some((row.version, serde_json::from_str(&row.value?).ok()?))))
    }

    async fn write(&self, digest: Digest, grant: Grant) -> Result<Version, Error> {
        let event = if grant.withdrawn { Event::KeyWithdrawn } else { Event::KeyGranted };
        let value = serde_json::to_string(&grant).unwrap_or_default();
        let write = Write::put(TABLE, &digest.to_string(), value.into());
        let transaction = Transaction { checks: Vec::new(), writes: vec![write] };
        let version = self.context.platform.transact(transaction).await?;
        self.context.journal.note(event, &[("account", &grant.account), ("author", &grant.author)]);
        Ok(version)
    }

    /// Asks the other hosts repeatedly, until all of them know the changes up to `version` or the
    /// time-out has passed.
    async fn confirm(&self, version: u64) -> Withdrawal {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let view = self.fleet.view();
        let own = &self.context.settings.name;
        let mut pending: Vec<_> = view.live().filter(|m| m.name != *own).cloned().collect();
        let mut confirmed = Vec::new();
        while !pending.is_empty() && Instant::now() < deadline {
            let mut remaining = Vec::new();
            for member in pending {
                let changes = quota::keys(&self.peers, member.peers, version).await;
                if changes.is_some_and(|changes| changes.version >= version) {
                    confirmed.push(member.name);
                } else {
                    remaining.push(member);
                }
            }
            pending = remaining;
            if !pending.is_empty() {
                time::sleep(CONFIRM_INTERVAL).await;
            }
        }
        let unconfirmed: Vec<id::EntryHost> =
            pending.into_iter().map(|member| member.name).collect();
        if !unconfirmed.is_empty() {
            let names: Vec<&str> = unconfirmed.iter().map(id::EntryHost::as_str).collect();
            self.context.journal.note(Event::WithdrawalUnconfirmed, &[("hosts", &names.join(","))]);
        }
        Withdrawal { confirmed, unconfirmed }
    }
}
