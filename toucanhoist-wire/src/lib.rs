/*!
Messages between entry hosts.

The protocols are in `proto/`; the code under `generated` is made from them by
`cargo run -p generate` and committed, so that a build needs no generator. This crate adds the
conversions between messages and the core's types.
*/

mod convert;
mod error;
mod member;

pub use crate::error::{Error, ErrorKind};

/// How changes of the configuration spread.
pub mod configuration {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.configuration.rs");
}

/// Failure detection between entry hosts.
pub mod membership {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.membership.rs");
}

/// A caller's request, handed from one entry host to another.
pub mod forward {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.forward.rs");
}

/// Tokens and keys of client accounts.
pub mod quota {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.quota.rs");
}

/// Free room of entry hosts, told to each other.
pub mod room {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.room.rs");
}

/// Datagrams between entry hosts that send straight to targets.
pub mod steering {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.steering.rs");
}
