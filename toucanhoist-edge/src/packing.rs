//! Compressed JSON, in which hosts exchange entries of the registry.
//!
//! Entries repeat the same names many times, so compression shrinks them to a tenth. A host with a slow link
//! needs a second to send a configuration as plain JSON to the other hosts of its region.

use std::io::{self, Read as _, Write as _};

use {
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    serde::{Serialize, de::DeserializeOwned},
};

/// Serialises and compresses a value.
///
/// # Errors
///
/// The value cannot be serialised as JSON.
pub fn pack(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
    packed.write_all(&serde_json::to_vec(value)?)?;
    packed.finish()
}

/// Decompresses and deserialises a value whose document has at most `bytes_max` bytes.
///
/// # Errors
///
/// The bytes are not a packed value of the type, or the document is too large.
pub fn unpack<T: DeserializeOwned>(packed: &[u8], bytes_max: u64) -> io::Result<T> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed).take(bytes_max).read_to_end(&mut plain)?;
    serde_json::from_slice(&plain).map_err(Into::into)
}
