//! Memory and processor time of this process.

use std::{fs, io, time::Duration};

const PAGE_BYTES: f64 = 4_096.0;
const CLOCK_TICKS_PER_S: f64 = 100.0;
const MB: f64 = 1e6;

/// Returns the resident memory in MB.
pub(super) fn memory_mb() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    Ok(pages * PAGE_BYTES / MB)
}

/// Returns the processor time used so far by all threads.
pub(super) fn processor_time() -> io::Result<Duration> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks =
        |index: usize| fields.split_whitespace().nth(index).and_then(|t| t.parse::<f64>().ok());
    let ticks = ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0);
    Ok(Duration::from_secs_f64(ticks / CLOCK_TICKS_PER_S))
}
