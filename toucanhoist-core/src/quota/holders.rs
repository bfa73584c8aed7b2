//! The hosts that hold an account's rate where no ledger says so.
//!
//! One host of each data centre holds a part of the rate and burst of an account, and the others ask
//! the holders for tokens. With a part at each of many hosts, most of the rate would fill buckets at
//! hosts which the account's callers do not use, and leave parts of a token at each. A data centre
//! that is cut off has its part. Who holds is worked out from the hosts that have registered, dead or
//! alive, so that the parts of hosts that cannot reach each other never exceed the whole.

use std::collections::BTreeMap;

use crate::{id, membership::rendezvous_score};

/// Returns the hosts that hold a part of an account's rate, from all hosts with their data centres.
pub fn holders<'a>(
    account: &id::Account,
    hosts: &'a BTreeMap<id::EntryHost, id::DataCentre>,
) -> Vec<&'a id::EntryHost> {
    let mut first: BTreeMap<&id::DataCentre, (u64, &id::EntryHost)> = BTreeMap::new();
    for (host, data_centre) in hosts {
        let ranked = (rendezvous_score(host.as_str(), account.as_str()), host);
        let best = first.entry(data_centre).or_insert(ranked);
        *best = ranked.max(*best);
    }
    first.into_values().map(|(_, host)| host).collect()
}
