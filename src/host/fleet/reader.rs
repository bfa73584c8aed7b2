//! Follows the platform's table and its list of hosts.
//!
//! Only the watchers of a data centre read, and hosts that have no configuration or know nobody.

use std::time::Duration;

use {
    tokio::{
        sync::{mpsc, watch},
        time::{self, Instant},
    },
    toucanhoist_core::{event::Event, id},
    toucanhoist_store::Error,
};

use super::{Context, Input, table};

const TABLE_INTERVAL: Duration = Duration::from_secs(1);
const START_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the start in which the list is read often, while hosts find each other.
const START: Duration = Duration::from_secs(30);
const LIST_START_INTERVAL: Duration = Duration::from_secs(2);
/// The list of a large fleet is long, and heartbeats do without it.
const LIST_INTERVAL: Duration = Duration::from_secs(300);

/// What the host has to read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Role {
    /// Revision in force.
    pub revision: id::Revision,
    /// Whether it reads for its data centre.
    pub is_watcher: bool,
    /// Whether it knows no other host.
    pub is_alone: bool,
}

struct Reader {
    context: Context,
    role: watch::Receiver<Role>,
    inputs: mpsc::Sender<Input>,
    started: Instant,
    table_read: Option<Instant>,
    list_read: Option<Instant>,
    is_reachable: bool,
}

/// Reads until the receiver of the inputs is gone.
pub(super) async fn run(
    context: Context,
    role: watch::Receiver<Role>,
    inputs: mpsc::Sender<Input>,
) {
    let mut reader = Reader {
        context,
        role,
        inputs,
        started: Instant::now(),
        table_read: None,
        list_read: None,
        is_reachable: true,
    };
    let mut ticks = time::interval(START_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    while !reader.inputs.is_closed() {
        ticks.tick().await;
        let read = reader.read().await;
        reader.note(read);
    }
}

impl Reader {
    async fn read(&mut self) -> Option<Result<(), Error>> {
        let role = *self.role.borrow();
        let is_new = role.revision == id::Revision::default();
        let list = is_due(self.list_read, self.list_interval(role));
        let table = is_new || role.is_watcher && is_due(self.table_read, TABLE_INTERVAL);
        let mut read = None;
        if table {
            self.table_read = Some(Instant::now());
            read = Some(self.read_table(role.revision).await);
        }
        if list {
            self.list_read = Some(Instant::now());
            let listed = self.read_list().await;
            read = Some(read.unwrap_or(Ok(())).and(listed));
        }
        read
    }

    fn list_interval(&self, role: Role) -> Duration {
        let is_starting = self.started.elapsed() < START;
        match (role.is_alone, is_starting) {
            (true, true) => START_INTERVAL,
            (true, false) => LIST_START_INTERVAL,
            (false, true) if role.is_watcher => LIST_START_INTERVAL,
            (false, false) if role.is_watcher => LIST_INTERVAL,
            (false, _) => Duration::MAX,
        }
    }

    async fn read_table(&self, have: id::Revision) -> Result<(), Error> {
        let platform = &*self.context.platform;
        metrics::counter!("toucanhoist_configuration_reads_total").increment(1);
        let Some((_, head)) = table::head(platform).await? else { return Ok(()) };
        if head.revision <= have {
            return Ok(());
        }
        let behind = head.revision.as_u64() - have.as_u64();
        let mut first = have.next();
        if behind > table::SNAPSHOT_CHANGES {
            if let Some(snapshot) = table::load_snapshot(&self.context).await? {
                first = first.max(snapshot.revision.next());
                self.tell(Input::Loaded(Box::new(snapshot))).await;
            }
        }
        while first <= head.revision {
            let entries = table::entries(platform, first, head.revision).await?;
            first = (first.as_u64() + table::READ_ENTRIES_MAX).into();
            self.tell(Input::Observed(entries)).await;
        }
        Ok(())
    }

    async fn read_list(&self) -> Result<(), Error> {
        let hosts = self.context.platform.hosts().await?;
        self.tell(Input::Listed(hosts.into_iter().map(|host| host.peers).collect())).await;
        Ok(())
    }

    async fn tell(&self, input: Input) {
        let _ = self.inputs.send(input).await;
    }

    fn note(&mut self, read: Option<Result<(), Error>>) {
        let Some(read) = read else { return };
        if read.is_ok() == self.is_reachable {
            return;
        }
        self.is_reachable = read.is_ok();
        match read {
            Ok(()) => self.context.journal.note(Event::PlatformUp, &[]),
            Err(error) => self.context.journal.note(Event::PlatformDown, &[("reason", &error)]),
        }
    }
}

fn is_due(last: Option<Instant>, interval: Duration) -> bool {
    last.is_none_or(|last| last.elapsed() >= interval)
}
