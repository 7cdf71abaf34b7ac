//! Items that end, and items that are suspected of killing their target.

use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};

use super::{
    ChunkRef, Jobs,
    chunk::{
        Chunk,
        Progress,
        Recorded, //
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
    /// Records ended items. The first end of an item wins, whichever lease it comes from: a
    /// result is no worse for arriving after its lease was given to another owner.
    ///
    /// # Errors
    ///
    /// If the report names items that the chunk does not have, a chunk that was never leased, or
    /// results without a blob. Nothing is recorded then.
    pub(crate) fn complete(
        &mut self,
        report: &CompleteItems,
        now: Millis,
    ) -> Result<Completion, Refusal> {
        let count = report.done.len() + report.failed.len() as u32;
        let dropped = Completion {
            dropped: count,
            ..Completion::default()
        };
        let at = report.lease;
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return Ok(dropped);
        };
        if job.cancelled.is_some() {
            return Ok(dropped);
        }
        let chunk = job
            .leased_once(at.chunk)
            .ok_or_else(|| bad("the chunk was never leased"))?;
        check(report, chunk)?;
        let late = chunk.lease().is_none_or(|lease| lease.epoch != at.epoch);
        let recorded = record(report, chunk);
        job.count(&recorded);
        self.after_ends(&at, now);
        Ok(Completion {
            done: recorded.done,
            failed: recorded.failed,
            duplicate: recorded.duplicate,
            dropped: 0,
            late,
            chunk_ended: self.has_chunk_ended(&at),
            job_ended: self.jobs[&at.job].all_ended(),
        })
    }

    /// Replaces the blobs of an ended chunk by one.
    ///
    /// # Errors
    ///
    /// If the job is unknown, or the chunk does not have just these blobs.
    pub(crate) fn merge_results(&mut self, merge: &MergeResults) -> Result<(), Refusal> {
        let job = self.jobs.get_mut(&merge.job).ok_or_else(unknown_job)?;
        let Some(Chunk::Ended(ended)) = job.chunks.get_mut(merge.chunk as usize) else {
            return Err(bad("the chunk has no blobs to merge"));
        };
        let parts = &mut ended.progress.parts;
        if !parts
            .iter()
            .map(|part| part.blob)
            .eq(merge.replaces.iter().copied())
        {
            return Err(bad("the chunk has other blobs"));
        }
        if parts.is_empty() {
            return Err(bad("the chunk has no results"));
        }
        let items = ended.progress.done();
        ended.progress.parts = vec![ResultPart {
            blob: merge.result,
            items,
        }];
        job.settle(merge.chunk);
        Ok(())
    }

    /// Charges items that were in flight when their target died.
    ///
    /// An item that was alone is charged with the death, and fails at the limit. Of several, none
    /// is charged: each runs alone from now on. An item that may not be repeated fails at once,
    /// its outcome unknown.
    ///
    /// # Errors
    ///
    /// If the lease does not stand any more, or the job is cancelled.
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
        let Some(open) = self.current(&at) else {
            return Err(Refusal::not_run(Reason::NotFound, "the lease has ended"));
        };
        if open.last_death >= Some(mark.death) {
            return Ok(open.marked(&mark.items));
        }
        open.last_death = Some(mark.death);
        let mut items: ItemSet = mark.items.iter().filter(|&i| i < open.spec.items).collect();
        items.remove_from(&open.progress.ended());
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
        let recorded = open.progress.record_failed(&marked.failed);
        let job = self.jobs.get_mut(&at.job).ok_or_else(unknown_job)?;
        job.count(&recorded);
        self.after_ends(&at, now);
        marked.chunk_ended = self.has_chunk_ended(&at);
        Ok(marked)
    }

    /// Drops the lease of a chunk whose items have all ended, and notes the end of its job.
    fn after_ends(&mut self, at: &LeaseRef, now: Millis) {
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        let owner = job.chunks[at.chunk as usize]
            .lease()
            .map(|lease| lease.owner.clone());
        job.settle(at.chunk);
        let chunk = ChunkRef {
            job: at.job,
            chunk: at.chunk,
        };
        let ended = job.chunks[at.chunk as usize].has_ended();
        if let (true, Some(owner)) = (ended, owner) {
            job.leased -= 1;
            self.forget_lease(&owner, chunk);
        }
        self.note_end(at.job, now);
    }

    fn has_chunk_ended(&self, at: &LeaseRef) -> bool {
        self.jobs[&at.job].chunks[at.chunk as usize].has_ended()
    }
}

fn check(report: &CompleteItems, chunk: &Chunk) -> Result<(), Refusal> {
    let items = chunk.items();
    let outside = |item: u16| item >= items;
    if report.done.last().is_some_and(outside) {
        return Err(bad("a done item is not in the chunk"));
    }
    if report.failed.iter().any(|failed| outside(failed.item)) {
        return Err(bad("a failed item is not in the chunk"));
    }
    if report.result.is_none() && !report.done.is_empty() {
        return Err(bad("done items need a result blob"));
    }
    Ok(())
}

fn record(report: &CompleteItems, chunk: &mut Chunk) -> Recorded {
    let Some(progress) = chunk.progress_mut() else {
        return Recorded {
            duplicate: report.done.len() + report.failed.len() as u32,
            ..Recorded::default()
        };
    };
    let done = record_done(progress, &report.done, report.result);
    let failed = progress.record_failed(&report.failed);
    Recorded {
        done: done.done,
        failed: failed.failed,
        resolved: done.resolved,
        duplicate: done.duplicate + failed.duplicate,
    }
}

fn record_done(progress: &mut Progress, items: &ItemSet, blob: Option<BlobId>) -> Recorded {
    match blob {
        Some(blob) => progress.record_done(items, blob),
        None => Recorded::default(),
    }
}

fn bad(detail: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
