/*!
The fleet's configuration in the form that the data path reads.

A [`Catalog`] is built once per revision, with defaults and exceptions resolved, and is shared
without locks after that.
*/

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use {ipnet::IpNet, twox_hash::XxHash64};

use crate::{
    fleet::{self, Access, Fleet, Scope, Value},
    id,
};

/// A configuration with its defaults and exceptions resolved.
#[derive(Debug, Default)]
pub struct Catalog {
    revision: id::Revision,
    fleet: Arc<Fleet>,
    regions: HashMap<id::DataCentre, id::Region>,
    services: HashMap<id::Service, Service>,
    accounts: HashMap<id::Account, fleet::Account>,
    data_centres: Vec<id::DataCentre>,
    blocks: Vec<Prefix>,
}

/// A service with its targets and routes.
#[derive(Debug)]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// Targets.
    pub targets: Vec<Target>,
    /// Share of the traffic that may move between regions in one interval, from 0 to 1.
    pub shift_cap: f64,
    routes: Vec<Route>,
}

/// A target with its values resolved.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name.
    pub name: id::Target,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// Address.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time over which its slots become available after a cold start.
    pub cold_start: Duration,
    /// Whether it gets no new requests.
    pub draining: bool,
}

/// A route with its values resolved.
#[derive(Clone, Debug)]
pub struct Route {
    /// Prefix of the path below the service.
    pub path: Box<str>,
    /// Methods.
    pub methods: Vec<Box<str>>,
    /// Who may use it.
    pub access: Access,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Time limit of a request.
    pub deadline: Duration,
}

/// A block of client addresses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Block<'a> {
    /// Hash of the block.
    pub key: u64,
    /// Data centre nearest to it.
    pub home: &'a id::DataCentre,
    /// Number of the data centre.
    pub number: usize,
}

/// Why no route was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unrouted {
    /// No route has the path.
    Path,
    /// Routes have the path, but none of them takes the method.
    Method,
}

/// Blocks of one prefix length, sorted by address.
#[derive(Debug)]
struct Prefix {
    family: Family,
    length: u8,
    networks: Vec<u128>,
    /// Number of each network's data centre.
    homes: Vec<u32>,
    /// Index of the first network for each value of the leading bits, followed by the number of
    /// networks.
    starts: Vec<u32>,
}

/// Leading bits that select a range of networks.
const BUCKET_BITS: u32 = 16;
const BUCKET_SHIFT: u32 = u128::BITS - BUCKET_BITS;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Family {
    V4,
    V6,
}

impl Catalog {
    /// Resolves `fleet`, which has been validated.
    pub fn new(revision: id::Revision, fleet: &Fleet) -> Catalog {
        Catalog::shared(revision, Arc::new(fleet.clone()))
    }

    /// Resolves a shared configuration, which has been validated.
    pub fn shared(revision: id::Revision, fleet: Arc<Fleet>) -> Catalog {
        let shared = fleet;
        let fleet: &Fleet = &shared;
        let regions = fleet
            .regions
            .iter()
            .flat_map(|r| r.data_centres.iter().map(|d| (d.clone(), r.name.clone())))
            .collect();
        let services =
            fleet.services.iter().map(|s| (s.name.clone(), Service::new(fleet, s))).collect();
        let regions_in_order = fleet.regions.iter();
        let data_centres: Vec<id::DataCentre> =
            regions_in_order.flat_map(|r| r.data_centres.iter().cloned()).collect();
        let accounts = fleet.accounts.iter().map(|a| (a.name.clone(), a.clone())).collect();
        let blocks = prefixes(fleet, &data_centres);
        Catalog { revision, regions, services, accounts, data_centres, blocks, fleet: shared }
    }

    /// Returns the revision.
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the configuration that was resolved.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns a service.
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns a client account.
    pub fn account(&self, name: &id::Account) -> Option<&fleet::Account> {
        self.accounts.get(name)
    }

    /// Returns the region of a data centre.
    pub fn region(&self, data_centre: &id::DataCentre) -> Option<&id::Region> {
        self.regions.get(data_centre)
    }

    /// Returns the home of a client address: that of the longest matching block.
    pub fn home(&self, client: IpAddr) -> Option<&id::DataCentre> {
        self.block(client).map(|block| block.home)
    }

    /// Returns the longest block that contains a client address.
    pub fn block(&self, client: IpAddr) -> Option<Block<'_>> {
        let (family, bits) = match client {
            IpAddr::V4(v4) => (Family::V4, u128::from(u32::from(v4)) << 96),
            IpAddr::V6(v6) => (Family::V6, u128::from(v6)),
        };
        for prefix in self.blocks.iter().filter(|p| p.family == family) {
            let network = masked(bits, prefix.length);
            if let Some(number) = prefix.find(network) {
                let home = &self.data_centres[number];
                return Some(Block { key: block_key(network, prefix.length), home, number });
            }
        }
        None
    }

    /// Returns the data centres, in the order of their numbers.
    pub fn data_centres(&self) -> &[id::DataCentre] {
        &self.data_centres
    }
}

impl Prefix {
    /// Returns the number of the data centre that is the home of a network.
    fn find(&self, network: u128) -> Option<usize> {
        let bucket = (network >> BUCKET_SHIFT) as usize;
        let (first, end) = (self.starts[bucket] as usize, self.starts[bucket + 1] as usize);
        let index = self.networks[first..end].binary_search(&network).ok()?;
        Some(self.homes[first + index] as usize)
    }
}

impl Service {
    fn new(fleet: &Fleet, service: &fleet::Service) -> Service {
        let targets = fleet
            .targets
            .iter()
            .filter(|t| t.service == service.name)
            .map(|t| Target::new(fleet, t))
            .collect();
        let mut routes: Vec<Route> = fleet
            .routes
            .iter()
            .filter(|r| r.service == service.name)
            .map(|r| Route::new(fleet, r))
            .collect();
        routes.sort_by_key(|r| std::cmp::Reverse(r.path.len()));
        let mut shift_cap = fleet.defaults.shift_cap;
        for exception in &fleet.exceptions {
            match (&exception.scope, &exception.value) {
                (Scope::Service(name), Value::ShiftCap(cap)) if *name == service.name => {
                    shift_cap = *cap;
                }
                _ => {}
            }
        }
        Service { name: service.name.clone(), targets, routes, shift_cap: shift_cap.as_f64() }
    }

    /// Returns the route of `path`, which starts below the service.
    ///
    /// # Errors
    ///
    /// Whether the path or only the method is unknown.
    pub fn route(&self, method: &str, path: &str) -> Result<&Route, Unrouted> {
        let mut unrouted = Unrouted::Path;
        for route in self.routes.iter().filter(|r| path.starts_with(&*r.path)) {
            if route.methods.iter().any(|m| &**m == method) {
                return Ok(route);
            }
            unrouted = Unrouted::Method;
        }
        Err(unrouted)
    }
}

impl Target {
    fn new(fleet: &Fleet, target: &fleet::Target) -> Target {
        let mut resolved = Target {
            name: target.name.clone(),
            data_centre: target.data_centre.clone(),
            address: target.address,
            slots: fleet.defaults.slots,
            connections: fleet.defaults.connections,
            cold_start: fleet.defaults.cold_start.as_duration(),
            draining: false,
        };
        let mut rank_of = [0; 4];
        for exception in &fleet.exceptions {
            let rank = match &exception.scope {
                Scope::DataCentre(name) if *name == target.data_centre => 1,
                Scope::Service(name) if *name == target.service => 2,
                Scope::Target(name) if *name == target.name => 3,
                _ => continue,
            };
            resolved.apply_exception(&exception.value, rank, &mut rank_of);
        }
        resolved
    }

    /// Applies an exception unless a narrower one has set the value. A drain of any scope applies.
    fn apply_exception(&mut self, value: &Value, rank: u8, rank_of: &mut [u8; 4]) {
        let mut narrower = |field: usize| {
            let applies = rank >= rank_of[field];
            rank_of[field] = rank_of[field].max(rank);
            applies
        };
        match value {
            Value::Slots(slots) if narrower(0) => self.slots = *slots,
            Value::Connections(connections) if narrower(1) => self.connections = *connections,
            Value::ColdStart(span) if narrower(2) => self.cold_start = span.as_duration(),
            Value::Drain(draining) => self.draining |= *draining,
            _ => {}
        }
    }
}

impl Route {
    fn new(fleet: &Fleet, route: &fleet::Route) -> Route {
        let mut deadline = fleet.defaults.deadline;
        for exception in &fleet.exceptions {
            match (&exception.scope, &exception.value) {
                (Scope::Service(name), Value::Deadline(span)) if *name == route.service => {
                    deadline = *span;
                }
                _ => {}
            }
        }
        Route {
            path: route.path.clone(),
            methods: route.methods.clone(),
            access: route.access,
            repeatable: route.repeatable,
            deadline: route.deadline.unwrap_or(deadline).as_duration(),
        }
    }
}

/// Networks with the numbers of their home data centres.
type Homes = Vec<(u128, u32)>;

/// Groups the blocks by prefix length, longest first.
fn prefixes(fleet: &Fleet, data_centres: &[id::DataCentre]) -> Vec<Prefix> {
    let numbers: HashMap<&id::DataCentre, u32> = data_centres.iter().zip(0..).collect();
    let mut groups: BTreeMap<(Reverse<u8>, Family), Homes> = BTreeMap::new();
    for block in &fleet.client_blocks {
        let (family, bits) = match block.block {
            IpNet::V4(net) => (Family::V4, u128::from(u32::from(net.network())) << 96),
            IpNet::V6(net) => (Family::V6, u128::from(net.network())),
        };
        let Some(&number) = numbers.get(&block.home) else { continue };
        let group = groups.entry((Reverse(block.block.prefix_len()), family)).or_default();
        group.push((bits, number));
    }
    groups.into_iter().map(|((length, family), homes)| prefix(family, length.0, homes)).collect()
}

fn prefix(family: Family, length: u8, mut homes: Homes) -> Prefix {
    homes.sort_unstable();
    let mut starts = vec![0_u32; (1 << BUCKET_BITS) + 1];
    for &(network, _) in &homes {
        starts[(network >> BUCKET_SHIFT) as usize + 1] += 1;
    }
    let mut sum = 0;
    for start in &mut starts {
        sum += *start;
        *start = sum;
    }
    let (networks, homes) = homes.into_iter().unzip();
    Prefix { family, length, networks, homes, starts }
}

fn block_key(network: u128, length: u8) -> u64 {
    XxHash64::oneshot(length.into(), &network.to_be_bytes())
}

fn masked(bits: u128, length: u8) -> u128 {
    match length {
        0 => 0,
        length => bits & (u128::MAX << (128 - u32::from(length))),
    }
}
