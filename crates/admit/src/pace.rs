//! Limit on the requests that run concurrently at a target, set by the time between tokens.
//!
//! An engine's step time grows with its batch size. The model fits a line to the step times
//! observed by streams and tracks the distribution of the number of running online requests, so
//! that batch can be limited to the step times that online streams have anyway.

use yuccaseam_base::Millis;

use crate::settings::Balance;

/// Decay factor applied to the existing weight at each new sample.
const DECAY_FACTOR: f64 = 0.998;

/// Variance of the number of requests below which the slope is unknown.
const MIN_VARIANCE: f64 = 0.5;

/// Share of steps that stay within the bound.
const STEP_TIME_QUANTILE: f64 = 0.95;

/// Bound on the adjustment of the quantile by one sample, in microseconds.
const MAX_QUANTILE_STEP_MICROS: f64 = 100.0;

/// Added to an estimated number of requests before truncation, so that rounding in the fit costs no
/// slot.
const ROUNDING_TOLERANCE: f64 = 0.1;

/// Time constant of the distribution of online requests, in milliseconds.
const ONLINE_TIME_CONSTANT_MS: f64 = 60_000.0;

/// Maximum step time at a balance of 0, relative to that at the median number of online requests.
const MAX_STEP_GROWTH: f64 = 1.03;

/// Time after the last online request until batch fills the target, at a balance of 0.
const ONLINE_IDLE_DELAY: Millis = Millis(10_000);

/// Share of online tokens at or below the median.
const MEDIAN_SHARE: f64 = 0.5;

/// Sums of an exponentially weighted linear regression of the step time on the number of running
/// requests.
#[derive(Clone, Copy, Debug, Default)]
struct StepTimeFit {
    weight: f64,
    n: f64,
    nn: f64,
    step: f64,
    n_step: f64,
    /// Offset above the line that 95 of 100 steps do not exceed, in microseconds.
    quantile_offset: f64,
}

impl StepTimeFit {
    fn add(&mut self, n: f64, step: f64) {
        if let Some(expected) = self.expected(n) {
            let gradient = if step - expected > self.quantile_offset {
                STEP_TIME_QUANTILE
            } else {
                STEP_TIME_QUANTILE - 1.0
            };
            self.quantile_offset =
                (self.quantile_offset + MAX_QUANTILE_STEP_MICROS * gradient).max(0.0);
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
            *sum = *sum * DECAY_FACTOR + value;
        }
    }

    /// Expected step time at `n` requests, or `None` without samples.
    fn expected(&self, n: f64) -> Option<f64> {
        let (mean_n, mean_step) = self.means()?;
        let slope = self.slope(mean_n, mean_step).unwrap_or(0.0);
        Some(mean_step + slope * (n - mean_n))
    }

    /// Number of requests at which 95 of 100 steps take at most `bound`, or `None` if unknown.
    fn requests_within(&self, bound: f64) -> Option<f64> {
        self.requests_at(bound - self.quantile_offset)
    }

    /// Number of requests at which a step takes `bound` on the fitted line, or `None` if unknown.
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

    /// Step time added by one more request, or `None` if the samples vary too little.
    fn slope(&self, n: f64, step: f64) -> Option<f64> {
        let variance = self.nn / self.weight - n * n;
        let covariance = self.n_step / self.weight - n * step;
        (variance >= MIN_VARIANCE).then(|| covariance / variance)
    }
}

/// Step-time model of a target.
#[derive(Clone, Debug)]
pub(crate) struct PaceModel {
    fit: StepTimeFit,
    /// Time spent at each number of online requests, decayed.
    online_time: Vec<f64>,
    online: u32,
    /// Last time at which an online request ran.
    last_online_at: Millis,
    updated_at: Millis,
}

impl PaceModel {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            fit: StepTimeFit::default(),
            online_time: vec![0.0; slots as usize + 1],
            online: 0,
            last_online_at: Millis::ZERO,
            updated_at: Millis::ZERO,
        }
    }

    /// Sets the number of slots.
    pub(crate) fn resize(&mut self, slots: u32) {
        self.online_time.resize(slots as usize + 1, 0.0);
    }

    /// Records a time between tokens measured while `running` requests ran.
    pub(crate) fn observe_step(&mut self, running: u32, step_micros: u32) {
        self.fit.add(f64::from(running), f64::from(step_micros));
    }

    /// Records the number of running online requests from `now` on.
    pub(crate) fn observe_online(&mut self, online: u32, now: Millis) {
        let elapsed = (now - self.updated_at).0 as f64;
        if elapsed > 0.0 {
            let decay = (-elapsed / ONLINE_TIME_CONSTANT_MS).exp();
            self.online_time.iter_mut().for_each(|time| *time *= decay);
            let last = self.online_time.len() - 1;
            self.online_time[(self.online as usize).min(last)] += elapsed;
            self.updated_at = now;
        }
        if self.online > 0 || online > 0 {
            self.last_online_at = now;
        }
        self.online = online;
    }

    /// Maximum number of requests that can run concurrently.
    pub(crate) fn cap(&self, balance: Balance, bound_micros: u32, now: Millis) -> u32 {
        let slots = (self.online_time.len() - 1) as f64;
        let bound = self.fit.requests_within(f64::from(bound_micros));
        let max_requests = (bound.unwrap_or(slots) + ROUNDING_TOLERANCE).clamp(1.0, slots);
        let idle_delay = balance.interpolate(ONLINE_IDLE_DELAY.0 as f64, 0.0) as u64;
        if self.online == 0 && self.last_online_at + Millis(idle_delay) <= now {
            return max_requests as u32;
        }
        let median = f64::from(self.online_median());
        let step = self.fit.expected(median).unwrap_or(f64::MAX);
        let within_growth = self
            .fit
            .requests_at(step * MAX_STEP_GROWTH)
            .unwrap_or(median);
        let min_requests = (within_growth.max(median) + ROUNDING_TOLERANCE).min(max_requests);
        balance.interpolate(min_requests, max_requests) as u32
    }

    /// Median of the number of running online requests, weighted by the tokens that they produce.
    fn online_median(&self) -> u32 {
        let tokens = |(n, time): (usize, &f64)| n as f64 * time;
        let total: f64 = self.online_time.iter().enumerate().map(tokens).sum();
        let mut below = 0.0;
        for (n, time) in self.online_time.iter().enumerate() {
            below += tokens((n, time));
            if below >= total * MEDIAN_SHARE {
                return n as u32;
            }
        }
        self.online
    }
}
