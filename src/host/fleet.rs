/*!
Configuration and membership of a host.

One task owns the failure detector and the configuration and receives messages. A reader polls the
platform if the host is a watcher of its data centre. A publisher resolves each new revision in a
task of its own. Other tasks use the [`Handle`].
*/

use std::sync::Arc;

use {
    serde::{Deserialize, Serialize},
    tokio::sync::{mpsc, oneshot, watch},
    toucanhoist_core::{
        catalog::Catalog,
        configuration::{self, Body, Entry, Lineage, Snapshot},
        event::Event,
        fleet::Fleet,
        id,
        membership::{self, View},
    },
    toucanhoist_edge::clock::unix_ms,
    toucanhoist_store::{Error, Write},
};

use super::{Addresses, Context, peers};

mod publisher;
mod reader;
mod sender;
mod table;
mod task;
mod writer;

pub use self::{
    sender::MemberRevision,
    writer::{Outcome, Proposal},
};

const QUEUE_MESSAGES: usize = 1_024;

/// Handle of the tasks.
#[derive(Clone)]
pub struct Handle {
    context: Context,
    catalog: watch::Receiver<Arc<Catalog>>,
    view: watch::Receiver<Arc<View>>,
    inputs: mpsc::Sender<Input>,
    peers: peers::Handle,
}

/// A message to the task that owns configuration and membership.
#[derive(Debug)]
enum Input {
    /// A message from another host's failure detector.
    Membership(membership::Message, Option<oneshot::Sender<Vec<membership::Message>>>),
    /// A message from another host's follower.
    Configuration(std::net::SocketAddr, configuration::Message, Option<oneshot::Sender<Answer>>),
    /// Addresses from the platform's list of hosts.
    Listed(Vec<std::net::SocketAddr>),
    /// Entries read from the platform's table.
    EntriesRead(Vec<Arc<Entry>>),
    /// A snapshot read from the object store.
    SnapshotRead(Box<Snapshot>),
    /// A change that the platform accepted from this host.
    Accepted(Arc<Entry>),
}

/// Answer to a message from another host's follower.
#[derive(Debug)]
pub struct Answer {
    /// Revision in force.
    pub revision: id::Revision,
    /// Entries or a snapshot that follow the revision of a pull.
    pub message: Option<configuration::Message>,
}

/// An accepted change with the complete configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Change {
    /// Revision that the change made.
    pub revision: id::Revision,
    /// Identifier of the change, by which a change whose answer was lost is recognised.
    pub change: id::Request,
    /// Operator who made it.
    pub author: Box<str>,
    /// Reason that the operator gave.
    pub reason: Box<str>,
    /// The configuration after it.
    pub fleet: Fleet,
}

impl Handle {
    /// Returns the configuration in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.catalog.borrow())
    }

    /// Returns the view of the members.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Waits until a configuration has arrived and `hosts` members are live.
    pub async fn wait_until_ready(&self, hosts: usize) {
        let (mut catalog, mut view) = (self.catalog.clone(), self.view.clone());
        let _ = catalog.wait_for(|catalog| catalog.revision() > id::Revision::default()).await;
        let _ = view.wait_for(|view| view.live().count() >= hosts).await;
    }

    /// Whether a configuration has arrived.
    pub fn is_ready(&self) -> bool {
        self.catalog().revision() > id::Revision::default()
    }

    /// Changes the configuration, if the proposal's base is still the highest revision.
    pub async fn change(&self, proposal: Proposal) -> Outcome {
        let outcome = writer::change(self, &proposal).await;
        match &outcome {
            Outcome::Accepted(revision) => self.context.journal.note(
                Event::ConfigurationAccepted,
                &[
                    ("revision", revision),
                    ("author", &proposal.author),
                    ("reason", &proposal.reason),
                ],
            ),
            Outcome::Unconfirmed(losses) => {
                let losses: Vec<String> = losses.iter().map(ToString::to_string).collect();
                let losses = losses.join(", ");
                let fields: [(_, &dyn std::fmt::Display); 2] =
                    [("author", &proposal.author), ("losses", &losses)];
                self.context.journal.note(Event::ChangeUnconfirmed, &fields);
            }
            Outcome::Conflict(_) | Outcome::Failed(_) => {}
        }
        outcome
    }

    /// Lists the latest accepted changes, the oldest first.
    ///
    /// # Errors
    ///
    /// The platform is not available.
    pub async fn history(&self) -> Result<Vec<Entry>, Error> {
        table::history(&*self.context.platform).await
    }

    /// Asks every member which revision it has in force.
    pub async fn revisions(&self) -> Vec<MemberRevision> {
        sender::revisions(&self.peers, &self.view(), &self.context, self.catalog().revision()).await
    }

    /// Passes a message from another host's failure detector to the task and returns the answers.
    pub async fn deliver_membership(
        &self,
        message: membership::Message,
    ) -> Vec<membership::Message> {
        let (reply, answers) = oneshot::channel();
        if self.inputs.send(Input::Membership(message, Some(reply))).await.is_err() {
            return Vec::new();
        }
        answers.await.unwrap_or_default()
    }

    /// Passes a message from another host's follower to the task and returns the answer.
    pub async fn deliver_configuration(
        &self,
        from: std::net::SocketAddr,
        message: configuration::Message,
    ) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(Input::Configuration(from, message, Some(reply))).await.ok()?;
        answer.await.ok()
    }
}

/// Returns the writes that make a change the highest revision.
pub fn writes(change: &Change) -> Vec<Write> {
    let entry = Entry {
        revision: change.revision,
        change: change.change,
        author: change.author.clone(),
        reason: change.reason.clone(),
        at_unix_ms: unix_ms(),
        touches: vec!["whole configuration".into()],
        body: Body::Full(Box::new(change.fleet.clone())),
    };
    table::writes(&entry)
}

/// Spawns the tasks.
pub fn spawn(context: Context, addresses: Addresses, peers: peers::Handle) -> Handle {
    let (inputs, queue) = mpsc::channel(QUEUE_MESSAGES);
    let (catalog, catalogs) = watch::channel(Arc::new(Catalog::default()));
    let (documents, document) = watch::channel(publisher::Document::default());
    let (roles, role) = watch::channel(reader::Role::default());
    let task = task::Task::new(&context, addresses, inputs.clone(), peers.clone());
    let (view, views) = watch::channel(Arc::new(task.view()));
    tokio::spawn(publisher::run(context.clone(), document, catalog));
    tokio::spawn(reader::run(context.clone(), role, inputs.clone()));
    tokio::spawn(task.run(queue, task::Outputs { documents, roles, view }));
    Handle { context, catalog: catalogs, view: views, inputs, peers }
}

/// Counts a violation of an invariant.
fn count_violation(invariant: &'static str) {
    metrics::counter!("toucanhoist_invariant_violations_total", "invariant" => invariant)
        .increment(1);
}

/// Returns the position of a configuration in the history, as JSON for the log.
fn lineage(lineage: Lineage) -> String {
    serde_json::to_string(&lineage).unwrap_or_default()
}
