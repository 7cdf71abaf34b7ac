//! Maintenance after each event: retries, flushes, lease releases and requests, and the report of
//! ready items to the gate.

use yuccaseam_base::Millis;

use super::{
    CutRun,
    Runner,
    STREAM_CUT, //
};
use crate::{
    Action,
    held::{
        HeldLease,
        Phase, //
    },
};

impl Runner {
    /// Emits the actions that the new state allows.
    pub(super) fn maintain(&mut self, now: Millis) {
        self.fail_cut_runs(now);
        for held in &mut self.leases {
            held.ready_delayed(now);
        }
        self.release_idle(now);
        self.flush(now);
        self.release_finished();
        self.mark_started();
        self.request_leases(now);
        self.report_ready();
    }

    /// Fails runs whose stream was cut `cut_timeout` ago. Since the target did not die meanwhile,
    /// they count as ordinary failures and keep the tokens received.
    fn fail_cut_runs(&mut self, now: Millis) {
        let window = self.cfg.cut_timeout;
        let expired: Vec<CutRun> = self
            .cut_runs
            .extract_if(.., |cut| cut.cut_at + window <= now)
            .collect();
        for CutRun { item, tokens, .. } in expired {
            if let Some(held) = Self::find_mut(&mut self.leases, item.lease) {
                held.record_tokens(item.item, tokens);
            }
            self.fail_item(item, &STREAM_CUT, &[], now);
        }
    }

    /// Closes idle leases, since another owner may have available capacity for them. A runner
    /// without slots then requests no leases for `idle_lease_timeout`; one that runs other items
    /// still does.
    fn release_idle(&mut self, now: Millis) {
        let has_slots = !self.runs.is_empty();
        for held in &mut self.leases {
            if held.is_idle(&self.cfg, now) {
                held.phase = Phase::Closing;
                if !has_slots {
                    self.next_lease_at = now + self.cfg.idle_lease_timeout;
                }
            }
        }
    }

    fn flush(&mut self, now: Millis) {
        for held in &mut self.leases {
            if !held.is_flush_due(&self.cfg, now) {
                continue;
            }
            let pending = held.results.take();
            held.flushing = true;
            self.actions.push(Action::Flush {
                lease: held.lease_ref(),
                results: pending.lines,
                done: pending.done,
                failed: pending.failed,
            });
        }
    }

    /// Releases the finished leases and drops the lost ones.
    fn release_finished(&mut self) {
        for held in self.leases.extract_if(.., |held| held.can_be_released()) {
            if held.phase != Phase::Lost {
                self.actions.push(Action::Release {
                    lease: held.lease_ref(),
                    not_run: held.not_run(),
                });
            }
        }
    }

    fn mark_started(&mut self) {
        let marked: u32 = self.leases.iter().map(HeldLease::marked_ahead).sum();
        let mut budget = self.cfg.max_marked_ahead.saturating_sub(marked);
        for held in &mut self.leases {
            let items = held.take_unmarked(budget);
            if items.is_empty() {
                continue;
            }
            budget -= items.len();
            self.actions.push(Action::MarkStarted {
                lease: held.lease_ref(),
                items,
            });
        }
    }

    fn request_leases(&mut self, now: Millis) {
        if !self.needs_leases() || now < self.next_lease_at {
            return;
        }
        self.lease_pending = true;
        self.actions.push(Action::LeaseMore {
            max: self.cfg.max_lease_chunks,
        });
    }

    pub(super) fn needs_leases(&self) -> bool {
        let available: u32 = self.leases.iter().map(HeldLease::available).sum();
        let is_enough = available >= self.cfg.min_available_items || self.needs_isolation();
        !is_enough && !self.lease_pending && !self.shutting_down
    }

    fn report_ready(&mut self) {
        let ready = if !self.can_start() {
            0
        } else if self.needs_isolation() {
            u32::from(self.runs.is_empty())
        } else {
            self.leases.iter().map(HeldLease::ready).sum()
        };
        if ready != self.reported_ready {
            self.reported_ready = ready;
            self.actions.push(Action::Ready(ready));
        }
    }
}
