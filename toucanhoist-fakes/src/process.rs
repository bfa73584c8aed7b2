//! Entry hosts as processes, and an HTTP client for them.

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

/// Configuration of an entry host.
#[derive(Clone, Debug)]
pub struct Config {
    /// Path of the binary `toucanhoist`.
    pub binary: PathBuf,
    /// Name of the entry host.
    pub name: Box<str>,
    /// Data centre.
    pub data_centre: Box<str>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Minimum level of the log lines that are written.
    pub log_level: &'static str,
}

/// An entry host in a process of its own, which is killed when this is dropped.
#[derive(Debug)]
pub struct Host {
    child: Child,
    config: Config,
    addresses: Addresses,
    log_lines: mpsc::UnboundedReceiver<String>,
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
    /// Starts an entry host on ports that the system chooses, and waits until it listens.
    ///
    /// # Errors
    ///
    /// The process cannot be started, ends before it listens, or does not listen in time.
    pub async fn spawn(config: Config) -> io::Result<Host> {
        Host::spawn_with_threads(config, None).await
    }

    /// Starts an entry host whose runtime has `threads` worker threads.
    ///
    /// # Errors
    ///
    /// The process cannot be started, ends before it listens, or does not listen in time.
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
        let stderr = child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("standard error is not captured"))?;
        let mut reader = BufReader::new(stderr).lines();
        let starting = time::timeout(START_TIMEOUT, async {
            while let Some(line) = reader.next_line().await? {
                if let Some(addresses) = logged_addresses(&line) {
                    return Ok(addresses);
                }
            }
            Err(io::Error::other("the process ended before it listened"))
        });
        let addresses = starting.await.map_err(io::Error::other)??;
        fs::remove_file(settings)?;
        let (sender, log_lines) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok(Some(line)) = reader.next_line().await {
                let _ = sender.send(line);
            }
        });
        Ok(Host { child, config, addresses, log_lines })
    }

    /// Returns the addresses of the listeners.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the id of the process while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the host's entry in the platform's list.
    pub fn listed(&self) -> ListedHost {
        ListedHost {
            name: self.config.name.parse().expect("valid name"),
            data_centre: self.config.data_centre.parse().expect("valid name"),
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

    /// Waits until the process ends and returns its exit code.
    ///
    /// # Errors
    ///
    /// The process cannot be waited for.
    pub async fn wait(&mut self) -> io::Result<Option<i32>> {
        Ok(self.child.wait().await?.code())
    }

    /// Returns the log lines written since the last call.
    pub fn take_lines(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Ok(line) = self.log_lines.try_recv() {
            lines.push(line);
        }
        lines
    }

    /// Discards past and future log lines, so that a long run does not accumulate them.
    pub fn discard_lines(&mut self) {
        self.log_lines.close();
        while self.log_lines.try_recv().is_ok() {}
    }

    /// Waits until the host reports to operators that it is ready and has at least `members`
    /// members.
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
        let ready = self.call_operator_api("GET", "/ready", Bytes::new()).await?;
        if !ready.status().is_success() {
            return Ok(false);
        }
        let status = self.call_operator_api("GET", "/status", Bytes::new()).await?;
        let content = status.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
        let status: Value = serde_json::from_slice(&content)?;
        Ok(status["members"].as_array().is_some_and(|listed| listed.len() >= members))
    }

    /// Sends a request to the operators' listener.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn call_operator_api(
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
/// The connection failed before the head of the response was received.
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

/// Returns the addresses in the log line that a host writes when it has started.
fn logged_addresses(line: &str) -> Option<Addresses> {
    if !line.contains("event=1001") {
        return None;
    }
    let address = |name: &str| {
        let field = line.split(' ').find_map(|field| field.strip_prefix(name))?;
        field.strip_prefix('=')?.parse().ok()
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
