//! Circuit breaker for one target.

use yuccaseam_base::{
    Millis,
    key,
    value, //
};

/// Thresholds and periods of a breaker.
#[value]
#[derive(Copy)]
pub struct BreakerSettings {
    /// Consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// Initial open period; it doubles with each failed trial call.
    pub initial_open_period: Millis,
    /// Maximum open period.
    pub max_open_period: Millis,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failure_threshold: 3,
            initial_open_period: Millis(500),
            max_open_period: Millis(10_000),
        }
    }
}

/// State of a breaker.
#[key]
pub enum BreakerState {
    /// All calls are allowed.
    Closed,
    /// No call is allowed.
    Open,
    /// One trial call is allowed.
    HalfOpen,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        until: Millis,
        period: Millis,
    },
    HalfOpen {
        trial_since: Option<Millis>,
        period: Millis,
    },
}

/// Stops calls to a failing target and periodically allows a trial call.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    cfg: BreakerSettings,
    state: State,
}

impl Breaker {
    /// Creates a closed breaker.
    pub const fn new(cfg: BreakerSettings) -> Self {
        Self {
            cfg,
            state: State::Closed { failures: 0 },
        }
    }

    /// Returns the state at this time.
    pub fn state(&self, now: Millis) -> BreakerState {
        match self.state {
            State::Closed { .. } => BreakerState::Closed,
            State::Open { until, .. } if now < until => BreakerState::Open,
            State::Open { .. } | State::HalfOpen { .. } => BreakerState::HalfOpen,
        }
    }

    /// Whether a trial call is waiting for its outcome.
    pub fn is_trial_pending(&self, now: Millis) -> bool {
        match self.state {
            State::HalfOpen {
                trial_since: Some(since),
                period,
            } => now < since + period,
            _ => false,
        }
    }

    /// Whether a call is allowed now. In the half-open state the first caller gets the trial call;
    /// a trial without an outcome times out after the preceding open period.
    pub fn try_call(&mut self, now: Millis) -> bool {
        let period = match self.state {
            State::Closed { .. } => return true,
            State::Open { until, .. } if now < until => return false,
            State::Open { period, .. } => period,
            State::HalfOpen {
                trial_since: Some(since),
                period,
            } if now < since + period => {
                return false;
            }
            State::HalfOpen { period, .. } => period,
        };
        let trial_since = Some(now);
        self.state = State::HalfOpen {
            trial_since,
            period,
        };
        true
    }

    /// Records a response to a call.
    pub fn record_success(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Records the failure of a call.
    pub fn record_failure(&mut self, now: Millis) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < self.cfg.failure_threshold => {
                let failures = failures + 1;
                State::Closed { failures }
            }
            State::Closed { .. } => self.open(self.cfg.initial_open_period, now),
            State::HalfOpen { period, .. } => self.open(period * 2, now),
            // A call sent before the breaker opened gives no new information.
            State::Open { .. } => return,
        };
    }

    fn open(&self, period: Millis, now: Millis) -> State {
        let period = period.min(self.cfg.max_open_period);
        State::Open {
            until: now + period,
            period,
        }
    }
}
