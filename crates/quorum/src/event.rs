//! What goes into the core and what comes out.

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

/// One command to replicate.
#[value]
pub struct Proposal {
    /// Names the proposal in the actions that answer it.
    pub token: Token,
    /// The command.
    pub data: Arc<[u8]>,
}

/// A change of the group. One is in progress at a time.
#[value]
pub enum Change {
    /// Adds a disk that receives the log and does not vote.
    AddLearner {
        /// The disk.
        id: DiskId,
        /// The instance that holds it.
        name: InstanceName,
    },
    /// Makes a learner a voter, if it has synced everything committed.
    Promote(DiskId),
    /// Removes a voter or a learner.
    Remove(DiskId),
    /// Removes a voter, then makes a synced learner a voter.
    Replace {
        /// The voter whose disk was lost.
        old: DiskId,
        /// The learner that takes its place.
        new: DiskId,
    },
}

/// What happened.
#[value]
pub enum Event {
    /// Time passed. Send one at least every [`Timing::tick`](crate::Timing::tick).
    Tick,
    /// A message arrived.
    Received(Envelope),
    /// Commands are to be replicated; together they make one write and one message a follower.
    Propose(Vec<Proposal>),
    /// A read is to be confirmed by a quorum.
    Read(Token),
    /// Every [`Persist`] up to this one is synced.
    Synced(SyncSeq),
    /// The state machine wrote and synced a snapshot of its applied state.
    SnapshotMade(Snapshot),
    /// Answers [`Action::ReadChunk`].
    ChunkRead {
        /// The follower that it is for.
        to: DiskId,
        /// The part, or `None` if this snapshot is gone.
        chunk: Option<Chunk>,
    },
    /// Answers [`Action::StoreChunk`]: the part is synced.
    ChunkStored {
        /// Which snapshot.
        id: SnapshotId,
        /// The synced length in bytes.
        received: u64,
    },
    /// Answers [`Action::InstallSnapshot`]: the state, the emptied log and the membership are
    /// synced.
    SnapshotInstalled(SnapshotId),
    /// Answers [`Action::InstallSnapshot`]: the bytes do not match the digest.
    SnapshotBroken(SnapshotId),
    /// The group is to change.
    ChangeMembers {
        /// Names the change in the actions that answer it.
        token: Token,
        /// The change.
        change: Change,
    },
    /// The instance is about to stop: hand leadership over.
    HandOver,
}

/// A committed entry, in the order of the log.
#[value]
pub struct Committed {
    /// The entry.
    pub entry: Entry,
    /// The proposal or change of this replica that made it, if it waits for the answer.
    pub token: Option<Token>,
}

/// What is to be done, in the order given.
#[value]
pub enum Action {
    /// Send a message. It may be lost.
    Send(Envelope),
    /// Write to the disk and report [`Event::Synced`] after the sync.
    Persist(Persist),
    /// Apply these entries to the state machine.
    Commit(Vec<Committed>),
    /// A read sees every write that was acknowledged before it was asked for, because all entries
    /// up to the index were handed over in earlier actions.
    ReadReady {
        /// The read.
        token: Token,
        /// The index that it was confirmed at.
        index: Index,
    },
    /// A proposal or read was refused.
    Rejected {
        /// The proposal or read.
        token: Token,
        /// `NotRun` if nothing was appended, `MayHaveRun` if it may still be committed.
        verdict: Verdict,
        /// The leader to ask in place of this replica.
        leader: Option<DiskId>,
    },
    /// A change of the group was refused.
    ChangeRefused {
        /// The change.
        token: Token,
        /// Why.
        error: ChangeError,
    },
    /// Read a part of a snapshot and report [`Event::ChunkRead`].
    ReadChunk {
        /// The follower that it is for.
        to: DiskId,
        /// Which snapshot.
        id: SnapshotId,
        /// Where the part begins, in bytes.
        offset: u64,
    },
    /// Write a part of an incoming snapshot, sync it and report [`Event::ChunkStored`]. A part at
    /// offset 0 begins a new file.
    StoreChunk {
        /// The snapshot.
        snapshot: Snapshot,
        /// The part.
        chunk: Chunk,
    },
    /// Replace state machine and log by this complete snapshot and report
    /// [`Event::SnapshotInstalled`].
    InstallSnapshot(Snapshot),
}

/// Why a change of the group was refused.
#[value]
pub enum ChangeError {
    /// This replica does not lead.
    NotLeader(Option<DiskId>),
    /// The leader stepped down before the change was committed: it may take effect.
    Unknown(Option<DiskId>),
    /// The leader has not yet committed an entry of its own term.
    TermNotCommitted,
    /// Another change is in progress.
    InProgress,
    /// The disk is no member.
    NotMember(DiskId),
    /// The disk is a member already.
    AlreadyMember(DiskId),
    /// The disk does not vote.
    NotVoter(DiskId),
    /// The disk is no learner.
    NotLearner(DiskId),
    /// The learner has not synced everything committed.
    NotSynced {
        /// Up to where it has synced.
        matched: Index,
        /// What is committed.
        commit: Index,
    },
    /// The instance votes with another disk, which must be replaced.
    NameVotes(DiskId),
    /// The leader cannot remove itself: hand leadership over first.
    IsLeader,
    /// Too few voters of the changed group answered in time.
    WouldLoseQuorum {
        /// How many answered of late.
        active: usize,
        /// How many are needed.
        needed: usize,
    },
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(_) => write!(f, "this replica does not lead"),
            Self::Unknown(_) => write!(f, "the leader changed; the change may take effect"),
            Self::TermNotCommitted => write!(f, "the new leader has not committed an entry yet"),
            Self::InProgress => write!(f, "another change of the group is in progress"),
            Self::NotMember(id) => write!(f, "disk {id} is no member"),
            Self::AlreadyMember(id) => write!(f, "disk {id} is a member already"),
            Self::NotVoter(id) => write!(f, "disk {id} does not vote"),
            Self::NotLearner(id) => write!(f, "disk {id} is no learner"),
            Self::NotSynced { matched, commit } => write!(
                f,
                "the learner has synced entry {} of {} committed",
                matched.0, commit.0
            ),
            Self::NameVotes(id) => write!(f, "the instance votes with disk {id}: replace that"),
            Self::IsLeader => write!(f, "the leader cannot remove itself: hand over first"),
            Self::WouldLoseQuorum { active, needed } => write!(
                f,
                "only {active} voters of the changed group answer and {needed} are needed"
            ),
        }
    }
}

impl error::Error for ChangeError {}
