//! The task that hands out the slots of targets.
//!
//! It also tells the other hosts of this one's room: those of its region often, those further away
//! less often.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    tokio::{
        sync::{mpsc, oneshot},
        time,
    },
    toucanhoist_core::{
        clock::Time,
        event::Event,
        id,
        membership::Member,
        quarantine::{Fingerprint, Quarantine, Report},
        refusal::{Code, Refusal},
        room::{Action, Decision, Digest, Outcome, PlacementRequest, Room, Ticket},
    },
    toucanhoist_wire::room::{Digest as Message, room_client::RoomClient},
};

use super::{Context, fleet, peers};

const QUEUE_MESSAGES: usize = 1_024;
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const TELL_INTERVAL: Duration = Duration::from_millis(200);
const TELL_TIMEOUT: Duration = Duration::from_millis(500);
const TELL_HOSTS_MAX: usize = 16;
/// Rounds after which hosts of other regions are told too.
const FAR_ROUNDS: u64 = 5;

/// Handle of the task.
#[derive(Clone, Debug)]
pub struct Handle {
    place: mpsc::Sender<Place>,
    notify: mpsc::UnboundedSender<Notice>,
    tickets: Arc<AtomicU64>,
}

/// What to do with a request.
#[derive(Debug)]
pub enum Placement {
    /// Run it on a target.
    Run(Slot),
    /// Hand it to another entry host.
    Forward {
        /// The host.
        host: id::EntryHost,
        /// Why.
        reason: &'static str,
    },
    /// Refuse it.
    Refuse(Refusal),
}

/// A taken slot, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    target: id::Target,
    reason: &'static str,
    fingerprint: Option<Fingerprint>,
    taken: time::Instant,
    outcome: Option<Outcome>,
    notify: mpsc::UnboundedSender<Notice>,
}

/// What a host has to say without awaiting an answer.
#[derive(Debug)]
enum Notice {
    /// The asker of a request has gone away.
    Cancel(Ticket),
    /// A request on a target has ended.
    End { target: id::Target, outcome: Outcome, fingerprint: Option<Fingerprint> },
    /// A target broke off while it ran a request.
    BrokeOff { target: id::Target, fingerprint: Fingerprint },
    /// An operator asks for what is known of fingerprints.
    Words(oneshot::Sender<Vec<Report>>),
    /// An operator releases a fingerprint.
    Release { fingerprint: Fingerprint, reply: oneshot::Sender<bool> },
    /// Another host had no room for a request of a service.
    Refused { host: id::EntryHost, service: id::Service },
    /// Another host could not be reached.
    Unreached { host: id::EntryHost },
    /// Another host says what room it has; the answer is this host's.
    Heard {
        host: id::EntryHost,
        digest: Digest,
        words: Vec<Report>,
        reply: Option<oneshot::Sender<Message>>,
    },
}

#[derive(Debug)]
struct Place {
    ticket: Ticket,
    ask: PlacementRequest,
    fingerprint: Option<Fingerprint>,
    reply: oneshot::Sender<Placement>,
}

/// Who waits for a placement.
struct Waiting {
    reply: oneshot::Sender<Placement>,
    fingerprint: Option<Fingerprint>,
}

/// Tells the task when the asker of a request goes away before the answer.
struct Asker {
    ticket: Ticket,
    waits: bool,
    notify: mpsc::UnboundedSender<Notice>,
}

impl Drop for Asker {
    fn drop(&mut self) {
        if self.waits {
            let _ = self.notify.send(Notice::Cancel(self.ticket));
        }
    }
}

impl Slot {
    /// Returns the target.
    pub fn target(&self) -> &id::Target {
        &self.target
    }

    /// Returns why the target was chosen.
    pub fn reason(&self) -> &'static str {
        self.reason
    }

    /// Sets how the request ended, if not with the end of its answer.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    /// Notes that the target broke off while it ran the request.
    pub fn broke_off(&self) {
        if let Some(fingerprint) = self.fingerprint {
            let target = self.target.clone();
            let _ = self.notify.send(Notice::BrokeOff { target, fingerprint });
        }
    }

    /// Notes that the target has answered.
    pub fn answered(&mut self) {
        self.outcome = Some(Outcome::Answered { held: Duration::ZERO });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let outcome = match self.outcome {
            Some(Outcome::Answered { .. }) => Outcome::Answered { held: self.taken.elapsed() },
            Some(outcome) => outcome,
            None => Outcome::Unknown,
        };
        let (target, fingerprint) = (self.target.clone(), self.fingerprint);
        let _ = self.notify.send(Notice::End { target, outcome, fingerprint });
    }
}

impl Handle {
    /// Decides where a request goes; waits as long as the request waits for a slot.
    pub async fn place(
        &self,
        ask: PlacementRequest,
        fingerprint: Option<Fingerprint>,
    ) -> Placement {
        let (reply, answer) = oneshot::channel();
        let gone = || Placement::Refuse(Refusal::not_run(Code::Leaving, "the host is stopping"));
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        if self.place.send(Place { ticket, ask, fingerprint, reply }).await.is_err() {
            return gone();
        }
        let mut asker = Asker { ticket, waits: true, notify: self.notify.clone() };
        let placement = answer.await.unwrap_or_else(|_| gone());
        asker.waits = false;
        placement
    }

    /// Notes that another host had no room for a request of a service.
    pub fn refused(&self, host: id::EntryHost, service: id::Service) {
        let _ = self.notify.send(Notice::Refused { host, service });
    }

    /// Notes that another host could not be reached.
    pub fn unreached(&self, host: id::EntryHost) {
        let _ = self.notify.send(Notice::Unreached { host });
    }

    /// Takes what another host says of its room and returns this host's.
    pub async fn exchange(
        &self,
        host: id::EntryHost,
        digest: Digest,
        words: Vec<Report>,
    ) -> Option<Message> {
        let (reply, answer) = oneshot::channel();
        let notice = Notice::Heard { host, digest, words, reply: Some(reply) };
        self.notify.send(notice).ok()?;
        answer.await.ok()
    }

    fn heard(&self, host: id::EntryHost, digest: Digest, words: Vec<Report>) {
        let _ = self.notify.send(Notice::Heard { host, digest, words, reply: None });
    }

    /// Returns what is known of fingerprints that broke targets off.
    pub async fn quarantine(&self) -> Vec<Report> {
        let (reply, answer) = oneshot::channel();
        let _ = self.notify.send(Notice::Words(reply));
        answer.await.unwrap_or_default()
    }

    /// Releases a fingerprint; returns whether it was held back.
    pub async fn release(&self, fingerprint: Fingerprint) -> bool {
        let (reply, answer) = oneshot::channel();
        let _ = self.notify.send(Notice::Release { fingerprint, reply });
        answer.await.unwrap_or_default()
    }
}

/// Spawns the task.
pub fn spawn(context: Context, fleet: fleet::Handle, peers: peers::Handle) -> Handle {
    let (place, places) = mpsc::channel(QUEUE_MESSAGES);
    let (notify, notices) = mpsc::unbounded_channel();
    let handle = Handle { place, notify, tickets: Arc::default() };
    let settings = &context.settings;
    let room = Room::new(settings.name.clone(), context.incarnation, settings.data_centre.clone());
    let task = Task {
        context,
        fleet,
        peers,
        room,
        quarantine: Quarantine::default(),
        replies: HashMap::new(),
        notify: handle.notify.clone(),
        handle: handle.clone(),
        rounds: 0,
    };
    tokio::spawn(task.run(places, notices));
    handle
}

struct Task {
    context: Context,
    fleet: fleet::Handle,
    peers: peers::Handle,
    room: Room,
    quarantine: Quarantine,
    replies: HashMap<Ticket, Waiting>,
    notify: mpsc::UnboundedSender<Notice>,
    handle: Handle,
    rounds: u64,
}

impl Task {
    async fn run(
        mut self,
        mut places: mpsc::Receiver<Place>,
        mut notices: mpsc::UnboundedReceiver<Notice>,
    ) {
        let mut tick = time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut tell = time::interval(TELL_INTERVAL);
        tell.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                Some(notice) = notices.recv() => self.notice(notice),
                _ = tick.tick() => self.room.tick(self.context.clock.now()),
                _ = tell.tick() => self.tell(),
                place = places.recv() => match place {
                    Some(place) => self.place(place),
                    None => return,
                },
            }
            self.act();
        }
    }

    fn place(&mut self, place: Place) {
        let now = self.update();
        // The asker went away, and its notice may have come first.
        if place.reply.is_closed() {
            return;
        }
        if let Some(left) = place.fingerprint.and_then(|f| self.quarantine.remaining_hold(now, f)) {
            let refusal = Refusal::not_run(Code::Quarantined, "two targets broke off running it");
            let _ = place.reply.send(Placement::Refuse(refusal.retry_after(left)));
            return;
        }
        let waiting = Waiting { reply: place.reply, fingerprint: place.fingerprint };
        self.replies.insert(place.ticket, waiting);
        self.room.place(now, place.ticket, place.ask);
    }

    fn notice(&mut self, notice: Notice) {
        let now = self.update();
        match notice {
            Notice::Cancel(ticket) => {
                self.replies.remove(&ticket);
                self.room.cancel(ticket);
            }
            Notice::End { target, outcome, fingerprint } => {
                if let (Some(fingerprint), Outcome::Answered { .. }) = (fingerprint, outcome) {
                    self.quarantine.record_answer(fingerprint);
                }
                if let Outcome::Shed { .. } | Outcome::Unreachable = outcome {
                    self.context.journal.note(
                        Event::TargetClosed,
                        &[("target", &target), ("reason", &reason(outcome))],
                    );
                }
                self.room.end(now, &target, outcome);
            }
            Notice::Refused { host, service } => self.room.record_refusal(now, &host, &service),
            Notice::Unreached { host } => self.room.record_unreachable(now, &host),
            Notice::BrokeOff { target, fingerprint } => {
                if self.quarantine.record_failure(now, fingerprint, &target) {
                    self.note_held(fingerprint);
                }
            }
            Notice::Words(reply) => {
                let _ = reply.send(self.quarantine.reports(now));
            }
            Notice::Release { fingerprint, reply } => {
                let released = self.quarantine.release(now, fingerprint);
                if released {
                    let fields: [(&str, &dyn std::fmt::Display); 1] =
                        [("fingerprint", &fingerprint)];
                    self.context.journal.note(Event::QuarantineReleased, &fields);
                }
                let _ = reply.send(released);
            }
            Notice::Heard { host, digest, words, reply } => {
                self.room.apply_digest(now, &host, digest);
                for fingerprint in self.quarantine.merge(now, words) {
                    self.note_held(fingerprint);
                }
                if let Some(reply) = reply {
                    let _ = reply.send(self.message(now));
                }
            }
        }
    }

    fn note_held(&self, fingerprint: Fingerprint) {
        self.context.journal.note(Event::Quarantined, &[("fingerprint", &fingerprint)]);
    }

    /// Returns what other hosts are to know.
    fn message(&mut self, now: Time) -> Message {
        let digest = self.room.digest(now);
        Message::new(&self.context.settings.name, &digest, &self.quarantine.reports(now))
    }

    fn update(&mut self) -> Time {
        let now = self.context.clock.now();
        self.room.update(now, &self.fleet.catalog(), &self.fleet.view());
        now
    }

    fn act(&mut self) {
        for Action { ticket, decision, reason } in self.room.take_actions() {
            let Some(waiting) = self.replies.remove(&ticket) else { continue };
            let placement = match decision {
                Decision::Run(target) => Placement::Run(Slot {
                    target,
                    reason,
                    fingerprint: waiting.fingerprint,
                    taken: time::Instant::now(),
                    outcome: None,
                    notify: self.notify.clone(),
                }),
                Decision::Forward(host) => Placement::Forward { host, reason },
                Decision::Refuse(refusal) => Placement::Refuse(refusal),
            };
            // An asker that has gone away drops the placement, which gives back the slot.
            let _ = waiting.reply.send(placement);
        }
        for invariant in self.room.take_violations() {
            let name = invariant.as_str();
            metrics::counter!("toucanhoist_invariant_violations_total", "invariant" => name)
                .increment(1);
            self.context.journal.note(Event::InvariantViolated, &[("invariant", &name)]);
        }
    }

    /// Tells other hosts of the room here, beside the task.
    fn tell(&mut self) {
        let now = self.update();
        self.rounds += 1;
        let (catalog, view) = (self.fleet.catalog(), self.fleet.view());
        let region = catalog.region(&self.context.settings.data_centre);
        let far = self.rounds % FAR_ROUNDS == 0;
        let told = |m: &&Member| {
            m.name != self.context.settings.name
                && (far || catalog.region(&m.data_centre) == region)
        };
        let hosts: Vec<&Member> = view.live().filter(told).collect();
        let message = self.message(now);
        let first = usize::try_from(self.rounds).unwrap_or(0) * TELL_HOSTS_MAX;
        let count = hosts.len().min(TELL_HOSTS_MAX);
        for i in 0..count {
            let member = hosts[(first + i) % hosts.len()];
            let (peers, handle) = (self.peers.clone(), self.handle.clone());
            tokio::spawn(exchange(peers, handle, member.clone(), message.clone()));
        }
    }
}

fn reason(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Shed { .. } => "it shed load",
        Outcome::Unreachable => "it cannot be reached",
        Outcome::Answered { .. } | Outcome::Unknown => "none",
    }
}

async fn exchange(peers: peers::Handle, handle: Handle, member: Member, message: Message) {
    let Some(channel) = peers.channel(member.peers).await else { return };
    let Ok(request) = peers.sign(message) else { return };
    let mut client = RoomClient::new(channel);
    let Ok(Ok(answer)) = time::timeout(TELL_TIMEOUT, client.exchange(request)).await else {
        return;
    };
    let mut answer = answer.into_inner();
    let host = answer.host().ok().filter(|host| *host == member.name);
    let words = answer.take_suspicions().unwrap_or_default();
    if let (Some(host), Ok(digest)) = (host, answer.try_into()) {
        handle.heard(host, digest, words);
    }
}
