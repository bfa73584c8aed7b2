/*!
The task that owns the registry and the failure detector.

It takes what the store says, what other hosts' snapshots say, and the detector's datagrams. It publishes
the routes in force and the members, and tells the [`steer`](crate::steer) task of each change
([`publish`]). What the store says is in [`news`], what hosts tell each other of the registry in
[`exchange`].
*/

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use {
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{self, MissedTickBehavior},
    },
    toucanhoist_core::{
        clock::Time,
        id,
        membership::{self, Detector, Incarnation, Member, Message, State, View},
        steering::{Bootstrap, CatchUp, Era, Mirror, Relay, Routes, Snapshot, Topic, Version},
    },
    toucanhoist_wire::steering::{self as wire, Reach, packet},
};

use crate::{
    clock::Clock,
    journal::Journal,
    peers,
    settings::Settings,
    steer,
    store::{News, Order},
};

mod exchange;
mod news;
mod publish;

const TICK: Duration = Duration::from_millis(100);
/// Intervals of the failure detector: a host that is gone is known within about two seconds.
fn detector_config() -> membership::Config {
    membership::Config {
        probe_interval: Duration::from_millis(500),
        exchange_interval: Duration::from_millis(500),
        ack_timeout: Duration::from_millis(250),
        probe_timeout: Duration::from_millis(700),
        suspicion: Duration::from_millis(1_500),
        records_max: 48,
        repair_interval: Duration::from_secs(1),
        flap_hold: Duration::ZERO,
        flap_hold_max: Duration::ZERO,
        ..membership::Config::default()
    }
}

/// A message to the task.
#[derive(Debug)]
pub enum Input {
    /// A datagram of another host's detector.
    Detector(Message),
    /// What the store says.
    Store(News),
    /// Another host's snapshot; `None` if it did not give one.
    Snapshot(SocketAddr, Option<Snapshot>),
    /// A watcher tells how far it is.
    Reach(SocketAddr, Reach),
    /// A watcher tells of changes.
    Changes(wire::Changes),
    /// Asks for what is newer than versions.
    Newer(BTreeMap<Topic, Version>, oneshot::Sender<Snapshot>),
    /// Announces that the host is shutting down.
    Leave,
}

/// Sends messages to the task and reads what it publishes.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: mpsc::Sender<Input>,
    routes: watch::Receiver<Option<Arc<Routes>>>,
    view: watch::Receiver<Arc<View>>,
    capacities: watch::Receiver<Arc<Capacities>>,
    order: watch::Receiver<Order>,
    era: watch::Receiver<Option<Era>>,
}

/// What the machines of hosts give them.
pub type Capacities = BTreeMap<id::EntryHost, u32>;

impl Handle {
    /// Returns what says whether the host follows the store.
    pub fn order(&self) -> watch::Receiver<Order> {
        self.order.clone()
    }

    /// Returns what says in which era the store is.
    pub fn era(&self) -> watch::Receiver<Option<Era>> {
        self.era.clone()
    }

    /// Returns the routes in force; `None` until a configuration has arrived.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.borrow().clone()
    }

    /// Returns the members.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns what the machines of hosts give them, as far as they have registered.
    pub fn capacities(&self) -> Arc<Capacities> {
        Arc::clone(&self.capacities.borrow())
    }

    /// Returns what the registry knows beyond versions.
    pub async fn newer(&self, known: BTreeMap<Topic, Version>) -> Option<Snapshot> {
        let (reply, snapshot) = oneshot::channel();
        self.queue.send(Input::Newer(known, reply)).await.ok()?;
        snapshot.await.ok()
    }

    /// Delivers what a datagram brought; returns whether the task is there.
    pub fn deliver(&self, input: Input) -> bool {
        // A full queue loses the datagram, as the network may.
        !matches!(self.queue.try_send(input), Err(mpsc::error::TrySendError::Closed(_)))
    }

    /// Announces that the host is shutting down.
    pub async fn leave(&self) {
        // A task that has ended has nothing to announce.
        let _ = self.queue.send(Input::Leave).await;
    }

    /// Takes in what the store says, until `news` ends.
    pub async fn feed(self, mut news: mpsc::Receiver<News>) {
        while let Some(news) = news.recv().await {
            if self.queue.send(Input::Store(news)).await.is_err() {
                return;
            }
        }
    }
}

/// What the task needs.
#[derive(Debug)]
pub struct Parts {
    /// Settings of the host.
    pub settings: Arc<Settings>,
    /// Log.
    pub journal: Arc<Journal>,
    /// Clock.
    pub clock: Clock,
    /// Sends datagrams.
    pub peers: peers::Sender,
    /// Addresses of the host for callers and for other hosts.
    pub callers: SocketAddr,
    /// Number of the process.
    pub incarnation: Incarnation,
    /// The task that decides.
    pub steer: steer::Handle,
}

/// Spawns the task.
pub fn spawn(parts: Parts) -> Handle {
    let (queue, inputs) = mpsc::channel(1_024);
    let (routes, routes_read) = watch::channel(None);
    let (view, view_read) = watch::channel(Arc::new(View::default()));
    let (capacities, capacities_read) = watch::channel(Arc::default());
    let (order, order_read) = watch::channel(Order::default());
    let (era, era_read) = watch::channel(None);
    let me = Member {
        name: parts.settings.name.clone(),
        incarnation: parts.incarnation,
        data_centre: parts.settings.data_centre.clone(),
        callers: parts.callers.to_string().into(),
        peers: parts.settings.listen.peers,
        state: State::Live,
    };
    let mut detector = Detector::new(detector_config(), me, rand::random());
    let own = parts.settings.listen.peers;
    detector.add_candidates(parts.settings.seeds.iter().copied().filter(|seed| *seed != own));
    let settings = &parts.settings;
    let relay = Relay::new(
        parts.clock.now(),
        settings.first_start,
        settings.name.clone(),
        &settings.data_centre,
        settings.regions.clone(),
    );
    // When all hosts start for the first time, none knows more than the store.
    let seeds = settings.seeds.iter().filter(|seed| **seed != own && !settings.first_start);
    let seeds: Vec<SocketAddr> = seeds.copied().collect();
    for seed in &seeds {
        exchange::ask(queue.clone(), *seed, BTreeMap::new());
    }
    let task = Task {
        priming: Bootstrap::new(parts.clock.now(), seeds),
        parts,
        relay,
        told: Time::ZERO,
        detector,
        mirror: Mirror::default(),
        catch_up: CatchUp::default(),
        stamp: membership::Stamp::default(),
        queue: queue.clone(),
        routes,
        view,
        capacities,
        order,
        era,
    };
    tokio::spawn(task.run(inputs));
    Handle {
        queue,
        routes: routes_read,
        view: view_read,
        capacities: capacities_read,
        order: order_read,
        era: era_read,
    }
}

struct Task {
    parts: Parts,
    /// This host's part in passing on what the store says.
    relay: Relay,
    /// What this host asks others at its start.
    priming: Bootstrap,
    told: Time,
    detector: Detector,
    mirror: Mirror,
    catch_up: CatchUp,
    stamp: membership::Stamp,
    queue: mpsc::Sender<Input>,
    routes: watch::Sender<Option<Arc<Routes>>>,
    view: watch::Sender<Arc<View>>,
    capacities: watch::Sender<Arc<Capacities>>,
    order: watch::Sender<Order>,
    era: watch::Sender<Option<Era>>,
}

impl Task {
    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = self.parts.clock.now();
        let known = self.mirror.registry().advertised_complete_version();
        self.detector.set_revision(id::Revision::from(known.number));
        self.detector.set_era(known.era.as_u64());
        let sends = self.detector.tick(now);
        self.send(sends);
        self.publish_view(now);
        self.settle(now);
        self.pull(now);
        self.tell(now);
        self.give_order(now);
    }

    /// Says whether this host follows the store, and from where.
    fn give_order(&mut self, now: Time) {
        let is_active = self.priming.is_done(now) && self.relay.is_active(now);
        if !is_active {
            self.mirror.stop_following();
        }
        let era = self.mirror.registry().era();
        self.era.send_if_modified(|current| std::mem::replace(current, era) != era);
        let order = Order { is_active, versions: self.mirror.registry().versions().clone() };
        self.order.send_if_modified(|current| {
            let changed = *current != order;
            *current = order;
            changed
        });
    }

    fn take(&mut self, input: Input) {
        let now = self.parts.clock.now();
        match input {
            Input::Detector(message) => {
                self.compare(now, &message);
                let sends = self.detector.receive(now, message);
                self.send(sends);
            }
            Input::Store(news) => self.hear(now, news),
            Input::Snapshot(from, snapshot) => self.answered_by(now, from, snapshot),
            Input::Reach(from, reach) => self.reached(now, from, &reach),
            Input::Changes(changes) => self.changes(now, &changes),
            Input::Newer(known, reply) => {
                // Who asked may have stopped waiting.
                let _ = reply.send(self.mirror.registry().newer_than(&known));
            }
            Input::Leave => {
                let sends = self.detector.leave(now);
                self.send(sends);
                self.publish_view(now);
            }
        }
    }

    fn send(&self, sends: Vec<membership::Envelope>) {
        for send in sends {
            self.parts.peers.send(send.to, packet::Body::Membership(send.message.into()));
        }
    }
}
