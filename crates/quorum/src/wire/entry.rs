//! Wire types of log entries, hard state and snapshots.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    InstanceName,
    key,
    record, //
};

use super::{
    WireBytes,
    WireError, //
};
use crate::{
    DiskId,
    Entry,
    HardState,
    Index,
    MemberRole,
    Membership,
    Payload,
    Snapshot,
    SnapshotId,
    Term, //
};

/// Wire form of [`Member`](crate::Member) with its disk.
#[record]
pub struct WireMember {
    /// Identity of the member's disk.
    pub id: u64,
    /// Instance that holds the disk.
    pub name: InstanceName,
    /// Whether the member is a voter rather than a learner.
    pub votes: bool,
}

/// Wire form of [`Membership`].
#[record]
pub struct WireMembership {
    /// Voters and learners.
    pub members: Vec<WireMember>,
    /// Instances that were removed and not added again.
    pub departed: Vec<InstanceName>,
}

/// Wire form of [`Payload`].
#[record]
pub enum WirePayload {
    /// See [`Payload::Empty`].
    Empty,
    /// See [`Payload::Command`].
    Command(WireBytes),
    /// See [`Payload::Members`].
    Members(WireMembership),
}

/// Wire form of [`Entry`].
#[record]
pub struct WireEntry {
    /// Position in the log.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Command, membership or nothing.
    pub payload: WirePayload,
}

/// Wire form of [`HardState`].
#[key]
#[derive(Serialize, Deserialize)]
pub struct WireHardState {
    /// Latest known term.
    pub term: u64,
    /// Candidate that received this replica's vote in that term.
    pub vote: Option<u64>,
}

/// Wire form of [`SnapshotId`].
#[key]
#[derive(Serialize, Deserialize)]
pub struct WireSnapshotId {
    /// Index of the last covered entry.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Length in bytes.
    pub size: u64,
    /// SHA-256 of the bytes.
    pub digest: [u8; 32],
}

/// Wire form of [`Snapshot`].
#[record]
pub struct WireSnapshot {
    /// Position, length and digest.
    pub id: WireSnapshotId,
    /// Membership as of the last covered entry.
    pub group: WireMembership,
}

fn members(membership: &Membership) -> Vec<WireMember> {
    let member = |(id, member): (DiskId, &crate::Member)| WireMember {
        id: id.0,
        name: member.name.clone(),
        votes: member.role == MemberRole::Voter,
    };
    membership.iter().map(member).collect()
}

impl From<Membership> for WireMembership {
    fn from(membership: Membership) -> Self {
        Self {
            members: members(&membership),
            departed: membership.departed().cloned().collect(),
        }
    }
}

impl TryFrom<WireMembership> for Membership {
    type Error = WireError;

    fn try_from(wire: WireMembership) -> Result<Self, WireError> {
        let ids: BTreeSet<u64> = wire.members.iter().map(|member| member.id).collect();
        if ids.len() < wire.members.len() {
            return Err(WireError::DuplicateMember);
        }
        let mut membership = Self::default();
        for member in wire.members {
            let role = match member.votes {
                true => MemberRole::Voter,
                false => MemberRole::Learner,
            };
            membership.insert(DiskId(member.id), member.name, role);
        }
        for name in wire.departed {
            membership.mark_departed(name);
        }
        Ok(membership)
    }
}

impl From<Entry> for WireEntry {
    fn from(entry: Entry) -> Self {
        let payload = match entry.payload {
            Payload::Empty => WirePayload::Empty,
            Payload::Command(data) => WirePayload::Command(WireBytes(data)),
            Payload::Members(membership) => WirePayload::Members(membership.into()),
        };
        Self {
            index: entry.index.0,
            term: entry.term.0,
            payload,
        }
    }
}

impl TryFrom<WireEntry> for Entry {
    type Error = WireError;

    fn try_from(entry: WireEntry) -> Result<Self, WireError> {
        if entry.index == 0 {
            return Err(WireError::InvalidEntry);
        }
        let payload = match entry.payload {
            WirePayload::Empty => Payload::Empty,
            WirePayload::Command(data) => Payload::Command(data.0),
            WirePayload::Members(wire) => Payload::Members(wire.try_into()?),
        };
        Ok(Self {
            index: Index(entry.index),
            term: Term(entry.term),
            payload,
        })
    }
}

impl From<HardState> for WireHardState {
    fn from(hard_state: HardState) -> Self {
        Self {
            term: hard_state.term.0,
            vote: hard_state.vote.map(|id| id.0),
        }
    }
}

impl From<WireHardState> for HardState {
    fn from(hard_state: WireHardState) -> Self {
        Self {
            term: Term(hard_state.term),
            vote: hard_state.vote.map(DiskId),
        }
    }
}

impl From<SnapshotId> for WireSnapshotId {
    fn from(id: SnapshotId) -> Self {
        Self {
            index: id.index.0,
            term: id.term.0,
            size: id.size,
            digest: id.digest,
        }
    }
}

impl From<WireSnapshotId> for SnapshotId {
    fn from(id: WireSnapshotId) -> Self {
        Self {
            index: Index(id.index),
            term: Term(id.term),
            size: id.size,
            digest: id.digest,
        }
    }
}

impl From<Snapshot> for WireSnapshot {
    fn from(snapshot: Snapshot) -> Self {
        Self {
            id: snapshot.id.into(),
            group: snapshot.membership.into(),
        }
    }
}

impl TryFrom<WireSnapshot> for Snapshot {
    type Error = WireError;

    fn try_from(snapshot: WireSnapshot) -> Result<Self, WireError> {
        Ok(Self {
            id: snapshot.id.into(),
            membership: snapshot.group.try_into()?,
        })
    }
}
