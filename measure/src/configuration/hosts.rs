//! Hosts in one process, over loopback, behind relays that count bytes.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use {
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        runtime, time,
    },
    toucanhoist::{
        host::{
            Host,
            fleet::{self, Outcome, Proposal},
        },
        settings::{Advertise, Listen, Log, Machine, Platform, Settings},
    },
    toucanhoist_core::{
        fleet::{Account, Fleet},
        id,
        key::Digest,
        unit::{Rate, Span},
    },
    toucanhoist_fakes::platform::Faulty,
    toucanhoist_store::{ListedHost, ListedState, Platform as _, Transaction},
};

use super::Propagation;

const CHANGES: u64 = 20;
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const BUFFER_BYTES: usize = 16 * 1_024;

/// Running hosts, and the bytes that they have exchanged.
pub(crate) struct Cluster {
    pub hosts: Vec<Host>,
    pub bytes: Arc<AtomicU64>,
}

/// Measures the propagation of changes between hosts.
pub(super) fn measure_changes(
    hosts: usize,
    data_centres: usize,
    seed: u64,
) -> Result<Propagation, io::Error> {
    let runtime = runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    runtime.block_on(async {
        let cluster = spawn(hosts, data_centres).await?;
        let (mut p99s, mut last) = (Vec::new(), 0.0_f64);
        for base in 1..=CHANGES {
            let writer = usize::try_from((base + seed) % 8).unwrap_or(0) % hosts;
            let started = Instant::now();
            let change = Proposal {
                base: base.into(),
                change: u128::from(base + 1).into(),
                author: "operator".into(),
                reason: "measured".into(),
                confirm: Vec::new(),
                fleet: document(base + 1),
            };
            match cluster.hosts[writer].fleet().change(change).await {
                Outcome::Accepted(_) => {}
                outcome => return Err(io::Error::other(format!("{outcome:?}"))),
            }
            let mut times = Vec::new();
            for host in &cluster.hosts {
                wait_for(host, (base + 1).into()).await?;
                times.push(started.elapsed().as_secs_f64());
            }
            times.sort_by(f64::total_cmp);
            p99s.push(times[(hosts * 99).div_ceil(100) - 1]);
            last = last.max(times[hosts - 1]);
        }
        p99s.sort_by(f64::total_cmp);
        let p99_s = p99s[p99s.len() / 2];
        Ok(Propagation { p99_s, last_s: last, bytes_per_s: f64::NAN, reads_per_s: f64::NAN })
    })
}

async fn wait_for(host: &Host, revision: id::Revision) -> io::Result<()> {
    let polling = async {
        while host.fleet().catalog().revision() < revision {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(READY_TIMEOUT, polling).await.map_err(io::Error::other)
}

fn document(accounts: u64) -> Fleet {
    let account = |number: u64| Account {
        name: format!("account-{number}").parse().expect("valid name"),
        rate: Rate::per_second(100.0),
        burst: 100,
        weight: 1,
    };
    Fleet { accounts: (0..accounts).map(account).collect(), ..Fleet::default() }
}

/// Starts hosts and waits until all know each other.
pub(crate) async fn spawn(count: usize, data_centres: usize) -> io::Result<Cluster> {
    let platform = Arc::new(Faulty::new());
    let change = fleet::Change {
        revision: 1.into(),
        change: 1.into(),
        author: "operator".into(),
        reason: "start".into(),
        fleet: document(1),
    };
    let transaction = Transaction { checks: Vec::new(), writes: fleet::writes(&change) };
    platform.transact(transaction).await.map_err(io::Error::other)?;
    let bytes = Arc::new(AtomicU64::new(0));
    let (mut hosts, mut listed) = (Vec::new(), Vec::new());
    for number in 0..count {
        let relay = TcpListener::bind("127.0.0.1:0").await?;
        let address = relay.local_addr()?;
        let settings = settings(number, data_centres, address);
        listed.push(ListedHost {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            peers: address,
            callers: "http://callers".into(),
            state: ListedState::Live,
        });
        let host = Host::spawn(settings, Arc::clone(&platform) as Arc<_>).await?;
        tokio::spawn(relay_connections(relay, host.addresses().peers, Arc::clone(&bytes)));
        hosts.push(host);
    }
    platform.memory().set_hosts(listed);
    for host in &hosts {
        let ready = host.wait_until_ready(count);
        time::timeout(READY_TIMEOUT, ready).await.map_err(io::Error::other)?;
    }
    Ok(Cluster { hosts, bytes })
}

fn settings(number: usize, data_centres: usize, peers: SocketAddr) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: format!("entry-{number}").parse().expect("valid name"),
        data_centre: format!("dc-{}", number % data_centres).parse().expect("valid name"),
        listen: Listen { callers: any_port, operators: any_port, peers: any_port },
        advertise: Advertise { callers: None, peers: Some(peers) },
        platform: Platform { address: any_port, timeout: Span::from_millis(1_000) },
        peers: Vec::new(),
        fleet_secrets: vec!["secret-for-measurements".into()],
        tls: None,
        operator_token_sha256: Digest::of(b"token"),
        log: Log::default(),
        machine: Machine::default(),
    }
}

async fn relay_connections(listener: TcpListener, to: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(to).await else { continue };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        tokio::spawn(copy(near_in, far_out, Arc::clone(&bytes)));
        tokio::spawn(copy(far_in, near_out, Arc::clone(&bytes)));
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bytes: Arc<AtomicU64>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        bytes.fetch_add(u64::try_from(read).unwrap_or(0), Ordering::Relaxed);
        to.write_all(&buffer[..read]).await?;
    }
}
