//! Resource use of hosts over loopback that exchange control messages and serve no requests.

use std::{io, sync::atomic::Ordering, time::Duration};

use tokio::{runtime, time};

use super::usage;
use crate::configuration::hosts;

const DATA_CENTRES: usize = 6;
const SETTLE_TIME: Duration = Duration::from_secs(3);
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Resource use of one host, which includes its share of the relays and of the fake platform.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostUsage {
    pub core_percent: f64,
    /// Bytes of TCP payload, sent and received.
    pub bytes_per_s: f64,
    pub memory_mb: f64,
}

pub(super) fn measure_idle(count: usize) -> io::Result<HostUsage> {
    let runtime = runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    runtime.block_on(async {
        let memory = usage::memory_mb()?;
        let cluster = hosts::spawn(count, DATA_CENTRES).await?;
        time::sleep(SETTLE_TIME).await;
        let (bytes, used) = (cluster.bytes.load(Ordering::Relaxed), usage::processor_time()?);
        time::sleep(MEASURED_TIME).await;
        let bytes = cluster.bytes.load(Ordering::Relaxed) - bytes;
        let used = usage::processor_time()? - used;
        let per_host = 1.0 / count as f64;
        let seconds = MEASURED_TIME.as_secs_f64();
        Ok(HostUsage {
            core_percent: used.as_secs_f64() / seconds * 100.0 * per_host,
            // Each byte is sent by one host and received by another.
            bytes_per_s: 2.0 * bytes as f64 / seconds * per_host,
            memory_mb: (usage::memory_mb()? - memory) * per_host,
        })
    })
}
