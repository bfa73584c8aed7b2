//! Hosts that lose their paths to targets which other hosts still reach.

use std::{collections::HashSet, net::Ipv4Addr, sync::Arc, time::Duration};

use {
    tokio::{task::JoinSet, time},
    toucanhoist_core::steering::{Key, Value},
    toucanhoist_edge::{host::Edge, settings::Settings},
};

use crate::support::{
    Behaviour, FakeTarget, Memory, config, entry, get, header, name, put_config, settings, spawn,
    wait_until_ready,
};

/// Time after the start of a cut from which callers must be served: the users' bound.
const GRACE: Duration = Duration::from_secs(3);
/// Requests that are counted at each host.
const REQUESTS: usize = 60;
/// Failures that are tolerated at a host that is cut off: the users' bound.
const FAILED_MAX: usize = 10 + REQUESTS / 50;

struct Site {
    hosts: Vec<Edge>,
    targets: Vec<FakeTarget>,
    store: Arc<Memory>,
}

/// Returns the address from which a host connects to targets.
fn source(host: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 7, u8::try_from(host + 1).expect("a small number"))
}

impl Site {
    /// Spawns hosts and targets, and has each host send to the targets.
    async fn spawn(hosts: usize, targets: usize) -> Site {
        let store = Memory::new();
        put_config(&store, config(1));
        let mut site = Site { hosts: Vec::new(), targets: Vec::new(), store };
        for number in 0..targets {
            let target = FakeTarget::spawn(Behaviour::Answer).await;
            let value = Value::Target(entry(target.address));
            site.store.put(Key::Target(name(&format!("t{number}"))), Some(value));
            site.targets.push(target);
        }
        for number in 0..hosts {
            let seeds = site.hosts.first().map(|host| host.addresses().peers);
            let own = settings(&format!("h{number}"), seeds.into_iter().collect());
            let own = Settings { connect_from: Some(source(number).into()), ..own };
            site.hosts.push(spawn(own, &site.store).await);
        }
        for host in &site.hosts {
            wait_until_ready(host).await;
            assert_eq!(site.send(host, "warm").await.0, REQUESTS);
        }
        site
    }

    fn set_cut(&self, host: usize, is_cut: bool) {
        for target in &self.targets {
            target.links.set_cut(source(host), is_cut).expect("a filter");
        }
    }

    /// Sends requests to a host, half of which must not run twice; returns how many were served,
    /// and the answers of the others.
    async fn send(&self, host: &Edge, label: &str) -> (usize, Vec<String>) {
        let address = host.addresses().callers;
        let mut requests = JoinSet::new();
        for number in 0..REQUESTS {
            let path = format!("/{}/{number}", ["safe", "once"][number % 2]);
            let id = format!("{label}-{address}-{number}");
            requests.spawn(async move { get(address, &path, &id).await });
            time::sleep(Duration::from_millis(20)).await;
        }
        let answers = requests.join_all().await;
        let failed = answers.iter().filter(|(status, ..)| *status != 200);
        let failed: Vec<String> = failed.map(|(_, head, body)| format!("{head}{body}")).collect();
        (answers.len() - failed.len(), failed)
    }

    /// Checks that no target ran a request twice that must not run twice.
    fn assert_at_most_once(&self) {
        let mut seen = HashSet::new();
        for target in &self.targets {
            for request in target.requests.lock().expect("no panic").iter() {
                if request.starts_with("GET /once/") {
                    let id = header(request, "toucanhoist-request-id").expect("an id");
                    assert!(seen.insert(id.clone()), "{id} reached targets twice");
                }
            }
        }
    }
}

#[tokio::test]
async fn callers_are_served_at_a_host_that_is_cut_off_from_all_targets() {
    let site = Site::spawn(3, 4).await;
    site.set_cut(0, true);
    time::sleep(GRACE).await;
    let (served, failed) = site.send(&site.hosts[0], "cut").await;
    assert!(failed.len() <= FAILED_MAX, "{served} served, others: {}", failed.join("\n"));
    site.assert_at_most_once();
}
