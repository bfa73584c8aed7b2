//! One account at one host: its bucket, its waiting requests and its questions for tokens.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{Bucket, Holder, ledger::Amount};
use crate::clock::Time;

/// Time within which an answer with tokens is accepted, by the receiver's clock.
const ANSWER_MAX: Duration = Duration::from_millis(250);

const WAIT_MAX: Duration = Duration::from_millis(200);
/// Time after which an unanswered question no longer delays others: two round trips to another
/// region.
const ROUND_MAX: Duration = Duration::from_millis(80);
/// The same for a host of the same region: several round trips.
const ROUND_MAX_NEAR: Duration = Duration::from_millis(20);
/// Time for which a host that did not answer is not asked again.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(2);
const ROUND_HOSTS: usize = 4;
/// Demand that the bucket should cover; below it, the host asks for tokens ahead of need.
const PREFETCH: Duration = Duration::from_millis(150);
/// Demand that one round of questions should cover.
const BATCH: Duration = Duration::from_millis(400);
const ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Bounds of the time for which an exhausted account refuses requests. The lower one is also the
/// retry time of a request that waited without success, the upper one that of a host without a
/// valid share.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Weight of the old average when the demand falls.
const DEMAND_WEIGHT: f64 = 0.6;
/// The same when the demand rises, which the average follows faster.
const DEMAND_WEIGHT_RISING: f64 = 0.2;
const WAITING_MAX: usize = 4_096;
/// Expected tokens of a host that is worth asking; less than one, as estimates are a little old.
const ESTIMATE_MIN: f64 = 0.5;
/// Consecutive questions without tokens after which the expected refill is reduced no further.
const MISSES_MAX: u32 = 5;
/// Consecutive rounds without tokens after which an account counts as exhausted; in a single round,
/// the tokens may just have been in transit to other hosts.
const EMPTY_ROUNDS_MAX: u32 = 2;

/// Immediate decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is admitted.
    Admit,
    /// It waits for a short time for tokens from other hosts; a [`Verdict`] follows.
    Wait,
    /// It is refused and may be retried after this time.
    Refuse(Duration),
}

/// Decision on a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Ticket that the request was offered with.
    pub ticket: u64,
    /// Time after which it may be retried, if it is refused.
    pub refused: Option<Duration>,
}

/// Another host that holds a share.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The host.
    pub holder: Holder,
    /// Its share.
    pub share: Amount,
    /// Distance, 0 within the region; of the hosts that are expected to have tokens, the nearest is
    /// asked first.
    pub distance: u8,
}

/// A client account at one host.
#[derive(Clone, Debug)]
pub struct Account {
    bucket: Bucket,
    /// Rate of the account over the whole fleet, in requests a second.
    rate: f64,
    peers: Vec<Peer>,
    waiting: VecDeque<Waiter>,
    /// Unanswered questions by number.
    questions: HashMap<u64, Question>,
    /// Hosts that gave less than they were asked for in this round.
    tried: Vec<Holder>,
    levels: HashMap<Holder, Level>,
    /// Tokens received in this round.
    received: f64,
    /// Consecutive rounds of questions without tokens.
    empty_rounds: u32,
    /// Requests that may wait, while the last round limits them.
    waiting_limit: Option<usize>,
    /// Time until which the account counts as exhausted.
    exhausted_until: Time,
    next_round_at: Time,
    demand: Demand,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: u64,
    until: Time,
}

/// A question to another host for tokens.
#[derive(Clone, Debug)]
struct Question {
    holder: Holder,
    tokens: f64,
    asked: Time,
    /// Time until which its outstanding answer delays other questions.
    open_until: Time,
}

/// Tokens that another host had left when it last answered.
#[derive(Clone, Copy, Debug)]
struct Level {
    tokens: f64,
    at: Time,
    /// Consecutive questions without tokens.
    misses: u32,
    /// Time until which the host counts as unresponsive.
    unresponsive_until: Time,
}

/// Requests a second, smoothed over the last windows.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_s: f64,
    count: u32,
    since: Time,
}

impl Demand {
    fn record_request(&mut self, now: Time) {
        self.roll(now);
        self.count += 1;
    }

    fn roll(&mut self, now: Time) {
        let elapsed = now.since(self.since);
        if elapsed >= DEMAND_WINDOW {
            let observed = f64::from(self.count) / elapsed.as_secs_f64();
            let weight = if observed > self.per_s { DEMAND_WEIGHT_RISING } else { DEMAND_WEIGHT };
            self.per_s = self.per_s * weight + observed * (1.0 - weight);
            (self.count, self.since) = (0, now);
        }
    }

    fn per_s(&mut self, now: Time) -> f64 {
        self.roll(now);
        let elapsed = now.since(self.since).as_secs_f64().max(0.1);
        self.per_s.max(f64::from(self.count) / elapsed.max(0.25))
    }
}

impl Account {
    /// Time for which a giver reserves the space of tokens that it gave, by its own clock.
    pub const TRANSIT: Duration = Duration::from_millis(260);

    /// Creates an account without shares.
    pub fn new(now: Time) -> Account {
        Account {
            bucket: Bucket::new(now, 0.0, 0.0),
            rate: 0.0,
            peers: Vec::new(),
            waiting: VecDeque::new(),
            questions: HashMap::new(),
            tried: Vec::new(),
            levels: HashMap::new(),
            received: 0.0,
            empty_rounds: 0,
            waiting_limit: None,
            exhausted_until: Time::ZERO,
            next_round_at: Time::ZERO,
            demand: Demand { since: now, ..Demand::default() },
        }
    }

    /// Returns the bucket.
    pub fn bucket(&mut self) -> &mut Bucket {
        &mut self.bucket
    }

    /// Sets the account's rate over the whole fleet, in requests a second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Sets the other hosts that hold shares.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// Returns the demand, in requests a second.
    pub fn demand(&mut self, now: Time) -> f64 {
        self.demand.per_s(now)
    }

    /// Offers a request for admission; `usable` says whether the host may use its share,
    /// `has_peers` whether there are other hosts to ask.
    pub fn offer(&mut self, now: Time, usable: bool, has_peers: bool, ticket: u64) -> Decision {
        self.demand.record_request(now);
        let own = if usable { self.bucket.take(now) } else { Err(RETRY_AFTER_MAX) };
        match own {
            Ok(()) => Decision::Admit,
            Err(_)
                if has_peers
                    && now >= self.exhausted_until
                    && self.waiting.len() < self.waiting_max() =>
            {
                self.waiting.push_back(Waiter { ticket, until: now + WAIT_MAX });
                Decision::Wait
            }
            Err(refill_time) => Decision::Refuse(self.retry_after(now, refill_time)),
        }
    }

    /// Returns the questions to send: for each its number, the host and the tokens to ask for.
    /// `last` is the last number in use.
    pub fn ask(&mut self, now: Time, last: &mut u64) -> Vec<(u64, Holder, f64)> {
        self.expire_questions(now);
        let wanted = self.wanted(now);
        if wanted <= 0.0 || now < self.next_round_at {
            return Vec::new();
        }
        let is_open = |question: &&Question| now < question.open_until;
        let open: Vec<&Question> = self.questions.values().filter(is_open).collect();
        let slots = ROUND_HOSTS.saturating_sub(open.len());
        if slots == 0 {
            return Vec::new();
        }
        let mut missing = wanted - open.iter().map(|question| question.tokens).sum::<f64>();
        let none_is_open = open.is_empty();
        let candidates = self.candidates(now);
        if candidates.is_empty() && none_is_open {
            self.end_round(now);
        }
        let mut questions = Vec::new();
        for (estimate, peer) in candidates.into_iter().take(slots) {
            if missing <= 0.0 {
                break;
            }
            *last += 1;
            let (holder, tokens) = (peer.holder, missing.max(1.0).ceil());
            missing -= estimate.max(1.0);
            let open_until = now + if peer.distance == 0 { ROUND_MAX_NEAR } else { ROUND_MAX };
            let question = Question { holder: holder.clone(), tokens, asked: now, open_until };
            self.questions.insert(*last, question);
            questions.push((*last, holder, tokens));
        }
        questions
    }

    /// Returns the hosts that may be asked, the best first, each with the tokens that it is
    /// expected to have.
    fn candidates(&self, now: Time) -> Vec<(f64, Peer)> {
        let is_free = |peer: &&Peer| {
            !self.tried.contains(&peer.holder)
                && !self.questions.values().any(|question| question.holder == peer.holder)
        };
        let candidates = self.peers.iter().filter(is_free);
        let mut candidates: Vec<(f64, &Peer)> = candidates
            .map(|peer| (self.estimate(peer, now), peer))
            .filter(|(estimate, _)| *estimate >= ESTIMATE_MIN)
            .collect();
        // Hosts that are expected to have a token come first, by distance; then those that may have
        // one.
        let rank = |(estimate, peer): &(f64, &Peer)| {
            if *estimate >= 1.0 { peer.distance } else { u8::MAX }
        };
        candidates.sort_by(|a, b| rank(a).cmp(&rank(b)).then(b.0.total_cmp(&a.0)));
        candidates.into_iter().map(|(estimate, peer)| (estimate, peer.clone())).collect()
    }

    /// Removes questions whose answers would come too late, and marks the hosts as unresponsive.
    fn expire_questions(&mut self, now: Time) {
        let (open, expired): (HashMap<_, _>, HashMap<_, _>) =
            self.questions.drain().partition(|(_, question)| now < question.asked + ANSWER_MAX);
        self.questions = open;
        for question in expired.into_values() {
            let unresponsive_until = now + UNRESPONSIVE_TIME;
            let level = Level { tokens: 0.0, at: now, misses: 0, unresponsive_until };
            self.levels.insert(question.holder, level);
        }
    }

    /// Records what a host gave and what it has left.
    fn record_level(&mut self, now: Time, holder: Holder, given: f64, left: f64) {
        let misses = self.levels.get(&holder).map_or(0, |level| level.misses);
        let misses = if given >= 1.0 { 0 } else { (misses + 1).min(MISSES_MAX) };
        let unresponsive_until = Time::ZERO;
        self.levels.insert(holder, Level { tokens: left, at: now, misses, unresponsive_until });
    }

    /// Gives up to `wanted` tokens to another host; returns the tokens given and the tokens left.
    pub fn give(&mut self, now: Time, wanted: f64) -> (f64, f64) {
        let own = self.demand.per_s(now) * PREFETCH.as_secs_f64();
        let own = own + f64::from(u32::try_from(self.waiting.len()).unwrap_or(u32::MAX));
        let (own, level) = (own.floor(), self.bucket.level(now));
        // A host that needs more than half of its tokens itself gives half of them, so that neither
        // host starves.
        let spare = if level >= 2.0 * own { level - own } else { level / 2.0 };
        // A fraction of a token would be lost at a host without a share of the burst to hold it.
        let given = wanted.min(spare).floor();
        let given = self.bucket.give(now, given, now + Account::TRANSIT);
        (given, level - given)
    }

    /// Accepts the answer to a question, at most once and only in time; returns the waiting
    /// requests that it admits.
    pub fn accept(&mut self, now: Time, number: u64, tokens: f64, left: f64) -> Vec<Verdict> {
        let Some(question) = self.questions.remove(&number) else { return Vec::new() };
        if now >= question.asked + ANSWER_MAX {
            return Vec::new();
        }
        self.record_level(now, question.holder.clone(), tokens, left);
        if tokens < question.tokens {
            self.tried.push(question.holder);
        } else {
            self.waiting_limit = None;
        }
        self.received += tokens;
        let mut unspent = tokens;
        let mut admitted = Vec::new();
        while unspent >= 1.0 && !self.waiting.is_empty() {
            unspent -= 1.0;
            admitted.extend(self.waiting.pop_front().map(admit));
        }
        self.bucket.put(now, unspent);
        admitted
    }

    /// Decides on waiting requests; `usable` says whether the host may use its share.
    pub fn settle(&mut self, now: Time, usable: bool) -> Vec<Verdict> {
        let mut settled = Vec::new();
        while usable && !self.waiting.is_empty() && self.bucket.take(now).is_ok() {
            settled.extend(self.waiting.pop_front().map(admit));
        }
        while self.waiting.front().is_some_and(|waiter| now >= waiter.until) {
            let retry_after = self.retry_after(now, RETRY_AFTER_MIN);
            settled.extend(self.waiting.pop_front().map(|w| refuse(w, retry_after)));
        }
        let limit = if now < self.exhausted_until { 0 } else { self.waiting_max() };
        while self.waiting.len() > limit {
            let retry_after = self.retry_after(now, RETRY_AFTER_MIN);
            settled.extend(self.waiting.pop_back().map(|w| refuse(w, retry_after)));
        }
        settled
    }

    /// Whether requests are waiting.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the tokens to ask other hosts for: those for waiting requests and those for the
    /// demand that exceeds the host's share of the rate.
    fn wanted(&mut self, now: Time) -> f64 {
        let waiting = f64::from(u32::try_from(self.waiting.len()).unwrap_or(u32::MAX));
        let missing = (self.demand.per_s(now) - self.bucket.rate_per_s()).max(0.0);
        let level = self.bucket.level(now);
        if waiting == 0.0 && level >= missing * PREFETCH.as_secs_f64() {
            self.tried.clear();
            (self.waiting_limit, self.received) = (None, 0.0);
            return 0.0;
        }
        waiting + (missing * BATCH.as_secs_f64() - level).clamp(0.0, self.bucket.room(now))
    }

    /// Ends a round of questions, in which every host that was asked gave all that it could.
    ///
    /// From then on as many requests may wait as the round brought tokens. After several rounds
    /// without tokens the account counts as exhausted, and requests are refused for a while.
    fn end_round(&mut self, now: Time) {
        let has_asked = !self.tried.is_empty();
        self.tried.clear();
        self.next_round_at = now + ROUND_INTERVAL;
        let received = std::mem::take(&mut self.received);
        if received >= 1.0 {
            self.empty_rounds = 0;
        } else if has_asked {
            self.empty_rounds = self.empty_rounds.saturating_add(1);
        }
        if self.empty_rounds >= EMPTY_ROUNDS_MAX {
            let pause = Duration::from_secs_f64((1.0 / self.rate.max(1e-3)).min(1.0));
            self.exhausted_until = now + pause.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        }
        if has_asked {
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "at least 0"
            )]
            let limit = received as usize;
            self.waiting_limit = Some(limit);
        }
    }

    fn waiting_max(&self) -> usize {
        self.waiting_limit.map_or(WAITING_MAX, |limit| limit.max(1))
    }

    /// Returns the tokens that another host is expected to have.
    ///
    /// A host that gave nothing several times in a row is assumed to spend most of its refill, on
    /// its own requests or on other hosts.
    fn estimate(&self, peer: &Peer, now: Time) -> f64 {
        let Some(level) = self.levels.get(&peer.holder) else {
            return (peer.share.burst / 2.0).max(1.0);
        };
        if now < level.unresponsive_until {
            return 0.0;
        }
        let refill = now.since(level.at).as_secs_f64() * peer.share.rate;
        let refill = refill / f64::from(1_u32 << level.misses);
        (level.tokens + refill).min(peer.share.burst.max(1.0))
    }

    /// Returns the time after which the fleet is expected to have a token for a new request; `own`
    /// is the host's own time to the next token.
    fn retry_after(&self, now: Time, own: Duration) -> Duration {
        let fleet = if self.rate > 0.0 { 1.0 / self.rate } else { 60.0 };
        let fleet = Duration::from_secs_f64(fleet.min(60.0));
        own.min(fleet).max(self.exhausted_until.since(now))
    }
}

fn admit(waiter: Waiter) -> Verdict {
    Verdict { ticket: waiter.ticket, refused: None }
}

fn refuse(waiter: Waiter, retry_after: Duration) -> Verdict {
    Verdict { ticket: waiter.ticket, refused: Some(retry_after) }
}
