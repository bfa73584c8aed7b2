//! Load over several connections.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    hdrhistogram::Histogram,
    http_body_util::{BodyExt, Empty},
    hyper::{Request, client::conn::http1},
    hyper_util::rt::TokioIo,
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    tokio::{
        net::TcpStream,
        task::JoinSet,
        time::{self, Instant},
    },
};

use super::{Bytes, CONNECTIONS, ROUND_REQUESTS, Runs};

/// Longest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
const PLOTS_PER_CURVE: u32 = 100;

/// Where load goes, and what it asks for.
#[derive(Clone, Debug)]
pub(super) struct Way {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) path: Box<str>,
    pub(super) key: Option<Box<str>>,
    pub(super) seed: u64,
}

/// How fast requests follow each other.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pace {
    /// Each connection sends as soon as its last answer is whole.
    Closed,
    /// All connections together send this many a second.
    PerSecond(f64),
}

/// What a load found.
pub(super) struct Load {
    latencies: Histogram<u64>,
    pub(super) failed: u64,
    took: Duration,
}

impl Load {
    /// Returns the whole answers a second.
    pub(super) fn per_s(&self) -> f64 {
        self.succeeded_f64() / self.took.as_secs_f64()
    }

    pub(super) fn succeeded_f64(&self) -> f64 {
        as_f64(self.latencies.len())
    }

    /// Returns the latency at a quantile, in milliseconds.
    pub(super) fn ms(&self, quantile: f64) -> f64 {
        as_f64(self.latencies.value_at_quantile(quantile)) / 1_000.0
    }
}

impl Runs {
    /// Returns the quantiles of all runs together, as a curve.
    pub(super) fn plot(&self, name: &'static str) -> crate::report::Curve {
        let mut all = histogram();
        for run in &self.runs {
            let _ = all.add(&run.latencies);
        }
        let quantile = |i: u32| f64::from(i) / f64::from(PLOTS_PER_CURVE);
        let point = |q| (q * 100.0, as_f64(all.value_at_quantile(q)) / 1_000.0);
        let points = (0..PLOTS_PER_CURVE).map(quantile).chain([0.999]).map(point).collect();
        crate::report::Curve { name, points }
    }
}

/// Returns a count as a float.
#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(super) fn as_f64(count: u64) -> f64 {
    count as f64
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("valid bounds")
}

/// Sends load for `limit`, and no more than a fixed number of requests.
pub(super) async fn run(way: &Way, pace: Pace, limit: Duration) -> io::Result<Load> {
    let left = Arc::new(AtomicU64::new(ROUND_REQUESTS));
    let started = Instant::now();
    let mut connections = JoinSet::new();
    for i in 0..CONNECTIONS {
        let schedule = Schedule::new(pace, i, started, started + limit);
        let address = way.addresses[i % way.addresses.len()];
        connections.spawn(connection(way.clone(), address, i, schedule, Arc::clone(&left)));
    }
    let mut load = Load { latencies: histogram(), failed: 0, took: Duration::ZERO };
    while let Some(ended) = connections.join_next().await {
        let (latencies, failed) = ended??;
        load.latencies.add(&latencies).map_err(io::Error::other)?;
        load.failed += failed;
    }
    load.took = started.elapsed();
    Ok(load)
}

/// When the requests of one connection start.
struct Schedule {
    next: Instant,
    every: Duration,
    end: Instant,
}

impl Schedule {
    fn new(pace: Pace, connection: usize, start: Instant, end: Instant) -> Schedule {
        let every = match pace {
            Pace::Closed => Duration::ZERO,
            Pace::PerSecond(rate) => Duration::from_secs_f64(as_f64(CONNECTIONS as u64) / rate),
        };
        let offset = every.mul_f64(as_f64(connection as u64) / as_f64(CONNECTIONS as u64));
        Schedule { next: start + offset, every, end }
    }

    /// Waits for the next start. One that is overdue because an answer was late counts from when it
    /// should have been, so that a stall shows in all requests that it held up.
    async fn start(&mut self) -> Option<Instant> {
        let now = Instant::now();
        if now >= self.end {
            return None;
        }
        if self.every.is_zero() {
            return Some(now);
        }
        let due = self.next;
        self.next += self.every;
        if due <= now {
            return Some(due);
        }
        time::sleep_until(due.min(self.end)).await;
        (due < self.end).then(Instant::now)
    }
}

async fn connection(
    way: Way,
    address: SocketAddr,
    number: usize,
    mut schedule: Schedule,
    left: Arc<AtomicU64>,
) -> io::Result<(Histogram<u64>, u64)> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(way.seed.wrapping_add(number as u64));
    let (mut latencies, mut failed) = (histogram(), 0);
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(driver);
    while let Some(start) = schedule.start().await {
        if left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1)).is_err() {
            break;
        }
        let request = request(&way, &mut random)?;
        sender.ready().await.map_err(io::Error::other)?;
        let answer = sender.send_request(request).await.map_err(io::Error::other)?;
        let succeeded = answer.status().is_success();
        let whole = answer.into_body().collect().await.is_ok();
        if succeeded && whole {
            let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(LATENCY_MAX_US);
            latencies.saturating_record(micros.max(1));
        } else {
            failed += 1;
        }
    }
    Ok((latencies, failed))
}

fn request(way: &Way, random: &mut Xoshiro256PlusPlus) -> io::Result<Request<Empty<Bytes>>> {
    let plot: u16 = random.random();
    let [a, b] = random.random::<[u8; 2]>();
    let path = way.path.replace("{plot}", &plot.to_string()).replace("{host}", &format!("{a}.{b}"));
    let mut request = Request::builder().uri(path).header("host", "curves");
    if let Some(key) = &way.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    request.body(Empty::new()).map_err(io::Error::other)
}
