//! Which daemon owns a target, among those that answer.

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

/// How long a daemon that did not answer is passed over. Membership finds out within this time
/// whether it is dead.
const PASSED_OVER: Millis = Millis(2_000);

/// Daemons that did not answer this one lately.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    down_until: Mutex<BTreeMap<InstanceName, Millis>>,
}

impl Peers {
    pub(crate) fn set_down(&self, peer: &InstanceName, now: Millis) {
        let until = now + PASSED_OVER;
        if self.lock().insert(peer.clone(), until).is_none() {
            log::warn!("{peer} does not answer: others own its targets now");
        }
    }

    /// The owner of a target: the daemon with the largest hash of both names, so that the fall of
    /// one daemon moves its own targets only. If no candidate answers, this daemon owns it.
    pub(crate) fn owner_of(
        &self,
        target: &TargetName,
        own: &InstanceName,
        candidates: &[InstanceName],
        now: Millis,
    ) -> InstanceName {
        let mut down = self.lock();
        down.retain(|_, until| now < *until);
        let up = candidates
            .iter()
            .filter(|&peer| peer == own || !down.contains_key(peer));
        let owner = up.max_by_key(|peer| weight(target, peer));
        owner.unwrap_or(own).clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceName, Millis>> {
        self.down_until
            .lock()
            .expect("no thread panics with the lock")
    }
}

fn weight(target: &TargetName, peer: &InstanceName) -> u64 {
    let seed = xxh3_64_with_seed(peer.as_str().as_bytes(), 0);
    xxh3_64_with_seed(target.as_str().as_bytes(), seed)
}
