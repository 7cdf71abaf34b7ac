//! Chunk leases: grant, renewal, release and expiry.

use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};

use super::{
    ChunkRef, Job, Jobs, Owner,
    chunk::{
        ChunkLease,
        OpenChunk, //
    },
    queues::Charge,
};
use crate::{
    Configuration,
    ItemSet,
    JobId,
    Lease,
    LeaseChunks,
    LeaseRef,
    LogIndex,
    OwnerId,
    ReleaseChunk,
    Setting,
    StartItems,
    Work, //
};

/// Largest number of chunks leased by one command.
const MAX_LEASES_PER_COMMAND: u16 = 64;

impl Jobs {
    /// Leases chunks: of urgent jobs first, then by weighted fair sharing between teams.
    pub(crate) fn lease(
        &mut self,
        request: &LeaseChunks,
        index: LogIndex,
        configuration: &Configuration,
        now: Millis,
    ) -> Vec<Lease> {
        self.renew(&request.owner, now);
        let urgent_until = now + configuration.fleet_wide_millis(Setting::UrgentMs, now);
        let mut leases = Vec::new();
        for _ in 0..request.max.min(MAX_LEASES_PER_COMMAND) {
            let Some(id) = self.queues.next(&request.serves, urgent_until) else {
                break;
            };
            let Some(lease) = self.lease_next_chunk(id, &request.owner, index) else {
                break;
            };
            let weight = configuration.team_weight(&lease.team, now);
            self.charge(&lease, weight);
            if let Some(job) = self.jobs.get(&id) {
                self.queues.update(id, job, &self.shares);
            }
            leases.push(lease);
        }
        leases
    }

    /// Renews an owner's leases, expires those of its earlier runs and returns how many it holds.
    pub(crate) fn renew(&mut self, owner: &OwnerId, now: Millis) -> u32 {
        let earlier: Vec<OwnerId> = self
            .owners
            .range(first_incarnation(owner)..owner.clone())
            .map(|(owner, _)| owner.clone())
            .collect();
        for owner in &earlier {
            self.expire_owner(owner, now);
        }
        let state = self.owners.entry(owner.clone()).or_default();
        state.renewed_at = now;
        state.chunks.len() as u32
    }

    /// Releases a chunk if the lease is current, and returns whether it was.
    pub(crate) fn release(&mut self, release: &ReleaseChunk, now: Millis) -> bool {
        let lease = &release.lease;
        let Some(open) = self.leased_chunk(lease) else {
            return false;
        };
        open.started.difference_with(&release.not_run);
        let chunk = ChunkRef {
            job: lease.job,
            chunk: lease.chunk,
        };
        self.return_chunk(chunk, now);
        true
    }

    /// Expires all leases of an owner and returns their number.
    pub(crate) fn expire_owner(&mut self, owner: &OwnerId, now: Millis) -> u32 {
        let Some(state) = self.owners.remove(owner) else {
            return 0;
        };
        for &chunk in &state.chunks {
            self.return_chunk(chunk, now);
        }
        state.chunks.len() as u32
    }

    /// Returns the kinds of work with chunks to lease.
    pub(crate) fn waiting_work(&self) -> impl Iterator<Item = &Work> {
        self.queues.works()
    }

    /// Returns the daemon runs that hold, or recently held, leases.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &OwnerId> {
        self.owners.keys()
    }

    /// Expires the leases of owners that did not renew them within `lease_time`, and returns the
    /// number of these owners.
    pub(crate) fn expire_leases(&mut self, lease_time: Millis, now: Millis) -> u32 {
        let expired = |(owner, state): (&OwnerId, &Owner)| {
            (state.renewed_at + lease_time <= now).then(|| owner.clone())
        };
        let expired: Vec<OwnerId> = self.owners.iter().filter_map(expired).collect();
        for owner in &expired {
            self.expire_owner(owner, now);
        }
        expired.len() as u32
    }

    /// Marks items of a non-idempotent job as started and returns those that may run.
    ///
    /// Items already marked under this lease are granted again: the owner repeats a request only if
    /// it did not receive the first reply, and so has not sent them. Items marked under an earlier
    /// lease ended with that lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease is no longer current or the job is cancelled.
    pub(crate) fn start_items(&mut self, start: &StartItems) -> Result<ItemSet, Refusal> {
        let cancelled = self
            .jobs
            .get(&start.lease.job)
            .is_some_and(|job| job.cancelled.is_some());
        if cancelled {
            return Err(Refusal::not_run(Reason::Cancelled, "the job is cancelled"));
        }
        let Some(open) = self.leased_chunk(&start.lease) else {
            return Err(Refusal::not_run(Reason::NotFound, "the lease has ended"));
        };
        let mut items: ItemSet = start
            .items
            .iter()
            .filter(|&i| i < open.spec.items)
            .collect();
        items.difference_with(&open.progress.ended());
        open.started.union_with(&items);
        Ok(items)
    }

    /// Returns the chunk of a lease, if the lease is current.
    pub(super) fn leased_chunk(&mut self, lease: &LeaseRef) -> Option<&mut OpenChunk> {
        let job = self.jobs.get_mut(&lease.job)?;
        let chunk = job.previously_leased(lease.chunk)?;
        if chunk.lease()?.epoch != lease.epoch {
            return None;
        }
        chunk.open_mut()
    }

    /// Ends the lease of a chunk. Started items fail, since their outcome will not be reported.
    pub(super) fn return_chunk(&mut self, at: ChunkRef, now: Millis) {
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        let chunk = &mut job.chunks[at.chunk as usize];
        let Some(lease) = chunk.lease().cloned() else {
            return;
        };
        let Some(open) = chunk.open_mut() else {
            return;
        };
        open.end_lease();
        let counts = open.fail_started();
        job.leased -= 1;
        job.add_counts(&counts);
        job.compact_chunk(at.chunk);
        self.remove_lease(&lease.owner, at);
        self.record_job_end(at.job, now);
    }

    /// Records the end of a job whose items have all ended, and updates the queues.
    pub(super) fn record_job_end(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.ended_at.is_none() && job.all_ended() {
            job.ended_at = Some(now);
            self.ended.insert((now, id));
        }
        self.queues.update(id, job, &self.shares);
    }

    fn lease_next_chunk(&mut self, id: JobId, owner: &OwnerId, index: LogIndex) -> Option<Lease> {
        let job = self.jobs.get_mut(&id)?;
        let chunk = job.take_free_chunk()?;
        let open = job.chunks[chunk as usize].open_mut()?;
        open.lease = Some(ChunkLease {
            owner: owner.clone(),
            epoch: index,
        });
        job.leased += 1;
        let lease = build_lease(id, job, chunk, index)?;
        let owner_state = self.owners.entry(owner.clone()).or_default();
        owner_state.chunks.insert(ChunkRef { job: id, chunk });
        Some(lease)
    }

    fn charge(&mut self, lease: &Lease, weight: u64) {
        let charge = Charge {
            work: &lease.work,
            team: &lease.team,
            items: lease.spec.items,
            weight,
        };
        self.queues.charge(&mut self.shares, &charge);
    }
}

fn build_lease(id: JobId, job: &mut Job, chunk: u32, epoch: LogIndex) -> Option<Lease> {
    let open = job.chunks[chunk as usize].open_mut()?;
    Some(Lease {
        job: id,
        chunk,
        epoch,
        spec: open.spec,
        ended: open.progress.ended(),
        suspects: open.open_suspects(),
        team: job.team.clone(),
        class: job.class.clone(),
        work: job.work.clone(),
        idempotent: job.idempotent,
        deadline: job.deadline,
    })
}

/// Returns the smallest owner identifier of the same instance.
fn first_incarnation(owner: &OwnerId) -> OwnerId {
    OwnerId {
        instance: owner.instance.clone(),
        incarnation: 0,
    }
}
