/*!
The task that owns the registry and the failure detector.

It takes what the store says, what other hosts' snapshots say, and the detector's datagrams. It publishes
the routes in force and the members, and tells the [`steer`](crate::steer) task of each change
([`publish`]). Removals of targets right after an outage wait ([`lapse`]).
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
        steering::{
            CatchUp, Changes, Entry, Key, Registry, Relay, Routes, Snapshot, Topic, WORD_INTERVAL,
        },
    },
    toucanhoist_wire::steering::{self as wire, Reach, TopicVersion, packet},
};

use crate::{
    clock::Clock,
    journal::Journal,
    peers,
    settings::Settings,
    steer,
    store::{News, Order},
};

mod lapse;
mod publish;

const TICK: Duration = Duration::from_millis(100);
/// Time for which removals after an outage wait; targets renew their entries within two seconds.
pub const LAPSE_HOLD: Duration = Duration::from_millis(2_200);
/// Outage of the store after which entries may have lapsed.
const OUTAGE_MIN: Duration = Duration::from_millis(700);
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
    order: watch::Receiver<Order>,
}

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
        applied_late: Vec::new(),
        detector,
        registry: Registry::default(),
        lost: BTreeMap::new(),
        lapse_until: Time::ZERO,
        held: Vec::new(),
        catch_up: CatchUp::default(),
        stamp: membership::Stamp::default(),
        queue: queue.clone(),
        routes,
        view,
        order,
    };
    tokio::spawn(task.run(inputs));
    Handle { queue, routes: routes_read, view: view_read, order: order_read }
}

struct Task {
    parts: Parts,
    /// This host's part in passing on what the store says.
    relay: Relay,
    told: Time,
    /// Removals that were applied after a hold; told once more, as a datagram may be lost.
    applied_late: Vec<(Key, Entry)>,
    detector: Detector,
    registry: Registry,
    /// Topics that the store does not answer for, with the time since then.
    lost: BTreeMap<Topic, Time>,
    lapse_until: Time,
    held: Vec<(Key, Entry)>,
    catch_up: CatchUp,
    stamp: membership::Stamp,
    queue: mpsc::Sender<Input>,
    routes: watch::Sender<Option<Arc<Routes>>>,
    view: watch::Sender<Arc<View>>,
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
        self.detector.set_revision(id::Revision::from(self.registry.newest()));
        let sends = self.detector.tick(now);
        self.send(sends);
        self.publish_view(now);
        if now >= self.lapse_until && !self.held.is_empty() {
            self.apply_held(now);
        }
        self.pull(now);
        self.tell(now);
        self.give_order(now);
    }

    /// Whether this host tells the others of its region what the store says.
    fn is_telling(&self) -> bool {
        self.relay.is_watcher() && self.lost.is_empty()
    }

    /// Tells how far this host is, if it watches and is in touch with the store.
    fn tell(&mut self, now: Time) {
        let is_due = now >= self.told + WORD_INTERVAL;
        if !is_due || !self.is_telling() || self.registry.versions().len() < Topic::ALL.len() {
            return;
        }
        self.told = now;
        self.tell_late();
        self.applied_late.clear();
        let versions = self.registry.versions().iter();
        let versions = versions
            .map(|(topic, &version)| TopicVersion { topic: topic.number(), version })
            .collect();
        self.parts.peers.send_all(self.relay.neighbours(), packet::Body::Reach(Reach { versions }));
    }

    fn tell_changes(&self, changes: &Changes) {
        if !self.is_telling() || changes.entries.is_empty() {
            return;
        }
        // What cannot be told is asked for, once the next word says that it is there.
        let Ok(entries) = serde_json::to_vec(&changes.entries) else { return };
        let Changes { topic, after, upto, .. } = *changes;
        let packet = wire::Changes { topic: topic.number(), after, upto, entries: entries.into() };
        self.parts.peers.send_all(self.relay.neighbours(), packet::Body::Changes(packet));
    }

    /// Says whether this host follows the store, and from where.
    fn give_order(&self, now: Time) {
        let order = Order {
            is_active: self.relay.is_active(now),
            versions: self.registry.versions().clone(),
        };
        self.order.send_if_modified(|current| {
            let changed = *current != order;
            *current = order;
            changed
        });
    }

    /// Takes in how far a watcher is.
    fn reached(&mut self, now: Time, from: SocketAddr, reach: &Reach) {
        self.relay.heard(now);
        let is_ahead = reach.versions.iter().any(|told| {
            let topic = Topic::of_number(told.topic);
            topic.is_some_and(|topic| self.registry.version(topic).is_none_or(|v| v < told.version))
        });
        if is_ahead {
            self.catch_up.hear_watcher(from);
            self.pull(now);
        }
    }

    /// Takes in changes that a watcher tells of.
    fn changes(&mut self, now: Time, told: &wire::Changes) {
        let Some(topic) = Topic::of_number(told.topic) else { return };
        let Ok(entries) = serde_json::from_slice::<Vec<(Key, Entry)>>(&told.entries) else {
            metrics::counter!("toucanhoist_datagrams_malformed_total").increment(1);
            return;
        };
        let changes = Changes { topic, after: told.after, upto: told.upto, entries };
        let changed = self.registry.hear(&changes);
        self.publish(now, &changed);
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
                self.regain(now, topic);
                self.replace(now, topic, batch)
            }
            News::Changed(topic, batch) => {
                self.regain(now, topic);
                let entries = self.hold_lapses(now, batch.entries);
                let (changed, changes) = self.registry.follow(topic, batch.version, entries);
                self.tell_changes(&changes);
                changed
            }
            News::Lost(topic, error) => {
                if let std::collections::btree_map::Entry::Vacant(lost) = self.lost.entry(topic) {
                    lost.insert(now);
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

    /// Compares what a host knows with what this one knows.
    fn compare(&mut self, now: Time, message: &Message) {
        let (from, newest) = (&message.from, self.registry.newest());
        let is_near = self.relay.is_near(&from.data_centre);
        self.catch_up.hear(now, newest, from.peers, is_near, message.revision.as_u64());
    }

    /// Asks another host for its snapshot, if the store has not brought what it knows.
    fn pull(&mut self, now: Time) {
        let Some(from) = self.catch_up.ask(now, self.registry.newest()) else { return };
        let queue = self.queue.clone();
        let known = self.registry.versions().clone();
        tokio::spawn(async move {
            // A host that does not answer is asked again when it next says that it knows more.
            if let Ok(snapshot) = peers::newer(from, known).await {
                let _ = queue.send(Input::Snapshot(from, snapshot)).await;
            }
        });
    }

    fn merge(&mut self, now: Time, from: SocketAddr, snapshot: Snapshot) {
        let first = self.routes.borrow().is_none();
        let entries = self.hold_lapses(now, snapshot.entries);
        let changed = self.registry.merge(Snapshot { entries, ..snapshot });
        if first && changed.contains(&Key::Config) {
            self.parts.journal.note(Event::ConfigurationFromPeers, &[("from", &from)]);
        }
        self.publish(now, &changed);
    }

    fn send(&self, sends: Vec<membership::Send>) {
        for send in sends {
            self.parts.peers.send(send.to, packet::Body::Membership(send.message.into()));
        }
    }
}
