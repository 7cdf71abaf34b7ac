//! What the log and the disk hold.

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

/// What an entry carries.
#[value]
pub enum Payload {
    /// Nothing: a new leader's first entry, which commits those of earlier terms.
    Empty,
    /// A command of the state machine.
    Command(Arc<[u8]>),
    /// The group from this entry on, whether the entry is committed or not.
    Members(Membership),
}

impl Payload {
    /// The bytes that count towards the size of a message.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Command(data) => data.len(),
            Self::Empty | Self::Members(_) => 0,
        }
    }
}

/// One entry of the log.
#[value]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it carries.
    pub payload: Payload,
}

/// What a replica must remember of elections.
#[key]
#[derive(Default)]
pub struct HardState {
    /// The latest term that the replica knows.
    pub term: Term,
    /// The candidate that it voted for in that term.
    pub vote: Option<DiskId>,
}

/// One ordered write to the disk. The truncation comes before the entries.
///
/// A later write may be synced only together with all earlier ones.
#[value]
#[derive(Default)]
pub struct Persist {
    /// The number to report in [`Event::Synced`](crate::Event::Synced).
    pub seq: SyncSeq,
    /// The hard state, if it changed.
    pub hard: Option<HardState>,
    /// Drop the entries from this index on, if set.
    pub truncate: Option<Index>,
    /// Entries to append, in order.
    pub entries: Vec<Entry>,
}

impl Persist {
    /// Whether there is nothing to write.
    pub(crate) fn is_empty(&self) -> bool {
        self.hard.is_none() && self.truncate.is_none() && self.entries.is_empty()
    }
}

/// Identifies one snapshot file. Two replicas may hold the same one.
#[key]
pub struct SnapshotId {
    /// The last entry that it covers.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The length in bytes.
    pub size: u64,
    /// The SHA-256 of the bytes.
    pub digest: [u8; 32],
}

/// A snapshot of the state machine: all that is known of it but its bytes.
#[value]
pub struct Snapshot {
    /// Which snapshot it is.
    pub id: SnapshotId,
    /// The group as of its last entry.
    pub membership: Membership,
}

impl Snapshot {
    /// The empty state before the first entry of a new group.
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

/// A snapshot that is being received.
#[value]
pub struct Incoming {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// How many of its bytes are synced.
    pub received: u64,
}

/// What a replica found on its disk at start. The default is an empty disk.
#[value]
#[derive(Default)]
pub struct Restored {
    /// The hard state.
    pub hard: HardState,
    /// The latest complete snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// A snapshot that was being received.
    pub incoming: Option<Incoming>,
}
