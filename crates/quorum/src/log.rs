//! In-memory tail of the log after the latest snapshot.

use std::collections::VecDeque;

use crate::{
    Entry,
    Index,
    LastEntry,
    Membership,
    Payload,
    Restored,
    Snapshot,
    Term, //
};

/// Membership in force from one entry on.
#[derive(Debug)]
struct Epoch {
    from: Index,
    membership: Membership,
}

/// Latest snapshot and the entries after it.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// Membership at the snapshot, then at each entry that changes it.
    epochs: VecDeque<Epoch>,
    /// Last synced entry.
    synced: Index,
}

impl Log {
    pub(crate) fn restore(restored: Restored) -> Self {
        let mut log = Self::from_snapshot(restored.snapshot);
        for entry in restored.entries {
            log.push(entry);
        }
        log.synced = log.last_index();
        log
    }

    fn from_snapshot(snapshot: Snapshot) -> Self {
        let base = Epoch {
            from: snapshot.id.index,
            membership: snapshot.membership.clone(),
        };
        Self {
            synced: snapshot.id.index,
            snapshot,
            entries: VecDeque::new(),
            epochs: VecDeque::from([base]),
        }
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry covered by the snapshot.
    pub(crate) fn base(&self) -> Index {
        self.snapshot.id.index
    }

    pub(crate) fn last_index(&self) -> Index {
        Index(self.base().0 + self.entries.len() as u64)
    }

    pub(crate) fn last(&self) -> LastEntry {
        let term = match self.entries.back() {
            Some(entry) => entry.term,
            None => self.snapshot.id.term,
        };
        LastEntry {
            term,
            index: self.last_index(),
        }
    }

    pub(crate) fn synced(&self) -> Index {
        self.synced
    }

    pub(crate) fn set_synced(&mut self, index: Index) {
        self.synced = self.synced.max(index).min(self.last_index());
    }

    /// Term of an entry, if it is in the tail or is the last one covered by the snapshot.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base() {
            return Some(self.snapshot.id.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base().0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends an entry.
    ///
    /// # Panics
    ///
    /// Panics if the index does not follow the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index().next(), "gap in the log");
        if let Payload::Members(membership) = &entry.payload {
            self.epochs.push_back(Epoch {
                from: entry.index,
                membership: membership.clone(),
            });
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub(crate) fn truncate(&mut self, from: Index) {
        let len = from.0.saturating_sub(self.base().0 + 1);
        self.entries
            .truncate(usize::try_from(len).unwrap_or(usize::MAX));
        while self.epochs.len() > 1 && self.epochs.back().is_some_and(|epoch| epoch.from >= from) {
            self.epochs.pop_back();
        }
        self.synced = self.synced.min(self.last_index());
    }

    /// Returns entries from an index on, up to `max` payload bytes but at least one if there is
    /// any.
    pub(crate) fn slice(&self, from: Index, max: usize) -> Vec<Entry> {
        let slice = self.slice_within(from, max);
        if slice.is_empty() {
            return self.get(from).cloned().into_iter().collect();
        }
        slice
    }

    /// Returns entries from an index on, up to `max` payload bytes.
    pub(crate) fn slice_within(&self, from: Index, max: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut slice = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.payload.size();
            if size > max {
                break;
            }
            slice.push(entry.clone());
            index = index.next();
        }
        slice
    }

    /// Membership as of the last entry, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        let epoch = self
            .epochs
            .back()
            .expect("the snapshot's epoch is never removed");
        &epoch.membership
    }

    /// Index of the entry from which the current membership is in force.
    pub(crate) fn membership_index(&self) -> Index {
        self.epochs.back().map_or(Index::ZERO, |epoch| epoch.from)
    }

    /// Membership as of an entry.
    pub(crate) fn membership_at(&self, index: Index) -> &Membership {
        let epoch = self
            .epochs
            .iter()
            .rev()
            .find(|epoch| epoch.from <= index)
            .unwrap_or(&self.epochs[0]);
        &epoch.membership
    }

    /// Removes the entries covered by a new snapshot.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.id.index;
        let covered = index.0 - self.base().0;
        self.entries
            .drain(..usize::try_from(covered).expect("the entries are in memory"));
        while self.epochs.len() > 1 && self.epochs[1].from <= index {
            self.epochs.pop_front();
        }
        self.synced = self.synced.max(index);
        self.snapshot = snapshot;
    }

    /// Replaces the log with a received snapshot.
    pub(crate) fn reset(&mut self, snapshot: Snapshot) {
        *self = Self::from_snapshot(snapshot);
    }
}
