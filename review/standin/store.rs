//! The platform's store: tables of rows with versions.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::lock};

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

#[derive(Default)]
struct Rows {
    /// Version and value, in base64, by table and key; removed rows have no value.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    version: u64,
}

/// A store without faults.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    begun: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn serve() -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (rows, changed, begun) = (Mutex::default(), Condvar::new(), Instant::now());
        let store = Arc::new(Store { rows, changed, begun, address });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        self.write(table, key, value.map(|text| base64(text.as_bytes())));
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = lock(&self.rows);
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.to_owned(), key.to_owned()), (version, value));
        self.changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        // A host that closes its connection ends the loop.
        while let Ok(Some(head)) = connection.head() {
            let mut body = Vec::new();
            if connection.body(&head, |piece| body.extend_from_slice(piece)).is_err() {
                return;
            }
            let (status, content) = self.answer(head.second(), &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{content}",
                content.len()
            );
            if connection.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        match path {
            "/rows-get" => {
                let rows = lock(&self.rows);
                ("200 OK", self.page(&rows, parameter("table"), 0, false).0)
            }
            "/rows-feed" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
                ("200 OK", self.feed(parameter("table"), after, wait))
            }
            "/rows-tx" => {
                for put in body.split("\"puts\":").nth(1).unwrap_or_default().split('{').skip(1) {
                    let text = |name: &str| {
                        let after = put.split(&format!("\"{name}\":\"")).nth(1)?;
                        after.split('"').next()
                    };
                    if let (Some(table), Some(key)) = (text("table"), text("key")) {
                        self.write(table, key, text("value").map(str::to_owned));
                    }
                }
                let version = lock(&self.rows).version;
                ("200 OK", format!("{{\"objectVersion\":{version},\"nowS\":{:.3}}}", self.now_s()))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut rows = lock(&self.rows);
        loop {
            let (page, count) = self.page(&rows, table, after, true);
            let left = end.saturating_duration_since(Instant::now());
            if count > 0 || left.is_zero() {
                return page;
            }
            let waited = self.changed.wait_timeout(rows, left);
            rows = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn page(&self, rows: &Rows, table: &str, after: u64, with_removed: bool) -> (String, usize) {
        let mut found: Vec<(u64, String)> = Vec::new();
        for ((row_table, key), (version, value)) in &rows.rows {
            if row_table != table || *version <= after || (value.is_none() && !with_removed) {
                continue;
            }
            let content = match value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"removed\":true".to_owned(),
            };
            found.push((*version, format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"objectVersion\":{version}}}"
            )));
        }
        if with_removed {
            found.sort_by_key(|(version, _)| *version);
        }
        let texts: Vec<String> = found.into_iter().map(|(_, text)| text).collect();
        let page = format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"objectVersion\":{},\"nowS\":{:.3}}}",
            texts.join(","),
            rows.version,
            self.now_s()
        );
        (page, texts.len())
    }

    fn now_s(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = number >> (18 - 6 * index) & 63;
            text.push(if index <= group.len() { char::from(DIGITS[digit as usize]) } else { '=' });
        }
    }
    text
}
