//! Retry decisions for failed calls.

use rand::Rng;
use yuccaseam_base::{
    Millis,
    Reason,
    Verdict,
    key,
    value, //
};

/// Cost of one retry, in units of the budget's level: a request adds `percent` units.
const RETRY_COST: u64 = 100;

/// Bounds on the number of retries relative to requests.
#[value]
#[derive(Copy)]
pub struct BudgetSettings {
    /// Retries per 100 requests.
    pub percent: u32,
    /// Maximum number of accumulated retries.
    pub burst: u32,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            percent: 10,
            burst: 20,
        }
    }
}

/// Token bucket that requests fill and retries drain, so that retries do not multiply the load of a
/// failing fleet.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    cfg: BudgetSettings,
    level: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub const fn new(cfg: BudgetSettings) -> Self {
        Self {
            cfg,
            level: cfg.burst as u64 * RETRY_COST,
        }
    }

    /// Changes the retries per 100 requests, keeping the accumulated ones.
    pub const fn set_percent(&mut self, percent: u32) {
        self.cfg.percent = percent;
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        let max_level = u64::from(self.cfg.burst) * RETRY_COST;
        self.level = max_level.min(self.level + u64::from(self.cfg.percent));
    }

    /// Takes one retry from the budget, if available.
    pub fn try_retry(&mut self) -> bool {
        if self.level < RETRY_COST {
            return false;
        }
        self.level -= RETRY_COST;
        true
    }
}

/// Bounds on the wait before each retry.
#[value]
#[derive(Copy)]
pub struct BackoffSettings {
    /// Maximum wait before the first retry.
    pub initial: Millis,
    /// Maximum wait before any retry.
    pub max: Millis,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            initial: Millis(20),
            max: Millis(1_000),
        }
    }
}

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    cfg: BackoffSettings,
    attempt: u32,
}

impl Backoff {
    /// Creates the backoff of a call that was sent once.
    pub const fn new(cfg: BackoffSettings) -> Self {
        Self { cfg, attempt: 0 }
    }

    /// Returns the wait before the next retry, uniform between zero and a bound that doubles.
    pub fn next<R>(&mut self, rng: &mut R) -> Millis
    where
        R: Rng + ?Sized,
    {
        let factor = 1_u64.checked_shl(self.attempt.min(32)).unwrap_or(u64::MAX);
        let bound = self.cfg.max.min(self.cfg.initial * factor);
        self.attempt += 1;
        Millis(rng.random_range(0..=bound.0))
    }
}

/// Decision about a failed call.
#[key]
pub enum RetryDecision {
    /// Retry after this time.
    After(Millis),
    /// Respond to the caller; the reason is set if the retry itself was refused.
    Abandon(Option<Reason>),
}

/// Retry state of one call.
#[derive(Clone, Copy, Debug)]
pub struct Retries {
    idempotent: bool,
    attempts_left: u32,
    backoff: Backoff,
    response_started: bool,
}

impl Retries {
    /// Creates the state of a call with at most `attempts` attempts.
    pub const fn new(idempotent: bool, attempts: u32, backoff: Backoff) -> Self {
        Self {
            idempotent,
            attempts_left: attempts.saturating_sub(1),
            backoff,
            response_started: false,
        }
    }

    /// Records that the first byte of a response was sent to the caller, which rules out retries.
    pub fn response_started(&mut self) {
        self.response_started = true;
    }

    /// Decides about a call that failed with `verdict`, with `time_left` until the caller's
    /// deadline.
    pub fn on_failure<R>(
        &mut self,
        verdict: Verdict,
        time_left: Millis,
        budget: &mut RetryBudget,
        rng: &mut R,
    ) -> RetryDecision
    where
        R: Rng + ?Sized,
    {
        if self.response_started
            || self.attempts_left == 0
            || !verdict.allows_retry(self.idempotent)
        {
            return RetryDecision::Abandon(None);
        }
        let wait = self.backoff.next(rng);
        if wait >= time_left {
            return RetryDecision::Abandon(Some(Reason::DeadlinePassed));
        }
        if !budget.try_retry() {
            return RetryDecision::Abandon(Some(Reason::RetryBudgetSpent));
        }
        self.attempts_left -= 1;
        RetryDecision::After(wait)
    }
}
