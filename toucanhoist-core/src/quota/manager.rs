//! Manager of one host's shares, lease and buckets.
//!
//! The ledger records the shares of a host, which reads it and changes it by conditional writes.
//! Its entry names a guardian, the one other host that may fence it; the host in turn guards the
//! hosts whose entries name it. A guardian vouches for a guarded host that asks, and fences one
//! that has not asked for a while.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use super::{
    Account, Decision, Entry, Grant, Holder, Lease, Ledger, Limit, Peer, Source, Verdict,
    lease::with_clock_margin, ledger::Amount,
};
use crate::{clock::Time, id, membership::rendezvous_score};

const VOUCH_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer after which a host chooses another guardian.
const GUARDIAN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a question after which a guardian fences a guarded host.
const GUARDED_TIMEOUT: Duration = Duration::from_secs(6);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3_600);

/// Smallest share of a burst that is worth holding, in requests.
const BURST_SHARE_MIN: f64 = 8.0;

/// Fraction of a burst that is spread evenly; the rest follows demand.
const BURST_EVEN_FRACTION: f64 = 0.8;

/// Change of a share or a demand that is worth a write, as a fraction of the account's limit.
const CHANGE_MIN: f64 = 0.1;

/// Fraction of its due share below which a host is short of it.
const SHORT_FRACTION: f64 = 0.01;

/// Increase of a share of the rate that is worth a write, as a fraction of the account's limit.
const INCREASE_MIN: f64 = 0.01;

/// An action that the manager asks its host for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask another host for tokens.
    Ask {
        /// Host to ask.
        to: Holder,
        /// Number of the question.
        question: u64,
        /// Account.
        account: id::Account,
        /// Tokens.
        tokens: f64,
    },
    /// Ask the guardian whether the entry is valid.
    Vouch {
        /// Guardian.
        to: Holder,
        /// The entry's holder.
        holder: Holder,
    },
    /// Answer a request that waited.
    Decided(Verdict),
}

/// Tokens that one host gives to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Transfer {
    /// Tokens given.
    pub tokens: f64,
    /// Tokens that the giver has left.
    pub left: f64,
}

/// A change of the ledger, to be written if the ledger's version is still `base`.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Version that the change builds on; 0 when there is no ledger yet.
    pub base: u64,
    /// The ledger after the change.
    pub ledger: Ledger,
}

/// A write whose outcome is not known yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    base: u64,
    beat: u64,
    asked: Time,
    /// Whether an earlier write on the same base may still take effect.
    follows_pending: bool,
}

/// Manages the shares, the lease and the buckets of one host.
#[derive(Clone, Debug)]
pub struct Manager {
    me: Holder,
    lease: Lease,
    ledger: Ledger,
    version: Option<u64>,
    pending: Option<Pending>,
    is_registered: bool,
    heartbeat: u64,
    accounts: HashMap<id::Account, Account>,
    limits: HashMap<id::Account, Limit>,
    /// Fenced hosts, with the time at which this host saw the fence.
    fenced: HashMap<Holder, Time>,
    /// Last heartbeat of each host, with the time at which this host saw it.
    heartbeats: HashMap<Holder, (u64, Time)>,
    /// Hosts that this one guards, with the time of their last question or, if there was none, the
    /// time since which this host guards them.
    guarded: HashMap<Holder, Time>,
    /// Guarded hosts for which this host no longer vouches because it planned to fence them, with
    /// the version on which the plan is based.
    fencing: HashMap<Holder, u64>,
    guardian_since: Time,
    /// Time since which a write that changes the guardian may take effect.
    guardian_change_since: Option<Time>,
    next_vouch_at: Time,
    /// Number of the last question for tokens.
    question: u64,
    violations: u64,
}

impl Manager {
    /// Creates the manager of a process; `epoch` is unique to it.
    pub fn new(host: id::EntryHost, epoch: u64) -> Manager {
        Manager {
            me: Holder { host, epoch },
            lease: Lease::default(),
            ledger: Ledger::default(),
            version: None,
            pending: None,
            is_registered: false,
            heartbeat: 0,
            accounts: HashMap::new(),
            limits: HashMap::new(),
            fenced: HashMap::new(),
            heartbeats: HashMap::new(),
            guarded: HashMap::new(),
            fencing: HashMap::new(),
            guardian_since: Time::ZERO,
            guardian_change_since: None,
            next_vouch_at: Time::ZERO,
            question: epoch,
            violations: 0,
        }
    }

    /// Returns the host in its current epoch.
    pub fn holder(&self) -> &Holder {
        &self.me
    }

    /// Returns the source of the confirmation on which the lease rests.
    pub fn source(&self, now: Time) -> Source {
        self.lease.source(now)
    }

    /// Returns the ledger as last read or written.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the number of account limits that plans would have exceeded; such plans are dropped.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns the rate and burst of an account that the host may use at `now`; tokens in transit
    /// to other hosts count towards its burst.
    pub fn usable(&mut self, now: Time, account: &id::Account) -> Amount {
        let is_valid = self.lease.is_valid(now);
        let Some(account) = self.accounts.get_mut(account).filter(|_| is_valid) else {
            return Amount::default();
        };
        let bucket = account.bucket();
        let in_transit = bucket.in_transit(now);
        Amount { rate: bucket.rate_per_s(), burst: bucket.burst().max(in_transit) }
    }

    /// Whether the lease is valid, every account has a grant in the ledger, and the host holds a
    /// share of each rate of which a share is due to it.
    pub fn is_ready(&self, now: Time) -> bool {
        let has_share = |limit: &Limit| {
            let grant = self.ledger.grant(&limit.account, &self.me);
            let due = due_share(&self.me, &self.ledger, limit, 0.0);
            due.rate <= 0.0 || grant.is_some_and(|grant| grant.rate > 0.0)
        };
        self.lease.is_valid(now)
            && self
                .limits
                .values()
                .all(|limit| self.ledger.grants_of(&limit.account).next().is_some())
            && self.limits.values().all(has_share)
    }

    /// Sets the limits of the accounts from a configuration.
    pub fn set_limits(&mut self, now: Time, limits: impl Iterator<Item = Limit>) {
        self.limits = limits.map(|limit| (limit.account.clone(), limit)).collect();
        for limit in self.limits.values() {
            let account =
                self.accounts.entry(limit.account.clone()).or_insert_with(|| Account::new(now));
            account.set_rate(limit.rate);
        }
        let limits = &self.limits;
        self.accounts.retain(|name, account| limits.contains_key(name) || account.is_waiting());
        self.update_peers();
        self.resize_buckets(now);
    }

    /// Offers a request of an account for admission.
    pub fn offer(&mut self, now: Time, account: &id::Account, ticket: u64) -> Decision {
        let usable = self.lease.is_valid(now);
        let has_peers = self.ledger.entries.len() > 1;
        match self.accounts.get_mut(account) {
            Some(account) => account.offer(now, usable, has_peers, ticket),
            None => Decision::Refuse(Duration::from_secs(1)),
        }
    }

    /// Returns the actions that are due.
    pub fn poll(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let usable = self.lease.is_valid(now);
        for (name, account) in &mut self.accounts {
            actions.extend(account.settle(now, usable).into_iter().map(Action::Decided));
            let questions = account.ask(now, &mut self.question);
            actions.extend(questions.into_iter().map(|(question, to, tokens)| Action::Ask {
                to,
                question,
                account: name.clone(),
                tokens,
            }));
        }
        actions.extend(self.ask_guardian(now));
        actions
    }

    /// Gives tokens of an account to another host.
    pub fn give(&mut self, now: Time, account: &id::Account, wanted: f64) -> Transfer {
        if !self.lease.is_valid(now) {
            return Transfer::default();
        }
        let Some(account) = self.accounts.get_mut(account) else { return Transfer::default() };
        let (tokens, left) = account.give(now, wanted);
        Transfer { tokens, left }
    }

    /// Applies another host's answer to a question for tokens.
    pub fn tokens_received(
        &mut self,
        now: Time,
        account: &id::Account,
        question: u64,
        transfer: Transfer,
    ) -> Vec<Verdict> {
        let Some(account) = self.accounts.get_mut(account) else { return Vec::new() };
        account.accept(now, question, transfer.tokens, transfer.left)
    }

    /// Answers a guarded host that asks whether its entry is valid.
    pub fn vouch(&mut self, now: Time, holder: &Holder, guardian: &Holder) -> bool {
        if *guardian != self.me || self.fencing.contains_key(holder) {
            return false;
        }
        // A host whose entry was fenced or removed is no longer guarded.
        let Some(last_asked) = self.guarded.get_mut(holder) else { return false };
        *last_asked = now;
        true
    }

    /// Applies the guardian's confirmation, requested at `asked`.
    pub fn vouch_received(&mut self, asked: Time, guardian: &Holder, holder: &Holder) {
        let named = self.ledger.entry(&self.me).and_then(|entry| entry.guardian.as_ref());
        // Once a change of the guardian may take effect, the former guardian can no longer vouch.
        let may_vouch = self.guardian_change_since.is_none_or(|since| asked < since);
        if named == Some(guardian) && *holder == self.me && may_vouch {
            self.lease.record_vouch(asked);
        }
    }

    /// Applies the ledger, read by a request made at `asked`.
    pub fn ledger_read(&mut self, asked: Time, now: Time, version: u64, ledger: Ledger) {
        if self.version.is_some_and(|known| version < known) {
            return;
        }
        self.replace_ledger(now, version, ledger);
        match self.ledger.entry(&self.me) {
            Some(entry) if !entry.fenced => {
                self.is_registered = true;
                self.lease.record_read(asked);
                self.resolve(version);
            }
            None if !self.is_registered => self.resolve(version),
            _ => self.drop_shares(now),
        }
        self.resize_buckets(now);
    }

    /// Records that the ledger had not changed since `version`, as read by a request made at
    /// `asked`.
    pub fn ledger_unchanged(&mut self, asked: Time, now: Time, version: u64) {
        let ledger = match self.version {
            Some(known) if known == version => self.ledger.clone(),
            None if version == 0 => Ledger::default(),
            _ => return,
        };
        self.ledger_read(asked, now, version, ledger);
    }

    /// Returns the version of the ledger as last read or written, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version.unwrap_or_default()
    }

    /// Records that the platform accepted a plan as `version`, by a request made at `asked`.
    pub fn plan_written(&mut self, asked: Time, now: Time, version: u64, plan: Plan) {
        if self.version.is_some_and(|known| version <= known) {
            return;
        }
        self.replace_ledger(now, version, plan.ledger);
        self.is_registered = true;
        self.lease.record_write(asked);
        (self.pending, self.guardian_change_since) = (None, None);
        self.resize_buckets(now);
    }

    /// Records that a plan was certainly not written and never will be.
    pub fn plan_refused(&mut self, now: Time, plan: &Plan) {
        let Some(pending) = self.pending else { return };
        if pending.follows_pending || pending.base != plan.base {
            return;
        }
        (self.pending, self.guardian_change_since) = (None, None);
        self.resize_buckets(now);
    }

    /// Drops all shares before the process ends, and returns the holder whose entry is to be
    /// removed from the ledger.
    ///
    /// The entry must not be removed until the tokens that the host gave can no longer be accepted,
    /// [`Account::TRANSIT`] later.
    pub fn leave(&mut self, now: Time) -> Holder {
        let holder = self.me.clone();
        self.drop_shares(now);
        holder
    }

    /// Returns the change of the ledger that the host needs; what the change lowers is lowered in
    /// the buckets at once.
    pub fn plan(&mut self, now: Time) -> Option<Plan> {
        let base = self.version?;
        let mut ledger = self.ledger.clone();
        self.plan_entry(now, &mut ledger);
        self.plan_fences(now, base, &mut ledger);
        self.plan_reuse(now, &mut ledger);
        self.plan_limits(&mut ledger);
        self.plan_grants(now, &mut ledger);
        let heartbeat_due = self.lease.written_at().is_none_or(|at| now >= at + HEARTBEAT_INTERVAL);
        if ledger == self.ledger && !heartbeat_due {
            return None;
        }
        self.heartbeat += 1;
        let (me, beat) = (self.me.clone(), self.heartbeat);
        ledger.entries.iter_mut().filter(|e| e.holder == me).for_each(|e| e.beat = beat);
        let violations = ledger.violations(&self.ledger);
        debug_assert_eq!(violations, 0, "the planned shares exceed the limits of accounts");
        if violations > 0 {
            self.violations += u64::try_from(violations).unwrap_or(u64::MAX);
            return None;
        }
        let guardian = |l: &Ledger| l.entry(&me).and_then(|entry| entry.guardian.clone());
        if guardian(&ledger) != guardian(&self.ledger) {
            self.guardian_change_since.get_or_insert(now);
        }
        let follows_pending = self.pending.is_some();
        self.pending = Some(Pending { base, beat, asked: now, follows_pending });
        self.shrink_buckets(now, &ledger);
        Some(Plan { base, ledger })
    }

    fn ask_guardian(&mut self, now: Time) -> Option<Action> {
        if now < self.next_vouch_at {
            return None;
        }
        let to = self.ledger.entry(&self.me)?.guardian.clone()?;
        self.next_vouch_at = now + VOUCH_INTERVAL;
        Some(Action::Vouch { to, holder: self.me.clone() })
    }

    /// Replaces the ledger, and updates what the host has seen of other hosts' entries.
    fn replace_ledger(&mut self, now: Time, version: u64, ledger: Ledger) {
        let guardian = |l: &Ledger| l.entry(&self.me).and_then(|entry| entry.guardian.clone());
        if guardian(&ledger) != guardian(&self.ledger) {
            (self.guardian_since, self.next_vouch_at) = (now, now);
        }
        let is_valid = |holder: &Holder| ledger.entry(holder).is_some_and(|e| !e.fenced);
        self.fencing.retain(|holder, base| version <= *base || !is_valid(holder));
        self.fencing.retain(|holder, _| ledger.entry(holder).is_some());
        self.fenced.retain(|holder, _| ledger.entry(holder).is_some_and(|e| e.fenced));
        self.heartbeats.retain(|holder, _| ledger.entry(holder).is_some());
        self.guarded.retain(|holder, _| ledger.entry(holder).is_some());
        for entry in &ledger.entries {
            if entry.fenced {
                self.fenced.entry(entry.holder.clone()).or_insert(now);
            }
            let last = self.heartbeats.entry(entry.holder.clone()).or_insert((entry.beat, now));
            if last.0 != entry.beat {
                *last = (entry.beat, now);
            }
            if entry.guardian.as_ref() == Some(&self.me) && !entry.fenced {
                self.guarded.entry(entry.holder.clone()).or_insert(now);
            } else {
                self.guarded.remove(&entry.holder);
            }
        }
        self.ledger = ledger;
        self.version = Some(version);
        self.update_peers();
    }

    /// Sets for each account the other hosts that hold shares of it.
    fn update_peers(&mut self) {
        let mut peers: HashMap<&id::Account, Vec<Peer>> = HashMap::new();
        let is_peer = |grant: &&Grant| grant.holder != self.me && grant.burst > 0.0;
        for grant in self.ledger.grants.iter().filter(is_peer) {
            let share = Amount { rate: grant.rate, burst: grant.burst };
            // The ledger does not hold the locations of hosts.
            let peer = Peer { holder: grant.holder.clone(), share, distance: 1 };
            peers.entry(&grant.account).or_default().push(peer);
        }
        for (name, account) in &mut self.accounts {
            account.set_peers(peers.remove(name).unwrap_or_default());
        }
    }

    /// Settles a pending write once the ledger's version shows its outcome.
    fn resolve(&mut self, version: u64) {
        let Some(pending) = self.pending.filter(|pending| version > pending.base) else { return };
        (self.pending, self.guardian_change_since) = (None, None);
        if self.ledger.entry(&self.me).is_some_and(|entry| entry.beat == pending.beat) {
            self.lease.record_write(pending.asked);
        }
    }

    /// Drops all shares and continues under a new epoch.
    fn drop_shares(&mut self, now: Time) {
        self.me.epoch = self.me.epoch.wrapping_add(1);
        self.lease = Lease::default();
        self.is_registered = false;
        (self.pending, self.guardian_change_since) = (None, None);
        self.guarded.clear();
        self.accounts.values_mut().for_each(|account| account.bucket().clear(now));
        self.resize_buckets(now);
    }

    /// Resizes the buckets to the shares; while a write is pending, they only shrink.
    fn resize_buckets(&mut self, now: Time) {
        let shrink_only = self.pending.is_some();
        for (name, account) in &mut self.accounts {
            let Amount { rate, burst } = self.ledger.share(name, &self.me);
            let fraction = usable_fraction(&self.ledger, name, self.limits.get(name));
            let (mut rate, mut burst) = (rate * fraction.rate, burst * fraction.burst);
            let bucket = account.bucket();
            if shrink_only {
                (rate, burst) = (rate.min(bucket.rate_per_s()), burst.min(bucket.burst()));
            }
            bucket.resize(now, rate, burst);
        }
    }

    /// Shrinks the buckets to the planned shares, before other hosts can take what the plan frees.
    fn shrink_buckets(&mut self, now: Time, planned: &Ledger) {
        for (name, account) in &mut self.accounts {
            let Amount { rate, burst } = planned.share(name, &self.me);
            let bucket = account.bucket();
            let (rate, burst) = (rate.min(bucket.rate_per_s()), burst.min(bucket.burst()));
            bucket.resize(now, rate, burst);
        }
    }

    fn plan_entry(&mut self, now: Time, ledger: &mut Ledger) {
        let current = ledger.entry(&self.me).and_then(|entry| entry.guardian.clone());
        let answered = self.lease.guardian_at().unwrap_or_default().max(self.guardian_since);
        let is_valid = |g: &Holder| ledger.entry(g).is_some_and(|entry| !entry.fenced);
        let keep = current
            .as_ref()
            .is_some_and(|guardian| is_valid(guardian) && now < answered + GUARDIAN_TIMEOUT);
        let guardian = if keep { current } else { self.choose_guardian(ledger, current.as_ref()) };
        match ledger.entries.iter_mut().find(|entry| entry.holder == self.me) {
            Some(entry) => entry.guardian = guardian,
            None => {
                let holder = self.me.clone();
                ledger.entries.push(Entry {
                    holder,
                    guardian,
                    beat: self.heartbeat,
                    fenced: false,
                });
            }
        }
    }

    /// Chooses a guardian other than `former`, or `former` again if there is no other.
    fn choose_guardian(&self, ledger: &Ledger, former: Option<&Holder>) -> Option<Holder> {
        let own_name = self.me.host.as_str();
        let candidates = ledger
            .entries
            .iter()
            .filter(|e| !e.fenced && e.holder.host != self.me.host && Some(&e.holder) != former);
        let best = candidates.max_by_key(|e| rendezvous_score(e.holder.host.as_str(), own_name));
        best.map(|entry| entry.holder.clone()).or_else(|| former.cloned())
    }

    fn plan_fences(&mut self, now: Time, base: u64, ledger: &mut Ledger) {
        for entry in ledger.entries.iter_mut().filter(|e| !e.fenced && e.holder != self.me) {
            let is_silent = entry.guardian.as_ref() == Some(&self.me)
                && self.guarded.get(&entry.holder).is_some_and(|at| now >= *at + GUARDED_TIMEOUT);
            let is_abandoned = self
                .heartbeats
                .get(&entry.holder)
                .is_some_and(|(_, at)| now >= *at + with_clock_margin(Lease::WRITTEN_MAX));
            if is_silent {
                // The host stops vouching now, whether or not the write takes effect.
                self.fencing.insert(entry.holder.clone(), base);
            }
            entry.fenced = is_silent || is_abandoned;
        }
    }

    /// Removes hosts that were fenced long enough ago for their shares to be reused.
    fn plan_reuse(&self, now: Time, ledger: &mut Ledger) {
        let is_reusable = |holder: &Holder| {
            let fenced = self.fenced.get(holder);
            fenced.is_some_and(|at| now >= *at + with_clock_margin(Lease::REUSE_AFTER))
        };
        ledger.entries.retain(|entry| !is_reusable(&entry.holder));
        ledger.grants.retain(|grant| !is_reusable(&grant.holder));
    }

    fn plan_limits(&self, ledger: &mut Ledger) {
        for limit in self.limits.values() {
            match ledger.limits.iter_mut().find(|l| l.account == limit.account) {
                Some(known) if known.revision < limit.revision && !is_same_limit(known, limit) => {
                    *known = limit.clone();
                }
                Some(_) => {}
                None => ledger.limits.push(limit.clone()),
            }
        }
        ledger.limits.sort_by(|a, b| a.account.cmp(&b.account));
    }

    fn plan_grants(&mut self, now: Time, ledger: &mut Ledger) {
        let me = self.me.clone();
        let limits = &self.limits;
        ledger.grants.retain(|g| g.holder != me || limits.contains_key(&g.account));
        for (name, account) in &mut self.accounts {
            let Some(limit) = ledger.limit(name).cloned() else { continue };
            if !limits.contains_key(name) {
                continue;
            }
            let demand = account.demand(now).min(limit.rate);
            let in_transit = account.bucket().in_transit(now);
            if let Some(grant) = next_grant(&me, ledger, &limit, demand, in_transit) {
                match ledger.grants.iter_mut().find(|g| g.holder == me && g.account == *name) {
                    Some(current) => *current = grant,
                    None => ledger.grants.push(grant),
                }
            }
        }
    }
}

/// Returns the fractions of its share of rate and burst that a host may use: less than 1 while the
/// shares exceed a lowered limit, whether the ledger or only a newer configuration holds that
/// limit.
fn usable_fraction(ledger: &Ledger, account: &id::Account, configured: Option<&Limit>) -> Amount {
    let (Some(configured), Some(written)) = (configured, ledger.limit(account)) else {
        return Amount::default();
    };
    let is_newer = configured.revision > written.revision;
    let lower = |new: f64, old: f64| if is_newer { new.min(old) } else { old };
    let held = ledger.held(account);
    Amount {
        rate: fraction(lower(configured.rate, written.rate), held.rate),
        burst: fraction(lower(configured.burst, written.burst), held.burst),
    }
}

/// Returns the factor that scales `sum` down to `limit`, at most 1.
fn fraction(limit: f64, sum: f64) -> f64 {
    if sum > limit { limit / sum } else { 1.0 }
}

#[allow(clippy::float_cmp, reason = "an unchanged limit is bitwise equal")]
fn is_same_limit(a: &Limit, b: &Limit) -> bool {
    a.rate == b.rate && a.burst == b.burst
}

/// Returns a host's next share of an account if it differs enough from the current one.
///
/// `in_transit` are the tokens on their way to other hosts, whose space in the burst the host
/// cannot release yet.
fn next_grant(
    me: &Holder,
    ledger: &Ledger,
    limit: &Limit,
    demand: f64,
    in_transit: f64,
) -> Option<Grant> {
    let current = ledger.grant(&limit.account, me);
    let share = ledger.share(&limit.account, me);
    let (free, held) = (ledger.free(limit), ledger.held(&limit.account));
    let is_over_limit = held.rate > limit.rate || held.burst > limit.burst;
    let due = due_share(me, ledger, limit, demand);
    let ceiling = |fraction: f64, share: f64, free: f64| {
        if fraction < 1.0 { share * fraction } else { share + free }
    };
    let rate = due.rate.min(ceiling(fraction(limit.rate, held.rate), share.rate, free.rate));
    let burst = due.burst.min(ceiling(fraction(limit.burst, held.burst), share.burst, free.burst));
    let burst = burst.max(in_transit.min(share.burst));
    let differs = |new: f64, old: f64, limit: f64| {
        (new - old).abs() > CHANGE_MIN * limit || (new == 0.0) != (old == 0.0)
    };
    let demand_differs = current.is_none_or(|grant| differs(demand, grant.demand, limit.rate));
    let share_differs =
        differs(rate, share.rate, limit.rate) || differs(burst, share.burst, limit.burst);
    let grows = rate > share.rate + INCREASE_MIN * limit.rate;
    let takes = is_short(share, due) && (rate > share.rate || burst > share.burst);
    let yields = (rate < share.rate || burst < share.burst) && others_are_short(me, ledger, limit);
    (is_over_limit || demand_differs || share_differs || grows || takes || yields).then(|| Grant {
        account: limit.account.clone(),
        holder: me.clone(),
        rate,
        burst,
        demand,
    })
}

/// Whether a share is almost zero although more is due.
fn is_short(share: Amount, due: Amount) -> bool {
    share.rate < due.rate * SHORT_FRACTION || share.burst < due.burst * SHORT_FRACTION
}

/// Whether another host is short of its share of an account.
fn others_are_short(me: &Holder, ledger: &Ledger, limit: &Limit) -> bool {
    let others = ledger.entries.iter().filter(|entry| !entry.fenced && entry.holder != *me);
    others.map(|entry| &entry.holder).any(|holder| {
        let demand = ledger.grant(&limit.account, holder).map_or(0.0, |grant| grant.demand);
        let share = ledger.share(&limit.account, holder);
        is_short(share, due_share(holder, ledger, limit, demand))
    })
}

/// Returns the share of an account that is due to a host.
///
/// Of the rate, a host is due its demand and an even share of the rest; if all demand together
/// exceeds the rate, a share in proportion to its demand. Of the burst, one fraction is spread
/// evenly and the rest by demand. The burst limits the number of holders, so that on average each
/// holds at least [`BURST_SHARE_MIN`].
fn due_share(me: &Holder, ledger: &Ledger, limit: &Limit, demand: f64) -> Amount {
    let demand_of = |holder: &Holder| {
        if holder == me {
            demand
        } else {
            ledger.grant(&limit.account, holder).map_or(0.0, |grant| grant.demand)
        }
    };
    let mut holders: Vec<(&Holder, f64)> = ledger
        .entries
        .iter()
        .filter(|entry| !entry.fenced)
        .map(|entry| (&entry.holder, demand_of(&entry.holder)))
        .collect();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at least 0")]
    let holders_max = ((limit.burst / BURST_SHARE_MIN) as usize).max(1);
    let is_small = holders_max < holders.len();
    if is_small {
        // A small account is held by a few hosts, always the same ones; the others ask them.
        let account = limit.account.as_str();
        holders.sort_by_key(|(holder, _)| Reverse(rendezvous_score(holder.host.as_str(), account)));
        holders.truncate(holders_max);
    }
    if !holders.iter().any(|(holder, _)| *holder == me) {
        return Amount::default();
    }
    #[allow(clippy::cast_precision_loss, reason = "a fleet has far fewer hosts than 2^52")]
    let count = holders.len() as f64;
    if is_small {
        return Amount { rate: limit.rate / count, burst: limit.burst / count };
    }
    let total: f64 = holders.iter().map(|(_, demand)| demand).sum();
    let rate = if total < limit.rate {
        demand + (limit.rate - total) / count
    } else {
        demand * limit.rate / total
    };
    let by_demand = if total > 0.0 { demand / total } else { 1.0 / count };
    let fraction = BURST_EVEN_FRACTION / count + (1.0 - BURST_EVEN_FRACTION) * by_demand;
    Amount { rate, burst: limit.burst * fraction }
}
