//! Entries between hosts of different builds, which run side by side during an upgrade.
//!
//! A build may read what an earlier one cannot. An entry that earlier builds cannot decode would make
//! the message that holds it undecodable to them, with all other entries, so such entries travel in
//! fields that they ignore. And what a host of an earlier build could not read is not taken from it:
//! the topic counts as not known up to there, until this host has read it from the store itself.

use std::collections::BTreeMap;

use super::{Changes, Config, Entry, Key, Snapshot, Topic, Value, Version};

/// Number of the rules by which this build reads entries; raised when it reads more than the one
/// before. Messages of builds without a number count as 0.
pub const DECODER: u32 = 1;

type Entries = Vec<(Key, Entry)>;

/// Splits entries into those that builds without a number decode whole, and the others.
pub fn split(entries: Entries) -> (Entries, Entries) {
    entries.into_iter().partition(|(key, entry)| is_plain_key(key) && is_plain_entry(entry))
}

fn is_plain_key(key: &Key) -> bool {
    match key {
        Key::Config => true,
        Key::Evacuation(data_centre) => data_centre.is_plain(),
        Key::Target(target) => target.is_plain(),
        Key::Host(host) => host.is_plain(),
    }
}

fn is_plain_entry(entry: &Entry) -> bool {
    match &entry.value {
        None | Some(Value::Evacuation | Value::Unreadable) => true,
        Some(Value::Config(config)) => is_plain_config(config),
        Some(Value::Target(target)) => target.service.is_plain() && target.data_centre.is_plain(),
        Some(Value::Host(host)) => host.data_centre.is_plain(),
    }
}

/// Whether names follow the pattern, and fields that builds without a number lack say nothing that
/// the others do not.
fn is_plain_config(config: &Config) -> bool {
    let services = config.services.iter().all(|service| service.name.is_plain());
    let accounts = config.accounts.iter().all(|account| {
        account.name.is_plain() && account.homes.iter().all(|region| region.is_plain())
    });
    let routes = config.hosts.iter().flat_map(|host| &host.routes).all(|route| {
        route.parts.iter().all(|part| part.service.is_plain())
            && route.homes.iter().all(|region| region.is_plain())
    });
    let has_news = !config.unusable_keys.is_empty()
        || config.routes_unreadable
        || (config.requires_keys && config.accounts.is_empty());
    services && accounts && routes && !has_news
}

/// Removes what an earlier build could not read from its changes; returns whether there was any.
pub(super) fn remove_unread(decoder: u32, changes: &mut Changes) -> bool {
    let before = changes.entries.len();
    if decoder < DECODER {
        changes.entries.retain(|(_, entry)| entry.value != Some(Value::Unreadable));
    }
    changes.entries.len() < before
}

impl Snapshot {
    /// Prepares the snapshot for hosts of any build.
    pub fn into_message(mut self) -> Snapshot {
        (self.entries, self.further) = split(self.entries);
        (self.disputed, self.further_disputed) = split(self.disputed);
        self.decoder = DECODER;
        self
    }

    /// Returns the snapshot that a message holds.
    pub fn from_message(mut self) -> Snapshot {
        self.entries.append(&mut self.further);
        self.disputed.append(&mut self.further_disputed);
        self
    }

    /// Removes what an earlier build could not read; returns the topics of which this may be, with
    /// the versions up to which the snapshot claims to know them.
    pub(super) fn remove_unread(&mut self) -> BTreeMap<Topic, Version> {
        if self.decoder >= DECODER {
            return BTreeMap::new();
        }
        let is_unread = |entry: &Entry| entry.value == Some(Value::Unreadable);
        let unread = self.entries.iter().filter(|(_, entry)| is_unread(entry));
        let mut topics: Vec<Topic> = unread.map(|(key, _)| key.topic()).collect();
        // In place of a configuration that they cannot read, earlier builds hand on the former one.
        topics.push(Topic::Operator);
        self.entries.retain(|(_, entry)| !is_unread(entry));
        self.whole.retain(|topic| !topics.contains(topic));
        topics
            .into_iter()
            .filter_map(|topic| Some((topic, self.versions.remove(&topic)?)))
            .collect()
    }
}
