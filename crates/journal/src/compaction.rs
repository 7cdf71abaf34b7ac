//! Compaction: removal of unreferenced blobs.

use yuccaseam_base::key;

use crate::{
    blob::{
        BlobId,
        BlobStore,
        ID_BYTES, //
    },
    blob_index::Location,
    error::JournalError, //
};

/// Result of a compaction.
#[key]
#[derive(Default)]
pub struct Compaction {
    /// Number of blobs removed.
    pub removed: u64,
    /// Number of blobs copied to a new segment.
    pub copied: u64,
    /// Reduction of the total file size in bytes.
    pub freed_bytes: u64,
}

/// A blob in a segment considered for compaction.
struct Candidate {
    id: BlobId,
    at: Location,
    bytes: usize,
    live: bool,
}

impl BlobStore {
    /// Removes blobs for which `is_live` is false. A segment of which at least half is dead is
    /// removed once its live blobs have been copied and synced; other segments are unchanged and
    /// retain their dead blobs.
    ///
    /// `is_live` must be true for blobs that were added but are not referenced by a command yet.
    ///
    /// # Errors
    ///
    /// [`JournalError::Full`] if there is no space for the copies. Nothing of the current segment
    /// has been removed then; see [`BlobStore`].
    pub fn compact<F>(&mut self, is_live: F) -> Result<Compaction, JournalError>
    where
        F: Fn(&BlobId) -> bool,
    {
        let mut compaction = Compaction::default();
        let before = self.disk_bytes();
        if is_mostly_dead(&self.candidates(self.active_number(), &is_live)?) {
            self.roll()?;
        }
        let active = self.active_number();
        let sealed: Vec<_> = self
            .segments
            .range(..active)
            .map(|(&number, _)| number)
            .collect();
        for number in sealed {
            let candidates = self.candidates(number, &is_live)?;
            if is_mostly_dead(&candidates) {
                self.rewrite_segment(number, &candidates, &mut compaction)?;
            }
        }
        compaction.freed_bytes = before.saturating_sub(self.disk_bytes());
        Ok(compaction)
    }

    /// Blobs of a segment to which the index points.
    fn candidates<F>(&self, number: u32, is_live: &F) -> Result<Vec<Candidate>, JournalError>
    where
        F: Fn(&BlobId) -> bool,
    {
        let mut candidates = Vec::new();
        let segment = &self.segments[&number];
        segment.scan_prefixes(ID_BYTES, |found| {
            let id = BlobId(found.body.try_into().expect("checked on open"));
            let at = Location {
                segment: number,
                offset: found.offset as u32,
            };
            if self.find(&id)? == Some(at) {
                candidates.push(Candidate {
                    id,
                    at,
                    bytes: found.len,
                    live: is_live(&id),
                });
            }
            Ok(())
        })?;
        Ok(candidates)
    }

    fn rewrite_segment(
        &mut self,
        number: u32,
        candidates: &[Candidate],
        compaction: &mut Compaction,
    ) -> Result<(), JournalError> {
        for candidate in candidates.iter().filter(|candidate| candidate.live) {
            if let Some(data) = self.get(&candidate.id)? {
                self.write(candidate.id, Some(candidate.at), &data)?;
                compaction.copied += 1;
            }
        }
        self.sync()?;
        for candidate in candidates.iter().filter(|candidate| !candidate.live) {
            self.index.remove(&candidate.id, candidate.at);
            compaction.removed += 1;
        }
        let segment = self.segments.remove(&number).expect("listed by the caller");
        let removed = segment.remove(&*self.storage);
        self.record_failure(removed)?;
        let synced = self.storage.sync_folder(&self.folder);
        let synced = synced.map_err(|e| JournalError::sync(&self.folder, e));
        self.record_failure(synced)
    }
}

/// Whether at least half of the bytes belong to dead blobs. True for a segment without blobs.
fn is_mostly_dead(candidates: &[Candidate]) -> bool {
    let live: usize = total_bytes(candidates, true);
    let dead: usize = total_bytes(candidates, false);
    dead >= live && (dead > 0 || candidates.is_empty())
}

fn total_bytes(candidates: &[Candidate], live: bool) -> usize {
    let selected = candidates.iter().filter(|candidate| candidate.live == live);
    selected.map(|candidate| candidate.bytes).sum()
}
