//! Compression of what the state keeps for long.

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

/// Compresses bytes, quickly rather than well.
///
/// # Panics
///
/// Never: writing to memory does not fail.
pub(super) fn pack(data: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder
        .write_all(data)
        .expect("writing to memory does not fail");
    encoder.finish().expect("writing to memory does not fail")
}

/// Decompresses bytes.
///
/// # Errors
///
/// Fails if the data was not compressed by [`pack`].
pub(super) fn unpack(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut data = Vec::new();
    DeflateDecoder::new(packed).read_to_end(&mut data)?;
    Ok(data)
}
