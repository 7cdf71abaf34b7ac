//! Membership of the group: its voters and learners.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use yuccaseam_base::{
    InstanceName,
    key,
    value, //
};

use crate::DiskId;

/// Role of a member in the quorum.
#[key]
pub enum MemberRole {
    /// Receives the log; neither votes nor counts in a quorum.
    Learner,
    /// Votes, and its acknowledgements count in a quorum.
    Voter,
}

/// Member of the group.
#[value]
pub struct Member {
    /// Instance that holds the disk.
    pub name: InstanceName,
    /// Voter or learner.
    pub role: MemberRole,
}

/// Members of the group by disk.
#[value]
#[derive(Default)]
pub struct Membership {
    members: BTreeMap<DiskId, Member>,
    /// Instances that were removed and not added again. A leader that adds configured instances
    /// automatically must not add them.
    departed: BTreeSet<InstanceName>,
}

impl Membership {
    /// Creates a membership in which all given disks are voters.
    pub fn of_voters<I>(voters: I) -> Self
    where
        I: IntoIterator<Item = (DiskId, InstanceName)>,
    {
        let mut membership = Self::default();
        for (id, name) in voters {
            membership.insert(id, name, MemberRole::Voter);
        }
        membership
    }

    /// Adds a member, or replaces the one with this disk.
    pub fn insert(&mut self, id: DiskId, name: InstanceName, role: MemberRole) {
        self.members.insert(id, Member { name, role });
    }

    /// Records that an instance was removed.
    pub fn mark_departed(&mut self, name: InstanceName) {
        self.departed.insert(name);
    }

    /// Instances that were removed and not added again.
    pub fn departed(&self) -> impl Iterator<Item = &InstanceName> {
        self.departed.iter()
    }

    /// Whether an instance was removed and not added again.
    pub fn has_departed(&self, name: &InstanceName) -> bool {
        self.departed.contains(name)
    }

    /// Whether there are no members, as on a disk that never received a message from a leader.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Member with this disk.
    pub fn get(&self, id: DiskId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Whether this disk is a voter or a learner.
    pub fn contains(&self, id: DiskId) -> bool {
        self.members.contains_key(&id)
    }

    /// Whether this disk is a voter.
    pub fn is_voter(&self, id: DiskId) -> bool {
        self.get(id)
            .is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// All members in the order of their disks.
    pub fn iter(&self) -> impl Iterator<Item = (DiskId, &Member)> {
        self.members.iter().map(|(&id, member)| (id, member))
    }

    /// Disks of all voters.
    pub fn voters(&self) -> impl Iterator<Item = DiskId> {
        self.iter()
            .filter(|(_, member)| member.role == MemberRole::Voter)
            .map(|(id, _)| id)
    }

    /// Disk with which an instance votes.
    pub fn voter_named(&self, name: &InstanceName) -> Option<DiskId> {
        self.voters()
            .find(|&id| self.get(id).is_some_and(|member| member.name == *name))
    }

    /// Number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters that satisfy a predicate form a majority.
    pub fn is_quorum<F>(&self, mut test: F) -> bool
    where
        F: FnMut(DiskId) -> bool,
    {
        let count = self.voters().filter(|&id| test(id)).count();
        count >= self.majority()
    }

    /// Largest value reached by a majority of the voters; `None` without voters.
    pub(crate) fn quorum_value<T, F>(&self, value: F) -> Option<T>
    where
        T: Ord + Copy,
        F: FnMut(DiskId) -> T,
    {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied()
    }

    /// Returns this membership with a learner added. It replaces another learner of the same
    /// instance, whose disk must have been replaced.
    pub(crate) fn with_learner(&self, id: DiskId, name: InstanceName) -> Self {
        let mut next = self.clone();
        next.members
            .retain(|_, member| member.name != name || member.role == MemberRole::Voter);
        next.departed.remove(&name);
        next.insert(id, name, MemberRole::Learner);
        next
    }

    /// Returns this membership with a learner promoted to voter.
    pub(crate) fn with_voter(&self, id: DiskId) -> Self {
        let mut next = self.clone();
        if let Some(member) = next.members.get_mut(&id) {
            member.role = MemberRole::Voter;
        }
        next
    }

    /// Returns this membership without a member. The member's instance has departed unless another
    /// of its disks remains.
    pub(crate) fn without(&self, id: DiskId) -> Self {
        let mut next = self.clone();
        if let Some(Member { name, .. }) = next.members.remove(&id)
            && !next.members.values().any(|member| member.name == name)
        {
            next.mark_departed(name);
        }
        next
    }
}
