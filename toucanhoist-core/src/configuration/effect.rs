/*!
Targets, accounts and capacity that a change removes at once.

A valid configuration can still be wrong: an empty list of targets passes every check of types,
ranges and references. An operator must confirm by name each [`Loss`] above the fleet's cap.
*/

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
};

use serde::Serialize;

use crate::{catalog::Catalog, fleet::Fleet, id, unit::Share};

/// Part of a total that a change removes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loss {
    /// Name by which an operator confirms it.
    pub name: Box<str>,
    /// Amount removed.
    pub lost: u64,
    /// Amount before the change.
    pub of: u64,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} of {} lost", self.name, self.lost, self.of)
    }
}

/// Returns what a change removes of the targets, of the accounts and of each service's slots.
pub fn losses(old: &Fleet, new: &Fleet) -> Vec<Loss> {
    let (before, after) = (Capacity::of(old), Capacity::of(new));
    let mut losses = vec![
        loss("targets", &before.targets, &after.targets),
        loss("accounts", &accounts(old), &accounts(new)),
    ];
    for (service, slots) in &before.slots {
        let left = after.slots.get(service).copied().unwrap_or(0);
        let name = format!("room:{service}").into();
        losses.push(Loss { name, lost: slots.saturating_sub(left), of: *slots });
    }
    losses.retain(|loss| loss.lost > 0);
    losses.sort_by(|a, b| a.name.cmp(&b.name));
    losses
}

/// Returns the losses above `cap` that `confirmed` does not name.
pub fn unconfirmed(losses: Vec<Loss>, cap: Share, confirmed: &[Box<str>]) -> Vec<Loss> {
    let is_large = |loss: &Loss| loss.lost as f64 > cap.as_f64() * loss.of as f64;
    losses.into_iter().filter(|l| is_large(l) && !confirmed.contains(&l.name)).collect()
}

/// Targets that are not draining, and their slots by service.
struct Capacity {
    targets: BTreeSet<id::Target>,
    slots: HashMap<id::Service, u64>,
}

impl Capacity {
    fn of(fleet: &Fleet) -> Capacity {
        let catalog = Catalog::new(
            id::Revision::default(),
            &Fleet { client_blocks: Vec::new(), ..fleet.clone() },
        );
        let mut capacity = Capacity { targets: BTreeSet::new(), slots: HashMap::new() };
        for service in catalog.services() {
            let active = || service.targets.iter().filter(|target| !target.draining);
            capacity.targets.extend(active().map(|target| target.name.clone()));
            let slots = active().map(|target| u64::from(target.slots)).sum();
            capacity.slots.insert(service.name.clone(), slots);
        }
        capacity
    }
}

fn accounts(fleet: &Fleet) -> BTreeSet<id::Account> {
    fleet.accounts.iter().map(|account| account.name.clone()).collect()
}

fn loss<T: Ord>(name: &str, before: &BTreeSet<T>, after: &BTreeSet<T>) -> Loss {
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    Loss {
        name: name.into(),
        lost: count(before.difference(after).count()),
        of: count(before.len()),
    }
}
