//! Occupied slots of the target: those that the gate accounts for, and those that only the target
//! reports.

use std::collections::VecDeque;

use yuccaseam_base::Millis;

use crate::event::LoadReport;

/// Maximum age at which a load report can be compared with the gate's own count.
const HISTORY_RETENTION: Millis = Millis(3_000);

/// Requests in slots without a permit of this gate, such as those of a previous owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occupancy {
    /// History of the gate's own slot count, each with its start time.
    known: VecDeque<(Millis, u32)>,
    foreign: u32,
    previous_unaccounted: Option<u32>,
}

impl Occupancy {
    /// Records the gate's own slot count from `now` on.
    pub(crate) fn record(&mut self, known: u32, now: Millis) {
        if self.known.back().is_some_and(|(_, last)| *last == known) {
            return;
        }
        self.known.push_back((now, known));
        let oldest = now - HISTORY_RETENTION;
        while self.known.len() > 1 && self.known[1].0 <= oldest {
            self.known.pop_front();
        }
    }

    /// Compares a load report with the gate's own count at the time of the report.
    ///
    /// The lower of two consecutive reports is used, so that one report with a wrong age does not
    /// remove slots. A first report is used alone, so that a new owner starts with the running
    /// requests.
    pub(crate) fn report(&mut self, report: LoadReport, now: Millis) {
        let reported = report.running + report.waiting;
        let known = self.known_at(now - report.age);
        let unaccounted = reported.saturating_sub(known);
        self.foreign = unaccounted.min(self.previous_unaccounted.unwrap_or(unaccounted));
        self.previous_unaccounted = Some(unaccounted);
    }

    /// Records that a foreign request is now accounted for by the gate.
    pub(crate) fn adopt(&mut self) {
        self.foreign = self.foreign.saturating_sub(1);
    }

    pub(crate) fn foreign(&self) -> u32 {
        self.foreign
    }

    fn known_at(&self, at: Millis) -> u32 {
        let mut known = 0;
        for &(since, count) in &self.known {
            if since > at {
                break;
            }
            known = count;
        }
        known
    }
}
