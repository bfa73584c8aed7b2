//! A cluster of entry host processes with fake targets and a fake platform, for tests and
//! measurements.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
};

use toucanhoist_store::{Platform, Transaction, Write};

use crate::{
    platform::{self, Faulty},
    process::{self, Host},
    target,
};

/// Configuration of a cluster.
#[derive(Clone, Debug)]
pub struct Config {
    /// Path of the binary `toucanhoist`.
    pub binary: PathBuf,
    /// Entry hosts to start.
    pub hosts: Vec<Node>,
    /// Targets to start.
    pub targets: Vec<Node>,
    /// Minimum level of the log lines that entry hosts write.
    pub log_level: &'static str,
}

/// Name and data centre of an entry host or target.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name.
    pub name: Box<str>,
    /// Data centre.
    pub data_centre: Box<str>,
}

impl Node {
    /// Creates a node.
    pub fn new(name: &str, data_centre: &str) -> Node {
        Node { name: name.into(), data_centre: data_centre.into() }
    }
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Running entry hosts, in the order of the configuration.
    pub hosts: Vec<Host>,
    /// Running targets, in the order of the configuration.
    pub targets: Vec<target::Server>,
    /// Platform of the entry hosts.
    pub platform: Arc<Faulty>,
    config: Config,
    platform_server: platform::Server,
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

impl Cluster {
    /// Starts a cluster whose platform holds the rows that `rows` makes of the targets' addresses,
    /// and waits until all entry hosts know each other.
    ///
    /// # Errors
    ///
    /// A process or listener cannot be started, or an entry host is not ready in time.
    pub async fn spawn<R>(config: Config, rows: R) -> io::Result<Cluster>
    where
        R: FnOnce(&[SocketAddr]) -> Vec<Write>,
    {
        let mut targets = Vec::new();
        for Node { name, data_centre } in config.targets.clone() {
            let target = target::Config { name, data_centre };
            targets.push(target::Server::bind(any_port(), target).await?);
        }
        let addresses: Vec<SocketAddr> = targets.iter().map(target::Server::address).collect();
        let platform = Arc::new(Faulty::new());
        let transaction = Transaction { checks: Vec::new(), writes: rows(&addresses) };
        platform.transact(transaction).await.map_err(io::Error::other)?;
        let platform_server = platform::Server::bind(any_port(), Arc::clone(&platform)).await?;
        let mut cluster = Cluster { hosts: Vec::new(), targets, platform, config, platform_server };
        for node in cluster.config.hosts.clone() {
            let host = cluster.start_host(&node).await?;
            cluster.hosts.push(host);
        }
        cluster.update_host_list();
        for host in &cluster.hosts {
            host.wait_until_ready(cluster.hosts.len()).await?;
        }
        Ok(cluster)
    }

    /// Replaces an entry host that has ended by a new process, and updates the platform's list.
    ///
    /// # Errors
    ///
    /// The process cannot be started, or is not ready in time.
    pub async fn replace(&mut self, index: usize) -> io::Result<()> {
        let node = self.config.hosts[index].clone();
        self.hosts[index] = self.start_host(&node).await?;
        self.update_host_list();
        self.hosts[index].wait_until_ready(self.hosts.len()).await
    }

    async fn start_host(&self, node: &Node) -> io::Result<Host> {
        let config = process::Config {
            binary: self.config.binary.clone(),
            name: node.name.clone(),
            data_centre: node.data_centre.clone(),
            platform: self.platform_server.address(),
            log_level: self.config.log_level,
        };
        Host::spawn(config).await
    }

    fn update_host_list(&self) {
        self.platform.memory().set_hosts(self.hosts.iter().map(Host::listed).collect());
    }
}
