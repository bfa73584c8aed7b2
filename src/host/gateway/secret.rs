//! Detection of callers' keys anywhere in a request.
//!
//! Callers should send their key as `Authorization: Bearer`. Some also send it in other headers or
//! in the query, encoded or more than once, and no copy of it may reach a target.

use std::borrow::Cow;

use {
    base64::{Engine, alphabet, engine},
    http::{HeaderMap, HeaderName, Uri, header},
};

const KEY_MIN_BYTES: usize = 16;
const KEY_MAX_BYTES: usize = 128;
/// Candidates that are checked for one request.
const CANDIDATES_MAX: usize = 64;
/// Shorter credentials would be found by chance in unrelated text.
const CREDENTIAL_MIN_BYTES: usize = 4;

const BASE64: engine::GeneralPurpose = engine::GeneralPurpose::new(
    &alphabet::STANDARD,
    engine::GeneralPurposeConfig::new()
        .with_decode_allow_trailing_bits(true)
        .with_decode_padding_mode(engine::DecodePaddingMode::Indifferent),
);

/// Keys that a request contains.
#[derive(Clone, Default)]
pub(super) struct Secrets(Vec<Box<[u8]>>);

impl Secrets {
    /// Returns the credentials in the `Authorization` and `Proxy-Authorization` headers, whether
    /// they are valid or not.
    pub(super) fn in_credentials(headers: &HeaderMap) -> Secrets {
        const CREDENTIALS: [HeaderName; 2] = [header::AUTHORIZATION, header::PROXY_AUTHORIZATION];
        let mut secrets = Secrets::default();
        for value in CREDENTIALS.iter().flat_map(|name| headers.get_all(name)) {
            let value = value.as_bytes().trim_ascii();
            let start = value.iter().position(|byte| *byte == b' ').map_or(0, |space| space + 1);
            let credential = value[start..].trim_ascii();
            secrets.add(credential);
            // A key may also be the user name or the password of `Basic` credentials.
            if let Some(decoded) = decoded(credential) {
                decoded.split(|byte| *byte == b':').for_each(|part| secrets.add(part));
            }
        }
        secrets
    }

    /// Adds a key.
    pub(super) fn add(&mut self, key: &[u8]) {
        if key.len() >= CREDENTIAL_MIN_BYTES {
            self.0.push(key.into());
        }
    }

    /// Whether `text` contains one of the keys, unencoded, percent-encoded or in Base64.
    pub(super) fn occur_in(&self, text: &[u8]) -> bool {
        self.0.iter().any(|key| occurs_in(key, text))
    }
}

fn occurs_in(key: &[u8], text: &[u8]) -> bool {
    if text.len() < key.len() {
        return false;
    }
    let unescaped = unescaped(text);
    contains(&unescaped, key)
        || tokens(&unescaped)
            .filter(|token| token.len() >= key.len())
            .filter_map(decoded)
            .any(|decoded| contains(&decoded, key))
}

fn contains(text: &[u8], key: &[u8]) -> bool {
    text.windows(key.len()).any(|part| part.eq_ignore_ascii_case(key))
}

/// Returns the parts of a request that could be keys, except for its `Authorization` headers.
pub(super) fn candidates(headers: &HeaderMap, uri: &Uri) -> Vec<Box<[u8]>> {
    let others = headers.iter().filter(|(name, _)| **name != header::AUTHORIZATION);
    let values = others.map(|(_, value)| value.as_bytes());
    let path_and_query = uri.path_and_query().map_or("", |path| path.as_str());
    let mut found = Vec::new();
    for text in values.chain([path_and_query.as_bytes()]) {
        let text = unescaped(text);
        for token in tokens(&text) {
            let plain = token.split(|byte| !is_key_byte(*byte)).map(<[u8]>::to_vec);
            let decoded = decoded(token).unwrap_or_default();
            let decoded = decoded.split(|byte| !is_key_byte(*byte)).map(<[u8]>::to_vec);
            let keys = plain.chain(decoded);
            found.extend(
                keys.filter(|key| (KEY_MIN_BYTES..=KEY_MAX_BYTES).contains(&key.len()))
                    .map(Vec::into_boxed_slice),
            );
        }
    }
    found.truncate(CANDIDATES_MAX);
    found
}

fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~')
}

/// Splits a text at bytes that occur neither in keys nor in their Base64 without padding. `/` is
/// such a byte: the Base64 of the bytes that keys consist of never contains it.
fn tokens(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split(|byte| !(is_key_byte(*byte) || *byte == b'+'))
        .filter(|token| token.len() >= CREDENTIAL_MIN_BYTES)
}

/// Decodes Base64 of the standard or the URL-safe alphabet, with or without padding.
fn decoded(token: &[u8]) -> Option<Vec<u8>> {
    let standard: Vec<u8> = token
        .iter()
        .map(|byte| match byte {
            b'-' => b'+',
            b'_' => b'/',
            byte => *byte,
        })
        .collect();
    BASE64.decode(standard).ok()
}

/// Decodes percent-encoding; bytes that are not encoded stay as they are.
pub(super) fn unescaped(text: &[u8]) -> Cow<'_, [u8]> {
    if !text.contains(&b'%') {
        return Cow::Borrowed(text);
    }
    let mut plain = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((byte, after)) = rest.split_first() {
        let escaped = (*byte == b'%').then(|| after.get(..2)).flatten().and_then(hex);
        plain.push(escaped.unwrap_or(*byte));
        rest = if escaped.is_some() { &after[2..] } else { after };
    }
    Cow::Owned(plain)
}

fn hex(digits: &[u8]) -> Option<u8> {
    u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}
