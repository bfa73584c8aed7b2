use std::{collections::HashMap, time::Duration};

use super::Claim;
use crate::{catalog::Target, clock::Time, id};

const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(5);
const SHED_PAUSE: Duration = Duration::from_millis(250);

/// Conditions that a new owner of a target must wait for before it uses the slots.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Takeover {
    /// Hosts that have not confirmed yet that they no longer use the slots.
    unconfirmed: Vec<id::EntryHost>,
    /// Last digest that this host had formed before; only an acknowledgement of a later one counts.
    digest_number: u64,
    /// Time until which the host only listens to other hosts.
    listen_until: Time,
    /// Time by which requests of earlier owners have ended.
    until: Time,
    /// Whether only half of the slots is used until then, because earlier owners are unknown.
    is_half: bool,
}

/// Load that another host reported of a target.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    received_at: Time,
    running: u32,
}

/// Claim of another host on a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerClaim {
    pub(super) claim: Claim,
    pub(super) running: u32,
    /// Last digest of this host that the other host had received.
    pub(super) echo: u64,
    /// Whether the other host yields if both intend to use the slots.
    pub(super) ranks_lower: bool,
    /// Time by which requests have ended that the other host may still start.
    pub(super) until: Time,
}

/// The slots of one target, as counted by its owner.
#[derive(Debug)]
pub(super) struct Slots {
    pub(super) service: id::Service,
    target: Target,
    used: u32,
    takeover: Option<Takeover>,
    peer_loads: HashMap<id::EntryHost, PeerLoad>,
    ramp_start: Option<Time>,
    back_off_until: Time,
    failures: u32,
    taken_at: Time,
}

impl Slots {
    pub(super) fn new(service: id::Service, target: Target) -> Slots {
        Slots {
            service,
            target,
            used: 0,
            takeover: None,
            peer_loads: HashMap::new(),
            ramp_start: None,
            back_off_until: Time::ZERO,
            failures: 0,
            taken_at: Time::ZERO,
        }
    }

    pub(super) fn target(&self) -> &Target {
        &self.target
    }

    pub(super) fn set_target(&mut self, target: Target) {
        self.target = target;
    }

    pub(super) fn used(&self) -> u32 {
        self.used
    }

    pub(super) fn is_owned(&self) -> bool {
        self.takeover.is_some()
    }

    pub(super) fn claim(&self, now: Time) -> Claim {
        match () {
            () if !self.is_owned() => Claim::None,
            () if self.takeover_limit(now) == 0 => Claim::Intended,
            () => Claim::Open,
        }
    }

    pub(super) fn give_up_ownership(&mut self) {
        self.takeover = None;
    }

    /// Takes over the target from `earlier` owners, whose requests may run until `until`.
    pub(super) fn take_over(
        &mut self,
        earlier: Vec<id::EntryHost>,
        digest_number: u64,
        listen_until: Time,
        until: Time,
        is_half: bool,
    ) {
        self.peer_loads.clear();
        self.takeover =
            Some(Takeover { unconfirmed: earlier, digest_number, listen_until, until, is_half });
    }

    /// Adds a host to wait for that became known during the takeover.
    pub(super) fn await_host(&mut self, now: Time, host: &id::EntryHost, digest_number: u64) {
        if let Some(takeover) = &mut self.takeover {
            if now < takeover.until && !takeover.unconfirmed.contains(host) {
                takeover.digest_number = digest_number;
                takeover.unconfirmed.push(host.clone());
            }
        }
    }

    /// Takes ownership of a target that no host owned before; it is cold.
    pub(super) fn take_new(&mut self, now: Time) {
        self.take_over(Vec::new(), 0, now, now, false);
        self.ramp_start = Some(now);
    }

    /// Applies another host's claim on the target.
    pub(super) fn apply_peer_claim(&mut self, now: Time, host: &id::EntryHost, claim: PeerClaim) {
        self.peer_loads.insert(host.clone(), PeerLoad { received_at: now, running: claim.running });
        if self.takeover_limit(now) > 0 {
            return;
        }
        let Some(takeover) = &mut self.takeover else { return };
        let yields = match claim.claim {
            Claim::None => true,
            Claim::Intended => claim.ranks_lower,
            Claim::Open => false,
        };
        if !yields {
            takeover.until = takeover.until.max(claim.until);
            if !takeover.unconfirmed.contains(host) {
                takeover.unconfirmed.push(host.clone());
            }
        } else if claim.echo > takeover.digest_number {
            takeover.unconfirmed.retain(|name| name != host);
        }
    }

    /// Drops reports of other hosts whose requests must have ended.
    pub(super) fn tick(&mut self, now: Time, longest: Duration) {
        self.peer_loads.retain(|_, load| now.since(load.received_at) < longest);
    }

    /// Returns the slots that this host may use, including used ones.
    pub(super) fn open(&self, now: Time) -> u32 {
        if self.target.draining || now < self.back_off_until {
            return 0;
        }
        let slots = self.target.slots;
        let elsewhere: u32 = self.peer_loads.values().map(|load| load.running).sum();
        self.takeover_limit(now).min(self.ramp_limit(now)).min(slots.saturating_sub(elsewhere))
    }

    pub(super) fn free(&self, now: Time) -> u32 {
        self.open(now).saturating_sub(self.used)
    }

    /// Returns the time at which a slot was last taken.
    pub(super) fn taken_at(&self) -> Time {
        self.taken_at
    }

    /// Takes a slot; returns whether the count stays within the target's slots.
    pub(super) fn take(&mut self, now: Time) -> bool {
        self.used += 1;
        self.taken_at = now;
        self.used <= self.target.slots
    }

    /// Releases a slot; returns whether one was taken.
    pub(super) fn release(&mut self) -> bool {
        let taken = self.used > 0;
        self.used = self.used.saturating_sub(1);
        taken
    }

    pub(super) fn record_success(&mut self, now: Time) {
        if self.failures > 0 {
            self.failures = 0;
            self.ramp_start = Some(now);
        }
    }

    /// Backs off from the target after it could not be reached.
    pub(super) fn record_unreachable(&mut self, now: Time) {
        let pause = BACKOFF_MIN * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.back_off_until = self.back_off_until.max(now + pause.min(BACKOFF_MAX));
        // One request at a time probes whether the target is available again.
        self.ramp_start = Some(self.back_off_until);
    }

    /// Backs off from the target for the pause that it requested when it shed load.
    pub(super) fn record_shed(&mut self, now: Time, pause: Option<Duration>) {
        let pause = pause.unwrap_or(SHED_PAUSE).min(BACKOFF_MAX);
        self.back_off_until = self.back_off_until.max(now + pause);
    }

    /// Returns the slots that the takeover allows.
    fn takeover_limit(&self, now: Time) -> u32 {
        let Some(takeover) = &self.takeover else { return 0 };
        if takeover.unconfirmed.is_empty() {
            return match () {
                () if now < takeover.listen_until => 0,
                () if now < takeover.until && takeover.is_half => self.target.slots.div_ceil(2),
                () => self.target.slots,
            };
        }
        if now < takeover.until { 0 } else { self.target.slots }
    }

    fn ramp_limit(&self, now: Time) -> u32 {
        let slots = u64::from(self.target.slots);
        let (Some(from), span) = (self.ramp_start, self.target.cold_start.as_micros()) else {
            return self.target.slots;
        };
        if self.failures > 0 {
            return 1;
        }
        let elapsed = now.since(from).as_micros();
        if elapsed >= span {
            return self.target.slots;
        }
        let opened = u128::from(slots) * elapsed / span.max(1) + 1;
        u32::try_from(opened.min(slots.into())).unwrap_or(self.target.slots)
    }
}
