//! Two entry hosts in this process, and targets with scripted answers.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    serde_json::{Value, json},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time,
    },
    toucanhoist::{
        host::{Host, accounts::Grant, fleet},
        settings::Settings,
    },
    toucanhoist_core::{fleet::Fleet, key::Digest},
    toucanhoist_fakes::{process::send, target},
    toucanhoist_store::{ListedHost, ListedState, Memory, Platform, Transaction, Write},
};

pub const KEY: &str = "key-of-the-farmers-0123456789";
pub const OTHER_KEY: &str = "key-of-technicians-0123456789";
pub const TOKEN: &str = "operators-token-0123456789";
const TIMEOUT: Duration = Duration::from_secs(20);

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid address")
}

/// Two entry hosts in two data centres. The target of the service `near` is in the first one's,
/// that of `far` in the second one's.
pub struct Cluster {
    pub hosts: Vec<Host>,
    _probe: target::Server,
}

impl Cluster {
    /// Starts the hosts with a target for each service, and waits until both can be reached.
    pub async fn spawn(near: SocketAddr, far: SocketAddr) -> Cluster {
        let memory = Arc::new(Memory::new());
        let config = target::Config { name: "probe".into(), data_centre: "hill-1".into() };
        let probe = target::Server::bind(any_port(), config).await.expect("a free port");
        store(&memory, &configuration(near, far, probe.address())).await;
        let mut hosts = Vec::new();
        for (name, data_centre) in [("entry-1", "lake-1"), ("entry-2", "hill-1")] {
            let settings =
                Settings::from_json(&settings(name, data_centre)).expect("valid settings");
            let platform = Arc::clone(&memory) as Arc<dyn Platform>;
            hosts.push(Host::spawn(settings, platform).await.expect("free ports"));
        }
        let listed = |(host, (name, data_centre)): (&Host, (&str, &str))| ListedHost {
            name: name.parse().expect("valid name"),
            data_centre: data_centre.parse().expect("valid name"),
            peers: host.addresses().peers,
            callers: format!("http://{}", host.addresses().callers).into(),
            state: ListedState::Live,
        };
        let names = [("entry-1", "lake-1"), ("entry-2", "hill-1")];
        memory.set_hosts(hosts.iter().zip(names).map(listed).collect());
        for host in &hosts {
            host.wait_until_ready(2).await;
        }
        let cluster = Cluster { hosts, _probe: probe };
        cluster.wait_for_capacity().await;
        cluster
    }

    /// Waits until the first host knows that the second one has capacity.
    async fn wait_for_capacity(&self) {
        let probing = async {
            while !self.send(empty(keyed("/probe/a"))).await.status().is_success() {
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(TIMEOUT, probing).await.expect("capacity in time");
    }

    /// Starts the hosts with one fake target for both services.
    pub async fn with_fake_target() -> (Cluster, target::Server) {
        let config = target::Config { name: "sample".into(), data_centre: "lake-1".into() };
        let target = target::Server::bind(any_port(), config).await.expect("a free port");
        (Cluster::spawn(target.address(), target.address()).await, target)
    }

    pub fn callers(&self) -> SocketAddr {
        self.hosts[0].addresses().callers
    }

    pub fn operators(&self) -> SocketAddr {
        self.hosts[0].addresses().operators
    }

    /// Sends one request to the first host.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        time::timeout(TIMEOUT, send(self.callers(), request))
            .await
            .expect("an answer in time")
            .expect("an answer")
    }

    /// Sends one request to the first host and returns status and JSON of its answer.
    pub async fn json(&self, request: Request<Full<Bytes>>) -> (StatusCode, Value) {
        let answer = self.send(request).await;
        let status = answer.status();
        let content = answer.into_body().collect().await.expect("a complete answer").to_bytes();
        (status, serde_json::from_slice(&content).unwrap_or_default())
    }

    /// Sends bytes to the first host and reads until the connection closes.
    pub async fn raw(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.callers()).await.expect("the connection works");
        let _ = stream.write_all(bytes).await;
        read_to_end(&mut stream).await
    }

    /// Returns the decisions that a host recorded about a request.
    pub async fn explain(&self, host: usize, id: &str) -> Value {
        let request = Request::builder()
            .uri(format!("/explain/{id}"))
            .header("host", "operators")
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::default())
            .expect("valid request");
        let address = self.hosts[host].addresses().operators;
        let answer = send(address, request).await.expect("an answer");
        let content = answer.into_body().collect().await.expect("a complete answer").to_bytes();
        serde_json::from_slice(&content).expect("valid JSON")
    }

    /// Returns the metrics of this process.
    pub async fn metrics(&self) -> String {
        let request = Request::builder()
            .uri("/metrics")
            .header("host", "operators")
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::default())
            .expect("valid request");
        let answer = send(self.operators(), request).await.expect("an answer");
        let content = answer.into_body().collect().await.expect("a complete answer").to_bytes();
        String::from_utf8(content.to_vec()).expect("a string")
    }
}

/// Reads until the connection closes, cleanly or with an error.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let _ = time::timeout(TIMEOUT, reading).await.expect("the connection ends in time");
    String::from_utf8_lossy(&received).into_owned()
}

/// Waits until `condition` holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(time::timeout(TIMEOUT, polling).await.is_ok(), "timed out waiting until {what}");
}

/// Returns a builder of a GET request.
pub fn get(path: &str) -> http::request::Builder {
    Request::builder().uri(path).header("host", "callers")
}

pub fn empty(builder: http::request::Builder) -> Request<Full<Bytes>> {
    builder.body(Full::default()).expect("valid request")
}

/// Returns a builder of a GET request with the key of the account `farmers`.
pub fn keyed(path: &str) -> http::request::Builder {
    get(path).header("authorization", format!("Bearer {KEY}"))
}

/// Returns the value of a header; empty if it is missing.
pub fn header<'a, B>(answer: &'a Response<B>, name: &str) -> &'a str {
    answer.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// A target that answers every request with the same bytes and closes the connection.
pub struct Script {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Script {
    pub async fn bind(answer: &'static [u8]) -> io::Result<Script> {
        let listener = TcpListener::bind(any_port()).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut head = Vec::new();
                    while !head.ends_with(b"\r\n\r\n") {
                        match stream.read_u8().await {
                            Ok(byte) => head.push(byte),
                            Err(_) => return,
                        }
                    }
                    let _ = stream.write_all(answer).await;
                    let _ = stream.shutdown().await;
                });
            }
        });
        Ok(Script { address, task })
    }
}

impl Drop for Script {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn settings(name: &str, data_centre: &str) -> String {
    json!({
        "name": name,
        "data_centre": data_centre,
        "listen": {"callers": any_port(), "operators": any_port(), "peers": any_port()},
        "platform": {"address": any_port()},
        "fleet_secrets": ["fleet-secret-0123456789"],
        "operator_token_sha256": Digest::of(TOKEN.as_bytes()),
    })
    .to_string()
}

fn configuration(near: SocketAddr, far: SocketAddr, probe: SocketAddr) -> Fleet {
    let route = |service: &str, path: &str, methods: &[&str], access: &str, repeatable: bool| {
        json!({
            "service": service, "path": path, "methods": methods,
            "access": access, "repeatable": repeatable,
        })
    };
    let deadline = |mut route: Value| {
        route["deadline"] = json!("300ms");
        route
    };
    let target = |service: &str, data_centre: &str, address: SocketAddr| {
        json!({
            "name": format!("{service}-1"), "service": service,
            "data_centre": data_centre, "address": address,
        })
    };
    let fleet = json!({
        "regions": [
            {"name": "lake", "data_centres": ["lake-1"]},
            {"name": "hill", "data_centres": ["hill-1"]},
        ],
        "links": [{"between": ["lake", "hill"], "capacity": "1000Mbit/s", "latency": "1ms"}],
        "client_blocks": [{"block": "10.1.0.0/16", "home": "lake-1"}],
        "services": [{"name": "near"}, {"name": "far"}, {"name": "probe"}],
        "targets": [
            target("near", "lake-1", near),
            target("far", "hill-1", far),
            target("probe", "hill-1", probe),
        ],
        "routes": [
            route("near", "/", &["GET", "PUT"], "keyed", true),
            route("near", "/open/", &["GET"], "open", true),
            deadline(route("near", "/short/", &["GET"], "keyed", true)),
            deadline(route("far", "/short/", &["GET"], "keyed", true)),
            route("near", "/records/", &["POST"], "keyed", false),
            route("far", "/", &["GET", "PUT"], "keyed", true),
            route("probe", "/", &["GET"], "keyed", true),
        ],
        "accounts": [
            {"name": "farmers", "rate": "100000/s", "burst": 100_000},
            {"name": "technicians", "rate": "100000/s", "burst": 100_000},
        ],
    });
    Fleet::from_json(&fleet.to_string()).expect("valid fleet")
}

async fn store(platform: &Memory, fleet: &Fleet) {
    let change = fleet::Change {
        revision: 1.into(),
        change: 1.into(),
        author: "test".into(),
        reason: "test".into(),
        fleet: fleet.clone(),
    };
    let mut writes = fleet::writes(&change);
    for (account, key) in [("farmers", KEY), ("technicians", OTHER_KEY)] {
        let grant = Grant {
            account: account.parse().expect("valid name"),
            author: "test".into(),
            withdrawn: false,
        };
        let value = serde_json::to_string(&grant).expect("valid JSON");
        writes.push(Write::put("keys", &Digest::of(key.as_bytes()).to_string(), value.into()));
    }
    let transaction = Transaction { checks: Vec::new(), writes };
    platform.transact(transaction).await.expect("memory is up");
}
