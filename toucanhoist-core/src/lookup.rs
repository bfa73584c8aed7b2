/*!
Look-ups: which entry hosts a caller should use.

A [`Table`] is built once per configuration, membership and plan. It leads a caller to hosts of its
home data centre, or of the region that the plan sends its client block to, spread by rendezvous
hashing over client blocks, with hosts elsewhere to fall back on.
*/

use std::{collections::HashMap, net::IpAddr, sync::Arc};

use twox_hash::XxHash64;

use crate::{
    catalog::Catalog,
    id,
    membership::{Member, State, View},
    planner::Plan,
};

const NEAR_HOSTS: usize = 3;
const REGION_HOSTS: usize = 2;
const CHOICES_MOST: usize = 8;
const NEAREST_WEIGHT: u32 = 100;
const DISTANCE_SHIFT: u32 = 4;

/// Answers look-ups.
#[derive(Debug)]
pub struct Table {
    catalog: Arc<Catalog>,
    view: Arc<View>,
    plan: Plan,
    /// Data centres by their number.
    places: Vec<Place>,
    regions: Vec<Region>,
    hosts: Vec<Host>,
    /// Services for which some callers use another region, with whether those of each region do.
    moving: HashMap<id::Service, Vec<bool>>,
}

/// Live hosts of a data centre.
#[derive(Debug, Default)]
struct Place {
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

/// A live host, by its place in the view.
#[derive(Clone, Copy, Debug)]
struct Host {
    member: usize,
    hash: u64,
}

/// Answer to a look-up.
#[derive(Clone, Debug)]
pub struct Answer<'a> {
    /// Home of the client, if it is known.
    pub home: Option<&'a id::DataCentre>,
    /// Region that the plan sends the client's block to, if not that of its home.
    pub diverted_to: Option<&'a id::Region>,
    /// Hosts to use, the first one first.
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
            places: Vec::new(),
            regions: Vec::new(),
            hosts: Vec::new(),
            moving: HashMap::new(),
        };
        for (number, region) in catalog.fleet().regions.iter().enumerate() {
            let place = |_| Place { region: number, hosts: Vec::new() };
            table.places.extend(region.data_centres.iter().map(place));
            table.regions.push(Region { name: region.name.clone(), hosts: Vec::new() });
        }
        for service in plan.diverted_services() {
            let moves = |region: &Region| plan.share(service, &region.name, &region.name) < 1.0;
            let moves = table.regions.iter().map(moves).collect();
            table.moving.insert(service.clone(), moves);
        }
        let numbers: HashMap<&id::DataCentre, usize> =
            catalog.data_centres().iter().zip(0..).collect();
        let live = |member: &Member| matches!(member.state, State::Live | State::Suspect);
        for (at, member) in view.members.iter().enumerate().filter(|(_, m)| live(m)) {
            table.add(at, member, numbers.get(&member.data_centre).copied());
        }
        table
    }

    /// Whether the table was built from this configuration and membership.
    pub fn is_built_from(&self, catalog: &Arc<Catalog>, view: &Arc<View>) -> bool {
        Arc::ptr_eq(&self.catalog, catalog) && Arc::ptr_eq(&self.view, view)
    }

    /// Returns the plan that the table follows.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    fn add(&mut self, at: usize, member: &Member, place: Option<usize>) {
        let host = Host { member: at, hash: XxHash64::oneshot(0, member.name.as_str().as_bytes()) };
        self.hosts.push(host);
        if let Some(place) = place {
            let place = &mut self.places[place];
            place.hosts.push(host);
            self.regions[place.region].hosts.push(host);
        }
    }

    /// Answers a look-up.
    pub fn answer(&self, service: &id::Service, client: IpAddr) -> Answer<'_> {
        let block = self.catalog.block(client);
        let key = block.map_or_else(|| client_key(client), |block| block.key);
        let place = block.map(|block| &self.places[block.number]);
        let region = place.map(|place| &self.regions[place.region]);
        let moved = place.and_then(|place| self.moved(service, place.region, key));
        let near = place.filter(|_| moved.is_none()).map_or(&[][..], |place| &place.hosts);
        let wide = moved.or(region).map_or(&[][..], |region| &region.hosts);
        let mut chosen = Chosen::default();
        chosen.rank(near, key, 0);
        chosen.fill(wide, key, NEAR_HOSTS + REGION_HOSTS, u32::from(moved.is_none()));
        chosen.fill(&self.hosts, key, CHOICES_MOST, 2);
        let choice = |&(member, distance): &(usize, u32)| Choice {
            member: &self.view.members[member],
            weight: NEAREST_WEIGHT >> (DISTANCE_SHIFT * distance),
        };
        Answer {
            home: block.map(|block| block.home),
            diverted_to: moved.map(|region| &region.name),
            choices: chosen.hosts[..chosen.count].iter().map(choice).collect(),
        }
    }

    /// Returns the region that the plan sends a block to, if not its own.
    fn moved(&self, service: &id::Service, home: usize, key: u64) -> Option<&Region> {
        if self.moving.is_empty() || !self.moving.get(service)?[home] {
            return None;
        }
        let name = self.plan.region(service, &self.regions[home].name, key)?;
        self.regions.iter().find(|region| region.name == *name && !region.hosts.is_empty())
    }
}

/// Hosts chosen so far, with their distances.
#[derive(Debug, Default)]
struct Chosen {
    hosts: [(usize, u32); CHOICES_MOST],
    count: usize,
}

impl Chosen {
    /// Adds the best hosts by rendezvous hashing.
    fn rank(&mut self, hosts: &[Host], key: u64, distance: u32) {
        let mut best = [(0_u64, usize::MAX); NEAR_HOSTS];
        for host in hosts {
            let mut next = (mix(host.hash ^ key), host.member);
            let last = best[NEAR_HOSTS - 1];
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

    /// Adds hosts up to `most`, from a place that the block draws.
    fn fill(&mut self, hosts: &[Host], key: u64, most: usize, distance: u32) {
        let first = usize::try_from(mix(key) % hosts.len().max(1) as u64).unwrap_or(0);
        let (end, begin) = hosts.split_at(first);
        for host in begin.iter().chain(end) {
            if self.count >= most {
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

/// Returns the key of a client that no block contains: that of its /24 or /48.
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
