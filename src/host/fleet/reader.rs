//! Polls the platform's configuration table and its list of hosts.
//!
//! Only the watchers of a data centre read them, and hosts that have no configuration yet or know
//! no other host.

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
const STARTUP_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the start in which the list is read often, while hosts discover each other.
const STARTUP_TIME: Duration = Duration::from_secs(30);
const LIST_STARTUP_INTERVAL: Duration = Duration::from_secs(2);
/// Long, because the list of a large fleet is long and heartbeats spread membership without it.
const LIST_INTERVAL: Duration = Duration::from_secs(300);

/// State of the host that determines what it reads.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Role {
    /// Revision in force.
    pub revision: id::Revision,
    /// Whether it is a watcher of its data centre.
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

/// Polls until the receiver of the inputs is dropped.
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
    let mut ticks = time::interval(STARTUP_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    while !reader.inputs.is_closed() {
        ticks.tick().await;
        let result = reader.read().await;
        reader.log_reachability(result);
    }
}

impl Reader {
    async fn read(&mut self) -> Option<Result<(), Error>> {
        let role = *self.role.borrow();
        let is_new = role.revision == id::Revision::default();
        let reads_list = is_due(self.list_read, self.list_interval(role));
        let reads_table = is_new || role.is_watcher && is_due(self.table_read, TABLE_INTERVAL);
        let mut result = None;
        if reads_table {
            self.table_read = Some(Instant::now());
            result = Some(self.read_table(role.revision).await);
        }
        if reads_list {
            self.list_read = Some(Instant::now());
            let list_result = self.read_list().await;
            result = Some(result.unwrap_or(Ok(())).and(list_result));
        }
        result
    }

    fn list_interval(&self, role: Role) -> Duration {
        let is_starting = self.started.elapsed() < STARTUP_TIME;
        match (role.is_alone, is_starting) {
            (true, true) => STARTUP_INTERVAL,
            (true, false) => LIST_STARTUP_INTERVAL,
            (false, true) if role.is_watcher => LIST_STARTUP_INTERVAL,
            (false, false) if role.is_watcher => LIST_INTERVAL,
            (false, _) => Duration::MAX,
        }
    }

    async fn read_table(&self, known: id::Revision) -> Result<(), Error> {
        let platform = &*self.context.platform;
        metrics::counter!("toucanhoist_configuration_reads_total").increment(1);
        let Some((_, head)) = table::head(platform).await? else { return Ok(()) };
        if head.revision <= known {
            return Ok(());
        }
        let behind = head.revision.as_u64() - known.as_u64();
        let mut first = known.next();
        if behind > table::SNAPSHOT_CHANGES {
            if let Some(snapshot) = table::load_snapshot(&self.context).await? {
                first = first.max(snapshot.revision.next());
                self.send(Input::SnapshotRead(Box::new(snapshot))).await;
            }
        }
        while first <= head.revision {
            let entries = table::entries(platform, first, head.revision).await?;
            first = (first.as_u64() + table::READ_ENTRIES_MAX).into();
            self.send(Input::EntriesRead(entries)).await;
        }
        Ok(())
    }

    async fn read_list(&self) -> Result<(), Error> {
        let hosts = self.context.platform.hosts().await?;
        self.send(Input::Listed(hosts.into_iter().map(|host| host.peers).collect())).await;
        Ok(())
    }

    async fn send(&self, input: Input) {
        let _ = self.inputs.send(input).await;
    }

    fn log_reachability(&mut self, result: Option<Result<(), Error>>) {
        let Some(result) = result else { return };
        if result.is_ok() == self.is_reachable {
            return;
        }
        self.is_reachable = result.is_ok();
        match result {
            Ok(()) => self.context.journal.note(Event::PlatformUp, &[]),
            Err(error) => self.context.journal.note(Event::PlatformDown, &[("reason", &error)]),
        }
    }
}

fn is_due(last: Option<Instant>, interval: Duration) -> bool {
    last.is_none_or(|last| last.elapsed() >= interval)
}
