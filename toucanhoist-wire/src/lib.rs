/*!
Messages between entry hosts.

The protocols are in `proto/`. `cargo run -p generate` generates the code under `generated` from
them, which is committed so that a build needs no generator. This crate adds the conversions
between messages and the core's types.
*/

mod convert;
mod error;
mod member;

pub use crate::error::{Error, ErrorKind};

/// Distribution of configuration changes.
pub mod configuration {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.configuration.rs");
}

/// Failure detection between entry hosts.
pub mod membership {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.membership.rs");
}

/// Forwarding of callers' requests between entry hosts.
pub mod forward {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.forward.rs");
}

/// Tokens and keys of client accounts.
pub mod quota {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.quota.rs");
}

/// Exchange of the free capacity of entry hosts.
pub mod room {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.room.rs");
}

/// Datagrams between entry hosts that send requests directly to targets.
pub mod steering {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/toucanhoist.steering.rs");
}
