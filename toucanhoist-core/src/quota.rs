/*!
Rates and bursts of client accounts over the whole fleet.

Every entry host holds a share of an account's rate and burst. The shares are recorded in a
[`Ledger`], which the platform stores; their sums never exceed the account's limits. A [`Bucket`]
refills at the host's share of the rate and holds at most its share of the burst, so that the tokens
of the whole fleet never exceed the burst and never grow faster than the rate. A host that runs out
of tokens asks other hosts for some. The giver takes them out of its bucket, and reserves their
space in its share of the burst while they are in transit, before the receiver can spend them.

A share may be used only under a [`Lease`], which the host checks by its own clock at the moment of
admission. A [`Manager`] combines ledger, lease and buckets for one host.
*/

mod account;
mod bucket;
mod holders;
mod lease;
mod ledger;
mod manager;

pub use self::{
    account::{Account, Decision, Peer, Verdict},
    bucket::Bucket,
    holders::holders,
    lease::{Lease, Source},
    ledger::{Amount, Entry, Grant, Holder, Ledger, Limit},
    manager::{Action, Manager, Plan, Transfer},
};

/// Largest error of a host's clock rate, as a fraction of the true rate.
pub const CLOCK_ERROR_MAX: f64 = 500e-6;
