//! The runner: events in, actions out.

mod runs;
mod upkeep;

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
        Held,
        Phase, //
    },
};

/// What a runner counted.
#[value]
#[derive(Copy, Default)]
pub struct Counts {
    /// Items that ended with a result.
    pub done: u64,
    /// Items that failed for good.
    pub failed: u64,
    /// Failed runs that were or will be repeated.
    pub retried: u64,
    /// Runs that were paused for online requests.
    pub paused: u64,
    /// Results that came after their job was cancelled or their lease was lost.
    pub dropped: u64,
}

/// How a run fails whose stream was cut.
const CUT: Failure = Failure {
    verdict: Verdict::MayHaveRun,
    reason: Reason::AnswerCut,
    transient: true,
};

/// An item in flight.
#[derive(Clone, Copy, Debug)]
struct Run {
    item: ItemRef,
    alone: bool,
}

/// A stream that was cut while its target may be dead.
#[derive(Clone, Copy, Debug)]
struct CutRun {
    item: ItemRef,
    tokens: u32,
    at: Millis,
}

/// Runs batch items at one target.
#[derive(Debug)]
pub struct Runner {
    cfg: Settings,
    rng: ChaCha8Rng,
    leases: Vec<Held>,
    runs: BTreeMap<RunId, Run>,
    cut: Vec<CutRun>,
    /// Whether a request for leases is under way.
    asking: bool,
    ask_at: Millis,
    leaving: bool,
    deaths: u64,
    ready: u32,
    counts: Counts,
    actions: Vec<Action>,
}

impl Runner {
    /// A runner without leases.
    pub fn new(cfg: Settings, seed: u64) -> Self {
        Self {
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            leases: Vec::new(),
            runs: BTreeMap::new(),
            cut: Vec::new(),
            asking: false,
            ask_at: Millis::ZERO,
            leaving: false,
            deaths: 0,
            ready: 0,
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// What was counted so far.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether the runner holds no lease and waits for no answer, so that it may be dropped.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.runs.is_empty() && !self.asking
    }

    /// The leases that the runner holds.
    pub fn leases(&self) -> impl Iterator<Item = &Lease> {
        self.leases.iter().map(|held| &held.lease)
    }

    /// Takes an event in and returns what to do next.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Leased(leases) => self.leased(leases, now),
            Event::Started { lease, items } => {
                self.with(lease, |held| held.marked_started(&items));
            }
            Event::Marked {
                lease,
                suspects,
                failed,
            } => {
                self.counts.failed += failed.len() as u64;
                self.with(lease, |held| held.marked_suspects(suspects));
            }
            Event::Flushed {
                lease,
                late,
                chunk_ended,
            } => self.flushed(lease, late, chunk_ended),
            Event::LeaseLost(lease) => self.lose(lease),
            Event::JobCancelled(job) => self.cancel(job),
            Event::Slot(run) => self.slot(run, now),
            Event::Pause(run) => self.pause(run),
            Event::Finished { run, line } => self.finished(run, &line, now),
            Event::Failed { run, failure, line } => self.failed(run, &failure, &line, now),
            Event::Cut { run, tokens } => self.cut(run, tokens, now),
            Event::Stopped { run, tokens } => self.stopped(run, tokens, now),
            Event::TargetDied => self.target_died(),
            Event::Leave => self.leave(),
            Event::Tick => (),
        }
        self.go_on(now);
        std::mem::take(&mut self.actions)
    }

    /// When a [`Event::Tick`] is needed at the latest.
    pub fn next_deadline(&self) -> Option<Millis> {
        let cfg = &self.cfg;
        let waits = self.leases.iter().filter_map(Held::wakes_at);
        let flushes = self.leases.iter().filter_map(|held| held.flushes_at(cfg));
        let idles = self.leases.iter().filter_map(|held| held.idles_at(cfg));
        let cuts = self.cut.iter().map(|cut| cut.at + cfg.cut_window);
        let ask = self.wants_more().then_some(self.ask_at);
        waits
            .chain(flushes)
            .chain(idles)
            .chain(cuts)
            .chain(ask)
            .min()
    }

    fn leased(&mut self, leases: Vec<Lease>, now: Millis) {
        self.asking = false;
        if leases.is_empty() {
            self.ask_at = now + self.cfg.lease_pause;
        }
        for lease in leases {
            let mut held = Held::new(lease, now);
            if self.leaving {
                held.phase = Phase::Closing;
            }
            self.leases.push(held);
        }
    }

    fn flushed(&mut self, lease: LeaseRef, late: bool, chunk_ended: bool) {
        self.with(lease, |held| held.flushing = false);
        if late || chunk_ended {
            self.lose(lease);
        }
    }

    /// Stops all runs of a lease and drops what they bring. What may not be repeated goes on, and
    /// its results are reported all the same.
    fn lose(&mut self, lease: LeaseRef) {
        self.with(lease, |held| {
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

    /// Stops all runs of a job. Its leases are returned once they have ended.
    fn cancel(&mut self, job: JobId) {
        for held in self.leases.iter_mut().filter(|held| held.lease.job == job) {
            held.results.take();
            held.phase = Phase::Cancelled;
        }
        self.stop_runs(|run| run.item.lease.job == job);
    }

    fn leave(&mut self) {
        self.leaving = true;
        for held in &mut self.leases {
            if held.phase == Phase::Active {
                held.phase = Phase::Closing;
            }
        }
        self.stop_runs(|_| true);
    }

    /// Ends a run whose lease still counts. A result of another lease is dropped and counted.
    fn end_run(&mut self, run: RunId) -> Option<(u16, &mut Held)> {
        let Run { item, .. } = self.runs.remove(&run)?;
        let held = Self::find_mut(&mut self.leases, item.lease)?;
        if held.drops_results() {
            held.running.remove(item.item);
            self.counts.dropped += 1;
            return None;
        }
        Some((item.item, held))
    }

    fn stop_runs<F>(&mut self, which: F)
    where
        F: Fn(&Run) -> bool,
    {
        let chosen = |(_, run): &(&RunId, &Run)| which(run) && self.is_repeatable(run);
        let stopped = self.runs.iter().filter(chosen);
        let stops: Vec<Action> = stopped.map(|(&run, _)| Action::Stop(run)).collect();
        self.actions.extend(stops);
    }

    /// A run that may not be repeated is never stopped: it could not be resumed.
    fn is_repeatable(&self, run: &Run) -> bool {
        self.find(run.item.lease)
            .is_none_or(|held| held.lease.idempotent)
    }

    fn find(&self, lease: LeaseRef) -> Option<&Held> {
        self.leases.iter().find(|held| held.id() == lease)
    }

    fn find_mut(leases: &mut [Held], lease: LeaseRef) -> Option<&mut Held> {
        leases.iter_mut().find(|held| held.id() == lease)
    }

    fn with<F>(&mut self, lease: LeaseRef, change: F)
    where
        F: FnOnce(&mut Held),
    {
        if let Some(held) = Self::find_mut(&mut self.leases, lease) {
            change(held);
        }
    }
}
