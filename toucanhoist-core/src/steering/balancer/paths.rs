//! What a host knows of its paths to targets, and how it connects to each.
//!
//! A host can lose its path to targets that other hosts still reach. It finds out when it needs a
//! connection: once the direct attempt has failed or takes long, it asks another host for a tunnel
//! to the same target. Nothing has been sent by then, so this is safe for requests that must not
//! run twice. Only the connection differs; the host that took the request goes on deciding and
//! counting.
//!
//! A target that others reach and this host does not is [`Direct::Lost`], and used through tunnels
//! until a probe of the direct path succeeds. Several targets that fail in a row mean that the host
//! is cut off. It then trusts no idle connection and carries no tunnels.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::topology::{Preference, Topology};
use crate::{
    clock::Time,
    id,
    steering::{Failure, Outcome, Path, Step, Target, Ticket},
};

/// Time that a path has before the next one is tried; several round trips between regions.
const ATTEMPT_DELAY: Duration = Duration::from_millis(120);
/// Hosts that are asked for a tunnel to make one connection.
const HELPERS_MAX: usize = 2;
/// Targets that fail in a row at a host that is cut off.
const CUT_OFF_TARGETS: usize = 3;
/// Interval between probes, and the targets that are probed at a time. Both are independent of the
/// number of targets, so that probes stay cheap in a large fleet.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBES_MAX: usize = 2;
/// Bounds of the time for which a host that refused a tunnel is not asked again.
const BACK_OFF_MIN: Duration = Duration::from_millis(500);
const BACK_OFF_MAX: Duration = Duration::from_secs(4);
/// Hosts of a data centre that refuse tunnels before those of other data centres are asked first.
const DOUBTFUL_REFUSALS: usize = 2;
/// Time without anything from any target after which connections count as silent; less than an
/// attempt to connect may take.
const SILENCE_MIN: Duration = Duration::from_millis(400);
/// Time for which a tunnel to a target shows that other hosts reach it.
const TUNNEL_EVIDENCE_TIME: Duration = Duration::from_secs(1);

/// State of a direct path that is in doubt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direct {
    /// Requests end without an answer.
    Suspect,
    /// The last attempt failed; it is not known whether others reach the target.
    Failed(Failure),
    /// The last attempt failed, and another host reaches the target.
    Lost(Failure),
}

#[derive(Clone, Copy, Debug)]
struct Doubt {
    direct: Direct,
    failed_at: Time,
    /// When a tunnel to the target was last made.
    tunnelled_at: Time,
    probed_at: Time,
}

/// Time until which a host is not asked for a tunnel, and the length of its next back-off.
#[derive(Clone, Copy, Debug)]
struct BackOff {
    until: Time,
    next: Duration,
}

/// Paths of one host.
#[derive(Debug, Default)]
pub(super) struct Paths {
    doubts: BTreeMap<id::Target, Doubt>,
    /// Hosts that refused tunnels.
    helpers: HashMap<id::EntryHost, BackOff>,
    /// Hosts that refused tunnels to targets of a data centre, by that.
    scoped_helpers: HashMap<id::DataCentre, HashMap<id::EntryHost, BackOff>>,
    /// When a direct connection was last made.
    connected_at: Time,
    /// When something last came from a target over a direct connection, by data centre.
    answered_at: HashMap<id::DataCentre, Time>,
    /// The latest of these times.
    last_answer_at: Time,
    /// When the host was cut off and its connections had fallen silent, until something comes.
    silent_since: Option<Time>,
    /// Connections that have been idle since before are not used.
    fresh_after: Time,
    probed_at: Time,
}

/// A connection that is to be made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted<'a> {
    pub target: &'a id::Target,
    pub data_centre: &'a id::DataCentre,
    /// Regions that may handle the request; empty for all.
    pub homes: &'a [id::Region],
}

impl Paths {
    /// Whether the host reaches no targets, as far as it knows.
    pub(super) fn is_cut_off(&self) -> bool {
        let failed = self.doubts.values().filter(|doubt| match doubt.direct {
            Direct::Suspect => false,
            // Answers over kept connections show that the path is whole.
            Direct::Failed(Failure::TimedOut) | Direct::Lost(Failure::TimedOut) => {
                doubt.failed_at > self.connected_at.max(self.last_answer_at)
            }
            // Kept connections may live on while new ones are refused.
            Direct::Failed(_) | Direct::Lost(_) => doubt.failed_at > self.connected_at,
        });
        failed.count() >= CUT_OFF_TARGETS
    }

    /// Whether a direct path to a target is likely to fail.
    pub(super) fn is_unlikely(&self, target: &id::Target) -> bool {
        self.has_failed(target) || self.silent_since.is_some()
    }

    /// Whether the last direct attempt to connect to a target failed.
    pub(super) fn has_failed(&self, target: &id::Target) -> bool {
        self.doubts
            .get(target)
            .is_some_and(|doubt| matches!(doubt.direct, Direct::Failed(_) | Direct::Lost(_)))
    }

    /// Returns the time since which a kept connection to a target must have been used.
    pub(super) fn fresh_after(&self, target: &id::Target) -> Time {
        match self.doubts.get(target) {
            Some(Doubt {
                direct: Direct::Failed(Failure::TimedOut) | Direct::Lost(Failure::TimedOut),
                failed_at,
                ..
            }) => self.fresh_after.max(*failed_at),
            _ => self.fresh_after,
        }
    }

    /// Returns the attempts to connect to a target; none if no host is known that may reach it.
    pub(super) fn plan(&self, now: Time, topology: &Topology, wanted: Wanted<'_>) -> Vec<Step> {
        let helpers = self.helpers(now, topology, wanted);
        let direct = self.doubts.get(wanted.target).map(|doubt| doubt.direct);
        let is_cut_off = self.is_cut_off();
        // Probes find out when the direct path works again.
        let uses_direct = match direct {
            Some(Direct::Failed(_)) => !is_cut_off,
            Some(Direct::Lost(_)) => !is_cut_off && helpers.is_empty(),
            Some(Direct::Suspect) | None => self.silent_since.is_none(),
        };
        let is_doubtful = is_cut_off || matches!(direct, Some(Direct::Failed(_)));
        let mut steps = Vec::new();
        if uses_direct {
            steps.push(Step { path: Path::Direct, delay: Duration::ZERO });
        }
        for helper in helpers {
            let is_at_once = steps.is_empty() || (steps.len() == 1 && uses_direct && is_doubtful);
            let delay = if is_at_once { Duration::ZERO } else { ATTEMPT_DELAY };
            steps.push(Step { path: Path::Tunnel(helper), delay });
        }
        steps
    }

    /// Returns the time until another host may be asked, if this one is cut off and all others have
    /// refused.
    pub(super) fn isolation(&self, now: Time, topology: &Topology) -> Option<Duration> {
        if !self.is_cut_off() {
            return None;
        }
        let backing_off = self.helpers.values().filter(|back_off| now < back_off.until);
        if backing_off.clone().count() + 1 < topology.host_count() {
            return None;
        }
        let next = backing_off.map(|back_off| back_off.until.since(now)).min();
        Some(next.unwrap_or(PROBE_INTERVAL))
    }

    fn helpers(&self, now: Time, topology: &Topology, wanted: Wanted<'_>) -> Vec<id::EntryHost> {
        let is_backing_off = |back_off: Option<&BackOff>| back_off.is_some_and(|b| now < b.until);
        let scoped = self.scoped_helpers.get(wanted.data_centre);
        let is_usable = |helper: &id::EntryHost| {
            !is_backing_off(self.helpers.get(helper))
                && !is_backing_off(scoped.and_then(|scoped| scoped.get(helper)))
        };
        let refused: Vec<&id::DataCentre> = self
            .helpers
            .iter()
            .filter(|(_, back_off)| now < back_off.until)
            .filter_map(|(helper, _)| topology.data_centre_of(helper))
            .collect();
        let is_doubtful = |data_centre: &id::DataCentre| {
            refused.iter().filter(|other| **other == data_centre).count() >= DOUBTFUL_REFUSALS
        };
        let preference = Preference { is_usable: &is_usable, is_doubtful: &is_doubtful };
        topology.helpers(wanted, HELPERS_MAX, preference)
    }

    /// Records how an attempt to connect ended. Returns whether the direct path to the target
    /// turned out to be lost just now.
    pub(super) fn record(
        &mut self,
        now: Time,
        target: &id::Target,
        data_centre: &id::DataCentre,
        path: &Path,
        result: Result<(), Failure>,
    ) -> bool {
        match (path, result) {
            (Path::Direct, Ok(())) => self.record_connected(now, target),
            (Path::Direct, Err(failure)) => return self.record_failed(now, target, failure),
            (Path::Tunnel(helper), Ok(())) => {
                self.helpers.remove(helper);
                if let Some(scoped) = self.scoped_helpers.get_mut(data_centre) {
                    scoped.remove(helper);
                }
                let doubt = self.doubt(target);
                doubt.tunnelled_at = now;
                if let Direct::Failed(failure) = doubt.direct {
                    doubt.direct = Direct::Lost(failure);
                    return true;
                }
            }
            (Path::Tunnel(_), Err(Failure::Refused | Failure::TimedOut)) => {
                // The target is down, or the other host has lost its path and does not know yet.
                if let Some(doubt) = self.doubts.get_mut(target) {
                    if let Direct::Lost(failure) = doubt.direct {
                        doubt.direct = Direct::Failed(failure);
                    }
                }
            }
            (Path::Tunnel(helper), Err(Failure::NoPath)) => {
                let scoped = self.scoped_helpers.entry(data_centre.clone()).or_default();
                back_off(scoped, now, helper);
            }
            (Path::Tunnel(helper), Err(Failure::NoHelper)) => {
                back_off(&mut self.helpers, now, helper);
            }
        }
        false
    }

    fn doubt(&mut self, target: &id::Target) -> &mut Doubt {
        self.doubts.entry(target.clone()).or_insert(Doubt {
            direct: Direct::Suspect,
            failed_at: Time::ZERO,
            tunnelled_at: Time::ZERO,
            probed_at: Time::ZERO,
        })
    }

    fn record_connected(&mut self, now: Time, target: &id::Target) {
        (self.connected_at, self.silent_since) = (now, None);
        let is_lost = |doubt: &Doubt| matches!(doubt.direct, Direct::Lost(_));
        if self.doubts.remove(target).is_some_and(|doubt| is_lost(&doubt)) {
            // The paths to the others are likely to work again too.
            self.doubts.retain(|_, doubt| !is_lost(doubt));
        }
    }

    fn record_failed(&mut self, now: Time, target: &id::Target, failure: Failure) -> bool {
        let doubt = self.doubt(target);
        let was_lost = matches!(doubt.direct, Direct::Lost(_));
        let is_lost = was_lost || now < doubt.tunnelled_at + TUNNEL_EVIDENCE_TIME;
        doubt.direct = if is_lost { Direct::Lost(failure) } else { Direct::Failed(failure) };
        doubt.failed_at = now;
        let is_silent = now >= self.last_answer_at + SILENCE_MIN;
        if failure == Failure::TimedOut && is_silent && self.is_cut_off() {
            self.silent_since.get_or_insert(now);
            self.fresh_after = now;
        }
        is_lost && !was_lost
    }

    /// Records how a request ended. Returns whether a request without an answer is known to have
    /// reached its target.
    pub(super) fn record_outcome(
        &mut self,
        now: Time,
        ticket: &Ticket,
        entry: &Target,
        outcome: Outcome,
    ) -> bool {
        match outcome {
            _ if ticket.via.is_some() => false,
            Outcome::Answered { .. }
            | Outcome::Shed { .. }
            | Outcome::Misdirected
            | Outcome::Broken => {
                self.record_answer(now, &ticket.target, &entry.data_centre);
                true
            }
            Outcome::Disconnected | Outcome::Unanswered => {
                self.record_silence(ticket.sent, &ticket.target, &entry.data_centre)
            }
            Outcome::Unreachable | Outcome::Unsent | Outcome::Abandoned => true,
        }
    }

    /// Records that something came from a target over a direct connection.
    fn record_answer(&mut self, now: Time, target: &id::Target, data_centre: &id::DataCentre) {
        (self.last_answer_at, self.silent_since) = (now, None);
        if let Some(at) = self.answered_at.get_mut(data_centre) {
            *at = now;
        } else {
            self.answered_at.insert(data_centre.clone(), now);
        }
        if self.doubts.get(target).is_some_and(|doubt| doubt.direct == Direct::Suspect) {
            self.doubts.remove(target);
        }
    }

    /// Records that a request got no answer over a direct connection. Returns whether the target is
    /// known to be the cause, since others of its data centre have answered after `sent`.
    fn record_silence(
        &mut self,
        sent: Time,
        target: &id::Target,
        data_centre: &id::DataCentre,
    ) -> bool {
        if self.answered_at.get(data_centre).is_some_and(|at| *at > sent) {
            return true;
        }
        self.doubt(target);
        false
    }

    /// Returns why this host cannot carry a tunnel to a target.
    pub(super) fn check_tunnel(&self, target: &id::Target) -> Result<(), Failure> {
        let direct = self.doubts.get(target).map(|doubt| doubt.direct);
        match direct {
            _ if self.is_cut_off() => Err(Failure::NoHelper),
            Some(Direct::Lost(_)) => Err(Failure::NoPath),
            _ => Ok(()),
        }
    }

    /// Returns the targets to which a connection is to be tried now, to learn whether the direct
    /// path works, and whether the other paths are to be tried too.
    pub(super) fn due_probes(&mut self, now: Time) -> Vec<(id::Target, bool)> {
        if self.doubts.is_empty() || now < self.probed_at + PROBE_INTERVAL {
            return Vec::new();
        }
        self.probed_at = now;
        let is_cut_off = self.is_cut_off();
        let mut due: Vec<(&id::Target, &mut Doubt)> = self
            .doubts
            .iter_mut()
            .filter(|(_, doubt)| match doubt.direct {
                Direct::Suspect => doubt.probed_at == Time::ZERO,
                Direct::Failed(_) => is_cut_off,
                Direct::Lost(_) => true,
            })
            .collect();
        due.sort_by_key(|(_, doubt)| doubt.probed_at);
        due.truncate(PROBES_MAX);
        let probe = |(target, doubt): (&id::Target, &mut Doubt)| {
            doubt.probed_at = now;
            (target.clone(), doubt.direct == Direct::Suspect)
        };
        due.into_iter().map(probe).collect()
    }

    /// Forgets a target that is gone or has started anew.
    pub(super) fn remove(&mut self, target: &id::Target) {
        self.doubts.remove(target);
    }
}

/// Has a host that refused a tunnel not be asked for a while.
fn back_off(helpers: &mut HashMap<id::EntryHost, BackOff>, now: Time, helper: &id::EntryHost) {
    // Hosts that have left the fleet are not asked again.
    helpers.retain(|_, back_off| now < back_off.until + BACK_OFF_MAX);
    let back_off = helpers.entry(helper.clone());
    let back_off = back_off.or_insert(BackOff { until: now, next: BACK_OFF_MIN });
    // Several attempts may have been under way.
    if now >= back_off.until {
        back_off.until = now + back_off.next;
        back_off.next = (back_off.next * 2).min(BACK_OFF_MAX);
    }
}
