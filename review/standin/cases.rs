//! The scenarios.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::Write,
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    host::{Fleet, ZONES},
    http::Connection,
    instance::{Fault, Instance, Site, SERVICE},
    record::{lock, Record},
    store::Store,
};

const HOSTS: usize = 3;
const INSTANCES: usize = 10;
/// Instances that spoil answers, a share of 0.6.
const FAULTY: usize = 6;
/// Bytes of an upload; the configuration allows 64 MiB.
const UPLOAD_BYTES: usize = 45_000_000;
/// Memory of a machine, `memoryMb` in the settings that the pages show.
const MEMORY_MAX: u64 = 260 << 20;
/// Clients that upload at each host, as a rule and while the tenant sends 7 times its usual.
const UPLOADERS: usize = 1;
const UPLOADERS_HOT: usize = 7;
/// Requests from kept connections that may be lost.
const LOST_MAX: usize = 3;

/// What a client saw of one request.
struct Seen {
    id: String,
    is_unsafe: bool,
    /// Status and seal, or why there is no whole answer.
    outcome: Result<(u16, Option<String>), String>,
}

/// A running deployment.
struct Deployment {
    site: Arc<Site>,
    instances: Vec<Arc<Instance>>,
    fleet: Fleet,
    seen: Arc<Mutex<Vec<Seen>>>,
    next: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

/// Runs a case; returns how often the rule was broken.
pub fn run(case: &str, folder: &Path, program: &Path, with_trouble: bool) -> Result<usize, String> {
    let error = |error: std::io::Error| error.to_string();
    let record = Record::create(folder).map_err(error)?;
    let store = Store::serve().map_err(error)?;
    store.put("op", "config", Some(&config()));
    let (runs, next_seal) = (Mutex::default(), AtomicU64::new(1));
    let begun = Mutex::default();
    let site = Arc::new(Site {
        record: record.clone(),
        store: Arc::clone(&store),
        begun,
        runs,
        next_seal,
    });
    let start = |number: usize| Instance::start(number, ZONES[number % ZONES.len()].0, 15, &site);
    let instances: Vec<_> = (0..INSTANCES).map(start).collect::<Result<_, _>>().map_err(error)?;
    let fleet = Fleet::start(HOSTS, program, &store).map_err(error)?;
    record.line(&format!("{HOSTS} hosts are ready, {INSTANCES} instances"));
    let (seen, next, is_over) = (Arc::default(), Arc::new(AtomicU64::new(1)), Arc::default());
    let mut deployment = Deployment { site, instances, fleet, seen, next, is_over };
    let breaks = match case {
        "second-answer" => deployment.spoil(Fault::SecondAnswer, with_trouble, count_mixed),
        "second-refusal" => deployment.spoil(Fault::SecondRefusal, with_trouble, count_twice),
        "cut-pipeline" => deployment.cut_pipelines(with_trouble),
        "uploads" => deployment.upload(with_trouble),
        _ => return Err(format!("unknown case {case}")),
    }?;
    record.line(&format!("the rule was broken {breaks} times"));
    deployment.instances.iter().for_each(|instance| instance.stop());
    record.flush();
    Ok(breaks)
}

fn config() -> String {
    let path = |name: &str, kind: &str, timeout_s: f64| {
        format!(
            r#"{{"name":"{name}","prefix":"/{name}/","kind":"{kind}","timeoutS":{timeout_s},"targetLatencyS":0.6,"priority":1,"service":"{SERVICE}","maxAttempts":2,"anonymous":false,"sessionAffinity":false,"homeRegions":[]}}"#
        )
    };
    format!(
        r#"{{"version":"00000007","services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":360,"coldS":0,"coldPerS":1000}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},
"tenants":[{{"name":"agency","apiKeys":["{}"],"priority":1,"ratePerS":0,"burst":0,"homeRegions":[]}}],
"hosts":[{{"host":"{}","paths":[{},{},{}]}}]}}"#,
        client::KEY,
        client::HOST,
        path("reads", "safe", 2.5),
        path("writes", "unsafe", 2.5),
        path("uploads", "unsafe", 6.0)
    )
}

impl Deployment {
    /// Six of ten instances spoil 3 in 100 of their answers for five seconds, while clients send requests.
    fn spoil(
        &mut self,
        fault: Fault,
        with_trouble: bool,
        count: fn(&Deployment) -> usize,
    ) -> Result<usize, String> {
        let clients: Vec<_> = (0..18).map(|number| self.spawn_client(number)).collect();
        thread::sleep(Duration::from_secs(3));
        let faulty = &self.instances[..FAULTY];
        if with_trouble {
            self.site
                .record
                .line("trouble begins: six of ten instances spoil 3 in 100 of their answers");
            faulty.iter().for_each(|instance| instance.set_fault(Some((fault, 33))));
        }
        thread::sleep(Duration::from_secs(5));
        faulty.iter().for_each(|instance| instance.set_fault(None));
        self.site.record.line("trouble has ended");
        thread::sleep(Duration::from_secs(3));
        self.is_over.store(true, Ordering::Relaxed);
        for client in clients {
            client.join().map_err(|_| "a client failed")?;
        }
        thread::sleep(Duration::from_millis(500));
        self.check_service()?;
        Ok(count(self))
    }

    /// A client that sends a request at a time, on a connection that it keeps.
    fn spawn_client(&self, number: usize) -> thread::JoinHandle<()> {
        let (site, seen) = (Arc::clone(&self.site), Arc::clone(&self.seen));
        let (next, is_over) = (Arc::clone(&self.next), Arc::clone(&self.is_over));
        let address = self.fleet.hosts[number % HOSTS].callers;
        thread::spawn(move || {
            let mut kept: Option<Connection> = None;
            while !is_over.load(Ordering::Relaxed) {
                let count = next.fetch_add(1, Ordering::Relaxed);
                let (id, is_unsafe) = (format!("{count:016x}"), count % 4 != 0);
                site.record.line(&format!("client {number} sends {id}, unsafe: {is_unsafe}"));
                let outcome = send(address, &mut kept, &id, is_unsafe);
                site.record.line(&format!("client {number} gets {id}: {outcome:?}"));
                lock(&seen).push(Seen { id, is_unsafe, outcome });
                thread::sleep(Duration::from_millis(30));
            }
        })
    }

    /// Checks that the deployment worked at all.
    fn check_service(&self) -> Result<(), String> {
        let seen = lock(&self.seen);
        let served = seen.iter().filter(|seen| matches!(seen.outcome, Ok((200, _)))).count();
        self.site
            .record
            .line(&format!("{served} of {} requests were answered with 200", seen.len()));
        if served * 10 < seen.len() * 9 {
            Err("fewer than nine in ten requests were served".into())
        } else {
            Ok(())
        }
    }

    /// Clients send four short requests behind a long one on each connection; while the trouble lasts, an instance
    /// cuts long answers.
    fn cut_pipelines(&mut self, with_trouble: bool) -> Result<usize, String> {
        let faulty = &self.instances[..FAULTY];
        if with_trouble {
            faulty.iter().for_each(|instance| instance.set_fault(Some((Fault::Truncated, 33))));
        }
        let end = Instant::now() + Duration::from_secs(5);
        let addresses: Vec<SocketAddr> = self.fleet.hosts.iter().map(|host| host.callers).collect();
        let clients: Vec<_> = (0..12)
            .map(|number| {
                let (site, next) = (Arc::clone(&self.site), Arc::clone(&self.next));
                let address = addresses[number % HOSTS];
                thread::spawn(move || {
                    let mut lost = Vec::new();
                    while Instant::now() < end {
                        lost.extend(pipeline(&site, &next, address).unwrap_or_default());
                    }
                    lost
                })
            })
            .collect();
        let mut lost = Vec::new();
        for client in clients {
            lost.extend(client.join().map_err(|_| "a client failed")?);
        }
        thread::sleep(Duration::from_secs(1));
        let runs = lock(&self.site.runs);
        let whole: BTreeSet<&str> =
            runs.iter().filter(|run| run.is_whole).map(|run| run.id.as_str()).collect();
        let passed_on: Vec<&String> =
            lost.iter().filter(|id| whole.contains(id.as_str())).collect();
        for id in &passed_on {
            self.site.record.line(&format!("LOST: {id} ran at a sound instance, and its connection was closed without an answer"));
        }
        Ok(if passed_on.len() > LOST_MAX { passed_on.len() } else { 0 })
    }

    /// One client uploads at each host, one body after the other; while the trouble lasts, seven do. Hosts that need
    /// more memory than a machine has are killed and started again, as the platform does.
    fn upload(&mut self, with_trouble: bool) -> Result<usize, String> {
        self.instances.iter().for_each(|instance| instance.work_ms.store(1_160, Ordering::Relaxed));
        let usual: Vec<_> =
            (0..HOSTS * UPLOADERS).map(|number| self.spawn_uploader(number, 16)).collect();
        let (begun, mut hot) = (Instant::now(), Vec::new());
        let (mut highest, mut kills, mut down) = ([0; HOSTS], [0; HOSTS], [None; HOSTS]);
        while begun.elapsed() < Duration::from_secs(22) {
            if with_trouble && hot.is_empty() && begun.elapsed() > Duration::from_secs(4) {
                self.site.record.line("trouble begins: the tenant sends 7 times its usual for 8 s");
                let more = HOSTS * UPLOADERS..HOSTS * UPLOADERS_HOT;
                hot.extend(more.map(|number| self.spawn_uploader(number, 8)));
            }
            for (number, host) in self.fleet.hosts.iter_mut().enumerate() {
                if let Some(since) = down[number] {
                    if begun.elapsed() > since + Duration::from_millis(500) {
                        host.restart().map_err(|error| error.to_string())?;
                        down[number] = None;
                    }
                    continue;
                }
                let memory = host.memory();
                highest[number] = memory.max(highest[number]);
                if memory > MEMORY_MAX {
                    let mb = memory >> 20;
                    self.site.record.line(&format!(
                        "host h{number} uses {mb} MB, more than its machine has, and is killed"
                    ));
                    host.kill();
                    kills[number] += 1;
                    down[number] = Some(begun.elapsed());
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        for client in usual.into_iter().chain(hot) {
            client.join().map_err(|_| "a client failed")?;
        }
        let highest: Vec<String> =
            highest.iter().map(|bytes| format!("{} MB", bytes >> 20)).collect();
        self.site.record.line(&format!(
            "highest memory of the hosts: {}; killed {kills:?} times",
            highest.join(", ")
        ));
        let seen = lock(&self.seen);
        let served = seen.iter().filter(|seen| matches!(seen.outcome, Ok((200, _)))).count();
        self.site
            .record
            .line(&format!("{served} of {} requests were answered with 200", seen.len()));
        if served == 0 {
            return Err("no upload was served".into());
        }
        let begun = lock(&self.site.begun);
        let mut lost = 0;
        for Seen { id, outcome, .. } in seen.iter() {
            if let (Err(error), true) = (outcome, begun.contains(id)) {
                self.site.record.line(&format!(
                    "LOST: {id} was passed on to an instance, and its connection ended: {error}"
                ));
                lost += 1;
            }
        }
        Ok(if lost > LOST_MAX { lost } else { 0 })
    }

    /// A client that uploads one body after the other, on a connection that it keeps.
    fn spawn_uploader(&self, number: usize, seconds: u64) -> thread::JoinHandle<()> {
        let (site, seen, next) =
            (Arc::clone(&self.site), Arc::clone(&self.seen), Arc::clone(&self.next));
        let address = self.fleet.hosts[number % HOSTS].callers;
        thread::spawn(move || {
            let mut kept: Option<Connection> = None;
            let end = Instant::now() + Duration::from_secs(seconds);
            while Instant::now() < end {
                let id = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
                if kept.is_none() {
                    // The first request makes the connection a kept one.
                    if send(address, &mut kept, &format!("first-{id}"), false).is_err() {
                        thread::sleep(Duration::from_millis(200));
                        continue;
                    }
                }
                site.record.line(&format!("client {number} uploads {id}"));
                let outcome = upload(&mut kept, &id);
                site.record.line(&format!("client {number} gets {id}: {outcome:?}"));
                lock(&seen).push(Seen { id, is_unsafe: true, outcome });
            }
        })
    }
}

/// Sends a long request and four short ones behind it on a new connection; returns those that got no answer.
fn pipeline(site: &Site, next: &AtomicU64, address: SocketAddr) -> std::io::Result<Vec<String>> {
    let mut connection = client::connect(address, Duration::from_secs(4))?;
    let mut ids = Vec::new();
    let mut bytes = String::new();
    for place in 0..5 {
        let id = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
        let path = if place == 0 { format!("/reads/long-{id}") } else { format!("/reads/{id}") };
        bytes.push_str(&client::head("GET", &path, &id, Duration::from_secs(3), 0));
        ids.push(id);
    }
    site.record.line(&format!("a client sends {}", ids.join(" ")));
    connection.stream.write_all(bytes.as_bytes())?;
    let mut lost = Vec::new();
    for (place, id) in ids.into_iter().enumerate() {
        match client::answer(&mut connection) {
            Ok(answer) => site.record.line(&format!("a client gets {id}: {} whole", answer.status)),
            Err(error) => {
                site.record.line(&format!("a client gets {id}: {error}"));
                if place > 0 {
                    lost.push(id);
                }
            }
        }
    }
    Ok(lost)
}

/// Uploads a body on a kept connection.
fn upload(kept: &mut Option<Connection>, id: &str) -> Result<(u16, Option<String>), String> {
    static PIECE: [u8; 1_000_000] = [0x2e; 1_000_000];
    let mut exchange = || -> std::io::Result<client::Answer> {
        let mut connection = kept.take().ok_or(std::io::ErrorKind::NotConnected)?;
        connection.stream.set_read_timeout(Some(Duration::from_secs(7)))?;
        let path = format!("/uploads/{id}");
        let head = client::head("POST", &path, id, Duration::from_secs(6), UPLOAD_BYTES);
        connection.stream.write_all(head.as_bytes())?;
        for _ in 0..UPLOAD_BYTES / PIECE.len() {
            connection.stream.write_all(&PIECE)?;
        }
        let answer = client::answer(&mut connection)?;
        *kept = Some(connection).filter(|_| !answer.closes);
        Ok(answer)
    };
    exchange().map(|answer| (answer.status, answer.seal)).map_err(|error| error.to_string())
}

fn send(
    address: SocketAddr,
    kept: &mut Option<Connection>,
    id: &str,
    is_unsafe: bool,
) -> Result<(u16, Option<String>), String> {
    let mut exchange = || -> std::io::Result<client::Answer> {
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => client::connect(address, Duration::from_secs(4))?,
        };
        let remaining = Duration::from_secs(3);
        let bytes = if is_unsafe {
            client::head("POST", &format!("/writes/{id}"), id, remaining, 100) + &"x".repeat(100)
        } else {
            client::head("GET", &format!("/reads/{id}"), id, remaining, 0)
        };
        connection.stream.write_all(bytes.as_bytes())?;
        let answer = client::answer(&mut connection)?;
        *kept = Some(connection).filter(|_| !answer.closes);
        Ok(answer)
    };
    exchange().map(|answer| (answer.status, answer.seal)).map_err(|error| error.to_string())
}

/// MIXED: successes whose seal is not one that an instance gave to that request.
fn count_mixed(deployment: &Deployment) -> usize {
    let runs = lock(&deployment.site.runs);
    let mut seals: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for run in runs.iter() {
        seals.entry(&run.id).or_default().insert(&run.seal);
    }
    let mut breaks = 0;
    for Seen { id, outcome, .. } in lock(&deployment.seen).iter() {
        let Ok((200, seal)) = outcome else { continue };
        let is_own = seal
            .as_deref()
            .is_some_and(|seal| seals.get(id.as_str()).is_some_and(|seals| seals.contains(seal)));
        if !is_own {
            deployment.site.record.line(&format!(
                "MIXED: {id} was answered with the seal {seal:?} of another answer"
            ));
            breaks += 1;
        }
    }
    breaks
}

/// TWICE: unsafe requests that ran more than once. REFUSED: those that ran and were answered 429, 503, 408 or 421.
fn count_twice(deployment: &Deployment) -> usize {
    let runs = lock(&deployment.site.runs);
    let mut by_id: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in runs.iter() {
        by_id.entry(&run.id).or_default().push(&run.instance);
    }
    let mut breaks = 0;
    for Seen { id, outcome, .. } in lock(&deployment.seen).iter().filter(|seen| seen.is_unsafe) {
        let ran_at = by_id.get(id.as_str()).cloned().unwrap_or_default();
        if ran_at.len() > 1 {
            deployment.site.record.line(&format!("TWICE: {id} ran at {}", ran_at.join(" and ")));
            breaks += 1;
        }
        if matches!(outcome, Ok((408 | 421 | 429 | 503, _))) && !ran_at.is_empty() {
            deployment
                .site
                .record
                .line(&format!("REFUSED: {id} was answered {outcome:?} and ran at {}", ran_at[0]));
            breaks += 1;
        }
    }
    breaks
}
