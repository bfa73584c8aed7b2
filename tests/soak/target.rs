//! A target that registers itself, with injected faults.

use std::{
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Request, Response, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde_json::json,
    tokio::{
        net::TcpListener,
        task::JoinHandle,
        time::{self, Instant},
    },
};

use crate::{ledger::Ledger, proxy::Proxy, steady::SteadyState, store::Store};

const SLOTS: u32 = 6;
const RUN_TIME: Duration = Duration::from_millis(25);
/// Time after which a draining target must get no requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time after which all hosts must keep a limit that a target names.
pub const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// Window over which a limit is checked.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Tolerated multiple of what a limit allows in a window, and tolerated number of further requests.
const LIMIT_MULTIPLE: f64 = 1.5;
const LIMIT_EXTRA: f64 = 5.0;

/// A limit that a target names.
#[derive(Debug)]
struct Limit {
    per_second: f64,
    since: Instant,
    /// Requests that arrived since.
    arrivals: Vec<Instant>,
}

impl Limit {
    /// Returns the most requests that arrived in a window after the time of grace.
    fn most_in_window(&self) -> usize {
        let after = self.arrivals.partition_point(|at| *at < self.since + LIMIT_GRACE);
        let arrivals = &self.arrivals[after..];
        let in_window = |(first, from): (usize, &Instant)| {
            arrivals[first..].partition_point(|at| *at < *from + LIMIT_WINDOW)
        };
        arrivals.iter().enumerate().map(in_window).max().unwrap_or(0)
    }
}

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// It takes many times as long as usual.
    Slow,
    /// It runs requests and never answers.
    Hang,
    /// It runs requests and closes the connection.
    Close,
    /// It fails requests.
    Failing,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    pub id: String,
    pub proxy: Proxy,
    service: &'static str,
    pub zone: &'static str,
    store: Arc<Store>,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    id: String,
    ledger: Arc<Ledger>,
    steady: Arc<SteadyState>,
    running: AtomicU32,
    fault: Mutex<Fault>,
    /// When the store acknowledged that the target drains.
    draining_since: Mutex<Option<Instant>>,
    is_stopped: AtomicBool,
    /// Whether the target's answers say that it leaves, once it does.
    says_leaving: AtomicBool,
    limit: Mutex<Option<Limit>>,
}

impl Target {
    /// Starts a target and registers it.
    pub async fn spawn(
        id: String,
        service: &'static str,
        zone: &'static str,
        store: &Arc<Store>,
        ledger: &Arc<Ledger>,
        steady: &Arc<SteadyState>,
    ) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let proxy = Proxy::bind(listener.local_addr().expect("an address")).await;
        let shared = Arc::new(Shared {
            id: id.clone(),
            ledger: Arc::clone(ledger),
            steady: Arc::clone(steady),
            running: AtomicU32::new(0),
            fault: Mutex::default(),
            draining_since: Mutex::default(),
            is_stopped: AtomicBool::new(false),
            says_leaving: AtomicBool::new(true),
            limit: Mutex::default(),
        });
        let task = tokio::spawn(serve(listener, Arc::clone(&shared)));
        let target = Target { id, proxy, service, zone, store: Arc::clone(store), shared, task };
        target.register("ready");
        target
    }

    fn register(&self, state: &str) {
        let entry = json!({
            "address": self.proxy.address, "born": 1_700_000_000_000_u64,
            "info": {"service": self.service, "zone": self.zone, "slots": SLOTS, "version": "v1"},
            "status": {"state": state, "seq": 1, "coldLeftS": 0.0},
        });
        self.store.put("servers", &self.id, Some(entry));
    }

    /// Sets how the target misbehaves.
    pub fn set_fault(&self, fault: Fault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Names a limit in all answers from now on, in requests a second from all hosts together.
    pub fn set_limit(&self, per_second: f64) {
        *self.shared.limit() =
            Some(Limit { per_second, since: Instant::now(), arrivals: Vec::new() });
    }

    /// Stops naming the limit; records a violation if too many requests arrived meanwhile, or none did.
    pub fn end_limit(&self) {
        let Some(limit) = self.shared.limit().take() else { return };
        let most = limit.most_in_window();
        let allowed = LIMIT_MULTIPLE * limit.per_second * LIMIT_WINDOW.as_secs_f64() + LIMIT_EXTRA;
        if most == 0 || most as f64 > allowed {
            self.shared.ledger.record_violation(format!(
                "{}: {most} requests in a window that allows {allowed}, at a limit of {}/s",
                self.id, limit.per_second
            ));
        }
    }

    /// Drains the target, keeps it running for a while, and stops it.
    pub async fn drain(self) {
        self.register("draining");
        self.stop().await;
    }

    /// Stops the target without notice: its entry is removed, and nothing else says that it leaves.
    pub async fn remove(self) {
        self.shared.says_leaving.store(false, Ordering::Relaxed);
        self.store.put("servers", &self.id, None);
        self.stop().await;
    }

    /// Keeps the target running for a while after the store's acknowledgement, and stops it.
    async fn stop(self) {
        *self.shared.draining_since.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(Instant::now());
        time::sleep(DRAIN_TIME + Duration::from_millis(1_500)).await;
        self.store.put("servers", &self.id, None);
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        self.task.abort();
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a request as running until it ends or its connection does.
struct Running<'a>(&'a AtomicU32);

impl Running<'_> {
    fn begin(running: &AtomicU32) -> Running<'_> {
        running.fetch_add(1, Ordering::Relaxed);
        Running(running)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let shared = Arc::clone(&shared);
                async move { shared.answer(request).await }
            });
            // A host that disconnects is not a fault of the target.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

impl Shared {
    async fn answer(
        self: Arc<Shared>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let (head, body) = request.into_parts();
        let id = text(&head.headers, "x-request-id").unwrap_or_default().to_owned();
        if text(&head.headers, "x-expect-instance").is_none_or(|expected| expected != self.id) {
            return Ok(self.refusal(421, &id));
        }
        if let Some(limit) = &mut *self.limit() {
            limit.arrivals.push(Instant::now());
        }
        // The request runs only after its body has arrived.
        body.collect().await.map_err(io::Error::other)?;
        if self.running.load(Ordering::Relaxed) >= SLOTS * 2 {
            return Ok(self.refusal(503, &id));
        }
        self.check_draining(&id);
        let has_key = head.headers.contains_key("authorization");
        self.ledger.record_run(&id, text(&head.headers, "x-tenant"), has_key);
        let running = Running::begin(&self.running);
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        time::sleep(if fault == Fault::Slow { RUN_TIME * 20 } else { RUN_TIME }).await;
        drop(running);
        match fault {
            Fault::Hang => std::future::pending().await,
            Fault::Close => Err(io::Error::other("closed")),
            Fault::Failing => Ok(self.response(500, &id, "")),
            Fault::None | Fault::Slow => Ok(self.response(200, &id, &id)),
        }
    }

    fn limit(&self) -> MutexGuard<'_, Option<Limit>> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draining_since(&self) -> Option<Instant> {
        *self.draining_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violation if a request arrives after the drain time.
    fn check_draining(&self, id: &str) {
        let since = self.draining_since();
        let is_late = since.is_some_and(|since| since.elapsed() > DRAIN_TIME);
        if is_late && since.is_some_and(|since| self.steady.was_steady_since(since)) {
            self.ledger.record_violation(format!("{id}: reached {}, which is draining", self.id));
        }
    }

    fn refusal(&self, status: u16, id: &str) -> Response<Full<Bytes>> {
        let mut refusal = self.response(status, id, "");
        refusal.headers_mut().insert("x-not-executed", "1".parse().expect("a value"));
        refusal
    }

    fn response(&self, status: u16, id: &str, body: &str) -> Response<Full<Bytes>> {
        let running = self.running.load(Ordering::Relaxed);
        let mut response = Response::builder()
            .status(status)
            .header("x-request-id", id)
            .header("x-server-seal", &self.id)
            .header("x-server-load", format!("{},0,{SLOTS}", running.min(SLOTS)));
        if self.draining_since().is_some() && self.says_leaving.load(Ordering::Relaxed) {
            response = response.header("server-leaving", "1");
        }
        if let Some(limit) = &*self.limit() {
            response = response.header("server-limit", limit.per_second.to_string());
        }
        response.body(Full::new(Bytes::from(body.to_owned()))).expect("a response")
    }
}
