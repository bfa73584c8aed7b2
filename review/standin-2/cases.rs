//! The cases.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::{Client, KEYS},
    host::{Host, Place, Plan},
    instance::{Instance, Manner},
    record::Record,
    store::Store,
};

/// Deadline of requests, as that of `calib-submit`.
const DEADLINE: Duration = Duration::from_secs(6);

/// Requests that the instance runs at the same time.
const SLOTS: usize = 16;

/// A small deployment: a store, a host and an instance.
pub struct Stage {
    pub host: Host,
    place: Place,
    instance: Instance,
    store: Store,
    folder: PathBuf,
    record: Record,
}

/// Result of a case: what broke the rule, if anything did.
type Outcome = Result<Option<String>, String>;

impl Stage {
    /// Starts the deployment, and waits until a request is answered.
    pub fn start(folder: &Path, place: Place, record: &Record) -> Result<Stage, String> {
        let store = Store::serve();
        store.put("op", "config", &configuration(7, &[tenant("cuka620", &KEYS)]));
        let manner = Manner::default();
        let instance = Instance::start("i-7f3a91c2", "wuno96b", SLOTS, place.zone, manner, &store, record);
        let name = format!("front-{}-1", place.zone);
        let plan = Plan { name, place, first_start: true, seed: None, store: store.address };
        let host = Host::start(folder, &plan, record)?;
        let (folder, record) = (folder.to_owned(), record.clone());
        let stage = Stage { host, place, instance, store, folder, record };
        stage.wait_until_served()?;
        Ok(stage)
    }

    fn wait_until_served(&self) -> Result<(), String> {
        for number in 0..100 {
            if self.exchange(&format!("warm{number}")) == Some(200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("no request was answered with 200".into())
    }

    /// Sends a request on a new connection; returns the status of its answer.
    fn exchange(&self, id: &str) -> Option<u16> {
        let mut client = Client::connect(self.host.addresses.callers).ok()?;
        client.send("GET", id, DEADLINE, 0).ok()?;
        Some(client.answer(&|| {}).ok()?.status())
    }

    fn manner(&self, change: impl Fn(&mut Manner)) {
        let mut manner = Manner::default();
        change(&mut manner);
        self.instance.set_manner(manner);
    }

    fn other_instance(&self, service: &'static str, manner: Manner) -> Instance {
        let (zone, store) = (self.place.zone, &self.store);
        Instance::start("i-02d9e6b4", service, SLOTS, zone, manner, store, &self.record)
    }

    /// Starts a further host in a zone, which knows the first one.
    fn other_host(
        &self,
        zone: &'static str,
        number: u32,
        first_start: bool,
        store: SocketAddr,
    ) -> Result<Host, String> {
        let name = format!("front-{zone}-{number}");
        let seed = Some(self.host.addresses.peers);
        let place = Place { zone, ..self.place };
        let plan = Plan { name, place, first_start, seed, store };
        Host::start(&self.folder, &plan, &self.record)
    }

    fn has_begun(&self, request: &str) -> bool {
        let begun = self.instance.begun.lock().expect("no holder of the lock panics");
        begun.iter().any(|known| known == request)
    }

    fn connect(&self) -> Result<Client, String> {
        Client::connect(self.host.addresses.callers).map_err(|error| error.to_string())
    }
}

/// Plays a case.
pub fn play(case: &str, stage: &Stage, has_trouble: bool) -> Outcome {
    match case {
        "upload" => upload(stage, has_trouble),
        "pipeline" => pipeline(stage, has_trouble),
        "keepalive" => keepalive(stage, has_trouble),
        "part" => part(stage, has_trouble),
        "quota" => quota(stage, has_trouble),
        "tenant" => new_tenant(stage, has_trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// A tenant without a quota.
fn tenant(name: &str, keys: &[&str]) -> String {
    limited_tenant(name, keys, 0, 0)
}

/// A tenant with a quota.
fn limited_tenant(name: &str, keys: &[&str], rate: u32, burst: u32) -> String {
    let keys = keys.join(r#"",""#);
    format!(
        r#"{{"name":"{name}","apiKeys":["{keys}"],"priority":1,"ratePerS":{rate},"burst":{burst},"homeRegions":[]}}"#
    )
}

/// A configuration with a safe and an unsafe route, and the limits that `fleetbench wire` shows.
fn configuration(version: u32, tenants: &[String]) -> String {
    let route = |prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"r-{prefix}","prefix":"/{prefix}/","kind":"{kind}","timeoutS":6,"targetLatencyS":4,"priority":1,"service":"wuno96b","maxAttempts":2,"anonymous":false,"sessionAffinity":false,"homeRegions":[]}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConns":330,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":8.9}}"#
        )
    };
    format!(
        r#"{{"version":"{version:08x}","services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"tenants":[{}],"hosts":[{{"host":"jepu9.example","paths":[{},{}]}}]}}"#,
        service("wuno96b"),
        service("kafi81c"),
        tenants.join(","),
        route("leny950", "safe"),
        route("puka111", "unsafe")
    )
}

/// A machine is stopped while it answers uploads. The instance reads on later: it has begun to work, and
/// reads the rest of the body after a part of it.
fn upload(stage: &Stage, has_trouble: bool) -> Outcome {
    const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
    const WORK: Duration = Duration::from_millis(2_900);
    let first_bytes = has_trouble.then_some(64 * 1024);
    stage.manner(|manner| (manner.work, manner.first_bytes) = (WORK, first_bytes));
    let clients: Vec<JoinHandle<(String, String, bool)>> = (0..4)
        .map(|number| {
            let (address, record) = (stage.host.addresses.callers, stage.record.clone());
            thread::spawn(move || {
                let id = format!("upload{number}");
                let begun = Instant::now();
                let outcome = Client::connect(address).and_then(|mut client| {
                    client.send("POST", &id, DEADLINE, UPLOAD_BYTES)?;
                    client.answer(&|| {})
                });
                let is_answered = outcome.as_ref().is_ok_and(|m| m.header("x-server-seal").is_some());
                let seen = outcome.map_or_else(|e| e.to_string(), |m| m.status().to_string());
                let took = begun.elapsed().as_secs_f64();
                record.line(format!("client: {id} of {UPLOAD_BYTES} bytes: {seen} after {took:.3} s"));
                (id, seen, is_answered)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    stage.host.terminate();
    let seen: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    // The process is given its time to end.
    thread::sleep(Duration::from_millis(500));
    let broken: Vec<String> = seen
        .into_iter()
        .filter(|(id, _, is_answered)| !is_answered && stage.has_begun(id))
        .map(|(id, seen, _)| format!("{id}: {seen}"))
        .collect();
    Ok((!broken.is_empty()).then(|| format!("LOST: broken off while at work: {broken:?}")))
}

/// A machine is stopped while it sends an answer to a client that has sent further requests behind it.
fn pipeline(stage: &Stage, has_trouble: bool) -> Outcome {
    const ANSWER_BYTES: usize = 3 * 1024 * 1024;
    /// Pause after each piece that the client reads, which makes about 16 Mbit/s.
    const PAUSE: Duration = Duration::from_millis(32);
    stage.manner(|manner| {
        (manner.work, manner.answer_bytes) = (Duration::from_millis(700), ANSWER_BYTES);
    });
    let mut client = stage.connect()?;
    let send = |client: &mut Client, id: &str| {
        stage.record.line(format!("client: sends {id}"));
        client.send("GET", id, DEADLINE, 0).map_err(|error| error.to_string())
    };
    send(&mut client, "kept0")?;
    let first = client.answer(&|| {}).map_err(|error| error.to_string())?;
    stage.record.line(format!("client: kept0: {} with {} bytes", first.status(), first.body.len()));
    if has_trouble {
        stage.host.terminate();
    }
    thread::sleep(Duration::from_millis(100));
    send(&mut client, "behind1")?;
    for id in ["behind2", "behind3"] {
        thread::sleep(Duration::from_millis(100));
        send(&mut client, id)?;
    }
    let outcome = client.answer(&|| thread::sleep(PAUSE));
    let seen = match &outcome {
        Ok(answer) => format!("{} with {} bytes", answer.status(), answer.body.len()),
        Err(error) => format!("not complete: {error}"),
    };
    stage.record.line(format!("client: behind1: {seen}"));
    let is_whole = outcome.is_ok_and(|a| a.status() == 200 && a.body.len() == ANSWER_BYTES);
    let is_passed_on = stage.has_begun("behind1");
    Ok((!is_whole && is_passed_on).then(|| format!("LOST: the answer to behind1 is {seen}")))
}

/// The instance states a time-out of its idle connections that is longer than any clock runs.
fn keepalive(stage: &Stage, has_trouble: bool) -> Outcome {
    let mut client = stage.connect()?;
    let mut exchange = |id: &str| {
        let sent = client.send("POST", id, DEADLINE, 300);
        let outcome = sent.and_then(|()| client.answer(&|| {}));
        let is_answered = outcome.is_ok();
        let seen = outcome.map_or_else(|e| e.to_string(), |m| m.status().to_string());
        stage.record.line(format!("client: {id}: {seen}"));
        if !is_answered {
            client = stage.connect()?;
        }
        Ok::<_, String>(is_answered)
    };
    let mut lost = Vec::new();
    for number in 0..8 {
        stage.manner(|_| {});
        exchange(&format!("kept{number}"))?;
        if has_trouble {
            stage.manner(|manner| manner.keep_alive = "timeout=18446744073709551615");
        }
        let id = format!("next{number}");
        if !exchange(&id)? && stage.has_begun(&id) {
            lost.push(id);
        }
    }
    Ok((lost.len() > 3).then(|| {
        format!("LOST: {} requests passed on from kept connections got no answer: {lost:?}", lost.len())
    }))
}

/// Another writer keeps a row of its own in the table of the instances, in a part of its own. Its key is that
/// of an instance of another service.
fn part(stage: &Stage, has_trouble: bool) -> Outcome {
    let sound = Manner { work: Duration::from_millis(20), ..Manner::default() };
    let other = stage.other_instance("kafi81c", sound);
    stage.manner(|manner| *manner = sound);
    let address = other.address;
    let row = format!(
        r#"{{"address":"{address}","info":{{"service":"wuno96b","version":"lab","zone":"bern-a","slots":16}},"status":{{"state":"ready","seq":1,"coldLeftS":0}},"born":{}}}"#,
        other.born
    );
    // The row is written about half way between two renewals of the entry.
    thread::sleep(Duration::from_millis(2_600));
    let mut client = stage.connect()?;
    for number in 0..200 {
        if number == 50 && has_trouble {
            stage.record.line("another writer: puts servers/i-02d9e6b4 in the part lab");
            stage.store.put_in("servers", "lab", "i-02d9e6b4", &row);
        }
        let id = format!("order{number}");
        let sent = client.send("POST", &id, DEADLINE, 300);
        let outcome = sent.and_then(|()| client.answer(&|| {}));
        let seen = outcome.as_ref().map_or_else(|e| e.to_string(), |answer| {
            let seal = answer.header("x-server-seal").unwrap_or("no seal");
            format!("{}, {seal}", answer.status())
        });
        stage.record.line(format!("client: {id}: {seen}"));
        if outcome.is_err() {
            client = stage.connect()?;
        }
    }
    let run = other.begun.lock().expect("no holder of the lock panics").clone();
    Ok((!run.is_empty()).then(|| {
        format!("ROUTE: {} requests to service wuno96b were run by service kafi81c: {run:?}", run.len())
    }))
}

/// A new configuration withdraws a key and adds a tenant, whose name has capital letters.
fn new_tenant(stage: &Stage, has_trouble: bool) -> Outcome {
    /// Time in which a configuration must be in force (`configApplyS`), and half a second.
    const APPLIED: Duration = Duration::from_secs(3);
    const NEW_KEY: &str = "w7qk2m9xvh4tzc8rb3np";
    let [withdrawn, kept] = KEYS;
    let mut clients = Vec::new();
    for key in [withdrawn, kept, NEW_KEY] {
        let mut client = stage.connect()?;
        client.key = key;
        clients.push(client);
    }
    let name = if has_trouble { "Beratung-Chur" } else { "beratung-chur" };
    let mut wrong = Vec::new();
    for version in [7, 8] {
        if version == 8 {
            let tenants = [tenant("cuka620", &[kept]), tenant(name, &[NEW_KEY])];
            stage.store.put("op", "config", &configuration(version, &tenants));
            stage.record.line(format!("operator: version 00000008 withdraws {withdrawn} and adds tenant {name}"));
            thread::sleep(APPLIED);
        }
        let allowed = if version == 7 { [true, true, false] } else { [false, true, true] };
        for number in 0..10 {
            for (client, allowed) in clients.iter_mut().zip(allowed) {
                let id = format!("v{version}-{number}-{}", client.key);
                client.send("POST", &id, DEADLINE, 300).map_err(|error| error.to_string())?;
                let answer = client.answer(&|| {}).map_err(|error| error.to_string())?;
                stage.record.line(format!("client: {id}: {}", answer.status()));
                let expected = if allowed { 200 } else { 401 };
                if answer.status() != expected || stage.has_begun(&id) != allowed {
                    wrong.push(format!("{id}: {}", answer.status()));
                }
            }
        }
    }
    Ok((!wrong.is_empty()).then(|| {
        format!("CONFIG: {} requests were handled as only the older version allows: {wrong:?}", wrong.len())
    }))
}

/// Machines are added in three of six zones, and the store turns them away for a while. One tenant sends more
/// than its quota to all machines.
fn quota(stage: &Stage, has_trouble: bool) -> Outcome {
    const TENANT: &str = "dile407";
    const KEY: &str = "key-of-dile407-3w9x";
    const RATE: u32 = 147;
    const BURST: u32 = 147;
    /// `quotaWindowS`, `quotaOvershoot` and `quotaSlack`.
    const WINDOW: Duration = Duration::from_secs(5);
    const OVERSHOOT: f64 = 0.1;
    const SLACK: f64 = 20.0;
    /// Clients of the tenant at each machine, and the pause of each after an answer.
    const CLIENTS: usize = 4;
    const PAUSE: Duration = Duration::from_millis(50);
    const LOAD: Duration = Duration::from_millis(6_000);
    const ADDED: [&str; 3] = ["valpo-b", "conce-a", "conce-b"];
    const INSTANCES: [&str; 5] = ["i-00000001", "i-00000002", "i-00000003", "i-00000004", "i-00000005"];
    let quick = Manner { work: Duration::from_millis(2), ..Manner::default() };
    stage.manner(|manner| *manner = quick);
    let (mut hosts, mut instances) = (vec![stage.host.clone()], vec![stage.instance.clone()]);
    for ((zone, _), id) in stage.place.regions[1..].iter().zip(INSTANCES) {
        let (store, record) = (&stage.store, &stage.record);
        instances.push(Instance::start(id, "wuno96b", SLOTS, zone, quick, store, record));
        hosts.push(stage.other_host(zone, 1, true, store.address)?);
    }
    let tenants = [limited_tenant(TENANT, &[KEY], RATE, BURST)];
    stage.store.put("op", "config", &configuration(8, &tenants));
    thread::sleep(Duration::from_secs(4));
    let is_refused = Arc::new(AtomicBool::new(has_trouble));
    let refused_since = Instant::now();
    let store = stage.store.serve_some(&is_refused);
    for zone in ADDED {
        hosts.push(stage.other_host(zone, 2, false, store)?);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for host in &hosts {
        let address = host.addresses.callers;
        for number in 0..CLIENTS {
            let is_over = is_over.clone();
            clients.push(thread::spawn(move || {
                let mut seen = [0, 0];
                let Ok(mut client) = Client::connect(address) else { return seen };
                client.key = KEY;
                for count in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("{TENANT}-{}-{number}-{count}", address.port());
                    let sent = client.send("GET", &id, DEADLINE, 0);
                    let Ok(answer) = sent.and_then(|()| client.answer(&|| {})) else { break };
                    seen[usize::from(answer.status() != 200)] += 1;
                    thread::sleep(PAUSE);
                }
                seen
            }));
        }
    }
    thread::sleep(LOAD);
    is_over.store(true, Ordering::SeqCst);
    let refused_s = refused_since.elapsed().as_secs_f64();
    is_refused.store(false, Ordering::SeqCst);
    let seen: Vec<[u32; 2]> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let [answered, others] = [0, 1].map(|kind| seen.iter().map(|seen| seen[kind]).sum::<u32>());
    stage.record.line(format!("clients: {answered} answers with 200, {others} others"));
    if has_trouble {
        stage.record.line(format!("store: turned the added machines away for {refused_s:.1} s"));
    }
    let mut begun: Vec<Instant> = Vec::new();
    for instance in &instances {
        let times = instance.times.lock().expect("no holder of the lock panics");
        begun.extend(times.iter().filter(|(id, _)| id.starts_with(TENANT)).map(|(_, at)| *at));
    }
    let in_window = |from: &Instant| {
        begun.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count()
    };
    let most = begun.iter().map(in_window).max().unwrap_or(0);
    let limit =
        (f64::from(RATE) * WINDOW.as_secs_f64() + f64::from(BURST)) * (1.0 + OVERSHOOT) + SLACK;
    let summary = format!("{most} requests of {TENANT} run in {WINDOW:?}, {limit:.0} allowed");
    stage.record.line(&summary);
    Ok((most as f64 > limit).then(|| format!("QUOTA: {summary}")))
}
