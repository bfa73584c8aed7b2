/*!
Look-ups: which entry hosts a caller should use.

A [`Table`] is built once per configuration, membership and plan. It directs a caller to hosts of
its home data centre, or of the region that the plan diverts its client block to, spread by
rendezvous hashing over client blocks, with hosts elsewhere as a fallback.
*/

use std::{collections::HashMap, net::IpAddr, sync::Arc};

use twox_hash::XxHash64;

use crate::{
    catalog::Catalog,
    id,
    membership::{Member, State, View},
    planner::Plan,
};

/// Hosts of the client's data centre in an answer, at most.
const DATA_CENTRE_HOSTS_MAX: usize = 3;
/// Hosts of the region that follow them; more where the data centre has fewer.
const REGION_HOSTS: usize = 2;
/// Hosts in an answer, with those of other regions, at most.
const CHOICES_MAX: usize = 8;
const NEAREST_WEIGHT: u32 = 100;
/// Bits by which the weight is shifted right for each step of distance.
const DISTANCE_SHIFT: u32 = 4;

/// Answers look-ups.
#[derive(Debug)]
pub struct Table {
    catalog: Arc<Catalog>,
    view: Arc<View>,
    plan: Plan,
    /// Data centres by number.
    data_centres: Vec<DataCentre>,
    regions: Vec<Region>,
    hosts: Vec<Host>,
    /// Services for which some callers use another region; for each, the regions whose callers do.
    diverted_regions: HashMap<id::Service, Vec<bool>>,
}

/// Live hosts of a data centre.
#[derive(Debug, Default)]
struct DataCentre {
    /// Number of the region.
    region: usize,
    hosts: Vec<Host>,
}

/// Live hosts of a region.
#[derive(Debug)]
struct Region {
    name: id::Region,
    hosts: Vec<Host>,
}

/// A live host.
#[derive(Clone, Copy, Debug)]
struct Host {
    /// Index among the members of the view.
    member: usize,
    hash: u64,
}

/// Answer to a look-up.
#[derive(Clone, Debug)]
pub struct Answer<'a> {
    /// Home of the client, if it is known.
    pub home: Option<&'a id::DataCentre>,
    /// Region that the plan diverts the client's block to, if any.
    pub diverted_to: Option<&'a id::Region>,
    /// Hosts to use, best first.
    pub choices: Vec<Choice<'a>>,
}

/// An entry host that a caller may use.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The host.
    pub member: &'a Member,
    /// Weight among the choices.
    pub weight: u32,
}

impl Table {
    /// Builds the table.
    pub fn new(catalog: &Arc<Catalog>, view: &Arc<View>, plan: &Plan) -> Table {
        let mut table = Table {
            catalog: Arc::clone(catalog),
            view: Arc::clone(view),
            plan: plan.clone(),
            data_centres: Vec::new(),
            regions: Vec::new(),
            hosts: Vec::new(),
            diverted_regions: HashMap::new(),
        };
        for (number, region) in catalog.fleet().regions.iter().enumerate() {
            let data_centre = |_| DataCentre { region: number, hosts: Vec::new() };
            table.data_centres.extend(region.data_centres.iter().map(data_centre));
            table.regions.push(Region { name: region.name.clone(), hosts: Vec::new() });
        }
        for service in plan.diverted_services() {
            let is_diverted =
                |region: &Region| plan.share(service, &region.name, &region.name) < 1.0;
            let is_diverted = table.regions.iter().map(is_diverted).collect();
            table.diverted_regions.insert(service.clone(), is_diverted);
        }
        let numbers: HashMap<&id::DataCentre, usize> =
            catalog.data_centres().iter().zip(0..).collect();
        let live = |member: &Member| matches!(member.state, State::Live | State::Suspect);
        for (index, member) in view.members.iter().enumerate().filter(|(_, m)| live(m)) {
            table.add(index, member, numbers.get(&member.data_centre).copied());
        }
        table
    }

    /// Whether the table was built from this configuration and membership.
    pub fn is_built_from(&self, catalog: &Arc<Catalog>, view: &Arc<View>) -> bool {
        Arc::ptr_eq(&self.catalog, catalog) && Arc::ptr_eq(&self.view, view)
    }

    /// Returns the plan that the table applies.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    fn add(&mut self, index: usize, member: &Member, data_centre: Option<usize>) {
        let host =
            Host { member: index, hash: XxHash64::oneshot(0, member.name.as_str().as_bytes()) };
        self.hosts.push(host);
        if let Some(data_centre) = data_centre {
            let data_centre = &mut self.data_centres[data_centre];
            data_centre.hosts.push(host);
            self.regions[data_centre.region].hosts.push(host);
        }
    }

    /// Answers a look-up.
    pub fn answer(&self, service: &id::Service, client: IpAddr) -> Answer<'_> {
        let block = self.catalog.block(client);
        let key = block.map_or_else(|| client_key(client), |block| block.key);
        let data_centre = block.map(|block| &self.data_centres[block.number]);
        let region = data_centre.map(|data_centre| &self.regions[data_centre.region]);
        let diverted = data_centre
            .and_then(|data_centre| self.diverted_region(service, data_centre.region, key));
        let local_hosts = data_centre
            .filter(|_| diverted.is_none())
            .map_or(&[][..], |data_centre| &data_centre.hosts);
        let region_hosts = diverted.or(region).map_or(&[][..], |region| &region.hosts);
        let mut chosen = Chosen::default();
        chosen.rank(local_hosts, key, 0);
        chosen.fill(
            region_hosts,
            key,
            DATA_CENTRE_HOSTS_MAX + REGION_HOSTS,
            u32::from(diverted.is_none()),
        );
        chosen.fill(&self.hosts, key, CHOICES_MAX, 2);
        let choice = |&(member, distance): &(usize, u32)| Choice {
            member: &self.view.members[member],
            weight: NEAREST_WEIGHT >> (DISTANCE_SHIFT * distance),
        };
        Answer {
            home: block.map(|block| block.home),
            diverted_to: diverted.map(|region| &region.name),
            choices: chosen.hosts[..chosen.count].iter().map(choice).collect(),
        }
    }

    /// Returns the region that the plan diverts a block to, if any.
    fn diverted_region(&self, service: &id::Service, home: usize, key: u64) -> Option<&Region> {
        if self.diverted_regions.is_empty() || !self.diverted_regions.get(service)?[home] {
            return None;
        }
        let name = self.plan.region(service, &self.regions[home].name, key)?;
        self.regions.iter().find(|region| region.name == *name && !region.hosts.is_empty())
    }
}

/// Hosts chosen so far, with their distances.
#[derive(Debug, Default)]
struct Chosen {
    hosts: [(usize, u32); CHOICES_MAX],
    count: usize,
}

impl Chosen {
    /// Adds the hosts with the highest rendezvous scores.
    fn rank(&mut self, hosts: &[Host], key: u64, distance: u32) {
        let mut best = [(0_u64, usize::MAX); DATA_CENTRE_HOSTS_MAX];
        for host in hosts {
            let mut next = (mix(host.hash ^ key), host.member);
            let last = best[DATA_CENTRE_HOSTS_MAX - 1];
            if last.1 != usize::MAX && next.0 <= last.0 {
                continue;
            }
            for slot in &mut best {
                if slot.1 == usize::MAX || next.0 > slot.0 {
                    std::mem::swap(slot, &mut next);
                }
            }
        }
        for (_, member) in best.into_iter().filter(|(_, member)| *member != usize::MAX) {
            self.push(member, distance);
        }
    }

    /// Adds hosts until there are `limit`, starting at an index that depends on the block.
    fn fill(&mut self, hosts: &[Host], key: u64, limit: usize, distance: u32) {
        let first = usize::try_from(mix(key) % hosts.len().max(1) as u64).unwrap_or(0);
        let (end, begin) = hosts.split_at(first);
        for host in begin.iter().chain(end) {
            if self.count >= limit {
                return;
            }
            if self.hosts[..self.count].iter().all(|(member, _)| *member != host.member) {
                self.push(host.member, distance);
            }
        }
    }

    fn push(&mut self, member: usize, distance: u32) {
        self.hosts[self.count] = (member, distance);
        self.count += 1;
    }
}

/// Returns the key of a client outside all blocks: that of its /24 or /48 network.
fn client_key(client: IpAddr) -> u64 {
    match client {
        IpAddr::V4(v4) => XxHash64::oneshot(0, &v4.octets()[..3]),
        IpAddr::V6(v6) => XxHash64::oneshot(0, &v6.octets()[..6]),
    }
}

/// Spreads the bits of a number.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
