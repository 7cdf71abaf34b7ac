//! Whether and when a failed call is sent again.

use rand::Rng;
use yuccaseam_base::{
    Millis,
    Reason,
    Verdict,
    key,
    value, //
};

/// One request, in the budget's unit.
const REQUEST: u64 = 100;

/// How many retries are allowed beside the requests.
#[value]
#[derive(Copy)]
pub struct BudgetSettings {
    /// Retries for each hundred requests.
    pub percent: u32,
    /// Retries that may be saved up.
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

/// A token bucket that requests fill and retries empty, so that retries never multiply the load
/// of a fleet that already fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    cfg: BudgetSettings,
    level: u64,
}

impl RetryBudget {
    /// A full budget.
    pub const fn new(cfg: BudgetSettings) -> Self {
        Self {
            cfg,
            level: cfg.burst as u64 * REQUEST,
        }
    }

    /// Changes the share of retries; what is saved up stays.
    pub const fn set_percent(&mut self, percent: u32) {
        self.cfg.percent = percent;
    }

    /// A request was sent for the first time.
    pub fn request(&mut self) {
        let most = u64::from(self.cfg.burst) * REQUEST;
        self.level = most.min(self.level + u64::from(self.cfg.percent));
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_retry(&mut self) -> bool {
        if self.level < REQUEST {
            return false;
        }
        self.level -= REQUEST;
        true
    }
}

/// How long to wait before each retry.
#[value]
#[derive(Copy)]
pub struct BackoffSettings {
    /// The longest wait before the first retry.
    pub first: Millis,
    /// The longest wait before any retry.
    pub most: Millis,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            first: Millis(20),
            most: Millis(1_000),
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
    /// The backoff of a call that was sent once.
    pub const fn new(cfg: BackoffSettings) -> Self {
        Self { cfg, attempt: 0 }
    }

    /// The wait before the next retry: uniform between nothing and a bound that doubles.
    pub fn next<R>(&mut self, rng: &mut R) -> Millis
    where
        R: Rng + ?Sized,
    {
        let factor = 1_u64.checked_shl(self.attempt.min(32)).unwrap_or(u64::MAX);
        let bound = self.cfg.most.min(self.cfg.first * factor);
        self.attempt += 1;
        Millis(rng.random_range(0..=bound.0))
    }
}

/// What to do with a call that failed.
#[key]
pub enum RetryDecision {
    /// Send it again after this time.
    After(Millis),
    /// Answer the caller; the reason is set if the retry itself was not allowed.
    GiveUp(Option<Reason>),
}

/// The retries of one call.
#[derive(Clone, Copy, Debug)]
pub struct Retries {
    idempotent: bool,
    left: u32,
    backoff: Backoff,
    answer_started: bool,
}

impl Retries {
    /// A call that may be sent `attempts` times in all.
    pub const fn new(idempotent: bool, attempts: u32, backoff: Backoff) -> Self {
        Self {
            idempotent,
            left: attempts.saturating_sub(1),
            backoff,
            answer_started: false,
        }
    }

    /// The first byte of an answer went to the caller: from here on nothing is sent again.
    pub fn answer_started(&mut self) {
        self.answer_started = true;
    }

    /// Decides on a call that failed with this verdict, with `left` until the caller's deadline.
    pub fn failed<R>(
        &mut self,
        verdict: Verdict,
        left: Millis,
        budget: &mut RetryBudget,
        rng: &mut R,
    ) -> RetryDecision
    where
        R: Rng + ?Sized,
    {
        if self.answer_started || self.left == 0 || !verdict.allows_retry(self.idempotent) {
            return RetryDecision::GiveUp(None);
        }
        let wait = self.backoff.next(rng);
        if wait >= left {
            return RetryDecision::GiveUp(Some(Reason::DeadlinePassed));
        }
        if !budget.try_retry() {
            return RetryDecision::GiveUp(Some(Reason::RetryBudgetSpent));
        }
        self.left -= 1;
        RetryDecision::After(wait)
    }
}
