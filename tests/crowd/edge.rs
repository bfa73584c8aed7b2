//! An entry host on the users' platform, as a process on a small machine.

use std::{
    env, fs,
    net::SocketAddr,
    process::{self, Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use {serde_json::json, tokio::task::JoinSet, twox_hash::XxHash64};

use crate::{
    addresses::Addresses,
    callers::{Crowd, Script, ask},
    process::{Descriptors, Queues, peak_kb, wait_until_settled},
    store::Store,
    target,
};

/// A machine, and the bounds on its process.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: usize,
}

/// A machine with little memory.
pub const LITTLE_MEMORY: Machine = Machine { memory_mb: 64, descriptors: 2_048 };
/// A machine with little memory and few descriptors.
pub const FEW_DESCRIPTORS: Machine = Machine { memory_mb: 64, descriptors: 512 };

/// Limits that the operators' configuration puts on what callers send.
const HEAD_BYTES: usize = 16_384;
const BODY_BYTES: usize = 1_000_000;
const HEAD_TIMEOUT_S: f64 = 1.0;
/// Longer than a test takes, so that only other limits end a connection.
const IDLE_TIMEOUT_S: f64 = 600.0;
/// Requests that the target of the crowd's service runs at the same time.
const CROWD_SLOTS: u32 = 180;

/// An ordinary request.
pub const ORDINARY: &str = "GET /calm/a HTTP/1.1\r\nhost: site.example\r\nx-request-id: calm\r\n\
                            x-remaining-ms: 5000\r\n\r\n";

/// What becomes of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Log {
    /// It is discarded.
    Discarded,
    /// It goes to a pipe that nobody reads.
    Unread,
}

/// A running host with its store and targets.
pub struct Host {
    pub addresses: Addresses,
    machine: Machine,
    child: Child,
    descriptors: Descriptors,
    queues: Queues,
    store: Arc<Store>,
}

impl Host {
    /// Starts a host, and waits until it serves.
    pub async fn spawn(machine: Machine, log: Log) -> Host {
        let (store, store_address) = Store::serve().await;
        store.put("op", "config", Some(config()));
        for (service, slots) in [("crowd", CROWD_SLOTS), ("calm", 4)] {
            let entry = target::entry(service, target::spawn().await, slots);
            store.put("servers", &format!("i-{service}"), Some(entry));
        }
        let addresses = Addresses::find().await;
        let child = start(&addresses, store_address, machine, log);
        let descriptors = Descriptors::watch(child.id());
        let Addresses { callers, readiness, directory, peers, metrics, .. } = addresses;
        let queues = Queues::watch(vec![callers, readiness, directory, peers, metrics]);
        let host = Host { addresses, machine, child, descriptors, queues, store };
        host.serves().await;
        host
    }

    /// Asks for what ordinary callers and the platform ask for; panics if one of them gets no answer.
    pub async fn serves(&self) {
        let addresses = &self.addresses;
        let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: site.example\r\n\r\n");
        ask(addresses.callers, ORDINARY, 200).await;
        ask(addresses.readiness, &get("/readiness"), 200).await;
        ask(addresses.directory, &get("/resolve?name=site.example&region=north&zone=n1"), 200)
            .await;
        ask(addresses.metrics, &get("/metrics"), 200).await;
    }

    /// Lets crowds come to some addresses at once, and checks the host beside them and when they are gone.
    pub async fn meet(&mut self, addresses: &[SocketAddr], count: usize, script: &Script) {
        let mut gathering = JoinSet::new();
        for &address in addresses {
            let script = script.clone();
            gathering.spawn(async move { Crowd::gather(address, count, &script).await });
        }
        let crowds = gathering.join_all().await;
        wait_until_settled(self.child.id()).await;
        self.check();
        self.serves().await;
        drop(crowds);
        self.serves().await;
        self.check();
    }

    /// Waits until the process has handled what it was sent.
    pub async fn settle(&self) {
        wait_until_settled(self.child.id()).await;
    }

    /// Registers targets with names that cannot be compressed, and waits until the host knows them.
    pub async fn register_targets(&self, count: u32) {
        let service = "crowd";
        for number in 0..count {
            let [first, second] = [0, 1].map(|seed| XxHash64::oneshot(seed, &number.to_le_bytes()));
            let address = SocketAddr::from(([127, 1, 0, 1], 1));
            let mut entry = target::entry(service, address, 1);
            entry["info"]["version"] = json!(format!("{second:016x}{first:016x}"));
            self.store.put("servers", &format!("i-{first:016x}{second:016x}"), Some(entry));
        }
        self.settle().await;
    }

    /// Checks that the process lives within its machine.
    pub fn check(&mut self) {
        let ended = self.child.try_wait().expect("a child");
        assert!(ended.is_none(), "the process ended: {ended:?}");
        let peak_kb = peak_kb(self.child.id()).expect("a process that runs");
        let open = self.descriptors.most();
        let kernel_kb = self.queues.most_kb();
        let (own_mb, kernel_mb) = (peak_kb / 1_024, kernel_kb / 1_024);
        println!("{own_mb} MB, {kernel_mb} MB in the kernel, {open} descriptors");
        let Machine { memory_mb, descriptors } = self.machine;
        assert!(
            peak_kb + kernel_kb <= memory_mb * 1_024,
            "{own_mb} MB and {kernel_mb} MB in the kernel, {memory_mb} allowed"
        );
        assert!(open <= descriptors, "{open} descriptors, {descriptors} allowed");
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(addresses: &Addresses, store: SocketAddr, machine: Machine, log: Log) -> Child {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = env::temp_dir().join(format!("toucanhoist-crowd-{}-{number}.json", process::id()));
    let settings = json!({
        "name": "h0", "data_centre": "n1", "regions": {"n1": "north"},
        "listen": {
            "callers": addresses.callers, "readiness": addresses.readiness,
            "directory": addresses.directory, "peers": addresses.peers, "metrics": addresses.metrics,
        },
        "connect_from": addresses.callers.ip(), "seeds": [], "first_start": true, "store": store,
        "machine": {
            "processor_share": 1.0, "link_mbps": 1_000.0,
            "memory_mb": machine.memory_mb, "descriptors": machine.descriptors,
        },
        "bounds": {
            "grace_s": 4, "retry_ratio": 0.2, "retry_extra": 56, "retry_window_s": 10,
            "cold_factor": 1.5, "cold_extra": 5, "directory_ttl_s": 5, "shift_cap": 0.15,
        },
    });
    fs::write(&path, settings.to_string()).expect("the settings file is writable");
    Command::new(env!("CARGO_BIN_EXE_toucanhoist"))
        .arg("edge")
        .arg("--settings")
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(if log == Log::Unread { Stdio::piped() } else { Stdio::null() })
        .spawn()
        .expect("the program starts")
}

/// Returns a configuration with a service for the crowd and one for ordinary callers.
fn config() -> serde_json::Value {
    let path = |name: &str, service: &str, kind: &str, timeout_s: f64| {
        json!({"name": name, "prefix": format!("/{name}/"), "kind": kind, "service": service,
            "timeoutS": timeout_s, "targetLatencyS": 0.3, "priority": 1, "maxAttempts": 2})
    };
    let service = |name: &str| {
        json!({"name": name, "healthPath": "/health", "maxConns": 1_000, "coldS": 0,
            "coldPerS": 1_000})
    };
    json!({
        "version": "00000001",
        "services": [service("crowd"), service("calm")],
        "limits": {"maxHeaderBytes": HEAD_BYTES, "maxBodyBytes": BODY_BYTES,
            "headerTimeoutS": HEAD_TIMEOUT_S, "idleTimeoutS": IDLE_TIMEOUT_S},
        "tenants": [],
        "hosts": [{"host": "site.example", "paths": [
            path("reads", "crowd", "safe", 10.0), path("writes", "crowd", "unsafe", 60.0),
            path("short", "crowd", "unsafe", 1.0), path("calm", "calm", "safe", 5.0),
        ]}],
    })
}
