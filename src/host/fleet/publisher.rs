//! Resolves each new revision and puts it in force.

use std::sync::Arc;

use {
    tokio::{sync::watch, task},
    toucanhoist_core::{catalog::Catalog, event::Event, fleet::Fleet, id},
    toucanhoist_edge::clock::unix_ms,
};

use super::{Context, count_violation};

/// A configuration to be put in force.
#[derive(Clone, Debug, Default)]
pub(super) struct Document {
    pub revision: id::Revision,
    pub fleet: Arc<Fleet>,
    /// Unix time at which it was accepted, in milliseconds, if known.
    pub accepted_unix_ms: Option<u64>,
}

/// Puts documents in force until their sender is dropped. A later document replaces a waiting one.
pub(super) async fn run(
    context: Context,
    mut documents: watch::Receiver<Document>,
    catalog: watch::Sender<Arc<Catalog>>,
) {
    while documents.changed().await.is_ok() {
        let document = documents.borrow_and_update().clone();
        let Document { revision, fleet, accepted_unix_ms } = document;
        let resolving = task::spawn_blocking(move || Catalog::shared(revision, fleet));
        let Ok(resolved) = resolving.await else { continue };
        if revision < catalog.borrow().revision() {
            count_violation("configuration-reverted");
            debug_assert!(false, "revision {revision} after {}", catalog.borrow().revision());
            continue;
        }
        catalog.send_replace(Arc::new(resolved));
        metrics::gauge!("toucanhoist_configuration_revision").set(revision.as_u64() as f64);
        let age = accepted_unix_ms.map(|at| unix_ms().saturating_sub(at).to_string());
        let age = age.as_deref().unwrap_or("unknown");
        context
            .journal
            .note(Event::ConfigurationInForce, &[("revision", &revision), ("age_ms", &age)]);
    }
}
