//! A store in memory, targets that do as they are told, and hosts on loopback.

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
};

pub const KEY: &str = "k-farm";

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

/// A store in memory, which can be away, and come back from a copy.
#[derive(Debug)]
pub struct Memory {
    content: watch::Sender<Content>,
    away: AtomicBool,
    pub calls: AtomicUsize,
}

/// What a store holds.
#[derive(Clone, Debug, Default)]
pub struct Content {
    era: u64,
    /// Number of the last transaction.
    number: u64,
    /// Number and value of each row; a removed one has no value.
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
        Batch { entries, version: self.version() }
    }
}

impl Memory {
    pub fn new() -> Arc<Memory> {
        let (content, _) = watch::channel(Content::default());
        Arc::new(Memory { content, away: AtomicBool::new(false), calls: AtomicUsize::new(0) })
    }

    pub fn put(&self, key: Key, value: Option<Value>) {
        self.content.send_modify(|content| {
            content.number += 1;
            content.rows.insert(key, (content.number, value));
        });
    }

    pub fn set_away(&self, away: bool) {
        self.away.store(away, Ordering::Relaxed);
        // Calls that wait end.
        self.content.send_modify(|_| {});
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> Content {
        self.content.borrow().clone()
    }

    /// Comes back from a copy.
    pub fn restore(&self, copy: Content) {
        self.content.send_modify(|content| {
            let era = content.era + 1;
            *content = Content { era, ..copy };
        });
    }

    /// Returns the content of a row.
    pub fn row(&self, key: &Key) -> Option<Value> {
        self.content.borrow().rows.get(key)?.1.clone()
    }

    fn check(&self) -> Result<(), Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        match self.away.load(Ordering::Relaxed) {
            true => Err(Error::Unavailable("away".into())),
            false => Ok(()),
        }
    }

    /// Returns what changed of a topic after a version.
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

/// Time after which a late copy of an answer is sent.
const LATE: Duration = Duration::from_millis(30);

/// What a target does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// Answers 200 with the request's path.
    Answer,
    /// Says that it did not run it.
    Shed,
    /// Answers 503 and does not say whether it ran it.
    Unavailable,
    /// Answers 500.
    Fail,
    /// Ends the connection after it has read the request.
    Break,
    /// Never answers.
    Hang,
    /// Answers for another request.
    Cross,
    /// Answers and sends a second answer behind.
    Surplus,
    /// Answers, and sends the answer again a little later.
    LateCopy,
    /// Ends the connection in the middle of the body.
    Truncate,
    /// Says that it is another target.
    Misdirect,
    /// Answers once it has been sent two requests.
    AwaitTwo,
}

/// A target on loopback.
pub struct FakeTarget {
    pub address: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    /// Heads of the requests that it was sent.
    pub requests: Arc<Mutex<Vec<String>>>,
}

impl FakeTarget {
    pub async fn spawn(manner: Manner) -> FakeTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let manner = Arc::new(Mutex::new(manner));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (acts, heard) = (Arc::clone(&manner), Arc::clone(&requests));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&acts), Arc::clone(&heard)));
            }
        });
        FakeTarget { address, manner, requests }
    }

    pub fn set(&self, manner: Manner) {
        *self.manner.lock().expect("no panic") = manner;
    }

    pub fn count(&self) -> usize {
        self.requests.lock().expect("no panic").len()
    }

    pub fn last(&self) -> String {
        self.requests.lock().expect("no panic").last().cloned().expect("a request")
    }
}

async fn serve(
    mut stream: TcpStream,
    manner: Arc<Mutex<Manner>>,
    requests: Arc<Mutex<Vec<String>>>,
) {
    while let Some((head, body)) = read(&mut stream).await {
        let id = header(&head, "toucanhoist-request-id").unwrap_or_default();
        requests.lock().expect("no panic").push(format!("{head}{body}"));
        let manner = *manner.lock().expect("no panic");
        let answer = |status: &str, id: &str, more: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\ntoucanhoist-request-id: {id}\r\n{more}content-length: {}\r\n\
                 \r\n{body}",
                body.len()
            )
        };
        while manner == Manner::AwaitTwo && two_are_missing(&requests) {
            time::sleep(Duration::from_millis(5)).await;
        }
        let path = head.split(' ').nth(1).unwrap_or_default();
        let whole = answer("200 OK", &id, "", path);
        let text = match manner {
            Manner::Answer | Manner::AwaitTwo | Manner::LateCopy => whole,
            Manner::Shed => {
                answer("503 Service Unavailable", &id, "toucanhoist-not-run: 1\r\n", "")
            }
            Manner::Unavailable => answer("503 Service Unavailable", &id, "", ""),
            Manner::Fail => answer("500 Internal Server Error", &id, "", "own failure"),
            Manner::Break => return,
            Manner::Hang => return time::sleep(Duration::from_secs(60)).await,
            Manner::Cross => answer("200 OK", "another", "", "not yours"),
            Manner::Surplus => format!("{whole}{whole}"),
            Manner::Truncate => whole[..whole.len() - 2].to_owned(),
            Manner::Misdirect => answer("421 Misdirected Request", &id, "", ""),
        };
        if stream.write_all(text.as_bytes()).await.is_err() || manner == Manner::Truncate {
            return;
        }
        if manner == Manner::LateCopy {
            time::sleep(LATE).await;
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Whether fewer than two requests with an identifier of a test have come.
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
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
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

/// Routes: `/safe/` may run twice, `/once/` may not, `/open/` needs no key, `/short/` ends early.
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
    let store: Arc<dyn Store> = Arc::clone(store) as _;
    Edge::spawn(settings(text, seeds), Dialect::default(), store).await.expect("a host")
}

/// A host with targets that are known to it.
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

/// Waits until a host has a configuration, and a target for it.
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

/// Sends one request on a connection of its own; returns status, head and body.
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
