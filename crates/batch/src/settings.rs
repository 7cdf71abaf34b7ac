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
    pub min_available_items: u32,
    /// Maximum number of non-idempotent items marked as started before they have a slot. Their
    /// outcome is unknown if this daemon fails.
    pub max_marked_ahead: u32,
    /// Maximum number of chunks per request for leases.
    pub max_lease_chunks: u16,
    /// Delay before the next request for leases after one that returned no chunk.
    pub lease_backoff: Millis,
    /// Number of failed runs, not counting those that did not reach the target, after which an item
    /// fails permanently.
    pub max_attempts: u32,
    /// Delay before an item is retried.
    pub backoff: BackoffSettings,
    /// Number of items with unflushed results that triggers a flush.
    pub flush_items: u32,
    /// Size of unflushed results that triggers a flush, in bytes.
    pub flush_bytes: usize,
    /// Maximum time before a result is flushed.
    pub max_flush_delay: Millis,
    /// Time within which the death of the target is attributed to a cut stream. After it, the cut
    /// counts as an ordinary failure.
    pub cut_timeout: Millis,
    /// Time without a run after which a lease is released, so that another owner can run its items.
    pub idle_lease_timeout: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_available_items: 64,
            max_marked_ahead: 4,
            max_lease_chunks: 2,
            lease_backoff: Millis(500),
            max_attempts: 3,
            backoff: BackoffSettings {
                initial: Millis(200),
                max: Millis(10_000),
            },
            flush_items: 64,
            flush_bytes: 1 << 20,
            max_flush_delay: Millis(2_000),
            cut_timeout: Millis(3_000),
            idle_lease_timeout: Millis(10_000),
        }
    }
}
