//! Who begins the group of voters, and who belongs to it.
//!
//! A disk without a group cannot tell a new system from its own loss. An empty disk therefore begins
//! a group only at the first start of the whole system, if every store that it knows of has no group
//! either and agrees that this one begins. In every other case it waits for a leader.

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
    Membership,
    Standing, //
};

/// How long the known stores must stay the same before one begins a group.
const SETTLED: Millis = Millis(800);
/// How long a founder waits for as many stores as a full group has.
const WAIT_FOR_FULL: Millis = Millis(5_000);
/// How long a store counts as present after its last sign of life.
const PRESENT: Millis = Millis(3_000);
/// How long a voter may be silent before another store takes its place. Longer than a restart.
const LOST: Millis = Millis(7_000);

/// What a store said of itself.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its disk.
    pub disk: DiskId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether its disk belongs to a group.
    pub has_group: bool,
    /// Which store it would let begin a group.
    pub founder: Option<InstanceName>,
    /// When it said so.
    pub at: Millis,
}

/// Decides on the beginning and the changes of the group.
#[derive(Debug)]
pub struct GroupKeeper {
    own: InstanceName,
    is_first_start: bool,
    /// Voters that the group is to have.
    wanted: usize,
    seen: BTreeMap<InstanceName, Seen>,
    /// The stores that are known, and since when these.
    settled: (BTreeSet<InstanceName>, Millis),
    started_at: Millis,
}

impl GroupKeeper {
    /// A keeper on one instance. The group bears the loss of `tolerated` of its voters.
    pub fn new(own: InstanceName, is_first_start: bool, tolerated: usize, now: Millis) -> Self {
        Self {
            own,
            is_first_start,
            wanted: 2 * tolerated + 1,
            seen: BTreeMap::new(),
            settled: (BTreeSet::new(), now),
            started_at: now,
        }
    }

    /// Takes in what a store, or this one, said of itself. True if it has another disk than before.
    pub fn on_hello(&mut self, name: InstanceName, seen: Seen) -> bool {
        let disk = seen.disk;
        let before = self.seen.insert(name, seen);
        before.is_some_and(|before| before.disk != disk)
    }

    /// The store that this one would let begin a group.
    pub fn founder(&self) -> Option<InstanceName> {
        self.seen.keys().next().cloned()
    }

    /// The instance that holds a disk.
    pub fn name(&self, disk: DiskId) -> Option<&InstanceName> {
        let mut seen = self.seen.iter();
        seen.find(|(_, seen)| seen.disk == disk)
            .map(|(name, _)| name)
    }

    /// Whether this store is to begin a group now.
    pub fn may_found(&mut self, now: Millis) -> bool {
        let names: BTreeSet<_> = self.seen.keys().cloned().collect();
        if names != self.settled.0 {
            self.settled = (names, now);
        }
        let settled = now >= self.settled.1 + SETTLED;
        let full = self.seen.len() >= self.wanted || now >= self.started_at + WAIT_FOR_FULL;
        let agreed = self.seen.values().all(|seen| {
            !seen.has_group && seen.founder.as_ref() == Some(&self.own) && now < seen.at + PRESENT
        });
        self.is_first_start && settled && full && agreed && !self.seen.is_empty()
    }

    fn present(&self, now: Millis) -> impl Iterator<Item = (&InstanceName, &Seen)> {
        let seen = self.seen.iter();
        seen.filter(move |(_, seen)| now < seen.at + PRESENT)
    }

    /// How many voters the group is to have at least before it accepts anything.
    pub fn first_voters(&self, now: Millis) -> usize {
        self.present(now).count().min(self.wanted)
    }

    /// What the leader changes next, if anything. Every store that is to vote follows the log first, all
    /// of them at once; then those that `is_synced` says hold the log are made voters one by one.
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
        if let Some((name, id)) = self.new_disk(group, retiring, now) {
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
            if let Some(new) = self.successor(old, &member.name, group, retiring, now)
                && (is_synced(new.1) || !group.contains(new.1))
            {
                return Some(join(group, new, Change::Replace { old, new: new.1 }));
            }
        }
        if voters.len() < self.wanted
            && let Some(new) = self.candidate(group, retiring, now)
            && (is_synced(new.1) || !group.contains(new.1))
        {
            return Some(join(group, new, Change::Promote(new.1)));
        }
        self.stray_learner(group, now).map(Change::Remove)
    }

    /// A store that came back with an empty disk while its lost disk votes.
    fn new_disk(
        &self,
        group: &Membership,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<(&InstanceName, DiskId)> {
        let mut present = self.present(now);
        let (name, seen) = present.find(|(name, seen)| {
            let lost = group
                .voter_named(name)
                .is_some_and(|disk| disk != seen.disk);
            lost && !group.contains(seen.disk) && !retiring.contains(*name)
        })?;
        Some((name, seen.disk))
    }

    /// Who takes the place of a voter that is lost or leaves. `None` if it stays, or nobody can.
    fn successor(
        &self,
        old: DiskId,
        name: &InstanceName,
        group: &Membership,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<(&InstanceName, DiskId)> {
        let seen = self.seen.get_key_value(name);
        if let Some((name, seen)) = seen
            && seen.disk != old
            && now < seen.at + PRESENT
            && !retiring.contains(name)
        {
            return Some((name, seen.disk));
        }
        let lost = seen.is_none_or(|(_, seen)| now > seen.at + LOST || seen.disk != old);
        let grace_over = now > self.started_at + LOST;
        let goes = retiring.contains(name) || (lost && grace_over);
        goes.then(|| self.candidate(group, retiring, now))?
    }

    /// The best store to join: a learner first, then one from a failure domain with few voters.
    fn candidate(
        &self,
        group: &Membership,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<(&InstanceName, DiskId)> {
        let voters_in = |domain: &FailureDomain| {
            let voters = group.voters();
            voters
                .filter_map(|disk| self.seen.values().find(|seen| seen.disk == disk))
                .filter(|seen| seen.domain == *domain)
                .count()
        };
        let free = self.present(now).filter(|(name, seen)| {
            !group.is_voter(seen.disk)
                && group.voter_named(name).is_none()
                && !retiring.contains(*name)
        });
        free.min_by_key(|(name, seen)| {
            let is_learner = group.contains(seen.disk);
            (!is_learner, voters_in(&seen.domain), (*name).clone())
        })
        .map(|(name, seen)| (name, seen.disk))
    }

    /// A learner that does not answer any more.
    fn stray_learner(&self, group: &Membership, now: Millis) -> Option<DiskId> {
        let mut learners = group
            .iter()
            .filter(|(_, member)| member.standing == Standing::Learner);
        let silent = |disk| {
            let seen = self.seen.values().find(|seen| seen.disk == disk);
            seen.is_none_or(|seen| now > seen.at + LOST)
        };
        let (disk, _) = learners.find(|(disk, _)| silent(*disk))?;
        (now > self.started_at + LOST).then_some(disk)
    }

    /// Whether a store can be emptied: `None` if it is unknown.
    pub fn can_retire(
        &self,
        name: &InstanceName,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<bool> {
        if !self.seen.contains_key(name) {
            return None;
        }
        let stay = self
            .present(now)
            .filter(|(other, _)| *other != name && !retiring.contains(*other));
        Some(stay.count() >= self.wanted)
    }
}

/// A store first follows the log, and then votes.
fn join(group: &Membership, (name, disk): (&InstanceName, DiskId), vote: Change) -> Change {
    if group.contains(disk) {
        return vote;
    }
    Change::AddLearner {
        id: disk,
        name: name.clone(),
    }
}
