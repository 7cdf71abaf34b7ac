//! Who holds the slots of the target: what the gate knows, and what only the target knows.

use std::collections::VecDeque;

use yuccaseam_base::Millis;

use crate::event::LoadReport;

/// How far back a load report can be compared with what the gate knew.
const HISTORY: Millis = Millis(3_000);

/// Requests in slots that no permit of this gate stands for, such as those of an earlier owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occupancy {
    /// What the gate itself had in slots, by the time from which it did.
    known: VecDeque<(Millis, u32)>,
    foreign: u32,
    previous: Option<u32>,
}

impl Occupancy {
    /// Records what the gate itself has in slots from now on.
    pub(crate) fn record(&mut self, known: u32, now: Millis) {
        if self.known.back().is_some_and(|(_, last)| *last == known) {
            return;
        }
        self.known.push_back((now, known));
        let oldest = now - HISTORY;
        while self.known.len() > 1 && self.known[1].0 <= oldest {
            self.known.pop_front();
        }
    }

    /// Compares a load report with what the gate knew at the time of the report.
    ///
    /// The lesser of two reports counts, so that one report with a wrong age does not take slots
    /// away; a first report counts alone, so that a new owner starts with what is running.
    pub(crate) fn report(&mut self, report: LoadReport, now: Millis) {
        let seen = report.running + report.waiting;
        let known = self.known_at(now - report.age);
        let extra = seen.saturating_sub(known);
        self.foreign = extra.min(self.previous.unwrap_or(extra));
        self.previous = Some(extra);
    }

    /// A running request that was foreign is now known.
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
