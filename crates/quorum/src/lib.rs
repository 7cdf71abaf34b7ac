//! Consensus core that replicates one log: elections, leases, membership changes and snapshot
//! transfer, without I/O.
//!
//! The protocol is Raft with pre-vote, a leader lease renewed by the replies of a quorum, reads
//! confirmed by a quorum, and one membership change at a time. [`Core::step`] takes an [`Event`]
//! and the current time and returns [`Action`]s. The caller owns disk, network and clock.

mod change;
mod core;
mod election;
mod entry;
mod event;
mod follower;
mod id;
mod leader;
mod link_rate;
mod log;
mod membership;
mod message;
mod progress;
mod reads;
mod role;
mod rotation;
mod timing;
mod traffic;
mod transfer;
mod wire;
mod writer;

pub use crate::core::{
    Config,
    Core, //
};
pub use entry::{
    Entry,
    HardState,
    Incoming,
    Payload,
    Persist,
    Restored,
    Snapshot,
    SnapshotId, //
};
pub use event::{
    Action,
    Change,
    ChangeError,
    Committed,
    Event,
    Proposal, //
};
pub use id::{
    DiskId,
    Index,
    Round,
    SyncSeq,
    Term,
    Token, //
};
pub use membership::{
    Member,
    MemberRole,
    Membership, //
};
pub use message::{
    Append,
    AppendResult,
    Body,
    Chunk,
    Echo,
    Envelope,
    LastEntry, //
};
pub use progress::ReplicationStep;
pub use rotation::ChangeRotation;
pub use timing::Timing;
pub use transfer::CHUNK_BYTES;
pub use wire::{
    WireAppend,
    WireBody,
    WireBytes,
    WireEcho,
    WireEntry,
    WireEnvelope,
    WireError,
    WireHardState,
    WireMember,
    WireMembership,
    WirePayload,
    WireSnapshot,
    WireSnapshotId, //
};
