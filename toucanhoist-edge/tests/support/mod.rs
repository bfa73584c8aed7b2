//! A store in memory, targets with a set behaviour, and hosts on loopback.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use {
    async_trait::async_trait,
    socket2::SockRef,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        time,
    },
    toucanhoist_core::{
        id,
        key::Digest,
        steering::{
            AccountTerms, Config, Entry, EntryHost, Host, Key, Limits, Part, Route, ServiceTerms,
            Target, TargetState, Topic, Value, Version,
        },
    },
    toucanhoist_edge::{
        dialect::Dialect,
        host::Edge,
        settings::{Bounds, Listen, Machine, Settings},
        store::{Batch, Error, Store},
    },
    toucanhoist_fakes::link::Links,
};

pub const KEY: &str = "k-farm";

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

/// A store in memory, which can be unavailable, and be restored from a backup.
#[derive(Debug)]
pub struct Memory {
    content: watch::Sender<Content>,
    is_unavailable: AtomicBool,
    pub calls: AtomicUsize,
}

/// Content of the store.
#[derive(Clone, Debug, Default)]
pub struct Content {
    era: u64,
    /// Number of the last transaction.
    number: u64,
    /// Transaction number and value of each row; a removed row has no value.
    rows: BTreeMap<Key, (u64, Option<Value>)>,
}

impl Content {
    fn version(&self) -> Version {
        Version::new(self.era.into(), self.number)
    }

    fn batch(&self, topic: Topic, after: u64) -> Batch {
        let changed =
            self.rows.iter().filter(|(key, (number, _))| key.topic() == topic && *number > after);
        let entry = |(number, value): &(u64, Option<Value>)| Entry {
            version: Version::new(self.era.into(), *number),
            value: value.clone(),
        };
        let entries = changed.map(|(key, row)| (key.clone(), entry(row))).collect();
        Batch { entries, version: self.version(), ..Batch::default() }
    }
}

impl Memory {
    pub fn new() -> Arc<Memory> {
        let (content, _) = watch::channel(Content::default());
        Arc::new(Memory {
            content,
            is_unavailable: AtomicBool::new(false),
            calls: AtomicUsize::new(0),
        })
    }

    pub fn put(&self, key: Key, value: Option<Value>) {
        self.content.send_modify(|content| {
            content.number += 1;
            content.rows.insert(key, (content.number, value));
        });
    }

    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.is_unavailable.store(is_unavailable, Ordering::Relaxed);
        // Wakes the calls that wait, so that they fail.
        self.content.send_modify(|_| {});
    }

    /// Returns a backup of the content.
    pub fn backup(&self) -> Content {
        self.content.borrow().clone()
    }

    /// Restores a backup, in a new era.
    pub fn restore(&self, backup: Content) {
        self.content.send_modify(|content| {
            let era = content.era + 1;
            *content = Content { era, ..backup };
        });
    }

    /// Returns the value of a row.
    pub fn row(&self, key: &Key) -> Option<Value> {
        self.content.borrow().rows.get(key)?.1.clone()
    }

    /// Returns the number of entry hosts that have registered.
    pub fn registered(&self) -> usize {
        self.content.borrow().rows.keys().filter(|key| key.topic() == Topic::Hosts).count()
    }

    fn check(&self) -> Result<(), Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        match self.is_unavailable.load(Ordering::Relaxed) {
            true => Err(Error::Unavailable("set unavailable by the test".into())),
            false => Ok(()),
        }
    }

    /// Returns the entries of a topic that changed after a version.
    fn changed(&self, topic: Topic, after: Version) -> Result<Batch, Error> {
        let content = self.content.borrow();
        let known = content.version();
        if known.era != after.era || known < after {
            return Err(Error::HistoryGone(after));
        }
        Ok(content.batch(topic, after.number))
    }
}

#[async_trait]
impl Store for Memory {
    async fn read(&self, topic: Topic) -> Result<Batch, Error> {
        self.check()?;
        let mut batch = self.content.borrow().batch(topic, 0);
        batch.entries.retain(|(_, entry)| entry.value.is_some());
        Ok(batch)
    }

    async fn follow(&self, topic: Topic, after: Version, wait: Duration) -> Result<Batch, Error> {
        let mut changes = self.content.subscribe();
        let _ = time::timeout(wait, async {
            loop {
                self.check()?;
                if !self.changed(topic, after)?.entries.is_empty() {
                    return Ok(());
                }
                if changes.changed().await.is_err() {
                    return Err(Error::Unavailable("gone".into()));
                }
            }
        })
        .await
        .unwrap_or(Ok(()))?;
        self.changed(topic, after)
    }

    async fn register(&self, name: &id::EntryHost, host: &EntryHost) -> Result<(), Error> {
        self.check()?;
        self.put(Key::Host(name.clone()), Some(Value::Host(host.clone())));
        Ok(())
    }
}

/// Delay of a late copy of an answer.
const LATE_COPY_DELAY: Duration = Duration::from_millis(30);

/// Size of a large body; more than a host buffers of one.
pub const LARGE_BODY_BYTES: usize = 1_024 * 1_024;

/// How a target handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Answers 200 with the request's path.
    Answer,
    /// Answers 503, and states that the request did not run.
    Shed,
    /// Answers 503 without stating whether the request ran.
    Unavailable,
    /// Answers 500.
    Fail,
    /// Closes the connection after it has read the request.
    Break,
    /// Never answers.
    Hang,
    /// Answers with the identifier of another request.
    Cross,
    /// Sends the answer twice.
    Surplus,
    /// Sends the answer, and again after [`LATE_COPY_DELAY`].
    LateCopy,
    /// Closes the connection in the middle of the body.
    Truncate,
    /// Answers 421, as if it were another target.
    Misdirect,
    /// Answers with a body of [`LARGE_BODY_BYTES`].
    Large,
    /// Answers once it has received two requests.
    AwaitTwo,
    /// Answers with a status, and the value in the header of targets that leave.
    Leave(u16, &'static str),
    /// Answers 503 and that the request did not run, without the request's identifier.
    Anonymous,
    /// Refuses the first request on a connection, sends that refusal once more when a second one arrives, and runs
    /// the second one.
    RefusalAgain,
    /// Sends so many bytes of the head of an answer, and closes the connection, or resets it.
    Head { bytes: usize, resets: bool },
    /// Answers 503 without running the request, with the value as `Retry-After`.
    Busy(&'static str),
    /// Answers with this status line, states that the request did not run, and closes the connection.
    Status(&'static str),
    /// Answers, and names a limit that allows the next request after many seconds.
    Limit,
}

/// A target on loopback.
pub struct FakeTarget {
    pub address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    /// Requests that it has received, as text.
    pub requests: Arc<Mutex<Vec<String>>>,
    /// Links between hosts and the target.
    pub links: Links,
}

impl FakeTarget {
    pub async fn spawn(behaviour: Behaviour) -> FakeTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let behaviour = Arc::new(Mutex::new(behaviour));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let links = Links::new(&listener).expect("links");
        let (current, received) = (Arc::clone(&behaviour), Arc::clone(&requests));
        let accepted = links.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let link = accepted.add(&stream).expect("a link");
                let serving = serve(stream, Arc::clone(&current), Arc::clone(&received));
                tokio::spawn(async move {
                    serving.await;
                    drop(link);
                });
            }
        });
        FakeTarget { address, behaviour, requests, links }
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no panic") = behaviour;
    }

    pub fn request_count(&self) -> usize {
        self.requests.lock().expect("no panic").len()
    }

    pub fn last_request(&self) -> String {
        self.requests.lock().expect("no panic").last().cloned().expect("a request")
    }
}

async fn serve(
    mut stream: TcpStream,
    behaviour: Arc<Mutex<Behaviour>>,
    requests: Arc<Mutex<Vec<String>>>,
) {
    while let Some((head, body)) = read(&mut stream).await {
        let id = header(&head, "toucanhoist-request-id").unwrap_or_default();
        requests.lock().expect("no panic").push(format!("{head}{body}"));
        let behaviour = *behaviour.lock().expect("no panic");
        let answer = |status: &str, id: &str, extra_header: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\ntoucanhoist-request-id: {id}\r\n{extra_header}content-length: {}\r\n\
                 \r\n{body}",
                body.len()
            )
        };
        while behaviour == Behaviour::AwaitTwo && two_are_missing(&requests) {
            time::sleep(Duration::from_millis(5)).await;
        }
        let path = head.split(' ').nth(1).unwrap_or_default();
        let complete = answer("200 OK", &id, "", path);
        let text = match behaviour {
            Behaviour::Large => answer("200 OK", &id, "", &"a".repeat(LARGE_BODY_BYTES)),
            Behaviour::Limit => answer("200 OK", &id, "toucanhoist-limit: 0.01\r\n", path),
            Behaviour::Answer | Behaviour::AwaitTwo | Behaviour::LateCopy => complete,
            Behaviour::Shed => {
                answer("503 Service Unavailable", &id, "toucanhoist-not-run: 1\r\n", "")
            }
            Behaviour::Leave(status, value) => {
                let leaving = format!("toucanhoist-leaving: {value}\r\n");
                answer(&format!("{status} Status"), &id, &leaving, path)
            }
            Behaviour::Anonymous => {
                "HTTP/1.1 503 Status\r\ntoucanhoist-not-run: 1\r\ncontent-length: 0\r\n\r\n".into()
            }
            Behaviour::RefusalAgain => {
                answer("503 Service Unavailable", &id, "toucanhoist-not-run: 1\r\n", "")
            }
            Behaviour::Head { bytes, .. } => {
                let head = format!("HTTP/1.1 100 Continue\r\n\r\n{complete}");
                head[..bytes.min(head.len() - path.len() - 1)].to_owned()
            }
            Behaviour::Busy(after) => {
                let after = format!("toucanhoist-not-run: 1\r\nretry-after: {after}\r\n");
                answer("503 Service Unavailable", &id, &after, "")
            }
            Behaviour::Status(status) => answer(status, &id, "toucanhoist-not-run: 1\r\n", path),
            Behaviour::Unavailable => answer("503 Service Unavailable", &id, "", ""),
            Behaviour::Fail => answer("500 Internal Server Error", &id, "", "own failure"),
            Behaviour::Break => return,
            Behaviour::Hang => return time::sleep(Duration::from_secs(60)).await,
            Behaviour::Cross => answer("200 OK", "another", "", "not yours"),
            Behaviour::Surplus => format!("{complete}{complete}"),
            Behaviour::Truncate => complete[..complete.len() - 2].to_owned(),
            Behaviour::Misdirect => answer("421 Misdirected Request", &id, "", ""),
        };
        let is_last = matches!(behaviour, Behaviour::Truncate | Behaviour::Status(_));
        if stream.write_all(text.as_bytes()).await.is_err() || is_last {
            return;
        }
        if let Behaviour::Head { resets, .. } = behaviour {
            if resets {
                // Closing with bytes that were not sent yet resets a connection.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            return;
        }
        if behaviour == Behaviour::RefusalAgain {
            // A request that is written after this arrives behind the refusal.
            let _ = stream.readable().await;
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            if let Some((head, body)) = read(&mut stream).await {
                requests.lock().expect("no panic").push(format!("run: {head}{body}"));
            }
            return;
        }
        if behaviour == Behaviour::LateCopy {
            time::sleep(LATE_COPY_DELAY).await;
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Whether fewer than two requests have arrived, apart from readiness probes.
fn two_are_missing(requests: &Mutex<Vec<String>>) -> bool {
    let requests = requests.lock().expect("no panic");
    let counted = requests.iter().filter(|request| !request.contains("/open/ready"));
    counted.count() < 2
}

/// Reads a request or an answer with its body; `None` at the end of the connection.
pub async fn read(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(bytes).ok()?;
    let length = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((head, String::from_utf8(body).ok()?))
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

pub fn entry(address: SocketAddr) -> Target {
    Target {
        service: name("curves"),
        address,
        data_centre: name("n1"),
        slots: 4,
        state: TargetState::Ready,
        cold_left: Duration::ZERO,
        born: 1,
    }
}

/// Returns a configuration with the routes `/safe/` (repeatable), `/once/` (not repeatable), `/open/` (without
/// a key) and `/short/` (with a short time-out).
pub fn config(revision: u64) -> Config {
    let route = |prefix: &str, repeatable| Route {
        name: prefix.into(),
        prefix: prefix.into(),
        repeatable,
        timeout: Some(Duration::from_secs(5)),
        objective: Some(Duration::from_secs(1)),
        priority: 1,
        parts: vec![Part { service: name("curves"), weight: 1.0 }],
        attempts_max: 2,
        open: prefix == "/open/",
        affinity: true,
        homes: Vec::new(),
    };
    let mut short = route("/short/", false);
    short.timeout = Some(Duration::from_millis(200));
    Config {
        revision: revision.into(),
        services: vec![ServiceTerms {
            name: name("curves"),
            connections_max: 100,
            cold_time: Duration::from_secs(3),
            cold_rate: 10.0,
        }],
        limits: Limits { body_bytes: 1_000, ..Limits::default() },
        accounts: vec![AccountTerms {
            name: name("farm"),
            keys: vec![Digest::of(KEY.as_bytes())],
            priority: None,
            rate: 0.0,
            burst: 0.0,
            homes: Vec::new(),
        }],
        hosts: vec![Host {
            name: "site.example".into(),
            routes: vec![
                route("/safe/", true),
                route("/once/", false),
                route("/open/", true),
                short,
            ],
        }],
        ..Config::default()
    }
}

pub fn put_config(store: &Memory, config: Config) {
    store.put(Key::Config, Some(Value::Config(Arc::new(config))));
}

pub fn settings(host: &str, seeds: Vec<SocketAddr>) -> Settings {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    Settings {
        name: name(host),
        data_centre: name("n1"),
        regions: BTreeMap::from([(name("n1"), name("north"))]),
        listen: Listen { callers: any, readiness: any, directory: any, peers: any, metrics: any },
        seeds,
        connect_from: None,
        first_start: true,
        store: any,
        machine: Machine::default(),
        bounds: Bounds {
            grace_s: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window_s: Duration::from_secs(10),
            cold_factor: 1.5,
            cold_extra: 5.0,
            directory_ttl_s: Duration::from_secs(5),
            shift_cap: 0.15,
        },
    }
}

pub async fn host(text: &str, store: &Arc<Memory>, seeds: Vec<SocketAddr>) -> Edge {
    spawn(settings(text, seeds), store).await
}

pub async fn spawn(settings: Settings, store: &Arc<Memory>) -> Edge {
    let store: Arc<dyn Store> = Arc::clone(store) as _;
    Edge::spawn(settings, Dialect::default(), store).await.expect("a host")
}

/// Spawns a host whose store holds targets, and waits until it is ready.
pub async fn site(targets: &[(&str, &FakeTarget)]) -> (Edge, Arc<Memory>) {
    let store = Memory::new();
    put_config(&store, config(1));
    for (text, target) in targets {
        let value = Value::Target(entry(target.address));
        store.put(Key::Target(name(text)), Some(value));
    }
    let edge = host("h1", &store, Vec::new()).await;
    wait_until_ready(&edge).await;
    (edge, store)
}

/// Waits until a host has a configuration and a target.
pub async fn wait_until_ready(edge: &Edge) {
    loop {
        let address = edge.addresses().callers;
        let answer = get(address, "/open/ready", "probe").await;
        if answer.0 != 503 {
            return;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
}

pub fn request(method: &str, path: &str, id: &str, key: Option<&str>, body: &str) -> String {
    let key = key.map(|key| format!("authorization: Bearer {key}\r\n")).unwrap_or_default();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: site.example\r\ntoucanhoist-request-id: {id}\r\n\
         toucanhoist-remaining-ms: 5000\r\n{key}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends one request on a new connection; returns status, head and body.
pub async fn send(address: SocketAddr, request: &str) -> (u16, String, String) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("a request");
    let (head, body) = read(&mut stream).await.expect("an answer");
    (status(&head), head, body)
}

pub fn status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
}

pub async fn get(address: SocketAddr, path: &str, id: &str) -> (u16, String, String) {
    send(address, &request("GET", path, id, Some(KEY), "")).await
}

/// Sends a request on a path to a target that misbehaves, beside one that does not; returns status, head and body of the
/// answer, and how often the request was sent to either.
pub async fn send_to_faulty(behaviour: Behaviour, path: &str) -> ((u16, String, String), usize) {
    let targets =
        [FakeTarget::spawn(Behaviour::Answer).await, FakeTarget::spawn(Behaviour::Answer).await];
    let (edge, _store) = site(&[("t1", &targets[0]), ("t2", &targets[1])]).await;
    // Requests for one object go to the same target, which is the one that misbehaves.
    let text = request("GET", path, "r-1", Some(KEY), "")
        .replace("\r\n\r\n", "\r\ncookie: toucanhoist-object=1\r\n\r\n");
    let before = targets.each_ref().map(FakeTarget::request_count);
    assert_eq!(send(edge.addresses().callers, &text).await.0, 200);
    let first = usize::from(targets[0].request_count() == before[0]);
    targets[first].set_behaviour(behaviour);
    let before = targets.each_ref().map(FakeTarget::request_count);
    let answer = send(edge.addresses().callers, &text.replace("r-1", "r-2")).await;
    let counts = targets.iter().zip(before).map(|(target, before)| target.request_count() - before);
    (answer, counts.sum())
}
