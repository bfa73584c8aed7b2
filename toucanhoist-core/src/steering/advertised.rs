//! Which hosts of a region its callers are told to use.
//!
//! Each host keeps its own connections to targets and learns of them by its own requests. So fewer hosts with
//! large machines serve callers better than all: they connect less, and know more of each target. The others
//! stand by; they are named as soon as hosts before them are gone.

/// Part of the capacity of a region's machines that its callers use. The rest covers the loss of a data
/// centre, and traffic beyond the usual.
const NAMED_PART: f64 = 0.5;
/// Hosts that are named in any case, so that callers have others to try.
const NAMED_MIN: usize = 8;

/// Returns what is named of hosts with what their machines give them: the largest, as many as make up a part of
/// the capacity of all. Without figures, all are named.
pub fn advertised_hosts<T: Ord>(mut hosts: Vec<(u32, T)>) -> Vec<T> {
    hosts.sort_unstable_by(|one, other| other.0.cmp(&one.0).then_with(|| one.1.cmp(&other.1)));
    let all: f64 = hosts.iter().map(|(capacity, _)| f64::from(*capacity)).sum();
    let mut before = 0.0;
    let is_named = |(place, (capacity, _)): &(usize, (u32, T))| {
        let is_needed = *place < NAMED_MIN || all == 0.0 || before < all * NAMED_PART;
        before += f64::from(*capacity);
        is_needed
    };
    hosts.into_iter().enumerate().filter(is_named).map(|(_, (_, host))| host).collect()
}
