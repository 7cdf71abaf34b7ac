//! Refusals of a batch item by targets.
//!
//! A target refuses an item while it is full, or because it can never run it, and does not say which. An item
//! that all targets refuse in turn yields to others and is tried less and less often, but is still owed.

use std::collections::BTreeSet;

use yuccaseam_base::Millis;

use crate::targets::TargetKey;

/// Pause of an item after a refusal, before the next target is tried.
pub const RETRY_BACKOFF: Millis = Millis(300);

/// Pause of an item that all targets have refused once. It doubles with each further time.
pub const FIRST_ROUND_BACKOFF: Millis = Millis(600);

/// Longest pause of an item that all targets have refused.
pub const MAX_ROUND_BACKOFF: Millis = Millis(9_600);

/// The targets that have refused an item since its last event.
#[derive(Debug, Default)]
pub struct Refusals {
    /// Targets that are not tried until all others have refused the item, too.
    by: BTreeSet<TargetKey>,
    /// How often all targets have refused it.
    rounds: u32,
}

impl Refusals {
    /// Records a refusal by a target. `targets` are those that the item could run at. Returns how long the
    /// item is to wait.
    pub fn record<I>(&mut self, by: TargetKey, targets: I) -> Millis
    where
        I: IntoIterator<Item = TargetKey>,
    {
        self.by.insert(by);
        if targets.into_iter().any(|target| !self.by.contains(&target)) {
            return RETRY_BACKOFF;
        }
        self.record_by_all()
    }

    /// Records that no target can run the item. Returns how long it is to wait.
    pub fn record_by_all(&mut self) -> Millis {
        self.by.clear();
        let doublings = self.rounds.min(MAX_ROUND_BACKOFF.0.ilog2());
        self.rounds += 1;
        let backoff = FIRST_ROUND_BACKOFF * (1 << doublings);
        backoff.min(MAX_ROUND_BACKOFF)
    }

    /// Whether a target has refused the item, and others have not yet.
    pub fn is_refused_by(&self, target: TargetKey) -> bool {
        self.by.contains(&target)
    }

    /// Whether all targets have refused the item, so that it yields to others.
    pub fn is_refused_by_all(&self) -> bool {
        self.rounds > 0
    }

    /// Whether this is the first refusal: the target may be full, and refuse other items too.
    pub fn is_first(&self) -> bool {
        self.rounds == 0 && self.by.len() <= 1
    }
}
