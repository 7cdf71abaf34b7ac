//! Wire types of messages between replicas.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    Millis,
    key,
    record, //
};

use super::{
    WireBytes,
    WireEntry,
    WireError,
    WireSnapshot,
    WireSnapshotId, //
};
use crate::{
    Append,
    AppendResult,
    Body,
    Chunk,
    DiskId,
    Echo,
    Entry,
    Envelope,
    Index,
    LastEntry,
    Round,
    Term, //
};

/// Wire form of [`Echo`].
#[key]
#[derive(Serialize, Deserialize)]
pub struct WireEcho {
    /// Heartbeat round.
    pub round: u64,
    /// Sending time by the leader's clock.
    pub sent_at: Millis,
}

/// Wire form of [`Append`].
#[record]
pub struct WireAppend {
    /// Index of the entry that precedes the first one.
    pub prev_index: u64,
    /// Term of that entry.
    pub prev_term: u64,
    /// Entries in order, without gaps.
    pub entries: Vec<WireEntry>,
    /// Commit index of the leader.
    pub commit: u64,
    /// Returned by the follower.
    pub echo: WireEcho,
}

/// Wire form of [`Body`].
#[record]
pub enum WireBody {
    /// See [`Body::PreVote`].
    PreVote {
        /// Term of the sender's last entry.
        last_term: u64,
        /// Index of the sender's last entry.
        last_index: u64,
    },
    /// See [`Body::PreVoteReply`].
    PreVoteReply {
        /// Term of the requesting replica at the time of the request.
        asked: u64,
        /// Whether the sender would vote for the requesting replica.
        granted: bool,
    },
    /// See [`Body::Vote`].
    Vote {
        /// Term of the candidate's last entry.
        last_term: u64,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Whether the leader transferred leadership.
        transfer: bool,
    },
    /// See [`Body::VoteReply`].
    VoteReply {
        /// Whether the vote is granted and synced.
        granted: bool,
    },
    /// See [`Body::Append`].
    Append(WireAppend),
    /// See [`AppendResult::Matched`].
    Matched {
        /// Last matching and synced index.
        index: u64,
        /// Latest echo received from the leader.
        echo: WireEcho,
    },
    /// See [`AppendResult::Rejected`].
    Rejected {
        /// Previous index of the rejected message.
        prev: u64,
        /// Last index at which the logs can match.
        hint: u64,
        /// Latest echo received from the leader.
        echo: WireEcho,
    },
    /// See [`Body::Offer`].
    Offer(WireSnapshot),
    /// See [`Body::Chunk`].
    Chunk {
        /// Snapshot that the chunk belongs to.
        id: WireSnapshotId,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// Bytes of the chunk.
        data: WireBytes,
    },
    /// See [`Body::ChunkReply`].
    ChunkReply {
        /// Snapshot that is being received.
        id: WireSnapshotId,
        /// Synced length in bytes.
        received: u64,
    },
    /// See [`Body::Transfer`].
    Transfer,
}

/// Wire form of [`Envelope`].
#[record]
pub struct WireEnvelope {
    /// Disk of the sender.
    pub from: u64,
    /// Disk of the receiver.
    pub to: u64,
    /// Term of the sender.
    pub term: u64,
    /// Content of the message.
    pub body: WireBody,
}

impl From<Echo> for WireEcho {
    fn from(echo: Echo) -> Self {
        Self {
            round: echo.round.0,
            sent_at: echo.sent_at,
        }
    }
}

impl From<WireEcho> for Echo {
    fn from(echo: WireEcho) -> Self {
        Self {
            round: Round(echo.round),
            sent_at: echo.sent_at,
        }
    }
}

impl From<Append> for WireAppend {
    fn from(append: Append) -> Self {
        Self {
            prev_index: append.prev_index.0,
            prev_term: append.prev_term.0,
            entries: append.entries.into_iter().map(WireEntry::from).collect(),
            commit: append.commit.0,
            echo: append.echo.into(),
        }
    }
}

impl TryFrom<WireAppend> for Append {
    type Error = WireError;

    fn try_from(append: WireAppend) -> Result<Self, WireError> {
        let mut entries: Vec<Entry> = Vec::with_capacity(append.entries.len());
        let mut next = append.prev_index;
        for entry in append.entries {
            next = next.checked_add(1).ok_or(WireError::InvalidEntry)?;
            if entry.index != next {
                return Err(WireError::Gap);
            }
            entries.push(entry.try_into()?);
        }
        Ok(Self {
            prev_index: Index(append.prev_index),
            prev_term: Term(append.prev_term),
            entries,
            commit: Index(append.commit),
            echo: append.echo.into(),
        })
    }
}

impl From<Body> for WireBody {
    fn from(body: Body) -> Self {
        match body {
            Body::PreVote { last } => Self::PreVote {
                last_term: last.term.0,
                last_index: last.index.0,
            },
            Body::PreVoteReply { asked, granted } => Self::PreVoteReply {
                asked: asked.0,
                granted,
            },
            Body::Vote { last, transfer } => Self::Vote {
                last_term: last.term.0,
                last_index: last.index.0,
                transfer,
            },
            Body::VoteReply { granted } => Self::VoteReply { granted },
            Body::Append(append) => Self::Append(append.into()),
            Body::AppendReply { result, echo } => reply(result, echo.into()),
            Body::Offer(snapshot) => Self::Offer(snapshot.into()),
            Body::Chunk(chunk) => Self::Chunk {
                id: chunk.id.into(),
                offset: chunk.offset,
                data: WireBytes(chunk.data),
            },
            Body::ChunkReply { id, received } => Self::ChunkReply {
                id: id.into(),
                received,
            },
            Body::Transfer => Self::Transfer,
        }
    }
}

fn reply(result: AppendResult, echo: WireEcho) -> WireBody {
    match result {
        AppendResult::Matched(index) => WireBody::Matched {
            index: index.0,
            echo,
        },
        AppendResult::Rejected { prev, hint } => WireBody::Rejected {
            prev: prev.0,
            hint: hint.0,
            echo,
        },
    }
}

fn last_entry(term: u64, index: u64) -> LastEntry {
    LastEntry {
        term: Term(term),
        index: Index(index),
    }
}

impl TryFrom<WireBody> for Body {
    type Error = WireError;

    fn try_from(body: WireBody) -> Result<Self, WireError> {
        Ok(match body {
            WireBody::PreVote {
                last_term,
                last_index,
            } => Self::PreVote {
                last: last_entry(last_term, last_index),
            },
            WireBody::PreVoteReply { asked, granted } => Self::PreVoteReply {
                asked: Term(asked),
                granted,
            },
            WireBody::Vote {
                last_term,
                last_index,
                transfer,
            } => Self::Vote {
                last: last_entry(last_term, last_index),
                transfer,
            },
            WireBody::VoteReply { granted } => Self::VoteReply { granted },
            WireBody::Append(append) => Self::Append(append.try_into()?),
            WireBody::Matched { index, echo } => Self::AppendReply {
                result: AppendResult::Matched(Index(index)),
                echo: echo.into(),
            },
            WireBody::Rejected { prev, hint, echo } => Self::AppendReply {
                result: AppendResult::Rejected {
                    prev: Index(prev),
                    hint: Index(hint),
                },
                echo: echo.into(),
            },
            WireBody::Offer(snapshot) => Self::Offer(snapshot.try_into()?),
            WireBody::Chunk { id, offset, data } => Self::Chunk(Chunk {
                id: id.into(),
                offset,
                data: data.0,
            }),
            WireBody::ChunkReply { id, received } => Self::ChunkReply {
                id: id.into(),
                received,
            },
            WireBody::Transfer => Self::Transfer,
        })
    }
}

impl From<Envelope> for WireEnvelope {
    fn from(envelope: Envelope) -> Self {
        Self {
            from: envelope.from.0,
            to: envelope.to.0,
            term: envelope.term.0,
            body: envelope.body.into(),
        }
    }
}

impl TryFrom<WireEnvelope> for Envelope {
    type Error = WireError;

    fn try_from(envelope: WireEnvelope) -> Result<Self, WireError> {
        let body: Body = envelope.body.try_into()?;
        if let Body::Append(append) = &body
            && append.entries.iter().any(|e| e.term.0 > envelope.term)
        {
            return Err(WireError::InvalidEntry);
        }
        Ok(Self {
            from: DiskId(envelope.from),
            to: DiskId(envelope.to),
            term: Term(envelope.term),
            body,
        })
    }
}
