//! Framing of the records in a segment.
//!
//! A frame consists of a header and a body. Both checksums are seeded with the segment's salt and
//! the frame's offset, so that a frame is valid only where it was written. A copy inside a payload,
//! or in a block that the file system reused, is not mistaken for a record.
//!
//! | bytes | content (little endian)                                         |
//! |-------|-----------------------------------------------------------------|
//! | 4     | magic                                                           |
//! | 4     | length of the body                                              |
//! | 8     | synced length of the segment when the frame was written         |
//! | 4     | CRC-32 of the body                                              |
//! | 4     | CRC-32 of the preceding 20 bytes                                |
//!
//! The synced length distinguishes a torn tail from corruption: if a later valid frame records an
//! invalid one as synced, synced bytes have changed.

use std::io;

use crc32fast::Hasher;
use yuccaseam_base::value;

use crate::storage::StorageFile;

/// Length of a frame header.
pub(crate) const HEADER_BYTES: usize = 24;

/// Maximum length of a body.
pub(crate) const MAX_BODY_BYTES: usize = 256 << 20;

const MAGIC: [u8; 4] = [0x9e, b'Y', b'S', 0xf3];

/// A decoded frame header.
#[value]
pub(crate) struct Header {
    /// Length of the body in bytes.
    pub(crate) len: usize,
    /// Synced length of the segment in bytes when the frame was written.
    pub(crate) synced: u64,
    body_crc: u32,
}

impl Header {
    /// Decodes the header at an offset of a segment. Returns `None` if it is not valid there.
    pub(crate) fn decode(bytes: &[u8], salt: u64, offset: u64) -> Option<Self> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        if bytes[..4] != MAGIC {
            return None;
        }
        if checksum(salt, offset, &bytes[..20]) != u32_at(bytes, 20) {
            return None;
        }
        Some(Self {
            len: u32_at(bytes, 4) as usize,
            synced: u64_at(bytes, 8),
            body_crc: u32_at(bytes, 16),
        })
    }

    /// Whether length and checksum of `body` match the header.
    pub(crate) fn matches(&self, body: &[u8], salt: u64, offset: u64) -> bool {
        body.len() == self.len && checksum(salt, offset, body) == self.body_crc
    }
}

/// Appends a frame to `buf`. `offset` is the frame's offset in the segment, and `fill` appends the
/// body.
pub(crate) fn encode<F>(buf: &mut Vec<u8>, salt: u64, offset: u64, synced: u64, fill: F)
where
    F: FnOnce(&mut Vec<u8>),
{
    let start = buf.len();
    buf.resize(start + HEADER_BYTES, 0);
    fill(buf);
    let (header, body) = buf[start..].split_at_mut(HEADER_BYTES);
    let len = u32::try_from(body.len()).expect("the caller bounds the length of a body");
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&len.to_le_bytes());
    header[8..16].copy_from_slice(&synced.to_le_bytes());
    header[16..20].copy_from_slice(&checksum(salt, offset, body).to_le_bytes());
    let crc = checksum(salt, offset, &header[..20]);
    header[20..].copy_from_slice(&crc.to_le_bytes());
}

/// Whether `bytes`, which start at `offset` of the segment, contain a valid header that records the
/// segment as synced beyond `beyond`.
pub(crate) fn proves_synced(bytes: &[u8], salt: u64, offset: u64, beyond: u64) -> bool {
    let candidates = magic_offsets(bytes);
    candidates.into_iter().any(|at| {
        let frame_offset = offset + at as u64;
        Header::decode(&bytes[at..], salt, frame_offset)
            .is_some_and(|header| header.synced > beyond)
    })
}

/// Offsets of all occurrences of the magic bytes.
fn magic_offsets(bytes: &[u8]) -> Vec<usize> {
    let windows = bytes.windows(MAGIC.len()).enumerate();
    windows
        .filter(|(_, window)| *window == MAGIC)
        .map(|(at, _)| at)
        .collect()
}

fn checksum(salt: u64, offset: u64, bytes: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

pub(crate) fn u32_at(bytes: &[u8], at: usize) -> u32 {
    let field = bytes[at..at + 4].try_into().expect("four bytes");
    u32::from_le_bytes(field)
}

pub(crate) fn u64_at(bytes: &[u8], at: usize) -> u64 {
    let field = bytes[at..at + 8].try_into().expect("eight bytes");
    u64::from_le_bytes(field)
}

/// Read buffer over part of a file, for sequential reads in few system calls.
pub(crate) struct Window<'a> {
    file: &'a dyn StorageFile,
    end: u64,
    step: usize,
    start: u64,
    buf: Vec<u8>,
}

impl<'a> Window<'a> {
    /// Creates a window over a file of `end` bytes that reads at least `step` bytes at a time.
    pub(crate) fn new(file: &'a dyn StorageFile, end: u64, step: usize) -> Self {
        Self {
            file,
            end,
            step,
            start: 0,
            buf: Vec::new(),
        }
    }

    /// Returns the bytes of a range, or `None` if the range exceeds the file.
    pub(crate) fn bytes(&mut self, offset: u64, len: usize) -> io::Result<Option<&[u8]>> {
        let Some(left) = self.end.checked_sub(offset) else {
            return Ok(None);
        };
        if (len as u64) > left {
            return Ok(None);
        }
        if !self.covers(offset, len) {
            let wanted = len.max(self.step) as u64;
            let fill = wanted.min(left) as usize;
            self.buf.resize(fill, 0);
            self.start = offset;
            self.file.read_at(&mut self.buf, offset)?;
        }
        let at = (offset - self.start) as usize;
        Ok(Some(&self.buf[at..at + len]))
    }

    fn covers(&self, offset: u64, len: usize) -> bool {
        let end = self.start + self.buf.len() as u64;
        offset >= self.start && offset + len as u64 <= end
    }
}
