//! Headers of requests to targets and of their answers.

use {
    http::{HeaderMap, HeaderName, HeaderValue, header},
    toucanhoist_core::id,
    toucanhoist_edge::headers::strip_hop_by_hop,
};

use super::secret::Secrets;

pub(super) const VERDICT: HeaderName = HeaderName::from_static("toucanhoist-verdict");
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("toucanhoist-request-id");
const ACCOUNT: HeaderName = HeaderName::from_static("toucanhoist-account");
const OWN_PREFIX: &str = "toucanhoist-";
const VIA: HeaderValue = HeaderValue::from_static("1.1 toucanhoist");

/// Returns the bearer token of a request; `None` if there is none or more than one.
pub(super) fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"bearer ";
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() || value.len() <= SCHEME.len() {
        return None;
    }
    let (scheme, key) = value.split_at(SCHEME.len());
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}

pub(super) fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Headers for a target, and the number that were left out because they contain a key.
pub(super) struct Forwarded {
    pub(super) headers: HeaderMap,
    pub(super) withheld: usize,
}

/// Returns the headers for a target: without hop-by-hop headers, without any header that contains a
/// key of the caller, and with the account, which a caller cannot set.
pub(super) fn target_headers(
    headers: &HeaderMap,
    secrets: &Secrets,
    request: id::Request,
    account: Option<&id::Account>,
) -> Forwarded {
    let mut forwarded = headers.clone();
    strip_hop_by_hop(&mut forwarded);
    forwarded.remove(header::AUTHORIZATION);
    // The entry host answers `Expect: 100-continue` itself.
    forwarded.remove(header::EXPECT);
    strip_own(&mut forwarded);
    let revealing: Vec<HeaderName> = forwarded
        .iter()
        .filter(|(name, value)| {
            secrets.occur_in(name.as_str().as_bytes()) || secrets.occur_in(value.as_bytes())
        })
        .map(|(name, _)| name.clone())
        .collect();
    for name in &revealing {
        forwarded.remove(name);
    }
    if let Some(Ok(account)) = account.map(|account| account.as_str().parse()) {
        forwarded.insert(ACCOUNT, account);
    }
    if let Ok(request) = HeaderValue::try_from(request.to_string()) {
        forwarded.insert(REQUEST_ID, request);
    }
    forwarded.append(header::VIA, VIA);
    Forwarded { headers: forwarded, withheld: revealing.len() }
}

/// Removes the headers of a target's answer that are not passed on to the caller.
pub(super) fn answer_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_own(headers);
}

/// Removes the headers that only this system may set, also when spelled with another character in
/// place of `-`: some servers treat `_` like `-`.
fn strip_own(headers: &mut HeaderMap) {
    let is_own = |name: &HeaderName| {
        let name = name.as_str();
        name.len() >= OWN_PREFIX.len()
            && name
                .bytes()
                .zip(OWN_PREFIX.bytes())
                .all(|(found, own)| found == own || (own == b'-' && !found.is_ascii_alphanumeric()))
    };
    let own: Vec<HeaderName> = headers.keys().filter(|name| is_own(name)).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}
