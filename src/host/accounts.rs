//! The task that knows keys and counts rates.
//!
//! One task owns the keys, the limiter of guesses and the quota manager; calls to the platform and
//! to other hosts run beside it and send it their results. What others must read at once, the keys
//! and how fresh they are, is published as a [`Snapshot`].

use std::{net::IpAddr, sync::Arc, time::Duration};

use {
    tokio::{
        sync::{mpsc, oneshot, watch},
        time,
    },
    toucanhoist_core::{
        clock::Time,
        id,
        key::{Digest, Ring, Rule},
        quota::{Holder, Transfer},
        refusal::{Code, Refusal},
    },
};

use super::{Context, fleet, peers};

mod keys;
mod ledger;
mod status;
mod task;

pub use self::{
    keys::{Grant, Withdrawal},
    status::Status,
    task::{Changes, KeyChange},
};

const QUEUE_MESSAGES: usize = 4_096;

/// Time from a decision within which it holds, so that a host that was paused does not act on it.
const DECISION_MAX: Duration = Duration::from_secs(1);

/// Handle of the task.
#[derive(Clone)]
pub struct Handle {
    context: Context,
    fleet: fleet::Handle,
    peers: peers::Handle,
    messages: mpsc::Sender<task::Message>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    status: watch::Receiver<Status>,
    ready: watch::Receiver<bool>,
}

/// The keys as the host knows them.
#[derive(Clone, Debug)]
pub struct Snapshot {
    ring: Arc<Ring>,
    rule: Rule,
    fresh_until: Time,
}

/// A request that was admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Client account.
    pub account: id::Account,
    /// Digest of the key.
    pub key: Digest,
}

impl Handle {
    /// Admits a request of the account whose key came with it.
    ///
    /// # Errors
    ///
    /// The key is not valid or cannot be verified, or the account is over its rate.
    pub async fn admit(
        &self,
        key: &[u8],
        client: Option<IpAddr>,
        deadline: time::Instant,
    ) -> Result<Admission, Refusal> {
        let (reply, answer) = oneshot::channel();
        let gone = || Refusal::not_run(Code::Leaving, "the host is stopping");
        let message = task::Message::Admit { key: Digest::of(key), client, reply };
        self.messages.send(message).await.map_err(|_| gone())?;
        let answer = time::timeout_at(deadline, answer)
            .await
            .map_err(|_| Refusal::not_run(Code::DeadlineExceeded, "the admission took too long"))?;
        let (admission, at) = answer.map_err(|_| gone())??;
        if self.context.clock.now().since(at) > DECISION_MAX {
            let late = Refusal::not_run(Code::RateExceeded, "the host was paused meanwhile");
            return Err(late.retry_after(DECISION_MAX));
        }
        Ok(admission)
    }

    /// Checks again, right before a request goes to a target, that its key is valid.
    ///
    /// # Errors
    ///
    /// The key has been withdrawn, or cannot be verified any more.
    pub fn recheck(
        &self,
        account: Option<&id::Account>,
        key: Option<&Digest>,
    ) -> Result<(), Refusal> {
        let Some(account) = account else { return Ok(()) };
        let snapshot = self.snapshot.borrow();
        if self.context.clock.now() >= snapshot.fresh_until {
            return Err(stale());
        }
        match key.and_then(|key| snapshot.ring.account(key)) {
            Some(owner) if owner == account => Ok(()),
            _ => Err(refused()),
        }
    }

    /// Returns those of `words` that are keys.
    pub fn keys_among(&self, mut words: Vec<Box<[u8]>>) -> Vec<Box<[u8]>> {
        let snapshot = self.snapshot.borrow();
        words.retain(|word| snapshot.ring.account(&Digest::of(word)).is_some());
        words
    }

    /// Waits until the keys have been read once and the host has its shares.
    pub async fn wait_until_ready(&self) {
        let _ = self.ready.clone().wait_for(|ready| *ready).await;
    }

    /// Whether the keys have been read once and the host has had its shares.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Returns what keys and rates rest on at present.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Gives tokens to another host.
    pub async fn give(&self, account: id::Account, tokens: f64) -> Transfer {
        let (reply, answer) = oneshot::channel();
        let message = task::Message::Give { account, tokens, reply };
        let sent = self.messages.send(message).await.is_ok();
        if sent { answer.await.unwrap_or_default() } else { Transfer::default() }
    }

    /// Says whether a ward's entry stands.
    pub async fn vouch(&self, ward: Holder, guardian: Holder) -> bool {
        let (reply, answer) = oneshot::channel();
        let message = task::Message::Vouch { ward, guardian, reply };
        self.messages.send(message).await.is_ok() && answer.await.unwrap_or(false)
    }

    /// Returns the changes of keys after `version`, and how fresh this host's knowledge is.
    pub async fn changes(&self, version: u64) -> Option<Changes> {
        let (reply, answer) = oneshot::channel();
        self.messages.send(task::Message::Report { version, reply }).await.ok()?;
        answer.await.ok()
    }

    /// Gives all shares back, before the process ends.
    pub async fn leave(&self) {
        let (reply, holder) = oneshot::channel();
        if self.messages.send(task::Message::Leave { reply }).await.is_err() {
            return;
        }
        if let Ok(holder) = holder.await {
            ledger::give_back(&*self.context.platform, &holder).await;
        }
    }
}

/// Spawns the task.
pub fn spawn(context: Context, fleet: fleet::Handle, peers: peers::Handle) -> Handle {
    let (messages, received) = mpsc::channel(QUEUE_MESSAGES);
    let unknown = Snapshot { ring: Arc::default(), rule: Rule::Stale, fresh_until: Time::ZERO };
    let (publish, snapshot) = watch::channel(Arc::new(unknown));
    let (show, status) = watch::channel(Status::default());
    let (ready, readies) = watch::channel(false);
    let handle = Handle {
        context: context.clone(),
        fleet: fleet.clone(),
        peers: peers.clone(),
        messages: messages.clone(),
        snapshot,
        status,
        ready: readies,
    };
    let outputs = task::Outputs { snapshot: publish, status: show, ready };
    tokio::spawn(
        task::Task::new(context, fleet, peers, messages.downgrade(), outputs).run(received),
    );
    handle
}

/// The refusal of a wrong, a withdrawn and an unknown key alike.
fn refused() -> Refusal {
    Refusal::not_run(Code::KeyRefused, "the key is missing or not valid")
}

fn stale() -> Refusal {
    Refusal::not_run(Code::KeysStale, "withdrawals of keys cannot be heard at present")
        .retry_after(Duration::from_secs(1))
}
