//! Append-only checksummed segments with group commit, snapshots and recovery.
//!
//! Everything lives under one [`DataFolder`], which one process locks and which carries the random
//! identity of its disk. Three stores share the folder and the record format:
//!
//! - [`Log`]: entries of a replicated log and its hard state. One [`Log::sync`] covers every
//!   append since the last one, so that a caller who batches many writers pays for one sync.
//! - [`Snapshots`]: the newest snapshot of a state machine, written to a temporary file, synced
//!   and renamed.
//! - [`BlobStore`]: immutable blobs by the SHA-256 of their content.
//!
//! What a sync has covered survives a crash. A torn tail of bytes that no sync covered is cut off
//! when a store is opened; damage anywhere else stops the open with [`JournalError::Corrupt`].
//! After a failed sync a store refuses further writes until it is opened again, because the
//! operating system may have dropped the pages that it could not write.

mod blob;
mod blob_index;
mod compaction;
mod error;
mod folder;
mod frame;
mod log;
mod log_replay;
mod record;
mod segment;
mod snapshot;
mod snapshot_file;
mod snapshot_transfer;
mod storage;

pub use blob::{BlobId, BlobStore};
pub use compaction::Compaction;
pub use error::JournalError;
pub use folder::{DataFolder, DiskIdentity};
pub use log::{Entry, HardState, Log, LogOptions, Position};
pub use snapshot::{SealedSnapshot, SnapshotMeta, SnapshotReader, SnapshotWriter, Snapshots};
pub use snapshot_transfer::SnapshotReceiver;
pub use storage::{Disk, Storage, StorageFile, StorageLock};
