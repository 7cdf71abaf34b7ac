//! An estimate of a target's load from a report that is late and from what this entry sent since.

use std::collections::VecDeque;

use yuccaseam_base::Millis;

use crate::candidate::ReportedLoad;

/// The time constant with which trust in a report fades, in milliseconds.
const TRUST_MS: f64 = 2_000.0;

/// The load of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadEstimate {
    busy: u32,
    measured_at: Millis,
    /// When this entry sent requests that the report does not show.
    sent: VecDeque<Millis>,
}

impl LoadEstimate {
    pub(crate) fn report(&mut self, load: ReportedLoad, now: Millis) {
        let measured_at = now - load.age;
        if measured_at < self.measured_at {
            return;
        }
        self.busy = load.busy;
        self.measured_at = measured_at;
        while self.sent.front().is_some_and(|at| *at <= measured_at) {
            self.sent.pop_front();
        }
    }

    pub(crate) fn sent(&mut self, now: Millis) {
        self.sent.push_back(now);
    }

    /// A request of this entry ended or was refused.
    pub(crate) fn ended(&mut self) {
        if self.sent.pop_front().is_none() {
            self.busy = self.busy.saturating_sub(1);
        }
    }

    pub(crate) fn busy(&self) -> u32 {
        self.busy
    }

    /// The requests at the target now. An old report counts less, and the mean of all targets
    /// stands in for the rest.
    pub(crate) fn now(&self, mean: f64, now: Millis) -> f64 {
        let age = (now - self.measured_at).0 as f64;
        let trust = (-age / TRUST_MS).exp();
        mean + (f64::from(self.busy) - mean) * trust + self.sent.len() as f64
    }
}
