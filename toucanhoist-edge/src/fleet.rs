/*!
The task that owns the registry and the failure detector.

Its inputs are notifications from the store ([`notifications`]), registry changes and snapshots of other
hosts ([`exchange`]), and datagrams of their failure detectors. It publishes the routes in force and the
members, and sends each change to the [`steer`](crate::steer) task ([`publish`]).
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

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
        steering::{Bootstrap, CatchUp, Era, Mirror, Relay, Routes, Snapshot, Topic, Version},
    },
    toucanhoist_wire::steering::packet,
};

use crate::{
    clock::Clock,
    journal::Journal,
    peers::{self, Received},
    settings::Settings,
    steer,
    store::{Notification, Subscription},
};

mod exchange;
mod notifications;
mod publish;

const TICK: Duration = Duration::from_millis(100);

/// Returns the failure detector's intervals, with which a dead host is detected within about two seconds.
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
    /// A message of another host that this task handles.
    Packet(Received<packet::Body>),
    /// A notification from the store.
    Store(Notification),
    /// A snapshot from another host, with the time of the request; `None` if that failed.
    Snapshot(SocketAddr, Time, Option<Snapshot>),
    /// Requests the entries that are newer than the given versions.
    SnapshotRequest(BTreeMap<Topic, Version>, oneshot::Sender<Snapshot>),
    /// The host shuts down.
    Leave,
}

/// Sends messages to the task, and reads what it publishes.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: mpsc::Sender<Input>,
    routes: watch::Receiver<Option<Arc<Routes>>>,
    view: watch::Receiver<Arc<View>>,
    capacities: watch::Receiver<Arc<Capacities>>,
    subscription: watch::Receiver<Subscription>,
    era: watch::Receiver<Option<Era>>,
}

/// Capacities of the hosts' machines.
pub type Capacities = BTreeMap<id::EntryHost, u32>;

impl Handle {
    /// Returns a receiver of the host's subscription to the store.
    pub fn subscription(&self) -> watch::Receiver<Subscription> {
        self.subscription.clone()
    }

    /// Returns a receiver of the store's era.
    pub fn era(&self) -> watch::Receiver<Option<Era>> {
        self.era.clone()
    }

    /// Returns the routes in force; `None` until a configuration has arrived.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.borrow().clone()
    }

    /// Returns the cluster members.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the capacities of the machines of registered hosts.
    pub fn capacities(&self) -> Arc<Capacities> {
        Arc::clone(&self.capacities.borrow())
    }

    /// Returns the entries of the registry that are newer than the `known` versions.
    pub async fn newer_than(&self, known: BTreeMap<Topic, Version>) -> Option<Snapshot> {
        let (reply, snapshot) = oneshot::channel();
        self.queue.send(Input::SnapshotRequest(known, reply)).await.ok()?;
        snapshot.await.ok()
    }

    /// Delivers a message from a datagram; returns whether the task is running.
    pub fn deliver(&self, input: Input) -> bool {
        // If the queue is full, the datagram is lost, as it may be in the network.
        !matches!(self.queue.try_send(input), Err(mpsc::error::TrySendError::Closed(_)))
    }

    /// Announces to other hosts that this one shuts down.
    pub async fn leave(&self) {
        // The task ends only with the process.
        let _ = self.queue.send(Input::Leave).await;
    }

    /// Forwards notifications from the store to the task, until the sender is dropped.
    pub async fn feed(self, mut notifications: mpsc::Receiver<Notification>) {
        while let Some(notification) = notifications.recv().await {
            if self.queue.send(Input::Store(notification)).await.is_err() {
                return;
            }
        }
    }
}

/// Parameters of the task.
#[derive(Debug)]
pub struct Parts {
    /// Settings of the host.
    pub settings: Arc<Settings>,
    /// Log.
    pub journal: Arc<Journal>,
    /// Clock.
    pub clock: Clock,
    /// Sender of datagrams to other hosts.
    pub peers: peers::Sender,
    /// Address of the host for callers.
    pub callers: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Handle of the task that decides about requests.
    pub steer: steer::Handle,
}

/// Spawns the task.
pub fn spawn(parts: Parts) -> Handle {
    let (queue, inputs) = mpsc::channel(1_024);
    let (routes, routes_read) = watch::channel(None);
    let (view, view_read) = watch::channel(Arc::new(View::default()));
    let (capacities, capacities_read) = watch::channel(Arc::default());
    let (subscription, subscription_read) = watch::channel(Subscription::default());
    let (era, era_read) = watch::channel(None);
    let own_member = Member {
        name: parts.settings.name.clone(),
        incarnation: parts.incarnation,
        data_centre: parts.settings.data_centre.clone(),
        callers: parts.callers.to_string().into(),
        peers: parts.settings.listen.peers,
        state: State::Live,
    };
    let mut detector = Detector::new(detector_config(), own_member, rand::random());
    let own_address = parts.settings.listen.peers;
    detector
        .add_candidates(parts.settings.seeds.iter().copied().filter(|seed| *seed != own_address));
    let settings = &parts.settings;
    let now = parts.clock.now();
    let relay = Relay::new(
        now,
        settings.first_start,
        settings.name.clone(),
        &settings.data_centre,
        settings.regions.clone(),
    );
    // At the first start of the fleet, no host knows more than the store.
    let seeds = settings.seeds.iter().filter(|seed| **seed != own_address && !settings.first_start);
    let seeds: Vec<SocketAddr> = seeds.copied().collect();
    for seed in &seeds {
        exchange::request_snapshot(queue.clone(), now, *seed, BTreeMap::new());
    }
    let host_addresses = [parts.settings.listen.callers, own_address].into();
    let task = Task {
        bootstrap: Bootstrap::new(now, seeds),
        parts,
        relay,
        host_addresses,
        last_heartbeat: Time::ZERO,
        last_confirmation_request: Time::ZERO,
        detector,
        mirror: Mirror::default(),
        catch_up: CatchUp::default(),
        stamp: membership::Stamp::default(),
        queue: queue.clone(),
        routes,
        view,
        capacities,
        subscription,
        era,
    };
    tokio::spawn(task.run(inputs));
    Handle {
        queue,
        routes: routes_read,
        view: view_read,
        capacities: capacities_read,
        subscription: subscription_read,
        era: era_read,
    }
}

struct Task {
    parts: Parts,
    /// Decides whether this host follows the store for its region.
    relay: Relay,
    /// Snapshots that this host waits for at its start.
    bootstrap: Bootstrap,
    /// Addresses of entry hosts, which no target can have.
    host_addresses: BTreeSet<SocketAddr>,
    last_heartbeat: Time,
    last_confirmation_request: Time,
    detector: Detector,
    mirror: Mirror,
    catch_up: CatchUp,
    stamp: membership::Stamp,
    queue: mpsc::Sender<Input>,
    routes: watch::Sender<Option<Arc<Routes>>>,
    view: watch::Sender<Arc<View>>,
    capacities: watch::Sender<Arc<Capacities>>,
    subscription: watch::Sender<Subscription>,
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
                    Some(input) => self.handle(input),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = self.parts.clock.now();
        let version = self.mirror.registry().advertised_complete_version();
        self.detector.set_revision(id::Revision::from(version.number));
        self.detector.set_era(version.era.as_u64());
        let envelopes = self.detector.tick(now);
        self.send(envelopes);
        self.publish_view(now);
        self.apply_deferred_removals(now);
        self.request_missing(now);
        self.request_confirmation(now);
        self.send_heartbeat(now);
        self.publish_subscription(now);
    }

    /// Publishes whether this host follows the store, and from which versions.
    fn publish_subscription(&mut self, now: Time) {
        self.relay.set_confirmed(self.mirror.confirmed_at(Topic::Targets));
        let follows = self.relay.is_active(now) || self.mirror.has_unread();
        let is_active = self.bootstrap.is_done(now) && follows;
        if is_active != self.subscription.borrow().is_active {
            let uncovered_ms = self.relay.uncovered(now).as_millis();
            self.parts.journal.note(
                Event::StoreFollowed,
                &[("active", &is_active), ("uncovered_ms", &uncovered_ms)],
            );
        }
        if !is_active {
            self.mirror.stop_following();
        }
        let era = self.mirror.registry().era();
        self.era.send_if_modified(|current| std::mem::replace(current, era) != era);
        let subscription = Subscription {
            is_active,
            is_available: !self.mirror.is_unanswered(Topic::Targets),
            versions: self.mirror.registry().versions().clone(),
        };
        self.subscription.send_if_modified(|current| {
            let changed = *current != subscription;
            *current = subscription;
            changed
        });
    }

    fn handle(&mut self, input: Input) {
        let now = self.parts.clock.now();
        match input {
            Input::Packet(received) => self.handle_packet(now, received),
            Input::Store(notification) => self.handle_notification(now, notification),
            Input::Snapshot(from, asked_at, snapshot) => {
                self.handle_snapshot(now, from, asked_at, snapshot);
            }
            Input::SnapshotRequest(known, reply) => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.mirror.snapshot(now, &known));
            }
            Input::Leave => {
                let envelopes = self.detector.leave(now);
                self.send(envelopes);
                self.publish_view(now);
            }
        }
    }

    fn handle_packet(&mut self, now: Time, received: Received<packet::Body>) {
        match received.message {
            packet::Body::Membership(message) => match message.try_into() {
                Ok(message) => self.handle_membership(now, message),
                Err(_) => {
                    metrics::counter!("toucanhoist_datagrams_malformed_total").increment(1);
                }
            },
            packet::Body::Reach(reach) => self.handle_heartbeat(now, received.from, &reach),
            packet::Body::Changes(changes) => self.handle_changes(now, &changes),
            // The task that decides about requests handles these.
            packet::Body::TokensAsk(_)
            | packet::Body::TokensGiven(_)
            | packet::Body::Suspicions(_)
            | packet::Body::Requests(_)
            | packet::Body::Limits(_) => {}
        }
    }

    fn handle_membership(&mut self, now: Time, message: Message) {
        self.compare_versions(now, &message);
        let envelopes = self.detector.receive(now, message);
        self.send(envelopes);
    }

    fn send(&self, envelopes: Vec<membership::Envelope>) {
        for envelope in envelopes {
            self.parts.peers.send(envelope.to, packet::Body::Membership(envelope.message.into()));
        }
    }
}
