//! Trailer and verification of snapshot files.

use std::{
    io,
    path::Path, //
};

use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    error::JournalError,
    frame::{
        u32_at,
        u64_at, //
    },
    log::Position,
    snapshot::SnapshotMeta,
    storage::{
        Storage,
        StorageFile, //
    }, //
};

const MAGIC: [u8; 8] = *b"yseamsn1";

/// Length of the trailer: magic, index, term, length, SHA-256 and the CRC-32 of all these.
const TRAILER_BYTES: usize = 68;

/// Maximum size of a read when a snapshot is verified.
const READ_BYTES: usize = 256 << 10;

/// Encodes the trailer of a snapshot.
pub(crate) fn encode_trailer(meta: &SnapshotMeta) -> [u8; TRAILER_BYTES] {
    let mut trailer = [0; TRAILER_BYTES];
    trailer[..8].copy_from_slice(&MAGIC);
    trailer[8..16].copy_from_slice(&meta.position.index.to_le_bytes());
    trailer[16..24].copy_from_slice(&meta.position.term.to_le_bytes());
    trailer[24..32].copy_from_slice(&meta.len.to_le_bytes());
    trailer[32..64].copy_from_slice(&meta.digest);
    let crc = crc32fast::hash(&trailer[..64]);
    trailer[64..].copy_from_slice(&crc.to_le_bytes());
    trailer
}

fn decode_trailer(trailer: &[u8; TRAILER_BYTES]) -> Option<SnapshotMeta> {
    let valid = trailer[..8] == MAGIC && u32_at(trailer, 64) == crc32fast::hash(&trailer[..64]);
    valid.then(|| SnapshotMeta {
        position: Position {
            index: u64_at(trailer, 8),
            term: u64_at(trailer, 16),
        },
        len: u64_at(trailer, 24),
        digest: trailer[32..64].try_into().expect("32 bytes"),
    })
}

/// Reads a complete snapshot file. Returns its metadata if it is valid for `position`.
pub(crate) fn verify(
    storage: &dyn Storage,
    path: &Path,
    position: Position,
) -> Result<Option<SnapshotMeta>, JournalError> {
    let io = |e| JournalError::io(path, e);
    let file = storage.open(path).map_err(io)?;
    let size = file.size().map_err(io)?;
    let Some(len) = size.checked_sub(TRAILER_BYTES as u64) else {
        return Ok(None);
    };
    let mut trailer = [0; TRAILER_BYTES];
    file.read_at(&mut trailer, len).map_err(io)?;
    let Some(meta) = decode_trailer(&trailer) else {
        return Ok(None);
    };
    let digest = digest_of(&*file, len).map_err(io)?;
    let valid = meta.position == position && meta.len == len && meta.digest == digest;
    Ok(valid.then_some(meta))
}

fn digest_of(file: &dyn StorageFile, len: u64) -> io::Result<[u8; 32]> {
    let mut hasher = Sha256::new();
    let mut buf = vec![0; READ_BYTES];
    let mut offset = 0;
    while offset < len {
        let step = (len - offset).min(READ_BYTES as u64) as usize;
        file.read_at(&mut buf[..step], offset)?;
        hasher.update(&buf[..step]);
        offset += step as u64;
    }
    Ok(hasher.finalize().into())
}
