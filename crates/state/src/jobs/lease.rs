//! Chunk leases: given, renewed, returned and expired.

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

/// The most chunks that one command leases.
const LEASE_LIMIT: u16 = 64;

impl Jobs {
    /// Leases chunks, urgent jobs first, then fairly between teams.
    pub(crate) fn lease(
        &mut self,
        request: &LeaseChunks,
        index: LogIndex,
        configuration: &Configuration,
        now: Millis,
    ) -> Vec<Lease> {
        self.renew(&request.owner, now);
        let urgent = now + configuration.fleet_wide_millis(Setting::UrgentMs, now);
        let mut leases = Vec::new();
        for _ in 0..request.max.min(LEASE_LIMIT) {
            let Some(id) = self.queues.next(&request.serves, urgent) else {
                break;
            };
            let Some(lease) = self.lease_one(id, &request.owner, index) else {
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

    /// Renews an owner's leases and ends those of its earlier runs; returns how many it holds.
    pub(crate) fn renew(&mut self, owner: &OwnerId, now: Millis) -> u32 {
        let earlier: Vec<OwnerId> = self
            .owners
            .range(first_run(owner)..owner.clone())
            .map(|(owner, _)| owner.clone())
            .collect();
        for owner in &earlier {
            self.expire_owner(owner, now);
        }
        let state = self.owners.entry(owner.clone()).or_default();
        state.renewed_at = now;
        state.chunks.len() as u32
    }

    /// Returns a chunk if the lease still stands; tells whether it did.
    pub(crate) fn release(&mut self, release: &ReleaseChunk, now: Millis) -> bool {
        let lease = &release.lease;
        let Some(open) = self.current(lease) else {
            return false;
        };
        open.started.remove_from(&release.not_run);
        let chunk = ChunkRef {
            job: lease.job,
            chunk: lease.chunk,
        };
        self.return_chunk(chunk, now);
        true
    }

    /// Ends all leases of an owner; returns how many there were.
    pub(crate) fn expire_owner(&mut self, owner: &OwnerId, now: Millis) -> u32 {
        let Some(state) = self.owners.remove(owner) else {
            return 0;
        };
        for &chunk in &state.chunks {
            self.return_chunk(chunk, now);
        }
        state.chunks.len() as u32
    }

    /// The kinds of work that have chunks to lease.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = &Work> {
        self.queues.works()
    }

    /// Runs of daemons that hold leases.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &OwnerId> {
        self.owners.keys()
    }

    /// Ends the leases of owners that did not renew them; returns how many owners.
    pub(crate) fn expire_leases(&mut self, lease: Millis, now: Millis) -> u32 {
        let late = |(owner, state): (&OwnerId, &Owner)| {
            (state.renewed_at + lease <= now).then(|| owner.clone())
        };
        let late: Vec<OwnerId> = self.owners.iter().filter_map(late).collect();
        for owner in &late {
            self.expire_owner(owner, now);
        }
        late.len() as u32
    }

    /// Marks items of a non-idempotent job as started; returns those that may run.
    ///
    /// Items that this lease marked before are granted again: the owner asks twice only if it did
    /// not hear the first answer, and so has not sent them. Those that another lease marked have
    /// ended with it.
    ///
    /// # Errors
    ///
    /// If the lease does not stand any more, or the job is cancelled.
    pub(crate) fn start_items(&mut self, start: &StartItems) -> Result<ItemSet, Refusal> {
        let cancelled = self
            .jobs
            .get(&start.lease.job)
            .is_some_and(|job| job.cancelled.is_some());
        if cancelled {
            return Err(Refusal::not_run(Reason::Cancelled, "the job is cancelled"));
        }
        let Some(open) = self.current(&start.lease) else {
            return Err(Refusal::not_run(Reason::NotFound, "the lease has ended"));
        };
        let mut items: ItemSet = start
            .items
            .iter()
            .filter(|&i| i < open.spec.items)
            .collect();
        items.remove_from(&open.progress.ended());
        open.started.extend_from(&items);
        Ok(items)
    }

    /// The chunk of a lease that still stands.
    pub(super) fn current(&mut self, lease: &LeaseRef) -> Option<&mut OpenChunk> {
        let job = self.jobs.get_mut(&lease.job)?;
        let chunk = job.leased_once(lease.chunk)?;
        if chunk.lease()?.epoch != lease.epoch {
            return None;
        }
        chunk.open()
    }

    /// Takes the lease off a chunk. Started items that nobody will report fail.
    pub(super) fn return_chunk(&mut self, at: ChunkRef, now: Millis) {
        let Some(job) = self.jobs.get_mut(&at.job) else {
            return;
        };
        let chunk = &mut job.chunks[at.chunk as usize];
        let Some(lease) = chunk.lease().cloned() else {
            return;
        };
        let Some(open) = chunk.open() else {
            return;
        };
        open.end_lease();
        let recorded = open.give_up_started();
        job.leased -= 1;
        job.count(&recorded);
        job.settle(at.chunk);
        self.forget_lease(&lease.owner, at);
        self.note_end(at.job, now);
    }

    /// Notes the end of a job whose items have all ended, and keeps it in or out of the queue.
    pub(super) fn note_end(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.ended_at.is_none() && job.all_ended() {
            job.ended_at = Some(now);
            self.ended.insert((now, id));
        }
        self.queues.update(id, job, &self.shares);
    }

    fn lease_one(&mut self, id: JobId, owner: &OwnerId, index: LogIndex) -> Option<Lease> {
        let job = self.jobs.get_mut(&id)?;
        let chunk = job.take_free_chunk()?;
        let open = job.chunks[chunk as usize].open()?;
        open.lease = Some(ChunkLease {
            owner: owner.clone(),
            epoch: index,
        });
        job.leased += 1;
        let lease = written(id, job, chunk, index)?;
        let held = self.owners.entry(owner.clone()).or_default();
        held.chunks.insert(ChunkRef { job: id, chunk });
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

fn written(id: JobId, job: &mut Job, chunk: u32, epoch: LogIndex) -> Option<Lease> {
    let open = job.chunks[chunk as usize].open()?;
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

/// The least owner of the same instance.
fn first_run(owner: &OwnerId) -> OwnerId {
    OwnerId {
        instance: owner.instance.clone(),
        incarnation: 0,
    }
}
