//! How many requests a target runs together before tokens come too slowly.
//!
//! The time of an engine's step grows with its batch. The gate fits a line to the times that
//! streams show, and keeps the distribution of how many online requests run, so that batch can be
//! held to what online streams meet anyway.

use yuccaseam_base::Millis;

use crate::settings::Balance;

/// What an old sample's weight is multiplied by at each new one.
const FORGET: f64 = 0.998;

/// The variance of the number of requests below which the slope is not known.
const LEAST_VARIANCE: f64 = 0.5;

/// The share of steps that keep the bound.
const QUANTILE: f64 = 0.95;

/// How far one sample moves the quantile at most, in microseconds.
const QUANTILE_STEP: f64 = 100.0;

/// What is added to a fitted number before its fraction is cut off, so that the fit's own rounding
/// costs no slot.
const ROUNDING: f64 = 0.1;

/// The time constant of the distribution of online requests, in milliseconds.
const MEMORY_MS: f64 = 60_000.0;

/// By what a step may grow at a balance of 0, over the step at the median of online requests.
const HARMLESS: f64 = 1.03;

/// How long after the last online request batch fills the target, at a balance of 0.
const QUIET: Millis = Millis(10_000);

/// The share of online tokens that come at or below the median.
const HALF: f64 = 0.5;

/// Sums of an exponentially weighted linear regression of the step time on the requests that run.
#[derive(Clone, Copy, Debug, Default)]
struct StepFit {
    weight: f64,
    n: f64,
    nn: f64,
    step: f64,
    n_step: f64,
    /// What 95 in 100 steps take at most above the line.
    above: f64,
}

impl StepFit {
    fn add(&mut self, n: f64, step: f64) {
        if let Some(expected) = self.expected(n) {
            let share = if step - expected > self.above {
                QUANTILE
            } else {
                QUANTILE - 1.0
            };
            self.above = (self.above + QUANTILE_STEP * share).max(0.0);
        }
        let sums = [
            &mut self.weight,
            &mut self.n,
            &mut self.nn,
            &mut self.step,
            &mut self.n_step,
        ];
        let values = [1.0, n, n * n, step, n * step];
        for (sum, value) in sums.into_iter().zip(values) {
            *sum = *sum * FORGET + value;
        }
    }

    /// The step time at this many requests, if any sample tells.
    fn expected(&self, n: f64) -> Option<f64> {
        let (mean_n, mean_step) = self.means()?;
        let slope = self.slope(mean_n, mean_step).unwrap_or(0.0);
        Some(mean_step + slope * (n - mean_n))
    }

    /// The requests at which 95 steps in 100 take at most `bound`, if any sample tells.
    fn requests_within(&self, bound: f64) -> Option<f64> {
        self.requests_at(bound - self.above)
    }

    /// The requests at which a step takes `bound` on the line, if any sample tells.
    fn requests_at(&self, bound: f64) -> Option<f64> {
        let (n, step) = self.means()?;
        let Some(slope) = self.slope(n, step) else {
            return (step > bound).then_some(n * bound / step);
        };
        (slope > 0.0).then(|| n + (bound - step) / slope)
    }

    fn means(&self) -> Option<(f64, f64)> {
        let known = self.weight >= 1.0;
        known.then(|| (self.n / self.weight, self.step / self.weight))
    }

    /// The time that one more request adds to a step, if the samples differ enough to tell.
    fn slope(&self, n: f64, step: f64) -> Option<f64> {
        let variance = self.nn / self.weight - n * n;
        let covariance = self.n_step / self.weight - n * step;
        (variance >= LEAST_VARIANCE).then(|| covariance / variance)
    }
}

/// The observed pace of a target.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    fit: StepFit,
    /// The time that each number of online requests ran, decayed.
    online_time: Vec<f64>,
    online: u32,
    /// When an online request last ran.
    online_until: Millis,
    updated_at: Millis,
}

impl Pace {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            fit: StepFit::default(),
            online_time: vec![0.0; slots as usize + 1],
            online: 0,
            online_until: Millis::ZERO,
            updated_at: Millis::ZERO,
        }
    }

    /// The target has another number of slots now.
    pub(crate) fn resize(&mut self, slots: u32) {
        self.online_time.resize(slots as usize + 1, 0.0);
    }

    /// A stream had this time between tokens while so many requests ran.
    pub(crate) fn observe_step(&mut self, running: u32, step_micros: u32) {
        self.fit.add(f64::from(running), f64::from(step_micros));
    }

    /// Records how many online requests run from now on.
    pub(crate) fn observe_online(&mut self, online: u32, now: Millis) {
        let elapsed = (now - self.updated_at).0 as f64;
        if elapsed > 0.0 {
            let decay = (-elapsed / MEMORY_MS).exp();
            self.online_time.iter_mut().for_each(|time| *time *= decay);
            let last = self.online_time.len() - 1;
            self.online_time[(self.online as usize).min(last)] += elapsed;
            self.updated_at = now;
        }
        if self.online > 0 || online > 0 {
            self.online_until = now;
        }
        self.online = online;
    }

    /// The most requests that may run together.
    pub(crate) fn cap(&self, balance: Balance, bound_micros: u32, now: Millis) -> u32 {
        let slots = (self.online_time.len() - 1) as f64;
        let bound = self.fit.requests_within(f64::from(bound_micros));
        let most = (bound.unwrap_or(slots) + ROUNDING).clamp(1.0, slots);
        let quiet = balance.between(QUIET.0 as f64, 0.0) as u64;
        if self.online == 0 && self.online_until + Millis(quiet) <= now {
            return most as u32;
        }
        let median = f64::from(self.online_median());
        let step = self.fit.expected(median).unwrap_or(f64::MAX);
        let harmless = self.fit.requests_at(step * HARMLESS).unwrap_or(median);
        let least = (harmless.max(median) + ROUNDING).min(most);
        balance.between(least, most) as u32
    }

    /// The number of online requests beside which half of the online tokens come or more.
    fn online_median(&self) -> u32 {
        let tokens = |(n, time): (usize, &f64)| n as f64 * time;
        let total: f64 = self.online_time.iter().enumerate().map(tokens).sum();
        let mut below = 0.0;
        for (n, time) in self.online_time.iter().enumerate() {
            below += tokens((n, time));
            if below >= total * HALF {
                return n as u32;
            }
        }
        self.online
    }
}
