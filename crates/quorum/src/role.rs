//! Roles of a replica and the state of each role.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use yuccaseam_base::Millis;

use crate::{
    Change,
    DiskId,
    Echo,
    Index,
    Round,
    Token,
    progress::Progress, //
};

/// Round of a leader's first heartbeats.
pub(crate) const FIRST_ROUND: Round = Round(1);

/// Role of a replica in its term.
#[derive(Debug)]
pub(crate) enum Role {
    /// Accepts entries from a leader, or waits for one.
    Follower(FollowerState),
    /// Collects pre-votes for the next term.
    PreCandidate(VoteTally),
    /// Collects votes for its term. Its own vote is counted once it is synced.
    Candidate(VoteTally),
    /// Leader of its term.
    Leader(Box<LeaderState>),
}

/// Votes granted to a candidate.
#[derive(Debug, Default)]
pub(crate) struct VoteTally {
    pub(crate) granted: BTreeSet<DiskId>,
}

/// State of a follower.
#[derive(Debug, Default)]
pub(crate) struct FollowerState {
    /// Index up to which the log is known to match the leader's.
    pub(crate) verified: Index,
    /// Synced index last reported to the leader.
    pub(crate) reported: Index,
    /// Latest echo received from the leader.
    pub(crate) echo: Echo,
    /// Whether a reply is deferred until the hard state is synced.
    pub(crate) reply_pending: bool,
}

/// Uncommitted entry of this leader whose proposer awaits the outcome.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) index: Index,
    pub(crate) token: Token,
    /// Whether the entry is a membership change.
    pub(crate) is_change: bool,
}

/// Reads that await confirmation by a quorum.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    /// Reads for the next round.
    pub(crate) queued: Vec<Token>,
    /// Reads of the current round.
    pub(crate) confirming: Vec<Token>,
    pub(crate) round: Round,
    /// Commit index at the start of the round.
    pub(crate) index: Index,
}

/// Leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct LeadershipTransfer {
    pub(crate) to: DiskId,
    pub(crate) expires_at: Millis,
}

/// Membership change that waits until a quorum of the changed group has acknowledged a round.
#[derive(Debug)]
pub(crate) struct ProposedChange {
    pub(crate) token: Token,
    pub(crate) change: Change,
    pub(crate) round: Round,
    pub(crate) expires_at: Millis,
}

/// Second step of a replacement: the promotion of the learner.
#[derive(Debug)]
pub(crate) struct Replacement {
    pub(crate) new: DiskId,
    pub(crate) token: Token,
    pub(crate) expires_at: Millis,
}

/// State of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Time of the election.
    pub(crate) since: Millis,
    /// First entry of the leader's term.
    pub(crate) first: Index,
    pub(crate) progress: BTreeMap<DiskId, Progress>,
    pub(crate) pending: VecDeque<Pending>,
    pub(crate) reads: Reads,
    pub(crate) round: Round,
    pub(crate) heartbeat_at: Millis,
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    pub(crate) proposed_change: Option<ProposedChange>,
    pub(crate) replacement: Option<Replacement>,
}

impl LeaderState {
    pub(crate) fn new(now: Millis, first: Index) -> Self {
        Self {
            since: now,
            first,
            progress: BTreeMap::new(),
            pending: VecDeque::new(),
            reads: Reads::default(),
            round: FIRST_ROUND,
            heartbeat_at: now,
            leadership_transfer: None,
            proposed_change: None,
            replacement: None,
        }
    }
}
