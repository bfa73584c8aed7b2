//! One account at one host: its bucket, its waiting requests and its requests for tokens.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{Bucket, Holder, ledger::Amount};
use crate::clock::Time;

/// Time in which tokens from another host are accepted, by the receiver's clock.
const ANSWER_MAX: Duration = Duration::from_millis(250);

const WAIT_MAX: Duration = Duration::from_millis(200);
/// Time after which a question that is still open holds up no other: two round trips to another
/// region, and several in the own one.
const ROUND_MAX: Duration = Duration::from_millis(80);
const ROUND_MAX_NEAR: Duration = Duration::from_millis(20);
/// Time for which a host that has not answered is not asked again.
const SILENT_TIME: Duration = Duration::from_secs(2);
const ROUND_HOSTS: usize = 4;
const PREFETCH: Duration = Duration::from_millis(150);
const BATCH: Duration = Duration::from_millis(400);
const ROUND_INTERVAL: Duration = Duration::from_millis(20);
const DRY_MIN: Duration = Duration::from_millis(20);
const DRY_MAX: Duration = Duration::from_secs(1);
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
const DEMAND_KEEP: f64 = 0.6;
const DEMAND_KEEP_RISING: f64 = 0.2;
const WAITING_MAX: usize = 4_096;
/// Part of a token that a host must be expected to have to be asked; guesses are a little old.
const GUESS_MIN: f64 = 0.5;
/// Questions in a row without tokens that count.
const MISSES_MAX: u32 = 5;
/// Rounds without tokens after which an account is taken to be used up; one alone may have met
/// tokens on their way to other hosts.
const EMPTY_ROUNDS_MAX: u32 = 2;

/// What becomes of a request at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is admitted.
    Admit,
    /// It waits, shortly, for tokens of other hosts; a [`Verdict`] follows.
    Wait,
    /// It is refused and may come again after this time.
    Refuse(Duration),
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Number that the request was offered with.
    pub ticket: u64,
    /// Time after which it may come again, if it is refused.
    pub refused: Option<Duration>,
}

/// Another host that holds a share.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The host.
    pub holder: Holder,
    /// Its share.
    pub share: Amount,
    /// How far away it is; of hosts that are expected to have tokens, the nearest is asked first.
    pub distance: u8,
}

/// An account at one host.
#[derive(Clone, Debug)]
pub struct Account {
    bucket: Bucket,
    rate: f64,
    others: Vec<Peer>,
    waiting: VecDeque<Waiter>,
    asked: HashMap<u64, Asked>,
    tried: Vec<Holder>,
    levels: HashMap<Holder, Level>,
    received: f64,
    /// Rounds of questions in a row that brought nothing.
    empty_rounds: u32,
    expected: Option<usize>,
    dry_until: Time,
    round_at: Time,
    demand: Demand,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: u64,
    until: Time,
}

#[derive(Clone, Debug)]
struct Asked {
    holder: Holder,
    tokens: f64,
    at: Time,
    /// Time until which the answer holds up other questions.
    open_until: Time,
}

/// Tokens that another host had left when it last answered.
#[derive(Clone, Copy, Debug)]
struct Level {
    tokens: f64,
    at: Time,
    /// Questions in a row that brought nothing.
    misses: u32,
    /// Time until which the host is taken to be gone.
    silent_until: Time,
}

/// Requests a second, over the last windows.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_s: f64,
    count: u32,
    since: Time,
}

impl Demand {
    fn count(&mut self, now: Time) {
        self.roll(now);
        self.count += 1;
    }

    fn roll(&mut self, now: Time) {
        let elapsed = now.since(self.since);
        if elapsed >= DEMAND_WINDOW {
            let seen = f64::from(self.count) / elapsed.as_secs_f64();
            let keep = if seen > self.per_s { DEMAND_KEEP_RISING } else { DEMAND_KEEP };
            self.per_s = self.per_s * keep + seen * (1.0 - keep);
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
    /// Time that a giver keeps the place of tokens that it gave, by its own clock.
    pub const TRANSIT: Duration = Duration::from_millis(260);

    /// Creates an account without shares.
    pub fn new(now: Time) -> Account {
        Account {
            bucket: Bucket::new(now, 0.0, 0.0),
            rate: 0.0,
            others: Vec::new(),
            waiting: VecDeque::new(),
            asked: HashMap::new(),
            tried: Vec::new(),
            levels: HashMap::new(),
            received: 0.0,
            empty_rounds: 0,
            expected: None,
            dry_until: Time::ZERO,
            round_at: Time::ZERO,
            demand: Demand { since: now, ..Demand::default() },
        }
    }

    /// Returns the bucket.
    pub fn bucket(&mut self) -> &mut Bucket {
        &mut self.bucket
    }

    /// Sets the rate that the account was agreed over the fleet, in requests a second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Sets the other hosts that hold shares.
    pub fn set_peers(&mut self, others: Vec<Peer>) {
        self.others = others;
    }

    /// Returns the demand, in requests a second.
    pub fn demand(&mut self, now: Time) -> f64 {
        self.demand.per_s(now)
    }

    /// Offers a request; `others` says whether there are other hosts to ask.
    pub fn offer(&mut self, now: Time, usable: bool, others: bool, ticket: u64) -> Decision {
        self.demand.count(now);
        let own = if usable { self.bucket.take(now) } else { Err(DRY_MAX) };
        match own {
            Ok(()) => Decision::Admit,
            Err(_)
                if others && now >= self.dry_until && self.waiting.len() < self.waiting_most() =>
            {
                self.waiting.push_back(Waiter { ticket, until: now + WAIT_MAX });
                Decision::Wait
            }
            Err(wait) => Decision::Refuse(self.wait(now, wait)),
        }
    }

    /// Returns whom to ask for how many tokens, with the number of each question.
    pub fn ask(&mut self, now: Time, next: &mut u64) -> Vec<(u64, Holder, f64)> {
        self.forget_unanswered(now);
        let wanted = self.wanted(now);
        if wanted <= 0.0 || now < self.round_at {
            return Vec::new();
        }
        let open = |asked: &&Asked| now < asked.open_until;
        let open: Vec<&Asked> = self.asked.values().filter(open).collect();
        let slots = ROUND_HOSTS.saturating_sub(open.len());
        if slots == 0 {
            return Vec::new();
        }
        let mut missing = wanted - open.iter().map(|asked| asked.tokens).sum::<f64>();
        let none_is_open = open.is_empty();
        let candidates = self.candidates(now);
        if candidates.is_empty() && none_is_open {
            self.end_round(now);
        }
        let mut questions = Vec::new();
        for (guess, other) in candidates.into_iter().take(slots) {
            if missing <= 0.0 {
                break;
            }
            *next += 1;
            let (holder, tokens) = (other.holder, missing.max(1.0).ceil());
            missing -= guess.max(1.0);
            let open_until = now + if other.distance == 0 { ROUND_MAX_NEAR } else { ROUND_MAX };
            let asked = Asked { holder: holder.clone(), tokens, at: now, open_until };
            self.asked.insert(*next, asked);
            questions.push((*next, holder, tokens));
        }
        questions
    }

    /// Returns the hosts that may be asked, the best first, with the tokens that each is expected to
    /// have.
    fn candidates(&self, now: Time) -> Vec<(f64, Peer)> {
        let is_free = |other: &&Peer| {
            !self.tried.contains(&other.holder)
                && !self.asked.values().any(|asked| asked.holder == other.holder)
        };
        let guessed = self.others.iter().filter(is_free);
        let mut guessed: Vec<(f64, &Peer)> = guessed
            .map(|other| (self.guess(other, now), other))
            .filter(|(guess, _)| *guess >= GUESS_MIN)
            .collect();
        // The nearest of those that are expected to have a token, then those that may have one.
        let rank =
            |(guess, other): &(f64, &Peer)| if *guess >= 1.0 { other.distance } else { u8::MAX };
        guessed.sort_by(|a, b| rank(a).cmp(&rank(b)).then(b.0.total_cmp(&a.0)));
        guessed.into_iter().map(|(guess, other)| (guess, other.clone())).collect()
    }

    /// Forgets questions that can be answered no more; a host that is silent is left alone for a while.
    fn forget_unanswered(&mut self, now: Time) {
        let (asked, silent): (HashMap<_, _>, HashMap<_, _>) =
            self.asked.drain().partition(|(_, asked)| now < asked.at + ANSWER_MAX);
        self.asked = asked;
        for asked in silent.into_values() {
            let silent_until = now + SILENT_TIME;
            let level = Level { tokens: 0.0, at: now, misses: 0, silent_until };
            self.levels.insert(asked.holder, level);
        }
    }

    /// Notes what a host gave, and what it has left.
    fn note_level(&mut self, now: Time, holder: Holder, given: f64, left: f64) {
        let misses = self.levels.get(&holder).map_or(0, |level| level.misses);
        let misses = if given >= 1.0 { 0 } else { (misses + 1).min(MISSES_MAX) };
        let silent_until = Time::ZERO;
        self.levels.insert(holder, Level { tokens: left, at: now, misses, silent_until });
    }

    /// Gives tokens to another host; returns those given and those left.
    pub fn give(&mut self, now: Time, wanted: f64) -> (f64, f64) {
        let own = self.demand.per_s(now) * PREFETCH.as_secs_f64();
        let own = own + f64::from(u32::try_from(self.waiting.len()).unwrap_or(u32::MAX));
        let (own, level) = (own.floor(), self.bucket.level(now));
        // A host with demand of its own shares what it has, so that none is starved by another.
        let spare = if level >= 2.0 * own { level - own } else { level / 2.0 };
        // A part of a token would be lost at a host that has no share of the burst to keep it in.
        let given = wanted.min(spare).floor();
        let given = self.bucket.give(now, given, now + Account::TRANSIT);
        (given, level - given)
    }

    /// Takes in an answer to a question, once and in time.
    pub fn accept(&mut self, now: Time, question: u64, tokens: f64, left: f64) -> Vec<Verdict> {
        let Some(asked) = self.asked.remove(&question) else { return Vec::new() };
        if now >= asked.at + ANSWER_MAX {
            return Vec::new();
        }
        self.note_level(now, asked.holder.clone(), tokens, left);
        if tokens < asked.tokens {
            self.tried.push(asked.holder);
        } else {
            self.expected = None;
        }
        self.received += tokens;
        let mut arrived = tokens;
        let mut admitted = Vec::new();
        while arrived >= 1.0 && !self.waiting.is_empty() {
            arrived -= 1.0;
            admitted.extend(self.waiting.pop_front().map(admit));
        }
        self.bucket.put(now, arrived);
        admitted
    }

    /// Admits and refuses requests that have waited; `usable` says whether the shares may be used.
    pub fn settle(&mut self, now: Time, usable: bool) -> Vec<Verdict> {
        let mut settled = Vec::new();
        while usable && !self.waiting.is_empty() && self.bucket.take(now).is_ok() {
            settled.extend(self.waiting.pop_front().map(admit));
        }
        while self.waiting.front().is_some_and(|waiter| now >= waiter.until) {
            let after = self.wait(now, DRY_MIN);
            settled.extend(self.waiting.pop_front().map(|w| refuse(w, after)));
        }
        let kept = if now < self.dry_until { 0 } else { self.waiting_most() };
        while self.waiting.len() > kept {
            let after = self.wait(now, DRY_MIN);
            settled.extend(self.waiting.pop_back().map(|w| refuse(w, after)));
        }
        settled
    }

    /// Whether requests wait.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn wanted(&mut self, now: Time) -> f64 {
        let waiting = f64::from(u32::try_from(self.waiting.len()).unwrap_or(u32::MAX));
        let missing = (self.demand.per_s(now) - self.bucket.rate_per_s()).max(0.0);
        let level = self.bucket.level(now);
        if waiting == 0.0 && level >= missing * PREFETCH.as_secs_f64() {
            self.tried.clear();
            (self.expected, self.received) = (None, 0.0);
            return 0.0;
        }
        waiting + (missing * BATCH.as_secs_f64() - level).clamp(0.0, self.bucket.room(now))
    }

    /// Ends a round of questions in which every host that was asked gave all that it could: as many
    /// requests may wait as the round brought tokens. After several rounds without any, the account is
    /// taken to be used up, and requests are refused for a while.
    fn end_round(&mut self, now: Time) {
        let has_asked = !self.tried.is_empty();
        self.tried.clear();
        self.round_at = now + ROUND_INTERVAL;
        let received = std::mem::take(&mut self.received);
        if received >= 1.0 {
            self.empty_rounds = 0;
        } else if has_asked {
            self.empty_rounds = self.empty_rounds.saturating_add(1);
        }
        if self.empty_rounds >= EMPTY_ROUNDS_MAX {
            let pause = Duration::from_secs_f64((1.0 / self.rate.max(1e-3)).min(1.0));
            self.dry_until = now + pause.clamp(DRY_MIN, DRY_MAX);
        }
        if has_asked {
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "at least 0"
            )]
            let expected = received as usize;
            self.expected = Some(expected);
        }
    }

    fn waiting_most(&self) -> usize {
        self.expected.map_or(WAITING_MAX, |expected| expected.max(1))
    }

    /// Returns the tokens that another host is expected to have. One that gave nothing several times
    /// is taken to be used up by others as fast as it fills.
    fn guess(&self, other: &Peer, now: Time) -> f64 {
        let Some(level) = self.levels.get(&other.holder) else {
            return (other.share.burst / 2.0).max(1.0);
        };
        if now < level.silent_until {
            return 0.0;
        }
        let refill = now.since(level.at).as_secs_f64() * other.share.rate;
        let refill = refill / f64::from(1_u32 << level.misses);
        (level.tokens + refill).min(other.share.burst.max(1.0))
    }

    /// Returns an honest time to come again: when the fleet will have a token for a new request.
    fn wait(&self, now: Time, own: Duration) -> Duration {
        let fleet = if self.rate > 0.0 { 1.0 / self.rate } else { 60.0 };
        let fleet = Duration::from_secs_f64(fleet.min(60.0));
        own.min(fleet).max(self.dry_until.since(now))
    }
}

fn admit(waiter: Waiter) -> Verdict {
    Verdict { ticket: waiter.ticket, refused: None }
}

fn refuse(waiter: Waiter, after: Duration) -> Verdict {
    Verdict { ticket: waiter.ticket, refused: Some(after) }
}
