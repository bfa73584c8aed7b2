//! A small fleet of processes with targets and a platform, for tests and measurements.

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

/// What to start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The binary of the entry hosts.
    pub binary: PathBuf,
    /// Entry hosts.
    pub hosts: Vec<Place>,
    /// Targets.
    pub targets: Vec<Place>,
    /// Least serious log lines that entry hosts write.
    pub log_level: &'static str,
}

/// A name with its data centre.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name.
    pub name: Box<str>,
    /// Data centre.
    pub data_centre: Box<str>,
}

impl Place {
    /// Creates a place.
    pub fn new(name: &str, data_centre: &str) -> Place {
        Place { name: name.into(), data_centre: data_centre.into() }
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct World {
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Targets.
    pub targets: Vec<target::Server>,
    /// The platform.
    pub platform: Arc<Faulty>,
    config: Config,
    server: platform::Server,
}

fn any() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

impl World {
    /// Starts a fleet whose platform holds `rows`, made from the targets' addresses, and waits
    /// until all hosts know each other.
    ///
    /// # Errors
    ///
    /// A process or listener cannot be started.
    pub async fn spawn<R>(config: Config, rows: R) -> io::Result<World>
    where
        R: FnOnce(&[SocketAddr]) -> Vec<Write>,
    {
        let mut targets = Vec::new();
        for Place { name, data_centre } in config.targets.clone() {
            let place = target::Config { name, data_centre };
            targets.push(target::Server::bind(any(), place).await?);
        }
        let addresses: Vec<SocketAddr> = targets.iter().map(target::Server::address).collect();
        let platform = Arc::new(Faulty::new());
        let transaction = Transaction { checks: Vec::new(), writes: rows(&addresses) };
        platform.transact(transaction).await.map_err(io::Error::other)?;
        let server = platform::Server::bind(any(), Arc::clone(&platform)).await?;
        let mut world = World { hosts: Vec::new(), targets, platform, config, server };
        for place in world.config.hosts.clone() {
            let host = world.start(&place).await?;
            world.hosts.push(host);
        }
        world.list();
        for host in &world.hosts {
            host.wait_until_ready(world.hosts.len()).await?;
        }
        Ok(world)
    }

    /// Replaces an entry host that has ended by a new process and lists it.
    ///
    /// # Errors
    ///
    /// The process cannot be started, or is not ready in time.
    pub async fn replace(&mut self, index: usize) -> io::Result<()> {
        let place = self.config.hosts[index].clone();
        self.hosts[index] = self.start(&place).await?;
        self.list();
        self.hosts[index].wait_until_ready(self.hosts.len()).await
    }

    async fn start(&self, place: &Place) -> io::Result<Host> {
        let config = process::Config {
            binary: self.config.binary.clone(),
            name: place.name.clone(),
            data_centre: place.data_centre.clone(),
            platform: self.server.address(),
            log_level: self.config.log_level,
        };
        Host::spawn(config).await
    }

    fn list(&self) {
        self.platform.memory().set_hosts(self.hosts.iter().map(Host::listed).collect());
    }
}
