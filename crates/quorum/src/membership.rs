//! Which disks are members of the group, and which of them vote.

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

/// Whether a member counts in the quorum.
#[key]
pub enum Standing {
    /// Receives the log and counts for nothing.
    Learner,
    /// Votes, and its acknowledgements count.
    Voter,
}

/// One member of the group.
#[value]
pub struct Member {
    /// The instance that holds the disk.
    pub name: InstanceName,
    /// Whether it votes.
    pub standing: Standing,
}

/// The members of the group by disk.
#[value]
#[derive(Default)]
pub struct Membership {
    members: BTreeMap<DiskId, Member>,
    /// Instances that were removed and not added again. A leader that adds configured instances by
    /// itself must not bring them back.
    departed: BTreeSet<InstanceName>,
}

impl Membership {
    /// A group in which every given disk votes.
    pub fn of_voters<I>(voters: I) -> Self
    where
        I: IntoIterator<Item = (DiskId, InstanceName)>,
    {
        let mut membership = Self::default();
        for (id, name) in voters {
            membership.insert(id, name, Standing::Voter);
        }
        membership
    }

    /// Adds a member, or changes the one with this disk.
    pub fn insert(&mut self, id: DiskId, name: InstanceName, standing: Standing) {
        self.members.insert(id, Member { name, standing });
    }

    /// Notes that an instance was removed.
    pub fn depart(&mut self, name: InstanceName) {
        self.departed.insert(name);
    }

    /// The instances that were removed and not added again.
    pub fn departed(&self) -> impl Iterator<Item = &InstanceName> {
        self.departed.iter()
    }

    /// Whether an instance was removed and not added again.
    pub fn has_departed(&self, name: &InstanceName) -> bool {
        self.departed.contains(name)
    }

    /// Whether nobody is a member, as on a disk that has not heard from any leader.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The member with this disk.
    pub fn get(&self, id: DiskId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Whether this disk is a member of either standing.
    pub fn contains(&self, id: DiskId) -> bool {
        self.members.contains_key(&id)
    }

    /// Whether this disk votes.
    pub fn is_voter(&self, id: DiskId) -> bool {
        self.get(id)
            .is_some_and(|member| member.standing == Standing::Voter)
    }

    /// Every member, by disk.
    pub fn iter(&self) -> impl Iterator<Item = (DiskId, &Member)> {
        self.members.iter().map(|(&id, member)| (id, member))
    }

    /// The disks that vote.
    pub fn voters(&self) -> impl Iterator<Item = DiskId> {
        self.iter()
            .filter(|(_, member)| member.standing == Standing::Voter)
            .map(|(id, _)| id)
    }

    /// The disk under which an instance votes.
    pub fn voter_named(&self, name: &InstanceName) -> Option<DiskId> {
        self.voters()
            .find(|&id| self.get(id).is_some_and(|member| member.name == *name))
    }

    /// How many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters that pass the test are a majority.
    pub fn is_quorum<F>(&self, mut test: F) -> bool
    where
        F: FnMut(DiskId) -> bool,
    {
        let count = self.voters().filter(|&id| test(id)).count();
        count >= self.majority()
    }

    /// The largest value that a majority of the voters has reached; `None` without voters.
    pub(crate) fn quorum_value<T, F>(&self, value: F) -> Option<T>
    where
        T: Ord + Copy,
        F: FnMut(DiskId) -> T,
    {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied()
    }

    /// This group with a learner added. Another learner of the same name leaves, because its disk
    /// was replaced.
    pub(crate) fn with_learner(&self, id: DiskId, name: InstanceName) -> Self {
        let mut next = self.clone();
        next.members
            .retain(|_, member| member.name != name || member.standing == Standing::Voter);
        next.departed.remove(&name);
        next.insert(id, name, Standing::Learner);
        next
    }

    /// This group with a learner made a voter.
    pub(crate) fn with_voter(&self, id: DiskId) -> Self {
        let mut next = self.clone();
        if let Some(member) = next.members.get_mut(&id) {
            member.standing = Standing::Voter;
        }
        next
    }

    /// This group without a member. Its instance has departed, unless another disk of it stays.
    pub(crate) fn without(&self, id: DiskId) -> Self {
        let mut next = self.clone();
        if let Some(Member { name, .. }) = next.members.remove(&id)
            && !next.members.values().any(|member| member.name == name)
        {
            next.depart(name);
        }
        next
    }
}
