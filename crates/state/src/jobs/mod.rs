//! Batch jobs: chunk leases, completion of items, cancellation and retention.

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

/// Largest number of chunks in a job. Even with the largest chunks, item counts fit in 32 bits.
const MAX_JOB_CHUNKS: usize = 1_000_000;

/// Reference to one chunk of a job.
#[key]
struct ChunkRef {
    job: JobId,
    chunk: u32,
}

/// An owner that holds, or recently held, chunk leases.
#[value]
#[derive(Default)]
struct Owner {
    renewed_at: Millis,
    chunks: BTreeSet<ChunkRef>,
}

/// All jobs, indexed by next chunk to lease, lease owner, end time and cancellation.
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

/// Snapshot form of [`Jobs`], from which the indexes are rebuilt.
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
        let to_wire = |(owner, state): (&OwnerId, &Owner)| WireOwner {
            owner: owner.clone(),
            renewed_at: state.renewed_at,
        };
        Self {
            jobs: jobs.jobs.clone(),
            owners: jobs.owners.iter().map(to_wire).collect(),
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
            job.rebuild_returned();
            jobs.add_to_indexes(id, &job);
            jobs.jobs.insert(id, job);
        }
        jobs
    }
}

impl Jobs {
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Creates a job, or returns the existing one for a retry.
    ///
    /// # Errors
    ///
    /// Returns an error if the job exists with different content, the number of its chunks or their
    /// items is out of bounds, or the limit on jobs is reached.
    pub(crate) fn create(
        &mut self,
        create: &CreateJob,
        limit: u64,
        now: Millis,
    ) -> Result<JobCreated, Refusal> {
        if let Some(job) = self.jobs.get(&create.job) {
            if job.fingerprint != create.fingerprint {
                let detail = "the key was already used for a job with a different body";
                return Err(Refusal::not_run(Reason::KeyReused, detail));
            }
            return Ok(JobCreated {
                job: create.job,
                existing: true,
            });
        }
        check_chunks(&create.chunks)?;
        if self.jobs.len() as u64 >= limit {
            let detail = "the configured limit on the number of jobs is reached";
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

    /// Cancels a job. Cancelling an ended job has no effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the job is unknown.
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

    /// Removes jobs that ended at least `retention` ago, and returns their number.
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

    /// Returns the status of a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the job is unknown.
    pub(crate) fn status(&self, id: JobId) -> Result<JobStatus, Refusal> {
        let job = self.jobs.get(&id).ok_or_else(unknown_job)?;
        Ok(job.status(id))
    }

    /// Returns jobs after an identifier, in the order of identifiers, optionally of one team only.
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

    /// Returns the results of up to `limit` chunks, starting at chunk `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the job is unknown.
    pub(crate) fn results(
        &self,
        id: JobId,
        from: u32,
        limit: usize,
    ) -> Result<Vec<ChunkResults>, Refusal> {
        let job = self.jobs.get(&id).ok_or_else(unknown_job)?;
        Ok(job.results(from, limit))
    }

    /// Returns the chunk leases of an owner.
    pub(crate) fn leases_of(&self, owner: &OwnerId) -> Vec<LeaseRef> {
        let chunks = self
            .owners
            .get(owner)
            .into_iter()
            .flat_map(|owner| &owner.chunks);
        let to_lease = |at: &ChunkRef| {
            let chunk = self.jobs.get(&at.job)?.chunks.get(at.chunk as usize)?;
            Some(LeaseRef {
                job: at.job,
                chunk: at.chunk,
                epoch: chunk.lease()?.epoch,
            })
        };
        chunks.filter_map(to_lease).collect()
    }

    /// Returns the jobs cancelled after a log index.
    pub(crate) fn cancelled_after(&self, index: LogIndex) -> Vec<JobId> {
        let start = LogIndex(index.0.saturating_add(1));
        self.cancelled.range(start..).map(|(_, &id)| id).collect()
    }

    /// Appends the blobs that jobs refer to, to `out`.
    pub(crate) fn blobs(&self, out: &mut Vec<BlobId>) {
        for job in self.jobs.values() {
            job.blobs(out);
        }
    }

    /// Adds a job to every index except that of returned chunks, which the job holds itself.
    fn add_to_indexes(&mut self, id: JobId, job: &Job) {
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

    /// Removes an ended job. Remaining leases of a cancelled job are dropped.
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
                self.remove_lease(&lease.owner, ChunkRef { job: id, chunk });
            }
        }
    }

    fn remove_lease(&mut self, owner: &OwnerId, chunk: ChunkRef) {
        if let Some(owner) = self.owners.get_mut(owner) {
            owner.chunks.remove(&chunk);
        }
    }
}

fn check_chunks(chunks: &[ChunkSpec]) -> Result<(), Refusal> {
    let in_bounds = |spec: &ChunkSpec| (1..=MAX_CHUNK_ITEMS).contains(&spec.items);
    if chunks.is_empty() || chunks.len() > MAX_JOB_CHUNKS || !chunks.iter().all(in_bounds) {
        let detail = "a job must have 1 to 1,000,000 chunks of 1 to 4,096 items";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    Ok(())
}

fn unknown_job() -> Refusal {
    Refusal::not_run(Reason::NotFound, "no such job")
}
