/*!
The task that owns the registry and the failure detector.

It takes what the store says, what other hosts' snapshots say, and the detector's datagrams. It publishes
the routes in force and the members, and tells the [`steer`](crate::steer) task of each change
([`publish`]). What hosts tell each other of the registry is in [`exchange`]. Removals of targets right
after an absence of the store wait ([`lapse`]).
*/

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use {
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{self, MissedTickBehavior},
    },
    toucanhoist_core::{
        clock::Time,
        event::Event,
        id,
        membership::{self, Detector, Incarnation, Member, Message, State, View},
        steering::{CatchUp, Registry, Relay, Routes, Snapshot, Topic, Touch},
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
mod lapse;
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
    /// Another host's snapshot.
    Snapshot(SocketAddr, Snapshot),
    /// A watcher tells how far it is.
    Reach(SocketAddr, Reach),
    /// A watcher tells of changes.
    Changes(wire::Changes),
    /// Asks for what is newer than versions.
    Newer(BTreeMap<Topic, u64>, oneshot::Sender<Snapshot>),
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
}

/// What the machines of hosts give them.
pub type Capacities = BTreeMap<id::EntryHost, u32>;

impl Handle {
    /// Returns what says whether the host follows the store.
    pub fn order(&self) -> watch::Receiver<Order> {
        self.order.clone()
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
    pub async fn newer(&self, known: BTreeMap<Topic, u64>) -> Option<Snapshot> {
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
    detector.suggest(parts.settings.seeds.iter().copied().filter(|seed| *seed != own));
    let settings = &parts.settings;
    let relay = Relay::new(
        parts.clock.now(),
        settings.first_start,
        settings.name.clone(),
        &settings.data_centre,
        settings.regions.clone(),
    );
    let task = Task {
        parts,
        relay,
        told: Time::ZERO,
        detector,
        registry: Registry::default(),
        touch: Touch::default(),
        catch_up: CatchUp::default(),
        stamp: membership::Stamp::default(),
        queue: queue.clone(),
        routes,
        view,
        capacities,
        order,
    };
    tokio::spawn(task.run(inputs));
    Handle {
        queue,
        routes: routes_read,
        view: view_read,
        capacities: capacities_read,
        order: order_read,
    }
}

struct Task {
    parts: Parts,
    /// This host's part in passing on what the store says.
    relay: Relay,
    told: Time,
    detector: Detector,
    registry: Registry,
    touch: Touch,
    catch_up: CatchUp,
    stamp: membership::Stamp,
    queue: mpsc::Sender<Input>,
    routes: watch::Sender<Option<Arc<Routes>>>,
    view: watch::Sender<Arc<View>>,
    capacities: watch::Sender<Arc<Capacities>>,
    order: watch::Sender<Order>,
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
        self.detector.set_revision(id::Revision::from(self.registry.complete_claim()));
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
        let is_active = self.relay.is_active(now);
        if !is_active {
            self.touch.rest();
        }
        let order = Order { is_active, versions: self.registry.versions().clone() };
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
            Input::Snapshot(from, snapshot) => self.merge(now, from, snapshot),
            Input::Reach(from, reach) => self.reached(now, from, &reach),
            Input::Changes(changes) => self.changes(now, &changes),
            Input::Newer(known, reply) => {
                // Who asked may have stopped waiting.
                let _ = reply.send(self.registry.newer(&known));
            }
            Input::Leave => {
                let sends = self.detector.leave(now);
                self.send(sends);
                self.publish_view(now);
            }
        }
    }

    fn hear(&mut self, now: Time, news: News) {
        let changed = match news {
            News::All(topic, batch) => {
                self.answered(now, topic);
                self.replace(now, topic, batch)
            }
            News::Changed(topic, batch) => {
                self.answered(now, topic);
                let entries = self.set_aside(now, batch.entries);
                let (changed, changes) = self.registry.follow(topic, batch.version, entries);
                self.tell_changes(now, &changes);
                changed
            }
            News::Lost(topic, error) => {
                // A call that ends after the host has stopped following says nothing about it.
                if self.relay.is_active(now)
                    && self.touch.lose(now, topic, self.registry.complete())
                {
                    let topic = topic.as_str();
                    self.parts
                        .journal
                        .note(Event::PlatformDown, &[("topic", &topic), ("error", &error)]);
                }
                return;
            }
        };
        self.publish(now, &changed);
        self.give_order(now);
    }

    fn send(&self, sends: Vec<membership::Send>) {
        for send in sends {
            self.parts.peers.send(send.to, packet::Body::Membership(send.message.into()));
        }
    }
}
