/*!
The task that owns a host's decisions: tokens of client accounts, crash quarantine, placement.

Requests ask through a [`Handle`] and get an answer, a [`Lease`] on a place at a target or a refusal. A
lease that is dropped gives its place back.
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
            Balancer, EntryHost, LOAD_EXCHANGE_HOSTS_MIN, LOAD_EXCHANGE_INTERVAL, Outcome,
            Placement, PlacementRequest, Refused, RetryTerms, Routes, Settings, Target, Ticket,
        },
    },
    toucanhoist_wire::steering::{Requests, Suspicions, packet},
};

use self::accounts::Accounts;
use crate::{clock::Clock, journal::Journal, peers, settings};

mod accounts;

/// Interval at which requests that wait are looked at, beside the ends of others; a small part of
/// the shortest objective.
const WAITING_TICK: Duration = Duration::from_millis(20);
/// Interval at which shares and suspicions are looked at while nothing waits.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Interval at which suspicions are told to other hosts.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);
/// Suspicions in one datagram.
const SUSPICIONS_MAX: usize = 64;
/// Part of the shift cap that is used, as windows of other bounds see other sums.
const SHIFT_USED_PART: f64 = 0.6;
/// Interval in which the shift cap counts.
const SHIFT_INTERVAL: Duration = Duration::from_secs(2);
/// Part of the cold rate that is used, for requests that arrive closer together than they were sent.
const COLD_USED_PART: f64 = 0.9;

/// A message to the task.
#[derive(Debug)]
pub enum Input {
    /// A configuration came into force.
    Config(Arc<Routes>),
    /// A target's entry changed.
    Target(id::Target, Option<Target>),
    /// Data centres under evacuation.
    Evacuated(BTreeSet<id::DataCentre>),
    /// Entry hosts that have registered.
    Hosts(BTreeMap<id::EntryHost, EntryHost>),
    /// A datagram of another host.
    Packet(SocketAddr, packet::Body),
    /// A request of an account asks for a token.
    Admit(id::Account, accounts::Reply),
    /// A request asks for a place.
    Place(Box<Place>),
    /// A request ended at its target.
    End(Box<Ticket>, Outcome),
    /// A request that waits was given up.
    Cancel(u64),
    /// A target ended while it ran a request.
    Crashed(Fingerprint, id::Target),
    /// A target answered a request.
    Survived(Fingerprint),
}

/// A request that asks for a place.
#[derive(Debug)]
pub struct Place {
    /// What the desk needs to know.
    pub ask: PlacementRequest,
    /// What stands for all requests of its content.
    pub fingerprint: Fingerprint,
    reply: oneshot::Sender<Placed>,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Placed {
    /// It has a place at a target.
    At(Lease),
    /// It is refused and has not run.
    Refused(Refused, Duration),
    /// Requests like it crash targets; it is held back.
    Held(Duration),
}

/// A place at a target, given back when it is dropped.
#[derive(Debug)]
pub struct Lease {
    ticket: Option<Box<Ticket>>,
    handle: Handle,
}

impl Lease {
    /// Returns the place.
    pub fn ticket(&self) -> &Ticket {
        self.ticket.as_deref().expect("a lease has its ticket until it ends")
    }

    /// Gives the place back and says how the request ended.
    pub fn end(mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            self.handle.tell(Input::End(ticket, outcome));
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.handle.tell(Input::End(ticket, Outcome::Abandoned));
        }
    }
}

/// Sends messages to the task.
#[derive(Clone, Debug)]
pub struct Handle {
    queue: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Creates a handle and the queue of the task.
    pub fn new() -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (queue, inputs) = mpsc::unbounded_channel();
        (Handle { queue }, inputs)
    }

    /// Sends a message; the task ends only with the process.
    pub fn tell(&self, input: Input) {
        let _ = self.queue.send(input);
    }

    /// Takes a token of an account.
    ///
    /// # Errors
    ///
    /// Time after which the fleet has a token for the request.
    pub async fn admit(&self, account: &id::Account) -> Result<(), Duration> {
        let (reply, admitted) = oneshot::channel();
        self.tell(Input::Admit(account.clone(), reply));
        admitted.await.unwrap_or(Err(Duration::from_secs(1)))
    }

    /// Asks for a place at a target. Dropping the future takes the request back.
    pub async fn place(&self, ask: PlacementRequest, fingerprint: Fingerprint) -> Placed {
        let (reply, placed) = oneshot::channel();
        let waiting = Waiting { number: ask.number, handle: self, open: true };
        self.tell(Input::Place(Box::new(Place { ask, fingerprint, reply })));
        let placed = placed.await;
        waiting.close();
        placed.unwrap_or(Placed::Refused(Refused::NoTarget, Duration::from_secs(1)))
    }
}

/// Takes a request back that is no longer waited for.
struct Waiting<'a> {
    number: u64,
    handle: &'a Handle,
    open: bool,
}

impl Waiting<'_> {
    fn close(mut self) {
        self.open = false;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.open {
            self.handle.tell(Input::Cancel(self.number));
        }
    }
}

/// The task.
pub struct Task {
    clock: Clock,
    journal: Arc<Journal>,
    peers: peers::Sender,
    handle: Handle,
    host: id::EntryHost,
    desk: Balancer,
    places: HashMap<u64, oneshot::Sender<Placed>>,
    quarantine: Quarantine,
    accounts: Accounts,
    hosts: Arc<BTreeMap<id::EntryHost, EntryHost>>,
    /// Addresses of the other hosts of the region.
    neighbours: Vec<SocketAddr>,
    routes: Option<Arc<Routes>>,
    told: Time,
    told_requests: Time,
    /// Whether the last word of requests named any.
    told_any: bool,
}

impl Task {
    /// Creates the task of a host.
    pub fn new(
        settings: &settings::Settings,
        clock: Clock,
        journal: Arc<Journal>,
        peers: peers::Sender,
        handle: Handle,
    ) -> Task {
        let bounds = &settings.bounds;
        let desk = Balancer::new(Settings {
            host: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            regions: settings.regions.clone(),
            retries: RetryTerms {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
                window: bounds.retry_window_s,
            },
            shift_cap: bounds.shift_cap * SHIFT_USED_PART,
            shift_interval: SHIFT_INTERVAL,
            cold_factor: bounds.cold_factor * COLD_USED_PART,
            cold_extra: bounds.cold_extra * COLD_USED_PART,
        });
        Task {
            accounts: Accounts::new(settings, peers.clone()),
            clock,
            journal,
            peers,
            handle,
            host: settings.name.clone(),
            desk,
            places: HashMap::new(),
            quarantine: Quarantine::default(),
            hosts: Arc::default(),
            neighbours: Vec::new(),
            routes: None,
            told: Time::ZERO,
            told_requests: Time::ZERO,
            told_any: false,
        }
    }

    /// Runs until all handles are gone.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut ticked = Instant::now();
        loop {
            let busy = self.desk.is_waiting() || self.accounts.is_waiting();
            let due = ticked + if busy { WAITING_TICK } else { IDLE_TICK };
            let input = tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => Some(input),
                    None => return,
                },
                () = time::sleep_until(due) => None,
            };
            let now = self.clock.now();
            if let Some(input) = input {
                self.take(now, input);
            }
            // What came meanwhile is taken together, before the requests that wait are looked at.
            while let Ok(input) = inputs.try_recv() {
                self.take(now, input);
            }
            if Instant::now() >= due {
                ticked = Instant::now();
                self.tick(now);
            } else {
                let decided = self.desk.poll_freed(now);
                self.decided(decided);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        let decided = self.desk.poll(now);
        self.decided(decided);
        self.accounts.serve_all(now);
        self.tell_requests(now);
        self.tell_suspicions(now);
    }

    fn take(&mut self, now: Time, input: Input) {
        match input {
            Input::Config(routes) => {
                self.desk.set_config(now, routes.config());
                self.routes = Some(routes);
                self.set_shares(now);
            }
            Input::Target(name, target) => self.desk.set_target(now, &name, target.as_ref()),
            Input::Evacuated(evacuated) => self.desk.set_evacuated(now, evacuated),
            Input::Hosts(hosts) => {
                self.hosts = Arc::new(hosts);
                let centres = self.accounts.set_hosts(Arc::clone(&self.hosts));
                self.desk.set_hosts(centres.clone());
                self.set_neighbours();
                self.set_shares(now);
            }
            Input::Packet(from, body) => self.hear(now, from, body),
            Input::Admit(account, reply) => self.accounts.admit(now, &account, reply),
            Input::Place(place) => self.place(now, *place),
            Input::End(ticket, outcome) => self.desk.end(now, &ticket, outcome),
            Input::Cancel(number) => {
                self.places.remove(&number);
                self.desk.cancel(number);
            }
            Input::Crashed(fingerprint, target) => {
                if self.quarantine.record_failure(now, fingerprint, &target) {
                    self.note_held(fingerprint);
                }
                self.told = Time::ZERO;
            }
            Input::Survived(fingerprint) => self.quarantine.record_answer(fingerprint),
        }
    }

    fn place(&mut self, now: Time, place: Place) {
        let Place { ask, fingerprint, reply } = place;
        if let Some(left) = self.quarantine.remaining_hold(now, fingerprint) {
            // Who asked may have gone.
            let _ = reply.send(Placed::Held(left));
            return;
        }
        self.places.insert(ask.number, reply);
        let decided = self.desk.place(now, ask);
        self.decided(decided);
    }

    fn decided(&mut self, decided: Vec<(u64, Placement)>) {
        for (number, placement) in decided {
            let placed = match placement {
                Placement::Send(ticket) => {
                    let ticket = Some(Box::new(ticket));
                    Placed::At(Lease { ticket, handle: self.handle.clone() })
                }
                Placement::Refuse { reason, retry_after } => Placed::Refused(reason, retry_after),
            };
            if let Some(reply) = self.places.remove(&number) {
                // A lease that nobody takes gives its place back.
                let _ = reply.send(placed);
            }
        }
    }

    fn set_shares(&mut self, now: Time) {
        if let Some(routes) = &self.routes {
            self.accounts.set_shares(now, &routes.config().accounts);
        }
    }

    fn hear(&mut self, now: Time, from: SocketAddr, body: packet::Body) {
        match body {
            packet::Body::TokensAsk(ask) => self.accounts.give(now, from, ask),
            packet::Body::TokensGiven(given) => self.accounts.take(now, &given),
            packet::Body::Suspicions(suspicions) => {
                let words = suspicions.suspicions.into_iter();
                let words = words.filter_map(|word| word.try_into().ok()).collect();
                for fingerprint in self.quarantine.merge(now, words) {
                    self.note_held(fingerprint);
                }
            }
            packet::Body::Requests(told) => {
                let host = self.hosts.iter().find(|(_, host)| host.peers == from);
                let Some((name, _)) = host else { return };
                let requests = told.tags.into_iter().zip(told.counts).collect();
                self.desk.set_peer_requests(now, name.clone(), requests);
                self.desk
                    .add_peer_observations(told.seen.iter().map(|seen| (seen.tag, seen.into())));
            }
            // These are the fleet's.
            packet::Body::Membership(_) | packet::Body::Reach(_) | packet::Body::Changes(_) => {}
        }
    }

    fn set_neighbours(&mut self) {
        let near = |(name, host): &(&id::EntryHost, &EntryHost)| {
            **name != self.host && self.desk.is_in_region(&host.data_centre)
        };
        self.neighbours = self.hosts.iter().filter(near).map(|(_, host)| host.peers).collect();
    }

    /// Tells the other hosts of the region how many requests this one has at each target, and which
    /// targets it has seen to be slow or failing.
    fn tell_requests(&mut self, now: Time) {
        let is_due = now >= self.told_requests + LOAD_EXCHANGE_INTERVAL;
        if !is_due || self.neighbours.len() + 1 < LOAD_EXCHANGE_HOSTS_MIN {
            return;
        }
        self.told_requests = now;
        let (tags, counts): (Vec<_>, Vec<_>) = self.desk.own_requests().into_iter().unzip();
        let seen: Vec<_> = self.desk.take_observations(now).iter().map(Into::into).collect();
        let is_empty = tags.is_empty() && seen.is_empty();
        // That there are none any more is told once.
        if !is_empty || self.told_any {
            let requests = packet::Body::Requests(Requests { tags, counts, seen });
            self.peers.send_all(&self.neighbours, requests);
        }
        self.told_any = !is_empty;
    }

    fn note_held(&self, fingerprint: Fingerprint) {
        self.journal.note(Event::Quarantined, &[("fingerprint", &fingerprint)]);
    }

    fn tell_suspicions(&mut self, now: Time) {
        if self.told != Time::ZERO && now < self.told + SUSPICION_INTERVAL {
            return;
        }
        self.told = now;
        let words = self.quarantine.due_reports(now, SUSPICIONS_MAX);
        if words.is_empty() {
            return;
        }
        let suspicions = words.iter().map(Into::into).collect();
        let packet = packet::Body::Suspicions(Suspicions { suspicions });
        for (name, host) in &*self.hosts {
            if *name != self.host {
                self.peers.send(host.peers, packet.clone());
            }
        }
    }
}
