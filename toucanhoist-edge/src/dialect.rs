/*!
Names that callers, targets and the platform use on the wire.

The product speaks the names of [`Dialect::default`]. A platform with names of its own brings another
value; no code outside of the platform's folder needs to know them.
*/

use http::HeaderName;

/// Names of headers, paths and fields.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header with the identifier of a caller's request.
    pub request_id: HeaderName,
    /// Header with the milliseconds for which the sender waits.
    pub remaining_ms: HeaderName,
    /// Header with the name of the target that shall run the request.
    pub expected_target: HeaderName,
    /// Header with the client account, towards targets.
    pub account: HeaderName,
    /// Cookie that names the object of a request.
    pub object_cookie: Box<str>,
    /// Header of an answer which says that the target did not run the request.
    pub not_run: HeaderName,
    /// Header with a target's load: running, waiting, slots.
    pub load: HeaderName,
    /// Headers that only a target may set on an answer.
    pub target_only: Box<[HeaderName]>,
    /// Whether `Retry-After` may hold fractions of a second.
    pub fractional_retry_after: bool,
    /// Path of the readiness check.
    pub readiness_path: Box<str>,
    /// Names of the directory.
    pub directory: Directory,
}

/// Names of the directory that tells callers which hosts to use.
#[derive(Clone, Debug)]
pub struct Directory {
    /// Path.
    pub path: Box<str>,
    /// Parameter with the caller's region.
    pub region: Box<str>,
    /// Parameter with the caller's data centre.
    pub data_centre: Box<str>,
    /// Field with the addresses.
    pub addresses: Box<str>,
    /// Field with the seconds for which the answer holds.
    pub ttl_s: Box<str>,
}

impl Default for Dialect {
    fn default() -> Dialect {
        Dialect {
            request_id: HeaderName::from_static("toucanhoist-request-id"),
            remaining_ms: HeaderName::from_static("toucanhoist-remaining-ms"),
            expected_target: HeaderName::from_static("toucanhoist-target"),
            account: HeaderName::from_static("toucanhoist-account"),
            object_cookie: "toucanhoist-object".into(),
            not_run: HeaderName::from_static("toucanhoist-not-run"),
            load: HeaderName::from_static("toucanhoist-load"),
            target_only: Box::default(),
            fractional_retry_after: false,
            readiness_path: "/ready".into(),
            directory: Directory {
                path: "/hosts".into(),
                region: "region".into(),
                data_centre: "data_centre".into(),
                addresses: "addresses".into(),
                ttl_s: "ttl_s".into(),
            },
        }
    }
}
