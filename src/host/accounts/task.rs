//! The task that owns the keys, the limiter of wrong keys and the quota manager.

use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    sync::Arc,
    time::Duration,
};

use {
    rand::RngExt,
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{self, Instant},
    },
    toucanhoist_core::{
        clock::Time,
        event::Event,
        id,
        key::{Digest, Freshness, Limiter, Report, Ring, Rule},
        quota::{
            Action, Decision, Holder, Ledger, Limit, Manager, Plan, Source, Transfer, Verdict,
        },
        refusal::{Code, Refusal},
    },
    toucanhoist_store::{Error, ErrorKind, Row, Version},
};

use super::{Admission, Grant, Snapshot, Status, key_refused, keys, keys_stale, ledger, status};
use crate::host::{Context, fleet, peers, peers::quota};

const TICK_INTERVAL: Duration = Duration::from_millis(25);
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Longest pause before the ledger is read again after a write that failed.
const SYNC_RETRY_MAX: Duration = Duration::from_millis(60);
const KEYS_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a read from the platform after which other hosts are asked for keys too.
const KEYS_AGE_TO_ASK_PEERS: Duration = Duration::from_millis(1_500);
const SCAN_ROWS: usize = 1_000;

/// A message to the task: a request of another task, or the result of a call.
pub(super) enum Message {
    /// Admit a request.
    Admit { key: Digest, client: Option<IpAddr>, reply: Reply },
    /// Take tokens out of the bucket for another host.
    GiveTokens { account: id::Account, tokens: f64, reply: oneshot::Sender<Transfer> },
    /// Say whether this host, as the guardian of `holder`, confirms its ledger entry.
    Vouch { holder: Holder, guardian: Holder, reply: oneshot::Sender<bool> },
    /// Report the changes of keys after a version.
    ReportKeys { version: u64, reply: oneshot::Sender<Changes> },
    /// Stop using all shares.
    GiveUpShares { reply: oneshot::Sender<Holder> },
    /// Another host answered a request for tokens.
    TokensReceived { account: id::Account, question: u64, transfer: Transfer },
    /// The guardian confirmed this host's ledger entry.
    VouchReceived { asked_at: Time, guardian: Holder, holder: Holder },
    /// A read of the ledger has ended.
    LedgerRead { asked_at: Time, known: u64, result: Result<Option<(u64, Ledger)>, Error> },
    /// A write of a planned ledger has ended.
    PlanWritten { asked_at: Time, plan: Plan, outcome: Result<u64, Error> },
    /// A read of changed keys from the platform has ended.
    KeysRead { asked_at: Time, rows: Result<Vec<Row>, Error> },
    /// Another host reported changes of keys.
    KeysReported { host: id::EntryHost, asked_at: Time, changes: Changes },
}

type Reply = oneshot::Sender<Result<(Admission, Time), Refusal>>;

/// Changes of keys that a host knows.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Version up to which it knows all changes.
    pub version: u64,
    /// Time since it last read from the platform.
    pub platform_age: Option<Duration>,
    /// The changes.
    pub keys: Vec<KeyChange>,
}

/// State of a key since a version.
#[derive(Clone, Debug)]
pub struct KeyChange {
    /// Digest of the key.
    pub digest: Digest,
    /// Account; `None` if the key is withdrawn.
    pub account: Option<id::Account>,
    /// Version of the change.
    pub version: u64,
}

/// Channels on which the task publishes.
pub(super) struct Outputs {
    pub(super) snapshot: watch::Sender<Arc<Snapshot>>,
    pub(super) status: watch::Sender<Status>,
    pub(super) ready: watch::Sender<bool>,
}

/// A request that waits for tokens.
struct Waiter {
    admission: Admission,
    rate: Box<str>,
    reply: Reply,
}

pub(super) struct Task {
    context: Context,
    fleet: fleet::Handle,
    peers: peers::Handle,
    messages: mpsc::WeakSender<Message>,
    outputs: Outputs,
    ring: Ring,
    /// Version and account of each key that has changed.
    changes: HashMap<Digest, (u64, Option<id::Account>)>,
    /// The same keys in the order of their versions.
    changes_by_version: BTreeMap<(u64, Box<str>), Digest>,
    freshness: Freshness,
    limiter: Limiter,
    manager: Manager,
    waiting: HashMap<u64, Waiter>,
    ticket: u64,
    revision: Option<id::Revision>,
    sync_at: Instant,
    syncing: bool,
    scanning: bool,
    leaving: bool,
    source: Source,
    violations: u64,
}

impl Task {
    pub(super) fn new(
        context: Context,
        fleet: fleet::Handle,
        peers: peers::Handle,
        messages: mpsc::WeakSender<Message>,
        outputs: Outputs,
    ) -> Task {
        let manager = Manager::new(context.settings.name.clone(), rand::random::<u64>() >> 1);
        Task {
            context,
            fleet,
            peers,
            messages,
            outputs,
            ring: Ring::default(),
            changes: HashMap::new(),
            changes_by_version: BTreeMap::new(),
            freshness: Freshness::default(),
            limiter: Limiter::default(),
            manager,
            waiting: HashMap::new(),
            ticket: 0,
            revision: None,
            sync_at: Instant::now(),
            syncing: false,
            scanning: false,
            leaving: false,
            source: Source::Lapsed,
            violations: 0,
        }
    }

    pub(super) async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        let mut tick = time::interval(TICK_INTERVAL);
        let mut keys = time::interval(KEYS_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        keys.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => self.tick(),
                _ = keys.tick() => self.refresh_keys(),
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
            }
        }
    }

    fn now(&self) -> Time {
        self.context.clock.now()
    }

    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Admit { key, client, reply } => self.admit(key, client, reply),
            Message::GiveTokens { account, tokens, reply } => {
                let _ = reply.send(self.manager.give(now, &account, tokens));
            }
            Message::Vouch { holder, guardian, reply } => {
                let _ = reply.send(self.manager.vouch(now, &holder, &guardian));
            }
            Message::ReportKeys { version, reply } => {
                let _ = reply.send(self.key_changes(now, version));
            }
            Message::GiveUpShares { reply } => {
                self.leaving = true;
                let _ = reply.send(self.manager.leave(now));
            }
            Message::TokensReceived { account, question, transfer } => {
                for verdict in self.manager.tokens_received(now, &account, question, transfer) {
                    self.answer_waiter(verdict);
                }
                self.apply_actions(now);
            }
            Message::VouchReceived { asked_at, guardian, holder } => {
                self.manager.vouch_received(asked_at, &guardian, &holder);
            }
            Message::LedgerRead { asked_at, known, result } => {
                self.ledger_read(asked_at, now, known, result)
            }
            Message::PlanWritten { asked_at, plan, outcome } => {
                self.plan_written(asked_at, now, plan, outcome)
            }
            Message::KeysRead { asked_at, rows } => self.keys_read(asked_at, rows),
            Message::KeysReported { host, asked_at, changes } => {
                self.keys_reported(&host, asked_at, changes)
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let catalog = self.fleet.catalog();
        if self.revision != Some(catalog.revision()) {
            self.revision = Some(catalog.revision());
            let revision = catalog.revision().as_u64();
            let limits = catalog.fleet().accounts.iter().map(|account| Limit {
                account: account.name.clone(),
                revision,
                rate: account.rate.as_per_second(),
                burst: f64::from(account.burst),
            });
            self.manager.set_limits(now, limits);
        }
        if !self.syncing && !self.leaving && Instant::now() >= self.sync_at {
            self.sync(now);
        }
        self.apply_actions(now);
        self.publish(now);
    }

    fn apply_actions(&mut self, now: Time) {
        for action in self.manager.poll(now) {
            match action {
                Action::Decided(verdict) => self.answer_waiter(verdict),
                Action::Ask { to, question, account, tokens } => {
                    self.ask_for_tokens(to, question, account, tokens);
                }
                Action::Vouch { to, holder } => self.ask_guardian(now, to, holder),
            }
        }
    }

    fn admit(&mut self, key: Digest, client: Option<IpAddr>, reply: Reply) {
        let now = self.now();
        let admission = match self.authenticate(now, key, client) {
            Ok(admission) => admission,
            Err(refusal) => return drop(reply.send(Err(refusal))),
        };
        let rate = self.configured_rate(&admission.account);
        self.ticket += 1;
        match self.manager.offer(now, &admission.account, self.ticket) {
            Decision::Admit => drop(reply.send(Ok((admission, now)))),
            Decision::Refuse(retry_after) => {
                drop(reply.send(Err(rate_exceeded(&admission.account, &rate, retry_after))));
            }
            Decision::Wait => {
                self.waiting.insert(self.ticket, Waiter { admission, rate, reply });
                self.apply_actions(now);
            }
        }
    }

    fn authenticate(
        &mut self,
        now: Time,
        key: Digest,
        client: Option<IpAddr>,
    ) -> Result<Admission, Refusal> {
        if let Some(Err(retry_after)) = client.map(|client| self.limiter.check(now, client)) {
            return Err(Refusal::not_run(Code::TooManyGuesses, "too many wrong keys")
                .retry_after(retry_after));
        }
        let (rule, _) = self.rule(now);
        if rule == Rule::Stale {
            return Err(keys_stale());
        }
        let account = self.ring.account(&key).cloned();
        let account = account.filter(|account| self.fleet.catalog().account(account).is_some());
        match account {
            Some(account) => Ok(Admission { account, key }),
            None => {
                if let Some(client) = client {
                    self.limiter.record_failure(now, client);
                }
                Err(key_refused())
            }
        }
    }

    fn configured_rate(&self, account: &id::Account) -> Box<str> {
        let catalog = self.fleet.catalog();
        catalog.account(account).map(|account| account.rate.to_string()).unwrap_or_default().into()
    }

    fn answer_waiter(&mut self, verdict: Verdict) {
        let Some(waiter) = self.waiting.remove(&verdict.ticket) else { return };
        let Waiter { admission, rate, reply } = waiter;
        let now = self.now();
        let answer = match verdict.refused {
            None => Ok((admission, now)),
            Some(retry_after) => Err(rate_exceeded(&admission.account, &rate, retry_after)),
        };
        drop(reply.send(answer));
    }

    fn ask_for_tokens(&self, to: Holder, question: u64, account: id::Account, tokens: f64) {
        let Some(address) = self.fleet.view().member(&to.host).map(|m| m.peers) else { return };
        let Some(messages) = self.messages.upgrade() else { return };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            if let Some(transfer) = quota::give(&peers, address, &account, tokens).await {
                let _ =
                    messages.send(Message::TokensReceived { account, question, transfer }).await;
            }
        });
    }

    fn ask_guardian(&self, asked_at: Time, guardian: Holder, holder: Holder) {
        let member = self.fleet.view().member(&guardian.host).map(|m| m.peers);
        let Some(address) = member else { return };
        let Some(messages) = self.messages.upgrade() else { return };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            if quota::vouch(&peers, address, &holder, &guardian).await {
                let _ = messages.send(Message::VouchReceived { asked_at, guardian, holder }).await;
            }
        });
    }

    /// Reads the ledger in a task of its own, so that a slow platform delays no request.
    fn sync(&mut self, asked_at: Time) {
        let Some(messages) = self.messages.upgrade() else { return };
        self.syncing = true;
        let jitter = rand::rng().random_range(0.8..1.2);
        self.sync_at = Instant::now() + SYNC_INTERVAL.mul_f64(jitter);
        let (platform, known) = (Arc::clone(&self.context.platform), self.manager.version());
        tokio::spawn(async move {
            let result = ledger::read(&*platform, known).await;
            let _ = messages.send(Message::LedgerRead { asked_at, known, result }).await;
        });
    }

    fn ledger_read(
        &mut self,
        asked_at: Time,
        now: Time,
        known: u64,
        result: Result<Option<(u64, Ledger)>, Error>,
    ) {
        self.syncing = false;
        let Ok(changed) = result else { return };
        if self.leaving {
            return;
        }
        match changed {
            Some((version, ledger)) => self.manager.ledger_read(asked_at, now, version, ledger),
            None => self.manager.ledger_unchanged(asked_at, now, known),
        }
        let Some(messages) = self.messages.upgrade() else { return };
        if self.revision.unwrap_or_default() == id::Revision::default() {
            return;
        }
        let Some(plan) = self.manager.plan(now) else { return };
        self.syncing = true;
        let platform = Arc::clone(&self.context.platform);
        tokio::spawn(async move {
            let outcome = ledger::write(&*platform, &plan).await;
            let _ = messages.send(Message::PlanWritten { asked_at: now, plan, outcome }).await;
        });
    }

    fn plan_written(&mut self, asked_at: Time, now: Time, plan: Plan, outcome: Result<u64, Error>) {
        self.syncing = false;
        match outcome {
            Ok(version) if !self.leaving => {
                self.log_fences(&plan);
                self.context.journal.note(Event::SharesChanged, &[("version", &version)]);
                self.manager.plan_written(asked_at, now, version, plan);
            }
            Ok(_) => {}
            Err(error) => {
                if matches!(error.kind(), ErrorKind::Unavailable(_)) {
                    self.manager.plan_refused(now, &plan);
                }
                let pause = rand::rng().random_range(0.2..1.0);
                self.sync_at = Instant::now() + SYNC_RETRY_MAX.mul_f64(pause);
            }
        }
    }

    fn log_fences(&self, plan: &Plan) {
        let before = self.manager.ledger();
        let was_valid = |holder: &Holder| before.entry(holder).is_some_and(|entry| !entry.fenced);
        for entry in plan.ledger.entries.iter().filter(|e| e.fenced && was_valid(&e.holder)) {
            let fields: [(&str, &dyn std::fmt::Display); 1] = [("fenced", &entry.holder.host)];
            self.context.journal.note(Event::SharesFenced, &fields);
        }
    }

    fn refresh_keys(&mut self) {
        let now = self.now();
        self.read_keys(now);
        let age = self.freshness.platform_age(now);
        if age.is_none_or(|age| age >= KEYS_AGE_TO_ASK_PEERS) {
            self.ask_for_keys(now);
        }
    }

    fn read_keys(&mut self, asked_at: Time) {
        let Some(messages) = self.messages.upgrade().filter(|_| !self.scanning) else { return };
        self.scanning = true;
        let platform = Arc::clone(&self.context.platform);
        let known = Version::from(self.freshness.version());
        tokio::spawn(async move {
            let rows = platform.scan(keys::TABLE, known, SCAN_ROWS).await;
            let _ = messages.send(Message::KeysRead { asked_at, rows }).await;
        });
    }

    fn keys_read(&mut self, asked_at: Time, rows: Result<Vec<Row>, Error>) {
        self.scanning = false;
        let Ok(rows) = rows else { return };
        let is_last_page = rows.len() < SCAN_ROWS;
        let mut version = self.freshness.version();
        for row in rows {
            version = version.max(row.version.as_u64());
            let Ok(digest) = row.key.parse() else { continue };
            let grant = row.value.and_then(|value| serde_json::from_str::<Grant>(&value).ok());
            let account = grant.filter(|grant| !grant.withdrawn).map(|grant| grant.account);
            self.apply_key_change(KeyChange { digest, account, version: row.version.as_u64() });
        }
        if is_last_page {
            self.freshness.record_read(asked_at, version);
        } else {
            self.freshness.advance(version);
            let now = self.now();
            self.read_keys(now);
        }
        let now = self.now();
        self.publish_keys(now);
    }

    fn apply_key_change(&mut self, change: KeyChange) {
        let KeyChange { digest, account, version } = change;
        if let Some((known, _)) = self.changes.get(&digest) {
            if *known >= version {
                return;
            }
            self.changes_by_version.remove(&(*known, digest.to_string().into()));
        }
        match &account {
            Some(account) => self.ring.grant(digest, account.clone()),
            None => self.ring.withdraw(&digest),
        }
        self.changes_by_version.insert((version, digest.to_string().into()), digest);
        self.changes.insert(digest, (version, account));
    }

    fn key_changes(&self, now: Time, version: u64) -> Changes {
        let after = (version.saturating_add(1), Box::default());
        let digests = self.changes_by_version.range(after..).map(|(_, digest)| *digest);
        let change = |digest: Digest| {
            let (version, account) = self.changes.get(&digest)?.clone();
            Some(KeyChange { digest, account, version })
        };
        Changes {
            version: self.freshness.version(),
            platform_age: self.freshness.platform_age(now),
            keys: digests.filter_map(change).collect(),
        }
    }

    fn ask_for_keys(&self, asked_at: Time) {
        let own = &self.context.settings.name;
        for member in self.fleet.view().members.iter().filter(|m| m.name != *own) {
            let Some(messages) = self.messages.upgrade() else { return };
            let (peers, host, address) = (self.peers.clone(), member.name.clone(), member.peers);
            let version = self.freshness.version();
            tokio::spawn(async move {
                if let Some(changes) = quota::keys(&peers, address, version).await {
                    let _ = messages.send(Message::KeysReported { host, asked_at, changes }).await;
                }
            });
        }
    }

    fn keys_reported(&mut self, host: &id::EntryHost, asked_at: Time, changes: Changes) {
        let Changes { version, platform_age, keys } = changes;
        keys.into_iter().for_each(|change| self.apply_key_change(change));
        self.freshness.record_report(host, asked_at, Report { version, platform_age });
        let now = self.now();
        self.publish_keys(now);
    }

    /// Returns the rule by which the keys are known to be up to date, and until when. The fleet is
    /// every host in the ledger or in the view, because either may lack a host that the other has.
    fn rule(&self, now: Time) -> (Rule, Time) {
        let view = self.fleet.view();
        let own = &self.context.settings.name;
        let entries = self.manager.ledger().entries.iter().map(|entry| &entry.holder.host);
        let members = view.live().map(|member| &member.name);
        self.freshness.rule(now, entries.chain(members).filter(|name| *name != own))
    }

    fn publish_keys(&self, now: Time) {
        let (rule, fresh_until) = self.rule(now);
        let before = self.outputs.snapshot.borrow().rule;
        if before != rule {
            let rule = rule.as_str();
            self.context.journal.note(Event::KeysRuleChanged, &[("rule", &rule)]);
        }
        let ring = Arc::new(self.ring.clone());
        self.outputs.snapshot.send_replace(Arc::new(Snapshot { ring, rule, fresh_until }));
    }

    fn publish(&mut self, now: Time) {
        let (rule, _) = self.rule(now);
        if rule != self.outputs.snapshot.borrow().rule {
            self.publish_keys(now);
        }
        let source = self.manager.source(now);
        if source != self.source && !self.leaving {
            let lease = status::lease(source);
            self.context.journal.note(Event::LeaseChanged, &[("rests_on", &lease)]);
            self.source = source;
        }
        let violations = self.manager.violations();
        if violations > self.violations {
            metrics::counter!("toucanhoist_invariant_violations_total", "invariant" => "quota")
                .increment(violations - self.violations);
            self.context.journal.note(Event::SharesExceeded, &[("count", &violations)]);
            self.violations = violations;
        }
        let age = self.freshness.platform_age(now);
        let status = Status {
            keys_rule: rule.as_str().into(),
            platform_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            lease: status::lease(source).into(),
            shares: status::shares(self.manager.ledger(), &self.context.settings.name),
        };
        self.outputs.status.send_replace(status);
        let ready = self.revision.is_some_and(|revision| revision > id::Revision::default())
            && rule != Rule::Stale
            && self.manager.is_ready(now);
        self.outputs.ready.send_if_modified(|is_ready| {
            let becomes_ready = ready && !*is_ready;
            *is_ready |= ready;
            becomes_ready
        });
    }
}

fn rate_exceeded(account: &id::Account, rate: &str, retry_after: Duration) -> Refusal {
    let detail = format!("{account} is limited to {rate} over the whole fleet");
    Refusal::not_run(Code::RateExceeded, detail).retry_after(retry_after)
}
