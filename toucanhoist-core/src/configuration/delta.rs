use std::fmt::Display;

use serde::{Deserialize, Serialize};

use crate::fleet::{
    Account, Block, Defaults, Exception, Fleet, Link, Region, Route, Service, Target,
};

const TOUCHES_MAX: usize = 50;

/// Difference between two configurations.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Delta {
    #[serde(skip_serializing_if = "Option::is_none")]
    defaults: Option<Box<Defaults>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    exceptions: Vec<Splice<Exception>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    regions: Vec<Splice<Region>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    links: Vec<Splice<Link>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    client_blocks: Vec<Splice<Block>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    services: Vec<Splice<Service>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    targets: Vec<Splice<Target>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    routes: Vec<Splice<Route>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    accounts: Vec<Splice<Account>>,
}

/// Replacement of consecutive items of a list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Splice<T> {
    /// Length of the list before the change.
    pub length: usize,
    /// Index of the first item replaced.
    pub at: usize,
    /// Number of items replaced.
    pub remove: usize,
    /// Items that replace them.
    pub insert: Vec<T>,
}

impl Delta {
    /// Returns the difference that leads from `old` to `new`.
    pub fn between(old: &Fleet, new: &Fleet) -> Delta {
        let defaults = (old.defaults != new.defaults).then(|| Box::new(new.defaults.clone()));
        Delta {
            defaults,
            exceptions: splices(&old.exceptions, &new.exceptions),
            regions: splices(&old.regions, &new.regions),
            links: splices(&old.links, &new.links),
            client_blocks: splices(&old.client_blocks, &new.client_blocks),
            services: splices(&old.services, &new.services),
            targets: splices(&old.targets, &new.targets),
            routes: splices(&old.routes, &new.routes),
            accounts: splices(&old.accounts, &new.accounts),
        }
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        *self == Delta::default()
    }

    /// Applies the difference, or returns `None` if it does not fit `fleet`.
    pub fn apply(&self, fleet: &Fleet) -> Option<Fleet> {
        let defaults = match &self.defaults {
            Some(defaults) => (**defaults).clone(),
            None => fleet.defaults.clone(),
        };
        Some(Fleet {
            defaults,
            exceptions: spliced(&fleet.exceptions, &self.exceptions)?,
            regions: spliced(&fleet.regions, &self.regions)?,
            links: spliced(&fleet.links, &self.links)?,
            client_blocks: spliced(&fleet.client_blocks, &self.client_blocks)?,
            services: spliced(&fleet.services, &self.services)?,
            targets: spliced(&fleet.targets, &self.targets)?,
            routes: spliced(&fleet.routes, &self.routes)?,
            accounts: spliced(&fleet.accounts, &self.accounts)?,
        })
    }

    /// Returns a readable list of what differs from `old`; a long list is cut.
    pub fn touches(&self, old: &Fleet) -> Vec<Box<str>> {
        let mut touches = Vec::new();
        if self.defaults.is_some() {
            touches.push("defaults changed".into());
        }
        list(&mut touches, "exception", &self.exceptions, &old.exceptions, |e| {
            serde_json::to_string(&e.scope).unwrap_or_default()
        });
        list(&mut touches, "region", &self.regions, &old.regions, |r| r.name.clone());
        list(&mut touches, "link", &self.links, &old.links, |l| {
            format!("{} to {}", l.between[0], l.between[1])
        });
        list(&mut touches, "block", &self.client_blocks, &old.client_blocks, |b| b.block);
        list(&mut touches, "service", &self.services, &old.services, |s| s.name.clone());
        list(&mut touches, "target", &self.targets, &old.targets, |t| t.name.clone());
        list(&mut touches, "route", &self.routes, &old.routes, |r| {
            format!("{}{}", r.service, r.path)
        });
        list(&mut touches, "account", &self.accounts, &old.accounts, |a| a.name.clone());
        let more = touches.len().saturating_sub(TOUCHES_MAX);
        touches.truncate(TOUCHES_MAX);
        if more > 0 {
            touches.push(format!("and {more} more").into());
        }
        touches
    }
}

/// Returns the runs of items that differ, without the common start and end of the lists.
fn splices<T: Clone + PartialEq>(old: &[T], new: &[T]) -> Vec<Splice<T>> {
    let start = old.iter().zip(new).take_while(|(a, b)| a == b).count();
    let rest = old.len().min(new.len()) - start;
    let end = old.iter().rev().zip(new.iter().rev()).take(rest).take_while(|(a, b)| a == b).count();
    let (old_end, new_end) = (old.len() - end, new.len() - end);
    if start == old_end && start == new_end {
        return Vec::new();
    }
    let splice = |at: usize, remove: usize, insert: &[T]| Splice {
        length: old.len(),
        at,
        remove,
        insert: insert.to_vec(),
    };
    if old.len() != new.len() {
        return vec![splice(start, old_end - start, &new[start..new_end])];
    }
    // In lists of equal length, changed items that are not adjacent become separate short runs.
    let mut runs: Vec<Splice<T>> = Vec::new();
    for i in (start..old_end).filter(|&i| old[i] != new[i]) {
        match runs.last_mut() {
            Some(run) if run.at + run.remove == i => {
                run.remove += 1;
                run.insert.push(new[i].clone());
            }
            _ => runs.push(splice(i, 1, &new[i..=i])),
        }
    }
    runs
}

/// Applies splices to a list; `None` if they do not fit it.
fn spliced<T: Clone>(old: &[T], splices: &[Splice<T>]) -> Option<Vec<T>> {
    let mut list = old.to_vec();
    // Applied from the end, so that the indexes of earlier splices stay valid.
    for splice in splices.iter().rev() {
        let end = splice.at.checked_add(splice.remove)?;
        if splice.length != old.len() || end > list.len() {
            return None;
        }
        list.splice(splice.at..end, splice.insert.iter().cloned());
    }
    Some(list)
}

/// Appends to `touches` the names of the items that were removed, changed or added.
fn list<T, D: Display + PartialEq>(
    touches: &mut Vec<Box<str>>,
    kind: &str,
    splices: &[Splice<T>],
    old: &[T],
    name: impl Fn(&T) -> D,
) {
    let removed = splices.iter().filter_map(|s| old.get(s.at..s.at + s.remove)).flatten();
    let removed: Vec<D> = removed.map(&name).collect();
    let inserted: Vec<D> = splices.iter().flat_map(|s| &s.insert).map(&name).collect();
    let limit = TOUCHES_MAX + 1;
    for name in removed.iter().filter(|name| !inserted.contains(name)).take(limit) {
        touches.push(format!("{kind} {name} removed").into());
    }
    for name in inserted.iter().take(limit) {
        let change = if removed.contains(name) { "changed" } else { "added" };
        touches.push(format!("{kind} {name} {change}").into());
    }
}
