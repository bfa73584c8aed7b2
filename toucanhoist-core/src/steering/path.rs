//! Paths from a host to a target: its own, or a tunnel through another host.

use std::time::Duration;

use crate::id;

/// How a connection to a target is made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Path {
    /// From this host.
    Direct,
    /// Through a tunnel that another host carries.
    Tunnel(id::EntryHost),
}

/// An attempt to connect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// How.
    pub path: Path,
    /// Time for which the attempts before may take, unless all of them fail earlier.
    pub delay: Duration,
}

/// Why an attempt to connect failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The target's machine refused; through a tunnel, the host at its end saw this.
    Refused,
    /// The target's machine did not answer in time; the same.
    TimedOut,
    /// The other host has no path to the target.
    NoPath,
    /// The other host does not answer, is cut off itself, shuts down, or carries as many tunnels as
    /// it may.
    NoHelper,
}

impl Failure {
    /// Every failure.
    pub const ALL: [Failure; 4] =
        [Failure::Refused, Failure::TimedOut, Failure::NoPath, Failure::NoHelper];

    /// Returns the failure's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Failure::Refused => "refused",
            Failure::TimedOut => "timed-out",
            Failure::NoPath => "no-path",
            Failure::NoHelper => "no-helper",
        }
    }
}
