/*!
The log of a host's decisions.

Every decision is one line with a numbered event (docs/EVENTS.md). Recent decisions about requests
are also kept in a bounded ring buffer, from which `explain` reads.

A dedicated thread owns the ring and writes the lines, so that neither a lock nor a slow reader of
the log delays a request. When the reader stays slower than the decisions, lines are dropped and
counted.
*/

use std::{
    collections::VecDeque,
    fmt::{Display, Write as _},
    io::{self, BufWriter},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender, TryRecvError},
    },
    thread,
    time::{Duration, SystemTime},
};

use {
    log::LevelFilter,
    serde::{Serialize, Serializer, ser::SerializeMap},
    simplelog::{ConfigBuilder, WriteLogger},
    tokio::sync::oneshot,
    toucanhoist_core::{
        event::{Event, Severity},
        id,
    },
    toucanhoist_edge::journal::shortened,
};

use crate::settings::{Format, Level, Log};

const RING_ENTRIES: usize = 8_192;
const QUEUE_ENTRIES: usize = 8_192;
/// Names of the columns of a line, which no field may have.
const RESERVED_NAMES: [&str; 5] = ["time_ms", "event", "name", "host", "request"];
/// Time for which entries are collected before they are written.
const BATCH_TIME: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 64 * 1_024;

/// A named value of a log line.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// The log of one host.
#[derive(Debug)]
pub struct Journal {
    queue: SyncSender<Message>,
    dropped: AtomicU64,
}

#[derive(Debug)]
enum Message {
    Entry(Entry),
    Explain { request: id::Request, reply: oneshot::Sender<Vec<Entry>> },
    Flush(oneshot::Sender<()>),
}

/// A logged decision.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// The request that it is about.
    #[serde(skip)]
    pub request: Option<id::Request>,
    /// Milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The event.
    #[serde(flatten, serialize_with = "number_and_name")]
    pub event: Event,
    /// Inputs of the decision and its reason.
    pub fields: Fields,
}

fn number_and_name<S: Serializer>(event: &Event, serializer: S) -> Result<S::Ok, S::Error> {
    let mut map = serializer.serialize_map(Some(2))?;
    map.serialize_entry("event", &event.number())?;
    map.serialize_entry("name", event.as_str())?;
    map.end()
}

/// Named values of a decision, in their order.
#[derive(Clone, Debug)]
pub struct Fields(Box<[(&'static str, Box<str>)]>);

impl Fields {
    /// Returns a value.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(field, _)| *field == name).map(|(_, value)| &**value)
    }
}

impl Serialize for Fields {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.0.iter().map(|(name, value)| (name, value)))
    }
}

/// Starts writing log lines to standard error. Further calls have no effect.
pub fn init(log: Log) {
    let level = match log.level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
    };
    let mut config = ConfigBuilder::new();
    config.add_filter_allow_str("toucanhoist");
    config.set_target_level(LevelFilter::Off).set_thread_level(LevelFilter::Off);
    config.set_location_level(LevelFilter::Off);
    if log.format == Format::Json {
        config.set_time_level(LevelFilter::Off).set_max_level(LevelFilter::Off);
    } else {
        config.set_time_format_rfc3339();
    }
    let writer = BufWriter::with_capacity(BUFFER_BYTES, io::stderr());
    let _ = WriteLogger::init(level, config.build(), writer);
}

impl Journal {
    /// Spawns the log of a host.
    pub fn spawn(host: id::EntryHost, format: Format) -> Journal {
        let (queue, messages) = mpsc::sync_channel(QUEUE_ENTRIES);
        let writer = Writer { host, format, ring: VecDeque::new() };
        // The thread ends when the last sender of its queue is dropped.
        thread::spawn(move || writer.run(&messages));
        Journal { queue, dropped: AtomicU64::new(0) }
    }

    /// Records an event that does not concern a request.
    pub fn note(&self, event: Event, fields: &[Field<'_>]) {
        self.send(event, None, fields);
    }

    /// Records a decision about a request.
    pub fn record(&self, event: Event, request: id::Request, fields: &[Field<'_>]) {
        self.send(event, Some(request), fields);
    }

    /// Returns the recent decisions about a request, in their order.
    pub async fn explain(&self, request: id::Request) -> Vec<Entry> {
        let (reply, entries) = oneshot::channel();
        if self.queue.try_send(Message::Explain { request, reply }).is_err() {
            return Vec::new();
        }
        entries.await.unwrap_or_default()
    }

    /// Waits until all lines recorded so far are written.
    pub async fn flush(&self) {
        let (reply, flushed) = oneshot::channel();
        if self.queue.try_send(Message::Flush(reply)).is_ok() {
            let _ = flushed.await;
        }
    }

    /// Returns the number of lines that were dropped because the log was not read.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn send(&self, event: Event, request: Option<id::Request>, fields: &[Field<'_>]) {
        debug_assert!(
            fields.iter().all(|(name, _)| !RESERVED_NAMES.contains(name)),
            "a field of {event} has a reserved name"
        );
        metrics::counter!("toucanhoist_events_total", "event" => event.as_str()).increment(1);
        let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let fields =
            fields.iter().map(|&(name, value)| (name, shortened(&value.to_string()).into()));
        let entry = Entry {
            request,
            time_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            event,
            fields: Fields(fields.collect()),
        };
        if self.queue.try_send(Message::Entry(entry)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("toucanhoist_log_lines_dropped_total").increment(1);
        }
    }
}

/// The thread that owns the ring and writes the lines.
struct Writer {
    host: id::EntryHost,
    format: Format,
    ring: VecDeque<Entry>,
}

impl Writer {
    fn run(mut self, messages: &Receiver<Message>) {
        while let Ok(message) = messages.recv() {
            self.receive(message);
            // Waiting for each entry would cost its sender a system call to wake this thread.
            thread::sleep(BATCH_TIME);
            loop {
                match messages.try_recv() {
                    Ok(message) => self.receive(message),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return log::logger().flush(),
                }
            }
            log::logger().flush();
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Entry(entry) => {
                self.write(&entry);
                self.keep(entry);
            }
            Message::Explain { request, reply } => {
                let entries = self.ring.iter().filter(|entry| entry.request == Some(request));
                let _ = reply.send(entries.cloned().collect());
            }
            Message::Flush(reply) => {
                log::logger().flush();
                let _ = reply.send(());
            }
        }
    }

    fn keep(&mut self, entry: Entry) {
        if entry.request.is_none() {
            return;
        }
        if self.ring.len() == RING_ENTRIES {
            self.ring.pop_front();
        }
        self.ring.push_back(entry);
    }

    fn write(&self, entry: &Entry) {
        let level = match entry.event.severity() {
            Severity::Info => log::Level::Info,
            Severity::Warn => log::Level::Warn,
            Severity::Error => log::Level::Error,
        };
        if level > log::max_level() {
            return;
        }
        let line = match self.format {
            Format::Text => self.text(entry),
            Format::Json => self.json(entry),
        };
        log::log!(target: "toucanhoist", level, "{line}");
    }

    fn text(&self, entry: &Entry) -> String {
        let event = entry.event;
        let mut line = format!("event={} name={event} host={}", event.number(), self.host);
        if let Some(request) = entry.request {
            let _ = write!(line, " request={request}");
        }
        for (name, value) in &entry.fields.0 {
            let needs_no_quotes = !value.is_empty()
                && value
                    .bytes()
                    .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'='));
            let _ = if needs_no_quotes {
                write!(line, " {name}={value}")
            } else {
                write!(line, " {name}={value:?}")
            };
        }
        line
    }

    fn json(&self, entry: &Entry) -> String {
        let line = Line {
            time_ms: entry.time_ms,
            event: entry.event.number(),
            name: entry.event.as_str(),
            host: &self.host,
            request: entry.request,
            fields: &entry.fields,
        };
        serde_json::to_string(&line).unwrap_or_default()
    }
}

/// A log line in JSON.
#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    event: u16,
    name: &'static str,
    host: &'a id::EntryHost,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<id::Request>,
    #[serde(flatten)]
    fields: &'a Fields,
}
