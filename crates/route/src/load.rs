//! Estimates a target's load from its last, possibly stale, report and the requests sent since.

use std::collections::VecDeque;

use yuccaseam_base::Millis;

use crate::candidate::ReportedLoad;

/// Time constant with which the weight of a report decays, in milliseconds.
const REPORT_DECAY_MS: f64 = 2_000.0;

/// Estimated load of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadEstimate {
    reported_busy: u32,
    measured_at: Millis,
    /// Times at which this entry sent requests that the report does not include, oldest first.
    sent_at: VecDeque<Millis>,
}

impl LoadEstimate {
    /// Applies a report, unless it is older than the last one.
    pub(crate) fn apply_report(&mut self, load: ReportedLoad, now: Millis) {
        let measured_at = now - load.age;
        if measured_at < self.measured_at {
            return;
        }
        self.reported_busy = load.busy;
        self.measured_at = measured_at;
        while self
            .sent_at
            .front()
            .is_some_and(|sent_at| *sent_at <= measured_at)
        {
            self.sent_at.pop_front();
        }
    }

    pub(crate) fn record_sent(&mut self, now: Millis) {
        self.sent_at.push_back(now);
    }

    /// Records that a request of this entry ended or was refused.
    pub(crate) fn record_end(&mut self) {
        if self.sent_at.pop_front().is_none() {
            self.reported_busy = self.reported_busy.saturating_sub(1);
        }
    }

    pub(crate) fn reported_busy(&self) -> u32 {
        self.reported_busy
    }

    /// Estimates the number of requests at the target now. The weight of the report decays with its
    /// age, in favour of `mean`, the mean load of the group.
    pub(crate) fn estimate(&self, mean: f64, now: Millis) -> f64 {
        let age = (now - self.measured_at).0 as f64;
        let weight = (-age / REPORT_DECAY_MS).exp();
        mean + (f64::from(self.reported_busy) - mean) * weight + self.sent_at.len() as f64
    }
}
