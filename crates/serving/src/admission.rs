//! Who is sent to a target, who waits, and who is refused.
//!
//! A stream occupies its slot for most of a second, so that a full fleet frees a slot every few
//! milliseconds. A short wait therefore finds one. Beyond that a caller is better told at once when
//! to come back: an answer after the objective is worth little, and one that is refused early can
//! still be served on time at its second attempt. A caller that came back has no attempt left and
//! waits longer.

use std::collections::HashMap;

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::balance::{
    Choice,
    Room, //
};

/// Requests that may queue at a target beyond its slots: one slot in eight frees within a tenth of
/// a second.
const QUEUED_AT_TARGET: u32 = 2;
/// The same for a caller that has no attempt left.
const QUEUED_AT_TARGET_LAST: u32 = 6;
/// The share of the objective that a first attempt waits, in percent. A refusal counts as early
/// within a quarter.
const FIRST_WAIT_PERCENT: u64 = 20;
/// The share of the objective that a last attempt waits, in percent.
const LAST_WAIT_PERCENT: u64 = 150;
/// The share of a route's timeout below which a request's time shows that it was refused before, in
/// percent.
const CAME_BACK_PERCENT: u64 = 97;
/// The earliest time to come back: about a run of one stream.
const COME_BACK_MIN: Millis = Millis(400);
/// How far returns are spread.
const COME_BACK_SPREAD: Millis = Millis(1_000);

/// How long an instance that starts takes to hear of the manifest after a loss of power: an election,
/// and its followers' first messages.
const START: Millis = Millis(1_100);
/// How far the returns of callers are spread that met an instance without a manifest. They are served
/// by all instances at once, so that a shorter time does than for those that met full targets.
const START_SPREAD: Millis = Millis(400);
/// How long a caller waits for the manifest that has no attempt left.
pub const MANIFEST_WAIT: Millis = Millis(2_500);
/// Kinds of requests that are told apart before a manifest is known.
const MAX_KINDS: usize = 64;

/// What is known of a request that asks for a slot.
#[value]
#[derive(Copy)]
pub struct Asking {
    /// How long it has waited here.
    pub waited: Millis,
    /// The time within which it should be served.
    pub objective: Millis,
    /// The longest that it may take.
    pub timeout: Millis,
    /// What its caller gave it.
    pub patience: Millis,
}

impl Asking {
    /// Whether its caller was refused before and came back.
    pub fn came_back(&self) -> bool {
        self.patience.0 * 100 < self.timeout.0 * CAME_BACK_PERCENT
    }

    /// How long it may wait for a slot.
    pub fn max_wait(&self) -> Millis {
        let percent = if self.came_back() {
            LAST_WAIT_PERCENT
        } else {
            FIRST_WAIT_PERCENT
        };
        Millis(self.objective.0 * percent / 100).min(Millis(self.patience.0 / 2))
    }
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes to the target.
    Send,
    /// It waits for a slot.
    Wait,
    /// It is refused.
    Refuse,
}

/// Decides on a request whose best target is given.
pub fn decide(asking: &Asking, best: Option<&Choice>) -> Decision {
    if let Some(best) = best {
        let queued = if asking.came_back() {
            QUEUED_AT_TARGET_LAST
        } else {
            QUEUED_AT_TARGET
        };
        if best.room != Room::Full || best.load.online < best.slots + queued {
            return Decision::Send;
        }
    }
    if asking.waited < asking.max_wait() {
        Decision::Wait
    } else {
        Decision::Refuse
    }
}

/// When a refused caller is to come back. `draw` is uniform over all values.
pub fn come_back_after(draw: u64) -> Millis {
    COME_BACK_MIN + Millis(draw % COME_BACK_SPREAD.0)
}

/// When a caller is to come back that met an instance without a manifest, `up_for` after its start.
pub fn come_back_after_start(up_for: Millis, draw: u64) -> Millis {
    let soonest = (START - up_for).max(COME_BACK_MIN);
    soonest + Millis(draw % START_SPREAD.0)
}

/// Tells callers that came back from others while no manifest says how patient callers are at first.
#[derive(Debug, Default)]
pub struct Patience {
    longest: HashMap<String, Millis>,
}

impl Patience {
    /// Whether a caller is less patient than another one was that sent the same kind of request.
    pub fn came_back(&mut self, kind: &str, patience: Millis) -> bool {
        if self.longest.len() >= MAX_KINDS && !self.longest.contains_key(kind) {
            return false;
        }
        let longest = self.longest.entry(kind.to_owned()).or_default();
        *longest = patience.max(*longest);
        patience.0 * 100 < longest.0 * CAME_BACK_PERCENT
    }
}
