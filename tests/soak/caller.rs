//! Callers that reuse their connections, and check the answers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, client::conn::http1},
    hyper_util::rt::TokioIo,
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    tokio::{
        net::TcpStream,
        time::{self, Instant},
    },
};

use crate::{host::Host, ledger::Ledger};

/// Accounts with their keys.
pub const ACCOUNTS: [(&str, &str); 2] = [("farm", "key-farm"), ("shop", "key-shop")];
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after sending within which a connection may close without an answer, if no target has run the request:
/// the users' tolerance for a request that coincides with the close.
const CLOSE_RACE_MAX: Duration = Duration::from_millis(200);

type Sender = http1::SendRequest<Full<Bytes>>;

/// One caller.
pub struct Caller {
    pub hosts: Arc<Vec<Host>>,
    pub ledger: Arc<Ledger>,
    pub ended: Arc<AtomicBool>,
    /// Number of the next request, shared by all callers.
    pub next: Arc<AtomicU64>,
    pub seed: u64,
}

impl Caller {
    /// Sends requests one after another until the run ends.
    pub async fn run(self) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(self.seed);
        let mut connections: Vec<Option<Sender>> = self.hosts.iter().map(|_| None).collect();
        while !self.ended.load(Ordering::Relaxed) {
            let host = rng.random_range(0..self.hosts.len());
            let sender = match connections[host].take().filter(|sender| !sender.is_closed()) {
                Some(sender) => Some(sender),
                None => connect(&self.hosts[host]).await,
            };
            match sender {
                Some(sender) => connections[host] = self.exchange(&mut rng, host, sender).await,
                None => time::sleep(Duration::from_millis(30)).await,
            }
            time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
        }
    }

    /// Sends a request; returns the connection if it can be reused.
    async fn exchange(
        &self,
        rng: &mut Xoshiro256PlusPlus,
        host: usize,
        mut sender: Sender,
    ) -> Option<Sender> {
        let id = format!("r{}", self.next.fetch_add(1, Ordering::Relaxed));
        let at_most_once = rng.random_bool(0.5);
        let (account, key) = ACCOUNTS[rng.random_range(0..ACCOUNTS.len())];
        let path = if at_most_once { "/writes/x" } else { "/reads/x" };
        let request = Request::builder()
            .method(if at_most_once { "POST" } else { "GET" })
            .uri(path)
            .header("host", "soak.example")
            .header("x-request-id", &id)
            .header("x-remaining-ms", TIMEOUT.as_millis().to_string())
            .header("cookie", format!("X-Affinity-Key={}", rng.random_range(0..20)))
            .header("authorization", format!("Bearer {key}"))
            .header("x-tenant", "forged")
            .body(Full::new(Bytes::from_static(if at_most_once { b"cut" } else { b"" })))
            .expect("a request");
        self.ledger.record_sent(&id, at_most_once, account);
        let (disruptions, sent) = (self.hosts[host].disruptions(), Instant::now());
        sender.ready().await.ok()?;
        let sending =
            time::timeout(TIMEOUT + Duration::from_secs(1), sender.try_send_request(request));
        let response = match sending.await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                if error.message().is_none() {
                    self.ledger.record_answer(&id, 0);
                    self.ledger.record_host_answer(host, 0);
                    self.check_closed(&id, host, disruptions, sent).await;
                }
                return None;
            }
            Err(_) => {
                self.check_timeout(&id, host, disruptions);
                return None;
            }
        };
        let status = response.status().as_u16();
        let is_echoed = response.headers().get("x-request-id").is_some_and(|echo| *echo == *id);
        let body = response.into_body().collect().await.map(|body| body.to_bytes());
        self.ledger.record_answer(&id, status);
        self.ledger.record_host_answer(host, status);
        match body {
            Ok(body) if status == 200 && (body != id || !is_echoed) => {
                self.ledger
                    .record_violation(format!("{id}: got another request's answer {body:?}"));
            }
            Ok(_) if matches!(status, 400 | 401 | 404) => {
                self.ledger.record_violation(format!(
                    "{id}: refused with {status}, although the configuration allows it"
                ));
            }
            Ok(_) => {}
            Err(_) => self.check_closed(&id, host, disruptions, sent).await,
        }
        Some(sender)
    }

    /// Records a violation if an undisrupted host closed a connection without an answer, unless the request
    /// coincided with the close and reached no target.
    async fn check_closed(&self, id: &str, host: usize, disruptions: u32, sent: Instant) {
        if sent.elapsed() < CLOSE_RACE_MAX && !self.ledger.has_run(id) {
            return;
        }
        // A disruption may be recorded a moment after its effect.
        time::sleep(Duration::from_millis(50)).await;
        if self.hosts[host].disruptions() == disruptions {
            self.ledger
                .record_violation(format!("{id}: h{host} closed the connection without an answer"));
        }
    }

    /// Records a violation if an undisrupted host did not answer before its caller's time-out.
    fn check_timeout(&self, id: &str, host: usize, disruptions: u32) {
        if self.hosts[host].disruptions() == disruptions {
            self.ledger.record_violation(format!("{id}: h{host} did not answer in time"));
        }
    }
}

/// Requests a path from a host on a new connection; returns the status, or `None` without an answer.
pub async fn probe(host: &Host, path: &str, key: &str) -> Option<u16> {
    let mut sender = connect(host).await?;
    let request = Request::builder()
        .uri(path)
        .header("host", "soak.example")
        .header("x-request-id", "probe")
        .header("x-remaining-ms", "1000")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::default())
        .expect("a request");
    let sending = time::timeout(TIMEOUT, sender.send_request(request));
    Some(sending.await.ok()?.ok()?.status().as_u16())
}

async fn connect(host: &Host) -> Option<Sender> {
    let stream = time::timeout(TIMEOUT, TcpStream::connect(host.callers)).await.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // An error of the connection also fails its request.
        let _ = connection.await;
    });
    Some(sender)
}
