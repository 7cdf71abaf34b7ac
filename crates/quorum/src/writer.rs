//! Writes issued to the disk and their sync state.

use std::collections::VecDeque;

use crate::{
    Entry,
    HardState,
    Index,
    Persist,
    SyncSeq, //
};

/// Unsynced write that appended entries.
#[derive(Debug)]
struct UnsyncedWrite {
    seq: SyncSeq,
    last: Index,
}

/// Batches the writes of a step and tracks which writes are synced.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    batch: Persist,
    last: SyncSeq,
    synced: SyncSeq,
    /// Write that contains the latest hard state.
    hard_state_seq: SyncSeq,
    unsynced_writes: VecDeque<UnsyncedWrite>,
}

impl Writer {
    /// Sequence number of the write whose sync makes everything written so far durable.
    pub(crate) fn covering_seq(&self) -> SyncSeq {
        if self.batch.is_empty() {
            return self.last;
        }
        SyncSeq(self.last.0 + 1)
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.batch.hard_state = Some(hard_state);
        self.hard_state_seq = self.covering_seq();
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        self.batch.entries.push(entry);
    }

    pub(crate) fn truncate(&mut self, from: Index) {
        self.batch.entries.retain(|entry| entry.index < from);
        let earlier = self.batch.truncate.unwrap_or(from);
        self.batch.truncate = Some(earlier.min(from));
        for write in &mut self.unsynced_writes {
            write.last = write.last.min(from.prev());
        }
    }

    /// Stops tracking unsynced entries, after a snapshot has replaced the log.
    pub(crate) fn reset(&mut self) {
        self.unsynced_writes.clear();
    }

    /// Returns the write of this step, if there is anything to write.
    pub(crate) fn flush(&mut self) -> Option<Persist> {
        if self.batch.is_empty() {
            return None;
        }
        self.last = self.covering_seq();
        let mut persist = std::mem::take(&mut self.batch);
        persist.seq = self.last;
        if let Some(entry) = persist.entries.last() {
            self.unsynced_writes.push_back(UnsyncedWrite {
                seq: self.last,
                last: entry.index,
            });
        }
        Some(persist)
    }

    /// Records a sync and returns the last entry that it covered, if any.
    pub(crate) fn on_synced(&mut self, seq: SyncSeq) -> Option<Index> {
        self.synced = self.synced.max(seq);
        let mut covered = None;
        while self
            .unsynced_writes
            .front()
            .is_some_and(|write| write.seq <= seq)
        {
            let write = self.unsynced_writes.pop_front()?;
            covered = covered.max(Some(write.last));
        }
        covered
    }

    pub(crate) fn is_synced(&self, seq: SyncSeq) -> bool {
        seq <= self.synced
    }

    pub(crate) fn is_hard_state_synced(&self) -> bool {
        self.is_synced(self.hard_state_seq)
    }
}
