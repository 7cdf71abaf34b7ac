//! Settings of a runner.

use yuccaseam_admit::BackoffSettings;
use yuccaseam_base::{
    Millis,
    value, //
};

/// Configuration of a [`Runner`](crate::Runner).
#[value]
pub struct Settings {
    /// Number of available items below which more chunks are leased.
    pub at_hand: u32,
    /// Maximum number of non-idempotent items marked as started before they have a slot. Their
    /// outcome is unknown if this daemon fails.
    pub marked_ahead: u32,
    /// Maximum number of chunks per request for leases.
    pub lease_chunks: u16,
    /// Delay before the next request for leases after one that returned no chunk.
    pub lease_pause: Millis,
    /// Number of failed runs, not counting those that did not reach the target, after which an item
    /// fails permanently.
    pub attempts: u32,
    /// Delay before an item is retried.
    pub backoff: BackoffSettings,
    /// Number of items with unflushed results that triggers a flush.
    pub flush_items: u32,
    /// Size of unflushed results that triggers a flush, in bytes.
    pub flush_bytes: usize,
    /// Maximum time before a result is flushed.
    pub flush_after: Millis,
    /// Time within which the death of the target is attributed to a cut stream. After it, the cut
    /// counts as an ordinary failure.
    pub cut_window: Millis,
    /// Time without a run after which a lease is released, so that another owner can run its items.
    pub idle_release: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            at_hand: 64,
            marked_ahead: 4,
            lease_chunks: 2,
            lease_pause: Millis(500),
            attempts: 3,
            backoff: BackoffSettings {
                initial: Millis(200),
                max: Millis(10_000),
            },
            flush_items: 64,
            flush_bytes: 1 << 20,
            flush_after: Millis(2_000),
            cut_window: Millis(3_000),
            idle_release: Millis(10_000),
        }
    }
}
