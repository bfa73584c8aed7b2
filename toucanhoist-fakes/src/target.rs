//! A fake target, which answers each request with a report of what it received.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    bytes::Bytes,
    futures_util::{StreamExt, stream},
    http_body_util::{BodyExt, Full, StreamBody},
    hyper::{
        Request, Response,
        body::{Frame, Incoming},
        header,
        http::request::Parts,
    },
    serde::Serialize,
    sha2::{Digest, Sha256},
};

use crate::server::{Body, Listener, body};

/// Time between the first half of a truncated answer and the end of its connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Name and data centre of a target.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the target.
    pub name: Box<str>,
    /// Data centre of the target.
    pub data_centre: Box<str>,
}

/// Request counts of a target.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that the target ran.
    pub runs: AtomicU64,
    runs_by_key: Mutex<HashMap<Box<str>, u32>>,
    /// Requests that the target is running.
    pub running: AtomicU32,
    /// Largest number of requests that the target ran at the same time.
    pub running_max: AtomicU32,
}

impl Counters {
    /// Returns how often the target ran a request with each idempotency key.
    pub fn runs_by_key(&self) -> HashMap<Box<str>, u32> {
        self.runs_by_key.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn count(&self, request: &Parts) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        let key = request.headers.get("idempotency-key").and_then(|key| key.to_str().ok());
        if let Some(key) = key {
            let mut runs = self.runs_by_key.lock().unwrap_or_else(PoisonError::into_inner);
            *runs.entry(key.into()).or_default() += 1;
        }
    }
}

/// Failure of a target, which a request selects with its query parameter `fault`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The connection breaks before the request takes effect.
    CrashBefore,
    /// The connection breaks after the request took effect.
    CrashAfter,
    /// The connection breaks in the middle of the answer.
    Truncate,
}

impl Fault {
    fn from_query(query: &str) -> Option<Fault> {
        let (_, value) = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(name, _)| *name == "fault")?;
        match value {
            "crash-before" => Some(Fault::CrashBefore),
            "crash-after" => Some(Fault::CrashAfter),
            "truncate" => Some(Fault::Truncate),
            _ => None,
        }
    }
}

/// A fake target at an address.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    counters: Arc<Counters>,
}

/// A request as the target received it.
#[derive(Debug, Serialize)]
struct Report<'a> {
    target: &'a str,
    data_centre: &'a str,
    method: &'a str,
    path: &'a str,
    headers: Vec<(&'a str, String)>,
    body_length: usize,
    body_sha256: String,
}

impl Server {
    /// Serves a target at `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr, config: Config) -> io::Result<Server> {
        let config = Arc::new(config);
        let counters = Arc::new(Counters::default());
        let handler_counters = Arc::clone(&counters);
        let handler =
            move |request| serve(Arc::clone(&config), Arc::clone(&handler_counters), request);
        Ok(Server { listener: Listener::bind(address, handler).await?, counters })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the target's request counts.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }
}

async fn serve(
    config: Arc<Config>,
    counters: Arc<Counters>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let _running = Running::start(Arc::clone(&counters));
    let (parts, incoming) = request.into_parts();
    let content = incoming.collect().await.map_err(io::Error::other)?.to_bytes();
    let query = parts.uri.query().unwrap_or_default();
    if parameter(query, "break_off").is_some() {
        return Err(io::Error::other("simulated break of the connection"));
    }
    let fault = Fault::from_query(query);
    if fault == Some(Fault::CrashBefore) {
        return Err(io::Error::other("simulated crash before the request took effect"));
    }
    counters.count(&parts);
    if fault == Some(Fault::CrashAfter) {
        return Err(io::Error::other("simulated crash after the request took effect"));
    }
    if let Some(millis) = parameter(query, "delay_ms") {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
    let headers = parts
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), String::from_utf8_lossy(value.as_bytes()).into()))
        .collect();
    let report = Report {
        target: &config.name,
        data_centre: &config.data_centre,
        method: parts.method.as_str(),
        path: parts.uri.path(),
        headers,
        body_length: content.len(),
        body_sha256: Sha256::digest(&content).iter().map(|byte| format!("{byte:02x}")).collect(),
    };
    let mut answer = serde_json::to_vec(&report)?;
    if let Some(length) =
        parameter(query, "answer_bytes").and_then(|length| usize::try_from(length).ok())
    {
        answer.resize(length.max(answer.len()), b' ');
    }
    let response = Response::builder().header(header::CONTENT_TYPE, "application/json");
    if fault == Some(Fault::Truncate) {
        let rest = answer.split_off(answer.len() / 2);
        let first = stream::iter([Ok(Frame::data(Bytes::from(answer)))]);
        // The delay lets the head and the first half be sent before the connection breaks.
        let error = stream::once(async {
            tokio::time::sleep(TRUNCATION_DELAY).await;
            Err(io::Error::other("simulated truncation of the answer"))
        });
        let length = rest.len() * 2;
        return response
            .header(header::CONTENT_LENGTH, length)
            .body(BodyExt::boxed(StreamBody::new(first.chain(error))))
            .map_err(io::Error::other);
    }
    response.body(body(Full::new(Bytes::from(answer)))).map_err(io::Error::other)
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(found, _)| *found == name).find_map(|(_, value)| value.parse().ok())
}

/// Guard that counts a request as running until it is dropped.
struct Running {
    counters: Arc<Counters>,
}

impl Running {
    fn start(counters: Arc<Counters>) -> Running {
        let running = counters.running.fetch_add(1, Ordering::Relaxed) + 1;
        counters.running_max.fetch_max(running, Ordering::Relaxed);
        Running { counters }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.counters.running.fetch_sub(1, Ordering::Relaxed);
    }
}
