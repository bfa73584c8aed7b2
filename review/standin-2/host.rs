//! An entry host as a process, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Reader, record::Record};
use std::io::Write;

/// Time from SIGTERM until the platform kills the process (`graceS`).
pub const GRACE: Duration = Duration::from_secs(6);

/// Addresses of a host.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    directory: SocketAddr,
    pub peers: SocketAddr,
    metrics: SocketAddr,
}

/// A zone of a site.
#[derive(Clone, Copy)]
pub struct Place {
    pub zone: &'static str,
    /// Zones of the site with their regions.
    pub regions: &'static [(&'static str, &'static str)],
}

/// What the settings of a host say beside its addresses.
pub struct Plan {
    pub name: String,
    pub place: Place,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Address for other hosts of a host that runs already.
    pub seed: Option<SocketAddr>,
    pub store: SocketAddr,
}

/// A host. Its process is killed with the last clone.
#[derive(Clone)]
pub struct Host {
    pub addresses: Addresses,
    log: PathBuf,
    child: Arc<Process>,
    record: Record,
}

impl Host {
    /// Starts a host and waits until it is ready.
    pub fn start(folder: &Path, plan: &Plan, record: &Record) -> Result<Host, String> {
        let addresses = free_addresses().ok_or("no free ports")?;
        let (settings, log) = (folder.join(format!("{}.json", plan.name)), folder.join(format!("{}.txt", plan.name)));
        fs::write(&settings, content(&addresses, plan)).map_err(|error| error.to_string())?;
        let child = spawn(&settings, &log)?;
        let child = Arc::new(Process(Mutex::new(child)));
        let host = Host { addresses, log, child, record: record.clone() };
        host.record.line(format!("platform: host {} started, callers {}", plan.name, addresses.callers));
        host.wait_until_ready()?;
        Ok(host)
    }

    /// Copies the panics in the process's log into the record.
    pub fn record_panics(&self) {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let mut lines = log.lines();
        while let Some(line) = lines.next() {
            if line.contains("panicked at") {
                let message = lines.next().unwrap_or_default();
                self.record.line(format!("host: {line} {message}"));
            }
        }
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                self.record.line("platform: host ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the host was not ready within 10 s".into())
    }

    /// Whether the readiness check gets a 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.addresses.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let is_sent = stream.write_all(request.as_bytes()).is_ok();
        is_sent && matches!(Reader::new(stream).head(), Ok(Some(head)) if head.status() == 200)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.0.lock().expect("no holder of the lock panics").id()
    }

    /// Sends SIGTERM, and SIGKILL after the grace time.
    pub fn terminate(&self) {
        let id = self.id();
        self.record.line(format!("platform: SIGTERM to process {id}"));
        signal(id, "TERM");
        let host = self.clone();
        thread::spawn(move || {
            thread::sleep(GRACE);
            if host.has_ended() {
                return;
            }
            host.record.line("platform: SIGKILL after the grace time");
            host.kill();
        });
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.0.lock().expect("no holder of the lock panics");
        matches!(child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let mut child = self.child.0.lock().expect("no holder of the lock panics");
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A process, which is killed when it is dropped.
struct Process(Mutex<Child>);

impl Drop for Process {
    fn drop(&mut self) {
        if let Ok(child) = self.0.get_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends a signal to a process.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {id}")).status();
}

fn spawn(settings: &Path, log: &Path) -> Result<Child, String> {
    let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    Command::new("target/release/toucanhoist")
        .arg("edge")
        .env("TOUCANHOIST_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|error| format!("target/release/toucanhoist: {error}"))
}

/// Finds five free ports; that for other hosts is free for TCP and UDP.
fn free_addresses() -> Option<Addresses> {
    for _ in 0..50 {
        let listeners: Vec<TcpListener> =
            (0..5).filter_map(|_| TcpListener::bind("127.0.0.1:0").ok()).collect();
        let found: Vec<SocketAddr> =
            listeners.iter().filter_map(|listener| listener.local_addr().ok()).collect();
        let [callers, readiness, directory, peers, metrics] = found[..] else { continue };
        if UdpSocket::bind(peers).is_ok() {
            return Some(Addresses { callers, readiness, directory, peers, metrics });
        }
    }
    None
}

/// Returns the settings, as the template in `deploy/` has them.
fn content(addresses: &Addresses, plan: &Plan) -> String {
    let Addresses { callers, readiness, directory, peers, metrics } = addresses;
    let Plan { name, place: Place { zone, regions }, first_start, store, .. } = plan;
    let regions: Vec<String> =
        regions.iter().map(|(zone, region)| format!(r#""{zone}":"{region}""#)).collect();
    let regions = regions.join(",");
    let seed = plan.seed.unwrap_or(*peers);
    format!(
        r#"{{
  "name": "{name}",
  "data_centre": "{zone}",
  "regions": {{{regions}}},
  "listen": {{
    "callers": "{callers}",
    "readiness": "{readiness}",
    "directory": "{directory}",
    "peers": "{peers}",
    "metrics": "{metrics}"
  }},
  "seeds": ["{seed}"],
  "first_start": {first_start},
  "store": "{store}",
  "machine": {{"processor_share": 0.2, "link_mbps": 1000.0}},
  "bounds": {{
    "grace_s": 6,
    "retry_ratio": 0.2,
    "retry_extra": 56,
    "retry_window_s": 10,
    "cold_factor": 1.5,
    "cold_extra": 5,
    "directory_ttl_s": 5,
    "shift_cap": 0.15
  }}
}}
"#
    )
}
