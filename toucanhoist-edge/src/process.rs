//! Limits that the system puts on the process.

use nix::sys::resource::{Resource, getrlimit};

/// Returns the number of descriptors that the process may have open.
pub fn descriptors_max() -> usize {
    // Without an answer there is no limit that is known.
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
    usize::try_from(limit).unwrap_or(usize::MAX)
}
