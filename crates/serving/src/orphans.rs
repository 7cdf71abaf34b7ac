//! Batch items of a leader that vanished.
//!
//! If the leader lost power, froze or was cut off, its targets do not see its connections end and go on
//! with its items. Until these are done, their slots are taken, and nobody can preempt them.

use std::collections::BTreeMap;

use yuccaseam_base::Millis;

use crate::targets::TargetKey;

/// Time after which all items of the former leader have ended: about the duration of one item.
const ORPHAN_LIFETIME: Millis = Millis(4_000);

/// Items of a former leader that may still hold slots.
#[derive(Debug, Default)]
pub struct OrphanedItems {
    counts: BTreeMap<TargetKey, u32>,
    since: Millis,
}

impl OrphanedItems {
    /// Creates the record of a leader that vanished at `since` with these items at each target.
    pub fn new<I>(counts: I, since: Millis) -> Self
    where
        I: IntoIterator<Item = (TargetKey, u32)>,
    {
        Self {
            counts: counts.into_iter().collect(),
            since,
        }
    }

    /// Items that are expected to run still, by target. They started at different times, so they end
    /// one after the other.
    pub fn running(&self, now: Millis) -> impl Iterator<Item = (TargetKey, u32)> {
        let remaining = self.since + ORPHAN_LIFETIME - now;
        self.counts.iter().filter_map(move |(key, count)| {
            let running = u64::from(*count) * remaining.0;
            let running = running.div_ceil(ORPHAN_LIFETIME.0);
            let running = u32::try_from(running).unwrap_or(u32::MAX);
            (running > 0).then_some((*key, running))
        })
    }
}
