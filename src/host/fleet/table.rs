//! Rows and objects in which the platform stores the configuration.

use std::sync::Arc;

use {
    serde::{Deserialize, Serialize},
    toucanhoist_core::{
        configuration::{Entry, Pointer, Snapshot},
        event::Event,
        id,
        key::Digest,
    },
    toucanhoist_store::{Check, Error, Expect, Platform, Row, Transaction, Version, Write},
};

use super::Context;

const TABLE: &str = "configuration";
const HEAD: &str = "head";
const SNAPSHOTS: &str = "snapshots";
const HISTORY: &str = "configuration_history";
const HISTORY_ROWS_MAX: u64 = 200;
const SNAPSHOTS_KEPT: usize = 2;
/// Largest number of entries in one read.
pub(super) const READ_ENTRIES_MAX: u64 = 256;
/// Number of changes between two snapshots.
pub(super) const SNAPSHOT_CHANGES: u64 = 100;

/// The highest revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Head {
    pub revision: id::Revision,
    pub change: id::Request,
    pub author: Box<str>,
    pub reason: Box<str>,
}

/// Reads the highest revision and the version of its row.
pub(super) async fn head(platform: &dyn Platform) -> Result<Option<(Version, Head)>, Error> {
    let rows = platform.read(TABLE, &[HEAD.into()]).await?;
    Ok(rows.into_iter().next().flatten().and_then(|row| Some((row.version, parse(row)?))))
}

/// Reads the entries of the revisions `first` to `last`; missing ones are left out.
pub(super) async fn entries(
    platform: &dyn Platform,
    first: id::Revision,
    last: id::Revision,
) -> Result<Vec<Arc<Entry>>, Error> {
    let numbers = first.as_u64()..=last.as_u64().min(first.as_u64() + READ_ENTRIES_MAX - 1);
    let keys: Vec<Box<str>> = numbers.map(|number| number.to_string().into()).collect();
    let rows = platform.read(HISTORY, &keys).await?;
    Ok(rows.into_iter().flatten().filter_map(parse).map(Arc::new).collect())
}

/// Reads the latest entries, the oldest first.
pub(super) async fn history(platform: &dyn Platform) -> Result<Vec<Entry>, Error> {
    let Some((_, head)) = head(platform).await? else { return Ok(Vec::new()) };
    let first = head.revision.as_u64().saturating_sub(HISTORY_ROWS_MAX - 1).max(1);
    let entries = entries(platform, first.into(), head.revision).await?;
    Ok(entries.into_iter().map(Arc::unwrap_or_clone).collect())
}

/// Returns the writes that make an entry the highest revision.
pub(super) fn writes(entry: &Entry) -> Vec<Write> {
    let head = Head {
        revision: entry.revision,
        change: entry.change,
        author: entry.author.clone(),
        reason: entry.reason.clone(),
    };
    vec![
        Write::put(TABLE, HEAD, to_json(&head)),
        Write::put(HISTORY, &entry.revision.to_string(), to_json(entry)),
    ]
}

/// Makes an entry the highest revision, if the row of the highest revision is as expected.
pub(super) async fn append(
    platform: &dyn Platform,
    expect: Expect,
    entry: &Entry,
) -> Result<Version, Error> {
    let checks = vec![Check::new(TABLE, HEAD, expect)];
    platform.transact(Transaction { checks, writes: writes(entry) }).await
}

/// Reads the latest snapshot that is not damaged.
pub(super) async fn load_snapshot(context: &Context) -> Result<Option<Snapshot>, Error> {
    let platform = &*context.platform;
    let (_, pointers) = pointers(platform).await?;
    for pointer in pointers {
        let content = platform.get_object(&pointer.object).await?;
        match content.and_then(|content| Snapshot::from_bytes(&content, &pointer)) {
            Some(snapshot) => return Ok(Some(snapshot)),
            None => context.journal.note(
                Event::SnapshotDamaged,
                &[("revision", &pointer.revision), ("object", &pointer.object)],
            ),
        }
    }
    Ok(None)
}

/// Writes a snapshot and points to it, unless another host has written a later one.
pub(super) async fn store_snapshot(context: &Context, snapshot: &Snapshot) -> Result<(), Error> {
    let platform = &*context.platform;
    let content = snapshot.to_bytes();
    let digest = Digest::of(&content);
    let object: Box<str> = format!("configuration/{}-{digest}", snapshot.revision).into();
    platform.put_object(&object, content.into()).await?;
    let (expect, mut pointers) = pointers(platform).await?;
    if pointers.iter().any(|pointer| pointer.revision >= snapshot.revision) {
        return Ok(());
    }
    pointers.insert(0, Pointer { revision: snapshot.revision, object, digest });
    pointers.truncate(SNAPSHOTS_KEPT);
    let checks = vec![Check::new(TABLE, SNAPSHOTS, expect)];
    let writes = vec![Write::put(TABLE, SNAPSHOTS, to_json(&pointers))];
    platform.transact(Transaction { checks, writes }).await?;
    context.journal.note(Event::SnapshotWritten, &[("revision", &snapshot.revision)]);
    Ok(())
}

/// Reads the pointers to the snapshots, the latest first.
async fn pointers(platform: &dyn Platform) -> Result<(Expect, Vec<Pointer>), Error> {
    let rows = platform.read(TABLE, &[SNAPSHOTS.into()]).await?;
    Ok(match rows.into_iter().next().flatten() {
        Some(row) => (Expect::Version(row.version), parse(row).unwrap_or_default()),
        None => (Expect::Absent, Vec::new()),
    })
}

fn parse<T: serde::de::DeserializeOwned>(row: Row) -> Option<T> {
    serde_json::from_str(&row.value?).ok()
}

fn to_json<T: Serialize>(value: &T) -> Box<str> {
    serde_json::to_string(value).unwrap_or_default().into()
}
