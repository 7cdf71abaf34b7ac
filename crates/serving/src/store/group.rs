//! Bootstrap and membership of the group of voters.
//!
//! A disk without a group cannot distinguish a new system from its own loss. A store with an empty
//! disk therefore bootstraps a group only at the first start of the whole system, and only if no
//! store that it knows of has a group and all of them agree on this founder. In every other case it
//! waits for a leader.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Millis, //
};
use yuccaseam_quorum::{
    Change,
    DiskId,
    MemberRole,
    Membership, //
};

/// How long the set of known stores must be stable before one bootstraps a group.
const MIN_STABLE_TIME: Millis = Millis(800);
/// How long a founder waits for as many stores as a full group has.
const FULL_GROUP_TIMEOUT: Millis = Millis(5_000);
/// How long a store counts as present after its last hello.
const PRESENCE_TIMEOUT: Millis = Millis(3_000);
/// How long a voter may be unresponsive before it is replaced. Longer than a restart, and shorter than
/// the time after which the loss of another disk must be survived (`catch_up_s` of the platform).
const STORE_LOSS_TIMEOUT: Millis = Millis(4_000);

/// Status that a store sent in its hello.
#[derive(Clone, Debug)]
pub struct StoreStatus {
    /// Disk of the store.
    pub disk: DiskId,
    /// Failure domain of the store.
    pub domain: FailureDomain,
    /// Whether its disk belongs to a group.
    pub has_group: bool,
    /// The store that it expects to bootstrap a group.
    pub founder: Option<InstanceName>,
    /// Time of receipt.
    pub received_at: Millis,
}

/// Decides on the bootstrap and the membership changes of the group.
#[derive(Debug)]
pub struct GroupManager {
    instance: InstanceName,
    is_first_start: bool,
    /// Number of voters of a full group.
    full_size: usize,
    stores: BTreeMap<InstanceName, StoreStatus>,
    /// The known stores, and the time since which the set is unchanged.
    stable_view: (BTreeSet<InstanceName>, Millis),
    started_at: Millis,
}

impl GroupManager {
    /// Creates the manager of one instance. The group tolerates the loss of `tolerated` voters.
    pub fn new(
        instance: InstanceName,
        is_first_start: bool,
        tolerated: usize,
        now: Millis,
    ) -> Self {
        Self {
            instance,
            is_first_start,
            full_size: 2 * tolerated + 1,
            stores: BTreeMap::new(),
            stable_view: (BTreeSet::new(), now),
            started_at: now,
        }
    }

    /// Records the status of a store, which may be this one. Returns whether its disk has changed.
    pub fn record_hello(&mut self, name: InstanceName, status: StoreStatus) -> bool {
        let disk = status.disk;
        let before = self.stores.insert(name, status);
        before.is_some_and(|before| before.disk != disk)
    }

    /// The store that this one expects to bootstrap a group.
    pub fn founder(&self) -> Option<InstanceName> {
        self.stores.keys().next().cloned()
    }

    /// Returns the instance that holds a disk.
    pub fn instance_of(&self, disk: DiskId) -> Option<&InstanceName> {
        let mut stores = self.stores.iter();
        stores
            .find(|(_, status)| status.disk == disk)
            .map(|(name, _)| name)
    }

    /// Whether this store should bootstrap a group now.
    pub fn can_bootstrap(&mut self, now: Millis) -> bool {
        let names: BTreeSet<_> = self.stores.keys().cloned().collect();
        if names != self.stable_view.0 {
            self.stable_view = (names, now);
        }
        let is_stable = now >= self.stable_view.1 + MIN_STABLE_TIME;
        let is_full =
            self.stores.len() >= self.full_size || now >= self.started_at + FULL_GROUP_TIMEOUT;
        let is_agreed = self.stores.values().all(|status| {
            !status.has_group
                && status.founder.as_ref() == Some(&self.instance)
                && now < status.received_at + PRESENCE_TIMEOUT
        });
        self.is_first_start && is_stable && is_full && is_agreed && !self.stores.is_empty()
    }

    fn present(&self, now: Millis) -> impl Iterator<Item = (&InstanceName, &StoreStatus)> {
        let stores = self.stores.iter();
        stores.filter(move |(_, status)| now < status.received_at + PRESENCE_TIMEOUT)
    }

    /// Minimum number of voters before a new group accepts commands.
    pub fn min_voters(&self, now: Millis) -> usize {
        self.present(now).count().min(self.full_size)
    }

    /// Returns the next change by the leader, if any. All future voters become learners first, at
    /// the same time; then those that keep up with the log according to `is_synced` are made voters one by
    /// one.
    pub fn next_change<F>(
        &self,
        group: &Membership,
        retiring: &BTreeSet<InstanceName>,
        is_synced: F,
        now: Millis,
    ) -> Option<Change>
    where
        F: Fn(DiskId) -> bool,
    {
        if let Some((name, id)) = self.store_with_new_disk(group, retiring, now) {
            return Some(Change::AddLearner {
                id,
                name: name.clone(),
            });
        }
        let voters: Vec<_> = group.voters().collect();
        for old in voters.iter().copied() {
            let Some(member) = group.get(old) else {
                continue;
            };
            let Some(new) = self.replacement(old, &member.name, group, retiring, now) else {
                continue;
            };
            if !group.contains(new.1)
                || (is_synced(new.1) && self.must_leave(old, &member.name, retiring, now))
            {
                return Some(join(group, new, Change::Replace { old, new: new.1 }));
            }
        }
        if voters.len() < self.full_size
            && let Some(new) = self.candidate(group, retiring, now)
            && (is_synced(new.1) || !group.contains(new.1))
        {
            return Some(join(group, new, Change::Promote(new.1)));
        }
        self.unneeded_learner(group, retiring, now)
            .map(Change::Remove)
    }

    /// Finds a store that returned with an empty disk while its lost disk is still a voter.
    fn store_with_new_disk(
        &self,
        group: &Membership,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<(&InstanceName, DiskId)> {
        let mut present = self.present(now);
        let (name, status) = present.find(|(name, status)| {
            let is_lost = group
                .voter_named(name)
                .is_some_and(|disk| disk != status.disk);
            is_lost && !group.contains(status.disk) && !retiring.contains(*name)
        })?;
        Some((name, status.disk))
    }

    /// Returns the replacement of a voter that is unresponsive, lost or retiring; `None` if the voter
    /// stays, or no store can replace it. It becomes a learner before the voter counts as lost.
    fn replacement(
        &self,
        old: DiskId,
        name: &InstanceName,
        group: &Membership,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<(&InstanceName, DiskId)> {
        let known = self.stores.get_key_value(name);
        if let Some((name, status)) = known
            && status.disk != old
            && now < status.received_at + PRESENCE_TIMEOUT
            && !retiring.contains(name)
        {
            return Some((name, status.disk));
        }
        let may_leave = retiring.contains(name) || self.is_silent(old, name, PRESENCE_TIMEOUT, now);
        may_leave.then(|| self.candidate(group, retiring, now))?
    }

    /// Whether a voter is to be replaced as soon as another store can vote.
    fn must_leave(
        &self,
        disk: DiskId,
        name: &InstanceName,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> bool {
        let has_new_disk = self
            .present(now)
            .any(|(other, status)| other == name && status.disk != disk);
        has_new_disk
            || retiring.contains(name)
            || self.is_silent(disk, name, STORE_LOSS_TIMEOUT, now)
    }

    /// Whether a disk has not been heard of for `timeout`, or since the start of this process.
    fn is_silent(&self, disk: DiskId, name: &InstanceName, timeout: Millis, now: Millis) -> bool {
        let status = self.stores.get(name);
        let is_silent =
            status.is_none_or(|status| now > status.received_at + timeout || status.disk != disk);
        is_silent && now > self.started_at + timeout
    }

    /// Chooses the best store to join: learners first, then failure domains with few voters.
    fn candidate(
        &self,
        group: &Membership,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<(&InstanceName, DiskId)> {
        let voters_in = |domain: &FailureDomain| {
            let voters = group.voters();
            voters
                .filter_map(|disk| self.stores.values().find(|status| status.disk == disk))
                .filter(|status| status.domain == *domain)
                .count()
        };
        let candidates = self.present(now).filter(|(name, status)| {
            !group.is_voter(status.disk)
                && group.voter_named(name).is_none()
                && !retiring.contains(*name)
        });
        candidates
            .min_by_key(|(name, status)| {
                let is_learner = group.contains(status.disk);
                (!is_learner, voters_in(&status.domain), (*name).clone())
            })
            .map(|(name, status)| (name, status.disk))
    }

    /// Finds a learner that is unresponsive or retiring.
    fn unneeded_learner(
        &self,
        group: &Membership,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<DiskId> {
        let mut learners = group
            .iter()
            .filter(|(_, member)| member.role == MemberRole::Learner);
        let grace_elapsed = now > self.started_at + STORE_LOSS_TIMEOUT;
        let is_unresponsive = |disk| {
            let status = self.stores.values().find(|status| status.disk == disk);
            status.is_none_or(|status| now > status.received_at + STORE_LOSS_TIMEOUT)
        };
        let unneeded = learners.find(|(disk, member)| {
            retiring.contains(&member.name) || (grace_elapsed && is_unresponsive(*disk))
        });
        unneeded.map(|(disk, _)| disk)
    }

    /// Whether a store can be retired without leaving too few; `None` if it is unknown.
    pub fn can_retire(
        &self,
        name: &InstanceName,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<bool> {
        if !self.stores.contains_key(name) {
            return None;
        }
        let remaining = self
            .present(now)
            .filter(|(other, _)| *other != name && !retiring.contains(*other));
        Some(remaining.count() >= self.full_size)
    }
}

/// Adds a store as a learner if it is not yet in the group; otherwise returns `vote`.
fn join(group: &Membership, (name, disk): (&InstanceName, DiskId), vote: Change) -> Change {
    if group.contains(disk) {
        return vote;
    }
    Change::AddLearner {
        id: disk,
        name: name.clone(),
    }
}
