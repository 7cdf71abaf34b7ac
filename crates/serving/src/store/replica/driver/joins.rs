//! Log lines on stores that join the group: when each step of their replication began.

use std::collections::BTreeMap;

use yuccaseam_base::Millis;
use yuccaseam_quorum::{
    Core,
    DiskId,
    MemberRole,
    ReplicationStep, //
};

/// A learner, as this leader last saw it.
struct Join {
    since: Millis,
    step: Option<ReplicationStep>,
}

/// The learners of the group of this leader.
#[derive(Default)]
pub(super) struct Joins {
    learners: BTreeMap<DiskId, Join>,
}

impl Joins {
    /// Logs each new step of a learner, and its time since the learner was added.
    pub(super) fn observe(&mut self, core: &Core, now: Millis) {
        let group = core.membership();
        self.learners.retain(|id, join| {
            if group.is_voter(*id) {
                log::info!(disk:% = id, took_ms = (now - join.since).0; "learner became a voter");
            }
            group.contains(*id) && !group.is_voter(*id)
        });
        for (id, member) in group.iter() {
            if member.role != MemberRole::Learner {
                continue;
            }
            let join = self.learners.entry(id).or_insert(Join {
                since: now,
                step: None,
            });
            let step = core.replication_step(id);
            if step == join.step {
                continue;
            }
            join.step = step;
            log::info!(
                store:% = member.name, disk:% = id, step:? = step, took_ms = (now - join.since).0,
                snapshot_bytes = core.snapshot_bytes(),
                entries = core.last_index().0 - core.snapshot_index().0,
                link_bytes_per_ms = core.link_rate();
                "learner catches up");
        }
    }
}
