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
/// Cost of a slot that is held for twice the usual time.
const DOUBLE_OCCUPANCY_COST: u64 = 1_000;
/// Expected time for which a momentary pace lasts.
const MOMENTARY_TIME: Millis = Millis(600);

/// What a target's pace costs a request of one service.
#[value]
#[derive(Copy, Default)]
pub struct PaceCost {
    /// Cost of a pace of twice the usual time. Zero if targets report no pace.
    per_usual_pace: i64,
    /// Part of a request for which a momentary pace holds, in percent.
    momentary_percent: u32,
}

impl PaceCost {
    /// Cost for a service with these times.
    pub fn new(times: &PaceTimes) -> Self {
        if !times.is_known() {
            return Self::default();
        }
        let occupancy = times.usual_occupancy();
        let (usual, double) = (USUAL_PACE, USUAL_PACE * 2);
        let response = times.response_at(double) - times.response_at(usual);
        let held = times.occupancy_at(double) - occupancy;
        let cost = response * RESPONSE_COST_PER_MS
            + Millis((held * DOUBLE_OCCUPANCY_COST).0 / occupancy.0);
        let momentary = MOMENTARY_TIME * 100;
        let percent = momentary.0 / (MOMENTARY_TIME + occupancy).0;
        Self {
            per_usual_pace: i64::try_from(cost.0).unwrap_or(i64::MAX),
            momentary_percent: u32::try_from(percent).unwrap_or(100),
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

    /// Cost of a pace. Negative for a target that works faster than usual.
    pub fn of(&self, pace: u32) -> i64 {
        let change = i64::from(pace) - i64::from(USUAL_PACE);
        self.per_usual_pace.saturating_mul(change) / i64::from(USUAL_PACE)
    }
}
