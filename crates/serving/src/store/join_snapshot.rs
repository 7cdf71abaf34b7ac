//! Whether a store waits for a new snapshot before it joins the group.
//!
//! It joins with the latest snapshot and the log since. While the log is long, a new snapshot is written first, and
//! the store waits for it. Invariant: once a snapshot that was waited for has ended, the first store that asks joins.
//! Under load, the log grows so far again while a snapshot is written that a store that waits for a short log would never
//! join.

/// Growth of the log from which on a store joins with a new snapshot, in bytes.
const MAX_JOIN_LOG_BYTES: u64 = 256 << 10;

/// What a store that is to join does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// It joins now.
    Join,
    /// It waits for the snapshot that is being written.
    Wait,
    /// It waits for a new snapshot, which is to be started.
    WaitForNew,
}

/// Snapshots of this replica, as far as stores that join wait for them.
#[derive(Debug, Default)]
pub struct JoinSnapshot {
    /// Number of snapshots that were written or given up.
    ended: u64,
    /// Number of `ended` for which the next store waits.
    awaited: Option<u64>,
}

impl JoinSnapshot {
    /// Records that a snapshot was written, or given up.
    pub fn record_end(&mut self) {
        self.ended += 1;
    }

    /// Decides what the next store does. `log_bytes` is the growth of the log since the latest snapshot.
    pub fn next_step(&mut self, log_bytes: u64, is_running: bool) -> JoinStep {
        if self.awaited.is_some_and(|awaited| self.ended >= awaited) {
            self.awaited = None;
            return JoinStep::Join;
        }
        if self.awaited.is_none() && !is_running && log_bytes < MAX_JOIN_LOG_BYTES {
            return JoinStep::Join;
        }
        self.awaited.get_or_insert(self.ended + 1);
        if is_running {
            JoinStep::Wait
        } else {
            JoinStep::WaitForNew
        }
    }
}
