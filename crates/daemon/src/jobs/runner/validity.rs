//! How long the chunk leases of this daemon hold by its own clock.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use yuccaseam_base::Millis;

/// When the chunk leases of this daemon were last renewed, on its monotonic clock.
///
/// The replicated state ends the leases of a daemon that it did not hear of for a while. A daemon
/// that was frozen or cut off finds out here, before it hears so, and starts nothing more.
#[derive(Default)]
pub(super) struct Validity {
    renewed_at: AtomicU64,
}

impl Validity {
    /// The leases were renewed by a request that was sent at `asked_at`.
    pub(super) fn renewed(&self, asked_at: Millis) {
        self.renewed_at.fetch_max(asked_at.0, Ordering::SeqCst);
    }

    /// Whether the leases have ended. Their length is that of the configuration in force now, by
    /// which the replicated state ends them too.
    pub(super) fn is_over(&self, lease: Millis, now: Millis) -> bool {
        now >= Millis(self.renewed_at.load(Ordering::SeqCst)) + lease
    }
}
