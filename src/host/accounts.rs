//! Authentication by keys and rate limits of client accounts.
//!
//! One task owns the keys, the limiter of wrong keys and the quota manager. Calls to the platform
//! and to other hosts run in tasks of their own, which send it their results. The keys and their
//! freshness, which other tasks read without waiting, are published as a [`Snapshot`].

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

/// Age above which an admission is void, so that a host that was paused does not act on it.
const ADMISSION_AGE_MAX: Duration = Duration::from_secs(1);

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
    /// Admits a request to the account that its key belongs to.
    ///
    /// # Errors
    ///
    /// The key is not valid or cannot be verified, or the account exceeds its rate.
    pub async fn admit(
        &self,
        key: &[u8],
        client: Option<IpAddr>,
        deadline: time::Instant,
    ) -> Result<Admission, Refusal> {
        let (reply, answer) = oneshot::channel();
        let stopping = || Refusal::not_run(Code::Leaving, "the host is stopping");
        let message = task::Message::Admit { key: Digest::of(key), client, reply };
        self.messages.send(message).await.map_err(|_| stopping())?;
        let answer = time::timeout_at(deadline, answer)
            .await
            .map_err(|_| Refusal::not_run(Code::DeadlineExceeded, "admission timed out"))?;
        let (admission, admitted_at) = answer.map_err(|_| stopping())??;
        if self.context.clock.now().since(admitted_at) > ADMISSION_AGE_MAX {
            let expired = Refusal::not_run(Code::RateExceeded, "the host was paused");
            return Err(expired.retry_after(ADMISSION_AGE_MAX));
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
            return Err(keys_stale());
        }
        match key.and_then(|key| snapshot.ring.account(key)) {
            Some(owner) if owner == account => Ok(()),
            _ => Err(key_refused()),
        }
    }

    /// Returns the candidates that are valid keys.
    pub fn keys_among(&self, mut candidates: Vec<Box<[u8]>>) -> Vec<Box<[u8]>> {
        let snapshot = self.snapshot.borrow();
        candidates.retain(|candidate| snapshot.ring.account(&Digest::of(candidate)).is_some());
        candidates
    }

    /// Waits until the keys have been read once and the host has its shares of the rates.
    pub async fn wait_until_ready(&self) {
        let _ = self.ready.clone().wait_for(|ready| *ready).await;
    }

    /// Whether the keys have been read once and the host has had its shares of the rates.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Returns the state of the keys and of the shares.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Takes tokens of an account out of this host's bucket for another host.
    pub async fn give(&self, account: id::Account, tokens: f64) -> Transfer {
        let (reply, answer) = oneshot::channel();
        let message = task::Message::GiveTokens { account, tokens, reply };
        let sent = self.messages.send(message).await.is_ok();
        if sent { answer.await.unwrap_or_default() } else { Transfer::default() }
    }

    /// Returns whether this host, as the guardian of `holder`, confirms its ledger entry.
    pub async fn vouch(&self, holder: Holder, guardian: Holder) -> bool {
        let (reply, answer) = oneshot::channel();
        let message = task::Message::Vouch { holder, guardian, reply };
        self.messages.send(message).await.is_ok() && answer.await.unwrap_or(false)
    }

    /// Returns the changes of keys after `version` and the freshness of this host's keys.
    pub async fn changes(&self, version: u64) -> Option<Changes> {
        let (reply, answer) = oneshot::channel();
        self.messages.send(task::Message::ReportKeys { version, reply }).await.ok()?;
        answer.await.ok()
    }

    /// Stops using all shares and removes them from the ledger, before the process ends.
    pub async fn leave(&self) {
        let (reply, holder) = oneshot::channel();
        if self.messages.send(task::Message::GiveUpShares { reply }).await.is_err() {
            return;
        }
        if let Ok(holder) = holder.await {
            ledger::remove_holder(&*self.context.platform, &holder).await;
        }
    }
}

/// Spawns the task.
pub fn spawn(context: Context, fleet: fleet::Handle, peers: peers::Handle) -> Handle {
    let (messages, received) = mpsc::channel(QUEUE_MESSAGES);
    let initial = Snapshot { ring: Arc::default(), rule: Rule::Stale, fresh_until: Time::ZERO };
    let (snapshot_sender, snapshot) = watch::channel(Arc::new(initial));
    let (status_sender, status) = watch::channel(Status::default());
    let (ready, is_ready) = watch::channel(false);
    let handle = Handle {
        context: context.clone(),
        fleet: fleet.clone(),
        peers: peers.clone(),
        messages: messages.clone(),
        snapshot,
        status,
        ready: is_ready,
    };
    let outputs = task::Outputs { snapshot: snapshot_sender, status: status_sender, ready };
    tokio::spawn(
        task::Task::new(context, fleet, peers, messages.downgrade(), outputs).run(received),
    );
    handle
}

/// Refusal of an unknown, a wrong or a withdrawn key; callers cannot tell which it was.
fn key_refused() -> Refusal {
    Refusal::not_run(Code::KeyRefused, "the key is missing or not valid")
}

fn keys_stale() -> Refusal {
    Refusal::not_run(Code::KeysStale, "the list of withdrawn keys is out of date")
        .retry_after(Duration::from_secs(1))
}
