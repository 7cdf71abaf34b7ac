//! A batch job: its chunks and its progress.

use std::collections::BTreeSet;

use yuccaseam_base::{
    Millis,
    record, //
};

use super::chunk::{
    Chunk,
    ItemCounts, //
};
use crate::{
    BlobId,
    ChunkResults,
    CreateJob,
    Fingerprint,
    ItemSet,
    JobId,
    JobState,
    JobStatus,
    LogIndex,
    ResultPart,
    Work, //
};

#[record]
pub(crate) struct Job {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) team: String,
    pub(crate) class: String,
    pub(crate) work: Work,
    pub(crate) idempotent: bool,
    pub(crate) created_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) ended_at: Option<Millis>,
    /// Log index of the cancellation.
    pub(crate) cancelled: Option<LogIndex>,
    pub(crate) items: u32,
    pub(crate) done: u32,
    pub(crate) failed: u32,
    pub(crate) leased: u32,
    pub(crate) chunks: Vec<Chunk>,
    /// First chunk that was never leased.
    pub(crate) next: u32,
    /// Chunks before `next` that may be leased again, derived from `chunks` and `next`.
    #[serde(skip)]
    pub(crate) returned: BTreeSet<u32>,
}

impl Job {
    pub(crate) fn new(create: &CreateJob, now: Millis) -> Self {
        Self {
            fingerprint: create.fingerprint,
            team: create.team.clone(),
            class: create.class.clone(),
            work: create.work.clone(),
            idempotent: create.idempotent,
            created_at: now,
            deadline: create.deadline,
            ended_at: None,
            cancelled: None,
            items: create.chunks.iter().map(|spec| u32::from(spec.items)).sum(),
            done: 0,
            failed: 0,
            leased: 0,
            chunks: create.chunks.iter().copied().map(Chunk::Waiting).collect(),
            next: 0,
            returned: BTreeSet::new(),
        }
    }

    /// Rebuilds the index of returned chunks, which a snapshot does not contain.
    pub(crate) fn rebuild_returned(&mut self) {
        let leased = self.chunks.iter().take(self.next as usize).enumerate();
        self.returned = leased
            .filter(|(_, chunk)| chunk.is_free())
            .map(|(number, _)| number as u32)
            .collect();
    }

    /// Returns whether the job has a chunk to lease.
    pub(crate) fn has_free_chunk(&self) -> bool {
        let has_unleased = (self.next as usize) < self.chunks.len();
        self.ended_at.is_none() && (has_unleased || !self.returned.is_empty())
    }

    /// Removes and returns the next chunk to lease. Returned chunks go first, since they were due
    /// earlier.
    pub(crate) fn take_free_chunk(&mut self) -> Option<u32> {
        if let Some(number) = self.returned.pop_first() {
            return Some(number);
        }
        let number = self.next;
        if number as usize == self.chunks.len() {
            return None;
        }
        self.next += 1;
        Some(number)
    }

    /// Returns a chunk that was leased at least once.
    pub(crate) fn previously_leased(&mut self, number: u32) -> Option<&mut Chunk> {
        if number >= self.next {
            return None;
        }
        self.chunks.get_mut(number as usize)
    }

    /// Converts a chunk to its smallest form and updates the index of returned chunks.
    pub(crate) fn compact_chunk(&mut self, number: u32) {
        let chunk = &mut self.chunks[number as usize];
        chunk.compact();
        if chunk.is_free() {
            self.returned.insert(number);
        } else {
            self.returned.remove(&number);
        }
    }

    /// Adds newly ended items to the job's counters.
    pub(crate) const fn add_counts(&mut self, counts: &ItemCounts) {
        self.done += counts.done;
        self.failed += counts.failed;
        self.failed -= counts.resolved;
    }

    /// Returns whether every item has ended.
    pub(crate) const fn all_ended(&self) -> bool {
        self.done + self.failed == self.items
    }

    pub(crate) const fn state(&self) -> JobState {
        match (self.cancelled, self.leased) {
            (Some(_), 0) => JobState::Cancelled,
            (Some(_), _) => JobState::Cancelling,
            (None, _) if self.all_ended() => JobState::Completed,
            (None, _) => JobState::Running,
        }
    }

    pub(crate) fn status(&self, job: JobId) -> JobStatus {
        JobStatus {
            job,
            team: self.team.clone(),
            class: self.class.clone(),
            work: self.work.clone(),
            state: self.state(),
            items: self.items,
            done: self.done,
            failed: self.failed,
            chunks: self.chunks.len() as u32,
            leased_chunks: self.leased,
            created_at: self.created_at,
            deadline: self.deadline,
            ended_at: self.ended_at,
        }
    }

    /// Returns the results of up to `limit` chunks, starting at chunk `from`, in item order.
    pub(crate) fn results(&self, from: u32, limit: usize) -> Vec<ChunkResults> {
        let mut first_item = 0;
        let mut results = Vec::new();
        for (number, chunk) in self.chunks.iter().enumerate() {
            if results.len() == limit {
                break;
            }
            if number >= from as usize {
                results.push(chunk_results(number as u32, first_item, chunk));
            }
            first_item += u32::from(chunk.items());
        }
        results
    }

    /// Appends the blobs that the job refers to, to `out`.
    pub(crate) fn blobs(&self, out: &mut Vec<BlobId>) {
        for chunk in &self.chunks {
            chunk.blobs(self.cancelled.is_some(), out);
        }
    }
}

fn chunk_results(chunk: u32, first_item: u32, state: &Chunk) -> ChunkResults {
    let (parts, failed) = match state {
        Chunk::Waiting(_) => Default::default(),
        Chunk::Open(open) => (open.progress.parts.clone(), open.progress.failed.clone()),
        Chunk::Ended(ended) => (ended.progress.parts.clone(), ended.progress.failed.clone()),
        Chunk::Done { result, items } => {
            let part = ResultPart {
                blob: *result,
                items: ItemSet::full(*items),
            };
            (vec![part], Vec::new())
        }
    };
    ChunkResults {
        chunk,
        first_item,
        items: state.items(),
        parts,
        failed,
    }
}
