//! A running entry host.

use std::{io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use {
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinHandle,
        time::{self, Instant},
    },
    toucanhoist_core::{
        event::Event,
        membership::Incarnation,
        memory::Budget,
        steering::{EntryHost, Topic},
    },
    toucanhoist_store::socket,
    toucanhoist_wire::steering::packet,
};

use crate::{
    clock::{self, Clock},
    connections::Port,
    dialect::Dialect,
    directory, fleet,
    gateway::{self, Phase, Shared},
    journal::Journal,
    peers::{self, Tunnels},
    settings::Settings,
    steer,
    store::{self, Store},
    target,
};

/// Time for which a host that leaves still accepts connections, and closes each with its next answer; a little
/// longer than callers cache an answer of the directory.
const LEAVE_TIME: Duration = Duration::from_millis(2_300);
/// Fraction of the grace time after which the process ends, even if requests are running.
const GRACE_FRACTION: f64 = 0.94;
/// Attempts to find a port that is free for both UDP and TCP.
const PORT_TRIES: u32 = 16;
/// Capacity of the queue of notifications from the store.
const STORE_NOTIFICATIONS_MAX: usize = 16;

/// A running entry host.
#[derive(Debug)]
pub struct Edge {
    shared: Arc<Shared>,
    addresses: Addresses,
    phase: watch::Sender<Phase>,
    gateway: JoinHandle<()>,
    tunnels: Tunnels,
    settings_file: Option<PathBuf>,
}

/// Addresses that a host is bound to.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For the directory.
    pub directory: SocketAddr,
    /// For other entry hosts.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

impl Edge {
    /// Binds the listeners of a host and spawns its tasks.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn spawn(
        mut settings: Settings,
        dialect: Dialect,
        store: Arc<dyn Store>,
    ) -> io::Result<Edge> {
        let listeners = Listeners::bind(&mut settings).await?;
        let addresses = listeners.addresses;
        let settings = Arc::new(settings);
        let journal = Arc::new(Journal::spawn(&settings.name));
        let clock = Clock::start();
        let started = clock::unix_ms();
        let (steer, steer_inputs) = steer::Handle::new();
        let dialect = Arc::new(dialect);
        let allotment = settings.machine.allotment();
        let memory = Budget::new(allotment.held);
        let targets = target::Pool::new(
            Arc::clone(&dialect),
            settings.connect_from,
            steer.clone(),
            Arc::clone(&memory),
            allotment.targets,
        );
        let (phase, phase_read) = watch::channel(Phase::Serving);
        let fleet = fleet::spawn(fleet::Parts {
            settings: Arc::clone(&settings),
            journal: Arc::clone(&journal),
            clock,
            peers: listeners.datagrams.clone(),
            callers: addresses.callers,
            incarnation: Incarnation::of_process(started),
            steer: steer.clone(),
        });
        let task = steer::Task::new(
            &settings,
            clock,
            Arc::clone(&journal),
            listeners.datagrams.clone(),
            steer.clone(),
            targets.clone(),
        );
        tokio::spawn(task.run(steer_inputs));
        tokio::spawn(receive(listeners.datagrams.clone(), fleet.clone(), steer.clone()));
        follow(&store, &settings, &fleet, started);
        let tunnels =
            Tunnels::new(targets.clone(), steer.clone(), phase_read.clone(), allotment.tunnels);
        tokio::spawn(peers::serve(
            listeners.peers,
            Port::new("peers", allotment.peers),
            Arc::clone(&journal),
            peers::Snapshots::new(fleet.clone(), allotment.snapshots),
            tunnels.clone(),
        ));
        let shared = Arc::new(Shared {
            targets,
            memory,
            settings,
            dialect,
            fleet,
            steer,
            clock,
            journal,
            phase: phase_read,
        });
        let port = Port::new("directory", allotment.directory);
        tokio::spawn(directory::serve(listeners.directory, port, Arc::clone(&shared)));
        let port = Port::new("readiness", allotment.checks);
        tokio::spawn(directory::serve_readiness(listeners.readiness, port, Arc::clone(&shared)));
        let port = Port::new("metrics", allotment.checks);
        let journal = Arc::clone(&shared.journal);
        tokio::spawn(directory::serve_metrics(listeners.metrics, port, journal));
        let port = Port::for_callers(&allotment, &shared.memory);
        let gateway = tokio::spawn(gateway::serve(listeners.callers, port, Arc::clone(&shared)));
        shared.journal.note(
            Event::Started,
            &[
                ("data_centre", &shared.settings.data_centre),
                ("callers", &addresses.callers),
                ("peers", &addresses.peers),
                ("first_start", &shared.settings.first_start),
            ],
        );
        Ok(Edge { shared, addresses, phase, gateway, tunnels, settings_file: None })
    }

    /// Sets the settings file that [`Edge::reload`] reads.
    pub fn set_settings_file(&mut self, file: PathBuf) {
        self.settings_file = Some(file);
    }

    /// Returns the addresses that the host is bound to.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the state that all requests of the host share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Reads the settings file again and logs whether it is valid and differs. Running requests are not
    /// affected; changes take effect at the next start.
    pub fn reload(&self) {
        let Some(file) = &self.settings_file else { return };
        let outcome = match Settings::read(file) {
            Ok(read) if read == *self.shared.settings => "the settings are unchanged".to_owned(),
            Ok(_) => "the settings have changed and take effect at the next start".to_owned(),
            Err(error) => format!(
                "the settings file cannot be used; the former settings stay in force: {error}"
            ),
        };
        self.shared.journal.note(Event::Reloaded, &[("outcome", &outcome)]);
    }

    /// Shuts down gracefully: redirects callers to other hosts, finishes running requests, and closes the
    /// connections.
    pub async fn shutdown(self) {
        let begun = Instant::now();
        let journal = Arc::clone(&self.shared.journal);
        journal.note(Event::ShutdownBegun, &[]);
        self.phase.send_replace(Phase::Leaving);
        self.shared.fleet.leave().await;
        time::sleep(LEAVE_TIME).await;
        self.phase.send_replace(Phase::Closing);
        let end = begun + self.shared.settings.bounds.grace_s.mul_f64(GRACE_FRACTION);
        let all_ended = async {
            // A panic of the task ends it as well.
            let _ = self.gateway.await;
            self.tunnels.ended().await;
        };
        let is_complete = time::timeout_at(end, all_ended).await.is_ok();
        journal.note(
            Event::Stopped,
            &[("whole", &is_complete), ("millis", &begun.elapsed().as_millis())],
        );
        journal.flush();
    }
}

/// Bound listeners of a host.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    peers: TcpListener,
    datagrams: peers::Sender,
    metrics: TcpListener,
    addresses: Addresses,
}

impl Listeners {
    /// Binds the listeners, and writes the ports that the system chose into the settings.
    async fn bind(settings: &mut Settings) -> io::Result<Listeners> {
        let listen = &mut settings.listen;
        let callers = socket::bind(listen.callers).await?;
        let readiness = socket::bind(listen.readiness).await?;
        let directory = socket::bind(listen.directory).await?;
        let (datagrams, peers) = bind_peers(listen.peers).await?;
        let metrics = socket::bind(listen.metrics).await?;
        let addresses = Addresses {
            callers: callers.local_addr()?,
            readiness: readiness.local_addr()?,
            directory: directory.local_addr()?,
            peers: peers.local_addr()?,
            metrics: metrics.local_addr()?,
        };
        listen.callers = addresses.callers;
        listen.peers = addresses.peers;
        Ok(Listeners { callers, readiness, directory, peers, datagrams, metrics, addresses })
    }
}

/// Binds a UDP and a TCP socket for other hosts to the same port.
async fn bind_peers(address: SocketAddr) -> io::Result<(peers::Sender, TcpListener)> {
    let mut tries = 1;
    loop {
        let datagrams = peers::Sender::bind(address).await?;
        match socket::bind(datagrams.local_addr()?).await {
            Ok(connections) => return Ok((datagrams, connections)),
            // The port that the system chose for UDP may be in use for TCP.
            Err(error) if address.port() == 0 && error.kind() == io::ErrorKind::AddrInUse => {
                tries += 1;
                if tries > PORT_TRIES {
                    return Err(error);
                }
            }
            Err(error) => return Err(error),
        }
    }
}

/// Dispatches received datagrams to the tasks that handle them.
async fn receive(datagrams: peers::Sender, fleet: fleet::Handle, steer: steer::Handle) {
    datagrams
        .receive(move |received| {
            let input = match &received.message {
                packet::Body::Membership(_) | packet::Body::Reach(_) | packet::Body::Changes(_) => {
                    fleet::Input::Packet(received)
                }
                _ => {
                    steer.send(steer::Input::Packet(received));
                    return true;
                }
            };
            fleet.deliver(input)
        })
        .await;
}

/// Spawns the tasks that register the host and follow each topic of the store.
fn follow(store: &Arc<dyn Store>, settings: &Settings, fleet: &fleet::Handle, epoch: u64) {
    let entry = EntryHost {
        data_centre: settings.data_centre.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        epoch,
        capacity: settings.machine.capacity(),
    };
    tokio::spawn(store::register(Arc::clone(store), settings.name.clone(), entry, fleet.era()));
    let (notifications, receiver) = mpsc::channel(STORE_NOTIFICATIONS_MAX);
    for topic in Topic::ALL {
        tokio::spawn(store::follow(
            Arc::clone(store),
            topic,
            fleet.subscription(),
            notifications.clone(),
        ));
    }
    tokio::spawn(fleet.clone().feed(receiver));
}
