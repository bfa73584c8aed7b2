/*!
Keys of client accounts.

Only the digests of keys are stored. A [`Ring`] maps digests to accounts; keys can be granted and
withdrawn while requests are served. [`Freshness`] bounds how old a host's knowledge of withdrawn
keys may be, and a [`Limiter`] bounds how fast a client can try wrong keys.
*/

use std::{collections::HashMap, fmt, str::FromStr};

use {
    serde_with::{DeserializeFromStr, SerializeDisplay},
    sha2::{Digest as _, Sha256},
    subtle::ConstantTimeEq,
};

use crate::{Error, id};

mod freshness;
mod guess;

pub use self::{
    freshness::{Freshness, Report, Rule},
    guess::Limiter,
};

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key or token.
#[derive(Clone, Copy, DeserializeFromStr, Eq, Hash, PartialEq, SerializeDisplay)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Returns the digest of a secret.
    pub fn of(secret: &[u8]) -> Digest {
        Digest(Sha256::digest(secret).into())
    }

    /// Returns the digest's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Digest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = Error;

    fn try_from(bytes: &[u8]) -> Result<Digest, Error> {
        let error = |_| Error::unit("", "a SHA-256 digest of 32 bytes");
        bytes.try_into().map(Digest).map_err(error)
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Digest, Error> {
        let error = || Error::unit(text, "a SHA-256 digest of 64 hexadecimal digits");
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| error())?;
        }
        Ok(Digest(digest))
    }
}

/// Key ring: the digests of the valid keys with their accounts.
///
/// The map is keyed by digest, so the timing of a look-up can reveal at most a digest, from which
/// the key cannot be computed. The match itself takes constant time.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    accounts: HashMap<Digest, id::Account>,
}

impl Ring {
    /// Grants a key.
    pub fn grant(&mut self, digest: Digest, account: id::Account) {
        self.accounts.insert(digest, account);
    }

    /// Withdraws a key.
    pub fn withdraw(&mut self, digest: &Digest) {
        self.accounts.remove(digest);
    }

    /// Returns the account of a key's digest.
    pub fn account(&self, digest: &Digest) -> Option<&id::Account> {
        let (stored, account) = self.accounts.get_key_value(digest)?;
        stored.matches(digest).then_some(account)
    }
}
