//! Settings of a gate.

use yuccaseam_base::{
    Millis,
    key,
    value, //
};

/// Trade-off between online tail latency and batch throughput, from 0 to 100.
///
/// At 0, batch takes no more than leaves the tail of online latency unchanged; at 100, batch takes
/// every free slot that the bound on the time between tokens allows.
#[key]
pub struct Balance(u8);

impl Balance {
    /// Favours online latency.
    pub const LATENCY: Self = Self(0);

    /// Favours batch throughput.
    pub const THROUGHPUT: Self = Self(100);

    /// Creates a balance of `percent`, capped at 100.
    pub const fn percent(percent: u8) -> Self {
        Self(if percent > 100 { 100 } else { percent })
    }

    /// Returns the balance in per cent.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// Interpolates linearly between the values at a balance of 0 and of 100.
    pub(crate) fn interpolate(self, latency: f64, throughput: f64) -> f64 {
        latency + (throughput - latency) * f64::from(self.0) / 100.0
    }
}

/// Settings of a gate.
#[value]
#[derive(Copy)]
pub struct Settings {
    /// Number of slots of the target.
    pub slots: u32,
    /// Bound on the number of waiting online requests.
    pub queue_limit: u32,
    /// Minimum number of slots that batch leaves free; recent arrivals can raise it.
    pub headroom: u32,
    /// Trade-off between online latency and batch throughput.
    pub balance: Balance,
    /// Bound on the time between tokens of online streams, in microseconds.
    pub step_bound_micros: u32,
    /// Time without a message from an entry after which its permits are released.
    pub permit_ttl: Millis,
    /// Prompt length, in tokens, from which a request counts as long.
    pub long_prompt: u32,
}

impl Settings {
    /// Returns the default settings for a target with this number of slots.
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
