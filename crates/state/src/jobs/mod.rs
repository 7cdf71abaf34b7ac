//! Jobs: chunk leases, completion of items, cancel and retention.

mod chunk;
mod complete;
mod job;
mod lease;
mod messages;
mod queues;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    key,
    record,
    value, //
};

use self::{
    job::Job,
    queues::{
        Queues,
        Shares, //
    },
};
use crate::{
    BlobId,
    JobId,
    LogIndex,
    MAX_CHUNK_ITEMS,
    OwnerId, //
};

pub use messages::{
    CancelJob,
    ChunkResults,
    ChunkSpec,
    CompleteItems,
    Completion,
    CreateJob,
    ExpireOwner,
    FailedItem,
    JobCreated,
    JobState,
    JobStatus,
    Lease,
    LeaseChunks,
    LeaseRef,
    MarkSuspects,
    Marked,
    MergeResults,
    ReleaseChunk,
    RenewLeases,
    ResultPart,
    StartItems,
    Suspect,
    Work, //
};

/// The most chunks of one job. With the largest chunks its items still fit 32 bits.
const CHUNKS_LIMIT: usize = 1_000_000;

/// One chunk of one job.
#[key]
struct ChunkRef {
    job: JobId,
    chunk: u32,
}

/// An owner that holds, or lately held, chunk leases.
#[value]
#[derive(Default)]
struct Owner {
    renewed_at: Millis,
    chunks: BTreeSet<ChunkRef>,
}

/// All jobs, with the indexes that find the next chunk, an owner's leases and what has expired.
#[value]
#[derive(Default)]
pub(crate) struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    owners: BTreeMap<OwnerId, Owner>,
    shares: Shares,
    queues: Queues,
    ended: BTreeSet<(Millis, JobId)>,
    cancelled: BTreeMap<LogIndex, JobId>,
}

/// What a snapshot holds of the jobs; the indexes follow from it.
#[record]
pub(crate) struct WireJobs {
    jobs: BTreeMap<JobId, Job>,
    owners: Vec<WireOwner>,
    shares: Shares,
}

#[record]
struct WireOwner {
    owner: OwnerId,
    renewed_at: Millis,
}

impl From<&Jobs> for WireJobs {
    fn from(jobs: &Jobs) -> Self {
        let owner = |(owner, state): (&OwnerId, &Owner)| WireOwner {
            owner: owner.clone(),
            renewed_at: state.renewed_at,
        };
        Self {
            jobs: jobs.jobs.clone(),
            owners: jobs.owners.iter().map(owner).collect(),
            shares: jobs.shares.clone(),
        }
    }
}

impl From<WireJobs> for Jobs {
    fn from(wire: WireJobs) -> Self {
        let mut jobs = Self {
            shares: wire.shares,
            ..Self::default()
        };
        for WireOwner { owner, renewed_at } in wire.owners {
            jobs.owners.entry(owner).or_default().renewed_at = renewed_at;
        }
        for (id, mut job) in wire.jobs {
            job.index_returned();
            jobs.index(id, &job);
            jobs.jobs.insert(id, job);
        }
        jobs
    }
}

impl Jobs {
    /// How many jobs are kept.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// # Errors
    ///
    /// If the job exists with another content, has no items or a chunk of no or too many items, or
    /// the limit of jobs is reached.
    pub(crate) fn create(
        &mut self,
        create: &CreateJob,
        limit: u64,
        now: Millis,
    ) -> Result<JobCreated, Refusal> {
        if let Some(job) = self.jobs.get(&create.job) {
            if job.fingerprint != create.fingerprint {
                let detail = "the key was used before for a job with another body";
                return Err(Refusal::not_run(Reason::KeyReused, detail));
            }
            return Ok(JobCreated {
                job: create.job,
                existing: true,
            });
        }
        check_chunks(&create.chunks)?;
        if self.jobs.len() as u64 >= limit {
            let detail = "the number of jobs has reached the configured limit";
            return Err(Refusal::not_run(Reason::LimitReached, detail));
        }
        let job = Job::new(create, now);
        self.queues.update(create.job, &job, &self.shares);
        self.jobs.insert(create.job, job);
        Ok(JobCreated {
            job: create.job,
            existing: false,
        })
    }

    /// # Errors
    ///
    /// If the job is unknown.
    pub(crate) fn cancel(
        &mut self,
        id: JobId,
        index: LogIndex,
        now: Millis,
    ) -> Result<JobStatus, Refusal> {
        let job = self.jobs.get_mut(&id).ok_or_else(unknown_job)?;
        if job.ended_at.is_none() {
            job.cancelled = Some(index);
            job.ended_at = Some(now);
            self.ended.insert((now, id));
            self.cancelled.insert(index, id);
            self.queues.update(id, job, &self.shares);
        }
        Ok(job.status(id))
    }

    /// Removes jobs that ended longer ago than `retention`; returns how many.
    pub(crate) fn expire_jobs(&mut self, retention: Millis, now: Millis) -> u32 {
        let mut expired = 0;
        while let Some(&(ended_at, id)) = self.ended.first() {
            if ended_at + retention > now {
                break;
            }
            self.ended.pop_first();
            self.remove(id);
            expired += 1;
        }
        self.shares.compact();
        expired
    }

    /// # Errors
    ///
    /// If the job is unknown.
    pub(crate) fn status(&self, id: JobId) -> Result<JobStatus, Refusal> {
        let job = self.jobs.get(&id).ok_or_else(unknown_job)?;
        Ok(job.status(id))
    }

    /// Jobs after an identifier, in the order of identifiers; of one team if one is named.
    pub(crate) fn list(
        &self,
        team: Option<&str>,
        after: Option<JobId>,
        limit: usize,
    ) -> Vec<JobStatus> {
        use std::ops::Bound::{
            Excluded,
            Unbounded, //
        };
        let start = after.map_or(Unbounded, Excluded);
        self.jobs
            .range((start, Unbounded))
            .filter(|(_, job)| team.is_none_or(|team| job.team == team))
            .take(limit)
            .map(|(&id, job)| job.status(id))
            .collect()
    }

    /// # Errors
    ///
    /// If the job is unknown.
    pub(crate) fn results(
        &self,
        id: JobId,
        from: u32,
        limit: usize,
    ) -> Result<Vec<ChunkResults>, Refusal> {
        let job = self.jobs.get(&id).ok_or_else(unknown_job)?;
        Ok(job.results(from, limit))
    }

    /// The chunk leases of an owner.
    pub(crate) fn leases_of(&self, owner: &OwnerId) -> Vec<LeaseRef> {
        let chunks = self
            .owners
            .get(owner)
            .into_iter()
            .flat_map(|owner| &owner.chunks);
        let lease = |at: &ChunkRef| {
            let chunk = self.jobs.get(&at.job)?.chunks.get(at.chunk as usize)?;
            Some(LeaseRef {
                job: at.job,
                chunk: at.chunk,
                epoch: chunk.lease()?.epoch,
            })
        };
        chunks.filter_map(lease).collect()
    }

    /// Jobs cancelled after a position in the log.
    pub(crate) fn cancelled_after(&self, index: LogIndex) -> Vec<JobId> {
        let start = LogIndex(index.0.saturating_add(1));
        self.cancelled.range(start..).map(|(_, &id)| id).collect()
    }

    /// The blobs that jobs refer to, into `out`.
    pub(crate) fn blobs(&self, out: &mut Vec<BlobId>) {
        for job in self.jobs.values() {
            job.blobs(out);
        }
    }

    /// Enters a job in every index but that of returned chunks, which is its own.
    fn index(&mut self, id: JobId, job: &Job) {
        self.queues.update(id, job, &self.shares);
        if let Some(ended_at) = job.ended_at {
            self.ended.insert((ended_at, id));
        }
        if let Some(cancelled) = job.cancelled {
            self.cancelled.insert(cancelled, id);
        }
        for (chunk, state) in job.chunks.iter().enumerate() {
            if let Some(lease) = state.lease() {
                let chunk = chunk as u32;
                let owner = self.owners.entry(lease.owner.clone()).or_default();
                owner.chunks.insert(ChunkRef { job: id, chunk });
            }
        }
    }

    /// Removes an ended job. Leases that a cancelled one still has are dropped.
    fn remove(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(index) = job.cancelled {
            self.cancelled.remove(&index);
        }
        for (chunk, state) in job.chunks.iter().enumerate() {
            if let Some(lease) = state.lease() {
                let chunk = chunk as u32;
                self.forget_lease(&lease.owner, ChunkRef { job: id, chunk });
            }
        }
    }

    fn forget_lease(&mut self, owner: &OwnerId, chunk: ChunkRef) {
        if let Some(owner) = self.owners.get_mut(owner) {
            owner.chunks.remove(&chunk);
        }
    }
}

fn check_chunks(chunks: &[ChunkSpec]) -> Result<(), Refusal> {
    let allowed = |spec: &ChunkSpec| (1..=MAX_CHUNK_ITEMS).contains(&spec.items);
    if chunks.is_empty() || chunks.len() > CHUNKS_LIMIT || !chunks.iter().all(allowed) {
        let detail = "a job has 1 to 1,000,000 chunks of 1 to 4,096 items";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    Ok(())
}

fn unknown_job() -> Refusal {
    Refusal::not_run(Reason::NotFound, "there is no such job")
}
