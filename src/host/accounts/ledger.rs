//! Reads and writes of the ledger of shares at the platform.

use {
    tokio::time,
    toucanhoist_core::quota::{Account, Holder, Ledger, Plan},
    toucanhoist_store::{Check, Error, Expect, Platform, Transaction, Version, Write},
};

const TABLE: &str = "quota";
const LEDGER: &str = "ledger";
const ATTEMPTS_MAX: usize = 5;

/// Reads the ledger and its version, if it has changed since the version `known`.
pub(super) async fn read(
    platform: &dyn Platform,
    known: u64,
) -> Result<Option<(u64, Ledger)>, Error> {
    let rows = platform.scan(TABLE, Version::from(known), 1).await?;
    let Some(row) = rows.into_iter().next() else { return Ok(None) };
    let ledger = row.value.and_then(|value| serde_json::from_str(&value).ok());
    Ok(Some((row.version.as_u64(), ledger.unwrap_or_default())))
}

/// Writes a planned ledger, if the stored one still has the plan's base version, and returns the
/// new version.
pub(super) async fn write(platform: &dyn Platform, plan: &Plan) -> Result<u64, Error> {
    let expect = match plan.base {
        0 => Expect::Absent,
        version => Expect::Version(Version::from(version)),
    };
    let value = serde_json::to_string(&plan.ledger).unwrap_or_default();
    let transaction = Transaction {
        checks: vec![Check::new(TABLE, LEDGER, expect)],
        writes: vec![Write::put(TABLE, LEDGER, value.into())],
    };
    platform.transact(transaction).await.map(Version::as_u64)
}

/// Removes the entry of a host that has stopped using its shares, once the tokens that it gave
/// before cannot be accepted any more.
pub(super) async fn remove_holder(platform: &dyn Platform, holder: &Holder) {
    time::sleep(Account::TRANSIT).await;
    for _ in 0..ATTEMPTS_MAX {
        let Ok(Some((base, mut ledger))) = read(platform, 0).await else { return };
        if ledger.entry(holder).is_none() {
            return;
        }
        ledger.remove(holder);
        if write(platform, &Plan { base, ledger }).await.is_ok() {
            return;
        }
    }
}
