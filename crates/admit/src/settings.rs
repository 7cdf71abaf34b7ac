//! Settings of a gate.

use yuccaseam_base::{
    Millis,
    key,
    value, //
};

/// The trade between online tail latency and batch throughput, from 0 to 100.
///
/// At 0 batch takes no more than what leaves the tail of online latency as it is; at 100 batch
/// takes every free slot that the bound on the time between tokens allows.
#[key]
pub struct Balance(u8);

impl Balance {
    /// The side of online latency.
    pub const LATENCY: Self = Self(0);

    /// The side of batch throughput.
    pub const THROUGHPUT: Self = Self(100);

    /// A balance of this many per cent; larger values count as 100.
    pub const fn percent(percent: u8) -> Self {
        Self(if percent > 100 { 100 } else { percent })
    }

    /// The balance in per cent.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// The value at this balance on the line from `latency` to `throughput`.
    pub(crate) fn between(self, latency: f64, throughput: f64) -> f64 {
        latency + (throughput - latency) * f64::from(self.0) / 100.0
    }
}

/// Settings of a gate.
#[value]
#[derive(Copy)]
pub struct Settings {
    /// The slots of the target.
    pub slots: u32,
    /// How many online requests may wait.
    pub queue_limit: u32,
    /// Slots that batch always leaves free, besides those that recent arrivals ask for.
    pub headroom: u32,
    /// The trade between online latency and batch throughput.
    pub balance: Balance,
    /// The time between tokens that online streams are promised, in microseconds.
    pub step_bound_micros: u32,
    /// How long an entry may be silent before its permits are taken back.
    pub permit_ttl: Millis,
    /// The prompt length, in tokens, from which a request counts as long.
    pub long_prompt: u32,
}

impl Settings {
    /// The defaults for a target of this many slots.
    pub const fn for_slots(slots: u32) -> Self {
        Self {
            slots,
            queue_limit: slots * 8,
            headroom: 0,
            balance: Balance::percent(50),
            step_bound_micros: 39_000,
            permit_ttl: Millis(3_000),
            long_prompt: 2_048,
        }
    }
}
