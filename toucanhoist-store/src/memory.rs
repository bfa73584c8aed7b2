use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
};

use {async_trait::async_trait, bytes::Bytes};

use crate::{
    Check, Error, ErrorKind, Expect, ListedHost, Platform, Row, Transaction, Version, Write,
};

/// A platform in memory.
#[derive(Debug, Default)]
pub struct Memory {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    version: Version,
    tables: HashMap<Box<str>, Table>,
    objects: HashMap<Box<str>, Bytes>,
    hosts: Vec<ListedHost>,
}

#[derive(Debug, Default)]
struct Table {
    rows: HashMap<Box<str>, Row>,
    changes: BTreeMap<(Version, Box<str>), ()>,
}

impl Memory {
    /// Creates an empty platform.
    pub fn new() -> Memory {
        Memory::default()
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.lock().hosts = hosts;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn holds(&self, check: &Check) -> bool {
        let row = self.tables.get(&check.table).and_then(|table| table.rows.get(&check.key));
        let row = row.filter(|row| row.value.is_some());
        match check.expect {
            Expect::Absent => row.is_none(),
            Expect::Version(version) => row.is_some_and(|row| row.version == version),
        }
    }

    fn apply(&mut self, write: Write, version: Version) {
        let table = self.tables.entry(write.table).or_default();
        let row = Row { key: write.key.clone(), version, value: write.value };
        if let Some(old) = table.rows.insert(write.key.clone(), row) {
            table.changes.remove(&(old.version, old.key));
        }
        table.changes.insert((version, write.key), ());
    }
}

#[async_trait]
impl Platform for Memory {
    async fn transact(&self, transaction: Transaction) -> Result<Version, Error> {
        let mut state = self.lock();
        if !transaction.checks.iter().all(|check| state.holds(check)) {
            return Err(Error::new(ErrorKind::Conflict));
        }
        let version = state.version.next();
        state.version = version;
        for write in transaction.writes {
            state.apply(write, version);
        }
        Ok(version)
    }

    async fn read(&self, table: &str, keys: &[Box<str>]) -> Result<Vec<Option<Row>>, Error> {
        let state = self.lock();
        let table = state.tables.get(table);
        let row = |key| table.and_then(|t| t.rows.get(key)).filter(|row| row.value.is_some());
        Ok(keys.iter().map(|key| row(key).cloned()).collect())
    }

    async fn scan(&self, table: &str, after: Version, limit: usize) -> Result<Vec<Row>, Error> {
        let state = self.lock();
        let Some(table) = state.tables.get(table) else { return Ok(Vec::new()) };
        let changes = table.changes.range((after.next(), Box::default())..);
        Ok(changes.take(limit).filter_map(|((_, key), ())| table.rows.get(key).cloned()).collect())
    }

    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Error> {
        self.lock().objects.insert(name.into(), content);
        Ok(())
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        Ok(self.lock().objects.get(name).cloned())
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, Error> {
        Ok(self.lock().hosts.clone())
    }
}
