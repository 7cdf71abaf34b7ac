//! Compressed manifest, as stored in the log.
//!
//! The content is byte for byte what the operator sent. It is compressed because a manifest of
//! thousands of routes goes to every instance of the other region over one narrow link, at each
//! change.

use std::io;

use yuccaseam_base::record;

use super::packed;

/// A manifest as sent by its operator, compressed.
#[record]
pub struct StoredManifest {
    /// Version of the manifest.
    pub version: u64,
    packed: Vec<u8>,
}

impl StoredManifest {
    /// Compresses the bytes of a manifest.
    pub fn pack(version: u64, body: &[u8]) -> Self {
        Self {
            version,
            packed: packed::pack(body),
        }
    }

    /// Decompresses the bytes of the manifest.
    ///
    /// # Errors
    ///
    /// Fails if the data was not compressed by [`StoredManifest::pack`].
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        packed::unpack(&self.packed)
    }

    /// Compressed size in bytes, in the log and on the network.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
