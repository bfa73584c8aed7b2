//! The operators' configuration of routes by host name, services and client accounts.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use {
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
};

use crate::{
    id,
    key::{Digest, Ring},
};

/// A complete configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Number of the configuration; a later one is higher.
    pub revision: id::Revision,
    /// Services by name.
    pub services: Vec<ServiceTerms>,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Client accounts; without any, requests need no key.
    pub accounts: Vec<AccountTerms>,
    /// Host names with their routes.
    pub hosts: Vec<Host>,
    /// Whether requests need a key although no account can be used.
    #[serde(default)]
    pub requires_keys: bool,
    /// Digests of the keys of accounts whose entries cannot be used.
    #[serde(default)]
    pub unusable_keys: Vec<Digest>,
    /// Whether there are routes of which none can be read.
    #[serde(default)]
    pub routes_unreadable: bool,
}

/// Terms that apply to the targets of a service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceTerms {
    /// Name.
    #[serde_as(as = "id::Text")]
    pub name: id::Service,
    /// Connections that a target accepts from all hosts together.
    pub connections_max: u32,
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold target tolerates from all hosts together.
    pub cold_rate: f64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a request's head must be complete.
    pub header_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration has arrived.
    fn default() -> Limits {
        Limits {
            header_bytes: 16 * 1_024,
            body_bytes: 1_024 * 1_024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Terms agreed with a client account.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountTerms {
    /// Name.
    #[serde_as(as = "id::Text")]
    pub name: id::Account,
    /// Digests of its keys.
    pub keys: Vec<Digest>,
    /// Priority, 0 the highest; takes precedence over the route's.
    pub priority: Option<u8>,
    /// Requests a second over the whole fleet; 0 for no limit.
    pub rate: f64,
    /// Requests beyond the rate.
    pub burst: f64,
    /// Regions that may serve it; empty for all.
    #[serde_as(as = "Vec<id::Text>")]
    pub homes: Vec<id::Region>,
}

/// A host name with its routes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    /// Host name.
    pub name: Box<str>,
    /// Its routes.
    pub routes: Vec<Route>,
}

/// A route: paths with a prefix go to a service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name.
    pub name: Box<str>,
    /// Start of the path, which begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time for which a caller waits.
    pub timeout: Option<Duration>,
    /// Time within which an answer is worth most.
    pub objective: Option<Duration>,
    /// Priority, 0 the highest.
    pub priority: u8,
    /// Services with their weights.
    pub parts: Vec<Part>,
    /// Targets that one request may be sent to, at most.
    pub attempts_max: u32,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether targets are faster with an object that they handled recently.
    pub affinity: bool,
    /// Regions that may serve it; empty for all.
    #[serde_as(as = "Vec<id::Text>")]
    pub homes: Vec<id::Region>,
}

/// A service with its share of a route's requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Part {
    /// Service.
    #[serde_as(as = "id::Text")]
    pub service: id::Service,
    /// Weight among the services of the route.
    pub weight: f64,
}

impl Route {
    /// Returns the service of a request; `point`, from 0 to 1, selects it by weight.
    pub fn service(&self, point: f64) -> Option<&id::Service> {
        let total: f64 = self.parts.iter().map(|part| part.weight).sum();
        let mut left = point * total;
        for part in &self.parts {
            left -= part.weight;
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        self.parts.iter().rev().find(|part| part.weight > 0.0).map(|part| &part.service)
    }
}

/// A configuration, indexed for requests.
#[derive(Debug, Default)]
pub struct Routes {
    config: Config,
    hosts: HashMap<Box<str>, Vec<Arc<Route>>>,
    accounts: HashMap<id::Account, Arc<AccountTerms>>,
    keys: Ring,
    unusable_keys: HashSet<Digest>,
}

impl Routes {
    /// Indexes a configuration.
    pub fn new(config: Config) -> Routes {
        let mut hosts: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for host in &config.hosts {
            let routes = hosts.entry(host.name.to_ascii_lowercase().into()).or_default();
            routes.extend(host.routes.iter().cloned().map(Arc::new));
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = Ring::default();
        let mut accounts = HashMap::new();
        for account in &config.accounts {
            for key in &account.keys {
                keys.grant(*key, account.name.clone());
            }
            accounts.insert(account.name.clone(), Arc::new(account.clone()));
        }
        let unusable_keys = config.unusable_keys.iter().copied().collect();
        Routes { config, hosts, accounts, keys, unusable_keys }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the route of a request: the one of its host name with the longest prefix of the
    /// path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&*name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Whether requests on routes that are not open need a key.
    pub fn requires_keys(&self) -> bool {
        self.config.requires_keys || !self.accounts.is_empty()
    }

    /// Whether a key belongs to an account whose entry cannot be used.
    pub fn is_unusable(&self, key: &[u8]) -> bool {
        !self.unusable_keys.is_empty() && self.unusable_keys.contains(&Digest::of(key))
    }

    /// Returns the account of a key.
    pub fn account(&self, key: &[u8]) -> Option<&Arc<AccountTerms>> {
        self.accounts.get(self.keys.account(&Digest::of(key))?)
    }
}
