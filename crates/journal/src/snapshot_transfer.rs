//! Chunked transfer of snapshots.

use crate::{
    error::JournalError,
    snapshot::{
        SealedSnapshot,
        SnapshotMeta,
        SnapshotWriter, //
    }, //
};

/// Receiver of a snapshot that another replica sends in chunks.
///
/// It outlives the connection: after a disconnect, the sender resumes at
/// [`SnapshotReceiver::next_offset`]. Duplicate and overlapping chunks are harmless. A restart of
/// this process discards the received data.
#[derive(Debug)]
pub struct SnapshotReceiver {
    meta: SnapshotMeta,
    writer: SnapshotWriter,
}

impl SnapshotReceiver {
    pub(crate) fn new(meta: SnapshotMeta, writer: SnapshotWriter) -> Self {
        Self { meta, writer }
    }

    /// Metadata of the snapshot being received.
    pub fn meta(&self) -> SnapshotMeta {
        self.meta
    }

    /// Offset of the first missing byte.
    pub fn next_offset(&self) -> u64 {
        self.writer.len()
    }

    /// Whether all bytes have been received.
    pub fn is_complete(&self) -> bool {
        self.next_offset() == self.meta.len
    }

    /// Writes a chunk. Skips bytes that were already received, and ignores a chunk that would leave
    /// a gap. Returns the next expected offset.
    ///
    /// # Errors
    ///
    /// [`JournalError::WrongSnapshot`] if the chunk extends beyond the end of the data.
    pub fn write(&mut self, offset: u64, chunk: &[u8]) -> Result<u64, JournalError> {
        let next = self.next_offset();
        if offset.saturating_add(chunk.len() as u64) > self.meta.len {
            return Err(JournalError::WrongSnapshot);
        }
        let Some(received) = next.checked_sub(offset) else {
            return Ok(next);
        };
        if let Some(new_bytes) = chunk.get(received as usize..) {
            self.writer.write(new_bytes)?;
        }
        Ok(self.next_offset())
    }

    /// Seals and syncs the complete snapshot.
    ///
    /// # Errors
    ///
    /// [`JournalError::WrongSnapshot`] if bytes are missing or do not match the expected metadata.
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
