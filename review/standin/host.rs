//! Entry hosts, as processes with the command and the settings of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{client, store::Store};

/// Zones with their regions, one for each host in turn.
pub const ZONES: [(&str, &str); 3] = [("a1", "north"), ("a2", "north"), ("b1", "south")];
const START_MAX: Duration = Duration::from_secs(20);

pub struct Host {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Entry hosts that are killed when the value is dropped.
pub struct Fleet {
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

/// Free addresses; the peers' one is free for TCP and UDP.
struct Addresses {
    tcp: [SocketAddr; 4],
    peers: SocketAddr,
}

impl Addresses {
    /// Finds free ports at a loopback address of the host's own, so that no outgoing connection takes one of them.
    fn find(number: usize) -> io::Result<Addresses> {
        let [.., high, low] = std::process::id().to_be_bytes();
        let own = Ipv4Addr::new(127, high | 0x80, low, 1 + u8::try_from(number).unwrap_or(200));
        loop {
            let listeners: Vec<TcpListener> =
                (0..5).map(|_| TcpListener::bind((own, 0))).collect::<Result<_, _>>()?;
            let addresses: Vec<SocketAddr> =
                listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
            if UdpSocket::bind(addresses[4]).is_ok() {
                let tcp = [addresses[0], addresses[1], addresses[2], addresses[3]];
                return Ok(Addresses { tcp, peers: addresses[4] });
            }
        }
    }
}

impl Fleet {
    /// Starts hosts and waits until all are ready.
    pub fn start(count: usize, program: &Path, store: &Store) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let addresses: Vec<Addresses> =
            (0..count).map(Addresses::find).collect::<Result<_, _>>()?;
        let seeds: Vec<String> =
            addresses.iter().take(3).map(|found| format!("\"{}\"", found.peers)).collect();
        let mut fleet = Fleet { hosts: Vec::new(), folder };
        for (number, addresses) in addresses.iter().enumerate() {
            let settings = settings(number, addresses, &seeds.join(","), store.address);
            let file = fleet.folder.join(format!("h{number}.json"));
            fs::write(&file, settings)?;
            let log = fleet.folder.join(format!("h{number}.log"));
            let child = spawn(program, &file, &log)?;
            let [callers, readiness, ..] = addresses.tcp;
            fleet.hosts.push(Host {
                callers,
                readiness,
                program: program.into(),
                settings: file,
                log,
                child,
            });
        }
        let end = Instant::now() + START_MAX;
        while !fleet.hosts.iter().all(|host| client::is_ready(host.readiness)) {
            if Instant::now() > end {
                return Err(io::Error::other("the hosts do not become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Members and targets become known.
        thread::sleep(Duration::from_secs(2));
        Ok(fleet)
    }
}

/// Starts the program with the command of the deploy file.
fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .arg("edge")
        .env("TOUCANHOIST_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

impl Host {
    /// Starts the process again after it was killed; only the first start of all is a bootstrap.
    pub fn restart(&mut self) -> io::Result<()> {
        let settings = fs::read_to_string(&self.settings)?;
        fs::write(
            &self.settings,
            settings.replace("\"first_start\":true", "\"first_start\":false"),
        )?;
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Returns the process's resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or_default() * 1_024
    }

    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.iter_mut().for_each(Host::kill);
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the settings that deploy/settings.json makes of a machine's fields, with the bounds of the users' pages.
fn settings(number: usize, addresses: &Addresses, seeds: &str, store: SocketAddr) -> String {
    let zone = ZONES[number % ZONES.len()].0;
    let regions: Vec<String> =
        ZONES.iter().map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).collect();
    let [callers, readiness, directory, metrics] = addresses.tcp;
    let peers = addresses.peers;
    format!(
        r#"{{"name":"h{number}","data_centre":"{zone}","regions":{{{}}},
"listen":{{"callers":"{callers}","readiness":"{readiness}","directory":"{directory}","peers":"{peers}","metrics":"{metrics}"}},
"seeds":[{seeds}],"first_start":true,"store":"{store}",
"machine":{{"processor_share":0.2,"link_mbps":1000.0}},
"bounds":{{"grace_s":6,"retry_ratio":0.2,"retry_extra":60,"retry_window_s":10,"cold_factor":1.5,"cold_extra":5,
"directory_ttl_s":5,"shift_cap":0.15}}}}"#,
        regions.join(",")
    )
}
