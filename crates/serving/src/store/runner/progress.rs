//! What of an item's output has arrived, and how much of it the replicated state has.

use yuccaseam_base::Millis;

use crate::state::{
    Item,
    Output, //
};

/// What of an item's output has arrived.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The last event that the replicated state has, or will have once what was proposed is committed.
    pub(super) kept_id: Option<String>,
    /// The data of the events since then, a line each.
    pub(super) lines: Vec<String>,
    pub(super) last_id: Option<String>,
    /// When another run may start.
    pub(super) retry_at: Millis,
    /// Runs that the target itself called failed.
    pub(super) failures: u32,
}

impl From<&Item> for Progress {
    fn from(item: &Item) -> Self {
        Self {
            kept_id: item.last_id.clone(),
            last_id: item.last_id.clone(),
            failures: item.failed_runs,
            ..Self::default()
        }
    }
}

impl Progress {
    /// The output since it was last taken.
    pub(super) fn take_output(&mut self) -> Output {
        Output {
            after: std::mem::replace(&mut self.kept_id, self.last_id.clone()),
            lines: std::mem::take(&mut self.lines),
            last_id: self.last_id.clone(),
        }
    }
}
