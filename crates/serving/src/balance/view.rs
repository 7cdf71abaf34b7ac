//! What an instance knows of one target's load.

use yuccaseam_base::Millis;

use crate::{
    pace::{
        PaceCost,
        TargetPace, //
    },
    targets::TargetRecord,
};

use super::{
    Availability,
    Load, //
};

/// How far the known load of a target can be relied on.
#[derive(Clone, Copy)]
pub(super) struct Accuracy {
    /// Whether the leader preempts batch items for callers.
    pub(super) preemptible: bool,
    /// Requests that others may have sent to the target in the meantime.
    pub(super) margin: u32,
}

/// Load and pace of one target, as this instance knows them.
#[derive(Debug)]
pub(super) struct View {
    pub(super) record: TargetRecord,
    /// Load caused by entries that are not neighbours and by the runner, as last sent by the
    /// leader.
    pub(super) remote: Load,
    /// Requests of the neighbours.
    pub(super) neighbours: u32,
    pub(super) local: u32,
    pub(super) pace: TargetPace,
}

impl View {
    pub(super) fn load(&self) -> Load {
        Load {
            online: self.remote.online + self.neighbours + self.local,
            batch: self.remote.batch,
        }
    }

    /// Requests that hold or wait for slots and cannot be preempted.
    pub(super) fn fixed_load(&self, accuracy: Accuracy) -> u32 {
        let load = self.load();
        let batch = if accuracy.preemptible { 0 } else { load.batch };
        load.online + batch + accuracy.margin
    }

    pub(super) fn free_slots(&self, accuracy: Accuracy) -> u32 {
        let load = self.load();
        let taken = load.online + load.batch + accuracy.margin;
        self.record.slots.saturating_sub(taken)
    }

    /// Expected pace of a request. `None` if the pace is not compared.
    pub(super) fn expected_pace(&self, cost: &PaceCost, now: Millis) -> Option<u32> {
        if cost.is_known() {
            self.pace.expected(cost.momentary_percent(), now)
        } else {
            None
        }
    }

    pub(super) fn availability(&self, accuracy: Accuracy) -> Availability {
        if self.free_slots(accuracy) > 0 {
            Availability::Free
        } else if self.fixed_load(accuracy) < self.record.slots {
            Availability::AfterPreemption
        } else {
            Availability::Full
        }
    }
}
