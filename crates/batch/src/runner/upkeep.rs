//! What a runner does after each event: flushes, returns, leases, and what it reports to the gate.

use yuccaseam_base::Millis;

use super::{
    CUT,
    CutRun,
    Runner, //
};
use crate::{
    Action,
    held::{
        Held,
        Phase, //
    },
};

impl Runner {
    /// Does what the new state allows.
    pub(super) fn go_on(&mut self, now: Millis) {
        self.settle_cuts(now);
        for held in &mut self.leases {
            held.wake(now);
        }
        self.release_idle(now);
        self.flush(now);
        self.close();
        self.mark_started();
        self.ask(now);
        self.report_ready();
    }

    /// The target of a stream that was cut a while ago is well: this was an ordinary failure. The
    /// tokens received are kept.
    fn settle_cuts(&mut self, now: Millis) {
        let window = self.cfg.cut_window;
        let settled: Vec<CutRun> = self
            .cut
            .extract_if(.., |cut| cut.at + window <= now)
            .collect();
        for CutRun { item, tokens, .. } in settled {
            if let Some(held) = Self::find_mut(&mut self.leases, item.lease) {
                held.keep_tokens(item.item, tokens);
            }
            self.item_failed(item, &CUT, &[], now);
        }
    }

    /// Closes leases of which nothing ran for a while. Another owner may have room for them. A
    /// runner without slots asks for no others meanwhile; one that runs another lease does.
    fn release_idle(&mut self, now: Millis) {
        let has_slots = !self.runs.is_empty();
        for held in &mut self.leases {
            if held.is_idle(&self.cfg, now) {
                held.phase = Phase::Closing;
                if !has_slots {
                    self.ask_at = now + self.cfg.idle_release;
                }
            }
        }
    }

    fn flush(&mut self, now: Millis) {
        for held in &mut self.leases {
            if !held.is_flush_due(&self.cfg, now) {
                continue;
            }
            let batch = held.results.take();
            held.flushing = true;
            self.actions.push(Action::Flush {
                lease: held.id(),
                results: batch.lines,
                done: batch.done,
                failed: batch.failed,
            });
        }
    }

    /// Returns the leases that are over, and drops those that were lost.
    fn close(&mut self) {
        for held in self.leases.extract_if(.., |held| held.may_be_returned()) {
            if held.phase != Phase::Lost {
                self.actions.push(Action::Release {
                    lease: held.id(),
                    not_run: held.not_run(),
                });
            }
        }
    }

    fn mark_started(&mut self) {
        let marked: u32 = self.leases.iter().map(Held::marked).sum();
        let mut wanted = self.cfg.marked_ahead.saturating_sub(marked);
        for held in &mut self.leases {
            let items = held.take_unmarked(wanted);
            if items.is_empty() {
                continue;
            }
            wanted -= items.len();
            self.actions.push(Action::MarkStarted {
                lease: held.id(),
                items,
            });
        }
    }

    fn ask(&mut self, now: Millis) {
        if !self.wants_more() || now < self.ask_at {
            return;
        }
        self.asking = true;
        self.actions.push(Action::LeaseMore {
            max: self.cfg.lease_chunks,
        });
    }

    pub(super) fn wants_more(&self) -> bool {
        let at_hand: u32 = self.leases.iter().map(Held::at_hand).sum();
        let enough = at_hand >= self.cfg.at_hand || self.isolates();
        !enough && !self.asking && !self.leaving
    }

    fn report_ready(&mut self) {
        let ready = if !self.may_start() {
            0
        } else if self.isolates() {
            u32::from(self.runs.is_empty())
        } else {
            self.leases.iter().map(Held::ready).sum()
        };
        if ready != self.ready {
            self.ready = ready;
            self.actions.push(Action::Ready(ready));
        }
    }
}
