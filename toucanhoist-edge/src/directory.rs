//! Serves the directory of entry hosts to callers, the readiness check, and the metrics.

use std::{borrow::Cow, future, net::SocketAddr, sync::Arc, time::Duration};

use {
    http::{Request, Response, StatusCode, header},
    http_body_util::Full,
    hyper::body::Incoming,
    percent_encoding::percent_decode_str,
    serde_json::{Map, Value},
    tokio::net::TcpListener,
    toucanhoist_core::{
        id,
        membership::{State, View},
        steering::advertised_hosts,
    },
};

use crate::{
    connections::Port,
    gateway::{Phase, Shared},
    journal::Journal,
    recorder, server,
};

/// Time for which callers may cache an answer, unless `directory_ttl_s` is lower.
const TTL_MAX: Duration = Duration::from_secs(2);
/// Addresses in one answer.
const ADDRESSES_MAX: usize = 64;
/// Limits of requests. Heads of callers stay below these by default.
const LIMITS: server::Limits =
    server::Limits { head_bytes: 20 * 1_024, head_timeout: Duration::from_secs(5) };

/// Serves the directory.
pub async fn serve(listener: TcpListener, port: Arc<Port>, shared: Arc<Shared>) {
    let journal = Arc::clone(&shared.journal);
    listen(listener, port, journal, move |request| directory(&shared, request)).await;
}

/// Serves the readiness check.
pub async fn serve_readiness(listener: TcpListener, port: Arc<Port>, shared: Arc<Shared>) {
    let journal = Arc::clone(&shared.journal);
    listen(listener, port, journal, move |request| readiness(&shared, request)).await;
}

/// Serves the metrics.
pub async fn serve_metrics(listener: TcpListener, port: Arc<Port>, journal: Arc<Journal>) {
    let metrics = recorder::install();
    listen(listener, port, journal, |_| {
        let mut answer = Response::new(Full::new(metrics.render().into()));
        let text = http::HeaderValue::from_static("text/plain; version=0.0.4");
        answer.headers_mut().insert(header::CONTENT_TYPE, text);
        answer
    })
    .await;
}

async fn listen(
    listener: TcpListener,
    port: Arc<Port>,
    journal: Arc<Journal>,
    answer: impl Fn(&Request<Incoming>) -> server::Answer + Clone + Send + Sync + 'static,
) {
    let answer = move |request| future::ready(answer(&request));
    server::serve(listener, port, journal, LIMITS, answer).await;
}

/// Whether a host accepts new callers.
pub(crate) fn is_ready(shared: &Shared) -> bool {
    *shared.phase.borrow() == Phase::Serving && shared.fleet.routes().is_some()
}

fn readiness(shared: &Shared, request: &Request<Incoming>) -> server::Answer {
    if request.uri().path() != &*shared.dialect.readiness_path {
        return server::empty(StatusCode::NOT_FOUND);
    }
    server::empty(if is_ready(shared) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

fn directory(shared: &Shared, request: &Request<Incoming>) -> server::Answer {
    let names = &shared.dialect.directory;
    if request.uri().path() != &*names.path {
        return server::empty(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let region = parameter(query, &names.region);
    let region = region.and_then(|region| id::Region::from_text(&region).ok());
    let region = region.or_else(|| {
        let data_centre = parameter(query, &names.data_centre)?;
        let data_centre = id::DataCentre::from_text(&data_centre).ok()?;
        shared.settings.regions.get(&data_centre).cloned()
    });
    let own = is_ready(shared).then_some(shared.settings.listen.callers);
    let addresses = addresses(shared, region.as_ref(), own);
    if addresses.is_empty() {
        return server::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl_s = shared.settings.bounds.directory_ttl_s.min(TTL_MAX).as_secs_f64();
    let mut content = Map::new();
    let addresses = addresses.iter().map(|address| Value::from(address.to_string())).collect();
    content.insert(names.addresses.to_string(), Value::Array(addresses));
    content.insert(names.ttl_s.to_string(), Value::from(ttl_s));
    let mut answer = Response::new(Full::new(Value::Object(content).to_string().into()));
    let json = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// Returns the addresses of the live hosts of a region, or of all live hosts if the region has none.
fn addresses(
    shared: &Shared,
    region: Option<&id::Region>,
    own: Option<SocketAddr>,
) -> Vec<SocketAddr> {
    let (view, capacities) = (shared.fleet.view(), shared.fleet.capacities());
    let settings = &shared.settings;
    let capacity = |name: &id::EntryHost| capacities.get(name).copied().unwrap_or_default();
    let is_in_region = |data_centre: &id::DataCentre| {
        region.is_none() || settings.regions.get(data_centre) == region
    };
    let others = |view: &View, is_included: &dyn Fn(&id::DataCentre) -> bool| -> Vec<Candidate> {
        view.members
            .iter()
            .filter(|member| member.state == State::Live && member.name != settings.name)
            .filter(|member| is_included(&member.data_centre))
            .filter_map(|member| Some((capacity(&member.name), member.callers.parse().ok()?)))
            .collect()
    };
    let own = own.map(|own| (capacity(&settings.name), own));
    let mut candidates = others(&view, &is_in_region);
    candidates.extend(own.filter(|_| is_in_region(&settings.data_centre)));
    if candidates.is_empty() {
        candidates = others(&view, &|_| true);
        candidates.extend(own);
    }
    let mut addresses = advertised_hosts(candidates);
    addresses.truncate(ADDRESSES_MAX);
    addresses
}

/// Capacity of a host's machine, and the host's address for callers.
type Candidate = (u32, SocketAddr);

/// Returns the text of a parameter; `None` if it is missing or not UTF-8.
fn parameter<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    percent_decode_str(value).decode_utf8().ok()
}
