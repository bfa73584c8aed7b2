//! Entry hosts as processes.

use std::{
    env,
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use {
    nix::{
        sys::signal::{self, Signal},
        unistd::Pid,
    },
    serde_json::json,
    tokio::{sync::Mutex, time},
};

use crate::{addresses::Addresses, proxy::Proxy};

/// Time from SIGTERM until the process is killed.
pub const GRACE: Duration = Duration::from_secs(4);
/// The program under test.
const BUILD: &str = env!("CARGO_BIN_EXE_toucanhoist");
/// Data centres with their regions.
pub const ZONES: [(&str, &str); 3] = [("n1", "north"), ("n2", "north"), ("s1", "south")];

/// An entry host, which faults stop and start again.
#[derive(Debug)]
pub struct Host {
    pub callers: SocketAddr,
    /// Address from which it connects to targets.
    pub source: Ipv4Addr,
    /// Proxy between the host and the store.
    pub store: Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
    /// Number of times that it was killed, paused or resumed.
    disruptions: AtomicU32,
}

impl Host {
    /// Starts a host with its settings and its log in a folder.
    pub async fn spawn(
        number: usize,
        folder: &Path,
        addresses: &Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Host {
        let store = Proxy::bind(store).await;
        let settings = json!({
            "name": format!("h{number}"),
            "data_centre": ZONES[number % ZONES.len()].0,
            "regions": ZONES.iter().map(|(zone, region)| ((*zone).to_owned(), json!(region)))
                .collect::<serde_json::Map<_, _>>(),
            "listen": {
                "callers": addresses.callers, "readiness": addresses.readiness,
                "directory": addresses.directory, "peers": addresses.peers, "metrics": addresses.metrics,
            },
            "connect_from": addresses.callers.ip(), "seeds": seeds, "first_start": true, "store": store.address,
            "bounds": {
                "grace_s": GRACE.as_secs_f64(), "retry_ratio": 0.2, "retry_extra": 56,
                "retry_window_s": 10, "cold_factor": 1.5, "cold_extra": 5,
                "directory_ttl_s": 5, "shift_cap": 0.15,
            },
        });
        let path = folder.join(format!("h{number}.json"));
        fs::write(&path, settings.to_string()).expect("the settings file is writable");
        let log = folder.join(format!("h{number}.log"));
        let child = Mutex::new(start(&first_build(), &path, &log));
        let (callers, disruptions) = (addresses.callers, AtomicU32::new(0));
        let IpAddr::V4(source) = callers.ip() else { panic!("{callers} is not IPv4") };
        Host { callers, source, store, settings: path, log, child, disruptions }
    }

    /// Records that the host is killed, paused or resumed.
    pub fn record_disruption(&self) {
        self.disruptions.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of disruptions.
    pub fn disruptions(&self) -> u32 {
        self.disruptions.load(Ordering::Relaxed)
    }

    /// Kills the process. Requests that are sent around that moment may be lost.
    pub async fn kill(&self) {
        self.record_disruption();
        self.signal(Signal::SIGKILL).await;
        self.record_disruption();
    }

    /// Sends a signal.
    pub async fn signal(&self, signal: Signal) {
        let child = self.child.lock().await;
        let id = i32::try_from(child.id()).expect("a process id");
        // The process may have ended already.
        let _ = signal::kill(Pid::from_raw(id), signal);
    }

    /// Waits for the end of the process, at most for its grace time; returns whether it has ended.
    pub async fn has_ended(&self) -> bool {
        for _ in 0..GRACE.as_millis() / 20 {
            if !self.is_running().await {
                return true;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Starts the process again, unless another fault has done so. Waits up to a second for its end.
    pub async fn restart(&self) {
        let mut child = self.child.lock().await;
        for _ in 0..50 {
            if child.try_wait().expect("a child").is_some() {
                break;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        if child.try_wait().expect("a child").is_none() {
            return;
        }
        *child = start(Path::new(BUILD), &self.settings, &self.log);
    }

    /// Whether the process is running.
    pub async fn is_running(&self) -> bool {
        self.child.lock().await.try_wait().expect("a child").is_none()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let child = self.child.get_mut();
        // The process may have ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns the program that hosts run until they are first restarted: an earlier build, if `SOAK_EARLIER_BUILD` names
/// one, so that a run upgrades host by host.
fn first_build() -> PathBuf {
    env::var_os("SOAK_EARLIER_BUILD").map_or_else(|| BUILD.into(), PathBuf::from)
}

fn start(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log");
    Command::new(program)
        .arg("edge")
        .arg("--settings")
        .arg(settings)
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .stdin(Stdio::null())
        .spawn()
        .expect("the program starts")
}
