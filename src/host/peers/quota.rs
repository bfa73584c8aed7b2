//! Calls between entry hosts about tokens and keys of client accounts.

use std::{net::SocketAddr, time::Duration};

use {
    tokio::time,
    tonic::{Request, Response, Status},
    toucanhoist_core::{
        id,
        quota::{Holder, Transfer},
    },
    toucanhoist_wire::quota::{
        Ask, Holder as HolderMessage, Key, KeysAsk, KeysReport, Standing, Tokens, Vouched,
        quota_client::QuotaClient, quota_server::Quota,
    },
};

use super::{Handle, Service};
use crate::host::accounts::{Changes, KeyChange};

const GIVE_TIMEOUT: Duration = Duration::from_millis(250);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks a host for tokens of an account.
pub async fn give(
    peers: &Handle,
    address: SocketAddr,
    account: &id::Account,
    tokens: f64,
) -> Option<Transfer> {
    let mut client = QuotaClient::new(peers.channel(address).await?);
    let request = peers.sign(Ask { account: account.to_string(), tokens }).ok()?;
    let answer = time::timeout(GIVE_TIMEOUT, client.give(request)).await.ok()?.ok()?.into_inner();
    let is_valid = answer.tokens.is_finite() && (0.0..=tokens).contains(&answer.tokens);
    is_valid.then_some(Transfer { tokens: answer.tokens, left: answer.left })
}

/// Asks the guardian of a host whether its ledger entry is valid.
pub async fn vouch(
    peers: &Handle,
    address: SocketAddr,
    holder: &Holder,
    guardian: &Holder,
) -> bool {
    let Some(channel) = peers.channel(address).await else { return false };
    let mut client = QuotaClient::new(channel);
    let standing = Standing { holder: Some(message(holder)), guardian: Some(message(guardian)) };
    let Ok(request) = peers.sign(standing) else { return false };
    let answer = time::timeout(CALL_TIMEOUT, client.vouch(request)).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.into_inner().stands))
}

/// Asks a host for the changes of keys after `version`.
pub async fn keys(peers: &Handle, address: SocketAddr, version: u64) -> Option<Changes> {
    let mut client = QuotaClient::new(peers.channel(address).await?);
    let request = peers.sign(KeysAsk { version }).ok()?;
    let report = time::timeout(CALL_TIMEOUT, client.keys(request)).await.ok()?.ok()?.into_inner();
    let keys: Option<Vec<KeyChange>> = report.changes.into_iter().map(change).collect();
    let age = Duration::from_millis(report.platform_age_ms);
    Some(Changes {
        version: report.version,
        platform_age: report.platform_heard.then_some(age),
        keys: keys?,
    })
}

fn change(key: Key) -> Option<KeyChange> {
    let account = match key.account.as_str() {
        "" => None,
        name => Some(name.parse().ok()?),
    };
    Some(KeyChange { digest: key.digest.parse().ok()?, account, version: key.version })
}

fn message(holder: &Holder) -> HolderMessage {
    HolderMessage { host: holder.host.to_string(), epoch: holder.epoch }
}

fn holder(message: Option<HolderMessage>) -> Result<Holder, Status> {
    let message = message.ok_or_else(|| Status::invalid_argument("the holder is missing"))?;
    let host = message.host.parse().map_err(|_| Status::invalid_argument("invalid host name"))?;
    Ok(Holder { host, epoch: message.epoch })
}

#[tonic::async_trait]
impl Quota for Service {
    async fn give(&self, request: Request<Ask>) -> Result<Response<Tokens>, Status> {
        let Ask { account, tokens } = request.into_inner();
        let account =
            account.parse().map_err(|_| Status::invalid_argument("invalid account name"))?;
        if !tokens.is_finite() {
            return Err(Status::invalid_argument("the number of tokens is not finite"));
        }
        let transfer = self.tasks.accounts.give(account, tokens).await;
        Ok(Response::new(Tokens { tokens: transfer.tokens, left: transfer.left }))
    }

    async fn vouch(&self, request: Request<Standing>) -> Result<Response<Vouched>, Status> {
        let Standing { holder: subject, guardian } = request.into_inner();
        let (subject, guardian) = (holder(subject)?, holder(guardian)?);
        let stands = self.tasks.accounts.vouch(subject, guardian).await;
        Ok(Response::new(Vouched { stands }))
    }

    async fn keys(&self, request: Request<KeysAsk>) -> Result<Response<KeysReport>, Status> {
        let changes = self.tasks.accounts.changes(request.into_inner().version).await;
        let changes = changes.ok_or_else(|| Status::unavailable("the host is stopping"))?;
        let age = changes.platform_age.unwrap_or_default().as_millis();
        let key = |change: KeyChange| Key {
            digest: change.digest.to_string(),
            account: change.account.map(|account| account.to_string()).unwrap_or_default(),
            version: change.version,
        };
        Ok(Response::new(KeysReport {
            version: changes.version,
            // Rounded up, so that the age is never understated.
            platform_age_ms: u64::try_from(age).unwrap_or(u64::MAX).saturating_add(1),
            platform_heard: changes.platform_age.is_some(),
            changes: changes.keys.into_iter().map(key).collect(),
        }))
    }
}
