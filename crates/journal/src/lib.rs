//! Append-only checksummed segments with group commit, snapshots and recovery.
