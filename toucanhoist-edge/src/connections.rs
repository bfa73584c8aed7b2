/*!
The connections of one port, and the room for them.

[`Port::admit`] admits a new connection. If the port is full, or the budget from which its last connections take their
memory is used up, it closes the connection that has waited longest for a
request, and if all of them have requests that are being handled, it refuses the new one.
*/

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use {
    tokio::{
        sync::{Notify, OwnedSemaphorePermit, Semaphore, futures::OwnedNotified},
        time::Instant,
    },
    toucanhoist_core::{
        connections::{Place, Waiting},
        event::Event,
        machine::{self, Allotment},
        memory::{Budget, Share},
    },
};

use crate::journal::Field;

/// Time between two reports of a full port.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A port with a limited number of connections.
#[derive(Debug)]
pub struct Port {
    name: &'static str,
    /// Permits of connections that have memory of their own.
    permits: Arc<Semaphore>,
    /// Room for further connections.
    extra: Option<Extra>,
    /// Notified when a connection has ended.
    released: Notify,
    waiting: Mutex<Waiting<Arc<Notify>>>,
    report: Mutex<Report>,
}

/// Room for connections that take their memory from a budget.
#[derive(Debug)]
struct Extra {
    permits: Arc<Semaphore>,
    memory: Arc<Budget>,
    /// Memory of one connection.
    bytes: usize,
}

impl Extra {
    /// Creates room for at most `max` connections.
    fn new(max: usize, memory: &Arc<Budget>, bytes: usize) -> Extra {
        Extra { permits: Arc::new(Semaphore::new(max)), memory: Arc::clone(memory), bytes }
    }

    fn try_take(&self) -> Option<Permit> {
        let permit = Arc::clone(&self.permits).try_acquire_owned().ok()?;
        let share = self.memory.take(self.bytes)?;
        Some(Permit { _permit: permit, _share: Some(share) })
    }
}

/// Permit of a connection, with its memory if that is taken from a budget.
#[derive(Debug)]
struct Permit {
    _permit: OwnedSemaphorePermit,
    _share: Option<Share>,
}

/// What a full port did to connections since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    /// Waiting connections that were closed.
    closed: u64,
    /// New connections that were refused.
    refused: u64,
    last: Option<Instant>,
}

impl Port {
    /// Creates a port without connections.
    pub fn new(name: &'static str, max: usize) -> Arc<Port> {
        Port::build(name, max, None)
    }

    /// Creates the port for callers, some of whose connections take their memory from the budget of callers.
    pub fn for_callers(allotment: &Allotment, memory: &Arc<Budget>) -> Arc<Port> {
        let Allotment { callers, callers_assured, .. } = *allotment;
        let extra = Extra::new(callers - callers_assured, memory, machine::CALLER_BYTES);
        Port::build("callers", callers_assured, Some(extra))
    }

    fn build(name: &'static str, max: usize, extra: Option<Extra>) -> Arc<Port> {
        let permits = Arc::new(Semaphore::new(max));
        let (waiting, report) = (Mutex::default(), Mutex::default());
        Arc::new(Port { name, permits, extra, released: Notify::new(), waiting, report })
    }

    /// Admits a new connection; `None` if the port is full and no connection waits. `note` logs what a full port does,
    /// once in a while.
    pub async fn admit(
        self: &Arc<Port>,
        note: impl FnOnce(Event, &[Field<'_>]),
    ) -> Option<Arc<Slot>> {
        let slot = self.take_slot().await;
        if let Some(Report { closed, refused, .. }) = self.report() {
            let fields: [Field<'_>; 3] =
                [("port", &self.name), ("closed", &closed), ("refused", &refused)];
            note(Event::PortFull, &fields);
        }
        slot
    }

    async fn take_slot(self: &Arc<Port>) -> Option<Arc<Slot>> {
        let permit = loop {
            if let Some(permit) = self.try_permit() {
                break permit;
            }
            let mut released = pin!(self.released.notified());
            released.as_mut().enable();
            let Some(closing) = self.waiting().take_longest() else {
                self.count("refused", |report| report.refused += 1);
                return None;
            };
            self.count("closed", |report| report.closed += 1);
            closing.notify_one();
            released.await;
        };
        let closing = Arc::new(Notify::new());
        let place = self.waiting().begin(Arc::clone(&closing));
        let state = Mutex::new(State { place: Some(place), busy: 0 });
        Some(Arc::new(Slot { port: Arc::clone(self), closing, state, permit: Some(permit) }))
    }

    fn try_permit(&self) -> Option<Permit> {
        match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => Some(Permit { _permit: permit, _share: None }),
            Err(_) => self.extra.as_ref()?.try_take(),
        }
    }

    /// Returns what the port did when it was full, if there is something to report and the last report was a
    /// while ago.
    fn report(&self) -> Option<Report> {
        let mut report = self.report.lock().expect("no holder of the lock panics");
        let is_due = report.last.is_none_or(|last| last.elapsed() >= REPORT_INTERVAL);
        if report.closed + report.refused == 0 || !is_due {
            return None;
        }
        let last = Some(Instant::now());
        Some(std::mem::replace(&mut *report, Report { last, ..Report::default() }))
    }

    fn count(&self, outcome: &'static str, add: impl Fn(&mut Report)) {
        metrics::counter!(
            "toucanhoist_port_full_total", "port" => self.name, "outcome" => outcome
        )
        .increment(1);
        add(&mut self.report.lock().expect("no holder of the lock panics"));
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting<Arc<Notify>>> {
        self.waiting.lock().expect("no holder of the lock panics")
    }
}

/// A connection's place at its port, until dropped.
#[derive(Debug)]
pub struct Slot {
    port: Arc<Port>,
    /// Notified when the connection is to be closed.
    closing: Arc<Notify>,
    state: Mutex<State>,
    /// Present until the connection ends.
    permit: Option<Permit>,
}

#[derive(Debug)]
struct State {
    /// Place among the connections that wait; `None` if this one does not.
    place: Option<Place>,
    /// Requests that are being handled.
    busy: usize,
}

impl Slot {
    /// Waits until the connection is to be closed.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    /// Returns a future that waits until the connection is to be closed.
    pub fn closing_owned(&self) -> OwnedNotified {
        Arc::clone(&self.closing).notified_owned()
    }

    /// Marks a request as being handled until the guard is dropped, during which the connection is not closed. `None`
    /// if it is to be closed already.
    pub fn begin(self: &Arc<Slot>) -> Option<Busy> {
        let mut state = self.state();
        if let Some(place) = state.place.take() {
            self.port.waiting().end(place)?;
        } else if state.busy == 0 {
            return None;
        }
        state.busy += 1;
        Some(Busy(Arc::clone(self)))
    }

    /// Makes a waiting connection the last one to be closed.
    pub fn renew(&self) {
        let mut state = self.state();
        let Some(place) = state.place else { return };
        let mut waiting = self.port.waiting();
        state.place = waiting.end(place).map(|closing| waiting.begin(closing));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(place) = self.state().place.take() {
            // A connection that was taken to be closed has no place any more.
            let _ = self.port.waiting().end(place);
        }
        self.permit = None;
        self.port.released.notify_waiters();
    }
}

/// Marks a request as being handled.
#[derive(Debug)]
pub struct Busy(Arc<Slot>);

impl Drop for Busy {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.busy -= 1;
        if state.busy == 0 {
            state.place = Some(self.0.port.waiting().begin(Arc::clone(&self.0.closing)));
        }
    }
}
