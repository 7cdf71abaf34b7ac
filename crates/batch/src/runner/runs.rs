//! Runs: which item starts, and how runs end.

use yuccaseam_admit::RunId;
use yuccaseam_base::{
    Millis,
    Reason,
    Verdict, //
};
use yuccaseam_state::ItemSet;

use super::{
    CUT,
    CutRun,
    Run,
    Runner, //
};
use crate::{
    Action,
    Failure,
    ItemRef,
    held::Held, //
};

impl Runner {
    pub(super) fn slot(&mut self, run: RunId, now: Millis) {
        let Some((item, alone)) = self.next_item(now) else {
            self.actions.push(Action::Unused(run));
            return;
        };
        let held = Self::find_mut(&mut self.leases, item.lease);
        let resume_from = held.map_or(0, |held| held.take_tokens(item.item));
        self.runs.insert(run, Run { item, alone });
        self.actions.push(Action::Start {
            run,
            item,
            resume_from,
        });
    }

    /// The next item, and whether it runs alone.
    fn next_item(&mut self, now: Millis) -> Option<(ItemRef, bool)> {
        if !self.may_start() {
            return None;
        }
        if self.isolates() {
            if !self.runs.is_empty() {
                return None;
            }
            return self.take_item(true, |held| held.start_suspect(now));
        }
        self.take_item(false, |held| held.start(now))
    }

    fn take_item<F>(&mut self, alone: bool, take: F) -> Option<(ItemRef, bool)>
    where
        F: Fn(&mut Held) -> Option<u16>,
    {
        let started = self.leases.iter_mut().find_map(|held| {
            let item = take(held)?;
            let lease = held.id();
            Some(ItemRef { lease, item })
        });
        started.map(|item| (item, alone))
    }

    /// Nothing starts beside an item that runs alone, nor while a cut stream waits for news of the
    /// target.
    pub(super) fn may_start(&self) -> bool {
        let isolated = self.runs.values().any(|run| run.alone);
        !self.leaving && !isolated && self.cut.is_empty()
    }

    /// Whether a chunk cannot go on but with an item that runs alone.
    pub(super) fn isolates(&self) -> bool {
        self.leases.iter().any(Held::waits_for_isolation)
    }

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

    pub(super) fn finished(&mut self, run: RunId, line: &[u8], now: Millis) {
        let Some((item, held)) = self.end_run(run) else {
            return;
        };
        held.results.add_done(item, line, now);
        held.end(item);
        self.counts.done += 1;
    }

    pub(super) fn failed(&mut self, run: RunId, failure: &Failure, line: &[u8], now: Millis) {
        let Some(Run { item, .. }) = self.runs.remove(&run) else {
            return;
        };
        self.item_failed(item, failure, line, now);
    }

    pub(super) fn item_failed(
        &mut self,
        item: ItemRef,
        failure: &Failure,
        line: &[u8],
        now: Millis,
    ) {
        let number = item.item;
        let Some(held) = Self::find_mut(&mut self.leases, item.lease) else {
            return;
        };
        if held.drops_results() {
            held.running.remove(number);
            return;
        }
        let allowed = failure.transient && failure.verdict.allows_retry(held.lease.idempotent);
        let charged = failure.verdict != Verdict::NotRun;
        if allowed && held.retry(number, charged, &self.cfg, now, &mut self.rng) {
            self.counts.retried += 1;
            return;
        }
        let unknown = !held.lease.idempotent && failure.verdict == Verdict::MayHaveRun;
        let reason = if unknown {
            Reason::OutcomeUnknown
        } else {
            failure.reason
        };
        held.results.add_failed(number, reason, line, now);
        held.end(number);
        self.counts.failed += 1;
    }

    pub(super) fn cut(&mut self, run: RunId, tokens: u32, now: Millis) {
        if let Some(Run { item, .. }) = self.runs.remove(&run) {
            self.cut.push(CutRun {
                item,
                tokens,
                at: now,
            });
        }
    }

    pub(super) fn stopped(&mut self, run: RunId, tokens: u32, now: Millis) {
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        let item = run.item;
        if self.is_repeatable(&run) {
            self.with(item.lease, |held| held.stopped(item.item, tokens));
        } else {
            self.item_failed(item, &CUT, &[], now);
        }
    }

    /// Every item that was in flight is charged or suspected. Their leases wait for the answer.
    pub(super) fn target_died(&mut self) {
        let alone = self.runs.len() + self.cut.len() == 1;
        self.deaths += 1;
        self.runs.clear();
        for CutRun { item, tokens, .. } in std::mem::take(&mut self.cut) {
            self.with(item.lease, |held| held.keep_tokens(item.item, tokens));
        }
        for held in &mut self.leases {
            if held.drops_results() {
                held.running = ItemSet::new();
                continue;
            }
            let items = held.take_running();
            if !items.is_empty() {
                self.actions.push(Action::MarkSuspects {
                    lease: held.id(),
                    items,
                    alone,
                    death: self.deaths,
                });
            }
        }
    }
}
