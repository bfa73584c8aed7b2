//! Memory and descriptors of a process, from the kernel's tables.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use tokio::time;

/// Time between two counts of descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// Time without change after which a process counts as settled.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Settle times after which waiting ends, settled or not.
const SETTLE_ROUNDS_MAX: u32 = 30;

/// Returns the largest resident memory of a process so far, in kB; `None` if it has ended.
pub fn peak_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}

/// Returns the number of open descriptors of a process; none if it has ended.
fn open(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Waits until the largest resident memory and the descriptors of a process no longer change.
pub async fn wait_until_settled(pid: u32) {
    let mut before = (peak_kb(pid), open(pid));
    for _ in 0..SETTLE_ROUNDS_MAX {
        time::sleep(SETTLE_TIME).await;
        let now = (peak_kb(pid), open(pid));
        if now == before {
            return;
        }
        before = now;
    }
}

/// Counts the open descriptors of a process until dropped.
#[derive(Debug)]
pub struct Descriptors {
    most: Arc<AtomicUsize>,
    is_ended: Arc<AtomicBool>,
}

impl Descriptors {
    /// Starts to count.
    pub fn watch(pid: u32) -> Descriptors {
        let (most, is_ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let (counted, ended) = (Arc::clone(&most), Arc::clone(&is_ended));
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                counted.fetch_max(open(pid), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Descriptors { most, is_ended }
    }

    /// Returns the largest count so far.
    pub fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }
}

impl Drop for Descriptors {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}
