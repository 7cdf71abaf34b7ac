//! Admission control: sends a request to a target, lets it wait for a slot, or refuses it.
//!
//! A response after the objective is worth little, and queues at targets make every later response
//! late. A request therefore joins the queue of a full target only if its response is expected within
//! the objective, from the time that a slot at that target takes to become free. The others wait a
//! short time for a free slot and are then refused: early, so that a second attempt can be on time.
//! A retry has no further attempt and waits longer. Once it can no longer be on time it gets free slots
//! only, so that it makes no other request late.

use std::collections::HashMap;

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::{
    balance::{
        Availability,
        Choice, //
    },
    pace::PaceTimes, //
};

/// Most requests that may queue at a target beyond its slots. A target rejects requests beyond some
/// two dozen.
const MAX_QUEUED: u32 = 12;
/// Most credits that an instance keeps for later requests.
const MAX_QUEUE_CREDITS: u32 = 2;
/// Free slots that a target must have before it gets a request that is late in any case. Fewer are
/// taken by requests that can be on time.
const LATE_REQUEST_FREE_SLOTS: u32 = 2;
/// Share of the objective within which a response must be expected, in percent. The rest covers the
/// variance of the time until a slot is free, and loads that are known late.
const TARGET_RESPONSE_PERCENT: u64 = 75;
/// Shortest delay between two decisions on a first attempt.
const FIRST_ATTEMPT_RECHECK_DELAY: Millis = Millis(20);
/// Shortest delay between two decisions on a retry. Many of them wait at the same time, and long.
const RETRY_RECHECK_DELAY: Millis = Millis(100);
/// Weight of one sample in a moving average, as a divisor.
const SAMPLE_DIVISOR: u64 = 8;
/// Longest wait of a first attempt, in percent of its objective. A refusal counts as early within a
/// quarter.
const FIRST_ATTEMPT_WAIT_PERCENT: u64 = 20;
/// Longest wait of a retry, in percent of its objective. Callers abandon a stream that does not begin
/// within 2 s or more.
const RETRY_WAIT_PERCENT: u64 = 500;
/// Share of a route's timeout, or of the largest known caller timeout, below which the caller
/// timeout of a request marks it as a retry, in percent.
const RETRY_TIMEOUT_PERCENT: u64 = 97;
/// Minimum retry delay: about the duration of one stream.
const RETRY_AFTER_MIN: Millis = Millis(400);
/// Jitter added to the retry delay.
const RETRY_AFTER_JITTER: Millis = Millis(1_000);

/// Time from the start of an instance until it has the manifest after a power loss: an election, and
/// its followers' first messages.
const STARTUP_TIME: Millis = Millis(800);
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
        self.caller_timeout * 100 < self.timeout * RETRY_TIMEOUT_PERCENT
    }

    /// Time since its arrival within which the response must be expected to begin, if the request is
    /// to queue at a target.
    fn target_response(&self) -> Millis {
        percent_of(self.objective, TARGET_RESPONSE_PERCENT)
    }

    /// Longest time that the request may wait for a slot.
    pub fn max_wait(&self) -> Millis {
        let percent = if self.is_retry() {
            RETRY_WAIT_PERCENT
        } else {
            FIRST_ATTEMPT_WAIT_PERCENT
        };
        percent_of(self.objective, percent).min(Millis(self.caller_timeout.0 / 2))
    }

    /// Delay until a waiting request is decided on again, unless a slot that its instance held becomes
    /// free. `draw` is uniform over all values. Without jitter, the requests that wait at all instances
    /// would take a slot that becomes free at the same moment.
    pub fn recheck_delay(&self, draw: u64) -> Millis {
        let min = if self.is_retry() {
            RETRY_RECHECK_DELAY
        } else {
            FIRST_ATTEMPT_RECHECK_DELAY
        };
        min + Millis(draw % (min.0 * 2))
    }
}

fn percent_of(span: Millis, percent: u64) -> Millis {
    Millis((span * percent).0 / 100)
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

/// How long a service takes, as moving averages over requests that found a free slot.
#[value]
#[derive(Copy)]
pub struct ServiceTimes {
    /// Time from sending a request until its response begins.
    response: Millis,
    /// Time for which a request occupies its slot.
    occupancy: Millis,
    /// How both depend on the pace of the target, where targets report it.
    by_pace: PaceTimes,
}

impl ServiceTimes {
    /// Assumes that a request occupies its slot for three objectives, until samples say otherwise.
    pub fn assumed(objective: Millis) -> Self {
        Self {
            response: Millis(objective.0 / 4),
            occupancy: objective * 3,
            by_pace: PaceTimes::default(),
        }
    }

    /// Time for which a request occupies its slot.
    pub fn occupancy(&self) -> Millis {
        self.occupancy
    }

    /// Records a complete answer of a target with a known pace, in percent, in addition to
    /// [`Self::record`].
    pub fn record_pace(&mut self, pace: u32, response: Millis, occupancy: Millis) {
        self.by_pace.record(pace, response, occupancy);
    }

    /// How the times depend on the pace of the target.
    pub fn by_pace(&self) -> &PaceTimes {
        &self.by_pace
    }

    /// Times at a target with this pace, in percent.
    pub fn at_pace(mut self, pace: Option<u32>) -> Self {
        if let Some(pace) = pace.filter(|_| self.by_pace.is_known()) {
            self.response = self.by_pace.response_at(pace);
            self.occupancy = self.by_pace.occupancy_at(pace);
        }
        self
    }

    /// Expected time until the response begins at a target with a free slot.
    pub fn response(&self) -> Millis {
        self.response
    }

    /// Records a request that found a free slot.
    pub fn record(&mut self, response: Millis, occupancy: Millis) {
        let average = |old: Millis, sample: Millis| {
            let sum = old * (SAMPLE_DIVISOR - 1) + sample;
            Millis(sum.0.div_ceil(SAMPLE_DIVISOR))
        };
        self.response = average(self.response, response);
        self.occupancy = average(self.occupancy, occupancy);
    }

    /// Expected time until the response begins if the request is sent to a full target at which
    /// `queued` others wait.
    fn expected_response(&self, queued: u32, slots: u32) -> Millis {
        let position = u64::from(queued) + 1;
        self.response + Millis((self.occupancy * position).0 / u64::from(slots.max(1)))
    }
}

/// Decides on a request, given its best target. `has_credit` tells whether a request of this instance
/// has ended whose place in a queue no other request has taken; see [`QueueCredits`].
pub fn decide(
    request: &SlotRequest,
    best: Option<&Choice>,
    times: &ServiceTimes,
    has_credit: bool,
) -> Decision {
    if let Some(best) = best
        && can_send(request, best, times, has_credit)
    {
        return Decision::Send;
    }
    if request.waited < request.max_wait() {
        Decision::Wait
    } else {
        Decision::Refuse
    }
}

/// Whether a request could have been on time, and has waited for too long.
fn has_become_late(request: &SlotRequest, times: &ServiceTimes) -> bool {
    times.response <= request.objective && request.waited + times.response > request.objective
}

fn can_send(request: &SlotRequest, best: &Choice, times: &ServiceTimes, has_credit: bool) -> bool {
    match best.availability {
        Availability::Free => {
            let free_slots = LATE_REQUEST_FREE_SLOTS.min(best.slots);
            !has_become_late(request, times) || best.free_slots >= free_slots
        }
        Availability::AfterPreemption => true,
        Availability::Full => {
            let expected = request.waited + times.expected_response(best.queued, best.slots);
            has_credit && best.queued < MAX_QUEUED && expected <= request.target_response()
        }
    }
}

/// Right to queue at full targets.
///
/// While all targets are full, every instance sees each place in a queue that becomes free, and more
/// requests arrive for it than it can take before the instances have told each other. An instance
/// therefore queues only as many requests as have ended there. All instances together then keep as many
/// requests in progress as before.
#[derive(Debug, Default)]
pub struct QueueCredits(u32);

impl QueueCredits {
    /// Records that a request of this instance has ended.
    pub fn add(&mut self) {
        self.0 = (self.0 + 1).min(MAX_QUEUE_CREDITS);
    }

    /// Records that a request of this instance was sent.
    pub fn spend(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Whether a request may queue.
    pub fn is_available(&self) -> bool {
        self.0 > 0
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
        caller_timeout * 100 < *max_timeout * RETRY_TIMEOUT_PERCENT
    }
}
