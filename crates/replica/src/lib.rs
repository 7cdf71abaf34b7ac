//! Storage of a replica: log and snapshots of one data folder, written on a dedicated thread.
//!
//! This crate executes the writes requested by the replication core (`yuccaseam-quorum`), syncs
//! them and reports the sync. The replicated state can be any
//! [`Machine`](yuccaseam_base::Machine).
//!
//! # Invariants
//!
//! - A write is reported only after its sync.
//! - After a write failed on a full disk, requests are ignored until the folder is reloaded.

mod disk;
mod disk_thread;

pub use disk::Disk;
pub use disk_thread::{
    DiskReply,
    DiskRequest,
    start, //
};
