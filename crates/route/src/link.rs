//! Byte budgets of the links between regions.

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::request::Traffic;

/// Budget of the link from this region to another, for one entry.
#[value]
#[derive(Copy)]
pub struct LinkSettings {
    /// Rate of bytes sent and received together, per second.
    pub bytes_per_sec: u64,
    /// Maximum number of accumulated bytes.
    pub burst_bytes: u64,
}

/// Token bucket in bytes. Batch uses only its upper half, so that the lower half is reserved for
/// online requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkBudget {
    cfg: LinkSettings,
    /// Bytes available. One request can take the level below zero.
    level: i64,
    refilled_at: Millis,
}

impl LinkBudget {
    pub(crate) fn new(cfg: LinkSettings, now: Millis) -> Self {
        Self {
            cfg,
            level: cfg.burst_bytes as i64,
            refilled_at: now,
        }
    }

    /// Whether a request of this kind can cross the link now.
    pub(crate) fn allows(&mut self, traffic: Traffic, now: Millis) -> bool {
        self.refill(now);
        match traffic {
            Traffic::Online => self.level > 0,
            Traffic::Batch { can_leave_region } => {
                can_leave_region && self.level > self.cfg.burst_bytes as i64 / 2
            }
        }
    }

    /// Takes the bytes of a request. If the level falls below zero, no request can cross until it
    /// is refilled.
    pub(crate) fn charge(&mut self, bytes: u32, now: Millis) {
        self.refill(now);
        self.level -= i64::from(bytes);
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now - self.refilled_at;
        let bytes = self.cfg.bytes_per_sec.saturating_mul(elapsed.0) / 1_000;
        if bytes == 0 {
            return;
        }
        let burst_bytes = self.cfg.burst_bytes as i64;
        self.level = self.level.saturating_add_unsigned(bytes).min(burst_bytes);
        self.refilled_at = now;
    }
}
