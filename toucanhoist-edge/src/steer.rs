/*!
The task that decides about a host's requests: tokens of client accounts, crash quarantine, and the choice of
targets.

A request asks through a [`Handle`] and gets either a [`Lease`] of a target or a refusal. Dropping a lease
releases it.
*/

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use {
    tokio::{
        sync::{mpsc, oneshot},
        time::{self, Instant},
    },
    toucanhoist_core::{
        clock::Time,
        event::Event,
        id,
        quarantine::{Fingerprint, Quarantine},
        steering::{
            self, Announced, Arrival, Balancer, EntryHost, Failure, LOAD_EXCHANGE_HOSTS_MIN,
            LOAD_EXCHANGE_INTERVAL, LimitReport, Outcome, Path, Placement, PlacementRequest, Probe,
            Refused, RetryTerms, Routes, Settings, Target, TargetState, Ticket, limit::Learned,
        },
    },
    toucanhoist_wire::steering::{Hold, Limits, Requests, Suspicions, packet},
};

use self::accounts::Accounts;
use crate::{
    clock::Clock,
    journal::{Field, Journal, shortened},
    peers::{self, Received},
    settings, target,
};

mod accounts;

/// Interval at which waiting requests are reconsidered, in addition to each end of a request; a small part of
/// the shortest latency objective.
const WAITING_TICK: Duration = Duration::from_millis(20);
/// Interval at which shares and suspicions are processed while no request waits.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Interval at which suspicions are sent to other hosts.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);
/// Suspicions in one datagram.
const SUSPICIONS_MAX: usize = 64;
/// Fraction of the shift cap that is used, since a window with other boundaries contains other requests, and
/// may contain more shifts.
const SHIFT_USED_FRACTION: f64 = 0.6;
/// Length of the window over which the shift cap applies.
const SHIFT_INTERVAL: Duration = Duration::from_secs(2);
/// Fraction of the cold rate that is used, since requests may arrive closer together than they are sent.
const COLD_USED_FRACTION: f64 = 0.9;

/// Histogram of the longest time for which the store can have had the withdrawal of a target, in seconds.
pub(crate) const WITHDRAWAL_METRIC: &str = "toucanhoist_withdrawal_delay_seconds";

/// A message to the task.
#[derive(Debug)]
pub enum Input {
    /// A configuration came into force.
    Config(Arc<Routes>),
    /// The entry of a target changed; `None` if it was removed.
    Target(id::Target, Option<Target>, Arrival),
    /// Data centres under evacuation.
    Evacuated(BTreeSet<id::DataCentre>),
    /// Entry hosts that have registered.
    Hosts(BTreeMap<id::EntryHost, EntryHost>),
    /// A datagram from another host.
    Packet(Received<packet::Body>),
    /// A request needs a token of its account.
    Admit(id::Account, accounts::Reply),
    /// A request needs a target.
    Place(Box<PendingRequest>),
    /// The request of a lease has ended.
    End(Box<Ticket>, Outcome),
    /// A connection to a target is to be made for a request that may be handled in the regions, or anywhere.
    Plan(id::Target, Box<[id::Region]>, oneshot::Sender<Vec<Step>>),
    /// An attempt to connect to a target has ended.
    Connected(id::Target, Path, Result<(), Failure>),
    /// Another host asks for a tunnel to a target at an address.
    CheckTunnel(id::Target, SocketAddr, oneshot::Sender<Result<(), Failure>>),
    /// The target of a request has begun an answer that announces a limit, or none.
    Announced(Box<Ticket>, Announced),
    /// An answer of a target says that this incarnation of it leaves.
    Leaving(id::Target, u64),
    /// An incarnation of a target wants no requests of this host for some time, nor of the host that carried its
    /// answer.
    Hold(id::Target, u64, Duration, Option<id::EntryHost>),
    /// A waiting request was cancelled.
    Cancel(u64),
    /// A target crashed while it ran a request.
    Crashed(Fingerprint, id::Target),
    /// A target answered a request.
    Answered(Fingerprint),
}

/// An attempt to connect to a target.
#[derive(Clone, Debug)]
pub struct Step {
    /// How.
    pub path: Path,
    /// The host that would carry a tunnel.
    pub helper: Option<Helper>,
    /// Time for which the attempts before may take, unless all of them fail earlier.
    pub delay: Duration,
}

/// A host that may carry a tunnel.
#[derive(Clone, Debug)]
pub struct Helper {
    /// Its address for other hosts.
    pub address: SocketAddr,
    /// Its region.
    pub region: Option<id::Region>,
}

/// A request that needs a target.
#[derive(Debug)]
pub struct PendingRequest {
    /// What the balancer needs to know about it.
    pub request: PlacementRequest,
    /// Hash of its content, which equal requests share.
    pub fingerprint: Fingerprint,
    reply: oneshot::Sender<Decision>,
}

/// Decision about a request that needs a target.
#[derive(Debug)]
pub enum Decision {
    /// The request may be sent to the target of a lease.
    Granted(Lease),
    /// The request is refused and has not run; it may be retried after the time.
    Refused(Refused, Duration),
    /// Requests with its content crash targets, so it is quarantined for this time.
    Quarantined(Duration),
}

/// Permission to run one request at a target, released when it is dropped.
#[derive(Debug)]
pub struct Lease {
    ticket: Option<Box<Ticket>>,
    handle: Handle,
}

impl Lease {
    /// Returns the ticket, which names the target.
    pub fn ticket(&self) -> &Ticket {
        self.ticket.as_deref().expect("a lease has its ticket until it ends")
    }

    /// Sets the host through whose tunnel the request was sent.
    pub fn set_via(&mut self, via: Option<id::EntryHost>) {
        if let Some(ticket) = &mut self.ticket {
            ticket.via = via;
        }
    }

    /// Releases the lease, and reports how the request ended.
    pub fn end(mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            self.handle.send(Input::End(ticket, outcome));
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.handle.send(Input::End(ticket, Outcome::Abandoned));
        }
    }
}

/// Sends messages to the task.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Creates a handle, and the queue that [`Task::run`] reads.
    pub fn new() -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (queue, inputs) = mpsc::unbounded_channel();
        (Handle { queue }, inputs)
    }

    /// Sends a message to the task.
    pub fn send(&self, input: Input) {
        // The task ends only with the process.
        let _ = self.queue.send(input);
    }

    /// Takes a token of an account.
    ///
    /// # Errors
    ///
    /// The account is over its rate; the value is the time after which a token is available.
    pub async fn admit(&self, account: &id::Account) -> Result<(), Duration> {
        let (reply, admitted) = oneshot::channel();
        self.send(Input::Admit(account.clone(), reply));
        admitted.await.unwrap_or(Err(Duration::from_secs(1)))
    }

    /// Returns the attempts to connect to a target.
    pub async fn plan(&self, target: &id::Target, homes: &[id::Region]) -> Vec<Step> {
        let (reply, plan) = oneshot::channel();
        self.send(Input::Plan(target.clone(), homes.into(), reply));
        plan.await.unwrap_or_default()
    }

    /// Returns whether this host can carry a tunnel to a target at an address.
    ///
    /// # Errors
    ///
    /// It has no path to the target, or to any.
    pub async fn check_tunnel(
        &self,
        target: &id::Target,
        address: SocketAddr,
    ) -> Result<(), Failure> {
        let (reply, result) = oneshot::channel();
        self.send(Input::CheckTunnel(target.clone(), address, reply));
        result.await.unwrap_or(Err(Failure::NoHelper))
    }

    /// Asks for a target. Dropping the future cancels the request.
    pub async fn place(&self, request: PlacementRequest, fingerprint: Fingerprint) -> Decision {
        let (reply, decision) = oneshot::channel();
        let guard = CancelGuard { number: request.number, handle: self, is_armed: true };
        self.send(Input::Place(Box::new(PendingRequest { request, fingerprint, reply })));
        let decision = decision.await;
        guard.disarm();
        decision.unwrap_or(Decision::Refused(Refused::NoTarget, Duration::from_secs(1)))
    }
}

/// Cancels a request when it is dropped before the decision.
struct CancelGuard<'a> {
    number: u64,
    handle: &'a Handle,
    is_armed: bool,
}

impl CancelGuard<'_> {
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.handle.send(Input::Cancel(self.number));
        }
    }
}

/// The task that owns the decisions.
pub struct Task {
    clock: Clock,
    journal: Arc<Journal>,
    peers: peers::Sender,
    handle: Handle,
    targets: target::Pool,
    host: id::EntryHost,
    regions: BTreeMap<id::DataCentre, id::Region>,
    balancer: Balancer,
    /// Whether the host was cut off from targets at the last tick.
    is_cut_off: bool,
    replies: HashMap<u64, oneshot::Sender<Decision>>,
    quarantine: Quarantine,
    accounts: Accounts,
    hosts: Arc<BTreeMap<id::EntryHost, EntryHost>>,
    /// Addresses of the other hosts of the region.
    region_peers: Vec<SocketAddr>,
    routes: Option<Arc<Routes>>,
    suspicions_sent: Time,
    load_sent: Time,
    /// Whether the last load datagram had any content.
    has_sent_load: bool,
}

impl Task {
    /// Creates the task of a host.
    pub fn new(
        settings: &settings::Settings,
        clock: Clock,
        journal: Arc<Journal>,
        peers: peers::Sender,
        handle: Handle,
        targets: target::Pool,
    ) -> Task {
        let bounds = &settings.bounds;
        let balancer = Balancer::new(Settings {
            host: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            regions: settings.regions.clone(),
            retries: RetryTerms {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
                window: bounds.retry_window_s,
            },
            shift_cap: bounds.shift_cap * SHIFT_USED_FRACTION,
            shift_interval: SHIFT_INTERVAL,
            cold_factor: bounds.cold_factor * COLD_USED_FRACTION,
            cold_extra: bounds.cold_extra * COLD_USED_FRACTION,
            restarted: (!settings.first_start).then(|| clock.now()),
            seed: rand::random(),
        });
        Task {
            accounts: Accounts::new(settings, peers.clone()),
            clock,
            journal,
            peers,
            handle,
            targets,
            host: settings.name.clone(),
            regions: settings.regions.clone(),
            balancer,
            is_cut_off: false,
            replies: HashMap::new(),
            quarantine: Quarantine::default(),
            hosts: Arc::default(),
            region_peers: Vec::new(),
            routes: None,
            suspicions_sent: Time::ZERO,
            load_sent: Time::ZERO,
            has_sent_load: false,
        }
    }

    /// Runs as long as the process, since the task itself holds a handle.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut ticked = Instant::now();
        loop {
            let has_waiting = self.balancer.is_waiting() || self.accounts.is_waiting();
            let due = ticked + if has_waiting { WAITING_TICK } else { IDLE_TICK };
            let input = tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => Some(input),
                    None => return,
                },
                () = time::sleep_until(due) => None,
            };
            let now = self.clock.now();
            if let Some(input) = input {
                self.handle(now, input);
            }
            // What has arrived is handled before waiting requests are reconsidered.
            for _ in 0..inputs.len() {
                let Ok(input) = inputs.try_recv() else { break };
                self.handle(now, input);
            }
            if Instant::now() >= due {
                ticked = Instant::now();
                self.tick(now);
            } else {
                let placements = self.balancer.poll_freed(now);
                self.deliver(placements);
                if self.balancer.has_unsent_limits() {
                    self.send_limits(now);
                }
            }
        }
    }

    fn tick(&mut self, now: Time) {
        let placements = self.balancer.poll(now);
        self.deliver(placements);
        self.accounts.poll(now);
        self.send_load(now);
        self.send_limits(now);
        self.send_suspicions(now);
        self.probe(now);
    }

    /// Tries the paths that are in doubt, and logs when the host is cut off or no longer.
    fn probe(&mut self, now: Time) {
        for Probe { target, address, steps } in self.balancer.due_probes(now) {
            let steps = self.with_helpers(steps);
            tokio::spawn(self.targets.clone().probe(address, target, steps));
        }
        let is_cut_off = self.balancer.is_cut_off();
        if std::mem::replace(&mut self.is_cut_off, is_cut_off) != is_cut_off {
            let event = if is_cut_off { Event::CutOff } else { Event::CutOffEnded };
            self.journal.note(event, &[]);
        }
    }

    fn with_helpers(&self, steps: Vec<steering::Step>) -> Vec<Step> {
        let with_helper = |steering::Step { path, delay }| {
            let helper = match &path {
                Path::Direct => None,
                Path::Tunnel(host) => self.hosts.get(host).map(|host| Helper {
                    address: host.peers,
                    region: self.regions.get(&host.data_centre).cloned(),
                }),
            };
            Step { path, helper, delay }
        };
        steps.into_iter().map(with_helper).collect()
    }

    fn handle(&mut self, now: Time, input: Input) {
        match input {
            Input::Config(routes) => {
                self.balancer.set_config(now, routes.config());
                self.routes = Some(routes);
                self.set_shares(now);
            }
            Input::Target(name, target, arrival) => {
                self.balancer.set_target(now, &name, target.as_ref());
                record_withdrawal(now, target.as_ref(), arrival);
            }
            Input::Evacuated(evacuated) => self.balancer.set_evacuated(now, evacuated),
            Input::Hosts(hosts) => {
                self.hosts = Arc::new(hosts);
                self.accounts.set_hosts(Arc::clone(&self.hosts));
                self.balancer.set_hosts(now, accounts::data_centres(&self.hosts));
                self.set_region_peers();
                self.set_shares(now);
            }
            Input::Packet(received) => self.handle_packet(now, received.from, received.message),
            Input::Admit(account, reply) => self.accounts.admit(now, &account, reply),
            Input::Place(pending) => self.place(now, *pending),
            Input::End(ticket, outcome) => {
                self.balancer.end(now, &ticket, outcome);
                self.log_limits();
            }
            Input::Plan(target, homes, reply) => {
                let steps = self.balancer.plan_connection(now, &target, &homes);
                // The request may have been dropped.
                let _ = reply.send(self.with_helpers(steps));
            }
            Input::Connected(target, path, result) => {
                self.balancer.record_connection(now, &target, &path, result);
            }
            Input::CheckTunnel(target, address, reply) => {
                // The other host may have stopped waiting.
                let _ = reply.send(self.balancer.check_tunnel(now, &target, address));
            }
            Input::Announced(ticket, announced) => {
                self.balancer.record_announced(now, &ticket, announced);
                self.log_limits();
            }
            Input::Leaving(target, born) => {
                self.balancer.record_leaving(now, &target, born);
                self.log_limits();
            }
            Input::Hold(target, born, time, via) => {
                self.balancer.hold(now, &target, born, time);
                if let Some(host) = via.and_then(|via| self.hosts.get(&via)) {
                    let left_ms = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
                    let hold = Hold { target: target.to_string(), born, left_ms };
                    let limits = Limits { limits: Vec::new(), holds: vec![hold] };
                    self.peers.send(host.peers, packet::Body::Limits(limits));
                }
            }
            Input::Cancel(number) => {
                self.replies.remove(&number);
                self.balancer.cancel(number);
            }
            // A host without paths cannot tell a crash from a broken path.
            Input::Crashed(..) if self.balancer.is_cut_off() => {}
            Input::Crashed(fingerprint, target) => {
                if self.quarantine.record_failure(now, fingerprint, &target) {
                    self.log_quarantined(fingerprint);
                }
                self.suspicions_sent = Time::ZERO;
            }
            Input::Answered(fingerprint) => self.quarantine.record_answer(fingerprint),
        }
    }

    fn place(&mut self, now: Time, pending: PendingRequest) {
        let PendingRequest { request, fingerprint, reply } = pending;
        if let Some(left) = self.quarantine.remaining_hold(now, fingerprint) {
            // The request may have been dropped.
            let _ = reply.send(Decision::Quarantined(left));
            return;
        }
        self.replies.insert(request.number, reply);
        let placements = self.balancer.place(now, request);
        self.deliver(placements);
    }

    fn deliver(&mut self, placements: Vec<(u64, Placement)>) {
        for (number, placement) in placements {
            let decision = match placement {
                Placement::Send(ticket) => {
                    if ticket.limit.is_some() {
                        let service = shortened(ticket.service.as_str()).to_owned();
                        metrics::counter!("toucanhoist_limited_sends_total", "service" => service)
                            .increment(1);
                    }
                    let ticket = Some(Box::new(ticket));
                    Decision::Granted(Lease { ticket, handle: self.handle.clone() })
                }
                Placement::Refuse { reason, retry_after } => Decision::Refused(reason, retry_after),
            };
            if let Some(reply) = self.replies.remove(&number) {
                // If the request was dropped, the lease is dropped here and released.
                let _ = reply.send(decision);
            }
        }
    }

    fn set_shares(&mut self, now: Time) {
        if let Some(routes) = &self.routes {
            self.accounts.set_shares(now, &routes.config().accounts);
        }
    }

    fn handle_packet(&mut self, now: Time, from: SocketAddr, body: packet::Body) {
        match body {
            packet::Body::TokensAsk(ask) => self.accounts.give_tokens(now, from, ask),
            packet::Body::TokensGiven(given) => self.accounts.take_tokens(now, &given),
            packet::Body::Suspicions(suspicions) => {
                let reports = suspicions.suspicions.into_iter();
                let reports = reports.filter_map(|report| report.try_into().ok()).collect();
                for fingerprint in self.quarantine.merge(now, reports) {
                    self.log_quarantined(fingerprint);
                }
            }
            packet::Body::Requests(load) => {
                let host = self.hosts.iter().find(|(_, host)| host.peers == from);
                let Some((name, _)) = host else { return };
                let requests = load.tags.into_iter().zip(load.counts).collect();
                self.balancer.set_peer_requests(now, name.clone(), requests);
                self.balancer
                    .add_peer_observations(load.seen.iter().map(|seen| (seen.tag, seen.into())));
            }
            packet::Body::Limits(limits) => {
                let reports = limits.limits.into_iter().map(LimitReport::try_from);
                let (reports, malformed): (Vec<_>, Vec<_>) = reports.partition(Result::is_ok);
                if !malformed.is_empty() {
                    metrics::counter!("toucanhoist_datagrams_malformed_total").increment(1);
                }
                self.balancer.merge_limits(now, reports.into_iter().flatten().collect());
                for Hold { target, born, left_ms } in limits.holds {
                    let Ok(target) = target.parse() else { continue };
                    self.balancer.hold(now, &target, born, Duration::from_millis(left_ms.into()));
                }
                self.log_limits();
            }
            // The fleet task handles these.
            packet::Body::Membership(_) | packet::Body::Reach(_) | packet::Body::Changes(_) => {}
        }
    }

    fn set_region_peers(&mut self) {
        let is_region_peer = |(name, host): &(&id::EntryHost, &EntryHost)| {
            **name != self.host && self.balancer.is_in_region(&host.data_centre)
        };
        self.region_peers =
            self.hosts.iter().filter(is_region_peer).map(|(_, host)| host.peers).collect();
    }

    /// Sends the other hosts of the region the number of requests that this host has at each target, and its
    /// observations of slow and failing targets.
    fn send_load(&mut self, now: Time) {
        let is_due = now >= self.load_sent + LOAD_EXCHANGE_INTERVAL;
        if !is_due || self.region_peers.len() + 1 < LOAD_EXCHANGE_HOSTS_MIN {
            return;
        }
        self.load_sent = now;
        let (tags, counts): (Vec<_>, Vec<_>) = self.balancer.own_requests().into_iter().unzip();
        let seen: Vec<_> = self.balancer.take_observations(now).iter().map(Into::into).collect();
        let is_empty = tags.is_empty() && seen.is_empty();
        // An empty datagram is sent once, to clear what the last one reported.
        if !is_empty || self.has_sent_load {
            let requests = packet::Body::Requests(Requests { tags, counts, seen });
            self.peers.send_all(&self.region_peers, requests);
        }
        self.has_sent_load = !is_empty;
    }

    /// Logs the limits of targets that the host has learned of.
    fn log_limits(&mut self) {
        let learned = self.balancer.take_learned_limits();
        if learned.is_empty() {
            return;
        }
        for Learned { target, limit, is_leaving, source } in learned {
            let limit = limit.map_or(Announced::Unlimited, Announced::Limit);
            let fields: [Field<'_>; 4] = [
                ("target", &target),
                ("limit", &limit),
                ("leaving", &is_leaving),
                ("source", &source.as_str()),
            ];
            self.journal.note(Event::TargetLimited, &fields);
        }
        // The number of targets is far below the range of exact integers.
        metrics::gauge!("toucanhoist_limited_targets").set(self.balancer.limited_targets() as f64);
    }

    /// Tells other hosts what they should know of the limits of targets.
    fn send_limits(&mut self, now: Time) {
        for (name, reports) in self.balancer.due_limit_reports(now) {
            let Some(host) = self.hosts.get(&name) else { continue };
            let limits =
                Limits { limits: reports.into_iter().map(Into::into).collect(), holds: Vec::new() };
            self.peers.send(host.peers, packet::Body::Limits(limits));
        }
    }

    fn log_quarantined(&self, fingerprint: Fingerprint) {
        self.journal.note(Event::Quarantined, &[("fingerprint", &fingerprint)]);
    }

    fn send_suspicions(&mut self, now: Time) {
        if self.suspicions_sent != Time::ZERO && now < self.suspicions_sent + SUSPICION_INTERVAL {
            return;
        }
        self.suspicions_sent = now;
        let reports = self.quarantine.due_reports(now, SUSPICIONS_MAX);
        if reports.is_empty() {
            return;
        }
        let suspicions = reports.iter().map(Into::into).collect();
        let packet = packet::Body::Suspicions(Suspicions { suspicions });
        for (name, host) in &*self.hosts {
            if *name != self.host {
                self.peers.send(host.peers, packet.clone());
            }
        }
    }
}

/// Records how long a target that takes no new requests can have been withdrawn at the store until its gate is
/// closed here.
fn record_withdrawal(now: Time, target: Option<&Target>, arrival: Arrival) {
    let is_withdrawn = target.is_none_or(|target| target.state == TargetState::Draining);
    let Some(delay) = arrival.delay_max(now).filter(|_| is_withdrawn) else { return };
    metrics::histogram!(WITHDRAWAL_METRIC, "way" => arrival.way.as_str())
        .record(delay.as_secs_f64());
}
