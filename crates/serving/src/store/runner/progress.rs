//! Output of an item that has been received, and how much of it is in the replicated state.

use yuccaseam_base::Millis;

use crate::{
    refusals::Refusals,
    state::{
        Item,
        Output, //
    }, //
};

/// Received output of an item.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Id of the last event in the replicated state, assuming that pending proposals are committed.
    pub(super) persisted_id: Option<String>,
    /// Data of the events since then, one line per event.
    pub(super) lines: Vec<String>,
    pub(super) last_id: Option<String>,
    /// Size of the data of all events.
    pub(super) bytes: usize,
    /// Earliest start of the next run. The maximum if no run is to follow.
    pub(super) retry_at: Millis,
    /// Number of runs that a target reported as failed.
    pub(super) failures: u32,
    /// Refusals since the last event.
    pub(super) refusals: Refusals,
    /// Time that the runs of this leader took together.
    pub(super) ran: Millis,
}

impl From<&Item> for Progress {
    fn from(item: &Item) -> Self {
        Self {
            persisted_id: item.last_id.clone(),
            last_id: item.last_id.clone(),
            bytes: item.output_bytes(),
            failures: item.failed_runs,
            ..Self::default()
        }
    }
}

impl Progress {
    /// Forgets all output, so that the item runs again from its beginning.
    pub(super) fn discard_output(&mut self) {
        self.persisted_id = None;
        self.lines = Vec::new();
        self.last_id = None;
        self.bytes = 0;
    }

    /// Takes the output received since the last call.
    pub(super) fn take_output(&mut self) -> Output {
        Output {
            after: std::mem::replace(&mut self.persisted_id, self.last_id.clone()),
            lines: std::mem::take(&mut self.lines),
            last_id: self.last_id.clone(),
        }
    }
}
