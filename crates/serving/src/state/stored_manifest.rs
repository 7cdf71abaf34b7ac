//! A manifest as the log keeps it.
//!
//! Its bytes are those that its operator sent, compressed: a manifest of thousands of routes goes to every
//! instance of the other region over one narrow link, at each change.

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

/// A manifest as its operator sent it.
#[record]
pub struct StoredManifest {
    /// Its version.
    pub version: u64,
    packed: Vec<u8>,
}

impl StoredManifest {
    /// Packs the bytes of a manifest.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail.
    pub fn pack(version: u64, body: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(body).expect("memory takes every byte");
        let packed = encoder.finish().expect("memory takes every byte");
        Self { version, packed }
    }

    /// The bytes that were packed.
    ///
    /// # Errors
    ///
    /// Fails if they were not packed by [`StoredManifest::pack`].
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        DeflateDecoder::new(&self.packed[..]).read_to_end(&mut body)?;
        Ok(body)
    }

    /// How many bytes it takes in the log and on its way to others.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
