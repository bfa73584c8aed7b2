/*!
The configuration of the whole fleet, as operators write it.

Defaults apply to the whole fleet. Exceptions are a short list, each with a scope, a value, an
author and a written reason. [`Catalog`](crate::catalog::Catalog) is the resolved form that the data
path reads.
*/

use {
    ipnet::IpNet,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

use crate::{
    Error, id,
    unit::{Bandwidth, Rate, Share, Span},
};

mod check;
mod day;
mod document;

pub use self::{day::Day, document::parse};

/// The configuration of the whole fleet.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Values for everything without an exception.
    pub defaults: Defaults,
    /// Values that differ from the defaults.
    pub exceptions: Vec<Exception>,
    /// Regions with their data centres.
    pub regions: Vec<Region>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Blocks of client addresses with their homes.
    pub client_blocks: Vec<Block>,
    /// Services.
    pub services: Vec<Service>,
    /// Targets.
    pub targets: Vec<Target>,
    /// Routes of the services.
    pub routes: Vec<Route>,
    /// Client accounts.
    pub accounts: Vec<Account>,
}

/// Values for everything without an exception.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Defaults {
    /// Time until a request's answer must begin.
    pub deadline: Span,
    /// Number of requests that a target runs concurrently.
    pub slots: u32,
    /// Largest number of connections to a target.
    pub connections: u32,
    /// Time over which the slots of a cold target become available.
    pub cold_start: Span,
    /// Share of a service's traffic that may move between regions in one interval.
    pub shift_cap: Share,
    /// Interval to which the shift cap applies.
    pub shift_interval: Span,
    /// Largest number of queued requests for each slot of a target.
    pub queue_per_slot: u32,
    /// Largest number of retries for each hundred requests of a service.
    pub retry_percent: u32,
    /// Time for which callers may cache a look-up.
    pub lookup_max_age: Span,
    /// Time for which an answer to a submission is stored.
    pub submission_retention: Span,
    /// Share of the targets, of the accounts or of a service's slots that a change may remove
    /// without confirmation.
    pub loss_cap: Share,
}

impl Default for Defaults {
    fn default() -> Defaults {
        Defaults {
            deadline: Span::from_millis(5_000),
            slots: 4,
            connections: 330,
            cold_start: Span::from_millis(10_000),
            shift_cap: Share::new(0.1),
            shift_interval: Span::from_millis(10_000),
            queue_per_slot: 8,
            retry_percent: 10,
            lookup_max_age: Span::from_millis(10_000),
            submission_retention: Span::from_millis(86_400_000),
            loss_cap: Share::new(0.5),
        }
    }
}

/// A value that differs from the default.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// What the value applies to.
    pub scope: Scope,
    /// The value.
    pub value: Value,
    /// Why the value differs.
    pub reason: Box<str>,
    /// Who decided on the exception.
    pub author: Box<str>,
    /// Last day of the exception, as `YYYY-MM-DD`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<Day>,
}

/// What an exception applies to.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Everything in a data centre.
    DataCentre(id::DataCentre),
    /// One service.
    Service(id::Service),
    /// One target.
    Target(id::Target),
}

/// Value of an exception.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// Number of requests that a target runs concurrently.
    Slots(u32),
    /// Largest number of connections to a target.
    Connections(u32),
    /// Time until a request's answer must begin.
    Deadline(Span),
    /// Time over which the slots of a cold target become available.
    ColdStart(Span),
    /// Share of a service's traffic that may move between regions in one interval.
    ShiftCap(Share),
    /// Whether targets are in a planned drain: they get no new requests.
    Drain(bool),
}

/// A region with its data centres.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name.
    pub name: id::Region,
    /// Data centres of the region.
    pub data_centres: Vec<id::DataCentre>,
}

/// A link between two regions, the same in each direction.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The two regions.
    pub between: [id::Region; 2],
    /// Capacity in each direction.
    pub capacity: Bandwidth,
    /// One-way latency.
    pub latency: Span,
}

/// A block of client addresses.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// Addresses.
    #[schemars(with = "String")]
    pub block: IpNet,
    /// Data centre nearest to them.
    pub home: id::DataCentre,
}

/// A service.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, the first segment of its paths.
    pub name: id::Service,
}

/// A target: an instance of a service.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name.
    pub name: id::Target,
    /// Service that it runs.
    pub service: id::Service,
    /// Data centre that it runs in.
    pub data_centre: id::DataCentre,
    /// Address that it listens on.
    #[schemars(with = "String")]
    pub address: std::net::SocketAddr,
}

/// A route of a service; the route with the longest matching path is used.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Service.
    pub service: id::Service,
    /// Prefix of the path below the service, starting with `/`.
    pub path: Box<str>,
    /// Allowed methods.
    pub methods: Vec<Box<str>>,
    /// Who may use it.
    pub access: Access,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Deadline of its requests, if not the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Span>,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Everyone.
    Open,
    /// Client accounts that present a key.
    Keyed,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: id::Account,
    /// Agreed rate over the whole fleet.
    pub rate: Rate,
    /// Agreed burst over the whole fleet, in requests.
    pub burst: u32,
    /// Weight when accounts compete for slots.
    #[serde(default = "weight_default")]
    pub weight: u32,
}

fn weight_default() -> u32 {
    1
}

impl Fleet {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// All faults found, each with a JSON pointer, the value found and the allowed values.
    pub fn from_json(text: &str) -> Result<Fleet, Error> {
        let fleet: Fleet = document::parse(text)?;
        fleet.check()?;
        Ok(fleet)
    }

    /// Returns the exceptions whose last day is before `today`.
    pub fn old_exceptions(&self, today: Day) -> impl Iterator<Item = &Exception> {
        self.exceptions.iter().filter(move |e| e.until.is_some_and(|until| until < today))
    }

    /// Checks ranges and references.
    ///
    /// # Errors
    ///
    /// All faults found.
    pub fn check(&self) -> Result<(), Error> {
        let faults = check::faults(self);
        if faults.is_empty() { Ok(()) } else { Err(Error::document(faults)) }
    }
}
