/*!
Rates and bursts of client accounts over the whole fleet.

Every entry host holds a share of an account's rate and burst. The shares are written down in a
[`Ledger`], which the platform keeps; their sums never exceed what the account was agreed. A
[`Bucket`] fills at the host's share of the rate and holds at most its share of the burst, so that
the tokens of the whole fleet never exceed the burst and never grow faster than the rate. A host
that runs dry asks others for tokens: the giver takes them out of its bucket, and keeps their place
in its share of the burst, before the receiver can spend them.

A share may be used only under a [`Lease`], which the host checks by its own clock at the moment of
admission. A [`Manager`] joins these for one host.
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

/// Largest error of a host's clock rate, as a part of the true rate.
pub const CLOCK_ERROR_MAX: f64 = 500e-6;
