//! Settings of a runner.

use yuccaseam_admit::BackoffSettings;
use yuccaseam_base::{
    Millis,
    value, //
};

/// Settings of a runner.
#[value]
pub struct Settings {
    /// The least number of items at hand. Below it more chunks are leased.
    pub at_hand: u32,
    /// Items that may not be repeated and are marked as started before they have a slot. They are
    /// of unknown outcome if this daemon is lost.
    pub marked_ahead: u32,
    /// The most chunks to lease at once.
    pub lease_chunks: u16,
    /// The pause after a request that brought no chunk.
    pub lease_pause: Millis,
    /// How often an item is sent before it fails for good.
    pub attempts: u32,
    /// The wait before an item is sent again.
    pub backoff: BackoffSettings,
    /// Results of a chunk that are flushed together, in items.
    pub flush_items: u32,
    /// Results of a chunk that are flushed together, in bytes.
    pub flush_bytes: usize,
    /// The longest time that a result waits before it is flushed.
    pub flush_after: Millis,
    /// How long a cut stream waits for news of its target before it counts as an ordinary failure.
    pub cut_window: Millis,
    /// Leases of which nothing ran for this long are returned, so that another owner runs them.
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
