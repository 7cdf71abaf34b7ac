//! Selection of the daemon that owns a target.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        MutexGuard, //
    },
};

use xxhash_rust::xxh3::xxh3_64_with_seed;
use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName, //
};

/// How long a daemon that did not reply is skipped. Membership determines within this time whether
/// it is dead.
const UNRESPONSIVE_COOLDOWN: Millis = Millis(2_000);

/// Selects the owners of targets, skipping daemons that recently did not reply.
#[derive(Debug, Default)]
pub(crate) struct OwnerSelector {
    skipped_until: Mutex<BTreeMap<InstanceName, Millis>>,
}

impl OwnerSelector {
    pub(crate) fn mark_unresponsive(&self, peer: &InstanceName, now: Millis) {
        let until = now + UNRESPONSIVE_COOLDOWN;
        if self.lock().insert(peer.clone(), until).is_none() {
            log::warn!("{peer} did not reply; reassigning its targets to other owners");
        }
    }

    /// The owner of a target by rendezvous hashing: the daemon with the largest hash of both names,
    /// so that the failure of one daemon moves only its own targets. If every candidate is
    /// unresponsive, this daemon owns the target.
    pub(crate) fn owner_of(
        &self,
        target: &TargetName,
        own: &InstanceName,
        candidates: &[InstanceName],
        now: Millis,
    ) -> InstanceName {
        let mut skipped = self.lock();
        skipped.retain(|_, until| now < *until);
        let responsive = candidates
            .iter()
            .filter(|&peer| peer == own || !skipped.contains_key(peer));
        let owner = responsive.max_by_key(|peer| weight(target, peer));
        owner.unwrap_or(own).clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceName, Millis>> {
        self.skipped_until
            .lock()
            .expect("no thread panics with the lock")
    }
}

fn weight(target: &TargetName, peer: &InstanceName) -> u64 {
    let seed = xxh3_64_with_seed(peer.as_str().as_bytes(), 0);
    xxh3_64_with_seed(target.as_str().as_bytes(), seed)
}
