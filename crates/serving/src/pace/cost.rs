//! Cost of a target's pace, on the scale of the balancer.

use yuccaseam_base::{
    Millis,
    value, //
};

use super::{
    PaceTimes,
    USUAL_PACE, //
};

/// Cost of 1 ms until the first event: a target of another region costs 2,400 and adds 40 ms.
const RESPONSE_COST_PER_MS: u64 = 60;
/// Part of the objective within which a first event costs nothing, in percent. The rest covers the link,
/// a wait for a slot, and requests that take longer than most.
const FREE_RESPONSE_PERCENT: u64 = 25;
/// Expected time for which a momentary pace lasts.
const MOMENTARY_TIME: Millis = Millis(600);

/// What a target's pace costs a request of one service.
#[value]
#[derive(Copy, Default)]
pub struct PaceCost {
    /// Cost of a pace that is slower by the usual time. Zero if targets report no pace.
    per_usual_pace: i64,
    /// Slowest pace that costs nothing, in percent.
    free_pace: i64,
    /// Part of a request for which a momentary pace holds, in percent.
    momentary_percent: u32,
}

impl PaceCost {
    /// Cost for a service with these times, and a route with this objective.
    pub fn new(times: &PaceTimes, objective: Millis) -> Self {
        if !times.is_known() {
            return Self::default();
        }
        let usual = times.response_at(USUAL_PACE);
        let change = (times.response_at(USUAL_PACE * 2) - usual).0 as i64;
        let free = (objective * FREE_RESPONSE_PERCENT).0 / 100;
        let spare = free as i64 - usual.0 as i64;
        let percent = i64::from(USUAL_PACE);
        let occupancy = times.usual_occupancy();
        let momentary = (MOMENTARY_TIME * 100).0 / (MOMENTARY_TIME + occupancy).0;
        Self {
            per_usual_pace: change * RESPONSE_COST_PER_MS as i64,
            free_pace: percent + (spare * percent).checked_div(change).unwrap_or(0),
            momentary_percent: u32::try_from(momentary).unwrap_or(100),
        }
    }

    /// Whether the pace of targets is compared.
    pub fn is_known(&self) -> bool {
        self.per_usual_pace > 0
    }

    /// Part of a request for which a momentary pace holds, in percent.
    pub fn momentary_percent(&self) -> u32 {
        self.momentary_percent
    }

    /// Cost of a pace.
    pub fn of(&self, pace: u32) -> i64 {
        let slower = (i64::from(pace) - self.free_pace).max(0);
        self.per_usual_pace.saturating_mul(slower) / i64::from(USUAL_PACE)
    }
}
