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
        steering::{EntryHost, Topic},
    },
    toucanhoist_store::socket,
    toucanhoist_wire::steering::packet,
};

use crate::{
    clock::{self, Clock},
    dialect::Dialect,
    directory, fleet,
    gateway::{self, Phase, Shared},
    journal::Journal,
    peers,
    settings::Settings,
    steer,
    store::{self, Store},
    target,
};

/// Time in which callers on open connections are told to go elsewhere, and new ones still served:
/// a directory's answer holds that long.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_300);
/// Part of the grace after which the process ends, whatever runs.
const GRACE_PART: f64 = 0.94;
/// Ports that are tried, where the system chooses them.
const PORT_TRIES: u32 = 16;
/// News of the store that wait to be taken in.
const NEWS_MAX: usize = 16;

/// A running entry host.
#[derive(Debug)]
pub struct Edge {
    shared: Arc<Shared>,
    addresses: Addresses,
    phase: watch::Sender<Phase>,
    gateway: JoinHandle<()>,
    file: Option<PathBuf>,
}

/// Addresses that a host is bound to.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For checks of its readiness.
    pub readiness: SocketAddr,
    /// For callers that ask which hosts to use.
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
        let (steer, decisions) = steer::Handle::new();
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
        );
        tokio::spawn(task.run(decisions));
        tokio::spawn(receive(listeners.datagrams.clone(), fleet.clone(), steer.clone()));
        tokio::spawn(peers::serve(listeners.peers, fleet.clone()));
        follow(&store, &settings, &fleet, started);
        let dialect = Arc::new(dialect);
        let shared = Arc::new(Shared {
            targets: target::Pool::new(Arc::clone(&dialect)),
            settings,
            dialect,
            fleet,
            steer,
            clock,
            journal,
            phase: phase_read,
        });
        tokio::spawn(directory::serve(listeners.directory, Arc::clone(&shared)));
        tokio::spawn(directory::serve_readiness(listeners.readiness, Arc::clone(&shared)));
        tokio::spawn(directory::serve_metrics(listeners.metrics));
        let gateway = tokio::spawn(gateway::serve(listeners.callers, Arc::clone(&shared)));
        shared.journal.note(
            Event::Started,
            &[
                ("data_centre", &shared.settings.data_centre),
                ("callers", &addresses.callers),
                ("peers", &addresses.peers),
                ("first_start", &shared.settings.first_start),
            ],
        );
        Ok(Edge { shared, addresses, phase, gateway, file: None })
    }

    /// Sets the file of settings that is read again on [`Edge::reload`].
    pub fn set_settings_file(&mut self, file: PathBuf) {
        self.file = Some(file);
    }

    /// Returns the addresses that the host is bound to.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns what the requests of the host share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Reads the settings again and notes what changed. Requests under way are not touched; what
    /// differs comes into force with the next start.
    pub fn reload(&self) {
        let Some(file) = &self.file else { return };
        let change = match Settings::read(file) {
            Ok(fresh) if fresh == *self.shared.settings => "nothing changed".to_owned(),
            Ok(_) => "changes come into force with the next start".to_owned(),
            Err(error) => format!("the former settings stay in force: {error}"),
        };
        self.shared.journal.note(Event::Reloaded, &[("outcome", &change)]);
    }

    /// Shuts down gracefully: callers go elsewhere, what runs ends, connections close.
    pub async fn shutdown(self) {
        let begun = Instant::now();
        let journal = Arc::clone(&self.shared.journal);
        journal.note(Event::ShutdownBegun, &[]);
        self.phase.send_replace(Phase::Leaving);
        self.shared.fleet.leave().await;
        time::sleep(LEAVE_NOTICE).await;
        self.phase.send_replace(Phase::Closing);
        let end = begun + self.shared.settings.bounds.grace_s.mul_f64(GRACE_PART);
        let whole = time::timeout_at(end, self.gateway).await.is_ok();
        journal
            .note(Event::Stopped, &[("whole", &whole), ("millis", &begun.elapsed().as_millis())]);
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
    /// Binds the listeners; ports that the system chose go into the settings.
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

/// Binds datagrams and connections for other hosts at one address.
async fn bind_peers(address: SocketAddr) -> io::Result<(peers::Sender, TcpListener)> {
    let mut tries = 1;
    loop {
        let datagrams = peers::Sender::bind(address).await?;
        match socket::bind(datagrams.local_addr()?).await {
            Ok(connections) => return Ok((datagrams, connections)),
            // A port that the system chose for datagrams may be taken for connections.
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

/// Hands datagrams to the tasks that they are for.
async fn receive(datagrams: peers::Sender, fleet: fleet::Handle, steer: steer::Handle) {
    datagrams
        .receive(move |from, body| match body {
            packet::Body::Membership(message) => match message.try_into() {
                Ok(message) => fleet.deliver(fleet::Input::Detector(message)),
                Err(_) => {
                    metrics::counter!("toucanhoist_datagrams_malformed_total").increment(1);
                    true
                }
            },
            packet::Body::Reach(reach) => fleet.deliver(fleet::Input::Reach(from, reach)),
            packet::Body::Changes(changes) => fleet.deliver(fleet::Input::Changes(changes)),
            body => {
                steer.tell(steer::Input::Packet(from, body));
                true
            }
        })
        .await;
}

/// Registers the host and follows all topics of the store.
fn follow(store: &Arc<dyn Store>, settings: &Settings, fleet: &fleet::Handle, epoch: u64) {
    let own = EntryHost {
        data_centre: settings.data_centre.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        epoch,
        capacity: settings.machine.capacity(),
    };
    tokio::spawn(store::register(Arc::clone(store), settings.name.clone(), own, fleet.era()));
    let (news, heard) = mpsc::channel(NEWS_MAX);
    for topic in Topic::ALL {
        tokio::spawn(store::follow(Arc::clone(store), topic, fleet.order(), news.clone()));
    }
    tokio::spawn(fleet.clone().feed(heard));
}
