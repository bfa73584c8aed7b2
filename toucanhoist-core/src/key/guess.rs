//! Limits how often wrong keys may come from a client address.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv6Addr},
    time::Duration,
};

use crate::clock::Time;

const GUESSES_BURST: f64 = 20.0;
const GUESSES_PER_S: f64 = 1.0;
const ADDRESSES_MAX: usize = 16_384;
const IPV6_PREFIX_BITS: u32 = 64;

/// Wrong keys by client address, in bounded memory.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    addresses: HashMap<IpAddr, Guesses>,
}

#[derive(Clone, Copy, Debug)]
struct Guesses {
    count: f64,
    at: Time,
}

impl Guesses {
    fn left(self, now: Time) -> f64 {
        (self.count - now.since(self.at).as_secs_f64() * GUESSES_PER_S).max(0.0)
    }
}

impl Limiter {
    /// Checks whether an address may try another key.
    ///
    /// # Errors
    ///
    /// Time until it may.
    pub fn check(&self, now: Time, client: IpAddr) -> Result<(), Duration> {
        let left = self.addresses.get(&network(client)).map_or(0.0, |guesses| guesses.left(now));
        if left <= GUESSES_BURST - 1.0 {
            return Ok(());
        }
        Err(Duration::from_secs_f64((left - GUESSES_BURST + 1.0) / GUESSES_PER_S))
    }

    /// Records a wrong key.
    pub fn record_failure(&mut self, now: Time, client: IpAddr) {
        if self.addresses.len() >= ADDRESSES_MAX {
            self.evict(now);
        }
        let guesses =
            self.addresses.entry(network(client)).or_insert(Guesses { count: 0.0, at: now });
        *guesses = Guesses { count: guesses.left(now) + 1.0, at: now };
    }

    /// Returns the number of addresses that are kept.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Whether no address is kept.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Evicts addresses whose guesses have drained, or else the half that guessed least.
    fn evict(&mut self, now: Time) {
        self.addresses.retain(|_, guesses| guesses.left(now) > 0.0);
        if self.addresses.len() < ADDRESSES_MAX {
            return;
        }
        let mut counts: Vec<f64> = self.addresses.values().map(|g| g.left(now)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        let mut keep = ADDRESSES_MAX / 2;
        self.addresses.retain(|_, guesses| {
            let kept = guesses.left(now) > median || (guesses.left(now) == median && keep > 0);
            keep = keep.saturating_sub(usize::from(kept));
            kept
        });
    }
}

/// Returns the network that counts as one client: an IPv4 address or an IPv6 prefix.
fn network(client: IpAddr) -> IpAddr {
    match client.to_canonical() {
        IpAddr::V4(address) => address.into(),
        IpAddr::V6(address) => {
            let mask = u128::MAX << (128 - IPV6_PREFIX_BITS);
            Ipv6Addr::from_bits(address.to_bits() & mask).into()
        }
    }
}
