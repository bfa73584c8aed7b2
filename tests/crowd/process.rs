//! Memory and descriptors of a process, from the kernel's tables.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use tokio::time;

/// Time between two counts of descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two sums of the kernel's queues.
const QUEUES_INTERVAL: Duration = Duration::from_millis(50);
/// State of an open connection, and of one that the peer has closed, in the kernel's table.
const OPEN_STATES: [&str; 2] = ["01", "08"];
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

/// Returns the bytes that the kernel has received or has still to send on connections to some addresses.
pub fn queued_bytes(addresses: &[SocketAddr]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().filter_map(|line| queued(line, addresses)).sum()
}

/// Returns the bytes in the queues of a line of the kernel's table; `None` for another address.
fn queued(line: &str, addresses: &[SocketAddr]) -> Option<u64> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let [_, local, _, state, queues, ..] = fields[..] else { return None };
    let is_local = |address: &SocketAddr| {
        let SocketAddr::V4(address) = address else { return false };
        let ip = u32::from_ne_bytes(address.ip().octets());
        local == format!("{ip:08X}:{:04X}", address.port())
    };
    if !OPEN_STATES.contains(&state) || !addresses.iter().any(is_local) {
        return None;
    }
    let (unsent, unread) = queues.split_once(':')?;
    Some(u64::from_str_radix(unsent, 16).ok()? + u64::from_str_radix(unread, 16).ok()?)
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

/// Sums up the kernel's queues of some addresses until dropped.
#[derive(Debug)]
pub struct Queues {
    most: Arc<AtomicU64>,
    is_ended: Arc<AtomicBool>,
}

impl Queues {
    /// Starts to watch.
    pub fn watch(addresses: Vec<SocketAddr>) -> Queues {
        let (most, is_ended) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (seen, ended) = (Arc::clone(&most), Arc::clone(&is_ended));
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                seen.fetch_max(queued_bytes(&addresses), Ordering::Relaxed);
                thread::sleep(QUEUES_INTERVAL);
            }
        });
        Queues { most, is_ended }
    }

    /// Returns the largest sum so far, in kB.
    pub fn most_kb(&self) -> u64 {
        self.most.load(Ordering::Relaxed) / 1_024
    }
}

impl Drop for Queues {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }
}
