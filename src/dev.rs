/*!
A fleet in one process, for development.

It needs no set-up and writes nothing to disk. It has a platform in memory, entry hosts that call
each other over TCP on the loopback interface, sample targets and two client accounts with keys.
*/

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use {
    serde::Serialize,
    toucanhoist_core::{
        fleet::{Access, Account, Block, Fleet, Link, Region, Route, Service, Target},
        id,
        key::Digest,
        unit::{Bandwidth, Rate, Span},
    },
    toucanhoist_fakes::target,
    toucanhoist_store::{ListedHost, ListedState, Memory, Platform, Transaction, Write},
};

use crate::{
    host::Host,
    settings::{Advertise, Listen, Log, Machine, Settings},
};

/// Distance from the port for callers to the port for operators.
const OPERATOR_PORT_OFFSET: u16 = 1_000;
const TARGETS_PER_DATA_CENTRE: usize = 2;

/// Settings of the sample fleet.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of entry hosts.
    pub hosts: u16,
    /// Port of the first host's callers' listener; 0 lets the system choose all ports.
    pub port: u16,
    /// Logs.
    pub log: Log,
}

/// A running fleet.
pub struct Dev {
    hosts: Vec<Host>,
    targets: Vec<target::Server>,
    ready: Ready,
}

/// Addresses and credentials by which a user reaches the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Ready {
    event: &'static str,
    /// URLs for callers.
    pub entry_hosts: Vec<Box<str>>,
    /// URLs for operators.
    pub operators: Vec<Box<str>>,
    /// Operators' token.
    pub operator_token: Box<str>,
    /// Client accounts with their keys.
    pub accounts: Vec<Credential>,
}

/// A client account with its key.
#[derive(Clone, Debug, Serialize)]
pub struct Credential {
    /// Name of the account.
    pub name: id::Account,
    /// Key.
    pub key: Box<str>,
}

fn secret() -> Box<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("sample names are valid")
}

impl Dev {
    /// Starts a fleet and waits until all entry hosts are ready.
    ///
    /// # Errors
    ///
    /// A port is taken.
    pub async fn spawn(config: Config) -> io::Result<Dev> {
        let mut targets = Vec::new();
        for (data_centre, service) in
            [("lake-1", "curves"), ("lake-1", "cuts"), ("hill-1", "curves"), ("hill-1", "cuts")]
        {
            for i in 1..=TARGETS_PER_DATA_CENTRE {
                let name = format!("{service}-{data_centre}-{i}").into();
                let config = target::Config { name, data_centre: data_centre.into() };
                let server = target::Server::bind(loopback(0), config).await?;
                targets.push((service, data_centre, i, server));
            }
        }
        let mut fleet = sample_fleet();
        for (service, data_centre, i, server) in &targets {
            fleet.targets.push(Target {
                name: name(&format!("{service}-{data_centre}-{i}")),
                service: name(service),
                data_centre: name(data_centre),
                address: server.address(),
            });
        }
        let accounts = vec![
            Credential { name: name("farmers"), key: secret() },
            Credential { name: name("technicians"), key: secret() },
        ];
        let memory = Arc::new(Memory::new());
        write_sample(&memory, &fleet, &accounts).await?;

        let (operator_token, fleet_secret) = (secret(), secret());
        let mut hosts = Vec::new();
        for i in 0..config.hosts.max(1) {
            let settings = settings(config, i, &operator_token, &fleet_secret)?;
            hosts.push(Host::spawn(settings, Arc::clone(&memory) as Arc<dyn Platform>).await?);
        }
        memory.set_hosts((0..).zip(&hosts).map(|(i, host)| listed(i, host)).collect());
        let url = |address: SocketAddr| format!("http://{address}").into();
        let ready = Ready {
            event: "ready",
            entry_hosts: hosts.iter().map(|host| url(host.addresses().callers)).collect(),
            operators: hosts.iter().map(|host| url(host.addresses().operators)).collect(),
            operator_token,
            accounts,
        };
        for host in &hosts {
            host.wait_until_ready(hosts.len()).await;
        }
        let targets = targets.into_iter().map(|(_, _, _, server)| server).collect();
        Ok(Dev { hosts, targets, ready })
    }

    /// Returns the addresses and credentials of the fleet.
    pub fn ready(&self) -> &Ready {
        &self.ready
    }

    /// Returns the sample targets.
    pub fn targets(&self) -> &[target::Server] {
        &self.targets
    }

    /// Shuts all hosts down gracefully.
    pub async fn shutdown(self) {
        for host in self.hosts {
            host.shutdown().await;
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

fn data_centre(host: u16) -> id::DataCentre {
    name(if host % 2 == 0 { "lake-1" } else { "hill-1" })
}

fn listed(index: u16, host: &Host) -> ListedHost {
    ListedHost {
        name: name(&format!("entry-{}", index + 1)),
        data_centre: data_centre(index),
        peers: host.addresses().peers,
        callers: format!("http://{}", host.addresses().callers).into(),
        state: ListedState::Live,
    }
}

fn settings(
    config: Config,
    index: u16,
    operator_token: &str,
    fleet_secret: &str,
) -> io::Result<Settings> {
    let port = |offset: u16| match config.port {
        0 => Ok(0),
        port => {
            port.checked_add(index).and_then(|port| port.checked_add(offset)).ok_or_else(|| {
                let problem = format!("port {port} is too high for {} entry hosts", config.hosts);
                io::Error::new(io::ErrorKind::InvalidInput, problem)
            })
        }
    };
    Ok(Settings {
        name: name(&format!("entry-{}", index + 1)),
        data_centre: data_centre(index),
        listen: Listen {
            callers: loopback(port(0)?),
            operators: loopback(port(OPERATOR_PORT_OFFSET)?),
            peers: loopback(0),
        },
        advertise: Advertise::default(),
        platform: crate::settings::Platform {
            address: loopback(0),
            timeout: Span::from_millis(1_000),
        },
        peers: Vec::new(),
        fleet_secrets: vec![fleet_secret.into()],
        tls: None,
        operator_token_sha256: Digest::of(operator_token.as_bytes()),
        log: config.log,
        machine: Machine::default(),
    })
}

async fn write_sample(platform: &Memory, fleet: &Fleet, accounts: &[Credential]) -> io::Result<()> {
    let change = crate::host::fleet::Change {
        revision: 1.into(),
        change: rand::random::<u128>().into(),
        author: "dev".into(),
        reason: "sample fleet".into(),
        fleet: fleet.clone(),
    };
    let mut writes = crate::host::fleet::writes(&change);
    for account in accounts {
        let grant = crate::host::accounts::Grant {
            account: account.name.clone(),
            author: "dev".into(),
            withdrawn: false,
        };
        let digest = Digest::of(account.key.as_bytes()).to_string();
        writes.push(Write::put("keys", &digest, serde_json::to_string(&grant)?.into()));
    }
    let transaction = Transaction { checks: Vec::new(), writes };
    platform.transact(transaction).await.map_err(io::Error::other)?;
    Ok(())
}

fn sample_fleet() -> Fleet {
    let route = |service: &str, path: &str, method: &str, access, repeatable| Route {
        service: name(service),
        path: path.into(),
        methods: vec![method.into()],
        access,
        repeatable,
        deadline: None,
    };
    let account = |account: &str, rate, burst| Account {
        name: name(account),
        rate: Rate::per_second(rate),
        burst,
        weight: 1,
    };
    Fleet {
        regions: vec![
            Region { name: name("lake"), data_centres: vec![name("lake-1")] },
            Region { name: name("hill"), data_centres: vec![name("hill-1")] },
        ],
        links: vec![Link {
            between: [name("lake"), name("hill")],
            capacity: Bandwidth::from_mbit(300),
            latency: Span::from_millis(20),
        }],
        client_blocks: vec![
            Block { block: name("127.0.0.0/8"), home: name("lake-1") },
            Block { block: name("10.1.0.0/16"), home: name("lake-1") },
            Block { block: name("10.2.0.0/16"), home: name("hill-1") },
        ],
        services: vec![Service { name: name("curves") }, Service { name: name("cuts") }],
        routes: vec![
            route("curves", "/open/", "GET", Access::Open, true),
            route("curves", "/", "GET", Access::Keyed, true),
            route("cuts", "/", "POST", Access::Keyed, false),
        ],
        accounts: vec![account("farmers", 200.0, 400), account("technicians", 50.0, 100)],
        ..Fleet::default()
    }
}
