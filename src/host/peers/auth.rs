//! Authentication between entry hosts by the fleet's secrets.
//!
//! The first secret in the settings is sent, and all of them are accepted. To rotate the secret,
//! add the new one after the old one on all hosts, then put it first, then remove the old one.

use std::sync::Arc;

use {
    subtle::ConstantTimeEq,
    tonic::{Request, Status, metadata::MetadataMap},
};

use super::incoming::Peer;
use crate::host::Context;

/// Metadata that carries the secret.
pub(super) const SECRET: &str = "toucanhoist-fleet-secret";

/// Returns a check of the secret of each request, before anything of its messages is read. The connection of a host
/// that has shown it is not closed for others.
pub(super) fn interceptor(
    context: &Context,
) -> impl FnMut(Request<()>) -> Result<Request<()>, Status> + Clone + use<> {
    let settings = Arc::clone(&context.settings);
    move |request| {
        if !is_valid(&settings.fleet_secrets, request.metadata()) {
            metrics::counter!("toucanhoist_peers_refused_total").increment(1);
            return Err(Status::unauthenticated("the fleet secret is wrong"));
        }
        match request.extensions().get::<Peer>() {
            Some(peer) if !peer.keep() => {
                Err(Status::unavailable("the connection is being closed"))
            }
            _ => Ok(request),
        }
    }
}

fn is_valid(secrets: &[Box<str>], metadata: &MetadataMap) -> bool {
    let sent = metadata.get(SECRET).map_or(&[][..], |value| value.as_bytes());
    // All secrets are compared, so that the time does not reveal which one matched.
    let matches = secrets.iter().map(|secret| secret.as_bytes().ct_eq(sent));
    matches.fold(false, |any, matched| any | bool::from(matched))
}
