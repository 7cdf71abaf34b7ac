//! The roles of a replica and the state that each has.

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

/// The round of a leader's first heartbeats.
pub(crate) const FIRST_ROUND: Round = Round(1);

/// The role of a replica in its term.
#[derive(Debug)]
pub(crate) enum Role {
    /// Follows a leader, or waits for one.
    Follower(Following),
    /// Asks whether it could win the next term.
    PreCandidate(Ballot),
    /// Stands in its term. Its own vote is in the ballot once that is synced.
    Candidate(Ballot),
    /// Leads its term.
    Leader(Box<Leading>),
}

/// The votes that a candidate has.
#[derive(Debug, Default)]
pub(crate) struct Ballot {
    pub(crate) granted: BTreeSet<DiskId>,
}

/// The state of a follower.
#[derive(Debug, Default)]
pub(crate) struct Following {
    /// The log agrees with the leader's up to here.
    pub(crate) verified: Index,
    /// The leader was told that the log is synced up to here.
    pub(crate) told: Index,
    /// The latest echo of the leader.
    pub(crate) echo: Echo,
    /// An answer waits for the hard state to be synced.
    pub(crate) owes_reply: bool,
}

/// An entry of this leader whose proposer waits.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) index: Index,
    pub(crate) token: Token,
    /// Whether it is a change of the group.
    pub(crate) is_change: bool,
}

/// Reads on their way to being confirmed.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    /// Reads that wait for the next round.
    pub(crate) queued: Vec<Token>,
    /// Reads of the present round.
    pub(crate) asked: Vec<Token>,
    /// The present round.
    pub(crate) round: Round,
    /// The commit index when the round began.
    pub(crate) index: Index,
}

/// Leadership on its way to another voter.
#[derive(Debug)]
pub(crate) struct HandOver {
    pub(crate) to: DiskId,
    pub(crate) until: Millis,
}

/// A change of the group that waits until a quorum of the changed group has answered.
#[derive(Debug)]
pub(crate) struct Proposed {
    pub(crate) token: Token,
    pub(crate) change: Change,
    pub(crate) round: Round,
    pub(crate) until: Millis,
}

/// The second step of a replacement: the learner to promote.
#[derive(Debug)]
pub(crate) struct Replacing {
    pub(crate) new: DiskId,
    pub(crate) token: Token,
}

/// The state of a leader.
#[derive(Debug)]
pub(crate) struct Leading {
    /// When it was elected.
    pub(crate) since: Millis,
    /// The first entry of its term.
    pub(crate) first: Index,
    pub(crate) progress: BTreeMap<DiskId, Progress>,
    pub(crate) pending: VecDeque<Pending>,
    pub(crate) reads: Reads,
    pub(crate) round: Round,
    pub(crate) heartbeat_at: Millis,
    pub(crate) hand_over: Option<HandOver>,
    pub(crate) proposed: Option<Proposed>,
    pub(crate) replacing: Option<Replacing>,
}

impl Leading {
    pub(crate) fn new(now: Millis, first: Index) -> Self {
        Self {
            since: now,
            first,
            progress: BTreeMap::new(),
            pending: VecDeque::new(),
            reads: Reads::default(),
            round: FIRST_ROUND,
            heartbeat_at: now,
            hand_over: None,
            proposed: None,
            replacing: None,
        }
    }
}
