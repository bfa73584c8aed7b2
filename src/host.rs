/*!
A running entry host.

A host consists of tasks that own their state and communicate by messages:

- [`gateway`] serves callers, [`operators`] serves operators, [`peers`] serves other entry hosts;
- [`fleet`] follows the configuration and the membership, and publishes the current
  [`Catalog`](toucanhoist_core::catalog::Catalog) and
  [`View`](toucanhoist_core::membership::View);
- [`accounts`] checks keys and enforces rates, [`room`] assigns the slots of targets,
  [`submissions`] records requests that may run only once;
- [`dispatch`] sends one request to a target, directly or through another host.
*/

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use {
    tokio::{sync::watch, time},
    toucanhoist_core::{event::Event, membership::Incarnation, memory::Budget},
    toucanhoist_edge::clock::unix_ms,
    toucanhoist_store::{Platform, socket},
};

pub use toucanhoist_edge::clock::Clock;

use crate::{journal::Journal, settings::Settings};

pub mod accounts;
pub mod dispatch;
pub mod exchange;
pub mod fleet;
pub mod gateway;
pub mod listener;
pub mod operators;
pub mod peers;
pub mod room;
pub mod submissions;
pub mod target;
mod tls;

/// Time for running requests to finish at a shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the outcomes of submissions to be written at a shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the start of a shutdown in which callers on open connections are still served, with
/// answers that close the connection.
const LEAVE_NOTICE: Duration = Duration::from_secs(1);

/// State that the tasks of a host share.
#[derive(Clone)]
pub struct Context {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Log of decisions.
    pub journal: Arc<Journal>,
    /// Clock of the process.
    pub clock: Clock,
    /// Incarnation of the process, which distinguishes it from earlier processes of the host.
    pub incarnation: Incarnation,
    /// Whether the host is shutting down.
    pub leaving: watch::Receiver<bool>,
    /// Memory for what callers send.
    pub memory: Arc<Budget>,
}

impl Context {
    /// Reads the certificate of the callers' and operators' listeners, if they speak TLS.
    async fn certificates(&self) -> io::Result<Option<tls::Certificates>> {
        match &self.settings.tls {
            Some(tls) => tls::Certificates::open(tls.clone()).await.map(Some),
            None => Ok(None),
        }
    }
}

/// The message handles of a host's tasks.
#[derive(Clone)]
pub struct Tasks {
    /// Configuration and membership.
    pub fleet: fleet::Handle,
    /// Keys and rates.
    pub accounts: accounts::Handle,
    /// Slots of targets.
    pub room: room::Handle,
    /// Records of submissions.
    pub submissions: submissions::Handle,
    /// Connections to other entry hosts.
    pub peers: peers::Handle,
    /// Connections to targets.
    pub targets: target::Handle,
}

/// A running entry host.
pub struct Host {
    context: Context,
    tasks: Tasks,
    addresses: Addresses,
    leave: watch::Sender<bool>,
    gateway: gateway::Server,
    operators: operators::Server,
    peers: peers::Server,
}

/// Addresses that a host is bound to.
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
    /// Binds the listeners of a host and spawns its tasks.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn spawn(settings: Settings, platform: Arc<dyn Platform>) -> io::Result<Host> {
        let callers = socket::bind(settings.listen.callers).await?;
        let operators = socket::bind(settings.listen.operators).await?;
        let peers = socket::bind(settings.listen.peers).await?;
        let addresses = Addresses {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: peers.local_addr()?,
        };
        let (leave, leaving) = watch::channel(false);
        let memory = Budget::new(settings.machine.allotment().held);
        let context = Context {
            memory,
            journal: Arc::new(Journal::spawn(settings.name.clone(), settings.log.format)),
            settings: Arc::new(settings),
            platform,
            clock: Clock::start(),
            incarnation: Incarnation::of_process(unix_ms()),
            leaving,
        };
        let tasks = Tasks::spawn(&context, addresses);
        let peers = peers::Server::spawn(peers, &context, &tasks);
        let gateway = gateway::Server::spawn(callers, &context, &tasks).await?;
        let operators = operators::Server::spawn(operators, &context, &tasks).await?;
        context.journal.note(
            Event::Started,
            &[
                ("data_centre", &context.settings.data_centre),
                ("callers", &addresses.callers),
                ("operators", &addresses.operators),
                ("peers", &addresses.peers),
            ],
        );
        Ok(Host { context, tasks, addresses, leave, gateway, operators, peers })
    }

    /// Returns the addresses that the host is bound to.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the handle of configuration and membership.
    pub fn fleet(&self) -> &fleet::Handle {
        &self.tasks.fleet
    }

    /// Waits until a configuration and keys have arrived and `hosts` members are live.
    pub async fn wait_until_ready(&self, hosts: usize) {
        self.tasks.fleet.wait_until_ready(hosts).await;
        self.tasks.accounts.wait_until_ready().await;
    }

    /// Returns a handle by which unfinished work is counted.
    pub fn work(&self) -> Work {
        Work { submissions: self.tasks.submissions.clone() }
    }

    /// Shuts down gracefully: announces the shutdown, stops accepting requests, finishes running
    /// ones and writes the outcomes of submissions.
    pub async fn shutdown(self) {
        self.context.journal.note(Event::ShutdownBegun, &[]);
        self.leave.send_replace(true);
        time::sleep(LEAVE_NOTICE).await;
        self.gateway.stop(DRAIN_TIMEOUT).await;
        self.tasks.submissions.flush(FLUSH_TIMEOUT).await;
        self.tasks.accounts.leave().await;
        self.peers.stop(DRAIN_TIMEOUT).await;
        self.operators.stop(Duration::from_secs(1)).await;
        self.context.journal.note(Event::Stopped, &[]);
        self.context.journal.flush().await;
    }
}

/// Counts the work that a host has not finished.
#[derive(Clone)]
pub struct Work {
    submissions: submissions::Handle,
}

impl Work {
    /// Returns the number of submissions whose outcome is not written yet.
    pub fn submissions(&self) -> usize {
        self.submissions.unfinished()
    }
}

impl Tasks {
    fn spawn(context: &Context, addresses: Addresses) -> Tasks {
        let peers = peers::spawn(context);
        let fleet = fleet::spawn(context.clone(), addresses, peers.clone());
        Tasks {
            accounts: accounts::spawn(context.clone(), fleet.clone(), peers.clone()),
            room: room::spawn(context.clone(), fleet.clone(), peers.clone()),
            submissions: submissions::spawn(context.clone(), fleet.clone()),
            peers,
            targets: target::spawn(context.settings.machine.allotment().targets),
            fleet,
        }
    }
}
