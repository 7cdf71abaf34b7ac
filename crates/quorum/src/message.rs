//! Messages between replicas.

use std::sync::Arc;

use yuccaseam_base::{
    Millis,
    key,
    value, //
};

use crate::{
    DiskId,
    Entry,
    Index,
    Round,
    Snapshot,
    SnapshotId,
    Term, //
};

/// A message with its sender, receiver and the sender's term.
#[value]
pub struct Envelope {
    /// The sender's disk.
    pub from: DiskId,
    /// The receiver's disk. Another disk under the receiver's name drops the message.
    pub to: DiskId,
    /// The sender's term.
    pub term: Term,
    /// The message.
    pub body: Body,
}

/// The last entry of a log, which decides whether a candidate's log is up to date. The term comes
/// first in the order.
#[key]
pub struct LastEntry {
    /// Its term.
    pub term: Term,
    /// Its index.
    pub index: Index,
}

/// What a follower returns unchanged, so that its leader knows when the contact began.
#[key]
#[derive(Default)]
pub struct Echo {
    /// The heartbeat round.
    pub round: Round,
    /// The leader's clock when it sent the message.
    pub sent_at: Millis,
}

/// A leader's entries, or its heartbeat if there are none.
#[value]
pub struct Append {
    /// The index of the entry before the first.
    pub prev_index: Index,
    /// The term of that entry.
    pub prev_term: Term,
    /// The entries, in order and without gaps.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// To be returned.
    pub echo: Echo,
}

/// What a follower made of an [`Append`].
#[key]
pub enum AppendResult {
    /// The log agrees with the leader's, and is synced, up to this index.
    Matched(Index),
    /// The log has no such previous entry.
    Rejected {
        /// The previous index of the rejected message.
        prev: Index,
        /// No later entry can agree.
        hint: Index,
    },
}

/// One part of a snapshot.
#[value]
pub struct Chunk {
    /// Which snapshot.
    pub id: SnapshotId,
    /// Where the part begins, in bytes.
    pub offset: u64,
    /// The bytes.
    pub data: Arc<[u8]>,
}

/// The kinds of messages.
#[value]
pub enum Body {
    /// Asks whether the receiver would vote in the next term. Changes nothing.
    PreVote {
        /// The sender's last entry.
        last: LastEntry,
    },
    /// Answers a [`Body::PreVote`].
    PreVoteReply {
        /// The term that the asking replica had.
        asked: Term,
        /// Whether the sender would vote for it.
        granted: bool,
    },
    /// Asks for a vote in the envelope's term.
    Vote {
        /// The candidate's last entry.
        last: LastEntry,
        /// Whether the leader handed over, so that its lease has ended.
        transfer: bool,
    },
    /// Answers a [`Body::Vote`].
    VoteReply {
        /// Whether the vote is given, and synced.
        granted: bool,
    },
    /// Entries or a heartbeat.
    Append(Append),
    /// Answers an [`Append`].
    AppendReply {
        /// What the follower made of it.
        result: AppendResult,
        /// The latest echo of this leader.
        echo: Echo,
    },
    /// Offers a snapshot in place of entries that the leader no longer holds.
    Offer(Snapshot),
    /// One part of it.
    Chunk(Chunk),
    /// Says how much of a snapshot the sender has synced.
    ChunkReply {
        /// Which snapshot.
        id: SnapshotId,
        /// The synced length in bytes.
        received: u64,
    },
    /// The leader's lease has ended and the receiver is to stand for election at once.
    Transfer,
}

impl Body {
    /// Whether only the leader of the envelope's term sends this.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Self::Append(_) | Self::Offer(_) | Self::Chunk(_) | Self::Transfer
        )
    }
}
