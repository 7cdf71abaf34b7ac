//! Which daemon owns a target, among those that answer.

use std::{
    collections::BTreeSet,
    sync::Mutex, //
};

use xxhash_rust::xxh3::xxh3_64_with_seed;
use yuccaseam_base::{
    InstanceName,
    TargetName, //
};

/// Daemons that did not answer lately.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    down: Mutex<BTreeSet<InstanceName>>,
}

impl Peers {
    pub(crate) fn set_down(&self, peer: &InstanceName) {
        if self.lock().insert(peer.clone()) {
            log::warn!("{peer} does not answer: others own its targets now");
        }
    }

    pub(crate) fn set_up(&self, peer: &InstanceName) {
        if self.lock().remove(peer) {
            log::info!("{peer} answers again");
        }
    }

    /// The owner of a target: the daemon with the largest hash of both names, so that the fall of
    /// one daemon moves its own targets only.
    pub(crate) fn owner_of(
        &self,
        target: &TargetName,
        own: &InstanceName,
        others: &[InstanceName],
    ) -> InstanceName {
        let down = self.lock();
        let up = others.iter().filter(|peer| !down.contains(*peer));
        let owner = up.chain([own]).max_by_key(|peer| weight(target, peer));
        owner.unwrap_or(own).clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeSet<InstanceName>> {
        self.down.lock().expect("no thread panics with the lock")
    }
}

fn weight(target: &TargetName, peer: &InstanceName) -> u64 {
    let seed = xxh3_64_with_seed(peer.as_str().as_bytes(), 0);
    xxh3_64_with_seed(target.as_str().as_bytes(), seed)
}
