//! Tells callers which entry hosts to use, and platforms whether this host is ready; serves metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    http::{Request, Response, StatusCode, header},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    metrics_exporter_prometheus::PrometheusHandle,
    serde_json::{Map, Value},
    tokio::{net::TcpListener, time},
    toucanhoist_core::{
        id,
        membership::{State, View},
    },
};

use crate::gateway::{Phase, Shared};

/// Time for which callers keep an answer, if the fleet's bound is not lower.
const TTL_MAX: Duration = Duration::from_secs(2);
/// Addresses in one answer.
const ADDRESSES_MAX: usize = 64;
/// Time in which the head of a request must be complete.
const HEAD_MAX: Duration = Duration::from_secs(5);

type Answer = Response<Full<Bytes>>;

/// Serves the directory.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    listen(listener, move |request| directory(&shared, request)).await;
}

/// Serves the readiness check.
pub async fn serve_readiness(listener: TcpListener, shared: Arc<Shared>) {
    listen(listener, move |request| readiness(&shared, request)).await;
}

/// Serves the metrics.
pub async fn serve_metrics(listener: TcpListener, metrics: PrometheusHandle) {
    listen(listener, move |_| {
        metrics.run_upkeep();
        let mut answer = Response::new(Full::new(metrics.render().into()));
        let text = http::HeaderValue::from_static("text/plain; version=0.0.4");
        answer.headers_mut().insert(header::CONTENT_TYPE, text);
        answer
    })
    .await;
}

async fn listen(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = answer(&request);
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            // A caller that goes away asks again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_MAX)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Whether a host takes new callers.
pub(crate) fn is_ready(shared: &Shared) -> bool {
    *shared.phase.borrow() == Phase::Serving && shared.fleet.routes().is_some()
}

fn readiness(shared: &Shared, request: &Request<Incoming>) -> Answer {
    if request.uri().path() != &*shared.dialect.readiness_path {
        return plain(StatusCode::NOT_FOUND);
    }
    plain(if is_ready(shared) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

fn directory(shared: &Shared, request: &Request<Incoming>) -> Answer {
    let names = &shared.dialect.directory;
    if request.uri().path() != &*names.path {
        return plain(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let region = parameter(query, &names.region).and_then(|region| region.parse().ok());
    let region = region.or_else(|| {
        let data_centre = parameter(query, &names.data_centre)?.parse().ok()?;
        shared.settings.regions.get(&data_centre).cloned()
    });
    let own = is_ready(shared).then_some(shared.settings.listen.callers);
    let addresses = addresses(shared, region.as_ref(), own);
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE);
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

/// Returns the addresses of the hosts of a region, or of all where there is none.
fn addresses(
    shared: &Shared,
    region: Option<&id::Region>,
    own: Option<SocketAddr>,
) -> Vec<SocketAddr> {
    let view = shared.fleet.view();
    let settings = &shared.settings;
    let near = |data_centre: &id::DataCentre| {
        region.is_none() || settings.regions.get(data_centre) == region
    };
    let others = |view: &View, near: &dyn Fn(&id::DataCentre) -> bool| -> Vec<SocketAddr> {
        view.members
            .iter()
            .filter(|member| member.state == State::Live && member.name != settings.name)
            .filter(|member| near(&member.data_centre))
            .filter_map(|member| member.callers.parse().ok())
            .collect()
    };
    let mut found = others(&view, &near);
    found.extend(own.filter(|_| near(&settings.data_centre)));
    if found.is_empty() {
        found = others(&view, &|_| true);
        found.extend(own);
    }
    found.truncate(ADDRESSES_MAX);
    found
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
