//! Receiving a snapshot in chunks.

use crate::{
    error::JournalError,
    snapshot::{
        SealedSnapshot,
        SnapshotMeta,
        SnapshotWriter, //
    }, //
};

/// A snapshot that arrives from another replica in chunks.
///
/// It outlives the connection: after a broken one, the sender goes on from
/// [`SnapshotReceiver::next_offset`]. Chunks that arrive twice or overlap are harmless. A restart
/// of this process discards what was received.
#[derive(Debug)]
pub struct SnapshotReceiver {
    meta: SnapshotMeta,
    writer: SnapshotWriter,
}

impl SnapshotReceiver {
    pub(crate) fn new(meta: SnapshotMeta, writer: SnapshotWriter) -> Self {
        Self { meta, writer }
    }

    /// The snapshot that is received.
    pub fn meta(&self) -> SnapshotMeta {
        self.meta
    }

    /// The offset of the first byte that is still missing.
    pub fn next_offset(&self) -> u64 {
        self.writer.len()
    }

    /// Whether all bytes are there.
    pub fn is_complete(&self) -> bool {
        self.next_offset() == self.meta.len
    }

    /// Takes in a chunk. What was received before is skipped, and a chunk that would leave a gap
    /// is ignored. Returns the offset that is wanted next.
    ///
    /// # Errors
    ///
    /// [`JournalError::WrongSnapshot`] if the chunk goes beyond the end of the data.
    pub fn write(&mut self, offset: u64, chunk: &[u8]) -> Result<u64, JournalError> {
        let next = self.next_offset();
        if offset.saturating_add(chunk.len() as u64) > self.meta.len {
            return Err(JournalError::WrongSnapshot);
        }
        let Some(known) = next.checked_sub(offset) else {
            return Ok(next);
        };
        if let Some(fresh) = chunk.get(known as usize..) {
            self.writer.write(fresh)?;
        }
        Ok(self.next_offset())
    }

    /// Syncs the snapshot once it is complete.
    ///
    /// # Errors
    ///
    /// [`JournalError::WrongSnapshot`] if bytes are missing or are not those that were announced.
    pub fn seal(self) -> Result<SealedSnapshot, JournalError> {
        if !self.is_complete() {
            return Err(JournalError::WrongSnapshot);
        }
        let sealed = self.writer.seal()?;
        if sealed.meta() != self.meta {
            return Err(JournalError::WrongSnapshot);
        }
        Ok(sealed)
    }
}
