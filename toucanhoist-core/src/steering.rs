/*!
Steering of requests straight to targets that register themselves.

Every entry host knows every target and sends to it without a hop. What the hosts must agree on
comes from a replicated [`registry`](Registry): the operators' configuration, data centres under
evacuation, targets and entry hosts, each with the version that the store gave it, so that the
newest entry wins whichever way it arrives. A [`Balancer`] decides for one host which target runs a
request, which request waits, and which one is refused at once.
*/

mod advertised;
mod announced;
mod balancer;
mod bootstrap;
mod budget;
pub mod builds;
mod catch_up;
mod changes;
mod cold;
mod config;
mod connectivity;
mod currency;
mod deferral;
mod entry;
mod feed;
mod gate;
pub mod limit;
mod load;
mod mirror;
mod path;
mod placement;
mod precedence;
mod processing_time;
mod registry;
mod relay;
mod version;

pub use self::{
    advertised::advertised_hosts,
    announced::Announced,
    balancer::{
        Balancer, HOLD_MAX, LOAD_EXCHANGE_HOSTS_MIN, LOAD_EXCHANGE_INTERVAL, Probe, Settings, Tag,
    },
    bootstrap::Bootstrap,
    budget::{RetryBudget, Terms as RetryTerms},
    catch_up::CatchUp,
    changes::Changes,
    cold::ColdLimit,
    config::{AccountTerms, Config, Host, Limits, Part, Route, Routes, ServiceTerms},
    connectivity::Connectivity,
    currency::{Arrival, Confirmation, Currency, Way},
    entry::{Entry, EntryHost, Key, Target, TargetState, Topic, Value},
    feed::{Feed, FeedFailure},
    gate::Gate,
    limit::Report as LimitReport,
    load::{Load, Observations, Reading, Report},
    mirror::{Mirror, Update},
    path::{Failure, Path, Step},
    placement::{Attempt, Crossing, Outcome, Placement, PlacementRequest, Refused, Ticket},
    processing_time::ProcessingTime,
    registry::{Registry, Snapshot},
    relay::{HEARTBEAT_INTERVAL, Relay},
    version::{Era, Version},
};
