/*!
The task that owns the registry and the failure detector.

It takes what the store says, what other hosts' snapshots say, and the detector's datagrams. It publishes
the routes in force and the members, and tells the [`steer`](crate::steer) task of each change.

Entries of targets that are removed right after an outage of the store may have lapsed only because the
target could not renew them. Such removals wait for [`LAPSE_HOLD`]; an entry that is back by then stays.
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
        steering::{Entry, Key, Registry, Relay, Routes, Snapshot, Topic, Value, WORD_INTERVAL},
    },
    toucanhoist_wire::steering::{Changes, Reach, TopicVersion, packet},
};

use crate::{
    clock::Clock,
    journal::Journal,
    peers,
    settings::Settings,
    steer,
    store::{Batch, News, Order},
};

const TICK: Duration = Duration::from_millis(100);
/// Time for which removals after an outage wait; targets renew their entries within two seconds.
pub const LAPSE_HOLD: Duration = Duration::from_millis(2_200);
/// Outage of the store after which entries may have lapsed.
const OUTAGE_MIN: Duration = Duration::from_millis(700);
/// Time that the store has to bring a change before it is asked of another host.
const PULL_DELAY: Duration = Duration::from_millis(400);
/// Time between two questions for a snapshot.
const PULL_INTERVAL: Duration = Duration::from_millis(500);

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
    Changes(Changes),
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
        ahead: None,
        pulled: Time::ZERO,
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
    /// Another host that knows newer entries, with the time since then.
    ahead: Option<(SocketAddr, Time)>,
    pulled: Time,
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

    fn apply_held(&mut self, now: Time) {
        let held = std::mem::take(&mut self.held);
        let applied = self.apply(held);
        self.publish(now, &keys(&applied));
        self.applied_late.extend(applied);
        self.tell_late();
    }

    /// Tells of removals that were applied after a hold.
    fn tell_late(&self) {
        let reach = self.registry.version(Topic::Targets).unwrap_or_default();
        self.tell_changes(Topic::Targets, reach, reach, &self.applied_late);
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

    fn tell_changes(&self, topic: Topic, after: u64, upto: u64, entries: &[(Key, Entry)]) {
        if !self.is_telling() || entries.is_empty() {
            return;
        }
        // What cannot be told is asked for, once the next word says that it is there.
        let Ok(entries) = serde_json::to_vec(entries) else { return };
        let changes = Changes { topic: topic.number(), after, upto, entries: entries.into() };
        self.parts.peers.send_all(self.relay.neighbours(), packet::Body::Changes(changes));
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
            self.ahead = Some((from, Time::ZERO));
            self.pull(now);
        }
    }

    /// Takes in changes that a watcher tells of.
    fn changes(&mut self, now: Time, changes: &Changes) {
        let Some(topic) = Topic::of_number(changes.topic) else { return };
        let Ok(entries) = serde_json::from_slice::<Vec<(Key, Entry)>>(&changes.entries) else {
            metrics::counter!("toucanhoist_datagrams_malformed_total").increment(1);
            return;
        };
        let applied = self.apply(entries);
        if self.registry.version(topic).is_some_and(|known| known >= changes.after) {
            self.registry.reach(topic, changes.upto);
        }
        self.publish(now, &keys(&applied));
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
                let applied = self.apply(entries);
                let after = self.registry.version(topic).unwrap_or_default();
                self.registry.reach(topic, batch.version);
                self.tell_changes(topic, after, batch.version, &applied);
                keys(&applied)
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

    /// Notes that the store answers for a topic again.
    fn regain(&mut self, now: Time, topic: Topic) {
        let Some(since) = self.lost.remove(&topic) else { return };
        let away = now.since(since);
        if topic == Topic::Targets && away >= OUTAGE_MIN {
            self.lapse_until = now + LAPSE_HOLD;
        }
        let (topic, away_ms) = (topic.as_str(), away.as_millis());
        self.parts.journal.note(Event::PlatformUp, &[("topic", &topic), ("away_ms", &away_ms)]);
    }

    /// Holds the removals that may be those of targets which could not renew their entries; returns the
    /// other entries.
    fn hold_lapses(&mut self, now: Time, entries: Vec<(Key, Entry)>) -> Vec<(Key, Entry)> {
        let is_lapse = |(key, entry): &(Key, Entry)| {
            now < self.lapse_until && key.topic() == Topic::Targets && entry.value.is_none()
        };
        let (lapses, others): (Vec<_>, Vec<_>) = entries.into_iter().partition(is_lapse);
        self.held.extend(lapses);
        others
    }

    fn replace(&mut self, now: Time, topic: Topic, batch: Batch) -> BTreeSet<Key> {
        if topic != Topic::Targets || now >= self.lapse_until {
            return self.registry.replace(topic, batch.version, batch.entries);
        }
        self.held.extend(self.registry.missing(topic, batch.version, &batch.entries));
        let applied = self.apply(batch.entries);
        self.registry.reach(topic, batch.version);
        keys(&applied)
    }

    /// Applies entries; returns those that changed something.
    fn apply(&mut self, mut entries: Vec<(Key, Entry)>) -> Vec<(Key, Entry)> {
        entries.retain(|(key, entry)| self.registry.apply(key.clone(), entry.clone()));
        entries
    }

    /// Compares what a host knows with what this one knows.
    fn compare(&mut self, now: Time, message: &Message) {
        if message.revision.as_u64() <= self.registry.newest() {
            return;
        }
        match &mut self.ahead {
            Some((from, _)) => *from = message.from.peers,
            None => self.ahead = Some((message.from.peers, now)),
        }
    }

    /// Asks another host for its snapshot, if the store has not brought what it knows.
    fn pull(&mut self, now: Time) {
        let Some((from, since)) = self.ahead else { return };
        let due = now >= since + PULL_DELAY && now >= self.pulled + PULL_INTERVAL;
        if !due {
            return;
        }
        (self.ahead, self.pulled) = (None, now);
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

    /// Publishes what changed.
    fn publish(&mut self, now: Time, changed: &BTreeSet<Key>) {
        if changed.is_empty() {
            return;
        }
        if changed.contains(&Key::Config) {
            self.publish_config();
        }
        if changed.iter().any(|key| matches!(key, Key::Evacuation(_))) {
            self.publish_evacuations();
        }
        if changed.iter().any(|key| matches!(key, Key::Host(_))) {
            self.publish_hosts(now);
        }
        for key in changed {
            let Key::Target(name) = key else { continue };
            let target = match self.registry.value(key) {
                Some(Value::Target(target)) => Some(target.clone()),
                _ => None,
            };
            let (service, state, version) = match &target {
                Some(target) => (target.service.as_str(), target.state.as_str(), target.born),
                None => ("", "gone", 0),
            };
            self.parts.journal.note(
                Event::TargetChanged,
                &[("target", name), ("service", &service), ("state", &state), ("born", &version)],
            );
            self.parts.steer.tell(steer::Input::Target(name.clone(), target));
        }
    }

    fn publish_config(&mut self) {
        let Some(Value::Config(config)) = self.registry.value(&Key::Config) else { return };
        let revision = config.revision;
        self.parts.journal.note(Event::ConfigurationInForce, &[("revision", &revision)]);
        let routes = Arc::new(Routes::new((**config).clone()));
        self.parts.steer.tell(steer::Input::Config(Arc::clone(&routes)));
        self.routes.send_replace(Some(routes));
    }

    fn publish_evacuations(&self) {
        let mut evacuated = BTreeSet::new();
        for (key, entry) in self.registry.entries() {
            if let (Key::Evacuation(data_centre), Some(_)) = (key, &entry.value) {
                evacuated.insert(data_centre.clone());
            }
        }
        let names = evacuated.iter().map(id::DataCentre::as_str).collect::<Vec<_>>().join(",");
        self.parts.journal.note(Event::EvacuationsChanged, &[("data_centres", &names)]);
        self.parts.steer.tell(steer::Input::Evacuated(evacuated));
    }

    fn publish_hosts(&mut self, now: Time) {
        let mut hosts = BTreeMap::new();
        for (key, entry) in self.registry.entries() {
            if let (Key::Host(name), Some(Value::Host(host))) = (key, &entry.value) {
                hosts.insert(name.clone(), host.clone());
            }
        }
        let own = &self.parts.settings.name;
        let others = hosts.iter().filter(|(name, _)| *name != own).map(|(_, host)| host.peers);
        self.detector.suggest(others);
        self.parts.steer.tell(steer::Input::Hosts(hosts));
        self.publish_view(now);
    }

    fn publish_view(&mut self, now: Time) {
        for transition in self.detector.take_transitions() {
            self.parts.journal.note(
                Event::MemberChanged,
                &[
                    ("member", &transition.name),
                    ("incarnation", &transition.incarnation),
                    ("to", &transition.to),
                ],
            );
        }
        let stamp = self.detector.stamp(now);
        if stamp != self.stamp {
            self.stamp = stamp;
            let view = Arc::new(self.detector.view(now));
            self.relay.set_view(&view);
            self.view.send_replace(view);
        }
    }

    fn send(&self, sends: Vec<membership::Send>) {
        for send in sends {
            self.parts.peers.send(send.to, packet::Body::Membership(send.message.into()));
        }
    }
}

fn keys(entries: &[(Key, Entry)]) -> BTreeSet<Key> {
    entries.iter().map(|(key, _)| key.clone()).collect()
}
