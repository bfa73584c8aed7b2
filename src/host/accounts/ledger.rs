//! The ledger of shares in the platform.

use {
    tokio::time,
    toucanhoist_core::quota::{Account, Holder, Ledger, Plan},
    toucanhoist_store::{Check, Error, Expect, Platform, Transaction, Version, Write},
};

const TABLE: &str = "quota";
const LEDGER: &str = "ledger";
const TRIES: usize = 5;

/// Reads the ledger with its version, if it has changed since `known`.
pub(super) async fn read(
    platform: &dyn Platform,
    known: u64,
) -> Result<Option<(u64, Ledger)>, Error> {
    let rows = platform.scan(TABLE, Version::from(known), 1).await?;
    let Some(row) = rows.into_iter().next() else { return Ok(None) };
    let ledger = row.value.and_then(|value| serde_json::from_str(&value).ok());
    Ok(Some((row.version.as_u64(), ledger.unwrap_or_default())))
}

/// Writes a plan, if the ledger has not changed since, and returns the version.
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

/// Removes a host that has given up its shares.
pub(super) async fn give_back(platform: &dyn Platform, holder: &Holder) {
    time::sleep(Account::TRANSIT).await;
    for _ in 0..TRIES {
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
