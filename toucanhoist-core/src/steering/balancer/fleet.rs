//! What a desk knows of data centres, regions and entry hosts.

use std::collections::{BTreeMap, BTreeSet};

use crate::{id, membership::rendezvous_score};

/// Where a target is, as seen from the host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Near {
    /// In the host's data centre.
    DataCentre,
    /// In another data centre of its region.
    Region,
    /// In another region.
    Away,
}

/// Number of a region.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Region(pub usize);

/// Data centres, regions and entry hosts.
#[derive(Debug)]
pub(super) struct Fleet {
    host: id::EntryHost,
    data_centre: id::DataCentre,
    regions: Vec<id::Region>,
    numbers: BTreeMap<id::DataCentre, Region>,
    hosts: BTreeMap<id::EntryHost, id::DataCentre>,
    /// Hosts by region; `None` until hosts are known.
    hosts_of: Option<Vec<u32>>,
    evacuated: BTreeSet<id::DataCentre>,
}

impl Fleet {
    pub(super) fn new(
        host: id::EntryHost,
        data_centre: id::DataCentre,
        regions: &BTreeMap<id::DataCentre, id::Region>,
    ) -> Fleet {
        let names: BTreeSet<&id::Region> = regions.values().collect();
        let names: Vec<id::Region> = names.into_iter().cloned().collect();
        let number = |region: &id::Region| {
            Region(names.binary_search(region).expect("every region has a name"))
        };
        let numbers = regions.iter().map(|(centre, region)| (centre.clone(), number(region)));
        Fleet {
            numbers: numbers.collect(),
            hosts: BTreeMap::from([(host.clone(), data_centre.clone())]),
            hosts_of: None,
            host,
            data_centre,
            regions: names,
            evacuated: BTreeSet::new(),
        }
    }

    /// Sets the hosts that may send to targets; this one is always among them.
    pub(super) fn set_hosts(&mut self, hosts: BTreeMap<id::EntryHost, id::DataCentre>) {
        self.hosts = hosts;
        self.hosts.insert(self.host.clone(), self.data_centre.clone());
        let mut counts = vec![0; self.regions_count()];
        for data_centre in self.hosts.values() {
            counts[self.region_of(data_centre).0] += 1;
        }
        self.hosts_of = Some(counts);
    }

    /// Sets the data centres under evacuation; returns those that are taken back.
    pub(super) fn set_evacuated(
        &mut self,
        evacuated: BTreeSet<id::DataCentre>,
    ) -> BTreeSet<id::DataCentre> {
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        before.difference(&self.evacuated).cloned().collect()
    }

    pub(super) fn is_evacuated(&self, data_centre: &id::DataCentre) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns the number of hosts.
    pub(super) fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the hosts of each region; `None` until hosts are known.
    pub(super) fn hosts_of(&self) -> Option<&[u32]> {
        self.hosts_of.as_deref()
    }

    /// Returns how many regions there are, with one for data centres that are in none.
    pub(super) fn regions_count(&self) -> usize {
        self.regions.len() + 1
    }

    /// Returns the region of a data centre.
    pub(super) fn region_of(&self, data_centre: &id::DataCentre) -> Region {
        self.numbers.get(data_centre).copied().unwrap_or(Region(self.regions.len()))
    }

    /// Returns the host's region.
    pub(super) fn region(&self) -> Region {
        self.region_of(&self.data_centre)
    }

    /// Whether a region is among some; all are among none.
    pub(super) fn is_among(&self, region: Region, homes: &[id::Region]) -> bool {
        homes.is_empty() || self.regions.get(region.0).is_some_and(|name| homes.contains(name))
    }

    pub(super) fn near(&self, data_centre: &id::DataCentre) -> Near {
        if *data_centre == self.data_centre {
            Near::DataCentre
        } else if self.region_of(data_centre) == self.region() {
            Near::Region
        } else {
            Near::Away
        }
    }

    /// Returns the host's place among all hosts in a target's order.
    pub(super) fn rank(&self, target: &id::Target) -> usize {
        let own = rendezvous_score(self.host.as_str(), target.as_str());
        self.hosts
            .keys()
            .filter(|host| rendezvous_score(host.as_str(), target.as_str()) > own)
            .count()
    }
}
