//! A circuit breaker for one target.

use yuccaseam_base::{
    Millis,
    key,
    value, //
};

/// When a breaker opens and closes.
#[value]
#[derive(Copy)]
pub struct BreakerSettings {
    /// Failures in a row that open it.
    pub failures: u32,
    /// How long it stays open the first time; it doubles each time that the trial call fails.
    pub open_for: Millis,
    /// The longest that it stays open.
    pub open_at_most: Millis,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failures: 3,
            open_for: Millis(500),
            open_at_most: Millis(10_000),
        }
    }
}

/// Whether calls may pass.
#[key]
pub enum BreakerState {
    /// Calls pass.
    Closed,
    /// No call passes.
    Open,
    /// One trial call passes.
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

/// Stops calls to a target that fails, and lets one through from time to time.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    cfg: BreakerSettings,
    state: State,
}

impl Breaker {
    /// A closed breaker.
    pub const fn new(cfg: BreakerSettings) -> Self {
        Self {
            cfg,
            state: State::Closed { failures: 0 },
        }
    }

    /// Whether calls may pass at this time.
    pub fn state(&self, now: Millis) -> BreakerState {
        match self.state {
            State::Closed { .. } => BreakerState::Closed,
            State::Open { until, .. } if now < until => BreakerState::Open,
            State::Open { .. } | State::HalfOpen { .. } => BreakerState::HalfOpen,
        }
    }

    /// Whether a trial call was sent whose outcome is still awaited.
    pub fn is_trial_out(&self, now: Millis) -> bool {
        match self.state {
            State::HalfOpen {
                trial_since: Some(since),
                period,
            } => now < since + period,
            _ => false,
        }
    }

    /// Whether a call may be sent now. In the half-open state the first caller gets the trial;
    /// a trial without an outcome is given up after the period for which the breaker was open.
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

    /// A call that was sent had an answer.
    pub fn succeeded(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// A call that was sent failed.
    pub fn failed(&mut self, now: Millis) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < self.cfg.failures => {
                let failures = failures + 1;
                State::Closed { failures }
            }
            State::Closed { .. } => self.open(self.cfg.open_for, now),
            State::HalfOpen { period, .. } => self.open(period * 2, now),
            // A call from before the breaker opened tells nothing new.
            State::Open { .. } => return,
        };
    }

    fn open(&self, period: Millis, now: Millis) -> State {
        let period = period.min(self.cfg.open_at_most);
        State::Open {
            until: now + period,
            period,
        }
    }
}
