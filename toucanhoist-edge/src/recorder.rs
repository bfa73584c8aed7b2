//! The metrics recorder of the process.

use std::{sync::OnceLock, time::Duration};

use {
    metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle},
    tokio::time,
};

use crate::steer::WITHDRAWAL_METRIC;

const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Upper bounds of the buckets of latencies, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];

/// Upper bounds of the buckets of delays of withdrawals, in seconds.
const WITHDRAWAL_BUCKETS_S: [f64; 8] = [0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0];

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder on the first call, and returns its handle.
///
/// # Panics
///
/// The first call is made outside of a Tokio runtime.
pub fn install() -> &'static PrometheusHandle {
    METRICS.get_or_init(|| {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS_S)
            .and_then(|builder| {
                let metric = Matcher::Full(WITHDRAWAL_METRIC.to_owned());
                builder.set_buckets_for_metric(metric, &WITHDRAWAL_BUCKETS_S)
            })
            .unwrap_or_default()
            .build_recorder();
        let handle = recorder.handle();
        // Without upkeep, histogram samples accumulate in memory until the metrics are read.
        let upkeep = handle.clone();
        tokio::spawn(async move {
            loop {
                time::sleep(UPKEEP_INTERVAL).await;
                upkeep.run_upkeep();
            }
        });
        // If another recorder is installed already, it stays, and this handle renders nothing.
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}
