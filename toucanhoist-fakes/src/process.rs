//! Entry hosts as processes, and a small client for them.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    nix::{sys::signal, unistd::Pid},
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    tokio::{
        io::{AsyncBufReadExt, BufReader},
        net::TcpStream,
        process::{Child, Command},
        sync::mpsc,
        time,
    },
    toucanhoist_store::{ListedHost, ListedState},
};

pub use nix::sys::signal::Signal;

/// Token that operators of these hosts use.
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";
const FLEET_SECRET: &str = "fleet-secret-for-tests";
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// What to start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The binary.
    pub binary: PathBuf,
    /// Name of the entry host.
    pub name: Box<str>,
    /// Data centre.
    pub data_centre: Box<str>,
    /// Address of the platform's stand-in.
    pub platform: SocketAddr,
    /// Least serious log lines that are written.
    pub log_level: &'static str,
}

/// An entry host that runs as a process of its own. It is killed when dropped.
#[derive(Debug)]
pub struct Host {
    child: Child,
    config: Config,
    addresses: Addresses,
    lines: mpsc::UnboundedReceiver<String>,
}

/// Addresses of an entry host.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other entry hosts.
    pub peers: SocketAddr,
}

impl Host {
    /// Starts an entry host on ports that the system chooses, and waits until it has bound them.
    ///
    /// # Errors
    ///
    /// The process cannot be started, or ends before it serves.
    pub async fn spawn(config: Config) -> io::Result<Host> {
        Host::spawn_with_threads(config, None).await
    }

    /// Starts an entry host whose runtime has this many worker threads.
    ///
    /// # Errors
    ///
    /// The process cannot be started, or ends before it serves.
    pub async fn spawn_with_threads(config: Config, threads: Option<usize>) -> io::Result<Host> {
        let settings = settings_file(&config)?;
        let threads = threads.map(|threads| ("TOKIO_WORKER_THREADS", threads.to_string()));
        let mut child = Command::new(&config.binary)
            .envs(threads)
            .arg("serve")
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let stderr = child.stderr.take().ok_or_else(|| io::Error::other("no standard error"))?;
        let mut reader = BufReader::new(stderr).lines();
        let started = time::timeout(START_TIMEOUT, async {
            while let Some(line) = reader.next_line().await? {
                if let Some(addresses) = started(&line) {
                    return Ok(addresses);
                }
            }
            Err(io::Error::other("the process ended before it served"))
        });
        let addresses = started.await.map_err(io::Error::other)??;
        fs::remove_file(settings)?;
        let (sender, lines) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok(Some(line)) = reader.next_line().await {
                let _ = sender.send(line);
            }
        });
        Ok(Host { child, config, addresses, lines })
    }

    /// Returns the addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the process's id.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the host's entry in the platform's list.
    pub fn listed(&self) -> ListedHost {
        ListedHost {
            name: self.config.name.parse().expect("the name is valid"),
            data_centre: self.config.data_centre.parse().expect("the name is valid"),
            peers: self.addresses.peers,
            callers: format!("http://{}", self.addresses.callers).into(),
            state: ListedState::Live,
        }
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.child.id().ok_or_else(|| io::Error::other("the process has ended"))?;
        let pid = i32::try_from(pid).map_err(io::Error::other)?;
        signal::kill(Pid::from_raw(pid), signal).map_err(io::Error::from)
    }

    /// Waits for the process's end and returns its exit code.
    ///
    /// # Errors
    ///
    /// The process cannot be waited for.
    pub async fn wait(&mut self) -> io::Result<Option<i32>> {
        Ok(self.child.wait().await?.code())
    }

    /// Takes the log lines written so far.
    pub fn take_lines(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Ok(line) = self.lines.try_recv() {
            lines.push(line);
        }
        lines
    }

    /// Drops the log lines from now on, so that a long run does not collect them.
    pub fn discard_lines(&mut self) {
        self.lines.close();
        while self.lines.try_recv().is_ok() {}
    }

    /// Waits until the host's operators' listener says that it is ready with `members` members.
    ///
    /// # Errors
    ///
    /// The host is not ready in time.
    pub async fn wait_until_ready(&self, members: usize) -> io::Result<()> {
        let polling = async {
            loop {
                if self.is_ready(members).await.unwrap_or(false) {
                    return;
                }
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(START_TIMEOUT, polling).await.map_err(io::Error::other)
    }

    async fn is_ready(&self, members: usize) -> io::Result<bool> {
        let ready = self.operate("GET", "/ready", Bytes::new()).await?;
        if !ready.status().is_success() {
            return Ok(false);
        }
        let status = self.operate("GET", "/status", Bytes::new()).await?;
        let content = status.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
        let status: Value = serde_json::from_slice(&content)?;
        Ok(status["members"].as_array().is_some_and(|found| found.len() >= members))
    }

    /// Calls the operators' listener.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn operate(
        &self,
        method: &str,
        path: &str,
        content: Bytes,
    ) -> io::Result<Response<Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "operators")
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::new(content))
            .map_err(io::Error::other)?;
        send(self.addresses.operators, request).await
    }
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// The connection failed before the head of the answer came.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> io::Result<Response<Incoming>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    sender.send_request(request).await.map_err(io::Error::other)
}

/// Returns the addresses that a host's first log line gives.
fn started(line: &str) -> Option<Addresses> {
    if !line.contains("event=1001") {
        return None;
    }
    let address = |name: &str| {
        let word = line.split(' ').find_map(|word| word.strip_prefix(name))?;
        word.strip_prefix('=')?.parse().ok()
    };
    Some(Addresses {
        callers: address("callers")?,
        operators: address("operators")?,
        peers: address("peers")?,
    })
}

fn settings_file(config: &Config) -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let file = format!("toucanhoist-{}-{number}.json", std::process::id());
    let path = Path::new(&std::env::temp_dir()).join(file);
    let digest = Sha256::digest(OPERATOR_TOKEN.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let settings = json!({
        "name": config.name,
        "data_centre": config.data_centre,
        "listen": {
            "callers": "127.0.0.1:0",
            "operators": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
        },
        "platform": {"address": config.platform, "timeout": "1s"},
        "fleet_secrets": [FLEET_SECRET],
        "operator_token_sha256": digest,
        "log": {"level": config.log_level},
    });
    fs::write(&path, serde_json::to_vec(&settings)?)?;
    Ok(path)
}
