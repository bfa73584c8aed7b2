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
pub struct Located {
    /// Name of the member.
    pub name: id::EntryHost,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// What is known of it.
    pub state: &'static str,
    /// The revision; `None` if it did not answer.
    pub revision: Option<id::Revision>,
}

/// Sends messages in the background, a bounded number at a time; others are dropped and repaired by
/// later heartbeats.
#[derive(Clone)]
pub(super) struct Sender {
    peers: peers::Handle,
    inputs: mpsc::Sender<Input>,
    calls: Arc<Semaphore>,
    own: SocketAddr,
}

impl Sender {
    pub(super) fn new(
        peers: peers::Handle,
        inputs: mpsc::Sender<Input>,
        own: SocketAddr,
    ) -> Sender {
        Sender { peers, inputs, calls: Arc::new(Semaphore::new(CALLS_MAX)), own }
    }

    /// Sends a message of the detector.
    pub(super) fn deliver(&self, send: membership::Envelope) {
        let Ok(permit) = Arc::clone(&self.calls).try_acquire_owned() else {
            metrics::counter!("toucanhoist_control_dropped_total").increment(1);
            return;
        };
        let sender = self.clone();
        tokio::spawn(async move {
            let _ = time::timeout(CALL_TIMEOUT, sender.call_membership(send)).await;
            drop(permit);
        });
    }

    /// Sends a message of the follower.
    pub(super) fn follow(&self, send: configuration::Envelope) {
        let Ok(permit) = Arc::clone(&self.calls).try_acquire_owned() else {
            metrics::counter!("toucanhoist_control_dropped_total").increment(1);
            return;
        };
        let sender = self.clone();
        tokio::spawn(async move {
            let configuration::Envelope { to, message } = send;
            let calling = sender.call_configuration(to, message);
            let _ = time::timeout(FETCH_TIMEOUT, calling).await;
            drop(permit);
        });
    }

    async fn call_membership(&self, send: membership::Envelope) -> Option<()> {
        let channel = self.peers.channel(send.to).await?;
        let request = self.peers.sign(send.message.into()).ok()?;
        let replies = MembershipClient::new(channel).deliver(request).await.ok()?;
        for message in replies.into_inner().messages {
            let message = message.try_into().ok()?;
            self.inputs.send(Input::Deliver(message, None)).await.ok()?;
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
                let request = self.peers.sign(push(self.own, &entries, reach)).ok()?;
                client.push(request).await.ok()?;
            }
            configuration::Message::Pull { have } => {
                let request = self.peers.sign(Position { revision: have.as_u64() }).ok()?;
                let mut parts = client.fetch(request).await.ok()?.into_inner();
                let (mut entries, mut snapshot) = (Vec::new(), Vec::new());
                while let Some(part) = parts.message().await.ok()? {
                    match part.part? {
                        part::Part::Entry(entry) => entries.push(entry),
                        part::Part::Snapshot(piece) => snapshot.extend_from_slice(&piece),
                    }
                }
                let answer = answer(&entries, &snapshot)?;
                self.inputs.send(Input::Follow(to, answer, None)).await.ok()?;
            }
            // Answers go back on the call that asked.
            configuration::Message::Entries { .. } | configuration::Message::Snapshot { .. } => {}
        }
        Some(())
    }
}

fn push(from: SocketAddr, list: &[Arc<Entry>], reach: Reach) -> Entries {
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

fn answer(entries: &[Bytes], snapshot: &[u8]) -> Option<configuration::Message> {
    if !snapshot.is_empty() {
        let snapshot = serde_json::from_slice(snapshot).ok()?;
        return Some(configuration::Message::Snapshot { snapshot });
    }
    let entries = entries.iter().map(|entry| serde_json::from_slice(entry).map(Arc::new).ok());
    Some(configuration::Message::Entries { entries: entries.collect::<Option<_>>()? })
}

/// Asks every member for its revision.
pub(super) async fn locate(
    peers: &peers::Handle,
    view: &View,
    context: &Context,
    own: id::Revision,
) -> Vec<Located> {
    let mut calls = Vec::new();
    for member in view.members.iter().cloned() {
        let own = (member.name == context.settings.name).then_some(own);
        calls.push(locate_member(peers.clone(), member, own));
    }
    stream::iter(calls).buffered(CALLS_MAX).collect().await
}

async fn locate_member(peers: peers::Handle, member: Member, own: Option<id::Revision>) -> Located {
    let asking = locate_one(&peers, member.peers);
    let revision = match own {
        Some(own) => Some(own),
        None if member.state == State::Dead => None,
        None => time::timeout(CALL_TIMEOUT, asking).await.ok().flatten(),
    };
    let Member { name, data_centre, state, .. } = member;
    Located { name, data_centre, state: state.as_str(), revision }
}

async fn locate_one(peers: &peers::Handle, address: SocketAddr) -> Option<id::Revision> {
    let channel = peers.channel(address).await?;
    let request = peers.sign(Query {}).ok()?;
    let position = ConfigurationClient::new(channel).locate(request).await.ok()?;
    Some(position.into_inner().revision.into())
}
