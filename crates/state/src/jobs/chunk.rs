//! A chunk of a job, from waiting to ended.

use std::collections::BTreeMap;

use yuccaseam_base::{
    Reason,
    record,
    value, //
};

use crate::{
    BlobId,
    ChunkSpec,
    FailedItem,
    ItemSet,
    LogIndex,
    Marked,
    OwnerId,
    ResultPart,
    Suspect, //
};

/// A chunk. Most chunks are waiting or ended at any time, so these variants are small to keep a job
/// of 660,000 items small.
#[record]
pub(crate) enum Chunk {
    /// Not leased, with no progress on any item.
    Waiting(ChunkSpec),
    /// Leased, or returned with some items ended, started or suspect.
    Open(Box<OpenChunk>),
    /// Every item is done, and one blob holds all results.
    Done { result: BlobId, items: u16 },
    /// Every item has ended.
    Ended(Box<EndedChunk>),
}

#[record]
pub(crate) struct ChunkLease {
    pub(crate) owner: OwnerId,
    pub(crate) epoch: LogIndex,
}

/// A chunk with items that have not ended.
#[record]
pub(crate) struct OpenChunk {
    pub(crate) spec: ChunkSpec,
    pub(crate) lease: Option<ChunkLease>,
    pub(crate) progress: Progress,
    /// Items that run alone, and how often their target died meanwhile.
    pub(crate) suspects: BTreeMap<u16, u8>,
    /// Items of a non-idempotent job that may have run.
    pub(crate) started: ItemSet,
    /// Number of the last target death reported under the current lease.
    pub(crate) last_death: Option<u64>,
}

/// A chunk whose items have all ended, with failed items or with results in several blobs.
#[record]
pub(crate) struct EndedChunk {
    pub(crate) items: u16,
    pub(crate) progress: Progress,
}

/// The ended items of a chunk.
#[record]
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) parts: Vec<ResultPart>,
    /// Sorted by item.
    pub(crate) failed: Vec<FailedItem>,
}

/// Counts of the items of a report.
#[value]
#[derive(Default)]
pub(crate) struct ItemCounts {
    pub(crate) done: u32,
    pub(crate) failed: u32,
    /// Failed items of unknown outcome that became done.
    pub(crate) resolved: u32,
    pub(crate) duplicate: u32,
}

impl Progress {
    /// Returns the items with a result.
    pub(crate) fn done(&self) -> ItemSet {
        let mut done = ItemSet::new();
        for part in &self.parts {
            done.union_with(&part.items);
        }
        done
    }

    /// Returns the items that are done or failed.
    pub(crate) fn ended(&self) -> ItemSet {
        let mut ended = self.done();
        for failed in &self.failed {
            ended.insert(failed.item);
        }
        ended
    }

    /// Records results. The first result of an item counts, even if the item has already failed
    /// with an unknown outcome.
    pub(crate) fn record_done(&mut self, items: &ItemSet, blob: BlobId) -> ItemCounts {
        let before = self.done();
        let mut counts = ItemCounts::default();
        let mut new_items = ItemSet::new();
        for item in items.iter() {
            if before.contains(item) {
                counts.duplicate += 1;
                continue;
            }
            match self.failure_of(item) {
                Some((position, Reason::OutcomeUnknown)) => {
                    self.failed.remove(position);
                    counts.resolved += 1;
                }
                Some(_) => {
                    counts.duplicate += 1;
                    continue;
                }
                None => (),
            }
            new_items.insert(item);
            counts.done += 1;
        }
        if !new_items.is_empty() {
            self.parts.push(ResultPart {
                blob,
                items: new_items,
            });
        }
        counts
    }

    /// Records failures of items that have not ended.
    pub(crate) fn record_failed(&mut self, failed: &[FailedItem]) -> ItemCounts {
        let mut ended = self.ended();
        let mut counts = ItemCounts::default();
        for &failure in failed {
            if ended.insert(failure.item) {
                let position = self.failed.partition_point(|f| f.item < failure.item);
                self.failed.insert(position, failure);
                counts.failed += 1;
            } else {
                counts.duplicate += 1;
            }
        }
        counts
    }

    fn failure_of(&self, item: u16) -> Option<(usize, Reason)> {
        let position = self.failed.binary_search_by_key(&item, |f| f.item).ok()?;
        Some((position, self.failed[position].reason))
    }
}

impl Chunk {
    /// Returns the number of items.
    pub(crate) const fn items(&self) -> u16 {
        match self {
            Self::Waiting(spec) => spec.items,
            Self::Open(open) => open.spec.items,
            Self::Done { items, .. } => *items,
            Self::Ended(ended) => ended.items,
        }
    }

    /// Returns whether every item has ended.
    pub(crate) const fn has_ended(&self) -> bool {
        matches!(self, Self::Done { .. } | Self::Ended(_))
    }

    /// Returns the lease, if an owner holds the chunk.
    pub(crate) fn lease(&self) -> Option<&ChunkLease> {
        match self {
            Self::Open(open) => open.lease.as_ref(),
            _ => None,
        }
    }

    /// Returns whether the chunk can be leased.
    pub(crate) fn is_free(&self) -> bool {
        !self.has_ended() && self.lease().is_none()
    }

    /// Returns the open form, into which a waiting chunk is converted; `None` if every item has
    /// ended.
    pub(crate) fn open_mut(&mut self) -> Option<&mut OpenChunk> {
        if let Self::Waiting(spec) = self {
            *self = Self::Open(Box::new(OpenChunk::new(*spec)));
        }
        match self {
            Self::Open(open) => Some(open),
            _ => None,
        }
    }

    /// Returns the progress, for a late result; `None` if every item is done.
    pub(crate) fn progress_mut(&mut self) -> Option<&mut Progress> {
        match self {
            Self::Done { .. } => None,
            Self::Ended(ended) => Some(&mut ended.progress),
            Self::Waiting(_) | Self::Open(_) => self.open_mut().map(|open| &mut open.progress),
        }
    }

    /// Converts the chunk to its smallest equivalent form.
    pub(crate) fn compact(&mut self) {
        match self {
            Self::Open(open) if open.has_ended() => {
                *self = compact_ended(open.spec.items, std::mem::take(&mut open.progress));
            }
            Self::Open(open) if open.is_untouched() => *self = Self::Waiting(open.spec),
            Self::Ended(ended) => {
                *self = compact_ended(ended.items, std::mem::take(&mut ended.progress));
            }
            _ => (),
        }
    }

    /// Appends the blobs that the chunk refers to, to `out`.
    pub(crate) fn blobs(&self, cancelled: bool, out: &mut Vec<BlobId>) {
        match self {
            Self::Waiting(spec) if !cancelled => out.push(spec.payload),
            Self::Waiting(_) => (),
            Self::Open(open) => {
                if !cancelled {
                    out.push(open.spec.payload);
                }
                out.extend(open.progress.parts.iter().map(|part| part.blob));
            }
            Self::Done { result, .. } => out.push(*result),
            Self::Ended(ended) => out.extend(ended.progress.parts.iter().map(|part| part.blob)),
        }
    }
}

impl OpenChunk {
    fn new(spec: ChunkSpec) -> Self {
        Self {
            spec,
            lease: None,
            progress: Progress::default(),
            suspects: BTreeMap::new(),
            started: ItemSet::new(),
            last_death: None,
        }
    }

    /// Returns the suspects that have not ended.
    pub(crate) fn open_suspects(&self) -> Vec<Suspect> {
        let ended = self.progress.ended();
        let open_suspect = |(&item, &died_alone): (&u16, &u8)| {
            (!ended.contains(item)).then_some(Suspect { item, died_alone })
        };
        self.suspects.iter().filter_map(open_suspect).collect()
    }

    /// Returns the outcome of a [`crate::MarkSuspects`] that was already applied to `items`.
    pub(crate) fn marked(&self, items: &ItemSet) -> Marked {
        let is_requested = |item: u16| items.contains(item);
        let suspects = self.open_suspects().into_iter();
        let failed = self.progress.failed.iter().copied();
        Marked {
            suspects: suspects
                .filter(|suspect| is_requested(suspect.item))
                .collect(),
            failed: failed.filter(|failed| is_requested(failed.item)).collect(),
            chunk_ended: false,
        }
    }

    pub(crate) fn end_lease(&mut self) {
        self.lease = None;
        self.last_death = None;
    }

    /// Fails the started items, whose outcome will not be reported.
    pub(crate) fn fail_started(&mut self) -> ItemCounts {
        let mut unresolved = std::mem::take(&mut self.started);
        unresolved.difference_with(&self.progress.ended());
        let unknown = |item| FailedItem {
            item,
            reason: Reason::OutcomeUnknown,
        };
        let failed: Vec<FailedItem> = unresolved.iter().map(unknown).collect();
        self.progress.record_failed(&failed)
    }

    fn has_ended(&self) -> bool {
        self.progress.ended().len() == u32::from(self.spec.items)
    }

    fn is_untouched(&self) -> bool {
        self.lease.is_none()
            && self.progress == Progress::default()
            && self.suspects.is_empty()
            && self.started.is_empty()
    }
}

fn compact_ended(items: u16, progress: Progress) -> Chunk {
    match progress.parts.as_slice() {
        [part] if progress.failed.is_empty() => Chunk::Done {
            result: part.blob,
            items,
        },
        _ => Chunk::Ended(Box::new(EndedChunk { items, progress })),
    }
}
