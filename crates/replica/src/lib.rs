//! The disk of a replica: log and snapshots of one data folder, written on a thread of its own.
//!
//! The replication core (`yuccaseam-quorum`) says what to write; this crate writes it, syncs it and
//! reports the sync. What the log replicates is any [`Machine`](yuccaseam_base::Machine).
//!
//! # Invariants
//!
//! - A write is reported only after its sync.
//! - After a failed write nothing more is written until the folder is read again.

mod disk;
mod disk_thread;

pub use disk::Disk;
pub use disk_thread::{
    DiskReply,
    DiskRequest,
    start, //
};
