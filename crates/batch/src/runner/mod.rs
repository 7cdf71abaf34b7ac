//! State machine of the runner.

mod maintenance;
mod runs;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccaseam_admit::RunId;
use yuccaseam_base::{
    Millis,
    Reason,
    Verdict,
    value, //
};
use yuccaseam_state::{
    JobId,
    Lease,
    LeaseRef, //
};

use crate::{
    Action, Event, Failure, ItemRef, Settings,
    held::{
        HeldLease,
        Phase, //
    },
};

/// Counters of a [`Runner`], since it was created.
#[value]
#[derive(Copy, Default)]
pub struct Counts {
    /// Items that ended with a result.
    pub done: u64,
    /// Items that failed permanently.
    pub failed: u64,
    /// Failed runs whose item was scheduled for a retry.
    pub retried: u64,
    /// Runs that were ordered to pause for online requests.
    pub paused: u64,
    /// Results that arrived after their job was cancelled or their lease was lost.
    pub dropped: u64,
}

/// Failure of a run whose stream was cut.
const STREAM_CUT: Failure = Failure {
    verdict: Verdict::MayHaveRun,
    reason: Reason::AnswerCut,
    transient: true,
};

/// Item in flight.
#[derive(Clone, Copy, Debug)]
struct Run {
    item: ItemRef,
    /// Whether the item has to run alone.
    alone: bool,
}

/// Run whose stream was cut, possibly by the death of the target.
#[derive(Clone, Copy, Debug)]
struct CutRun {
    item: ItemRef,
    tokens: u32,
    cut_at: Millis,
}

/// Runs batch items at one target.
#[derive(Debug)]
pub struct Runner {
    cfg: Settings,
    rng: ChaCha8Rng,
    leases: Vec<HeldLease>,
    runs: BTreeMap<RunId, Run>,
    cut_runs: Vec<CutRun>,
    /// Whether a request for leases is pending.
    lease_pending: bool,
    /// Earliest time for the next request for leases.
    next_lease_at: Millis,
    shutting_down: bool,
    /// Number of deaths of the target.
    deaths: u64,
    /// Number of ready items last reported to the gate.
    reported_ready: u32,
    counts: Counts,
    actions: Vec<Action>,
}

impl Runner {
    /// Creates a runner without leases.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        Self {
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            leases: Vec::new(),
            runs: BTreeMap::new(),
            cut_runs: Vec::new(),
            lease_pending: false,
            next_lease_at: Millis::ZERO,
            shutting_down: false,
            deaths: 0,
            reported_ready: 0,
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the counters.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether the runner can be dropped: it has no leases, no runs and no pending request for
    /// leases.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.runs.is_empty() && !self.lease_pending
    }

    /// Returns the leases held.
    pub fn leases(&self) -> impl Iterator<Item = &Lease> {
        self.leases.iter().map(|held| &held.lease)
    }

    /// Handles an event and returns the resulting actions, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Leased(leases) => self.add_leases(leases, now),
            Event::Started { lease, items } => {
                self.update_lease(lease, |held| held.record_started(&items));
            }
            Event::Marked {
                lease,
                suspects,
                failed,
            } => {
                self.counts.failed += failed.len() as u64;
                self.update_lease(lease, |held| held.record_suspects(suspects));
            }
            Event::Flushed {
                lease,
                late,
                chunk_ended,
            } => self.record_flushed(lease, late, chunk_ended),
            Event::LeaseLost(lease) => self.close_lost(lease),
            Event::JobCancelled(job) => self.cancel_job(job),
            Event::SlotGranted(run) => self.start_next(run, now),
            Event::Pause(run) => self.pause(run),
            Event::Finished { run, line } => self.record_finished(run, &line, now),
            Event::Failed { run, failure, line } => self.record_failed(run, &failure, &line, now),
            Event::Cut { run, tokens } => self.record_cut(run, tokens, now),
            Event::Stopped { run, tokens } => self.record_stopped(run, tokens, now),
            Event::TargetDied => self.handle_target_death(),
            Event::Shutdown => self.shut_down(),
            Event::Tick => (),
        }
        self.maintain(now);
        std::mem::take(&mut self.actions)
    }

    /// Latest time for the next [`Event::Tick`].
    pub fn next_deadline(&self) -> Option<Millis> {
        let cfg = &self.cfg;
        let retries = self.leases.iter().filter_map(HeldLease::next_retry_at);
        let flushes = self.leases.iter().filter_map(|held| held.flush_due_at(cfg));
        let idles = self.leases.iter().filter_map(|held| held.idle_at(cfg));
        let cuts = self.cut_runs.iter().map(|cut| cut.cut_at + cfg.cut_timeout);
        let next_lease = self.needs_leases().then_some(self.next_lease_at);
        retries
            .chain(flushes)
            .chain(idles)
            .chain(cuts)
            .chain(next_lease)
            .min()
    }

    fn add_leases(&mut self, leases: Vec<Lease>, now: Millis) {
        self.lease_pending = false;
        if leases.is_empty() {
            self.next_lease_at = now + self.cfg.lease_backoff;
        }
        for lease in leases {
            let mut held = HeldLease::new(lease, now);
            if self.shutting_down {
                held.phase = Phase::Closing;
            }
            self.leases.push(held);
        }
    }

    fn record_flushed(&mut self, lease: LeaseRef, late: bool, chunk_ended: bool) {
        self.update_lease(lease, |held| held.flushing = false);
        if late || chunk_ended {
            self.close_lost(lease);
        }
    }

    /// Closes a lost lease. If its job is idempotent, its runs are stopped and results are dropped;
    /// otherwise its runs continue and their results are still reported.
    fn close_lost(&mut self, lease: LeaseRef) {
        self.update_lease(lease, |held| {
            held.phase = match held.lease.idempotent {
                true => Phase::Lost,
                false => Phase::Closing,
            };
            if held.drops_results() {
                held.results.take();
            }
        });
        self.stop_runs(|run| run.item.lease == lease);
    }

    /// Stops the repeatable runs of a job and drops its results. Its leases are released once all
    /// runs have ended.
    fn cancel_job(&mut self, job: JobId) {
        for held in self.leases.iter_mut().filter(|held| held.lease.job == job) {
            held.results.take();
            held.phase = Phase::Cancelled;
        }
        self.stop_runs(|run| run.item.lease.job == job);
    }

    fn shut_down(&mut self) {
        self.shutting_down = true;
        for held in &mut self.leases {
            if held.phase == Phase::Active {
                held.phase = Phase::Closing;
            }
        }
        self.stop_runs(|_| true);
    }

    /// Removes a run and returns its item and lease, unless the lease drops results, which is
    /// counted.
    fn end_run(&mut self, run: RunId) -> Option<(u16, &mut HeldLease)> {
        let Run { item, .. } = self.runs.remove(&run)?;
        let held = Self::find_mut(&mut self.leases, item.lease)?;
        if held.drops_results() {
            held.running.remove(item.item);
            self.counts.dropped += 1;
            return None;
        }
        Some((item.item, held))
    }

    fn stop_runs<F>(&mut self, matches: F)
    where
        F: Fn(&Run) -> bool,
    {
        let can_stop = |(_, run): &(&RunId, &Run)| matches(run) && self.is_repeatable(run);
        let stopped = self.runs.iter().filter(can_stop);
        let stops: Vec<Action> = stopped.map(|(&run, _)| Action::Stop(run)).collect();
        self.actions.extend(stops);
    }

    /// Whether a run can be repeated. Other runs are never stopped, since they cannot be resumed.
    fn is_repeatable(&self, run: &Run) -> bool {
        self.find(run.item.lease)
            .is_none_or(|held| held.lease.idempotent)
    }

    fn find(&self, lease: LeaseRef) -> Option<&HeldLease> {
        self.leases.iter().find(|held| held.lease_ref() == lease)
    }

    fn find_mut(leases: &mut [HeldLease], lease: LeaseRef) -> Option<&mut HeldLease> {
        leases.iter_mut().find(|held| held.lease_ref() == lease)
    }

    fn update_lease<F>(&mut self, lease: LeaseRef, update: F)
    where
        F: FnOnce(&mut HeldLease),
    {
        if let Some(held) = Self::find_mut(&mut self.leases, lease) {
            update(held);
        }
    }
}
