//! Requests for a target, and the decisions of a [`Balancer`](super::Balancer) on them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Announced, Gate, Report, Route};
use crate::{clock::Time, id, unit::Rate};

/// A request that needs a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Number of the request at this host.
    pub number: u64,
    /// Its route.
    pub route: Arc<Route>,
    /// Its service.
    pub service: id::Service,
    /// Object that it is about, on routes with affinity.
    pub object: Option<u64>,
    /// Priority, 0 the highest.
    pub priority: u8,
    /// Time at which it arrived.
    pub arrived: Time,
    /// Time after which an answer is of no use.
    pub deadline: Time,
    /// Regions that may serve it; empty for all.
    pub homes: Vec<id::Region>,
    /// Targets that it was sent to before.
    pub tried: Vec<id::Target>,
    /// Whether this is the first attempt.
    pub attempt: Attempt,
}

/// Kind of attempt to place a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The first attempt.
    First,
    /// A later attempt; no part of the request was sent before.
    Unsent,
    /// A later attempt after a target received the request; it counts against the retry budget.
    Retry,
}

/// Why a request runs in its region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crossing {
    /// It is the host's region.
    Home,
    /// The plan has another region serve it.
    Planned,
    /// The targets of the host's region are full or gone.
    Overflow,
}

impl Crossing {
    /// Returns the reason's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Crossing::Home => "home",
            Crossing::Planned => "planned",
            Crossing::Overflow => "overflow",
        }
    }
}

/// A request's assignment to a target.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Number of the request.
    pub number: u64,
    /// Target.
    pub target: id::Target,
    /// Its address.
    pub address: SocketAddr,
    /// Its service.
    pub service: id::Service,
    /// Its route's name.
    pub route: Box<str>,
    /// Object of the request.
    pub object: Option<u64>,
    /// Why it runs in that target's region.
    pub crossing: Crossing,
    /// Whether the target is assumed to have handled the object recently.
    pub recent: bool,
    /// Time at which it was sent.
    pub sent: Time,
    /// Time that the request is expected to take there, in seconds.
    pub expected_s: f64,
    /// Requests that the target held, as far as this host knew.
    pub busy: f64,
    /// Requests a second that the target takes from all hosts, as far as this host knew.
    pub limit: Option<Rate>,
    /// Version of the statement of that limit, 0 for none.
    pub limit_version: u64,
    /// Start time of the target.
    pub born: u64,
    /// Whether requests may still be sent to it; asked just before the first byte.
    pub gate: Gate,
    /// Time since which a kept connection must have been in use to be used again.
    pub fresh_after: Time,
    /// The host through whose tunnel the request was sent; `None` if it was sent directly.
    pub via: Option<id::EntryHost>,
    /// Whether the request's time is a valid sample of the route's processing time: the target had
    /// a free slot and was not cold, and it is certain whether it handled the object recently.
    pub is_timing_valid: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// No target of the service may serve it.
    NoTarget,
    /// All targets are full, and it would wait too long.
    NoRoom,
    /// The targets that have room take no more requests for now, as they have named limits.
    Limited,
    /// The retry budget is used up.
    NoBudget,
    /// Its targets cannot be reached from any host, as far as this host knows.
    Unreachable,
}

impl Refused {
    /// Returns the reason's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Refused::NoTarget => "no-target",
            Refused::NoRoom => "no-room",
            Refused::Limited => "limited",
            Refused::NoBudget => "no-budget",
            Refused::Unreachable => "unreachable",
        }
    }
}

/// Decision on a request.
#[derive(Clone, Debug)]
pub enum Placement {
    /// It is sent.
    Send(Ticket),
    /// It is refused and has not run.
    Refuse {
        /// Why.
        reason: Refused,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// How a request ended at its target.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Time from sending to the answer.
        took: Duration,
        /// Load that the target reports.
        report: Option<Report>,
        /// Limit that the target announces.
        announced: Announced,
        /// Whether the answer is a failure.
        failed: bool,
    },
    /// The target did not run it.
    Shed {
        /// Load that the target reports.
        report: Option<Report>,
        /// Limit that the target announces.
        announced: Announced,
    },
    /// Another target has taken over the address.
    Misdirected,
    /// The target could not be reached; nothing was sent.
    Unreachable,
    /// Its deadline passed before there was a connection, or the target left; nothing was sent.
    Unsent,
    /// The target closed the connection without a complete answer, or sent something else.
    Broken,
    /// The connection was reset or fell silent before the answer was complete; the target has
    /// failed, or the path to it.
    Disconnected,
    /// Its deadline passed without an answer.
    Unanswered,
    /// Its caller left, and waiting for the answer was given up.
    Abandoned,
}
