//! Entry hosts that run in the process of a test.

#![allow(dead_code, reason = "each test uses some of the functions")]

use std::{net::SocketAddr, sync::Arc};

use {
    toucanhoist::{
        host::Host,
        settings::{Advertise, Listen, Log, Machine, Platform, Settings},
    },
    toucanhoist_core::{key::Digest, unit::Span},
    toucanhoist_fakes::platform::Faulty,
    toucanhoist_store::{ListedHost, ListedState},
};

/// Returns settings on ports that the system chooses.
pub fn settings(name: &str, data_centre: &str) -> Settings {
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
    Settings {
        name: name.parse().expect("valid name"),
        data_centre: data_centre.parse().expect("valid name"),
        listen: Listen { callers: any_port, operators: any_port, peers: any_port },
        advertise: Advertise::default(),
        platform: Platform { address: any_port, timeout: Span::from_millis(500) },
        peers: Vec::new(),
        fleet_secrets: vec!["secret-for-tests".into()],
        tls: None,
        operator_token_sha256: Digest::of(b"token"),
        log: Log::default(),
        machine: Machine::default(),
    }
}

/// Starts a host.
pub async fn spawn(name: &str, data_centre: &str, platform: &Arc<Faulty>) -> Host {
    let platform = Arc::clone(platform) as Arc<_>;
    Host::spawn(settings(name, data_centre), platform).await.expect("the host starts")
}

/// Returns a host's entry in the platform's list.
pub fn listed(name: &str, data_centre: &str, host: &Host) -> ListedHost {
    ListedHost {
        name: name.parse().expect("valid name"),
        data_centre: data_centre.parse().expect("valid name"),
        peers: host.addresses().peers,
        callers: "http://callers".into(),
        state: ListedState::Live,
    }
}
