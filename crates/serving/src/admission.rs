//! Admission control: sends a request to a target, lets it wait for a slot, or refuses it.
//!
//! A stream occupies its slot for most of a second, so a full fleet frees a slot every few
//! milliseconds and a short wait usually finds one. Beyond that, an early refusal with a retry time
//! is better: a response after the objective is worth little, and a request that is refused early
//! can still be served on time at its second attempt. A retry has no further attempt and waits
//! longer.

use std::collections::HashMap;

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::balance::{
    Availability,
    Choice, //
};

/// Requests of first attempts that may queue at a target beyond its slots. One slot in eight frees
/// within a tenth of a second.
const MAX_QUEUED_FIRST_ATTEMPT: u32 = 2;
/// Requests of retries, which have no further attempt, that may queue at a target beyond its slots.
const MAX_QUEUED_RETRY: u32 = 6;
/// Longest wait of a first attempt, in percent of its objective. A refusal counts as early within a
/// quarter.
const FIRST_ATTEMPT_WAIT_PERCENT: u64 = 20;
/// Longest wait of a retry, in percent of its objective.
const RETRY_WAIT_PERCENT: u64 = 150;
/// Share of a route's timeout, or of the largest known caller timeout, below which the caller
/// timeout of a request marks it as a retry, in percent.
const RETRY_TIMEOUT_PERCENT: u64 = 97;
/// Minimum retry delay: about the duration of one stream.
const RETRY_AFTER_MIN: Millis = Millis(400);
/// Jitter added to the retry delay.
const RETRY_AFTER_JITTER: Millis = Millis(1_000);

/// Time from the start of an instance until it has the manifest after a power loss: an election, and
/// its followers' first messages.
const STARTUP_TIME: Millis = Millis(1_100);
/// Jitter of retries after a refusal for want of a manifest. All instances serve these retries at
/// once, so a shorter jitter suffices than after a refusal by full targets.
const STARTUP_RETRY_JITTER: Millis = Millis(400);
/// Longest wait for a manifest, for a caller without a further attempt.
pub const MAX_MANIFEST_WAIT: Millis = Millis(2_500);
/// Kinds of requests tracked while no manifest is known.
const MAX_REQUEST_KINDS: usize = 64;

/// A request that needs a slot at a target.
#[value]
#[derive(Copy)]
pub struct SlotRequest {
    /// Time spent waiting for a slot so far.
    pub waited: Millis,
    /// Latency objective of the route.
    pub objective: Millis,
    /// Timeout of the route.
    pub timeout: Millis,
    /// Time that the caller allows for the request.
    pub caller_timeout: Millis,
}

impl SlotRequest {
    /// Whether the caller has been refused before. Its timeout is then visibly below the route's
    /// timeout.
    pub fn is_retry(&self) -> bool {
        self.caller_timeout.0 * 100 < self.timeout.0 * RETRY_TIMEOUT_PERCENT
    }

    /// Longest time that the request may wait for a slot.
    pub fn max_wait(&self) -> Millis {
        let percent = if self.is_retry() {
            RETRY_WAIT_PERCENT
        } else {
            FIRST_ATTEMPT_WAIT_PERCENT
        };
        Millis(self.objective.0 * percent / 100).min(Millis(self.caller_timeout.0 / 2))
    }
}

/// Admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to the target.
    Send,
    /// Wait for a slot.
    Wait,
    /// Refuse the request.
    Refuse,
}

/// Decides on a request, given its best target.
pub fn decide(request: &SlotRequest, best: Option<&Choice>) -> Decision {
    if let Some(best) = best {
        let max_queued = if request.is_retry() {
            MAX_QUEUED_RETRY
        } else {
            MAX_QUEUED_FIRST_ATTEMPT
        };
        if best.availability != Availability::Full || best.load.online < best.slots + max_queued {
            return Decision::Send;
        }
    }
    if request.waited < request.max_wait() {
        Decision::Wait
    } else {
        Decision::Refuse
    }
}

/// Retry delay of a refused caller. `draw` is uniform over all values.
pub fn retry_after(draw: u64) -> Millis {
    RETRY_AFTER_MIN + Millis(draw % RETRY_AFTER_JITTER.0)
}

/// Retry delay of a caller refused by an instance that has no manifest, `uptime` after its start.
pub fn retry_after_startup(uptime: Millis, draw: u64) -> Millis {
    let earliest = (STARTUP_TIME - uptime).max(RETRY_AFTER_MIN);
    earliest + Millis(draw % STARTUP_RETRY_JITTER.0)
}

/// Detects retries while no manifest, and thus no route timeout, is known.
#[derive(Debug, Default)]
pub struct RetryDetector {
    max_timeouts: HashMap<String, Millis>,
}

impl RetryDetector {
    /// Records the caller timeout of a request. Returns whether it is visibly below the largest one
    /// recorded for the same kind of request.
    pub fn is_retry(&mut self, kind: &str, caller_timeout: Millis) -> bool {
        if self.max_timeouts.len() >= MAX_REQUEST_KINDS && !self.max_timeouts.contains_key(kind) {
            return false;
        }
        let max_timeout = self.max_timeouts.entry(kind.to_owned()).or_default();
        *max_timeout = caller_timeout.max(*max_timeout);
        caller_timeout.0 * 100 < max_timeout.0 * RETRY_TIMEOUT_PERCENT
    }
}
