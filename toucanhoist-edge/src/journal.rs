/*!
The event log of a host: one JSON object a line, on standard output.

A separate thread writes the lines from a bounded queue, so that a slow reader delays no request. Lines
that do not fit into the queue are dropped and counted. An event is logged at most [`LINES_PER_SECOND`]
times a second; further lines are counted, and the next line of that event carries the count. Warnings,
errors, lines that belong to no request and lines that end a failed request are exempt from this limit.
*/

use std::{
    collections::HashMap,
    fmt::{Display, Write as _},
    io::{self, Write},
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
    time::Duration,
};

use toucanhoist_core::{
    event::{Event, Severity},
    id,
};

use crate::clock::unix_ms;

/// Lines of one event in a second, beyond which lines that are not exempt are only counted.
pub const LINES_PER_SECOND: u32 = 200;
/// Capacity of the queue of lines to be written.
const QUEUE_LINES: usize = 4_096;
/// Bytes of a value, of which the rest is left out. Callers choose identifiers and paths.
pub const VALUE_BYTES_MAX: usize = 512;
/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// A field of a line: name and value.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// The event log of one host.
#[derive(Debug)]
pub struct Journal {
    host: Box<str>,
    queue: SyncSender<Message>,
    dropped: AtomicU64,
    rates: Mutex<HashMap<Event, Rate>>,
}

#[derive(Debug)]
enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    second: u64,
    lines: u32,
    suppressed: u32,
}

impl Journal {
    /// Spawns the writer thread of a host's log on standard output.
    pub fn spawn(host: &id::EntryHost) -> Journal {
        Journal::spawn_with_output(host, io::stdout())
    }

    /// Spawns the writer thread of a host's log on `output`.
    pub fn spawn_with_output(host: &id::EntryHost, output: impl Write + Send + 'static) -> Journal {
        let (queue, messages) = mpsc::sync_channel(QUEUE_LINES);
        // The thread ends when the last sender of its queue is dropped.
        thread::spawn(move || write(&messages, output));
        Journal {
            host: host.as_str().into(),
            queue,
            dropped: AtomicU64::new(0),
            rates: Mutex::default(),
        }
    }

    /// Logs an event that belongs to no request.
    pub fn note(&self, event: Event, fields: &[Field<'_>]) {
        self.log(event, None, fields, true);
    }

    /// Logs an event of a request.
    pub fn record(&self, event: Event, request: &str, fields: &[Field<'_>]) {
        let is_unlimited = event.severity() != Severity::Info;
        self.log(event, Some(request), fields, is_unlimited);
    }

    /// Logs the end of a failed request, regardless of the rate limit.
    pub fn record_failure(&self, event: Event, request: &str, fields: &[Field<'_>]) {
        self.log(event, Some(request), fields, true);
    }

    /// Returns the number of lines that were dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits up to a second until all lines so far are written.
    pub fn flush(&self) {
        let (reply, flushed) = mpsc::sync_channel(1);
        if self.queue.try_send(Message::Flush(reply)).is_ok() {
            // A time-out is ignored: an output that blocks must not hold up the shutdown.
            let _ = flushed.recv_timeout(Duration::from_secs(1));
        }
    }

    fn log(&self, event: Event, request: Option<&str>, fields: &[Field<'_>], is_unlimited: bool) {
        let millis = unix_ms();
        let suppressed = match self.admit(event, millis / 1_000, is_unlimited) {
            Some(suppressed) => suppressed,
            None => return,
        };
        let mut line = String::with_capacity(192);
        let _ = write!(
            line,
            r#"{{"time_ms":{millis},"event":{},"name":"{event}","host":"{}""#,
            event.number(),
            self.host
        );
        if let Some(request) = request {
            push_field(&mut line, "request", request);
        }
        for (name, value) in fields {
            push_field(&mut line, name, &value.to_string());
        }
        if suppressed > 0 {
            let _ = write!(line, r#","left_out":{suppressed}"#);
        }
        line.push_str("}\n");
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("toucanhoist_log_lines_dropped_total").increment(1);
        }
    }

    /// Returns how many lines of the event were suppressed before this one; `None` if this one is too.
    fn admit(&self, event: Event, second: u64, is_unlimited: bool) -> Option<u32> {
        let mut rates = self.rates.lock().expect("no holder of the lock panics");
        let rate = rates.entry(event).or_default();
        if rate.second != second {
            *rate = Rate { second, lines: 0, suppressed: rate.suppressed };
        }
        if rate.lines >= LINES_PER_SECOND && !is_unlimited {
            rate.suppressed += 1;
            return None;
        }
        rate.lines += 1;
        Some(std::mem::take(&mut rate.suppressed))
    }
}

/// Returns the beginning of a value, up to [`VALUE_BYTES_MAX`].
pub fn shortened(value: &str) -> &str {
    if value.len() <= VALUE_BYTES_MAX {
        return value;
    }
    let end = (0..=VALUE_BYTES_MAX).rev().find(|index| value.is_char_boundary(*index));
    &value[..end.unwrap_or_default()]
}

fn push_field(line: &mut String, name: &str, value: &str) {
    let value = shortened(value);
    let is_plain = !value.bytes().any(|byte| byte < b' ' || matches!(byte, b'"' | b'\\'));
    let _ = match (is_plain, value.parse::<f64>()) {
        (true, Ok(number)) if number.is_finite() && is_json_number(value) => {
            write!(line, r#","{name}":{value}"#)
        }
        (true, _) => write!(line, r#","{name}":"{value}""#),
        (false, _) => write!(line, r#","{name}":{}"#, serde_json::Value::from(value)),
    };
}

/// Whether text that parses as a number is a JSON number too, and not an identifier made of digits.
fn is_json_number(value: &str) -> bool {
    let digits = value.strip_prefix('-').unwrap_or(value);
    let leading_zero = digits.len() > 1 && digits.starts_with('0') && !digits.starts_with("0.");
    digits.len() < 16
        && !leading_zero
        && digits.starts_with(|c: char| c.is_ascii_digit())
        && digits.ends_with(|c: char| c.is_ascii_digit())
        && digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.')
}

fn write(messages: &Receiver<Message>, mut output: impl Write) {
    let mut buffer = String::new();
    let mut is_open = true;
    while is_open {
        match messages.recv() {
            Ok(message) => take(message, &mut buffer, &mut output),
            Err(_) => return,
        }
        thread::sleep(WRITE_INTERVAL);
        loop {
            match messages.try_recv() {
                Ok(message) => take(message, &mut buffer, &mut output),
                Err(error) => {
                    is_open = error == mpsc::TryRecvError::Empty;
                    break;
                }
            }
        }
        drain(&mut buffer, &mut output);
    }
}

fn take(message: Message, buffer: &mut String, output: &mut impl Write) {
    match message {
        Message::Line(line) => buffer.push_str(&line),
        Message::Flush(reply) => {
            drain(buffer, output);
            // The caller of `flush` may have stopped waiting.
            let _ = reply.try_send(());
        }
    }
}

fn drain(buffer: &mut String, output: &mut impl Write) {
    // A failure to write the log itself cannot be reported anywhere.
    let _ = output.write_all(buffer.as_bytes()).and_then(|()| output.flush());
    buffer.clear();
}
