//! What was handed to the disk and what the disk has synced.

use std::collections::VecDeque;

use crate::{
    Entry,
    HardState,
    Index,
    Persist,
    SyncSeq, //
};

/// The last entry of one write.
#[derive(Debug)]
struct Tail {
    seq: SyncSeq,
    last: Index,
}

/// Collects the writes of one step and remembers which are synced.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    unsaved: Persist,
    last: SyncSeq,
    synced: SyncSeq,
    /// The write with the latest hard state.
    hard: SyncSeq,
    tails: VecDeque<Tail>,
}

impl Writer {
    /// The write that makes everything collected so far durable.
    pub(crate) fn covering_seq(&self) -> SyncSeq {
        if self.unsaved.is_empty() {
            return self.last;
        }
        SyncSeq(self.last.0 + 1)
    }

    pub(crate) fn save_hard(&mut self, hard: HardState) {
        self.unsaved.hard = Some(hard);
        self.hard = self.covering_seq();
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        self.unsaved.entries.push(entry);
    }

    pub(crate) fn truncate(&mut self, from: Index) {
        self.unsaved.entries.retain(|entry| entry.index < from);
        let earlier = self.unsaved.truncate.unwrap_or(from);
        self.unsaved.truncate = Some(earlier.min(from));
        for tail in &mut self.tails {
            tail.last = tail.last.min(from.prev());
        }
    }

    /// Forgets the entries being written: a snapshot replaced the log.
    pub(crate) fn reset(&mut self) {
        self.tails.clear();
    }

    /// The write that this step collected.
    pub(crate) fn flush(&mut self) -> Option<Persist> {
        if self.unsaved.is_empty() {
            return None;
        }
        self.last = self.covering_seq();
        let mut persist = std::mem::take(&mut self.unsaved);
        persist.seq = self.last;
        if let Some(entry) = persist.entries.last() {
            self.tails.push_back(Tail {
                seq: self.last,
                last: entry.index,
            });
        }
        Some(persist)
    }

    /// Notes a sync and returns the last entry that it covered, if any.
    pub(crate) fn on_synced(&mut self, seq: SyncSeq) -> Option<Index> {
        self.synced = self.synced.max(seq);
        let mut covered = None;
        while self.tails.front().is_some_and(|tail| tail.seq <= seq) {
            let tail = self.tails.pop_front()?;
            covered = covered.max(Some(tail.last));
        }
        covered
    }

    pub(crate) fn is_synced(&self, seq: SyncSeq) -> bool {
        seq <= self.synced
    }

    /// Whether the latest hard state is synced.
    pub(crate) fn is_hard_synced(&self) -> bool {
        self.is_synced(self.hard)
    }
}
