//! Results that wait to be flushed.

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

/// Results of one chunk that are not flushed yet.
#[value]
#[derive(Default)]
pub(crate) struct Results {
    lines: Vec<u8>,
    done: ItemSet,
    failed: Vec<FailedItem>,
    /// When the first of them came.
    since: Option<Millis>,
}

/// Results that are flushed together.
pub(crate) struct Batch {
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
        self.since.get_or_insert(now);
    }

    pub(crate) fn add_failed(&mut self, item: u16, reason: Reason, line: &[u8], now: Millis) {
        self.lines.extend_from_slice(line);
        self.failed.push(FailedItem { item, reason });
        self.since.get_or_insert(now);
    }

    /// Whether there is enough, or something has waited long enough.
    pub(crate) fn is_due(&self, cfg: &Settings, now: Millis) -> bool {
        let items = self.done.len() + self.failed.len() as u32;
        let old = self
            .since
            .is_some_and(|since| since + cfg.flush_after <= now);
        items >= cfg.flush_items || self.lines.len() >= cfg.flush_bytes || old
    }

    /// When the results are due at the latest.
    pub(crate) fn due_at(&self, cfg: &Settings) -> Option<Millis> {
        self.since.map(|since| since + cfg.flush_after)
    }

    pub(crate) fn take(&mut self) -> Batch {
        let Self {
            lines,
            done,
            failed,
            ..
        } = std::mem::take(self);
        Batch {
            lines,
            done,
            failed,
        }
    }
}
