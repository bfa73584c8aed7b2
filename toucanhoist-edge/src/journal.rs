/*!
The log of a host's decisions: one JSON object a line, on standard output.

A thread of its own writes the lines, behind a bounded queue, so that a slow reader holds up no request.
Lines beyond the queue are dropped and counted. While a kind of line comes faster than
[`LINES_PER_SECOND`], further ones of that second are counted and told in one line; lines that end a
failed request are always written.
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

/// Lines of one kind in a second, beyond which they are only counted.
pub const LINES_PER_SECOND: u32 = 200;
/// Lines that wait to be written.
const QUEUE_LINES: usize = 8_192;
/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// A named value of a line.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// The log of one host.
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
    left_out: u32,
}

impl Journal {
    /// Spawns the log of a host, which writes to standard output.
    pub fn spawn(host: &id::EntryHost) -> Journal {
        Journal::to(host, io::stdout())
    }

    /// Spawns the log of a host, which writes to `output`.
    pub fn to(host: &id::EntryHost, output: impl Write + Send + 'static) -> Journal {
        let (queue, messages) = mpsc::sync_channel(QUEUE_LINES);
        // It ends with the last sender of its queue.
        thread::spawn(move || write(&messages, output));
        Journal {
            host: host.as_str().into(),
            queue,
            dropped: AtomicU64::new(0),
            rates: Mutex::default(),
        }
    }

    /// Records an event that belongs to no request.
    pub fn note(&self, event: Event, fields: &[Field<'_>]) {
        self.line(event, None, fields, true);
    }

    /// Records a decision about a request.
    pub fn record(&self, event: Event, request: &str, fields: &[Field<'_>]) {
        let always = event.severity() != Severity::Info;
        self.line(event, Some(request), fields, always);
    }

    /// Records the end of a request that failed, at any rate of lines.
    pub fn record_failure(&self, event: Event, request: &str, fields: &[Field<'_>]) {
        self.line(event, Some(request), fields, true);
    }

    /// Returns the number of lines that were dropped because the log was not read.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all lines so far are written.
    pub fn flush(&self) {
        let (reply, flushed) = mpsc::sync_channel(1);
        if self.queue.try_send(Message::Flush(reply)).is_ok() {
            // The writer is gone only with the process.
            let _ = flushed.recv_timeout(Duration::from_secs(1));
        }
    }

    fn line(&self, event: Event, request: Option<&str>, fields: &[Field<'_>], always: bool) {
        let millis = unix_ms();
        let left_out = match self.admit(event, millis / 1_000, always) {
            Some(left_out) => left_out,
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
            push(&mut line, "request", request);
        }
        for (name, value) in fields {
            push(&mut line, name, &value.to_string());
        }
        if left_out > 0 {
            let _ = write!(line, r#","left_out":{left_out}"#);
        }
        line.push_str("}\n");
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("toucanhoist_log_lines_dropped_total").increment(1);
        }
    }

    /// Returns how many lines of the kind were left out before this one; `None` leaves it out too.
    fn admit(&self, event: Event, second: u64, always: bool) -> Option<u32> {
        let mut rates = self.rates.lock().expect("no holder of the lock panics");
        let rate = rates.entry(event).or_default();
        if rate.second != second {
            *rate = Rate { second, lines: 0, left_out: rate.left_out };
        }
        if rate.lines >= LINES_PER_SECOND && !always {
            rate.left_out += 1;
            return None;
        }
        rate.lines += 1;
        Some(std::mem::take(&mut rate.left_out))
    }
}

fn push(line: &mut String, name: &str, value: &str) {
    let plain = !value.bytes().any(|byte| byte < b' ' || matches!(byte, b'"' | b'\\'));
    let _ = match (plain, value.parse::<f64>()) {
        (true, Ok(number)) if number.is_finite() && is_json_number(value) => {
            write!(line, r#","{name}":{value}"#)
        }
        (true, _) => write!(line, r#","{name}":"{value}""#),
        (false, _) => write!(line, r#","{name}":{}"#, serde_json::Value::from(value)),
    };
}

/// Whether a text that is a number is one in JSON too, and not an identifier of digits.
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
    let mut open = true;
    while open {
        match messages.recv() {
            Ok(message) => take(message, &mut buffer, &mut output),
            Err(_) => return,
        }
        thread::sleep(WRITE_INTERVAL);
        loop {
            match messages.try_recv() {
                Ok(message) => take(message, &mut buffer, &mut output),
                Err(error) => {
                    open = error == mpsc::TryRecvError::Empty;
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
            // Who asked may have stopped waiting.
            let _ = reply.try_send(());
        }
    }
}

fn drain(buffer: &mut String, output: &mut impl Write) {
    // There is nowhere to report that the log itself cannot be written.
    let _ = output.write_all(buffer.as_bytes()).and_then(|()| output.flush());
    buffer.clear();
}
