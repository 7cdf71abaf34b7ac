//! Append-only checksummed segments with group commit, snapshots and recovery.
//!
//! All files are in one [`DataFolder`], which one process locks and which has the random identity
//! of its disk. Three stores share the folder and the record format:
//!
//! - [`Log`]: entries of a replicated log and its hard state. One [`Log::sync`] covers every
//!   append since the previous one, so that a caller can batch many writers into one sync.
//! - [`Snapshots`]: the newest snapshot of a state machine, written to a temporary file, synced
//!   and renamed.
//! - [`BlobStore`]: immutable blobs, addressed by the SHA-256 of their content.
//!
//! Synced data survives a crash. When a store is opened, a torn tail of unsynced bytes is
//! truncated; damage anywhere else fails the open with [`JournalError::Corrupt`]. After a failed
//! sync a store refuses further writes until it is reopened, because the operating system may have
//! dropped the pages that it could not write.

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
