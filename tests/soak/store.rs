//! A stand-in for the platform's store, with injected faults.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use {
    base64::{Engine, prelude::BASE64_STANDARD},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{self, Instant},
    },
};

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// It answers each call with 503.
    Unavailable,
    /// It answers late.
    Slow,
    /// It runs transactions, and their answers are lost.
    AnswerLost,
    /// It no longer keeps its history.
    HistoryGone,
}

/// Content of the store.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// Version and text by table and key; removed rows have no text.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    version: u64,
    /// Number of restores from a backup.
    era: u64,
}

/// The store, as an HTTP server.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    /// Last text of each row that operators and targets wrote.
    written: Mutex<BTreeMap<(String, String), Option<String>>>,
    changed: watch::Sender<u64>,
    fault: Mutex<Fault>,
}

impl Store {
    /// Serves an empty store; returns it with its address.
    pub async fn serve() -> (Arc<Store>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (changed, _) = watch::channel(0);
        let (rows, written, fault) = (Mutex::default(), Mutex::default(), Mutex::default());
        let store = Arc::new(Store { rows, written, changed, fault });
        let served = Arc::clone(&store);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = Arc::clone(&served);
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let store = Arc::clone(&store);
                        async move { store.answer(request).await }
                    });
                    // A client that disconnects is not a fault of the store.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        (store, address)
    }

    /// Sets how the store misbehaves.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the store has no fault.
    pub fn is_healthy(&self) -> bool {
        self.fault() == Fault::None
    }

    /// Writes a row of an operator or a target, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<Value>) {
        self.put_text(table, key, value.map(|value| value.to_string()));
    }

    /// Writes a row of an operator or a target that may be no JSON, or removes it.
    pub fn put_text(&self, table: &str, key: &str, text: Option<String>) {
        let name = (table.to_owned(), key.to_owned());
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        written.insert(name.clone(), text.clone());
        self.write(name, text);
    }

    fn write(&self, name: (String, String), text: Option<String>) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(name, (version, text));
        self.changed.send_replace(version);
    }

    /// Returns a backup of the content.
    pub fn backup(&self) -> Rows {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Restores a backup, in a new era.
    pub fn restore(&self, backup: Rows) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let era = rows.era + 1;
        *rows = Rows { era, ..backup };
        self.changed.send_replace(rows.version);
    }

    /// Writes again what operators and targets wrote and a restore has lost.
    pub fn rewrite_lost(&self) {
        let written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        let present = self.backup().rows;
        for (name, text) in written.iter() {
            if present.get(name).and_then(|(_, text)| text.as_ref()) != text.as_ref() {
                self.write(name.clone(), text.clone());
            }
        }
    }

    async fn answer(
        self: Arc<Store>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
        match self.fault() {
            Fault::Unavailable => return Ok(json_answer(503, json!({}))),
            Fault::Slow => time::sleep(Duration::from_millis(400)).await,
            Fault::None | Fault::AnswerLost | Fault::HistoryGone => {}
        }
        let query: BTreeMap<&str, &str> = head
            .uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|p| p.split_once('='))
            .collect();
        let table = query.get("table").copied().unwrap_or_default();
        let mut answer = match head.uri.path() {
            "/rows-get" => json_answer(200, self.page(table, 0, false)),
            "/rows-feed" => self.feed(table, &query).await,
            "/rows-tx" => self.transact(&body),
            _ => json_answer(404, json!({})),
        };
        if self.fault() == Fault::AnswerLost && head.uri.path() == "/rows-tx" {
            return Err(std::io::Error::other("lost"));
        }
        answer.headers_mut().insert("store-era", self.backup().era.into());
        Ok(answer)
    }

    fn page(&self, table: &str, after: u64, with_removed: bool) -> Value {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let mut selected: Vec<(u64, Value)> = Vec::new();
        for ((row_table, key), (version, text)) in &rows.rows {
            if row_table != table || *version <= after || (text.is_none() && !with_removed) {
                continue;
            }
            let value = text.as_ref().map(|text| BASE64_STANDARD.encode(text));
            let row = json!({"table": table, "part": "", "key": key, "objectVersion": version,
                "value": value, "removed": text.is_none()});
            selected.push((*version, row));
        }
        selected.sort_by_key(|(version, _)| *version);
        let selected: Vec<Value> = selected.into_iter().map(|(_, row)| row).collect();
        json!({"rows": selected, "hasMore": false, "objectVersion": rows.version, "nowS": 0})
    }

    async fn feed(&self, table: &str, query: &BTreeMap<&str, &str>) -> Response<Full<Bytes>> {
        let number = |name| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let after: u64 = number("after");
        let Rows { version, era, .. } = self.backup();
        if self.fault() == Fault::HistoryGone || after > version {
            return json_answer(410, json!({}));
        }
        let end = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if self.backup().era != era {
                return json_answer(503, json!({}));
            }
            let page = self.page(table, after, true);
            let is_empty = page["rows"].as_array().is_none_or(Vec::is_empty);
            if !is_empty || time::timeout_at(end, changed.changed()).await.is_err() {
                return json_answer(200, page);
            }
        }
    }

    fn transact(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return json_answer(400, json!({}));
        };
        for put in transaction["puts"].as_array().into_iter().flatten() {
            let text = put["value"].as_str().unwrap_or_default();
            let value = BASE64_STANDARD.decode(text).ok();
            let value = value.and_then(|value| String::from_utf8(value).ok());
            let text = |name: &str| put[name].as_str().unwrap_or_default().to_owned();
            self.write((text("table"), text("key")), value);
        }
        json_answer(200, json!({"objectVersion": *self.changed.borrow(), "nowS": 0}))
    }
}

fn json_answer(status: u16, body: Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.to_string().into()));
    *response.status_mut() = status.try_into().expect("a status");
    response
}
