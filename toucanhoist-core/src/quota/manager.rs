//! Shares, lease and buckets of one host.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use super::{
    Account, Decision, Entry, Grant, Holder, Lease, Ledger, Limit, Peer, Source, Verdict,
    lease::guarded, ledger::Amount,
};
use crate::{clock::Time, id, membership::rendezvous_score};

const VOUCH_INTERVAL: Duration = Duration::from_secs(1);
const VOUCH_MISSING: Duration = Duration::from_millis(2_500);
const WARD_SILENCE: Duration = Duration::from_secs(6);
const BEAT_INTERVAL: Duration = Duration::from_secs(3_600);

/// Least share of a burst that is worth holding, in requests.
const BURST_PART_MIN: f64 = 8.0;

/// Part of a burst that is spread evenly; the rest follows demand.
const BURST_EVEN_PART: f64 = 0.8;

/// Change of a share or a demand that is worth a write, as a part of the account's.
const CHANGE_MIN: f64 = 0.1;

/// Part of its share below which a host is short of it.
const SHORT_PART: f64 = 0.01;

/// Free part of a rate that is worth a write to take it up.
const TAKE_UP_MIN: f64 = 0.01;

/// What a host has to do.
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
    /// Ask the guardian whether the entry stands.
    Vouch {
        /// Guardian.
        to: Holder,
        /// The entry's holder.
        holder: Holder,
    },
    /// A request that waited is decided.
    Decided(Verdict),
}

/// Tokens that a host gives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Transfer {
    /// Tokens given.
    pub tokens: f64,
    /// Tokens that the giver has left.
    pub left: f64,
}

/// A change of the ledger, to be written if its version is still `base`.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Version that the change builds on; 0 when there is no ledger yet.
    pub base: u64,
    /// The ledger after it.
    pub ledger: Ledger,
}

/// A write whose outcome is not known yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    base: u64,
    beat: u64,
    asked: Time,
    /// Whether an earlier write on the same base may still take effect.
    open_before: bool,
}

/// Shares, lease and buckets of one host.
#[derive(Clone, Debug)]
pub struct Manager {
    me: Holder,
    lease: Lease,
    ledger: Ledger,
    version: Option<u64>,
    pending: Option<Pending>,
    registered: bool,
    beat: u64,
    accounts: HashMap<id::Account, Account>,
    limits: HashMap<id::Account, Limit>,
    fenced: HashMap<Holder, Time>,
    beats: HashMap<Holder, (u64, Time)>,
    wards: HashMap<Holder, Time>,
    condemned: HashMap<Holder, u64>,
    guardian_since: Time,
    guardian_open: Option<Time>,
    vouch_at: Time,
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
            registered: false,
            beat: 0,
            accounts: HashMap::new(),
            limits: HashMap::new(),
            fenced: HashMap::new(),
            beats: HashMap::new(),
            wards: HashMap::new(),
            condemned: HashMap::new(),
            guardian_since: Time::ZERO,
            guardian_open: None,
            vouch_at: Time::ZERO,
            question: epoch,
            violations: 0,
        }
    }

    /// Returns the host in its present epoch.
    pub fn holder(&self) -> &Holder {
        &self.me
    }

    /// Returns what the lease rests on.
    pub fn source(&self, now: Time) -> Source {
        self.lease.source(now)
    }

    /// Returns the ledger as last seen.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns how often an invariant was found broken.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns what the host may use of an account at `now`; tokens on their way to other hosts
    /// count to its burst.
    pub fn usable(&mut self, now: Time, account: &id::Account) -> Amount {
        let valid = self.lease.is_valid(now);
        let Some(account) = self.accounts.get_mut(account).filter(|_| valid) else {
            return Amount::default();
        };
        let bucket = account.bucket();
        let in_transit = bucket.in_transit(now);
        Amount { rate: bucket.rate_per_s(), burst: bucket.burst().max(in_transit) }
    }

    /// Whether the host has its share of every account of which one is due to it.
    pub fn is_ready(&self, now: Time) -> bool {
        let has_share = |limit: &Limit| {
            let grant = self.ledger.grant(&limit.account, &self.me);
            let due = goal(&self.me, &self.ledger, limit, 0.0);
            due.rate <= 0.0 || grant.is_some_and(|grant| grant.rate > 0.0)
        };
        self.lease.is_valid(now)
            && self
                .limits
                .values()
                .all(|limit| self.ledger.grants_of(&limit.account).next().is_some())
            && self.limits.values().all(has_share)
    }

    /// Sets what the accounts were agreed, from a configuration.
    pub fn set_limits(&mut self, now: Time, limits: impl Iterator<Item = Limit>) {
        self.limits = limits.map(|limit| (limit.account.clone(), limit)).collect();
        for limit in self.limits.values() {
            let account =
                self.accounts.entry(limit.account.clone()).or_insert_with(|| Account::new(now));
            account.set_rate(limit.rate);
        }
        let limits = &self.limits;
        self.accounts.retain(|name, account| limits.contains_key(name) || account.is_waiting());
        self.know_others();
        self.apply(now);
    }

    /// Offers a request of an account.
    pub fn offer(&mut self, now: Time, account: &id::Account, ticket: u64) -> Decision {
        let usable = self.lease.is_valid(now);
        let others = self.ledger.entries.len() > 1;
        match self.accounts.get_mut(account) {
            Some(account) => account.offer(now, usable, others, ticket),
            None => Decision::Refuse(Duration::from_secs(1)),
        }
    }

    /// Returns what there is to do.
    pub fn poll(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let usable = self.lease.is_valid(now);
        for (name, account) in &mut self.accounts {
            actions.extend(account.settle(now, usable).into_iter().map(Action::Decided));
            let asked = account.ask(now, &mut self.question);
            actions.extend(asked.into_iter().map(|(question, to, tokens)| Action::Ask {
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

    /// Takes in another host's answer to a question.
    pub fn tokens_received(
        &mut self,
        now: Time,
        account: &id::Account,
        question: u64,
        given: Transfer,
    ) -> Vec<Verdict> {
        let Some(account) = self.accounts.get_mut(account) else { return Vec::new() };
        account.accept(now, question, given.tokens, given.left)
    }

    /// Answers a ward that asks whether its entry stands.
    pub fn vouch(&mut self, now: Time, ward: &Holder, guardian: &Holder) -> bool {
        if *guardian != self.me || self.condemned.contains_key(ward) {
            return false;
        }
        // An entry that was fenced and removed is no ward any more.
        let Some(heard) = self.wards.get_mut(ward) else { return false };
        *heard = now;
        true
    }

    /// Takes in the guardian's answer to a question asked at `asked`.
    pub fn vouch_received(&mut self, asked: Time, guardian: &Holder, holder: &Holder) {
        let named = self.ledger.entry(&self.me).and_then(|entry| entry.guardian.as_ref());
        // While a change of the guardian may take effect, the former one cannot vouch any more.
        let in_office = self.guardian_open.is_none_or(|since| asked < since);
        if named == Some(guardian) && *holder == self.me && in_office {
            self.lease.record_vouch(asked);
        }
    }

    /// Takes in the ledger, read by a call made at `asked`.
    pub fn ledger_read(&mut self, asked: Time, now: Time, version: u64, ledger: Ledger) {
        if self.version.is_some_and(|known| version < known) {
            return;
        }
        self.learn(now, version, ledger);
        match self.ledger.entry(&self.me) {
            Some(entry) if !entry.fenced => {
                self.registered = true;
                self.lease.record_read(asked);
                self.resolve(version);
            }
            None if !self.registered => self.resolve(version),
            _ => self.lose(now),
        }
        self.apply(now);
    }

    /// Takes in that the ledger had not changed since `version`, by a call made at `asked`.
    pub fn ledger_unchanged(&mut self, asked: Time, now: Time, version: u64) {
        let ledger = match self.version {
            Some(known) if known == version => self.ledger.clone(),
            None if version == 0 => Ledger::default(),
            _ => return,
        };
        self.ledger_read(asked, now, version, ledger);
    }

    /// Returns the version of the ledger as last seen, 0 if there was none.
    pub fn version(&self) -> u64 {
        self.version.unwrap_or_default()
    }

    /// Takes in that the platform accepted a plan as `version`, in a call made at `asked`.
    pub fn plan_written(&mut self, asked: Time, now: Time, version: u64, plan: Plan) {
        if self.version.is_some_and(|known| version <= known) {
            return;
        }
        self.learn(now, version, plan.ledger);
        self.registered = true;
        self.lease.record_write(asked);
        (self.pending, self.guardian_open) = (None, None);
        self.apply(now);
    }

    /// Takes in that a plan was surely not written, and never will be.
    pub fn plan_refused(&mut self, now: Time, plan: &Plan) {
        let Some(pending) = self.pending else { return };
        if pending.open_before || pending.base != plan.base {
            return;
        }
        (self.pending, self.guardian_open) = (None, None);
        self.apply(now);
    }

    /// Gives up all shares, before the process ends, and returns the holder whose entry is to be
    /// removed from the ledger. That must happen only when tokens given before cannot be accepted
    /// any more, [`Account::TRANSIT`] later.
    pub fn leave(&mut self, now: Time) -> Holder {
        let holder = self.me.clone();
        self.lose(now);
        holder
    }

    /// Returns the change of the ledger that the host needs, and gives up at once what it lowers.
    pub fn plan(&mut self, now: Time) -> Option<Plan> {
        let base = self.version?;
        let mut ledger = self.ledger.clone();
        self.plan_entry(now, &mut ledger);
        self.plan_fences(now, base, &mut ledger);
        self.plan_reuse(now, &mut ledger);
        self.plan_limits(&mut ledger);
        self.plan_grants(now, &mut ledger);
        let beat_due = self.lease.written_at().is_none_or(|at| now >= at + BEAT_INTERVAL);
        if ledger == self.ledger && !beat_due {
            return None;
        }
        self.beat += 1;
        let (me, beat) = (self.me.clone(), self.beat);
        ledger.entries.iter_mut().filter(|e| e.holder == me).for_each(|e| e.beat = beat);
        let violations = ledger.violations(&self.ledger);
        debug_assert_eq!(violations, 0, "the shares exceed what was agreed");
        if violations > 0 {
            self.violations += u64::try_from(violations).unwrap_or(u64::MAX);
            return None;
        }
        let guardian = |l: &Ledger| l.entry(&me).and_then(|entry| entry.guardian.clone());
        if guardian(&ledger) != guardian(&self.ledger) {
            self.guardian_open.get_or_insert(now);
        }
        let open_before = self.pending.is_some();
        self.pending = Some(Pending { base, beat, asked: now, open_before });
        self.shrink(now, &ledger);
        Some(Plan { base, ledger })
    }

    fn ask_guardian(&mut self, now: Time) -> Option<Action> {
        if now < self.vouch_at {
            return None;
        }
        let to = self.ledger.entry(&self.me)?.guardian.clone()?;
        self.vouch_at = now + VOUCH_INTERVAL;
        Some(Action::Vouch { to, holder: self.me.clone() })
    }

    fn learn(&mut self, now: Time, version: u64, ledger: Ledger) {
        let guardian = |l: &Ledger| l.entry(&self.me).and_then(|entry| entry.guardian.clone());
        if guardian(&ledger) != guardian(&self.ledger) {
            (self.guardian_since, self.vouch_at) = (now, now);
        }
        let standing = |holder: &Holder| ledger.entry(holder).is_some_and(|e| !e.fenced);
        self.condemned.retain(|ward, base| version <= *base || !standing(ward));
        self.condemned.retain(|ward, _| ledger.entry(ward).is_some());
        self.fenced.retain(|holder, _| ledger.entry(holder).is_some_and(|e| e.fenced));
        self.beats.retain(|holder, _| ledger.entry(holder).is_some());
        self.wards.retain(|holder, _| ledger.entry(holder).is_some());
        for entry in &ledger.entries {
            if entry.fenced {
                self.fenced.entry(entry.holder.clone()).or_insert(now);
            }
            let seen = self.beats.entry(entry.holder.clone()).or_insert((entry.beat, now));
            if seen.0 != entry.beat {
                *seen = (entry.beat, now);
            }
            if entry.guardian.as_ref() == Some(&self.me) && !entry.fenced {
                self.wards.entry(entry.holder.clone()).or_insert(now);
            } else {
                self.wards.remove(&entry.holder);
            }
        }
        self.ledger = ledger;
        self.version = Some(version);
        self.know_others();
    }

    /// Tells each account which other hosts hold shares of it.
    fn know_others(&mut self) {
        let mut others: HashMap<&id::Account, Vec<Peer>> = HashMap::new();
        let holding = |grant: &&Grant| grant.holder != self.me && grant.burst > 0.0;
        for grant in self.ledger.grants.iter().filter(holding) {
            let share = Amount { rate: grant.rate, burst: grant.burst };
            // The ledger does not say where a host is.
            let other = Peer { holder: grant.holder.clone(), share, distance: 1 };
            others.entry(&grant.account).or_default().push(other);
        }
        for (name, account) in &mut self.accounts {
            account.set_peers(others.remove(name).unwrap_or_default());
        }
    }

    /// Clears a write whose outcome the ledger's version shows.
    fn resolve(&mut self, version: u64) {
        let Some(pending) = self.pending.filter(|pending| version > pending.base) else { return };
        (self.pending, self.guardian_open) = (None, None);
        if self.ledger.entry(&self.me).is_some_and(|entry| entry.beat == pending.beat) {
            self.lease.record_write(pending.asked);
        }
    }

    /// Goes on without shares, under a new epoch.
    fn lose(&mut self, now: Time) {
        self.me.epoch = self.me.epoch.wrapping_add(1);
        self.lease = Lease::default();
        self.registered = false;
        (self.pending, self.guardian_open) = (None, None);
        self.wards.clear();
        self.accounts.values_mut().for_each(|account| account.bucket().clear(now));
        self.apply(now);
    }

    /// Sets the buckets to the shares; while a write is open, they only shrink.
    fn apply(&mut self, now: Time) {
        let shrink_only = self.pending.is_some();
        for (name, account) in &mut self.accounts {
            let Amount { rate, burst } = self.ledger.share(name, &self.me);
            let part = usable(&self.ledger, name, self.limits.get(name));
            let (mut rate, mut burst) = (rate * part.rate, burst * part.burst);
            let bucket = account.bucket();
            if shrink_only {
                (rate, burst) = (rate.min(bucket.rate_per_s()), burst.min(bucket.burst()));
            }
            bucket.resize(now, rate, burst);
        }
    }

    /// Gives up at once what a plan lowers, before others can take it.
    fn shrink(&mut self, now: Time, planned: &Ledger) {
        for (name, account) in &mut self.accounts {
            let Amount { rate, burst } = planned.share(name, &self.me);
            let bucket = account.bucket();
            let (rate, burst) = (rate.min(bucket.rate_per_s()), burst.min(bucket.burst()));
            bucket.resize(now, rate, burst);
        }
    }

    fn plan_entry(&mut self, now: Time, ledger: &mut Ledger) {
        let current = ledger.entry(&self.me).and_then(|entry| entry.guardian.clone());
        let heard = self.lease.guardian_at().unwrap_or_default().max(self.guardian_since);
        let stands = |g: &Holder| ledger.entry(g).is_some_and(|entry| !entry.fenced);
        let keep = current
            .as_ref()
            .is_some_and(|guardian| stands(guardian) && now < heard + VOUCH_MISSING);
        let guardian = if keep { current } else { self.choose_guardian(ledger, current.as_ref()) };
        match ledger.entries.iter_mut().find(|entry| entry.holder == self.me) {
            Some(entry) => entry.guardian = guardian,
            None => {
                let holder = self.me.clone();
                ledger.entries.push(Entry { holder, guardian, beat: self.beat, fenced: false });
            }
        }
    }

    fn choose_guardian(&self, ledger: &Ledger, silent: Option<&Holder>) -> Option<Holder> {
        let mine = self.me.host.as_str();
        let candidates = ledger
            .entries
            .iter()
            .filter(|e| !e.fenced && e.holder.host != self.me.host && Some(&e.holder) != silent);
        let best = candidates.max_by_key(|e| rendezvous_score(e.holder.host.as_str(), mine));
        best.map(|entry| entry.holder.clone()).or_else(|| silent.cloned())
    }

    fn plan_fences(&mut self, now: Time, base: u64, ledger: &mut Ledger) {
        for entry in ledger.entries.iter_mut().filter(|e| !e.fenced && e.holder != self.me) {
            let silent = entry.guardian.as_ref() == Some(&self.me)
                && self.wards.get(&entry.holder).is_some_and(|at| now >= *at + WARD_SILENCE);
            let abandoned = self
                .beats
                .get(&entry.holder)
                .is_some_and(|(_, at)| now >= *at + guarded(Lease::WRITTEN_MAX));
            if silent {
                // From here on this host does not vouch, whatever becomes of the write.
                self.condemned.insert(entry.holder.clone(), base);
            }
            entry.fenced = silent || abandoned;
        }
    }

    fn plan_reuse(&self, now: Time, ledger: &mut Ledger) {
        let reusable = |holder: &Holder| {
            let fenced = self.fenced.get(holder);
            fenced.is_some_and(|at| now >= *at + guarded(Lease::REUSE_AFTER))
        };
        ledger.entries.retain(|entry| !reusable(&entry.holder));
        ledger.grants.retain(|grant| !reusable(&grant.holder));
    }

    fn plan_limits(&self, ledger: &mut Ledger) {
        for limit in self.limits.values() {
            match ledger.limits.iter_mut().find(|l| l.account == limit.account) {
                Some(known) if known.revision < limit.revision && !same(known, limit) => {
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

/// Returns the parts of rate and burst that a host may use of its share: less than all while the
/// shares exceed a limit that was lowered, be it in the ledger or in a newer configuration.
fn usable(ledger: &Ledger, account: &id::Account, configured: Option<&Limit>) -> Amount {
    let (Some(configured), Some(written)) = (configured, ledger.limit(account)) else {
        return Amount::default();
    };
    let newer = configured.revision > written.revision;
    let lower = |new: f64, old: f64| if newer { new.min(old) } else { old };
    let held = ledger.held(account);
    Amount {
        rate: part(lower(configured.rate, written.rate), held.rate),
        burst: part(lower(configured.burst, written.burst), held.burst),
    }
}

fn part(whole: f64, sum: f64) -> f64 {
    if sum > whole { whole / sum } else { 1.0 }
}

#[allow(clippy::float_cmp, reason = "a limit that was not changed is bitwise the same")]
fn same(a: &Limit, b: &Limit) -> bool {
    a.rate == b.rate && a.burst == b.burst
}

/// Returns a host's next share of an account, if it differs enough from the present one;
/// `in_transit` is the part of its burst that it cannot give up yet.
fn next_grant(
    me: &Holder,
    ledger: &Ledger,
    limit: &Limit,
    demand: f64,
    in_transit: f64,
) -> Option<Grant> {
    let current = ledger.grant(&limit.account, me);
    let now = ledger.share(&limit.account, me);
    let (free, held) = (ledger.free(limit), ledger.held(&limit.account));
    let over = held.rate > limit.rate || held.burst > limit.burst;
    let goal = goal(me, ledger, limit, demand);
    let most = |part: f64, now: f64, free: f64| if part < 1.0 { now * part } else { now + free };
    let rate = goal.rate.min(most(part(limit.rate, held.rate), now.rate, free.rate));
    let burst = goal.burst.min(most(part(limit.burst, held.burst), now.burst, free.burst));
    let burst = burst.max(in_transit.min(now.burst));
    let differs = |new: f64, old: f64, whole: f64| {
        (new - old).abs() > CHANGE_MIN * whole || (new == 0.0) != (old == 0.0)
    };
    let demand_differs = current.is_none_or(|grant| differs(demand, grant.demand, limit.rate));
    let share_differs =
        differs(rate, now.rate, limit.rate) || differs(burst, now.burst, limit.burst);
    let takes_up = rate > now.rate + TAKE_UP_MIN * limit.rate;
    let takes = is_short(now, goal) && (rate > now.rate || burst > now.burst);
    let yields = (rate < now.rate || burst < now.burst) && others_are_short(me, ledger, limit);
    (over || demand_differs || share_differs || takes_up || takes || yields).then(|| Grant {
        account: limit.account.clone(),
        holder: me.clone(),
        rate,
        burst,
        demand,
    })
}

/// Whether a share is next to nothing although one is due.
fn is_short(share: Amount, goal: Amount) -> bool {
    share.rate < goal.rate * SHORT_PART || share.burst < goal.burst * SHORT_PART
}

/// Whether another host is short of its share of an account.
fn others_are_short(me: &Holder, ledger: &Ledger, limit: &Limit) -> bool {
    let others = ledger.entries.iter().filter(|entry| !entry.fenced && entry.holder != *me);
    others.map(|entry| &entry.holder).any(|holder| {
        let demand = ledger.grant(&limit.account, holder).map_or(0.0, |grant| grant.demand);
        let share = ledger.share(&limit.account, holder);
        is_short(share, goal(holder, ledger, limit, demand))
    })
}

/// Returns the share that a host should have: of the rate what its demand is due and an even part
/// of the rest, of the burst an even and a demanded part, among as many hosts as it is worth.
fn goal(me: &Holder, ledger: &Ledger, limit: &Limit, demand: f64) -> Amount {
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
    let worth = ((limit.burst / BURST_PART_MIN) as usize).max(1);
    let is_small = worth < holders.len();
    if is_small {
        // Few hosts hold a small account, always the same ones; the others ask them.
        let account = limit.account.as_str();
        holders.sort_by_key(|(holder, _)| Reverse(rendezvous_score(holder.host.as_str(), account)));
        holders.truncate(worth);
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
    let demanded = if total > 0.0 { demand / total } else { 1.0 / count };
    let part = BURST_EVEN_PART / count + (1.0 - BURST_EVEN_PART) * demanded;
    Amount { rate, burst: limit.burst * part }
}
