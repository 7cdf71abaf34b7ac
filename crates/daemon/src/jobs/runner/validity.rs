//! Expiry of the chunk leases of this daemon by its own clock.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use yuccaseam_base::Millis;

/// Time of the last renewal of this daemon's chunk leases, on its monotonic clock.
///
/// The replicated state expires the leases of a daemon that does not renew them. A daemon that was
/// frozen or disconnected detects this here, before it receives a reply that says so, and starts
/// no more items.
#[derive(Default)]
pub(super) struct LeaseValidity {
    renewed_at: AtomicU64,
}

impl LeaseValidity {
    /// Records a renewal, or a new lease, by a request that was sent at `sent_at`.
    pub(super) fn record_renewal(&self, sent_at: Millis) {
        self.renewed_at.fetch_max(sent_at.0, Ordering::SeqCst);
    }

    /// Whether the leases have expired. Their duration is that of the configuration in force now,
    /// which the replicated state uses too.
    pub(super) fn is_expired(&self, lease_duration: Millis, now: Millis) -> bool {
        now >= Millis(self.renewed_at.load(Ordering::SeqCst)) + lease_duration
    }
}
