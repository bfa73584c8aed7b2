//! The task itself.

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

use super::{Admission, Grant, Snapshot, Status, keys::KEYS, ledger, refused, stale, status};
use crate::host::{Context, fleet, peers, peers::quota};

const TICK: Duration = Duration::from_millis(25);
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
const SYNC_AGAIN: Duration = Duration::from_millis(60);
const KEYS_INTERVAL: Duration = Duration::from_millis(500);
const KEYS_AGE_ASK: Duration = Duration::from_millis(1_500);
const SCAN_ROWS: usize = 1_000;

/// What the task is asked and told.
pub(super) enum Message {
    /// Admit a request.
    Admit { key: Digest, client: Option<IpAddr>, reply: Reply },
    /// Give tokens to another host.
    Give { account: id::Account, tokens: f64, reply: oneshot::Sender<Transfer> },
    /// Say whether a ward's entry stands.
    Vouch { ward: Holder, guardian: Holder, reply: oneshot::Sender<bool> },
    /// Report changes of keys.
    Report { version: u64, reply: oneshot::Sender<Changes> },
    /// Give up all shares.
    Leave { reply: oneshot::Sender<Holder> },
    /// Another host answered a question for tokens.
    Given { account: id::Account, question: u64, given: Transfer },
    /// The guardian vouched.
    Vouched { asked: Time, guardian: Holder, holder: Holder },
    /// The ledger was read, or not.
    Read { asked: Time, known: u64, found: Result<Option<(u64, Ledger)>, Error> },
    /// A plan was written, or not.
    Wrote { asked: Time, plan: Plan, outcome: Result<u64, Error> },
    /// Changes of keys were read from the platform.
    Keys { asked: Time, rows: Result<Vec<Row>, Error> },
    /// Another host reported changes of keys.
    Reported { host: id::EntryHost, asked: Time, changes: Changes },
}

type Reply = oneshot::Sender<Result<(Admission, Time), Refusal>>;

/// Changes of keys that a host knows.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Version up to which it knows all changes.
    pub version: u64,
    /// Time since it heard from the platform.
    pub platform_age: Option<Duration>,
    /// The changes.
    pub keys: Vec<KeyChange>,
}

/// A key as it is since a version.
#[derive(Clone, Debug)]
pub struct KeyChange {
    /// Digest of the key.
    pub digest: Digest,
    /// Account, unless the key is withdrawn.
    pub account: Option<id::Account>,
    /// Version of the change.
    pub version: u64,
}

/// What the task publishes.
pub(super) struct Outputs {
    pub(super) snapshot: watch::Sender<Arc<Snapshot>>,
    pub(super) status: watch::Sender<Status>,
    pub(super) ready: watch::Sender<bool>,
}

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
    changed: HashMap<Digest, (u64, Option<id::Account>)>,
    log: BTreeMap<(u64, Box<str>), Digest>,
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
            changed: HashMap::new(),
            log: BTreeMap::new(),
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
        let mut tick = time::interval(TICK);
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
            Message::Give { account, tokens, reply } => {
                let _ = reply.send(self.manager.give(now, &account, tokens));
            }
            Message::Vouch { ward, guardian, reply } => {
                let _ = reply.send(self.manager.vouch(now, &ward, &guardian));
            }
            Message::Report { version, reply } => {
                let _ = reply.send(self.changes(now, version));
            }
            Message::Leave { reply } => {
                self.leaving = true;
                let _ = reply.send(self.manager.leave(now));
            }
            Message::Given { account, question, given } => {
                for verdict in self.manager.tokens_received(now, &account, question, given) {
                    self.decided(verdict);
                }
                self.act(now);
            }
            Message::Vouched { asked, guardian, holder } => {
                self.manager.vouch_received(asked, &guardian, &holder);
            }
            Message::Read { asked, known, found } => self.read(asked, now, known, found),
            Message::Wrote { asked, plan, outcome } => self.wrote(asked, now, plan, outcome),
            Message::Keys { asked, rows } => self.scanned(asked, rows),
            Message::Reported { host, asked, changes } => self.reported(&host, asked, changes),
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
        self.act(now);
        self.publish(now);
    }

    fn act(&mut self, now: Time) {
        for action in self.manager.poll(now) {
            match action {
                Action::Decided(verdict) => self.decided(verdict),
                Action::Ask { to, question, account, tokens } => {
                    self.ask(to, question, account, tokens);
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
        let rate = self.agreed_rate(&admission.account);
        self.ticket += 1;
        match self.manager.offer(now, &admission.account, self.ticket) {
            Decision::Admit => drop(reply.send(Ok((admission, now)))),
            Decision::Refuse(after) => {
                drop(reply.send(Err(over_rate(&admission.account, &rate, after))));
            }
            Decision::Wait => {
                self.waiting.insert(self.ticket, Waiter { admission, rate, reply });
                self.act(now);
            }
        }
    }

    fn authenticate(
        &mut self,
        now: Time,
        key: Digest,
        client: Option<IpAddr>,
    ) -> Result<Admission, Refusal> {
        if let Some(Err(after)) = client.map(|client| self.limiter.check(now, client)) {
            return Err(
                Refusal::not_run(Code::TooManyGuesses, "too many wrong keys").retry_after(after)
            );
        }
        let (rule, _) = self.rule(now);
        if rule == Rule::Stale {
            return Err(stale());
        }
        let known = self.ring.account(&key).cloned();
        let known = known.filter(|account| self.fleet.catalog().account(account).is_some());
        match known {
            Some(account) => Ok(Admission { account, key }),
            None => {
                if let Some(client) = client {
                    self.limiter.record_failure(now, client);
                }
                Err(refused())
            }
        }
    }

    fn agreed_rate(&self, account: &id::Account) -> Box<str> {
        let catalog = self.fleet.catalog();
        catalog.account(account).map(|agreed| agreed.rate.to_string()).unwrap_or_default().into()
    }

    fn decided(&mut self, verdict: Verdict) {
        let Some(waiter) = self.waiting.remove(&verdict.ticket) else { return };
        let Waiter { admission, rate, reply } = waiter;
        let now = self.now();
        let answer = match verdict.refused {
            None => Ok((admission, now)),
            Some(after) => Err(over_rate(&admission.account, &rate, after)),
        };
        drop(reply.send(answer));
    }

    fn ask(&self, to: Holder, question: u64, account: id::Account, tokens: f64) {
        let Some(address) = self.fleet.view().member(&to.host).map(|m| m.peers) else { return };
        let Some(messages) = self.messages.upgrade() else { return };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            if let Some(given) = quota::give(&peers, address, &account, tokens).await {
                let _ = messages.send(Message::Given { account, question, given }).await;
            }
        });
    }

    fn ask_guardian(&self, asked: Time, guardian: Holder, holder: Holder) {
        let member = self.fleet.view().member(&guardian.host).map(|m| m.peers);
        let Some(address) = member else { return };
        let Some(messages) = self.messages.upgrade() else { return };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            if quota::vouch(&peers, address, &holder, &guardian).await {
                let _ = messages.send(Message::Vouched { asked, guardian, holder }).await;
            }
        });
    }

    /// Reads the ledger beside the task, so that a slow platform holds up no request.
    fn sync(&mut self, asked: Time) {
        let Some(messages) = self.messages.upgrade() else { return };
        self.syncing = true;
        let jitter = rand::rng().random_range(0.8..1.2);
        self.sync_at = Instant::now() + SYNC_INTERVAL.mul_f64(jitter);
        let (platform, known) = (Arc::clone(&self.context.platform), self.manager.version());
        tokio::spawn(async move {
            let found = ledger::read(&*platform, known).await;
            let _ = messages.send(Message::Read { asked, known, found }).await;
        });
    }

    fn read(
        &mut self,
        asked: Time,
        now: Time,
        known: u64,
        found: Result<Option<(u64, Ledger)>, Error>,
    ) {
        self.syncing = false;
        let Ok(found) = found else { return };
        if self.leaving {
            return;
        }
        match found {
            Some((version, ledger)) => self.manager.ledger_read(asked, now, version, ledger),
            None => self.manager.ledger_unchanged(asked, now, known),
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
            let _ = messages.send(Message::Wrote { asked: now, plan, outcome }).await;
        });
    }

    fn wrote(&mut self, asked: Time, now: Time, plan: Plan, outcome: Result<u64, Error>) {
        self.syncing = false;
        match outcome {
            Ok(version) if !self.leaving => {
                self.note_fences(&plan);
                self.context.journal.note(Event::SharesChanged, &[("version", &version)]);
                self.manager.plan_written(asked, now, version, plan);
            }
            Ok(_) => {}
            Err(error) => {
                if matches!(error.kind(), ErrorKind::Unavailable(_)) {
                    self.manager.plan_refused(now, &plan);
                }
                let pause = rand::rng().random_range(0.2..1.0);
                self.sync_at = Instant::now() + SYNC_AGAIN.mul_f64(pause);
            }
        }
    }

    fn note_fences(&self, plan: &Plan) {
        let before = self.manager.ledger();
        let stood = |holder: &Holder| before.entry(holder).is_some_and(|entry| !entry.fenced);
        for entry in plan.ledger.entries.iter().filter(|e| e.fenced && stood(&e.holder)) {
            let fields: [(&str, &dyn std::fmt::Display); 1] = [("fenced", &entry.holder.host)];
            self.context.journal.note(Event::SharesFenced, &fields);
        }
    }

    fn refresh_keys(&mut self) {
        let now = self.now();
        self.scan(now);
        let age = self.freshness.platform_age(now);
        if age.is_none_or(|age| age >= KEYS_AGE_ASK) {
            self.ask_for_keys(now);
        }
    }

    fn scan(&mut self, asked: Time) {
        let Some(messages) = self.messages.upgrade().filter(|_| !self.scanning) else { return };
        self.scanning = true;
        let platform = Arc::clone(&self.context.platform);
        let seen = Version::from(self.freshness.version());
        tokio::spawn(async move {
            let rows = platform.scan(KEYS, seen, SCAN_ROWS).await;
            let _ = messages.send(Message::Keys { asked, rows }).await;
        });
    }

    fn scanned(&mut self, asked: Time, rows: Result<Vec<Row>, Error>) {
        self.scanning = false;
        let Ok(rows) = rows else { return };
        let whole = rows.len() < SCAN_ROWS;
        let mut version = self.freshness.version();
        for row in rows {
            version = version.max(row.version.as_u64());
            let Ok(digest) = row.key.parse() else { continue };
            let grant = row.value.and_then(|value| serde_json::from_str::<Grant>(&value).ok());
            let account = grant.filter(|grant| !grant.withdrawn).map(|grant| grant.account);
            self.learn(KeyChange { digest, account, version: row.version.as_u64() });
        }
        if whole {
            self.freshness.record_read(asked, version);
        } else {
            self.freshness.advance(version);
            let now = self.now();
            self.scan(now);
        }
        let now = self.now();
        self.publish_keys(now);
    }

    fn learn(&mut self, change: KeyChange) {
        let KeyChange { digest, account, version } = change;
        if let Some((known, _)) = self.changed.get(&digest) {
            if *known >= version {
                return;
            }
            self.log.remove(&(*known, digest.to_string().into()));
        }
        match &account {
            Some(account) => self.ring.grant(digest, account.clone()),
            None => self.ring.withdraw(&digest),
        }
        self.log.insert((version, digest.to_string().into()), digest);
        self.changed.insert(digest, (version, account));
    }

    fn changes(&self, now: Time, version: u64) -> Changes {
        let after = (version.saturating_add(1), Box::default());
        let digests = self.log.range(after..).map(|(_, digest)| *digest);
        let change = |digest: Digest| {
            let (version, account) = self.changed.get(&digest)?.clone();
            Some(KeyChange { digest, account, version })
        };
        Changes {
            version: self.freshness.version(),
            platform_age: self.freshness.platform_age(now),
            keys: digests.filter_map(change).collect(),
        }
    }

    fn ask_for_keys(&self, asked: Time) {
        let own = &self.context.settings.name;
        for member in self.fleet.view().members.iter().filter(|m| m.name != *own) {
            let Some(messages) = self.messages.upgrade() else { return };
            let (peers, host, address) = (self.peers.clone(), member.name.clone(), member.peers);
            let version = self.freshness.version();
            tokio::spawn(async move {
                if let Some(changes) = quota::keys(&peers, address, version).await {
                    let _ = messages.send(Message::Reported { host, asked, changes }).await;
                }
            });
        }
    }

    fn reported(&mut self, host: &id::EntryHost, asked: Time, changes: Changes) {
        let Changes { version, platform_age, keys } = changes;
        keys.into_iter().for_each(|change| self.learn(change));
        self.freshness.record_report(host, asked, Report { version, platform_age });
        let now = self.now();
        self.publish_keys(now);
    }

    /// Returns what the knowledge of keys rests on. The fleet is whoever the ledger or the view
    /// names: one of them may know a host that the other does not.
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
        let shown = Status {
            keys_rule: rule.as_str().into(),
            platform_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            lease: status::lease(source).into(),
            shares: status::shares(self.manager.ledger(), &self.context.settings.name),
        };
        self.outputs.status.send_replace(shown);
        let ready = self.revision.is_some_and(|revision| revision > id::Revision::default())
            && rule != Rule::Stale
            && self.manager.is_ready(now);
        self.outputs.ready.send_if_modified(|known| {
            let first = ready && !*known;
            *known |= ready;
            first
        });
    }
}

fn over_rate(account: &id::Account, rate: &str, after: Duration) -> Refusal {
    let detail = format!("{account} may send {rate} over the fleet");
    Refusal::not_run(Code::RateExceeded, detail).retry_after(after)
}
