//! Starts and ends of runs.

use yuccaseam_admit::RunId;
use yuccaseam_base::{
    Millis,
    Reason,
    Verdict, //
};
use yuccaseam_state::ItemSet;

use super::{
    CutRun,
    Run,
    Runner,
    STREAM_CUT, //
};
use crate::{
    Action,
    Failure,
    ItemRef,
    held::HeldLease, //
};

impl Runner {
    /// Starts the next item in a granted slot, or gives the slot back.
    pub(super) fn start_next(&mut self, run: RunId, now: Millis) {
        let Some((item, alone)) = self.next_item(now) else {
            self.actions.push(Action::SlotUnused(run));
            return;
        };
        let held = Self::find_mut(&mut self.leases, item.lease);
        let resume_from = held.map_or(0, |held| held.take_received_tokens(item.item));
        self.runs.insert(run, Run { item, alone });
        self.actions.push(Action::Start {
            run,
            item,
            resume_from,
        });
    }

    /// Takes the next item to start. Returns it and whether it has to run alone.
    fn next_item(&mut self, now: Millis) -> Option<(ItemRef, bool)> {
        if !self.can_start() {
            return None;
        }
        if self.needs_isolation() {
            if !self.runs.is_empty() {
                return None;
            }
            return self.take_item(true, |held| held.start_suspect(now));
        }
        self.take_item(false, |held| held.start_ready(now))
    }

    fn take_item<F>(&mut self, alone: bool, take: F) -> Option<(ItemRef, bool)>
    where
        F: Fn(&mut HeldLease) -> Option<u16>,
    {
        let item = self.leases.iter_mut().find_map(|held| {
            let item = take(held)?;
            let lease = held.lease_ref();
            Some(ItemRef { lease, item })
        });
        item.map(|item| (item, alone))
    }

    /// Whether an item can start: not alongside an item that has to run alone, nor while it is
    /// unknown whether a cut stream was caused by the death of the target.
    pub(super) fn can_start(&self) -> bool {
        let isolated = self.runs.values().any(|run| run.alone);
        !self.shutting_down && !isolated && self.cut_runs.is_empty()
    }

    /// Whether a chunk has only items left that have to run alone.
    pub(super) fn needs_isolation(&self) -> bool {
        self.leases.iter().any(HeldLease::needs_isolation)
    }

    /// Stops a run so that it resumes later, unless its item cannot be repeated.
    pub(super) fn pause(&mut self, run: RunId) {
        if self
            .runs
            .get(&run)
            .is_some_and(|run| self.is_repeatable(run))
        {
            self.counts.paused += 1;
            self.actions.push(Action::Stop(run));
        }
    }

    pub(super) fn record_finished(&mut self, run: RunId, line: &[u8], now: Millis) {
        let Some((item, held)) = self.end_run(run) else {
            return;
        };
        held.results.add_done(item, line, now);
        held.record_end(item);
        self.counts.done += 1;
    }

    pub(super) fn record_failed(
        &mut self,
        run: RunId,
        failure: &Failure,
        line: &[u8],
        now: Millis,
    ) {
        let Some(Run { item, .. }) = self.runs.remove(&run) else {
            return;
        };
        self.fail_item(item, failure, line, now);
    }

    /// Retries an item after a failed run, or fails it permanently.
    pub(super) fn fail_item(&mut self, item: ItemRef, failure: &Failure, line: &[u8], now: Millis) {
        let number = item.item;
        let Some(held) = Self::find_mut(&mut self.leases, item.lease) else {
            return;
        };
        if held.drops_results() {
            held.running.remove(number);
            return;
        }
        let can_retry = failure.transient && failure.verdict.allows_retry(held.lease.idempotent);
        let charged = failure.verdict != Verdict::NotRun;
        if can_retry && held.schedule_retry(number, charged, &self.cfg, now, &mut self.rng) {
            self.counts.retried += 1;
            return;
        }
        let outcome_unknown = !held.lease.idempotent && failure.verdict == Verdict::MayHaveRun;
        let reason = if outcome_unknown {
            Reason::OutcomeUnknown
        } else {
            failure.reason
        };
        held.results.add_failed(number, reason, line, now);
        held.record_end(number);
        self.counts.failed += 1;
    }

    pub(super) fn record_cut(&mut self, run: RunId, tokens: u32, now: Millis) {
        if let Some(Run { item, .. }) = self.runs.remove(&run) {
            self.cut_runs.push(CutRun {
                item,
                tokens,
                cut_at: now,
            });
        }
    }

    pub(super) fn record_stopped(&mut self, run: RunId, tokens: u32, now: Millis) {
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        let item = run.item;
        if self.is_repeatable(&run) {
            self.update_lease(item.lease, |held| held.record_stopped(item.item, tokens));
        } else {
            self.fail_item(item, &STREAM_CUT, &[], now);
        }
    }

    /// Reports all items that were in flight as suspects. Their leases wait for the reply, which
    /// isolates or fails the items.
    pub(super) fn handle_target_death(&mut self) {
        let alone = self.runs.len() + self.cut_runs.len() == 1;
        self.deaths += 1;
        self.runs.clear();
        for CutRun { item, tokens, .. } in std::mem::take(&mut self.cut_runs) {
            self.update_lease(item.lease, |held| held.record_tokens(item.item, tokens));
        }
        for held in &mut self.leases {
            if held.drops_results() {
                held.running = ItemSet::new();
                continue;
            }
            let items = held.take_running();
            if !items.is_empty() {
                self.actions.push(Action::MarkSuspects {
                    lease: held.lease_ref(),
                    items,
                    alone,
                    death: self.deaths,
                });
            }
        }
    }
}
