//! Calls to the membership and configuration services of other hosts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    futures_util::{StreamExt, stream},
    serde::Serialize,
    tokio::{
        sync::{Semaphore, mpsc},
        time,
    },
    toucanhoist_core::{
        configuration::{self, Entry, Reach},
        id,
        membership::{self, Member, State, View},
    },
    toucanhoist_wire::{
        configuration::{
            DataCentre, Entries, Everywhere, Position, Query,
            configuration_client::ConfigurationClient, entries, part,
        },
        membership::membership_client::MembershipClient,
    },
};

use super::{Context, Input, peers};

const CALLS_MAX: usize = 64;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const FETCH_TIMEOUT: Duration = Duration::from_secs(20);
const MESSAGE_MAX_BYTES: usize = 64 * 1_024 * 1_024;

/// The revision that a member has in force.
#[derive(Clone, Debug, Serialize)]
pub struct MemberRevision {
    /// Name of the member.
    pub name: id::EntryHost,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// State of the member in this host's view.
    pub state: &'static str,
    /// The revision; `None` if it did not answer.
    pub revision: Option<id::Revision>,
}

/// Sends messages in the background, a bounded number at a time. Messages above the bound are
/// dropped; later heartbeats make up for them.
#[derive(Clone)]
pub(super) struct Sender {
    peers: peers::Handle,
    inputs: mpsc::Sender<Input>,
    calls: Arc<Semaphore>,
    own_address: SocketAddr,
}

impl Sender {
    pub(super) fn new(
        peers: peers::Handle,
        inputs: mpsc::Sender<Input>,
        own_address: SocketAddr,
    ) -> Sender {
        Sender { peers, inputs, calls: Arc::new(Semaphore::new(CALLS_MAX)), own_address }
    }

    /// Sends a message of the failure detector.
    pub(super) fn send_membership(&self, envelope: membership::Envelope) {
        let Ok(permit) = Arc::clone(&self.calls).try_acquire_owned() else {
            metrics::counter!("toucanhoist_control_dropped_total").increment(1);
            return;
        };
        let sender = self.clone();
        tokio::spawn(async move {
            let _ = time::timeout(CALL_TIMEOUT, sender.call_membership(envelope)).await;
            drop(permit);
        });
    }

    /// Sends a message of the follower.
    pub(super) fn send_configuration(&self, envelope: configuration::Envelope) {
        let Ok(permit) = Arc::clone(&self.calls).try_acquire_owned() else {
            metrics::counter!("toucanhoist_control_dropped_total").increment(1);
            return;
        };
        let sender = self.clone();
        tokio::spawn(async move {
            let configuration::Envelope { to, message } = envelope;
            let call = sender.call_configuration(to, message);
            let _ = time::timeout(FETCH_TIMEOUT, call).await;
            drop(permit);
        });
    }

    async fn call_membership(&self, envelope: membership::Envelope) -> Option<()> {
        let channel = self.peers.channel(envelope.to).await?;
        let request = self.peers.sign(envelope.message.into()).ok()?;
        let replies = MembershipClient::new(channel).deliver(request).await.ok()?;
        for message in replies.into_inner().messages {
            let message = message.try_into().ok()?;
            self.inputs.send(Input::Membership(message, None)).await.ok()?;
        }
        Some(())
    }

    async fn call_configuration(
        &self,
        to: SocketAddr,
        message: configuration::Message,
    ) -> Option<()> {
        let channel = self.peers.channel(to).await?;
        let mut client = ConfigurationClient::new(channel)
            .max_decoding_message_size(MESSAGE_MAX_BYTES)
            .max_encoding_message_size(MESSAGE_MAX_BYTES);
        match message {
            configuration::Message::Push { entries, reach } => {
                let request =
                    self.peers.sign(push_message(self.own_address, &entries, reach)).ok()?;
                client.push(request).await.ok()?;
            }
            configuration::Message::Pull { have } => {
                let request = self.peers.sign(Position { revision: have.as_u64() }).ok()?;
                let mut parts = client.fetch(request).await.ok()?.into_inner();
                let (mut entries, mut snapshot) = (Vec::new(), Vec::new());
                while let Some(part) = parts.message().await.ok()? {
                    match part.part? {
                        part::Part::Entry(entry) => entries.push(entry),
                        part::Part::Snapshot(chunk) => snapshot.extend_from_slice(&chunk),
                    }
                }
                let answer = pull_answer(&entries, &snapshot)?;
                self.inputs.send(Input::Configuration(to, answer, None)).await.ok()?;
            }
            // Answers are returned by the call that asked for them.
            configuration::Message::Entries { .. } | configuration::Message::Snapshot { .. } => {}
        }
        Some(())
    }
}

fn push_message(from: SocketAddr, list: &[Arc<Entry>], reach: Reach) -> Entries {
    let json = |entry: &Arc<Entry>| Bytes::from(serde_json::to_vec(&**entry).unwrap_or_default());
    let reach = match reach {
        Reach::Everywhere { root, hops } => {
            entries::Reach::Everywhere(Everywhere { root: root.to_string(), hops })
        }
        Reach::DataCentre { root } => {
            entries::Reach::DataCentre(DataCentre { root: root.to_string() })
        }
    };
    Entries { from: from.to_string(), entries: list.iter().map(json).collect(), reach: Some(reach) }
}

fn pull_answer(entries: &[Bytes], snapshot: &[u8]) -> Option<configuration::Message> {
    if !snapshot.is_empty() {
        let snapshot = serde_json::from_slice(snapshot).ok()?;
        return Some(configuration::Message::Snapshot { snapshot });
    }
    let entries = entries.iter().map(|entry| serde_json::from_slice(entry).map(Arc::new).ok());
    Some(configuration::Message::Entries { entries: entries.collect::<Option<_>>()? })
}

/// Asks every member which revision it has in force.
pub(super) async fn revisions(
    peers: &peers::Handle,
    view: &View,
    context: &Context,
    own: id::Revision,
) -> Vec<MemberRevision> {
    let mut calls = Vec::new();
    for member in view.members.iter().cloned() {
        let own = (member.name == context.settings.name).then_some(own);
        calls.push(member_revision(peers.clone(), member, own));
    }
    stream::iter(calls).buffered(CALLS_MAX).collect().await
}

async fn member_revision(
    peers: peers::Handle,
    member: Member,
    own: Option<id::Revision>,
) -> MemberRevision {
    let query = query_revision(&peers, member.peers);
    let revision = match own {
        Some(own) => Some(own),
        None if member.state == State::Dead => None,
        None => time::timeout(CALL_TIMEOUT, query).await.ok().flatten(),
    };
    let Member { name, data_centre, state, .. } = member;
    MemberRevision { name, data_centre, state: state.as_str(), revision }
}

async fn query_revision(peers: &peers::Handle, address: SocketAddr) -> Option<id::Revision> {
    let channel = peers.channel(address).await?;
    let request = peers.sign(Query {}).ok()?;
    let position = ConfigurationClient::new(channel).locate(request).await.ok()?;
    Some(position.into_inner().revision.into())
}
