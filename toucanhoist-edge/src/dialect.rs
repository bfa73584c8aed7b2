/*!
Names of headers, paths and fields that callers, targets and the platform use on the wire.

[`Dialect::default`] holds the product's own names. A platform with other names supplies another value, so
that only the platform's crate contains them.
*/

use http::HeaderName;

/// Names of headers, paths and fields.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header with the identifier of a caller's request.
    pub request_id: HeaderName,
    /// Header with the time in milliseconds for which the sender still waits.
    pub remaining_ms: HeaderName,
    /// Header with the name of the target that is to run the request.
    pub expected_target: HeaderName,
    /// Header with the client account, in requests to targets.
    pub account: HeaderName,
    /// Cookie that names the object of a request.
    pub object_cookie: Box<str>,
    /// Header of answers of a target that did not run the request.
    pub not_run: HeaderName,
    /// Header with a target's load: requests that run, requests that wait, and slots.
    pub load: HeaderName,
    /// Header with the requests a second that a target takes from all hosts together, while it announces a
    /// limit.
    pub limit: HeaderName,
    /// Header of all answers of a target that is leaving, with the value `1`.
    pub leaving: HeaderName,
    /// Headers that only a target may set; they are removed from requests.
    pub target_only: Box<[HeaderName]>,
    /// Whether `Retry-After` may hold fractions of a second.
    pub fractional_retry_after: bool,
    /// Path of the readiness check.
    pub readiness_path: Box<str>,
    /// Names that the directory uses.
    pub directory: Directory,
}

/// Names that the directory of entry hosts uses.
#[derive(Clone, Debug)]
pub struct Directory {
    /// Path of the directory.
    pub path: Box<str>,
    /// Query parameter with the caller's region.
    pub region: Box<str>,
    /// Query parameter with the caller's data centre.
    pub data_centre: Box<str>,
    /// Field of the answer with the addresses.
    pub addresses: Box<str>,
    /// Field of the answer with the seconds for which callers may cache it.
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
            limit: HeaderName::from_static("toucanhoist-limit"),
            leaving: HeaderName::from_static("toucanhoist-leaving"),
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
