//! Contents of the log and of a replica's disk.

use std::sync::Arc;

use yuccaseam_base::{
    key,
    value, //
};

use crate::{
    DiskId,
    Index,
    Membership,
    SyncSeq,
    Term, //
};

/// Payload of a log entry.
#[value]
pub enum Payload {
    /// No payload: the first entry of a new leader, which commits the entries of earlier terms.
    Empty,
    /// Encoded command of the state machine.
    Command(Arc<[u8]>),
    /// Membership in force from this entry on, whether the entry is committed or not.
    Members(Membership),
}

impl Payload {
    /// Bytes counted against the size limit of an append message.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Command(data) => data.len(),
            Self::Empty | Self::Members(_) => 0,
        }
    }
}

/// Log entry.
#[value]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Command, membership or nothing.
    pub payload: Payload,
}

/// Election state that a replica must persist.
#[key]
#[derive(Default)]
pub struct HardState {
    /// Latest known term.
    pub term: Term,
    /// Candidate that received this replica's vote in that term.
    pub vote: Option<DiskId>,
}

/// Ordered write to disk. The truncation precedes the entries.
///
/// A write may be synced only together with all earlier ones.
#[value]
#[derive(Default)]
pub struct Persist {
    /// Sequence number to report in [`Event::Synced`](crate::Event::Synced).
    pub seq: SyncSeq,
    /// New hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// First index to drop from the end of the log, if any.
    pub truncate: Option<Index>,
    /// Entries to append, in order.
    pub entries: Vec<Entry>,
}

impl Persist {
    pub(crate) fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.truncate.is_none() && self.entries.is_empty()
    }
}

/// Identity of a snapshot by position and content. Two replicas may hold the same snapshot.
#[key]
pub struct SnapshotId {
    /// Index of the last covered entry.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Length in bytes.
    pub size: u64,
    /// SHA-256 of the bytes.
    pub digest: [u8; 32],
}

/// Metadata of a snapshot of the state machine.
#[value]
pub struct Snapshot {
    /// Position, length and digest.
    pub id: SnapshotId,
    /// Membership as of the last covered entry.
    pub membership: Membership,
}

impl Snapshot {
    /// Snapshot of the empty state that precedes the first entry of a new group.
    pub fn initial(membership: Membership) -> Self {
        Self {
            id: SnapshotId {
                index: Index::ZERO,
                term: Term(0),
                size: 0,
                digest: [0; 32],
            },
            membership,
        }
    }
}

impl Default for Snapshot {
    fn default() -> Self {
        Self::initial(Membership::default())
    }
}

/// Partially received snapshot.
#[value]
pub struct Incoming {
    /// Metadata from the leader's offer.
    pub snapshot: Snapshot,
    /// Number of bytes received and synced.
    pub received: u64,
}

/// State restored from a replica's disk at start. The default is that of an empty disk.
#[value]
#[derive(Default)]
pub struct Restored {
    /// Latest synced term and vote.
    pub hard_state: HardState,
    /// Latest complete snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Snapshot whose transfer was interrupted.
    pub incoming: Option<Incoming>,
}
