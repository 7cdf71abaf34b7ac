//! Events consumed and actions produced by the core.

use std::{
    error,
    fmt,
    sync::Arc, //
};

use yuccaseam_base::{
    InstanceName,
    Verdict,
    value, //
};

use crate::{
    Chunk,
    DiskId,
    Entry,
    Envelope,
    Index,
    Persist,
    Snapshot,
    SnapshotId,
    SyncSeq,
    Token, //
};

/// Command to replicate.
#[value]
pub struct Proposal {
    /// Identifies the proposal in the resulting actions.
    pub token: Token,
    /// Encoded command, opaque to the core.
    pub data: Arc<[u8]>,
}

/// Membership change. At most one is in progress at a time.
#[value]
pub enum Change {
    /// Adds a disk that receives the log without voting.
    AddLearner {
        /// Disk to add.
        id: DiskId,
        /// Instance that holds the disk.
        name: InstanceName,
    },
    /// Makes a learner a voter if it keeps up with the committed entries.
    Promote(DiskId),
    /// Removes a voter or a learner.
    Remove(DiskId),
    /// Removes a voter, then makes a learner that keeps up a voter.
    Replace {
        /// Voter whose disk was lost.
        old: DiskId,
        /// Learner that takes its place.
        new: DiskId,
    },
}

/// Input of the core.
#[value]
pub enum Event {
    /// Time passed. Sent at least once per
    /// [`Timing::tick_interval`](crate::Timing::tick_interval).
    Tick,
    /// A message was received.
    Received(Envelope),
    /// Commands to replicate. They share one write, and one message per follower.
    Propose(Vec<Proposal>),
    /// Request to confirm a read with a quorum.
    Read(Token),
    /// All [`Persist`] writes up to this one are synced.
    Synced(SyncSeq),
    /// A snapshot of the applied state was written and synced.
    SnapshotCreated(Snapshot),
    /// Result of [`Action::ReadChunk`].
    ChunkRead {
        /// Follower to send the chunk to.
        to: DiskId,
        /// The chunk, or `None` if the snapshot no longer exists.
        chunk: Option<Chunk>,
    },
    /// Result of [`Action::StoreChunk`]: the chunk is synced.
    ChunkStored {
        /// Incoming snapshot.
        id: SnapshotId,
        /// Synced length in bytes.
        received: u64,
    },
    /// Result of [`Action::InstallSnapshot`]: the state, the emptied log and the membership are
    /// synced.
    SnapshotInstalled(SnapshotId),
    /// Result of [`Action::StoreChunk`] or [`Action::InstallSnapshot`]: the received bytes are
    /// invalid, for example because they do not match the digest.
    SnapshotCorrupted(SnapshotId),
    /// Request to change the membership.
    ChangeMembers {
        /// Identifies the change in the resulting actions.
        token: Token,
        /// Requested change.
        change: Change,
    },
    /// Request to transfer leadership to another voter, for example before the instance stops.
    TransferLeadership,
}

/// Committed entry.
#[value]
pub struct Committed {
    /// The entry. Entries are delivered in log order.
    pub entry: Entry,
    /// Proposal or change of this replica that appended the entry and awaits its outcome.
    pub token: Option<Token>,
}

/// Output of the core. The actions of a step are executed in order.
#[value]
pub enum Action {
    /// Send a message. Loss is tolerated.
    Send(Envelope),
    /// Write to disk and report [`Event::Synced`] after the sync.
    Persist(Persist),
    /// Apply these entries to the state machine.
    Commit(Vec<Committed>),
    /// Execute a read. It observes every write acknowledged before it was requested, because all
    /// entries up to the index were delivered by earlier actions.
    ReadReady {
        /// Token of the read.
        token: Token,
        /// Commit index at which the read was confirmed.
        index: Index,
    },
    /// Report that a proposal or read was rejected.
    Rejected {
        /// Token of the proposal or read.
        token: Token,
        /// `NotRun` if nothing was appended, `MayHaveRun` if it may still be committed.
        verdict: Verdict,
        /// Known leader, to which the request can be sent instead.
        leader: Option<DiskId>,
    },
    /// Report that a membership change was refused or that its outcome is unknown.
    ChangeRefused {
        /// Token of the change.
        token: Token,
        /// Reason of the refusal.
        error: ChangeError,
    },
    /// Read a chunk of a snapshot and report [`Event::ChunkRead`].
    ReadChunk {
        /// Follower to send the chunk to.
        to: DiskId,
        /// Snapshot to read.
        id: SnapshotId,
        /// Offset of the chunk in bytes.
        offset: u64,
    },
    /// Write a chunk of an incoming snapshot, sync it and report [`Event::ChunkStored`]. A chunk
    /// at offset 0 starts a new file.
    StoreChunk {
        /// Incoming snapshot.
        snapshot: Snapshot,
        /// Chunk to write.
        chunk: Chunk,
    },
    /// Replace state machine and log with this fully received snapshot and report
    /// [`Event::SnapshotInstalled`].
    InstallSnapshot(Snapshot),
}

/// Reason why a membership change was refused.
#[value]
pub enum ChangeError {
    /// This replica is not the leader. Carries the known leader.
    NotLeader(Option<DiskId>),
    /// The leader stepped down before the change was committed; the change may take effect.
    Unknown(Option<DiskId>),
    /// The leader has not yet committed an entry of its own term.
    TermNotCommitted,
    /// Another change is in progress.
    InProgress,
    /// The disk is not a member.
    NotMember(DiskId),
    /// The disk is already a member.
    AlreadyMember(DiskId),
    /// The disk is not a voter.
    NotVoter(DiskId),
    /// The disk is not a learner.
    NotLearner(DiskId),
    /// The learner has not synced all committed entries, and does not keep up with them.
    NotSynced {
        /// Last entry synced at the learner.
        matched: Index,
        /// Commit index of the leader.
        commit: Index,
    },
    /// The learner that is to replace a voter did not respond within the election timeout.
    Unresponsive(DiskId),
    /// The instance already votes with this other disk, which must be replaced.
    InstanceHasVoter(DiskId),
    /// The leader cannot remove itself; leadership must be transferred first.
    IsLeader,
    /// Too few voters of the changed group replied within the election timeout.
    WouldLoseQuorum {
        /// Number of voters that replied.
        active: usize,
        /// Number of voters in a majority.
        needed: usize,
    },
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(_) => write!(f, "this replica is not the leader"),
            Self::Unknown(_) => write!(f, "the leader changed; the change may take effect"),
            Self::TermNotCommitted => {
                write!(f, "the leader has not committed an entry of its term yet")
            }
            Self::InProgress => write!(f, "another membership change is in progress"),
            Self::NotMember(id) => write!(f, "disk {id} is not a member"),
            Self::AlreadyMember(id) => write!(f, "disk {id} is already a member"),
            Self::NotVoter(id) => write!(f, "disk {id} is not a voter"),
            Self::NotLearner(id) => write!(f, "disk {id} is not a learner"),
            Self::NotSynced { matched, commit } => write!(
                f,
                "the learner has synced up to entry {}, but entries up to {} are committed",
                matched.0, commit.0
            ),
            Self::Unresponsive(id) => write!(
                f,
                "learner {id}, which is to replace a voter, does not respond"
            ),
            Self::InstanceHasVoter(id) => {
                write!(f, "the instance already votes with disk {id}; replace it")
            }
            Self::IsLeader => write!(
                f,
                "the leader cannot remove itself; transfer leadership first"
            ),
            Self::WouldLoseQuorum { active, needed } => write!(
                f,
                "only {active} voters of the changed group replied; {needed} are needed"
            ),
        }
    }
}

impl error::Error for ChangeError {}
