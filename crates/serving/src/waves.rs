//! Waves of callers: when and how many slots callers will want back from batch items.
//!
//! Callers come in waves on many deployments: a few seconds of little demand, a trough, then a few of
//! much. An item that starts in a trough runs on into the next wave, and is cut there if it holds a slot
//! that a caller needs. [`CallerWaves`] therefore remembers the peak of the last waves and the length of
//! the last troughs. An item that can wait starts if it keeps its slot through the next wave, if it ends
//! before that, or early enough in a trough that little of the trough is lost.
//!
//! # Invariants
//!
//! - Without waves in the last [`MEMORY`], no item waits for a trough.
//! - Room is never larger than the slots that nothing holds.

use std::collections::VecDeque;

use yuccaseam_base::{
    Millis,
    value, //
};

/// How long demand is remembered: two waves and the troughs between them.
pub const MEMORY: Millis = Millis(12_000);
/// Interval between two samples.
pub const SAMPLE_INTERVAL: Millis = Millis(100);
/// Demand is in waves if its peak is at least this many times its least sample.
const MIN_WAVE_RATIO: u32 = 2;
/// Part of the slots that a peak must reach, as a divisor. A smaller one leaves room for any item.
const MIN_PEAK_DIVISOR: u32 = 4;
/// Demand from which on a wave has begun, in percent of the way from the trough to the peak.
const WAVE_BEGIN_PERCENT: u32 = 50;
/// Demand below which a wave has ended, in percent of the way from the trough to the peak.
const WAVE_END_PERCENT: u32 = 40;
/// Troughs whose length is remembered.
const MAX_TROUGHS: usize = 3;
/// Troughs that must have been seen before the next one is expected to be as long.
const MIN_TROUGHS: usize = 1;
/// Part of a trough that must be left for an item that does not end in it, as a divisor.
const MIN_TROUGH_LEFT_DIVISOR: u64 = 2;

/// What callers do at the moment.
#[value]
#[derive(Copy)]
pub enum Phase {
    /// Their demand is about that of the peak.
    Wave,
    /// Their demand is little, and a wave follows.
    Trough {
        /// Expected time until the next wave.
        left: Millis,
        /// Expected length of the whole trough.
        length: Millis,
    },
}

/// Waves that are expected to go on as they were.
#[value]
#[derive(Copy)]
pub struct Outlook {
    /// Requests of callers at the peak.
    pub peak: u32,
    /// Where in a wave callers are.
    pub phase: Phase,
}

impl Outlook {
    /// Whether an item may start that runs for `remaining` still and will not keep its slot through the next
    /// wave.
    pub fn admits(&self, remaining: Millis) -> bool {
        match self.phase {
            Phase::Wave => false,
            Phase::Trough { left, length } => {
                remaining <= left || left * MIN_TROUGH_LEFT_DIVISOR >= length
            }
        }
    }
}

/// Progress of the waves seen so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Progress {
    /// No waves.
    #[default]
    Steady,
    Wave,
    /// Since when, unless it was under way when waves were first seen.
    Trough(Option<Millis>),
}

/// Demand of callers on one service, over the last [`MEMORY`].
#[derive(Debug, Default)]
pub struct CallerWaves {
    samples: VecDeque<(Millis, u32)>,
    progress: Progress,
    /// Lengths of the last troughs.
    troughs: VecDeque<Millis>,
}

impl CallerWaves {
    /// Records the number of callers' requests in progress. Samples closer than [`SAMPLE_INTERVAL`]
    /// are merged. Returns whether a wave has begun or ended.
    pub fn record(&mut self, now: Millis, callers: u32) -> bool {
        while let Some((at, _)) = self.samples.front()
            && *at + MEMORY < now
        {
            self.samples.pop_front();
        }
        match self.samples.back_mut() {
            Some((at, last)) if now < *at + SAMPLE_INTERVAL => *last = callers.max(*last),
            _ => self.samples.push_back((now, callers)),
        }
        let was_in_wave = self.is_in_wave();
        self.advance(now, callers);
        was_in_wave != self.is_in_wave()
    }

    /// Whether a wave is under way.
    pub fn is_in_wave(&self) -> bool {
        self.progress == Progress::Wave
    }

    fn advance(&mut self, now: Millis, callers: u32) {
        let Some((trough, peak)) = self.range() else {
            self.progress = Progress::Steady;
            self.troughs.clear();
            return;
        };
        let level = |percent| trough + (peak - trough) * percent / 100;
        self.progress = match self.progress {
            Progress::Steady if callers > level(WAVE_BEGIN_PERCENT) => Progress::Wave,
            Progress::Steady => Progress::Trough(None),
            Progress::Wave if callers < level(WAVE_END_PERCENT) => Progress::Trough(Some(now)),
            Progress::Trough(since) if callers > level(WAVE_BEGIN_PERCENT) => {
                if let Some(since) = since {
                    self.troughs.truncate(MAX_TROUGHS - 1);
                    self.troughs.push_front(now - since);
                }
                Progress::Wave
            }
            unchanged => unchanged,
        };
    }

    /// Least and largest demand, if it is in waves.
    fn range(&self) -> Option<(u32, u32)> {
        let callers = || self.samples.iter().map(|(_, callers)| *callers);
        let (trough, peak) = (callers().min()?, callers().max()?);
        let is_wave = peak > 0 && peak >= trough.saturating_mul(MIN_WAVE_RATIO);
        is_wave.then_some((trough, peak))
    }

    /// What to expect on a service with `slots`. `None` if demand is steady, leaves room for any item, or
    /// is not known long enough.
    pub fn outlook(&self, slots: u32, now: Millis) -> Option<Outlook> {
        let (_, peak) = self.range()?;
        if peak * MIN_PEAK_DIVISOR < slots || self.troughs.len() < MIN_TROUGHS {
            return None;
        }
        let length = self.troughs.iter().copied().min()?;
        let phase = match self.progress {
            Progress::Steady => return None,
            Progress::Wave => Phase::Wave,
            Progress::Trough(since) => {
                let passed = since.map_or(Millis::ZERO, |since| now - since);
                // A trough that is longer than the ones before it may last.
                let length = length.max(passed);
                Phase::Trough {
                    left: length - passed,
                    length,
                }
            }
        };
        Some(Outlook { peak, phase })
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
