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

pub(super) const KEYS: &str = "keys";
const CONFIRM_MAX: Duration = Duration::from_secs(4);
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// A key as the platform keeps it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Grant {
    /// Client account.
    pub account: id::Account,
    /// Who granted or withdrew it.
    pub author: Box<str>,
    /// Whether it is withdrawn.
    pub withdrawn: bool,
}

/// What became of a withdrawal that the platform took.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// Other hosts that know of it.
    pub confirmed: Vec<id::EntryHost>,
    /// Other hosts that did not say so in time. They close keyed routes unless they hear of it by
    /// way of the platform or of another host.
    pub unconfirmed: Vec<id::EntryHost>,
}

impl Withdrawal {
    /// Whether the withdrawal is accepted: known to more than the host that wrote it.
    pub fn is_accepted(&self) -> bool {
        !self.confirmed.is_empty() || self.unconfirmed.is_empty()
    }
}

impl Handle {
    /// Grants a key.
    ///
    /// # Errors
    ///
    /// The platform did not accept it, or may not have.
    pub async fn grant(
        &self,
        digest: Digest,
        account: id::Account,
        author: &str,
    ) -> Result<(), Error> {
        let grant = Grant { account, author: author.into(), withdrawn: false };
        self.store(digest, grant).await.map(|_| ())
    }

    /// Withdraws a key; `None` if there is no such key.
    ///
    /// # Errors
    ///
    /// The platform did not accept it, or may not have.
    pub async fn withdraw(
        &self,
        digest: Digest,
        author: &str,
    ) -> Result<Option<Withdrawal>, Error> {
        let Some((_, mut grant)) = self.stored(digest).await? else { return Ok(None) };
        grant.withdrawn = true;
        grant.author = author.into();
        let version = match self.store(digest, grant).await {
            Ok(version) => version,
            Err(error) if error.is_unknown() => match self.stored(digest).await? {
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
        let rows = self.context.platform.scan(KEYS, Version::default(), usize::MAX >> 1).await?;
        let grant = |value: Box<str>| serde_json::from_str(&value).ok();
        Ok(rows.into_iter().filter_map(|r| Some((r.key, r.value.and_then(grant)?))).collect())
    }

    async fn stored(&self, digest: Digest) -> Result<Option<(Version, Grant)>, Error> {
        let key: Box<str> = digest.to_string().into();
        let rows = self.context.platform.read(KEYS, std::slice::from_ref(&key)).await?;
        let row = rows.into_iter().flatten().next();
        Ok(row.and_then(|row| Some((row.version, serde_json::from_str(&row.value?).ok()?))))
    }

    async fn store(&self, digest: Digest, grant: Grant) -> Result<Version, Error> {
        let event = if grant.withdrawn { Event::KeyWithdrawn } else { Event::KeyGranted };
        let value = serde_json::to_string(&grant).unwrap_or_default();
        let write = Write::put(KEYS, &digest.to_string(), value.into());
        let transaction = Transaction { checks: Vec::new(), writes: vec![write] };
        let version = self.context.platform.transact(transaction).await?;
        self.context.journal.note(event, &[("account", &grant.account), ("author", &grant.author)]);
        Ok(version)
    }

    /// Asks the other hosts until they know all changes up to `version`, for a short while.
    async fn confirm(&self, version: u64) -> Withdrawal {
        let end = Instant::now() + CONFIRM_MAX;
        let view = self.fleet.view();
        let own = &self.context.settings.name;
        let mut open: Vec<_> = view.live().filter(|m| m.name != *own).cloned().collect();
        let mut confirmed = Vec::new();
        while !open.is_empty() && Instant::now() < end {
            let mut left = Vec::new();
            for member in open {
                let known = quota::keys(&self.peers, member.peers, version).await;
                if known.is_some_and(|changes| changes.version >= version) {
                    confirmed.push(member.name);
                } else {
                    left.push(member);
                }
            }
            open = left;
            if !open.is_empty() {
                time::sleep(CONFIRM_INTERVAL).await;
            }
        }
        let unconfirmed: Vec<id::EntryHost> = open.into_iter().map(|member| member.name).collect();
        if !unconfirmed.is_empty() {
            let names: Vec<&str> = unconfirmed.iter().map(id::EntryHost::as_str).collect();
            self.context.journal.note(Event::WithdrawalUnconfirmed, &[("hosts", &names.join(","))]);
        }
        Withdrawal { confirmed, unconfirmed }
    }
}
