//! Choice of the hosts that hold an account's rate where there is no ledger.
//!
//! One host of each data centre holds a share of the rate and burst of an account, and the other
//! hosts ask the holders for tokens. If each of many hosts held a share, most of the rate would
//! refill buckets of hosts that the account's callers do not use, and leave fractions of a token at
//! each. A data centre that is partitioned from the others still has its share. The choice depends
//! only on the hosts that have registered, whether they run or not, so the shares of hosts that
//! cannot reach each other never add up to more than the whole.

use std::collections::BTreeMap;

use crate::{id, membership::rendezvous_score};

/// Returns the hosts that hold a share of an account's rate: in each data centre the one with the
/// highest rendezvous score. `hosts` are all registered hosts with their data centres.
pub fn holders<'a>(
    account: &id::Account,
    hosts: &'a BTreeMap<id::EntryHost, id::DataCentre>,
) -> Vec<&'a id::EntryHost> {
    let mut best: BTreeMap<&id::DataCentre, (u64, &id::EntryHost)> = BTreeMap::new();
    for (host, data_centre) in hosts {
        let ranked = (rendezvous_score(host.as_str(), account.as_str()), host);
        let current = best.entry(data_centre).or_insert(ranked);
        *current = ranked.max(*current);
    }
    best.into_values().map(|(_, host)| host).collect()
}
