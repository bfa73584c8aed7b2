//! Writes changes of the configuration, conditional on the base revision.
//!
//! When the answer to a write is lost, the writer finds out whether the change was accepted.

use std::{sync::Arc, time::Duration};

use {
    tokio::time,
    toucanhoist_core::{
        catalog::Catalog,
        configuration::{
            Body, Delta, Entry,
            effect::{self, Loss},
        },
        fleet::Fleet,
        id,
    },
    toucanhoist_edge::clock::unix_ms,
    toucanhoist_store::{Error, ErrorKind, Expect},
};

use super::{Handle, Input, table};

const ATTEMPTS_MAX: u32 = 5;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);
const BASE_TIMEOUT: Duration = Duration::from_secs(3);

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Revision that it is based on.
    pub base: id::Revision,
    /// Identifier of the change; a repeated change is not applied twice.
    pub change: id::Request,
    /// Operator who asks for it.
    pub author: Box<str>,
    /// Reason that the operator gave.
    pub reason: Box<str>,
    /// Names of the losses that are confirmed.
    pub confirm: Vec<Box<str>>,
    /// The configuration after it.
    pub fleet: Fleet,
}

/// Outcome of a change that an operator asked for.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Accepted as this revision; the base revision if the change has no effect.
    Accepted(id::Revision),
    /// Other changes were accepted first.
    Conflict(Vec<Arc<Entry>>),
    /// It removes more than the loss cap allows, and the losses were not confirmed.
    Unconfirmed(Vec<Loss>),
    /// Not accepted, or the outcome is unknown.
    Failed(Error),
}

/// How one attempt ended.
enum Attempt {
    Done(Outcome),
    /// The outcome is unknown, or the row of the highest revision has changed.
    Retry(Error),
}

pub(super) async fn change(handle: &Handle, proposal: &Proposal) -> Outcome {
    let mut unknown = None;
    for _ in 0..ATTEMPTS_MAX {
        match attempt(handle, proposal).await {
            // After an attempt of unknown outcome, a later failure does not prove that the change
            // was not accepted.
            Attempt::Done(Outcome::Failed(error)) => {
                return Outcome::Failed(unknown.unwrap_or(error));
            }
            Attempt::Done(outcome) => return outcome,
            Attempt::Retry(error) => {
                if error.is_unknown() {
                    unknown = Some(error);
                }
                time::sleep(ATTEMPT_PAUSE).await;
            }
        }
    }
    Outcome::Failed(unknown.unwrap_or_else(|| Error::new(ErrorKind::Conflict)))
}

async fn attempt(handle: &Handle, proposal: &Proposal) -> Attempt {
    let platform = &*handle.context.platform;
    let head = match table::head(platform).await {
        Ok(head) => head,
        Err(error) => return Attempt::Done(Outcome::Failed(error)),
    };
    let highest = head.as_ref().map(|(_, head)| head.revision).unwrap_or_default();
    if highest > proposal.base {
        return settle(handle, proposal, highest).await;
    }
    let expect = head.map_or(Expect::Absent, |(version, _)| Expect::Version(version));
    let Some(catalog) = base_catalog(handle, proposal.base).await else {
        let reason = "this host does not have the base revision yet";
        return Attempt::Done(Outcome::Failed(unavailable(reason)));
    };
    let entry = match entry(proposal, &catalog) {
        Ok(entry) => Arc::new(entry),
        Err(outcome) => return Attempt::Done(outcome),
    };
    match table::append(platform, expect, &entry).await {
        Ok(_) => Attempt::Done(accepted(handle, entry).await),
        Err(error) if matches!(error.kind(), ErrorKind::Unavailable(_)) => {
            Attempt::Done(Outcome::Failed(error))
        }
        Err(error) => Attempt::Retry(error),
    }
}

/// Finds out whether the change that was accepted on the base revision is this one.
async fn settle(handle: &Handle, proposal: &Proposal, highest: id::Revision) -> Attempt {
    let platform = &*handle.context.platform;
    let entries = match table::entries(platform, proposal.base.next(), highest).await {
        Ok(entries) => entries,
        Err(error) => return Attempt::Done(Outcome::Failed(error)),
    };
    let own = entries.first().filter(|entry| entry.change == proposal.change);
    Attempt::Done(match own.cloned() {
        Some(entry) => accepted(handle, entry).await,
        None => Outcome::Conflict(entries),
    })
}

async fn accepted(handle: &Handle, entry: Arc<Entry>) -> Outcome {
    let revision = entry.revision;
    let _ = handle.inputs.send(Input::Accepted(entry)).await;
    Outcome::Accepted(revision)
}

/// Returns the configuration of the base revision; waits for it if it has not reached this host
/// yet.
async fn base_catalog(handle: &Handle, base: id::Revision) -> Option<Arc<Catalog>> {
    let mut catalogs = handle.catalog.clone();
    let wait = catalogs.wait_for(|catalog| catalog.revision() >= base);
    let catalog = time::timeout(BASE_TIMEOUT, wait).await.ok()?.ok()?;
    (catalog.revision() == base).then(|| Arc::clone(&catalog))
}

fn entry(proposal: &Proposal, catalog: &Catalog) -> Result<Entry, Outcome> {
    let old = catalog.fleet();
    let losses = effect::losses(old, &proposal.fleet);
    let losses = effect::unconfirmed(losses, old.defaults.loss_cap, &proposal.confirm);
    if !losses.is_empty() {
        return Err(Outcome::Unconfirmed(losses));
    }
    let delta = Delta::between(old, &proposal.fleet);
    if delta.is_empty() && proposal.base > id::Revision::default() {
        return Err(Outcome::Accepted(proposal.base));
    }
    Ok(Entry {
        revision: proposal.base.next(),
        change: proposal.change,
        author: proposal.author.clone(),
        reason: proposal.reason.clone(),
        at_unix_ms: unix_ms(),
        touches: delta.touches(old),
        body: Body::Delta(Box::new(delta)),
    })
}

fn unavailable(reason: &str) -> Error {
    Error::new(ErrorKind::Unavailable(reason.into()))
}
