/*!
Steering of requests straight to targets that register themselves.

Every entry host knows every target and sends to it without a hop. What the hosts must agree on comes
from a replicated [`registry`](Registry): the operators' configuration, data centres under evacuation,
targets and entry hosts, each with the version that the store gave it, so that the newest wins on any
path. A [`Desk`] decides for one host: which target runs a request, which request waits, and which is
refused at once.
*/

mod ask;
mod budget;
mod catch_up;
mod changes;
mod cold;
mod config;
mod desk;
mod entry;
mod lapse;
mod load;
mod mirror;
mod naming;
mod precedence;
mod priming;
mod registry;
mod relay;
mod touch;
mod version;
mod work;

pub use self::{
    ask::{Ask, Crossing, Outcome, Placement, Refused, Ticket, Try},
    budget::{RetryBudget, Terms as RetryTerms},
    catch_up::CatchUp,
    changes::Changes,
    cold::ColdLimit,
    config::{AccountTerms, Config, Host, Limits, Part, Route, Routes, ServiceTerms},
    desk::{Desk, Settings, TELL_HOSTS_MIN, TELL_INTERVAL, Tag},
    entry::{Entry, EntryHost, Key, Target, TargetState, Topic, Value},
    load::{Load, Reading, Report, Seen},
    mirror::{Mirror, Taken},
    naming::named,
    priming::Priming,
    registry::{Registry, Snapshot},
    relay::{Relay, WORD_INTERVAL},
    touch::Touch,
    version::{Era, Version},
    work::Work,
};
