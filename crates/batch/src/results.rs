//! Results that are not yet flushed.

use yuccaseam_base::{
    Millis,
    Reason,
    value, //
};
use yuccaseam_state::{
    FailedItem,
    ItemSet, //
};

use crate::Settings;

/// Unflushed results of one chunk.
#[value]
#[derive(Default)]
pub(crate) struct Results {
    lines: Vec<u8>,
    done: ItemSet,
    failed: Vec<FailedItem>,
    /// Time at which the first of them was added.
    oldest_at: Option<Millis>,
}

/// Results that are flushed as one blob.
pub(crate) struct PendingFlush {
    pub(crate) lines: Vec<u8>,
    pub(crate) done: ItemSet,
    pub(crate) failed: Vec<FailedItem>,
}

impl Results {
    pub(crate) fn is_empty(&self) -> bool {
        self.done.is_empty() && self.failed.is_empty()
    }

    pub(crate) fn add_done(&mut self, item: u16, line: &[u8], now: Millis) {
        self.lines.extend_from_slice(line);
        self.done.insert(item);
        self.oldest_at.get_or_insert(now);
    }

    pub(crate) fn add_failed(&mut self, item: u16, reason: Reason, line: &[u8], now: Millis) {
        self.lines.extend_from_slice(line);
        self.failed.push(FailedItem { item, reason });
        self.oldest_at.get_or_insert(now);
    }

    /// Whether the results have reached a size bound or the maximum delay.
    pub(crate) fn is_due(&self, cfg: &Settings, now: Millis) -> bool {
        let items = self.done.len() + self.failed.len() as u32;
        let is_overdue = self
            .oldest_at
            .is_some_and(|oldest_at| oldest_at + cfg.max_flush_delay <= now);
        items >= cfg.flush_items || self.lines.len() >= cfg.flush_bytes || is_overdue
    }

    /// Latest time for the flush.
    pub(crate) fn due_at(&self, cfg: &Settings) -> Option<Millis> {
        self.oldest_at
            .map(|oldest_at| oldest_at + cfg.max_flush_delay)
    }

    pub(crate) fn take(&mut self) -> PendingFlush {
        let Self {
            lines,
            done,
            failed,
            ..
        } = std::mem::take(self);
        PendingFlush {
            lines,
            done,
            failed,
        }
    }
}
