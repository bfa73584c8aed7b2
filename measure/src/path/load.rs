//! Load generation over several connections.

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

/// Largest latency that the histogram records, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
const POINTS_PER_CURVE: u32 = 100;

/// Receivers and content of the requests.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) path: Box<str>,
    pub(super) key: Option<Box<str>>,
    pub(super) seed: u64,
}

/// Rate of the requests.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pace {
    /// Closed loop: each connection sends when its last answer is complete.
    Closed,
    /// Open loop: all connections together send this many requests a second.
    PerSecond(f64),
}

/// Latencies and failures of a run.
pub(super) struct LoadResult {
    latencies: Histogram<u64>,
    pub(super) failed: u64,
    elapsed: Duration,
}

impl LoadResult {
    /// Returns the number of successful requests a second.
    pub(super) fn per_s(&self) -> f64 {
        self.succeeded_f64() / self.elapsed.as_secs_f64()
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
    pub(super) fn curve(&self, name: &'static str) -> crate::report::Curve {
        let mut all = histogram();
        for run in &self.runs {
            let _ = all.add(&run.latencies);
        }
        let quantile = |i: u32| f64::from(i) / f64::from(POINTS_PER_CURVE);
        let point =
            |quantile| (quantile * 100.0, as_f64(all.value_at_quantile(quantile)) / 1_000.0);
        let points = (0..POINTS_PER_CURVE).map(quantile).chain([0.999]).map(point).collect();
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

/// Sends requests for `duration`, but at most [`ROUND_REQUESTS`].
pub(super) async fn run(
    workload: &Workload,
    pace: Pace,
    duration: Duration,
) -> io::Result<LoadResult> {
    let budget = Arc::new(AtomicU64::new(ROUND_REQUESTS));
    let started = Instant::now();
    let mut connections = JoinSet::new();
    for i in 0..CONNECTIONS {
        let schedule = Schedule::new(pace, i, started, started + duration);
        let address = workload.addresses[i % workload.addresses.len()];
        connections.spawn(run_connection(
            workload.clone(),
            address,
            i,
            schedule,
            Arc::clone(&budget),
        ));
    }
    let mut result = LoadResult { latencies: histogram(), failed: 0, elapsed: Duration::ZERO };
    while let Some(ended) = connections.join_next().await {
        let (latencies, failed) = ended??;
        result.latencies.add(&latencies).map_err(io::Error::other)?;
        result.failed += failed;
    }
    result.elapsed = started.elapsed();
    Ok(result)
}

/// Start times of the requests of one connection.
struct Schedule {
    next: Instant,
    interval: Duration,
    end: Instant,
}

impl Schedule {
    fn new(pace: Pace, connection: usize, start: Instant, end: Instant) -> Schedule {
        let interval = match pace {
            Pace::Closed => Duration::ZERO,
            Pace::PerSecond(rate) => Duration::from_secs_f64(as_f64(CONNECTIONS as u64) / rate),
        };
        let offset = interval.mul_f64(as_f64(connection as u64) / as_f64(CONNECTIONS as u64));
        Schedule { next: start + offset, interval, end }
    }

    /// Waits until the next request is due, and returns the time from which its latency counts. If
    /// a late answer has delayed the request, that is the time at which it was due, so that a stall
    /// shows in all requests that it delayed.
    async fn start(&mut self) -> Option<Instant> {
        let now = Instant::now();
        if now >= self.end {
            return None;
        }
        if self.interval.is_zero() {
            return Some(now);
        }
        let due = self.next;
        self.next += self.interval;
        if due <= now {
            return Some(due);
        }
        time::sleep_until(due.min(self.end)).await;
        (due < self.end).then(Instant::now)
    }
}

async fn run_connection(
    workload: Workload,
    address: SocketAddr,
    number: usize,
    mut schedule: Schedule,
    budget: Arc<AtomicU64>,
) -> io::Result<(Histogram<u64>, u64)> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(workload.seed.wrapping_add(number as u64));
    let (mut latencies, mut failed) = (histogram(), 0);
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(driver);
    while let Some(start) = schedule.start().await {
        if budget.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1)).is_err()
        {
            break;
        }
        let request = request(&workload, &mut random)?;
        sender.ready().await.map_err(io::Error::other)?;
        let answer = sender.send_request(request).await.map_err(io::Error::other)?;
        let succeeded = answer.status().is_success();
        let is_complete = answer.into_body().collect().await.is_ok();
        if succeeded && is_complete {
            let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(LATENCY_MAX_US);
            latencies.saturating_record(micros.max(1));
        } else {
            failed += 1;
        }
    }
    Ok((latencies, failed))
}

fn request(
    workload: &Workload,
    random: &mut Xoshiro256PlusPlus,
) -> io::Result<Request<Empty<Bytes>>> {
    let plot: u16 = random.random();
    let [a, b] = random.random::<[u8; 2]>();
    let path =
        workload.path.replace("{plot}", &plot.to_string()).replace("{host}", &format!("{a}.{b}"));
    let mut request = Request::builder().uri(path).header("host", "curves");
    if let Some(key) = &workload.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    request.body(Empty::new()).map_err(io::Error::other)
}
