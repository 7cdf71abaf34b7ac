//! Budgets of the links between regions.

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::request::Traffic;

/// Settings of the link from this region to another.
#[value]
#[derive(Copy)]
pub struct LinkSettings {
    /// The bytes that this entry may send and receive over the link, a second.
    pub bytes_per_sec: u64,
    /// The bytes that may be saved up.
    pub burst: u64,
}

/// A token bucket in bytes. Batch draws from its upper half only, so that online always finds the
/// lower half.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkBudget {
    cfg: LinkSettings,
    /// May be below zero by one request.
    level: i64,
    filled_at: Millis,
}

impl LinkBudget {
    pub(crate) fn new(cfg: LinkSettings, now: Millis) -> Self {
        Self {
            cfg,
            level: cfg.burst as i64,
            filled_at: now,
        }
    }

    /// Whether a request of this kind may cross now.
    pub(crate) fn allows(&mut self, traffic: Traffic, now: Millis) -> bool {
        self.fill(now);
        match traffic {
            Traffic::Online => self.level > 0,
            Traffic::Batch { may_leave } => may_leave && self.level > self.cfg.burst as i64 / 2,
        }
    }

    /// Takes what a request needs; the level may fall below zero, and then nothing crosses until
    /// it is filled again.
    pub(crate) fn take(&mut self, bytes: u32, now: Millis) {
        self.fill(now);
        self.level -= i64::from(bytes);
    }

    fn fill(&mut self, now: Millis) {
        let elapsed = now - self.filled_at;
        let bytes = self.cfg.bytes_per_sec.saturating_mul(elapsed.0) / 1_000;
        if bytes == 0 {
            return;
        }
        let burst = self.cfg.burst as i64;
        self.level = self.level.saturating_add_unsigned(bytes).min(burst);
        self.filled_at = now;
    }
}
