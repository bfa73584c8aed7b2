//! Publishes changes of the registry to the rest of the host.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use toucanhoist_core::{
    clock::Time,
    event::Event,
    id,
    steering::{Arrival, Key, Routes, Target, Topic, Value, Way},
};

use super::{Capacities, Task};
use crate::steer;

impl Task {
    /// Returns how a change of a topic arrives that is applied now.
    pub(super) fn arrival(&self, topic: Topic, way: Way) -> Arrival {
        Arrival { way, confirmed_at: self.mirror.confirmed_at(topic) }
    }

    /// Logs and publishes the entries that changed.
    pub(super) fn publish(&mut self, now: Time, changed: &BTreeSet<Key>, arrival: Arrival) {
        if changed.is_empty() {
            return;
        }
        if changed.contains(&Key::Config) {
            self.publish_config();
        }
        if changed.iter().any(|key| matches!(key, Key::Evacuation(_))) {
            self.publish_evacuations();
        }
        if changed.iter().any(|key| matches!(key, Key::Host(_))) {
            self.publish_hosts(now);
        }
        for key in changed {
            let Key::Target(name) = key else { continue };
            let target = self.usable_target(key, name);
            let (service, state, born) = match &target {
                Some(target) => (target.service.as_str(), target.state.as_str(), target.born),
                None => ("", "gone", 0),
            };
            let version =
                self.mirror.registry().entry(key).map_or_else(Default::default, |e| e.version);
            let delay_max = arrival.delay_max(now).map(|delay| delay.as_millis().to_string());
            self.parts.journal.note(
                Event::TargetChanged,
                &[
                    ("target", name),
                    ("service", &service),
                    ("state", &state),
                    ("born", &born),
                    ("version", &version),
                    ("way", &arrival.way.as_str()),
                    ("delay_max_ms", &delay_max.as_deref().unwrap_or("unknown")),
                ],
            );
            self.parts.steer.send(steer::Input::Target(name.clone(), target, arrival));
        }
    }

    /// Returns a target's entry; `None` if there is none that can be used.
    fn usable_target(&self, key: &Key, name: &id::Target) -> Option<Target> {
        let Some(Value::Target(target)) = self.mirror.registry().value(key) else { return None };
        let reason = if self.host_addresses.contains(&target.address) {
            // Its requests would be forwarded within the fleet again and again.
            format!("{} is the address of an entry host", target.address)
        } else if !name.fits_header() {
            // Requests have to say which target they are for.
            "no header can carry the name".to_owned()
        } else {
            return Some(target.clone());
        };
        self.parts.journal.note(
            Event::EntryUnreadable,
            &[("topic", &Topic::Targets.as_str()), ("entry", name), ("reason", &reason)],
        );
        None
    }

    /// Sets the addresses of entry hosts; publishes the targets again that have one of them.
    fn set_host_addresses(&mut self, now: Time, addresses: BTreeSet<SocketAddr>) {
        if addresses == self.host_addresses {
            return;
        }
        let former = std::mem::replace(&mut self.host_addresses, addresses);
        let is_affected = |address: &SocketAddr| {
            former.contains(address) != self.host_addresses.contains(address)
        };
        let entries = self.mirror.registry().entries();
        let affected = entries.filter(|(_, entry)| {
            matches!(&entry.value, Some(Value::Target(target)) if is_affected(&target.address))
        });
        let affected: BTreeSet<Key> = affected.map(|(key, _)| key.clone()).collect();
        let arrival = self.arrival(Topic::Targets, Way::Store);
        self.publish(now, &affected, arrival);
    }

    fn publish_config(&mut self) {
        let Some(Value::Config(config)) = self.mirror.registry().value(&Key::Config) else {
            return;
        };
        let revision = config.revision;
        self.parts.journal.note(Event::ConfigurationInForce, &[("revision", &revision)]);
        let routes = Arc::new(Routes::new((**config).clone()));
        self.parts.steer.send(steer::Input::Config(Arc::clone(&routes)));
        self.routes.send_replace(Some(routes));
    }

    fn publish_evacuations(&self) {
        let mut evacuated = BTreeSet::new();
        for (key, entry) in self.mirror.registry().entries() {
            if let (Key::Evacuation(data_centre), Some(_)) = (key, &entry.value) {
                evacuated.insert(data_centre.clone());
            }
        }
        let names = evacuated.iter().map(id::DataCentre::as_str).collect::<Vec<_>>().join(",");
        self.parts.journal.note(Event::EvacuationsChanged, &[("data_centres", &names)]);
        self.parts.steer.send(steer::Input::Evacuated(evacuated));
    }

    fn publish_hosts(&mut self, now: Time) {
        let mut hosts = BTreeMap::new();
        for (key, entry) in self.mirror.registry().entries() {
            if let (Key::Host(name), Some(Value::Host(host))) = (key, &entry.value) {
                hosts.insert(name.clone(), host.clone());
            }
        }
        let capacities = hosts.iter().map(|(name, host)| (name.clone(), host.capacity));
        let capacities: Capacities = capacities.collect();
        self.capacities.send_replace(Arc::new(capacities.clone()));
        self.relay.set_capacities(capacities);
        let listen = &self.parts.settings.listen;
        let registered = hosts.values().flat_map(|host| [host.callers, host.peers]);
        let addresses = registered.chain([listen.callers, listen.peers]).collect();
        let own_name = &self.parts.settings.name;
        let others = hosts.iter().filter(|(name, _)| *name != own_name).map(|(_, host)| host.peers);
        self.detector.add_candidates(others);
        self.detector.set_registered(hosts.keys().cloned().collect());
        self.parts.steer.send(steer::Input::Hosts(hosts));
        self.publish_view(now);
        self.set_host_addresses(now, addresses);
    }

    pub(super) fn publish_view(&mut self, now: Time) {
        for transition in self.detector.take_transitions() {
            self.parts.journal.note(
                Event::MemberChanged,
                &[
                    ("member", &transition.name),
                    ("incarnation", &transition.incarnation),
                    ("to", &transition.to),
                ],
            );
        }
        let stamp = self.detector.stamp(now);
        if stamp != self.stamp {
            self.stamp = stamp;
            let view = Arc::new(self.detector.view(now));
            self.relay.set_view(&view);
            self.view.send_replace(view);
        }
    }
}
