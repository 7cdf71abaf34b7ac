//! Wire types of what the log and the disk hold.

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
    Membership,
    Payload,
    Snapshot,
    SnapshotId,
    Standing,
    Term, //
};

/// One member of the group.
#[record]
pub struct WireMember {
    /// The disk.
    pub id: u64,
    /// The instance.
    pub name: InstanceName,
    /// Whether it votes.
    pub votes: bool,
}

/// The group.
#[record]
pub struct WireMembership {
    /// Its members.
    pub members: Vec<WireMember>,
    /// The instances that were removed and not added again.
    pub departed: Vec<InstanceName>,
}

/// What an entry carries.
#[record]
pub enum WirePayload {
    /// Nothing.
    Empty,
    /// A command.
    Command(WireBytes),
    /// The group.
    Members(WireMembership),
}

/// One entry of the log.
#[record]
pub struct WireEntry {
    /// Its position.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// What it carries.
    pub payload: WirePayload,
}

/// What a replica must remember of elections.
#[key]
#[derive(Serialize, Deserialize)]
pub struct WireHardState {
    /// The term.
    pub term: u64,
    /// The vote in that term.
    pub vote: Option<u64>,
}

/// Identifies one snapshot.
#[key]
#[derive(Serialize, Deserialize)]
pub struct WireSnapshotId {
    /// The last entry that it covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The length in bytes.
    pub size: u64,
    /// The SHA-256 of the bytes.
    pub digest: [u8; 32],
}

/// All that is known of a snapshot but its bytes.
#[record]
pub struct WireSnapshot {
    /// Which snapshot.
    pub id: WireSnapshotId,
    /// The group as of its last entry.
    pub group: WireMembership,
}

fn members(membership: &Membership) -> Vec<WireMember> {
    let member = |(id, member): (DiskId, &crate::Member)| WireMember {
        id: id.0,
        name: member.name.clone(),
        votes: member.standing == Standing::Voter,
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
            return Err(WireError::DoubleMember);
        }
        let mut membership = Self::default();
        for member in wire.members {
            let standing = match member.votes {
                true => Standing::Voter,
                false => Standing::Learner,
            };
            membership.insert(DiskId(member.id), member.name, standing);
        }
        for name in wire.departed {
            membership.depart(name);
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
            return Err(WireError::BadEntry);
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
    fn from(hard: HardState) -> Self {
        Self {
            term: hard.term.0,
            vote: hard.vote.map(|id| id.0),
        }
    }
}

impl From<WireHardState> for HardState {
    fn from(hard: WireHardState) -> Self {
        Self {
            term: Term(hard.term),
            vote: hard.vote.map(DiskId),
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
