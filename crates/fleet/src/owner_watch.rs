//! Decides when the owner of a lease or a claim has ended.

use std::collections::BTreeMap;

use yuccaseam_base::{
    InstanceName,
    Millis, //
};

/// How long an owner that membership holds for dead must not have answered before its claims are
/// abandoned.
const MIN_UNRESPONSIVE_TIME: Millis = Millis::from_secs(5);

/// Observations of daemons that own leases or claims.
///
/// After a partition, membership may hold a daemon for dead that is reachable again, and a claim that it
/// made during the partition may be recorded only then. The daemon ends such a claim by itself, so the
/// claim must not be abandoned before the daemon has had time to answer.
#[derive(Debug, Default)]
pub struct OwnerWatch {
    unresponsive_since: BTreeMap<InstanceName, Millis>,
}

impl OwnerWatch {
    /// Records one query of an owner, with the incarnation in its reply, and returns whether the owner
    /// has ended: another incarnation runs, or the daemon is dead and does not answer.
    pub fn has_ended(
        &mut self,
        instance: &InstanceName,
        incarnation: u64,
        reply: Option<u64>,
        is_dead: bool,
        now: Millis,
    ) -> bool {
        if let Some(running) = reply {
            self.unresponsive_since.remove(instance);
            return running != incarnation;
        }
        let since = *self
            .unresponsive_since
            .entry(instance.clone())
            .or_insert(now);
        is_dead && now >= since + MIN_UNRESPONSIVE_TIME
    }

    /// Forgets daemons that own nothing any more, so that a later claim starts a new observation.
    pub fn retain<F>(&mut self, mut is_owner: F)
    where
        F: FnMut(&InstanceName) -> bool,
    {
        self.unresponsive_since
            .retain(|instance, _| is_owner(instance));
    }
}
