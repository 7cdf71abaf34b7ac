//! Removing blobs that nothing refers to.

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

/// What a compaction did.
#[key]
#[derive(Default)]
pub struct Compaction {
    /// How many blobs were removed.
    pub removed: u64,
    /// How many blobs were copied to a new segment.
    pub copied: u64,
    /// By how many bytes the files shrank.
    pub freed_bytes: u64,
}

/// A blob in a segment that is looked at.
struct Candidate {
    id: BlobId,
    at: Location,
    bytes: usize,
    live: bool,
}

impl BlobStore {
    /// Removes blobs for which `is_live` is false. A segment of which at least half is dead is
    /// removed, after its live blobs were copied and synced; other segments stay as they are, with
    /// their dead blobs.
    ///
    /// Blobs that were added and that no command refers to yet must count as live.
    ///
    /// # Errors
    ///
    /// [`JournalError::Full`] if there is no room for the copies, and nothing was removed of the
    /// segment in hand; see [`BlobStore`].
    pub fn compact<F>(&mut self, is_live: F) -> Result<Compaction, JournalError>
    where
        F: Fn(&BlobId) -> bool,
    {
        let mut done = Compaction::default();
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
                self.rewrite(number, &candidates, &mut done)?;
            }
        }
        done.freed_bytes = before.saturating_sub(self.disk_bytes());
        Ok(done)
    }

    /// The blobs of a segment that the index finds there.
    fn candidates<F>(&self, number: u32, is_live: &F) -> Result<Vec<Candidate>, JournalError>
    where
        F: Fn(&BlobId) -> bool,
    {
        let mut candidates = Vec::new();
        let segment = &self.segments[&number];
        segment.scan_prefixes(ID_BYTES, |found| {
            let id = BlobId(found.body.try_into().expect("checked when it was opened"));
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

    fn rewrite(
        &mut self,
        number: u32,
        candidates: &[Candidate],
        done: &mut Compaction,
    ) -> Result<(), JournalError> {
        for candidate in candidates.iter().filter(|candidate| candidate.live) {
            if let Some(data) = self.get(&candidate.id)? {
                self.write(candidate.id, Some(candidate.at), &data)?;
                done.copied += 1;
            }
        }
        self.sync()?;
        for candidate in candidates.iter().filter(|candidate| !candidate.live) {
            self.index.remove(&candidate.id, candidate.at);
            done.removed += 1;
        }
        let segment = self.segments.remove(&number).expect("listed by the caller");
        let removed = segment.remove(&*self.storage);
        self.note(removed)?;
        let synced = self.storage.sync_folder(&self.folder);
        let synced = synced.map_err(|e| JournalError::sync(&self.folder, e));
        self.note(synced)
    }
}

/// Whether at least half of the bytes belong to dead blobs. A segment without any blob counts.
fn is_mostly_dead(candidates: &[Candidate]) -> bool {
    let live: usize = sum(candidates, true);
    let dead: usize = sum(candidates, false);
    dead >= live && (dead > 0 || candidates.is_empty())
}

fn sum(candidates: &[Candidate], live: bool) -> usize {
    let chosen = candidates.iter().filter(|candidate| candidate.live == live);
    chosen.map(|candidate| candidate.bytes).sum()
}
