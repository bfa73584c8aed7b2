//! Which of two entries for a key takes precedence.
//!
//! Within an era the higher version does. Between eras the entry of the newer one does, unless it
//! repeats a row of the backup that had already been superseded: a target that has left or is
//! draining stays so, and a configuration never goes back. A row of the backup has the number that
//! it had before, so a number up to the known one may be such a repetition; a higher number is a
//! new write in either case.

use std::cmp::Ordering;

use super::{Entry, Era, TargetState, Value};

/// Whether `new` takes the place of `known`.
pub(super) fn supersedes(known: &Entry, new: &Entry) -> bool {
    if let Some(Value::Config(known_config)) = &known.value {
        let Some(Value::Config(new_config)) = &new.value else { return false };
        let order = new_config.revision.cmp(&known_config.revision);
        return order.then(new.version.cmp(&known.version)).is_gt();
    }
    // Of two readings of one row, that of the build that could read it.
    if new.version == known.version && known.value == Some(Value::Unreadable) {
        return new.value.is_some() && new.value != known.value;
    }
    match new.version.era.cmp(&known.version.era) {
        Ordering::Greater => !reverts(known, new),
        Ordering::Less => reverts(new, known),
        Ordering::Equal => {
            // Before the first restore, no entry can override a row of a backup.
            let may_be_override = new.version.era > Era::default();
            let is_final = || may_be_override && lifecycle_stage(new) > lifecycle_stage(known);
            new.version > known.version || (new.version == known.version && is_final())
        }
    }
}

/// Whether `later`, of a newer era, only repeats a state that `earlier` had superseded.
pub(super) fn reverts(earlier: &Entry, later: &Entry) -> bool {
    if later.version.number > earlier.version.number {
        return false;
    }
    match (&earlier.value, &later.value) {
        (None, Some(Value::Target(_))) => true,
        (Some(Value::Target(earlier)), Some(Value::Target(later))) => {
            let is_draining = earlier.state == TargetState::Draining;
            let was_ready = later.state == TargetState::Ready;
            earlier.born > later.born || (earlier.born == later.born && is_draining && was_ready)
        }
        (Some(Value::Host(earlier)), Some(Value::Host(later))) => earlier.epoch > later.epoch,
        _ => false,
    }
}

/// Stage of an entry in its lifecycle: removed or not, incarnation, draining or not. Of two entries
/// with one version, the one in the later stage overrides a row of the backup.
fn lifecycle_stage(entry: &Entry) -> (bool, u64, bool) {
    match &entry.value {
        None => (true, 0, false),
        Some(Value::Target(target)) => (false, target.born, target.state == TargetState::Draining),
        Some(Value::Host(host)) => (false, host.epoch, false),
        Some(_) => (false, 0, false),
    }
}
