//! Hosts that lose their paths to targets which other hosts still reach.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use {
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time,
    },
    toucanhoist_core::steering::{Key, Value},
    toucanhoist_edge::{host::Edge, settings::Settings},
    toucanhoist_fakes::link::Links,
};

use crate::support::{
    Behaviour, FakeTarget, KEY, Memory, config, entry, get, header, name, put_config, read,
    request, settings, spawn, status, wait_until_ready,
};

/// Time after the start of a cut from which callers must be served: the users' bound.
const GRACE: Duration = Duration::from_secs(3);
/// Requests that are counted at each host.
const REQUESTS: usize = 60;
/// Failures that are tolerated at a host that is cut off: the users' bound.
const FAILED_MAX: usize = 10 + REQUESTS / 50;

struct Site {
    hosts: Vec<Edge>,
    targets: Vec<FakeTarget>,
    store: Arc<Memory>,
}

/// Returns the address from which a host connects to targets.
fn source(host: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 7, u8::try_from(host + 1).expect("a small number"))
}

impl Site {
    /// Spawns hosts and targets, and has each host send to the targets.
    async fn spawn(hosts: usize, targets: usize) -> Site {
        let store = Memory::new();
        put_config(&store, config(1));
        let mut site = Site { hosts: Vec::new(), targets: Vec::new(), store };
        for number in 0..targets {
            let target = FakeTarget::spawn(Behaviour::Answer).await;
            let value = Value::Target(entry(target.address));
            site.store.put(Key::Target(name(&format!("t{number}"))), Some(value));
            site.targets.push(target);
        }
        for number in 0..hosts {
            let seeds = site.hosts.first().map(|host| host.addresses().peers);
            let own = settings(&format!("h{number}"), seeds.into_iter().collect());
            let own = Settings { connect_from: Some(source(number).into()), ..own };
            site.hosts.push(spawn(own, &site.store).await);
        }
        // Without targets, requests wait for one that a test adds.
        for host in site.hosts.iter().filter(|_| targets > 0) {
            wait_until_ready(host).await;
            assert_eq!(site.send(host, "warm").await.0, REQUESTS);
        }
        site
    }

    fn set_cut(&self, host: usize, is_cut: bool) {
        for target in &self.targets {
            target.links.set_cut(source(host), is_cut).expect("a filter");
        }
    }

    /// Sends requests to a host, half of which must not run twice; returns how many were served,
    /// and the answers of the others.
    async fn send(&self, host: &Edge, label: &str) -> (usize, Vec<String>) {
        let address = host.addresses().callers;
        let mut requests = JoinSet::new();
        for number in 0..REQUESTS {
            let path = format!("/{}/{number}", ["safe", "once"][number % 2]);
            let id = format!("{label}-{address}-{number}");
            requests.spawn(async move { get(address, &path, &id).await });
            time::sleep(Duration::from_millis(20)).await;
        }
        let answers = requests.join_all().await;
        let failed = answers.iter().filter(|(status, ..)| *status != 200);
        let failed: Vec<String> = failed.map(|(_, head, body)| format!("{head}{body}")).collect();
        (answers.len() - failed.len(), failed)
    }

    /// Checks that no target ran a request twice that must not run twice.
    fn assert_at_most_once(&self) {
        let mut seen = HashSet::new();
        for target in &self.targets {
            for request in target.requests.lock().expect("no panic").iter() {
                if request.starts_with("GET /once/") {
                    let id = header(request, "toucanhoist-request-id").expect("an id");
                    assert!(seen.insert(id.clone()), "{id} reached targets twice");
                }
            }
        }
    }
}

#[tokio::test]
async fn callers_are_served_at_a_host_that_is_cut_off_from_all_targets() {
    let site = Site::spawn(3, 4).await;
    site.set_cut(0, true);
    time::sleep(GRACE).await;
    let (served, failed) = site.send(&site.hosts[0], "cut").await;
    assert!(failed.len() <= FAILED_MAX, "{served} served, others: {}", failed.join("\n"));
    site.assert_at_most_once();
}

#[tokio::test]
async fn callers_are_served_while_some_targets_are_out_of_reach() {
    let site = Site::spawn(2, 4).await;
    for target in &site.targets[..2] {
        target.links.set_cut(source(0), true).expect("a filter");
    }
    time::sleep(GRACE).await;
    let (served, failed) = site.send(&site.hosts[0], "cut").await;
    assert!(failed.is_empty(), "{served} served, others: {}", failed.join("\n"));
    site.assert_at_most_once();
}

#[tokio::test]
async fn requests_are_refused_as_not_run_while_no_host_has_a_path() {
    let site = Site::spawn(2, 4).await;
    (0..2).for_each(|host| site.set_cut(host, true));
    time::sleep(GRACE).await;
    let before: usize = site.targets.iter().map(FakeTarget::request_count).sum();
    let (served, failed) = site.send(&site.hosts[0], "cut").await;
    assert_eq!(served, 0);
    let refused = failed.iter().filter(|answer| {
        answer.starts_with("HTTP/1.1 503")
            && answer.contains("not-run")
            && header(answer, "retry-after").is_some()
    });
    assert_eq!(refused.count(), REQUESTS, "{}", failed.join("\n"));
    assert_eq!(site.targets.iter().map(FakeTarget::request_count).sum::<usize>(), before);
    // Paths are used again after the cut.
    (0..2).for_each(|host| site.set_cut(host, false));
    time::sleep(GRACE).await;
    let (served, failed) = site.send(&site.hosts[0], "after").await;
    assert_eq!(served, REQUESTS, "{}", failed.join("\n"));
}

/// Asks a host for a tunnel; returns the status and the stated reason.
async fn ask_for_tunnel(peers: SocketAddr, address: &str, target: &str) -> (u16, Option<String>) {
    let ask = format!(
        "CONNECT {address} HTTP/1.1\r\nhost: {address}\r\ntoucanhoist-target: {target}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(peers).await.expect("a connection");
    stream.write_all(ask.as_bytes()).await.expect("a request");
    let (head, _) = read(&mut stream).await.expect("an answer");
    (status(&head), header(&head, "toucanhoist-tunnel"))
}

#[tokio::test]
async fn a_host_carries_tunnels_to_registered_targets_only() {
    let site = Site::spawn(1, 2).await;
    let [first, second] = [0, 1].map(|index: usize| site.targets[index].address.to_string());
    let (peers, own) = (site.hosts[0].addresses().peers, site.hosts[0].addresses().callers);
    let own = own.to_string();
    for (address, target, expected) in [
        (&*first, "t0", (200, None)),
        (&*second, "t0", (503, Some("no-path"))),
        (&*first, "t9", (503, Some("no-path"))),
        (&*own, "t0", (503, Some("no-path"))),
        ("not-an-address:80", "t0", (503, Some("no-path"))),
    ] {
        let (status, reason) = ask_for_tunnel(peers, address, target).await;
        assert_eq!((status, reason.as_deref()), expected, "{address} {target}");
    }
}

#[tokio::test]
async fn a_host_that_is_cut_off_or_shuts_down_carries_no_tunnels() {
    let mut site = Site::spawn(2, 4).await;
    let address = site.targets[0].address.to_string();
    site.set_cut(0, true);
    time::sleep(GRACE).await;
    let (_, _) = site.send(&site.hosts[0], "cut").await;
    let peers = site.hosts[0].addresses().peers;
    let refused = (503, Some("no-helper".to_owned()));
    assert_eq!(ask_for_tunnel(peers, &address, "t0").await, refused);
    let leaving = site.hosts.pop().expect("a host");
    let peers = leaving.addresses().peers;
    let ended = tokio::spawn(leaving.shutdown());
    while ask_for_tunnel(peers, &address, "t0").await != refused {
        time::sleep(Duration::from_millis(20)).await;
    }
    ended.await.expect("a graceful end");
}

/// Spawns hosts, and one target that is a listener of the test, which the first host cannot reach.
async fn site_with_listener(hosts: usize) -> (Site, TcpListener, Links) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let links = Links::new(&listener).expect("links");
    links.set_cut(source(0), true).expect("a filter");
    let site = Site::spawn(hosts, 0).await;
    let address = listener.local_addr().expect("an address");
    site.store.put(Key::Target(name("t0")), Some(Value::Target(entry(address))));
    for host in &site.hosts {
        // A host that knows the target either reaches it or fails to.
        let is_unknown = || async {
            let answer = ask_for_tunnel(host.addresses().peers, &address.to_string(), "t0").await;
            answer.1.as_deref() == Some("no-path")
        };
        while is_unknown().await {
            time::sleep(Duration::from_millis(20)).await;
        }
    }
    (site, listener, links)
}

/// Accepts connections until one carries a request; returns it with the request's identifier.
async fn accept_request(listener: &TcpListener) -> (TcpStream, String) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        // A probe connects and sends nothing.
        let request = time::timeout(Duration::from_millis(500), read(&mut stream)).await;
        if let Ok(Some((head, _))) = request {
            return (stream, header(&head, "toucanhoist-request-id").expect("an id"));
        }
    }
}

#[tokio::test]
async fn the_end_of_a_caller_ends_its_exchange_through_a_tunnel() {
    let (site, listener, _links) = site_with_listener(2).await;
    let text = request("GET", "/safe/a", "r-1", Some(KEY), "");
    let mut caller =
        TcpStream::connect(site.hosts[0].addresses().callers).await.expect("a connection");
    caller.write_all(text.as_bytes()).await.expect("a request");
    let (mut stream, id) = accept_request(&listener).await;
    assert_eq!(id, "r-1");
    drop(caller);
    // The target sees the end of its connection.
    assert!(read(&mut stream).await.is_none());
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_not_trusted_through_a_tunnel() {
    let (site, listener, _links) = site_with_listener(2).await;
    let address = site.hosts[0].addresses().callers;
    let caller = tokio::spawn(async move { get(address, "/once/a", "r-1").await });
    let (mut stream, _) = accept_request(&listener).await;
    let answer = "HTTP/1.1 200 OK\r\ntoucanhoist-request-id: r-1\r\n\r\npart";
    stream.write_all(answer.as_bytes()).await.expect("an answer");
    drop(stream);
    let (status, head, body) = caller.await.expect("an answer");
    assert_eq!(status, 502, "{head}{body}");
    assert!(body.contains("may-have-run"), "{body}");
}

#[tokio::test]
async fn a_request_that_was_never_sent_is_refused_as_not_run_at_its_deadline() {
    let (site, _listener, _links) = site_with_listener(1).await;
    // The route's time-out is shorter than an attempt to connect.
    let (status, head, body) = get(site.hosts[0].addresses().callers, "/short/a", "r-1").await;
    assert_eq!(status, 503, "{head}{body}");
    assert!(body.contains("not-run"), "{body}");
    assert!(header(&head, "retry-after").is_some(), "{head}");
}
