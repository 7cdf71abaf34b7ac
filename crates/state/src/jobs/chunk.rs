//! One chunk of a job, from waiting to ended.

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

/// A chunk. The small variants keep a job of 660,000 items small: most chunks are waiting or
/// ended at any time.
#[record]
pub(crate) enum Chunk {
    /// Nothing is known of any item.
    Waiting(ChunkSpec),
    /// Leased, or returned with some items ended, started or suspected.
    Open(Box<OpenChunk>),
    /// Every item is done, and one blob holds all results.
    Done { result: BlobId, items: u16 },
    /// Every item has ended.
    Ended(Box<EndedChunk>),
}

/// The lease of a chunk.
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
    /// The last death that was reported under the present lease.
    pub(crate) last_death: Option<u64>,
}

/// A chunk without open items, whose results are not in one blob, or some of whose items failed.
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
    /// In the order of their items.
    pub(crate) failed: Vec<FailedItem>,
}

/// How many items of a report were new.
#[value]
#[derive(Default)]
pub(crate) struct Recorded {
    pub(crate) done: u32,
    pub(crate) failed: u32,
    /// Failed items that became done: their outcome was unknown before.
    pub(crate) resolved: u32,
    pub(crate) duplicate: u32,
}

impl Progress {
    /// Items with a result.
    pub(crate) fn done(&self) -> ItemSet {
        let mut done = ItemSet::new();
        for part in &self.parts {
            done.extend_from(&part.items);
        }
        done
    }

    /// Items that are done or failed.
    pub(crate) fn ended(&self) -> ItemSet {
        let mut ended = self.done();
        for failed in &self.failed {
            ended.insert(failed.item);
        }
        ended
    }

    /// Records results. The first result of an item counts, also after the item's outcome was
    /// given up as unknown.
    pub(crate) fn record_done(&mut self, items: &ItemSet, blob: BlobId) -> Recorded {
        let before = self.done();
        let mut recorded = Recorded::default();
        let mut fresh = ItemSet::new();
        for item in items.iter() {
            if before.contains(item) {
                recorded.duplicate += 1;
                continue;
            }
            match self.failure_of(item) {
                Some((place, Reason::OutcomeUnknown)) => {
                    self.failed.remove(place);
                    recorded.resolved += 1;
                }
                Some(_) => {
                    recorded.duplicate += 1;
                    continue;
                }
                None => (),
            }
            fresh.insert(item);
            recorded.done += 1;
        }
        if !fresh.is_empty() {
            self.parts.push(ResultPart { blob, items: fresh });
        }
        recorded
    }

    /// Records failures of items that have not ended.
    pub(crate) fn record_failed(&mut self, failed: &[FailedItem]) -> Recorded {
        let mut ended = self.ended();
        let mut recorded = Recorded::default();
        for &failure in failed {
            if ended.insert(failure.item) {
                let place = self.failed.partition_point(|f| f.item < failure.item);
                self.failed.insert(place, failure);
                recorded.failed += 1;
            } else {
                recorded.duplicate += 1;
            }
        }
        recorded
    }

    fn failure_of(&self, item: u16) -> Option<(usize, Reason)> {
        let place = self.failed.binary_search_by_key(&item, |f| f.item).ok()?;
        Some((place, self.failed[place].reason))
    }
}

impl Chunk {
    /// How many items there are.
    pub(crate) const fn items(&self) -> u16 {
        match self {
            Self::Waiting(spec) => spec.items,
            Self::Open(open) => open.spec.items,
            Self::Done { items, .. } => *items,
            Self::Ended(ended) => ended.items,
        }
    }

    /// Whether every item has ended.
    pub(crate) const fn has_ended(&self) -> bool {
        matches!(self, Self::Done { .. } | Self::Ended(_))
    }

    /// The lease, if an owner holds the chunk.
    pub(crate) fn lease(&self) -> Option<&ChunkLease> {
        match self {
            Self::Open(open) => open.lease.as_ref(),
            _ => None,
        }
    }

    /// Whether the chunk could be leased.
    pub(crate) fn is_free(&self) -> bool {
        !self.has_ended() && self.lease().is_none()
    }

    /// The open form; a waiting chunk is opened.
    pub(crate) fn open(&mut self) -> Option<&mut OpenChunk> {
        if let Self::Waiting(spec) = self {
            *self = Self::Open(Box::new(OpenChunk::new(*spec)));
        }
        match self {
            Self::Open(open) => Some(open),
            _ => None,
        }
    }

    /// The items' ends, for a late result; none if every item has one already.
    pub(crate) fn progress_mut(&mut self) -> Option<&mut Progress> {
        match self {
            Self::Done { .. } => None,
            Self::Ended(ended) => Some(&mut ended.progress),
            Self::Waiting(_) | Self::Open(_) => self.open().map(|open| &mut open.progress),
        }
    }

    /// Takes the smallest form that holds what is known.
    pub(crate) fn settle(&mut self) {
        match self {
            Self::Open(open) if open.has_ended() => {
                *self = ended_form(open.spec.items, std::mem::take(&mut open.progress));
            }
            Self::Open(open) if open.is_untouched() => *self = Self::Waiting(open.spec),
            Self::Ended(ended) => {
                *self = ended_form(ended.items, std::mem::take(&mut ended.progress));
            }
            _ => (),
        }
    }

    /// The blobs that the chunk refers to, into `out`.
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

    /// The suspects that have not ended.
    pub(crate) fn open_suspects(&self) -> Vec<Suspect> {
        let ended = self.progress.ended();
        let open = |(&item, &died_alone): (&u16, &u8)| {
            (!ended.contains(item)).then_some(Suspect { item, died_alone })
        };
        self.suspects.iter().filter_map(open).collect()
    }

    /// What is known of items that were reported before.
    pub(crate) fn marked(&self, items: &ItemSet) -> Marked {
        let among = |item: u16| items.contains(item);
        let suspects = self.open_suspects().into_iter();
        let failed = self.progress.failed.iter().copied();
        Marked {
            suspects: suspects.filter(|suspect| among(suspect.item)).collect(),
            failed: failed.filter(|failed| among(failed.item)).collect(),
            chunk_ended: false,
        }
    }

    /// Takes the lease off.
    pub(crate) fn end_lease(&mut self) {
        self.lease = None;
        self.last_death = None;
    }

    /// Fails the items that were started and whose outcome nobody will report.
    pub(crate) fn give_up_started(&mut self) -> Recorded {
        let mut in_doubt = std::mem::take(&mut self.started);
        in_doubt.remove_from(&self.progress.ended());
        let unknown = |item| FailedItem {
            item,
            reason: Reason::OutcomeUnknown,
        };
        let failed: Vec<FailedItem> = in_doubt.iter().map(unknown).collect();
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

fn ended_form(items: u16, progress: Progress) -> Chunk {
    match progress.parts.as_slice() {
        [part] if progress.failed.is_empty() => Chunk::Done {
            result: part.blob,
            items,
        },
        _ => Chunk::Ended(Box::new(EndedChunk { items, progress })),
    }
}
