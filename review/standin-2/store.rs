//! A stand-in for the platform's store: rows, reads, feeds and transactions without conditions.
//!
//! A read returns the rows of one part of a table, a feed those of all its parts.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Reader};

/// Version and value (base64) by table, part and key; removed rows have no value.
#[derive(Default)]
struct Rows {
    rows: BTreeMap<[String; 3], (u64, Option<String>)>,
    version: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Serves an empty store.
    pub fn serve() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let store = Store { rows: Arc::default(), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.connection(stream, &AtomicBool::new(false)));
            }
        });
        store
    }

    /// Writes a row in the part with the empty name.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        self.put_in(table, "", key, json);
    }

    /// Writes a row in a part.
    pub fn put_in(&self, table: &str, part: &str, key: &str, json: &str) {
        self.write(table, part, key, Some(base64(json.as_bytes())));
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("no holder of the lock panics");
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert([table, part, key].map(str::to_owned), (version, value));
        changed.notify_all();
    }

    /// Listens at a further address, for machines that the store turns away with 503 while it is told to.
    pub fn serve_some(&self, is_refused: &Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (store, is_refused) = (self.clone(), is_refused.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, is_refused) = (store.clone(), is_refused.clone());
                thread::spawn(move || store.connection(stream, &is_refused));
            }
        });
        address
    }

    fn connection(&self, stream: TcpStream, is_refused: &AtomicBool) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(call)) = reader.message() {
            let target = call.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let mut found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
                found.next().unwrap_or_default().to_owned()
            };
            if is_refused.load(Ordering::SeqCst) {
                if http::answer(&mut writer, "503 Service Unavailable", "", b"{}").is_err() {
                    return;
                }
                continue;
            }
            let table = parameter("table");
            let body = match path {
                "/rows-get" => self.page(&table, &parameter("part")),
                "/rows-feed" => {
                    let after = parameter("after").parse().unwrap_or(0);
                    let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
                    self.feed(&table, after, wait)
                }
                _ => self.transact(&String::from_utf8_lossy(&call.body)),
            };
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            if http::answer(&mut writer, "200 OK", headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn page(&self, table: &str, part: &str) -> String {
        let rows = self.rows.0.lock().expect("no holder of the lock panics");
        page(&rows, table, Some(part), None)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("no holder of the lock panics");
        loop {
            let is_new = rows.rows.iter().any(|([t, ..], (v, _))| t == table && *v > after);
            let left = end.saturating_duration_since(Instant::now());
            if is_new || left.is_zero() {
                return page(&rows, table, None, Some(after));
            }
            rows = changed.wait_timeout(rows, left).expect("no holder of the lock panics").0;
        }
    }

    /// Writes the rows under `puts`. The system's rows hold neither quotes nor backslashes.
    fn transact(&self, body: &str) -> String {
        let puts = body.split("\"puts\":").nth(1).unwrap_or_default();
        let puts = puts.split("\"remove\":").next().unwrap_or_default();
        for row in puts.split('{').skip(1) {
            let field = |name: &str| {
                let value = row.split(&format!("\"{name}\":\"")).nth(1)?;
                value.split('"').next().map(str::to_owned)
            };
            let (Some(table), Some(key)) = (field("table"), field("key")) else { continue };
            self.write(&table, &field("part").unwrap_or_default(), &key, field("value"));
        }
        let rows = self.rows.0.lock().expect("no holder of the lock panics");
        format!(r#"{{"objectVersion":{},"nowS":0}}"#, rows.version)
    }
}

/// Returns the rows of a table, of one part or changed after a version.
fn page(rows: &Rows, table: &str, part: Option<&str>, after: Option<u64>) -> String {
    let is_listed = |value: &Option<String>, version: u64| match after {
        Some(after) => version > after,
        None => value.is_some(),
    };
    let mut listed: Vec<(u64, String)> = Vec::new();
    for ([row_table, row_part, key], (version, value)) in &rows.rows {
        let is_asked = row_table == table && part.is_none_or(|part| row_part == part);
        if !is_asked || !is_listed(value, *version) {
            continue;
        }
        let content = match value {
            Some(value) => format!(r#""value":"{value}""#),
            None => r#""removed":true"#.to_owned(),
        };
        let row = format!(
            r#"{{"table":"{table}","part":"{row_part}","key":"{key}",{content},"objectVersion":{version}}}"#
        );
        listed.push((*version, row));
    }
    if after.is_some() {
        listed.sort();
    }
    let listed: Vec<String> = listed.into_iter().map(|(_, row)| row).collect();
    format!(
        r#"{{"rows":[{}],"hasMore":false,"objectVersion":{},"nowS":0}}"#,
        listed.join(","),
        rows.version
    )
}

/// Encodes bytes in base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let is_padding = digit > chunk.len();
            let value = DIGITS[(bits >> (18 - 6 * digit)) as usize & 63];
            text.push(if is_padding { '=' } else { char::from(value) });
        }
    }
    text
}
