//! The task that owns the failure detector and the configuration.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use {
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{self, MissedTickBehavior},
    },
    toucanhoist_core::{
        clock::Time,
        configuration::{self, Entry, Follower, Snapshot, Step, tree},
        event::Event,
        id,
        membership::{Config, Detector, Incarnation, Member, Message, Stamp, State, View},
    },
};

use super::{
    Addresses, Answer, Context, Input, count_violation, lineage, peers, publisher::Document,
    reader::Role, sender::Sender, table,
};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two views, so that a burst of changes yields one view.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Hosts of a data centre that read the platform's table.
const WATCHERS: usize = 2;

/// Channels on which the task publishes.
pub(super) struct Outputs {
    pub documents: watch::Sender<Document>,
    pub roles: watch::Sender<Role>,
    pub view: watch::Sender<Arc<View>>,
}

pub(super) struct Task {
    context: Context,
    detector: Detector,
    follower: Follower,
    view: Arc<View>,
    stamp: Stamp,
    view_time: Time,
    unreachable: BTreeSet<id::DataCentre>,
    has_read_table: bool,
    sender: Sender,
}

impl Task {
    pub(super) fn new(
        context: &Context,
        addresses: Addresses,
        inputs: mpsc::Sender<Input>,
        peers: peers::Handle,
    ) -> Task {
        let settings = &context.settings;
        let own_address = settings.advertise.peers.unwrap_or(addresses.peers);
        let me = Member {
            name: settings.name.clone(),
            incarnation: context.incarnation,
            data_centre: settings.data_centre.clone(),
            callers: settings.callers_url(addresses.callers),
            peers: own_address,
            state: State::Live,
        };
        let mut detector = Detector::new(Config::default(), me, rand::random());
        detector.add_candidates(settings.peers.iter().map(|peer| peer.peers));
        let view = Arc::new(detector.view(Time::ZERO));
        Task {
            context: context.clone(),
            detector,
            follower: Follower::default(),
            view,
            stamp: Stamp::default(),
            view_time: Time::ZERO,
            unreachable: BTreeSet::new(),
            has_read_table: false,
            sender: Sender::new(peers, inputs, own_address),
        }
    }

    pub(super) fn view(&self) -> View {
        (*self.view).clone()
    }

    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<Input>, outputs: Outputs) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leaving = self.context.leaving.clone();
        let mut is_staying = true;
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(&outputs),
                changed = leaving.changed(), if is_staying => {
                    is_staying = false;
                    if changed.is_ok() && *leaving.borrow() {
                        let envelopes = self.detector.leave(self.context.clock.now());
                        envelopes
                            .into_iter()
                            .for_each(|envelope| self.sender.send_membership(envelope));
                        self.publish_view(&outputs);
                    }
                }
                input = queue.recv() => match input {
                    Some(input) => self.handle(input, &outputs),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self, outputs: &Outputs) {
        let now = self.context.clock.now();
        self.detector.set_revision(self.follower.replica().revision());
        for envelope in self.detector.tick(now) {
            self.sender.send_membership(envelope);
        }
        self.log_transitions();
        if now.since(self.view_time) >= VIEW_INTERVAL {
            self.publish_view(outputs);
        }
    }

    fn handle(&mut self, input: Input, outputs: &Outputs) {
        match input {
            Input::Membership(message, reply) => self.receive_membership(message, reply),
            Input::Configuration(from, message, reply) => {
                self.receive_configuration(from, message, reply, outputs)
            }
            Input::Listed(addresses) => self.detector.add_candidates(addresses),
            Input::EntriesRead(entries) => {
                self.has_read_table = true;
                let step = self.follower.apply_entries(&self.view, self.detector.me(), &entries);
                self.finish(step, outputs);
            }
            Input::SnapshotRead(snapshot) => {
                self.has_read_table = true;
                let is_new = self.follower.install(*snapshot);
                self.finish(Step { is_new, ..Step::default() }, outputs);
            }
            Input::Accepted(entry) => self.accepted(entry, outputs),
        }
    }

    fn receive_membership(
        &mut self,
        message: Message,
        reply: Option<oneshot::Sender<Vec<Message>>>,
    ) {
        let now = self.context.clock.now();
        let from = message.from.peers;
        if let Some(pull) = self.follower.pull_if_behind(now, from, message.revision) {
            self.sender.send_configuration(pull);
        }
        let envelopes = self.detector.receive(now, message);
        let (answers, others): (Vec<_>, Vec<_>) =
            envelopes.into_iter().partition(|envelope| reply.is_some() && envelope.to == from);
        others.into_iter().for_each(|envelope| self.sender.send_membership(envelope));
        if let Some(reply) = reply {
            let _ = reply.send(answers.into_iter().map(|envelope| envelope.message).collect());
        }
    }

    fn receive_configuration(
        &mut self,
        from: std::net::SocketAddr,
        message: configuration::Message,
        reply: Option<oneshot::Sender<Answer>>,
        outputs: &Outputs,
    ) {
        let is_first = self.follower.replica().revision() == id::Revision::default();
        let mut step = self.follower.receive(&self.view, self.detector.me(), from, message);
        if step.is_new && is_first && !self.has_read_table {
            let revision = self.follower.replica().revision();
            let fields: [(_, &dyn std::fmt::Display); 2] =
                [("revision", &revision), ("from", &from)];
            self.context.journal.note(Event::ConfigurationFromPeers, &fields);
        }
        let mut message = None;
        if reply.is_some() {
            let is_answer = |envelope: &configuration::Envelope| {
                envelope.to == from
                    && !matches!(envelope.message, configuration::Message::Pull { .. })
                    && !matches!(envelope.message, configuration::Message::Push { .. })
            };
            if let Some(index) = step.outgoing.iter().position(is_answer) {
                message = Some(step.outgoing.swap_remove(index).message);
            }
        }
        self.finish(step, outputs);
        if let Some(reply) = reply {
            let revision = self.follower.replica().revision();
            let _ = reply.send(Answer { revision, message });
        }
    }

    fn accepted(&mut self, entry: Arc<Entry>, outputs: &Outputs) {
        self.has_read_table = true;
        let revision = entry.revision;
        let step = self.follower.publish(&self.view, self.detector.me(), entry);
        self.finish(step, outputs);
        let is_due = revision.as_u64() % table::SNAPSHOT_CHANGES == 0;
        if is_due && self.follower.replica().revision() == revision {
            let snapshot = Snapshot::of(self.follower.replica());
            let context = self.context.clone();
            tokio::spawn(async move {
                if let Err(error) = table::store_snapshot(&context, &snapshot).await {
                    log::warn!(target: "toucanhoist", "failed to write a snapshot: {error}");
                }
            });
        }
    }

    /// Sends the messages of a follower's step and publishes a new revision.
    fn finish(&mut self, step: Step, outputs: &Outputs) {
        for envelope in step.outgoing {
            self.sender.send_configuration(envelope);
        }
        let replica = self.follower.replica();
        if step.contradictions > 0 {
            count_violation("configuration-contradicted");
            let lineage = lineage(replica.lineage());
            self.context.journal.note(
                Event::ConfigurationContradicted,
                &[("revision", &replica.revision()), ("lineage", &lineage)],
            );
        }
        if !step.is_new {
            return;
        }
        outputs.documents.send_replace(Document {
            revision: replica.revision(),
            fleet: Arc::clone(replica.fleet()),
            accepted_unix_ms: replica.last().map(|entry| entry.at_unix_ms),
        });
        self.publish_role(outputs);
    }

    fn publish_view(&mut self, outputs: &Outputs) {
        let now = self.context.clock.now();
        self.view_time = now;
        let stamp = self.detector.stamp(now);
        if stamp != self.stamp {
            self.stamp = stamp;
            self.view = Arc::new(self.detector.view(now));
            outputs.view.send_replace(Arc::clone(&self.view));
            self.log_reachability(now);
        }
        self.publish_role(outputs);
    }

    fn publish_role(&self, outputs: &Outputs) {
        let me = self.detector.me();
        let watchers = self.view.holders(&me.data_centre, tree::WATCHER, WATCHERS);
        let role = Role {
            revision: self.follower.replica().revision(),
            is_watcher: watchers.iter().any(|watcher| watcher.name == me.name),
            is_alone: self.view.members.len() == 1,
        };
        outputs.roles.send_if_modified(|current| {
            let changed = *current != role;
            *current = role;
            changed
        });
    }

    fn log_transitions(&mut self) {
        for transition in self.detector.take_transitions() {
            let from = transition.from.map_or("unknown", State::as_str);
            let incarnation: Incarnation = transition.incarnation;
            self.context.journal.note(
                Event::MemberChanged,
                &[
                    ("member", &transition.name),
                    ("incarnation", &incarnation),
                    ("from", &from),
                    ("to", &transition.to),
                ],
            );
        }
    }

    fn log_reachability(&mut self, now: Time) {
        let unreachable: BTreeSet<_> = self.detector.unreachable(now).into_iter().collect();
        for name in unreachable.difference(&self.unreachable) {
            self.context.journal.note(Event::DataCentreUnreachable, &[("data_centre", name)]);
        }
        for name in self.unreachable.difference(&unreachable) {
            self.context.journal.note(Event::DataCentreReachable, &[("data_centre", name)]);
        }
        self.unreachable = unreachable;
    }
}
