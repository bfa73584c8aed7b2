//! Statuses of answers.

use http::StatusCode;

/// Whether a status ends an exchange (RFC 9110, section 15). Interim statuses do not, nor do numbers beyond the
/// classes, which the HTTP library passes on.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
