//! Rate limit on wrong keys from one client address.

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

/// Counts wrong keys by client address, in bounded memory.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    addresses: HashMap<IpAddr, Guesses>,
}

/// Leaky bucket of wrong keys.
#[derive(Clone, Copy, Debug)]
struct Guesses {
    count: f64,
    updated: Time,
}

impl Guesses {
    fn level(self, now: Time) -> f64 {
        (self.count - now.since(self.updated).as_secs_f64() * GUESSES_PER_S).max(0.0)
    }
}

impl Limiter {
    /// Checks whether an address may try another key.
    ///
    /// # Errors
    ///
    /// The time until the address may try again.
    pub fn check(&self, now: Time, client: IpAddr) -> Result<(), Duration> {
        let level = self.addresses.get(&network(client)).map_or(0.0, |guesses| guesses.level(now));
        if level <= GUESSES_BURST - 1.0 {
            return Ok(());
        }
        Err(Duration::from_secs_f64((level - GUESSES_BURST + 1.0) / GUESSES_PER_S))
    }

    /// Records a wrong key from an address.
    pub fn record_failure(&mut self, now: Time, client: IpAddr) {
        if self.addresses.len() >= ADDRESSES_MAX {
            self.evict(now);
        }
        let guesses =
            self.addresses.entry(network(client)).or_insert(Guesses { count: 0.0, updated: now });
        *guesses = Guesses { count: guesses.level(now) + 1.0, updated: now };
    }

    /// Returns the number of addresses in memory.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Whether no address is in memory.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Evicts addresses whose bucket has drained or, if there are none, the half with the fewest
    /// recent wrong keys.
    fn evict(&mut self, now: Time) {
        self.addresses.retain(|_, guesses| guesses.level(now) > 0.0);
        if self.addresses.len() < ADDRESSES_MAX {
            return;
        }
        let mut counts: Vec<f64> = self.addresses.values().map(|g| g.level(now)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        let mut places_left = ADDRESSES_MAX / 2;
        self.addresses.retain(|_, guesses| {
            let stays =
                guesses.level(now) > median || (guesses.level(now) == median && places_left > 0);
            places_left = places_left.saturating_sub(usize::from(stays));
            stays
        });
    }
}

/// Returns the network that counts as one client: an IPv4 address, or the prefix of an IPv6
/// address.
fn network(client: IpAddr) -> IpAddr {
    match client.to_canonical() {
        IpAddr::V4(address) => address.into(),
        IpAddr::V6(address) => {
            let mask = u128::MAX << (128 - IPV6_PREFIX_BITS);
            Ipv6Addr::from_bits(address.to_bits() & mask).into()
        }
    }
}
