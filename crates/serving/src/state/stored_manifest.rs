//! Compressed manifest, as stored in the log.
//!
//! The content is byte for byte what the operator sent. It is compressed because a manifest of
//! thousands of routes goes to every instance of the other region over one narrow link, at each
//! change.

use std::io::{
    self,
    Read as _,
    Write as _, //
};

use flate2::{
    Compression,
    read::DeflateDecoder,
    write::DeflateEncoder, //
};
use yuccaseam_base::record;

/// A manifest as sent by its operator, compressed.
#[record]
pub struct StoredManifest {
    /// Version of the manifest.
    pub version: u64,
    packed: Vec<u8>,
}

impl StoredManifest {
    /// Compresses the bytes of a manifest.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail.
    pub fn pack(version: u64, body: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder
            .write_all(body)
            .expect("writing to memory does not fail");
        let packed = encoder.finish().expect("writing to memory does not fail");
        Self { version, packed }
    }

    /// Decompresses the bytes of the manifest.
    ///
    /// # Errors
    ///
    /// Fails if the data was not compressed by [`StoredManifest::pack`].
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        DeflateDecoder::new(&self.packed[..]).read_to_end(&mut body)?;
        Ok(body)
    }

    /// Compressed size in bytes, in the log and on the network.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
