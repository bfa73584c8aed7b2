//! Compressed JSON, for what hosts tell each other of the registry.
//!
//! Entries repeat the same names many times, so that they shrink to a tenth; a configuration as plain JSON
//! takes a host with a slow link a second to tell the others of its region.

use std::io::{self, Read as _, Write as _};

use {
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    serde::{Serialize, de::DeserializeOwned},
};

/// Largest document that is unpacked, in bytes; a hundred times what a large fleet's registry takes
/// would be a fault.
const UNPACKED_BYTES: u64 = 64 << 20;

/// Packs a value.
///
/// # Errors
///
/// The value has no form in JSON.
pub fn pack(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
    packed.write_all(&serde_json::to_vec(value)?)?;
    packed.finish()
}

/// Unpacks a value.
///
/// # Errors
///
/// The bytes are no packed value of the type, or too large.
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> io::Result<T> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed).take(UNPACKED_BYTES).read_to_end(&mut plain)?;
    serde_json::from_slice(&plain).map_err(Into::into)
}
