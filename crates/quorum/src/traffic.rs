//! Amount of log data sent to a follower, for log lines.

use std::fmt;

use crate::{
    Append,
    Chunk,
    Index,
    SnapshotId, //
};

/// Bytes sent to a follower, and how many of them had been sent before.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    entry_bytes: u64,
    repeated_entry_bytes: u64,
    chunk_bytes: u64,
    repeated_chunk_bytes: u64,
    /// First and last entry sent without a gap, from the lowest entry sent on.
    sent: Option<(Index, Index)>,
    /// Snapshot of the last chunk sent, and its end.
    chunk_end: Option<(SnapshotId, u64)>,
}

impl Traffic {
    pub(crate) fn on_append(&mut self, append: &Append) {
        for entry in &append.entries {
            let size = entry.payload.size() as u64;
            self.entry_bytes += size;
            let index = entry.index;
            match &mut self.sent {
                Some((first, last)) if index >= *first => {
                    if index <= *last {
                        self.repeated_entry_bytes += size;
                    } else {
                        *last = index;
                    }
                }
                sent => *sent = Some((index, index)),
            }
        }
    }

    pub(crate) fn on_chunk(&mut self, chunk: &Chunk) {
        let size = chunk.data.len() as u64;
        self.chunk_bytes += size;
        let sent_end = match self.chunk_end {
            Some((id, end)) if id == chunk.id => end,
            _ => 0,
        };
        if chunk.offset < sent_end {
            self.repeated_chunk_bytes += size;
        }
        self.chunk_end = Some((chunk.id, sent_end.max(chunk.offset + size)));
    }
}

impl fmt::Display for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            entry_bytes,
            repeated_entry_bytes,
            chunk_bytes,
            repeated_chunk_bytes,
            ..
        } = self;
        write!(
            f,
            "entries {entry_bytes} B ({repeated_entry_bytes} B again), \
             chunks {chunk_bytes} B ({repeated_chunk_bytes} B again)"
        )
    }
}
