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

/// Message with its sender, its receiver and the sender's term.
#[value]
pub struct Envelope {
    /// Disk of the sender.
    pub from: DiskId,
    /// Disk of the receiver. A replica with another disk drops the message, even if the instance
    /// name is the same.
    pub to: DiskId,
    /// Term of the sender.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// Last entry of a log, compared by term and then by index to decide whether a candidate's log is
/// up to date.
#[key]
pub struct LastEntry {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// Data that a follower returns unchanged, so that the leader knows which of its messages was
/// acknowledged and when it was sent.
#[key]
#[derive(Default)]
pub struct Echo {
    /// Heartbeat round.
    pub round: Round,
    /// Sending time by the leader's clock.
    pub sent_at: Millis,
}

/// Append message of a leader; a heartbeat if it has no entries.
#[value]
pub struct Append {
    /// Index of the entry that precedes the first one.
    pub prev_index: Index,
    /// Term of that entry.
    pub prev_term: Term,
    /// Entries in order, without gaps.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: Index,
    /// Returned by the follower.
    pub echo: Echo,
}

/// Result of an [`Append`] at a follower.
#[key]
pub enum AppendResult {
    /// The follower's log matches the leader's and is synced up to this index.
    Matched(Index),
    /// The follower's log does not contain the previous entry.
    Rejected {
        /// Previous index of the rejected message.
        prev: Index,
        /// Last index at which the logs can match.
        hint: Index,
    },
}

/// Chunk of a snapshot.
#[value]
pub struct Chunk {
    /// Snapshot that the chunk belongs to.
    pub id: SnapshotId,
    /// Offset of the chunk in bytes.
    pub offset: u64,
    /// Bytes of the chunk.
    pub data: Arc<[u8]>,
}

/// Content of a message between replicas.
#[value]
pub enum Body {
    /// Requests a pre-vote for the next term. Changes no state at the receiver.
    PreVote {
        /// Last entry of the sender.
        last: LastEntry,
    },
    /// Reply to [`Body::PreVote`].
    PreVoteReply {
        /// Term of the requesting replica at the time of the request.
        asked: Term,
        /// Whether the sender would vote for the requesting replica.
        granted: bool,
    },
    /// Requests a vote in the envelope's term.
    Vote {
        /// Last entry of the candidate.
        last: LastEntry,
        /// Whether the leader transferred leadership, so that its lease has ended.
        transfer: bool,
    },
    /// Reply to [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted and synced.
        granted: bool,
    },
    /// Replicates entries, or serves as a heartbeat.
    Append(Append),
    /// Reply to [`Body::Append`].
    AppendReply {
        /// Result at the follower.
        result: AppendResult,
        /// Latest echo received from the leader.
        echo: Echo,
    },
    /// Offers a snapshot in place of entries that the leader has compacted.
    Offer(Snapshot),
    /// Transfers a chunk of the offered snapshot.
    Chunk(Chunk),
    /// Acknowledges the synced part of a snapshot.
    ChunkReply {
        /// Snapshot that is being received.
        id: SnapshotId,
        /// Synced length in bytes.
        received: u64,
    },
    /// Transfers leadership: the leader has stepped down, and the receiver starts an election at
    /// once.
    Transfer,
}

impl Body {
    /// Whether only the leader of the envelope's term sends this kind of message.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Self::Append(_) | Self::Offer(_) | Self::Chunk(_) | Self::Transfer
        )
    }
}
