//! Entry hosts, forwarders and targets in processes of their own.

use std::{io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use {
    http_body_util::BodyExt,
    serde_json::{Value, json},
    toucanhoist_core::key::Digest,
    toucanhoist_fakes::{
        platform::{Faulty, Server},
        process::{Config, Host},
        target,
    },
};

use super::{
    Role,
    load::Workload,
    process::{self, ChildProcess, Usage},
};

const HOSTS: usize = 2;
const HOST_THREADS: usize = 1;
const TARGET_THREADS: usize = 2;
const TARGETS: usize = 8;
const SLOTS: u32 = 64;
const KEY: &str = "key-of-the-measurement-0123456789";
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// All processes of the measurement.
pub(super) struct Fleet {
    hosts: Vec<Host>,
    forwarders: Vec<ChildProcess>,
    targets: ChildProcess,
    _platform_server: Server,
    binary: PathBuf,
    platform: Arc<Faulty>,
    platform_address: SocketAddr,
    seed: u64,
}

/// An entry host that has the fleet's configuration and serves only look-ups.
pub(super) struct Single {
    host: Host,
    seed: u64,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Serves targets until standard input ends.
pub(super) async fn run_targets(count: usize) -> io::Result<()> {
    let mut servers = Vec::new();
    for i in 1..=count {
        let name = format!("curves-{i}").into();
        let config = target::Config { name, data_centre: "lake-1".into() };
        servers.push(target::Server::bind(any_port(), config).await?);
    }
    let addresses: Vec<SocketAddr> = servers.iter().map(target::Server::address).collect();
    process::serve(&addresses).await
}

impl Fleet {
    pub(super) async fn spawn(binary: PathBuf, seed: u64) -> io::Result<Fleet> {
        let count = ["--count".to_owned(), TARGETS.to_string()];
        let targets = ChildProcess::spawn(Role::Targets, &count, TARGET_THREADS)?;
        let to: Vec<String> = targets
            .addresses
            .iter()
            .flat_map(|address| ["--to".to_owned(), address.to_string()])
            .collect();
        let forwarders = (0..HOSTS)
            .map(|_| ChildProcess::spawn(Role::Forwarder, &to, HOST_THREADS))
            .collect::<io::Result<Vec<ChildProcess>>>()?;
        let platform = Arc::new(Faulty::new());
        let server = Server::bind(any_port(), Arc::clone(&platform)).await?;
        let platform_address = server.address();
        let mut fleet = Fleet {
            hosts: Vec::new(),
            forwarders,
            targets,
            _platform_server: server,
            binary,
            platform,
            platform_address,
            seed,
        };
        for i in 1..=HOSTS {
            let host = fleet.spawn_host(&format!("entry-{i}")).await?;
            fleet.hosts.push(host);
        }
        fleet.update_host_list();
        fleet.configure().await?;
        for host in &fleet.hosts {
            host.wait_until_ready(HOSTS).await?;
        }
        // Keys and shares of the rates reach the hosts after the configuration.
        tokio::time::sleep(SETTLE_TIME).await;
        Ok(fleet)
    }

    async fn spawn_host(&self, name: &str) -> io::Result<Host> {
        let config = Config {
            binary: self.binary.clone(),
            name: name.into(),
            data_centre: "lake-1".into(),
            platform: self.platform_address,
            log_level: "info",
        };
        let mut host = Host::spawn_with_threads(config, Some(HOST_THREADS)).await?;
        host.discard_lines();
        Ok(host)
    }

    fn update_host_list(&self) {
        self.platform.memory().set_hosts(self.hosts.iter().map(Host::listed).collect());
    }

    async fn configure(&self) -> io::Result<()> {
        let host = &self.hosts[0];
        let change = json!({
            "base": "0",
            "author": "measure",
            "reason": "measure path",
            "fleet": configuration(&self.targets.addresses),
        });
        call_operator_api(host, "PUT", "/configuration", &change).await?;
        host.wait_until_ready(1).await?;
        let digest = Digest::of(KEY.as_bytes());
        let grant = json!({"account": "farmers", "digest": digest, "author": "measure"});
        call_operator_api(host, "POST", "/keys", &grant).await
    }

    /// Returns the workload through the forwarders.
    pub(super) fn through_forwarders(&self) -> Workload {
        let addresses = self.forwarders.iter().map(|forwarder| forwarder.addresses[0]).collect();
        self.workload(addresses)
    }

    /// Returns the workload through the entry hosts.
    pub(super) fn through_hosts(&self) -> Workload {
        self.workload(self.hosts.iter().map(|host| host.addresses().callers).collect())
    }

    fn workload(&self, addresses: Vec<SocketAddr>) -> Workload {
        let path = "/curves/plot-{plot}".into();
        Workload { addresses, path, key: Some(KEY.into()), seed: self.seed }
    }

    /// Starts another entry host, for look-ups.
    pub(super) async fn spawn_single(&self) -> io::Result<Single> {
        let host = self.spawn_host("entry-3").await?;
        host.wait_until_ready(1).await?;
        Ok(Single { host, seed: self.seed })
    }

    /// Returns the resource usage of the processes.
    pub(super) fn usages(&self) -> io::Result<Vec<(String, Usage)>> {
        let mut usages = Vec::new();
        for (i, host) in self.hosts.iter().enumerate() {
            usages.push((format!("entry host {}", i + 1), usage(host)?));
        }
        for (i, forwarder) in self.forwarders.iter().enumerate() {
            usages.push((format!("forwarder {}", i + 1), forwarder.usage()?));
        }
        Ok(usages)
    }
}

impl Single {
    pub(super) fn usage(&self) -> io::Result<Usage> {
        usage(&self.host)
    }

    pub(super) fn look_ups(&self) -> Workload {
        Workload {
            addresses: vec![self.host.addresses().callers],
            path: "/lookup?service=curves&client=10.1.{host}".into(),
            key: None,
            seed: self.seed,
        }
    }
}

fn usage(host: &Host) -> io::Result<Usage> {
    Usage::of(host.pid().ok_or_else(|| io::Error::other("the host has ended"))?)
}

async fn call_operator_api(host: &Host, method: &str, path: &str, body: &Value) -> io::Result<()> {
    let answer = host.call_operator_api(method, path, body.to_string().into()).await?;
    if answer.status().is_success() {
        return Ok(());
    }
    let content = answer.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    Err(io::Error::other(format!("{path}: {}", String::from_utf8_lossy(&content))))
}

fn configuration(targets: &[SocketAddr]) -> Value {
    let target = |(i, address): (usize, &SocketAddr)| {
        json!({
            "name": format!("curves-{i}"), "service": "curves",
            "data_centre": "lake-1", "address": address,
        })
    };
    let targets: Vec<Value> = targets.iter().enumerate().map(target).collect();
    json!({
        "defaults": {"slots": SLOTS, "cold_start": "1ms"},
        "regions": [{"name": "lake", "data_centres": ["lake-1"]}],
        "client_blocks": [{"block": "10.1.0.0/16", "home": "lake-1"}],
        "services": [{"name": "curves"}],
        "targets": targets,
        "routes": [{
            "service": "curves", "path": "/", "methods": ["GET"],
            "access": "keyed", "repeatable": true,
        }],
        "accounts": [{"name": "farmers", "rate": "10000000/s", "burst": 10_000_000}],
    })
}
