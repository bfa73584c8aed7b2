//! Data centres, regions and entry hosts, as seen by a balancer.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use super::paths::Wanted;
use crate::{id, membership::rendezvous_score, steering::limit};

/// Location of a target relative to the host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Proximity {
    /// In the host's data centre.
    DataCentre,
    /// In another data centre of its region.
    Region,
    /// In another region.
    Remote,
}

/// Which hosts are asked for a tunnel.
pub(super) struct Preference<'a> {
    /// Whether a host may be asked now.
    pub is_usable: &'a dyn Fn(&id::EntryHost) -> bool,
    /// Whether hosts of a data centre are asked after all others.
    pub is_doubtful: &'a dyn Fn(&id::DataCentre) -> bool,
}

/// Index of a region.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Region(pub usize);

/// Data centres, regions and entry hosts.
#[derive(Debug)]
pub(super) struct Topology {
    host: id::EntryHost,
    data_centre: id::DataCentre,
    regions: Vec<id::Region>,
    region_numbers: BTreeMap<id::DataCentre, Region>,
    hosts: BTreeMap<id::EntryHost, id::DataCentre>,
    /// Whether this host has registered, so that the others count it too.
    is_registered: bool,
    /// Number of hosts by region; `None` until hosts are known.
    hosts_by_region: Option<Vec<u32>>,
    evacuated: BTreeSet<id::DataCentre>,
}

impl Topology {
    pub(super) fn new(
        host: id::EntryHost,
        data_centre: id::DataCentre,
        regions: &BTreeMap<id::DataCentre, id::Region>,
    ) -> Topology {
        let names: BTreeSet<&id::Region> = regions.values().collect();
        let names: Vec<id::Region> = names.into_iter().cloned().collect();
        let index = |region: &id::Region| {
            Region(names.binary_search(region).expect("every region has a name"))
        };
        let numbers =
            regions.iter().map(|(data_centre, region)| (data_centre.clone(), index(region)));
        Topology {
            region_numbers: numbers.collect(),
            hosts: BTreeMap::from([(host.clone(), data_centre.clone())]),
            is_registered: false,
            hosts_by_region: None,
            host,
            data_centre,
            regions: names,
            evacuated: BTreeSet::new(),
        }
    }

    /// Sets the hosts that have registered. This one sends to targets whether it has or not.
    pub(super) fn set_hosts(&mut self, hosts: BTreeMap<id::EntryHost, id::DataCentre>) {
        self.is_registered = hosts.contains_key(&self.host);
        self.hosts = hosts;
        self.hosts.insert(self.host.clone(), self.data_centre.clone());
        let mut counts = vec![0; self.region_count()];
        for data_centre in self.hosts.values() {
            counts[self.region_of(data_centre).0] += 1;
        }
        self.hosts_by_region = Some(counts);
    }

    /// Sets the data centres under evacuation; returns those whose evacuation has ended.
    pub(super) fn set_evacuated(
        &mut self,
        evacuated: BTreeSet<id::DataCentre>,
    ) -> BTreeSet<id::DataCentre> {
        let previous = std::mem::replace(&mut self.evacuated, evacuated);
        previous.difference(&self.evacuated).cloned().collect()
    }

    pub(super) fn is_evacuated(&self, data_centre: &id::DataCentre) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Whether this host has registered.
    pub(super) fn is_registered(&self) -> bool {
        self.is_registered
    }

    /// Returns the number of hosts.
    pub(super) fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the number of hosts in each region; `None` until hosts are known.
    pub(super) fn hosts_by_region(&self) -> Option<&[u32]> {
        self.hosts_by_region.as_deref()
    }

    /// Returns the number of regions, including one for data centres without a region.
    pub(super) fn region_count(&self) -> usize {
        self.regions.len() + 1
    }

    /// Returns the region of a data centre.
    pub(super) fn region_of(&self, data_centre: &id::DataCentre) -> Region {
        self.region_numbers.get(data_centre).copied().unwrap_or(Region(self.regions.len()))
    }

    /// Returns the host's region.
    pub(super) fn region(&self) -> Region {
        self.region_of(&self.data_centre)
    }

    /// Whether `homes` allows a region; an empty list allows all.
    pub(super) fn is_allowed(&self, region: Region, homes: &[id::Region]) -> bool {
        homes.is_empty() || self.regions.get(region.0).is_some_and(|name| homes.contains(name))
    }

    pub(super) fn proximity(&self, data_centre: &id::DataCentre) -> Proximity {
        if *data_centre == self.data_centre {
            Proximity::DataCentre
        } else if self.region_of(data_centre) == self.region() {
            Proximity::Region
        } else {
            Proximity::Remote
        }
    }

    /// Returns the host's rank among all hosts by rendezvous score for a target, from 0.
    pub(super) fn rank(&self, target: &id::Target) -> usize {
        let own = rendezvous_score(self.host.as_str(), target.as_str());
        self.hosts
            .keys()
            .filter(|host| rendezvous_score(host.as_str(), target.as_str()) > own)
            .count()
    }

    /// Returns the other hosts.
    pub(super) fn other_hosts(&self) -> impl Iterator<Item = &id::EntryHost> {
        self.hosts.keys().filter(|host| **host != self.host)
    }

    /// Returns up to `count` other hosts that may carry a tunnel to a target: those of its data
    /// centre first, then those of its region, as the exchange passes there anyway. Different hosts
    /// get different ones of each group. Where homes restrict the regions, only hosts of these
    /// carry it.
    pub(super) fn helpers(
        &self,
        wanted: Wanted<'_>,
        count: usize,
        preference: Preference<'_>,
    ) -> Vec<id::EntryHost> {
        let region = self.region_of(wanted.data_centre);
        let key = format!("{}/{}", self.host, wanted.target);
        let mut helpers: Vec<_> = self
            .hosts
            .iter()
            .filter(|(host, data_centre)| {
                **host != self.host
                    && self.is_allowed(self.region_of(data_centre), wanted.homes)
                    && (preference.is_usable)(host)
            })
            .map(|(host, data_centre)| {
                let distance = (
                    (preference.is_doubtful)(data_centre),
                    data_centre != wanted.data_centre,
                    self.region_of(data_centre) != region,
                );
                (distance, Reverse(rendezvous_score(host.as_str(), &key)), host)
            })
            .collect();
        helpers.sort_unstable();
        helpers.into_iter().take(count).map(|(.., host)| host.clone()).collect()
    }

    /// Returns the data centre of a host.
    pub(super) fn data_centre_of(&self, host: &id::EntryHost) -> Option<&id::DataCentre> {
        self.hosts.get(host)
    }

    /// Returns the host's place in the order of all hosts for a target's limit: hosts of its region
    /// first, each group by rendezvous score.
    pub(super) fn limit_place(&self, target: &id::Target, region: Region) -> limit::Place {
        let order = |host: &id::EntryHost, data_centre: &id::DataCentre| {
            let is_near = self.region_of(data_centre) == region;
            (is_near, rendezvous_score(host.as_str(), target.as_str()))
        };
        let own = order(&self.host, &self.data_centre);
        let mut place = limit::Place { position: 0, near: 0, hosts: self.hosts.len() };
        for (host, data_centre) in &self.hosts {
            let other = order(host, data_centre);
            place.position += usize::from(other > own);
            place.near += usize::from(other.0);
        }
        if place.near == 0 {
            place.near = place.hosts;
        }
        place
    }
}
