//! Completion of items, and suspects: items that may have caused their target to die.

use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};

use super::{
    ChunkRef, Jobs,
    chunk::{
        Chunk,
        ItemCounts,
        Progress, //
    },
    unknown_job,
};
use crate::{
    BlobId,
    CompleteItems,
    Completion,
    FailedItem,
    ItemSet,
    LeaseRef,
    MarkSuspects,
    Marked,
    MergeResults,
    ResultPart,
    Suspect, //
};

impl Jobs {
    /// Records ended items. The first completion of an item wins, whichever lease it comes from: a
    /// result remains valid if it arrives after the chunk was leased to another owner.
    ///
    /// # Errors
    ///
    /// Returns an error, and records nothing, if the report contains items that are not in the
    /// chunk, a chunk that was never leased, or results without a blob.
    pub(crate) fn complete(
        &mut self,
        report: &CompleteItems,
        now: Millis,
    ) -> Result<Completion, Refusal> {
        let count = report.done.len() + report.failed.len() as u32;
        let all_dropped = Completion {
            dropped: count,
            ..Completion::default()
        };
        let at = report.lease;
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return Ok(all_dropped);
        };
        if job.cancelled.is_some() {
            return Ok(all_dropped);
        }
        let chunk = job
            .previously_leased(at.chunk)
            .ok_or_else(|| bad_request("the chunk was never leased"))?;
        check_report(report, chunk)?;
        let late = chunk.lease().is_none_or(|lease| lease.epoch != at.epoch);
        let counts = record_report(report, chunk);
        job.add_counts(&counts);
        self.close_ended_chunk(&at, now);
        Ok(Completion {
            done: counts.done,
            failed: counts.failed,
            duplicate: counts.duplicate,
            dropped: 0,
            late,
            chunk_ended: self.has_chunk_ended(&at),
            job_ended: self.jobs[&at.job].all_ended(),
        })
    }

    /// Replaces the result blobs of an ended chunk with one.
    ///
    /// # Errors
    ///
    /// Returns an error if the job is unknown or the chunk does not have exactly these blobs.
    pub(crate) fn merge_results(&mut self, merge: &MergeResults) -> Result<(), Refusal> {
        let job = self.jobs.get_mut(&merge.job).ok_or_else(unknown_job)?;
        let Some(Chunk::Ended(ended)) = job.chunks.get_mut(merge.chunk as usize) else {
            return Err(bad_request("the chunk has no result blobs to merge"));
        };
        let parts = &mut ended.progress.parts;
        if !parts
            .iter()
            .map(|part| part.blob)
            .eq(merge.replaces.iter().copied())
        {
            return Err(bad_request(
                "the blobs to replace are not those of the chunk",
            ));
        }
        if parts.is_empty() {
            return Err(bad_request("the chunk has no results"));
        }
        let items = ended.progress.done();
        ended.progress.parts = vec![ResultPart {
            blob: merge.result,
            items,
        }];
        job.compact_chunk(merge.chunk);
        Ok(())
    }

    /// Marks items as suspects that were in flight when their target died.
    ///
    /// A death is counted against an item that was in flight alone, which fails at `limit`. Of
    /// several items none is charged, and each runs alone from now on. An item of a non-idempotent
    /// job fails at once with an unknown outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease is no longer current or the job is cancelled.
    pub(crate) fn mark_suspects(
        &mut self,
        mark: &MarkSuspects,
        limit: u8,
        now: Millis,
    ) -> Result<Marked, Refusal> {
        let at = mark.lease;
        let job = self.jobs.get(&at.job).ok_or_else(unknown_job)?;
        if job.cancelled.is_some() {
            return Err(Refusal::not_run(Reason::Cancelled, "the job is cancelled"));
        }
        let idempotent = job.idempotent;
        let Some(open) = self.leased_chunk(&at) else {
            return Err(Refusal::not_run(Reason::NotFound, "the lease has ended"));
        };
        if open.last_death >= Some(mark.death) {
            return Ok(open.marked(&mark.items));
        }
        open.last_death = Some(mark.death);
        let mut items: ItemSet = mark.items.iter().filter(|&i| i < open.spec.items).collect();
        items.difference_with(&open.progress.ended());
        let mut marked = Marked {
            suspects: Vec::new(),
            failed: Vec::new(),
            chunk_ended: false,
        };
        for item in items.iter() {
            let died_alone = open.suspects.entry(item).or_insert(0);
            *died_alone += u8::from(mark.alone);
            let reason = match idempotent {
                false => Some(Reason::OutcomeUnknown),
                true => (*died_alone >= limit).then_some(Reason::ItemAttemptsSpent),
            };
            let died_alone = *died_alone;
            match reason {
                Some(reason) => marked.failed.push(FailedItem { item, reason }),
                None => marked.suspects.push(Suspect { item, died_alone }),
            }
        }
        let counts = open.progress.record_failed(&marked.failed);
        let job = self.jobs.get_mut(&at.job).ok_or_else(unknown_job)?;
        job.add_counts(&counts);
        self.close_ended_chunk(&at, now);
        marked.chunk_ended = self.has_chunk_ended(&at);
        Ok(marked)
    }

    /// Ends the lease of a chunk whose items have all ended, and records the end of its job.
    fn close_ended_chunk(&mut self, at: &LeaseRef, now: Millis) {
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        let owner = job.chunks[at.chunk as usize]
            .lease()
            .map(|lease| lease.owner.clone());
        job.compact_chunk(at.chunk);
        let chunk = ChunkRef {
            job: at.job,
            chunk: at.chunk,
        };
        let ended = job.chunks[at.chunk as usize].has_ended();
        if let (true, Some(owner)) = (ended, owner) {
            job.leased -= 1;
            self.remove_lease(&owner, chunk);
        }
        self.record_job_end(at.job, now);
    }

    fn has_chunk_ended(&self, at: &LeaseRef) -> bool {
        self.jobs[&at.job].chunks[at.chunk as usize].has_ended()
    }
}

fn check_report(report: &CompleteItems, chunk: &Chunk) -> Result<(), Refusal> {
    let items = chunk.items();
    let outside = |item: u16| item >= items;
    if report.done.last().is_some_and(outside) {
        return Err(bad_request("a done item is not in the chunk"));
    }
    if report.failed.iter().any(|failed| outside(failed.item)) {
        return Err(bad_request("a failed item is not in the chunk"));
    }
    if report.result.is_none() && !report.done.is_empty() {
        return Err(bad_request("done items require a result blob"));
    }
    Ok(())
}

fn record_report(report: &CompleteItems, chunk: &mut Chunk) -> ItemCounts {
    let Some(progress) = chunk.progress_mut() else {
        return ItemCounts {
            duplicate: report.done.len() + report.failed.len() as u32,
            ..ItemCounts::default()
        };
    };
    let done = record_done(progress, &report.done, report.result);
    let failed = progress.record_failed(&report.failed);
    ItemCounts {
        done: done.done,
        failed: failed.failed,
        resolved: done.resolved,
        duplicate: done.duplicate + failed.duplicate,
    }
}

fn record_done(progress: &mut Progress, items: &ItemSet, blob: Option<BlobId>) -> ItemCounts {
    match blob {
        Some(blob) => progress.record_done(items, blob),
        None => ItemCounts::default(),
    }
}

fn bad_request(detail: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
