//! The membership changes that are open to the leader, and the store chosen for each voter that must be replaced.

use std::collections::BTreeSet;

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

use super::{
    GroupManager,
    LEARNER_LOSS_TIMEOUT,
    PRESENCE_TIMEOUT,
    StoreStatus, //
};

/// Why the group needs a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// The group has too few voters.
    Vacancy,
    /// A voter is unresponsive, or has lost its disk.
    Lost(DiskId),
    /// A voter is to be retired.
    Retiring(DiskId),
    /// None yet: the store is new, and may be the successor of one that is lost.
    Preparation,
}

impl Need {
    fn urgency(self) -> Urgency {
        match self {
            Self::Vacancy | Self::Lost(_) => Urgency::Loss,
            Self::Retiring(_) => Urgency::Retirement,
            Self::Preparation => Urgency::Preparation,
        }
    }
}

/// Kinds of needs, in the order in which their changes are proposed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Urgency {
    Loss,
    Retirement,
    Preparation,
}

impl Urgency {
    const ALL: [Self; 3] = [Self::Loss, Self::Retirement, Self::Preparation];
}

/// A need, and the store chosen for it.
#[derive(Debug)]
struct Assignment {
    need: Need,
    name: InstanceName,
    disk: DiskId,
}

/// What the decision on the next change rests on.
pub(super) struct Plan<'a, F> {
    pub(super) manager: &'a GroupManager,
    pub(super) group: &'a Membership,
    /// Instances that an operator retires.
    pub(super) retiring: &'a BTreeSet<InstanceName>,
    /// Whether a learner responds and keeps up with the log.
    pub(super) is_synced: &'a F,
    pub(super) now: Millis,
}

impl<F> Plan<'_, F>
where
    F: Fn(DiskId) -> bool,
{
    /// All changes that could be made now, the most urgent one first.
    pub(super) fn open_changes(&self) -> Vec<Change> {
        let assignments = self.assignments();
        let mut changes = Vec::new();
        for urgency in Urgency::ALL {
            let assigned = assignments
                .iter()
                .filter(|assigned| assigned.need.urgency() == urgency);
            changes.extend(assigned.clone().filter_map(|assigned| self.join(assigned)));
            changes.extend(assigned.filter_map(|assigned| self.vote(assigned)));
        }
        changes.extend(self.unneeded_learners(&assignments).map(Change::Remove));
        changes
    }

    /// The change that makes the chosen store a learner.
    fn join(&self, assigned: &Assignment) -> Option<Change> {
        (!self.group.contains(assigned.disk)).then(|| Change::AddLearner {
            id: assigned.disk,
            name: assigned.name.clone(),
        })
    }

    /// The change that makes the chosen store a voter, once it is synced.
    fn vote(&self, assigned: &Assignment) -> Option<Change> {
        if !self.is_ready(assigned.disk) {
            return None;
        }
        let new = assigned.disk;
        match assigned.need {
            Need::Vacancy => Some(Change::Promote(new)),
            Need::Lost(old) => {
                let must_leave = self.is_lost_for_good(old) || self.is_retiring(old);
                must_leave.then_some(Change::Replace { old, new })
            }
            Need::Retiring(old) => {
                let may_leave = self.can_retire(old) && self.enough_remain_without(old);
                may_leave.then_some(Change::Replace { old, new })
            }
            Need::Preparation => None,
        }
    }

    /// Whether the group remains full without a voter that retires, which does not come back.
    fn enough_remain_without(&self, voter: DiskId) -> bool {
        let mut remaining = self.manager.present(self.now).filter(|(name, status)| {
            Some(*name) != self.name_of(voter)
                && !self.retiring.contains(*name)
                && !self.manager.may_be_succeeded(name, status)
        });
        remaining.nth(self.manager.full_size - 1).is_some()
    }

    /// Whether a disk is a learner that could vote now.
    fn is_ready(&self, disk: DiskId) -> bool {
        self.group.contains(disk) && !self.group.is_voter(disk) && (self.is_synced)(disk)
    }

    /// Chooses a store for each need, as far as there are stores.
    fn assignments(&self) -> Vec<Assignment> {
        let mut assignments: Vec<Assignment> = Vec::new();
        for need in self.needs() {
            let is_free = |status: &StoreStatus| {
                let mut assigned = assignments.iter();
                assigned.all(|assigned| assigned.disk != status.disk)
            };
            let best = self
                .candidates(need)
                .filter(|(_, status)| is_free(status))
                .min_by_key(|(name, status)| self.rank(need, name, status));
            if let Some((name, status)) = best {
                assignments.push(Assignment {
                    need,
                    name: name.clone(),
                    disk: status.disk,
                });
            }
        }
        self.prepare_new_stores(&mut assignments);
        assignments
    }

    /// Adds the new stores that no need has chosen, as many as may be lost at a time.
    fn prepare_new_stores(&self, assignments: &mut Vec<Assignment>) {
        let is_chosen = |disk| assignments.iter().any(|assigned| assigned.disk == disk);
        let new = self
            .candidates(Need::Preparation)
            .filter(|(_, status)| self.manager.is_new(status.disk, self.now))
            .filter(|(_, status)| !is_chosen(status.disk))
            .take(self.manager.full_size / 2);
        let new: Vec<_> = new
            .map(|(name, status)| Assignment {
                need: Need::Preparation,
                name: name.clone(),
                disk: status.disk,
            })
            .collect();
        assignments.extend(new);
    }

    /// All needs, the most urgent one first. The leader retires last: the others cannot go on while it transfers
    /// leadership.
    fn needs(&self) -> Vec<Need> {
        let vacancies = self
            .manager
            .full_size
            .saturating_sub(self.group.voters().count());
        let mut needs = vec![Need::Vacancy; vacancies];
        let (lost, sound): (Vec<_>, Vec<_>) =
            self.group.voters().partition(|&voter| self.is_lost(voter));
        needs.extend(lost.into_iter().map(Need::Lost));
        let mut retiring: Vec<_> = sound
            .into_iter()
            .filter(|voter| self.is_retiring(*voter))
            .collect();
        retiring.sort_by_key(|voter| self.is_own(*voter));
        needs.extend(retiring.into_iter().map(Need::Retiring));
        needs
    }

    fn name_of(&self, disk: DiskId) -> Option<&InstanceName> {
        self.group.get(disk).map(|member| &member.name)
    }

    /// Whether a disk is that of this store, the leader.
    fn is_own(&self, disk: DiskId) -> bool {
        self.name_of(disk) == Some(&self.manager.instance)
    }

    /// Whether a member is to be retired.
    fn is_retiring(&self, disk: DiskId) -> bool {
        let name = self.name_of(disk);
        name.is_some_and(|name| self.retiring.contains(name))
    }

    /// Whether a store should be prepared to replace a voter that does not retire.
    fn is_lost(&self, voter: DiskId) -> bool {
        self.is_lost_after(voter, PRESENCE_TIMEOUT)
    }

    /// Whether a voter is to be replaced as soon as another store can vote.
    fn is_lost_for_good(&self, voter: DiskId) -> bool {
        self.is_lost_after(voter, self.manager.budget.loss_timeout())
    }

    /// Whether the instance of a voter has another disk now, or has been silent for `timeout`.
    fn is_lost_after(&self, voter: DiskId, timeout: Millis) -> bool {
        let Some(name) = self.name_of(voter) else {
            return false;
        };
        let mut present = self.manager.present(self.now);
        let has_new_disk = present.any(|(other, status)| other == name && status.disk != voter);
        has_new_disk || self.manager.is_silent(voter, name, timeout, self.now)
    }

    /// Whether a voter that retires can be replaced: while another voter is silent, it might be lost, and in need of the
    /// store. The leader also transfers leadership for that, during which commands are refused.
    fn can_retire(&self, voter: DiskId) -> bool {
        let mut others = self.group.voters().filter(|&id| id != voter);
        let may_transfer = !self.is_own(voter) || self.now >= self.manager.transfer_at;
        may_transfer && others.all(|id| self.is_own(id) || self.manager.responds(id, self.now))
    }

    /// The stores that could serve a need. An instance votes with one disk: if it still has a voter, its new disk
    /// serves only to replace that one. A store that retires is taken back only for its own voter, and no other one takes
    /// its place if too few would remain.
    fn candidates(&self, need: Need) -> impl Iterator<Item = (&InstanceName, &StoreStatus)> {
        let stores = self.manager.present(self.now);
        let is_open = match need {
            Need::Lost(old) => !self.is_retiring(old) || self.enough_remain_without(old),
            Need::Vacancy | Need::Retiring(_) | Need::Preparation => true,
        };
        stores.filter(move |(name, status)| {
            let may_vote = self.is_own_voter(need, name) || {
                is_open && self.group.voter_named(name).is_none() && !self.retiring.contains(*name)
            };
            may_vote && !self.group.is_voter(status.disk)
        })
    }

    /// Whether a need is to replace the lost disk of an instance.
    fn is_own_voter(&self, need: Need, name: &InstanceName) -> bool {
        matches!(need, Need::Lost(old) if self.name_of(old) == Some(name))
    }

    /// Order of the stores for a need: those that could vote now, then those that catch up, then others, and last those
    /// that do not catch up, or retire. Among equals the instance itself comes first, then failure domains with few
    /// voters.
    fn rank<'n>(
        &self,
        need: Need,
        name: &'n InstanceName,
        status: &StoreStatus,
    ) -> impl Ord + use<'n, F> {
        let is_learner = self.group.contains(status.disk);
        let is_stalled = is_learner && self.manager.is_stalled(status.disk, self.now);
        (
            self.retiring.contains(name),
            !self.is_ready(status.disk),
            is_stalled,
            !self.is_own_voter(need, name),
            !is_learner,
            self.voters_in(&status.domain),
            name,
        )
    }

    fn voters_in(&self, domain: &FailureDomain) -> usize {
        let stores = &self.manager.stores;
        let voters = self.group.voters();
        voters
            .filter_map(|disk| stores.values().find(|status| status.disk == disk))
            .filter(|status| status.domain == *domain)
            .count()
    }

    /// Finds learners that are unresponsive, retiring, or were new and are not needed, and not chosen for a need.
    fn unneeded_learners(&self, assignments: &[Assignment]) -> impl Iterator<Item = DiskId> {
        let stores = &self.manager.stores;
        let grace_elapsed = self.now > self.manager.started_at + LEARNER_LOSS_TIMEOUT;
        let is_sound = self.group.voters().all(|voter| !self.is_lost(voter));
        let is_unresponsive = |disk| {
            let status = stores.values().find(|status| status.disk == disk);
            status.is_none_or(|status| self.now > status.received_at + LEARNER_LOSS_TIMEOUT)
        };
        let is_chosen = |disk| assignments.iter().any(|assigned| assigned.disk == disk);
        let learners = self
            .group
            .iter()
            .filter(|(_, member)| member.role == MemberRole::Learner);
        learners
            .filter(move |(disk, member)| {
                let is_retiring = self.retiring.contains(&member.name) && !is_chosen(*disk);
                let is_idle =
                    is_sound && !is_chosen(*disk) && self.manager.was_new(*disk, self.now);
                is_retiring || is_idle || (grace_elapsed && is_unresponsive(*disk))
            })
            .map(|(disk, _)| disk)
    }
}
