//! The task that assigns slots of targets to requests.
//!
//! It also exchanges capacity digests with the other hosts: often with those of its own region,
//! less often with those of other regions.

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
    toucanhoist_wire::room::{Digest as WireDigest, room_client::RoomClient},
};

use super::{Context, fleet, peers};

const QUEUE_MESSAGES: usize = 1_024;
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of hosts that are contacted in one round.
const EXCHANGE_HOSTS_MAX: usize = 16;
/// One round in this many includes the hosts of other regions.
const REMOTE_ROUNDS: u64 = 5;

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
    /// Forward it to another entry host.
    Forward {
        /// The host.
        host: id::EntryHost,
        /// Reason for the choice.
        reason: &'static str,
    },
    /// Refuse it.
    Refuse(Refusal),
}

/// A slot in use, released when dropped.
#[derive(Debug)]
pub struct Slot {
    target: id::Target,
    reason: &'static str,
    fingerprint: Option<Fingerprint>,
    taken: time::Instant,
    outcome: Option<Outcome>,
    notify: mpsc::UnboundedSender<Notice>,
}

/// A notification to the task; sending one never waits.
#[derive(Debug)]
enum Notice {
    /// The caller of a request no longer waits for its placement.
    Cancel(Ticket),
    /// A request on a target has ended.
    End { target: id::Target, outcome: Outcome, fingerprint: Option<Fingerprint> },
    /// A target failed while it ran a request.
    TargetFailed { target: id::Target, fingerprint: Fingerprint },
    /// An operator lists the quarantine.
    ListReports(oneshot::Sender<Vec<Report>>),
    /// An operator releases a fingerprint from quarantine.
    Release { fingerprint: Fingerprint, reply: oneshot::Sender<bool> },
    /// A request that was forwarded to another host has ended there.
    ForwardEnded { host: id::EntryHost, service: id::Service },
    /// Another host had no capacity for a request of a service.
    Refused { host: id::EntryHost, service: id::Service },
    /// Another host could not be reached.
    Unreachable { host: id::EntryHost },
    /// Another host sent its capacity digest and quarantine; the reply is those of this host.
    DigestReceived {
        host: id::EntryHost,
        digest: Digest,
        reports: Vec<Report>,
        reply: Option<oneshot::Sender<WireDigest>>,
    },
}

/// Asks the task for the placement of a request.
#[derive(Debug)]
struct Place {
    ticket: Ticket,
    request: PlacementRequest,
    fingerprint: Option<Fingerprint>,
    reply: oneshot::Sender<Placement>,
}

/// A request that waits for its placement.
struct Waiting {
    reply: oneshot::Sender<Placement>,
    fingerprint: Option<Fingerprint>,
}

/// Cancels a request when dropped before its placement has arrived.
struct CancelGuard {
    ticket: Ticket,
    is_armed: bool,
    notify: mpsc::UnboundedSender<Notice>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let _ = self.notify.send(Notice::Cancel(self.ticket));
        }
    }
}

impl Slot {
    /// Returns the target.
    pub fn target(&self) -> &id::Target {
        &self.target
    }

    /// Returns the reason for the choice of the target.
    pub fn reason(&self) -> &'static str {
        self.reason
    }

    /// Releases the slot with an outcome other than a completed answer.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    /// Reports that the target failed while it ran the request.
    pub fn report_failure(&self) {
        if let Some(fingerprint) = self.fingerprint {
            let target = self.target.clone();
            let _ = self.notify.send(Notice::TargetFailed { target, fingerprint });
        }
    }

    /// Records that the target has answered.
    pub fn record_answer(&mut self) {
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
    /// Decides what to do with a request; waits while the request waits for a slot.
    pub async fn place(
        &self,
        request: PlacementRequest,
        fingerprint: Option<Fingerprint>,
    ) -> Placement {
        let (reply, answer) = oneshot::channel();
        let stopping =
            || Placement::Refuse(Refusal::not_run(Code::Leaving, "the host is stopping"));
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        if self.place.send(Place { ticket, request, fingerprint, reply }).await.is_err() {
            return stopping();
        }
        let mut guard = CancelGuard { ticket, is_armed: true, notify: self.notify.clone() };
        let placement = answer.await.unwrap_or_else(|_| stopping());
        guard.is_armed = false;
        placement
    }

    /// Reports that a request that was forwarded to another host has ended there.
    pub fn report_forward_end(&self, host: id::EntryHost, service: id::Service) {
        let _ = self.notify.send(Notice::ForwardEnded { host, service });
    }

    /// Reports that another host had no capacity for a request of a service.
    pub fn report_refusal(&self, host: id::EntryHost, service: id::Service) {
        let _ = self.notify.send(Notice::Refused { host, service });
    }

    /// Reports that another host could not be reached.
    pub fn report_unreachable(&self, host: id::EntryHost) {
        let _ = self.notify.send(Notice::Unreachable { host });
    }

    /// Passes on the capacity digest and the quarantine of another host and returns this host's.
    pub async fn exchange(
        &self,
        host: id::EntryHost,
        digest: Digest,
        reports: Vec<Report>,
    ) -> Option<WireDigest> {
        let (reply, answer) = oneshot::channel();
        let notice = Notice::DigestReceived { host, digest, reports, reply: Some(reply) };
        self.notify.send(notice).ok()?;
        answer.await.ok()
    }

    fn digest_received(&self, host: id::EntryHost, digest: Digest, reports: Vec<Report>) {
        let _ = self.notify.send(Notice::DigestReceived { host, digest, reports, reply: None });
    }

    /// Lists the fingerprints that are suspected, quarantined or released.
    pub async fn quarantine(&self) -> Vec<Report> {
        let (reply, answer) = oneshot::channel();
        let _ = self.notify.send(Notice::ListReports(reply));
        answer.await.unwrap_or_default()
    }

    /// Releases a fingerprint from quarantine; returns whether it was quarantined.
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
        waiting: HashMap::new(),
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
    waiting: HashMap<Ticket, Waiting>,
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
        let mut exchanges = time::interval(EXCHANGE_INTERVAL);
        exchanges.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                Some(notice) = notices.recv() => self.handle_notice(notice),
                _ = tick.tick() => self.room.tick(self.context.clock.now()),
                _ = exchanges.tick() => self.start_exchanges(),
                place = places.recv() => match place {
                    Some(place) => self.place(place),
                    None => return,
                },
            }
            self.apply_actions();
        }
    }

    fn place(&mut self, place: Place) {
        let now = self.update();
        // The caller has disconnected, and its cancellation may have been handled before.
        if place.reply.is_closed() {
            return;
        }
        if let Some(remaining) =
            place.fingerprint.and_then(|f| self.quarantine.remaining_hold(now, f))
        {
            let refusal = Refusal::not_run(
                Code::Quarantined,
                "two targets failed while running requests like this one",
            );
            let _ = place.reply.send(Placement::Refuse(refusal.retry_after(remaining)));
            return;
        }
        let waiting = Waiting { reply: place.reply, fingerprint: place.fingerprint };
        self.waiting.insert(place.ticket, waiting);
        self.room.place(now, place.ticket, place.request);
    }

    fn handle_notice(&mut self, notice: Notice) {
        let now = self.update();
        match notice {
            Notice::Cancel(ticket) => {
                self.waiting.remove(&ticket);
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
            Notice::ForwardEnded { host, service } => self.room.record_forward_end(&host, &service),
            Notice::Refused { host, service } => self.room.record_refusal(now, &host, &service),
            Notice::Unreachable { host } => self.room.record_unreachable(now, &host),
            Notice::TargetFailed { target, fingerprint } => {
                if self.quarantine.record_failure(now, fingerprint, &target) {
                    self.log_quarantined(fingerprint);
                }
            }
            Notice::ListReports(reply) => {
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
            Notice::DigestReceived { host, digest, reports, reply } => {
                self.room.apply_digest(now, &host, digest);
                for fingerprint in self.quarantine.merge(now, reports) {
                    self.log_quarantined(fingerprint);
                }
                if let Some(reply) = reply {
                    let _ = reply.send(self.wire_digest(now));
                }
            }
        }
    }

    fn log_quarantined(&self, fingerprint: Fingerprint) {
        self.context.journal.note(Event::Quarantined, &[("fingerprint", &fingerprint)]);
    }

    /// Returns the capacity digest and the quarantine for other hosts.
    fn wire_digest(&mut self, now: Time) -> WireDigest {
        let digest = self.room.digest(now);
        WireDigest::new(&self.context.settings.name, &digest, &self.quarantine.reports(now))
    }

    fn update(&mut self) -> Time {
        let now = self.context.clock.now();
        self.room.update(now, &self.fleet.catalog(), &self.fleet.view());
        now
    }

    fn apply_actions(&mut self) {
        for Action { ticket, decision, reason } in self.room.take_actions() {
            let Some(waiting) = self.waiting.remove(&ticket) else { continue };
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
            // If the caller has disconnected, the placement is dropped, which releases the slot.
            let _ = waiting.reply.send(placement);
        }
        for invariant in self.room.take_violations() {
            let name = invariant.as_str();
            metrics::counter!("toucanhoist_invariant_violations_total", "invariant" => name)
                .increment(1);
            self.context.journal.note(Event::InvariantViolated, &[("invariant", &name)]);
        }
    }

    /// Starts exchanges of digests with other hosts; they run in tasks of their own.
    fn start_exchanges(&mut self) {
        let now = self.update();
        self.rounds += 1;
        let (catalog, view) = (self.fleet.catalog(), self.fleet.view());
        let region = catalog.region(&self.context.settings.data_centre);
        let includes_remote = self.rounds % REMOTE_ROUNDS == 0;
        let is_included = |m: &&Member| {
            m.name != self.context.settings.name
                && (includes_remote || catalog.region(&m.data_centre) == region)
        };
        let hosts: Vec<&Member> = view.live().filter(is_included).collect();
        let digest = self.wire_digest(now);
        let first = usize::try_from(self.rounds).unwrap_or(0) * EXCHANGE_HOSTS_MAX;
        let count = hosts.len().min(EXCHANGE_HOSTS_MAX);
        for i in 0..count {
            let member = hosts[(first + i) % hosts.len()];
            let (peers, handle) = (self.peers.clone(), self.handle.clone());
            tokio::spawn(exchange(peers, handle, member.clone(), digest.clone()));
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

async fn exchange(peers: peers::Handle, handle: Handle, member: Member, digest: WireDigest) {
    let Some(channel) = peers.channel(member.peers).await else { return };
    let Ok(request) = peers.sign(digest) else { return };
    let mut client = RoomClient::new(channel);
    let Ok(Ok(answer)) = time::timeout(EXCHANGE_TIMEOUT, client.exchange(request)).await else {
        return;
    };
    let mut answer = answer.into_inner();
    let host = answer.host().ok().filter(|host| *host == member.name);
    let reports = answer.take_suspicions().unwrap_or_default();
    if let (Some(host), Ok(digest)) = (host, answer.try_into()) {
        handle.digest_received(host, digest, reports);
    }
}
