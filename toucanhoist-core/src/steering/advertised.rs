//! Selection of the hosts of a region that callers are told to use.
//!
//! Each host keeps its own connections to targets and learns about them only from its own requests.
//! A few hosts on large machines therefore serve callers better than all hosts: they open fewer
//! connections, and each knows more about each target. The others stand by and are advertised as
//! soon as hosts ranked above them are gone.

/// Share of the capacity of a region's machines that is advertised. The rest covers the loss of a
/// data centre and unusually high traffic.
const CAPACITY_SHARE: f64 = 0.5;
/// Hosts that are advertised in any case, so that callers have alternatives.
const HOSTS_MIN: usize = 8;

/// Returns the hosts to advertise, given each with the capacity of its machine: the largest ones,
/// until they make up a fixed share of the total. Without capacity figures, all hosts are
/// returned.
pub fn advertised_hosts<T: Ord>(mut hosts: Vec<(u32, T)>) -> Vec<T> {
    hosts.sort_unstable_by(|one, other| other.0.cmp(&one.0).then_with(|| one.1.cmp(&other.1)));
    let total: f64 = hosts.iter().map(|(capacity, _)| f64::from(*capacity)).sum();
    let mut selected = 0.0;
    let is_advertised = |(rank, (capacity, _)): &(usize, (u32, T))| {
        let is_needed = *rank < HOSTS_MIN || total == 0.0 || selected < total * CAPACITY_SHARE;
        selected += f64::from(*capacity);
        is_needed
    };
    hosts.into_iter().enumerate().filter(is_advertised).map(|(_, (_, host))| host).collect()
}
