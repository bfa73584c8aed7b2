use std::{collections::HashMap, time::Duration};

use crate::{clock::Time, id, membership::Incarnation};

const HINT_MAX_AGE: Duration = Duration::from_millis(1_500);
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);
/// Additional wait at an owner without usable slots, such as one that backs off from its targets.
const BACK_OFF_WAIT: Duration = Duration::from_millis(250);
const HOLD_DEFAULT: Duration = Duration::from_millis(50);

/// Report of a host on its capacity, for other hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Digest {
    /// Process that sent it.
    pub incarnation: Incarnation,
    /// Number of the digest; it increases within a process.
    pub number: u64,
    /// Last digests that the host received from hosts of its data centre.
    pub echoes: Vec<Echo>,
    /// Load of the services of which it owns targets.
    pub loads: Vec<Load>,
    /// Targets that it owns or still runs requests on.
    pub holds: Vec<Hold>,
}

/// Acknowledgement of the last digest that a host received from another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Echo {
    /// Host that sent the digest.
    pub host: id::EntryHost,
    /// Its process.
    pub incarnation: Incarnation,
    /// Number of its digest.
    pub number: u64,
}

/// Load of one service at one owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// Service.
    pub service: id::Service,
    /// Usable slots, including used ones.
    pub slots: u32,
    /// Free ones among them.
    pub free: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Further requests that may wait.
    pub queue_room: u32,
    /// Mean time for which a request holds a slot.
    pub hold: Duration,
}

/// Relation of a host to one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hold {
    /// Target.
    pub target: id::Target,
    /// Whether the host uses the target's slots.
    pub claim: Claim,
    /// Requests of the host that run on it.
    pub running: u32,
}

/// Whether a host uses a target's slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Claim {
    /// It does not.
    #[default]
    None,
    /// It will once earlier owners have acknowledged the takeover.
    Intended,
    /// It does.
    Open,
}

/// Capacity of other hosts, as known from their digests.
#[derive(Debug, Default)]
pub(super) struct Hints {
    hosts: HashMap<id::EntryHost, Host>,
}

#[derive(Debug, Default)]
struct Host {
    unreachable_until: Time,
    loads: HashMap<id::Service, Hint>,
}

#[derive(Debug)]
struct Hint {
    received_at: Time,
    load: Load,
    /// Requests that were forwarded since and have not ended.
    forwarded: u32,
}

/// Expected service at an owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    pub(super) wait: Duration,
    pub(super) free: u32,
}

impl Hints {
    pub(super) fn update(&mut self, now: Time, host: &id::EntryHost, loads: Vec<Load>) {
        let host_hints = self.hosts.entry(host.clone()).or_default();
        host_hints.unreachable_until = Time::ZERO;
        let hint =
            |load: Load| (load.service.clone(), Hint { received_at: now, load, forwarded: 0 });
        host_hints.loads = loads.into_iter().map(hint).collect();
    }

    pub(super) fn record_forward(&mut self, host: &id::EntryHost, service: &id::Service) {
        let hint =
            self.hosts.get_mut(host).and_then(|host_hints| host_hints.loads.get_mut(service));
        if let Some(hint) = hint {
            hint.forwarded += 1;
        }
    }

    /// Records that a forwarded request has ended. One that was forwarded before the last digest
    /// has left a slot that the digest counts as used, so it makes room for one forwarded since.
    pub(super) fn record_forward_end(&mut self, host: &id::EntryHost, service: &id::Service) {
        if let Some(hint) = self.hosts.get_mut(host).and_then(|known| known.loads.get_mut(service))
        {
            hint.forwarded = hint.forwarded.saturating_sub(1);
        }
    }

    /// Records that a host had no capacity for a request.
    pub(super) fn mark_full(&mut self, now: Time, host: &id::EntryHost, service: &id::Service) {
        let hint =
            self.hosts.get_mut(host).and_then(|host_hints| host_hints.loads.get_mut(service));
        if let Some(hint) = hint {
            (hint.received_at, hint.load.free, hint.load.queue_room) = (now, 0, 0);
        }
    }

    /// Records that a host could not be reached.
    pub(super) fn mark_unreachable(&mut self, now: Time, host: &id::EntryHost) {
        self.hosts.entry(host.clone()).or_default().unreachable_until = now + UNREACHABLE_PAUSE;
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&id::EntryHost) -> bool) {
        self.hosts.retain(|name, _| keep(name));
    }

    /// Returns the expected service at an owner; `None` when it cannot take the request.
    ///
    /// A missing or outdated digest is never read as an idle owner.
    pub(super) fn estimate(
        &self,
        now: Time,
        host: &id::EntryHost,
        service: &id::Service,
    ) -> Option<Estimate> {
        let unknown = Estimate { wait: HOLD_DEFAULT, free: 0 };
        let Some(host_hints) = self.hosts.get(host) else { return Some(unknown) };
        if now < host_hints.unreachable_until {
            return None;
        }
        let Some(hint) = host_hints.loads.get(service) else { return Some(unknown) };
        let load = &hint.load;
        if now.since(hint.received_at) > HINT_MAX_AGE {
            return Some(Estimate {
                wait: expected_wait(load, hint.forwarded).max(load.hold),
                free: 0,
            });
        }
        if hint.forwarded >= load.free + load.queue_room {
            return None;
        }
        let free = load.free.saturating_sub(hint.forwarded);
        let wait = if free > 0 { Duration::ZERO } else { expected_wait(load, hint.forwarded) };
        Some(Estimate { wait, free })
    }
}

/// Returns the expected time until a slot is free for one more request, with `sent` requests on
/// their way.
pub(super) fn expected_wait(load: &Load, sent: u32) -> Duration {
    let ahead = (load.queued + sent).saturating_sub(load.free) + 1;
    let back_off = if load.slots == 0 { BACK_OFF_WAIT } else { Duration::ZERO };
    back_off + load.hold * ahead / load.slots.max(1)
}
