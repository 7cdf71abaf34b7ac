//! Waves of callers: how many slots callers will want back from batch items.
//!
//! Callers come in waves on many deployments: a few seconds of little demand, then a few of much. An
//! item that starts between two waves runs on into the next one, and is cut there if it then holds a
//! slot that a caller needs. [`CallerWaves`] therefore remembers the peak of the last waves, and
//! [`ItemRoom`] lets only as many items start as can keep their slots through the next one.
//!
//! # Invariants
//!
//! - Without waves in the last [`MEMORY`], no item waits for a wave.
//! - Room is never larger than the slots that nothing holds.

use std::collections::VecDeque;

use yuccaseam_base::{
    Millis,
    value, //
};

/// How long demand is remembered: two waves that are a few seconds long.
pub const MEMORY: Millis = Millis(12_000);
/// Interval between two samples.
pub const SAMPLE_INTERVAL: Millis = Millis(100);
/// Demand is in waves if its peak is at least this many times its least sample.
const MIN_WAVE_RATIO: u32 = 2;
/// Part of the slots that a peak must reach, as a divisor. A smaller one leaves room for any item.
const MIN_PEAK_DIVISOR: u32 = 4;

/// Demand of callers on one service, over the last [`MEMORY`].
#[derive(Debug, Default)]
pub struct CallerWaves {
    samples: VecDeque<(Millis, u32)>,
}

impl CallerWaves {
    /// Records the number of callers' requests in progress. Samples closer than [`SAMPLE_INTERVAL`]
    /// are merged.
    pub fn record(&mut self, now: Millis, callers: u32) {
        while let Some((at, _)) = self.samples.front()
            && *at + MEMORY < now
        {
            self.samples.pop_front();
        }
        match self.samples.back_mut() {
            Some((at, last)) if now < *at + SAMPLE_INTERVAL => *last = callers.max(*last),
            _ => self.samples.push_back((now, callers)),
        }
    }

    /// Requests of callers at the peak of the last waves, on a service with `slots`. `None` if demand
    /// is steady or leaves room for any item.
    pub fn peak(&self, slots: u32) -> Option<u32> {
        let callers = || self.samples.iter().map(|(_, callers)| *callers);
        let (peak, trough) = (callers().max()?, callers().min()?);
        let is_wave = peak >= trough.saturating_mul(MIN_WAVE_RATIO);
        (is_wave && peak * MIN_PEAK_DIVISOR >= slots).then_some(peak)
    }
}

/// Slots of a service, and who holds them.
#[value]
#[derive(Copy, Default)]
pub struct SlotUse {
    /// Slots of all targets that take items.
    pub slots: u32,
    /// Slots held back for callers at these targets.
    pub reserved: u32,
    /// Requests of callers there.
    pub callers: u32,
    /// Items that run there.
    pub items: u32,
}

/// How many items may start so that they keep their slots through the next wave.
#[value]
#[derive(Copy)]
pub struct ItemRoom(u32);

impl ItemRoom {
    /// Room beside callers whose last waves had `peak` requests.
    pub fn beside(peak: u32, slots: &SlotUse) -> Self {
        let callers = peak.max(slots.callers);
        let taken = callers + slots.items + slots.reserved;
        Self(slots.slots.saturating_sub(taken))
    }

    /// Takes the room of one item; false if there is none.
    pub fn take(&mut self) -> bool {
        let has_room = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        has_room
    }
}
