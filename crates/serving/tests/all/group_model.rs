//! Model of a group of stores and of its core, which refuses what it cannot confirm. It drives the decision on
//! membership changes without I/O.

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
use yuccaseam_serving::{
    GroupManager,
    MemberStatus,
    StoreStatus,
    capacity::JoinBudget, //
};

/// How often the leader asks for a change.
const STEP: Millis = Millis(50);
/// Time until a change that cannot be confirmed is refused.
const CONFIRMATION_TIMEOUT: Millis = Millis(450);
/// Time in which a learner that responds catches up.
const SYNC_TIME: Millis = Millis(1_000);

/// How long the steps of the model take.
#[derive(Clone, Copy)]
pub(crate) struct Timing {
    /// Time from the start of a store until others hear of it.
    pub(crate) sight: Millis,
    /// Time without a leader once one cannot lead any more.
    pub(crate) election: Millis,
    /// Time in which a learner that responds catches up. It begins again with each election.
    pub(crate) sync: Millis,
}

/// How a store behaves.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Condition {
    Up,
    /// Neither sends nor receives.
    Down,
    /// What it sends arrives, but nothing reaches it.
    Unreachable,
    /// Acknowledges heartbeats, but never holds the log.
    NeverSyncs,
}

impl Condition {
    /// Whether messages reach the store.
    fn receives(self) -> bool {
        matches!(self, Self::Up | Self::NeverSyncs)
    }
}

/// Something that happens to a store.
#[derive(Clone, Copy)]
pub(crate) enum Fault {
    Becomes(Condition),
    /// Starts again with its disk.
    Restart,
    /// Starts again with an empty disk.
    Wipe,
    Retire,
    /// Leads from now on.
    Lead,
}

struct Store {
    disk: DiskId,
    condition: Condition,
    manager: GroupManager,
    /// Until when others do not hear of it.
    unseen_until: Millis,
}

/// A change that the core refuses or completes later.
struct Pending {
    change: Change,
    until: Millis,
    is_confirmed: bool,
}

/// Stores, the first of which are the voters; store 0 leads.
pub(crate) struct Model {
    pub(crate) now: Millis,
    tolerated: usize,
    pub(crate) full_size: usize,
    stores: Vec<Store>,
    free_disks: Vec<DiskId>,
    leader: usize,
    members: BTreeMap<DiskId, (InstanceName, MemberRole)>,
    added_at: BTreeMap<DiskId, Millis>,
    /// When each member last responded to this leader.
    contacts: BTreeMap<DiskId, Millis>,
    retiring: BTreeSet<InstanceName>,
    pending: Option<Pending>,
    pub(crate) leader_changes: usize,
    timing: Timing,
    budget: Option<JoinBudget>,
    /// Until when no store leads.
    elected_at: Millis,
}

pub(crate) fn name(store: usize) -> InstanceName {
    InstanceName(format!("store-{store}"))
}

impl Model {
    /// The identities of the stores' disks come first in `disks`, those of later disks follow.
    pub(crate) fn new(tolerated: usize, stores: usize, disks: &[u64]) -> Self {
        let full_size = 2 * tolerated + 1;
        let disks: Vec<_> = disks.iter().copied().map(DiskId).collect();
        let manager = |at| GroupManager::new(name(at), false, tolerated, Millis::ZERO);
        Self {
            now: Millis(10_000),
            tolerated,
            full_size,
            stores: (0..stores)
                .map(|at| Store {
                    disk: disks[at],
                    condition: Condition::Up,
                    manager: manager(at),
                    unseen_until: Millis::ZERO,
                })
                .collect(),
            free_disks: disks[stores..].to_vec(),
            leader: 0,
            members: (0..full_size)
                .map(|at| (disks[at], (name(at), MemberRole::Voter)))
                .collect(),
            added_at: BTreeMap::new(),
            contacts: BTreeMap::new(),
            retiring: BTreeSet::new(),
            pending: None,
            leader_changes: 0,
            timing: Timing {
                sight: Millis::ZERO,
                election: Millis::ZERO,
                sync: SYNC_TIME,
            },
            budget: None,
            elected_at: Millis::ZERO,
        }
    }

    /// Sets how long the steps take, and the budget that the stores know.
    pub(crate) fn with_timing(mut self, timing: Timing, budget: JoinBudget) -> Self {
        self.timing = timing;
        self.budget = Some(budget);
        for at in 0..self.stores.len() {
            self.stores[at].manager = self.manager(at, Millis::ZERO);
        }
        self
    }

    fn manager(&self, store: usize, now: Millis) -> GroupManager {
        let manager = GroupManager::new(name(store), false, self.tolerated, now);
        match self.budget {
            Some(budget) => manager.with_budget(budget),
            None => manager,
        }
    }

    pub(crate) fn leader(&self) -> usize {
        self.leader
    }

    pub(crate) fn group(&self) -> Membership {
        let mut group = Membership::default();
        for (id, (name, role)) in &self.members {
            group.insert(*id, name.clone(), *role);
        }
        group
    }

    fn condition_of(&self, disk: DiskId) -> Condition {
        let store = self.stores.iter().find(|store| store.disk == disk);
        store.map_or(Condition::Down, |store| store.condition)
    }

    /// Whether a disk acknowledges what the leader sends.
    fn responds(&self, disk: DiskId) -> bool {
        self.condition_of(disk).receives()
    }

    fn is_synced(&self, disk: DiskId) -> bool {
        let is_voter = self.group().is_voter(disk);
        let added_at = self.added_at.get(&disk);
        self.condition_of(disk) == Condition::Up
            && (is_voter || added_at.is_some_and(|at| self.now >= *at + self.timing.sync))
    }

    /// Number of voters that may be lost in addition to those that are, until there is no quorum.
    pub(crate) fn spare_voters(&self) -> Option<usize> {
        let group = self.group();
        let active = group.voters().filter(|id| self.responds(*id)).count();
        active.checked_sub(group.majority())
    }

    pub(crate) fn apply(&mut self, store: usize, fault: Fault) {
        match fault {
            Fault::Becomes(condition) => self.stores[store].condition = condition,
            Fault::Restart => self.start(store),
            Fault::Wipe => {
                self.stores[store].disk = self.free_disks.remove(0);
                self.start(store);
            }
            Fault::Retire => drop(self.retiring.insert(name(store))),
            Fault::Lead => self.lead(store),
        }
    }

    fn start(&mut self, store: usize) {
        let manager = self.manager(store, self.now);
        let started = &mut self.stores[store];
        started.condition = Condition::Up;
        started.manager = manager;
        started.unseen_until = self.now + self.timing.sight;
    }

    /// Adds a store with an empty disk, and returns its number.
    pub(crate) fn add_store(&mut self) -> usize {
        let added = self.stores.len();
        self.stores.push(Store {
            disk: self.free_disks.remove(0),
            condition: Condition::Up,
            manager: self.manager(added, self.now),
            unseen_until: self.now + self.timing.sight,
        });
        added
    }

    pub(crate) fn store_count(&self) -> usize {
        self.stores.len()
    }

    /// Whether a store votes and could lead.
    pub(crate) fn can_lead(&self, store: usize) -> bool {
        let store = &self.stores[store];
        store.condition == Condition::Up && self.group().is_voter(store.disk)
    }

    /// Retires a store if the leader accepts it. Returns whether it does.
    pub(crate) fn retire(&mut self, store: usize) -> bool {
        let manager = &self.stores[self.leader].manager;
        let is_accepted = manager.can_retire(&name(store), &self.retiring, self.now) == Some(true);
        if is_accepted {
            self.retiring.insert(name(store));
        }
        is_accepted
    }

    /// Whether a store was to be retired and belongs to the group no more, so that its instance may be taken away.
    pub(crate) fn has_retired(&self, store: usize) -> bool {
        let name = name(store);
        let mut members = self.members.values();
        self.retiring.contains(&name) && members.all(|(other, _)| *other != name)
    }

    /// Whether all stores that retire have left the group, or too few others remain.
    pub(crate) fn has_finished_retiring(&self) -> bool {
        let is_retiring = |at: usize| self.retiring.contains(&name(at));
        let remaining = (0..self.stores.len())
            .filter(|at| self.stores[*at].condition == Condition::Up && !is_retiring(*at));
        let mut members = self.members.values();
        remaining.count() < self.full_size || members.all(|(name, _)| !self.retiring.contains(name))
    }

    /// Elects another leader if this one cannot lead. Returns whether one leads.
    fn elect(&mut self) -> bool {
        if self.can_lead(self.leader) {
            self.elected_at = self.now + self.timing.election;
            return true;
        }
        if self.now < self.elected_at {
            return false;
        }
        let mut stores = 0..self.stores.len();
        if let Some(next) = stores.find(|at| self.can_lead(*at)) {
            self.lead(next);
            // It sends a snapshot of its own.
            for added_at in self.added_at.values_mut() {
                *added_at = self.now;
            }
        }
        true
    }

    fn lead(&mut self, store: usize) {
        self.stores[self.leader].manager.end_leadership();
        self.leader = store;
        self.pending = None;
        self.contacts.clear();
        self.leader_changes += 1;
    }

    fn send_hellos(&mut self) {
        let sent: Vec<_> = (0..self.stores.len())
            .filter(|at| {
                let store = &self.stores[*at];
                store.condition != Condition::Down && self.now >= store.unseen_until
            })
            .map(|at| (at, self.stores[at].disk))
            .collect();
        for store in &mut self.stores {
            if !store.condition.receives() {
                continue;
            }
            for (at, disk) in &sent {
                let status = StoreStatus {
                    disk: *disk,
                    domain: FailureDomain(format!("domain-{}", at % 3)),
                    has_group: true,
                    founder: Some(name(0)),
                    received_at: self.now,
                };
                store.manager.record_hello(name(*at), status);
            }
        }
    }

    fn observe_members(&mut self) {
        let group = self.group();
        let own = self.stores[self.leader].disk;
        let responding = group.iter().filter(|(id, _)| self.responds(*id));
        let contacts: Vec<_> = responding.map(|(id, _)| (id, self.now)).collect();
        self.contacts.extend(contacts);
        let statuses: Vec<_> = group
            .iter()
            .filter(|(id, _)| *id != own)
            .map(|(id, _)| {
                let status = MemberStatus {
                    votes: group.is_voter(id),
                    contact: self.contacts.get(&id).copied(),
                    position: if self.is_synced(id) { self.now.0 } else { 0 },
                };
                (id, status)
            })
            .collect();
        let manager = &mut self.stores[self.leader].manager;
        manager.observe_members(statuses, self.now);
    }

    /// Membership after a change; for a replacement, after its first step.
    fn after(&self, change: &Change) -> Membership {
        let mut group = Membership::default();
        let removed = match change {
            Change::Remove(id) => Some(*id),
            Change::Replace { old, .. } => Some(*old),
            Change::Promote(_) | Change::AddLearner { .. } => None,
        };
        for (id, (name, role)) in &self.members {
            let is_promoted = matches!(change, Change::Promote(new) if new == id);
            let role = if is_promoted {
                MemberRole::Voter
            } else {
                *role
            };
            if removed != Some(*id) {
                group.insert(*id, name.clone(), role);
            }
        }
        group
    }

    fn can_confirm(&self, change: &Change) -> bool {
        let learner = match change {
            Change::Replace { new, .. } => Some(*new),
            _ => None,
        };
        self.after(change).is_quorum(|id| self.responds(id))
            && learner.is_none_or(|id| self.responds(id))
    }

    fn propose(&mut self, change: Change) {
        let own = self.stores[self.leader].disk;
        match change {
            Change::AddLearner { id, name } => {
                self.members
                    .retain(|_, (other, role)| *other != name || matches!(role, MemberRole::Voter));
                self.members.insert(id, (name, MemberRole::Learner));
                self.added_at.insert(id, self.now);
            }
            Change::Replace { old, .. } | Change::Remove(old) if old == own => {
                let group = self.group();
                let mut next = (0..self.stores.len()).filter(|at| {
                    let disk = self.stores[*at].disk;
                    *at != self.leader && group.is_voter(disk) && self.responds(disk)
                });
                if let Some(next) = next.next() {
                    self.lead(next);
                }
            }
            _ => {
                let is_confirmed = self.can_confirm(&change);
                let wait = if is_confirmed {
                    STEP
                } else {
                    CONFIRMATION_TIMEOUT
                };
                self.pending = Some(Pending {
                    change,
                    until: self.now + wait,
                    is_confirmed,
                });
            }
        }
    }

    fn complete(&mut self, change: &Change) {
        let promote = |members: &mut BTreeMap<_, (InstanceName, MemberRole)>, id| {
            if let Some((_, role)) = members.get_mut(&id) {
                *role = MemberRole::Voter;
            }
        };
        match *change {
            Change::Promote(id) => promote(&mut self.members, id),
            Change::Remove(id) => drop(self.members.remove(&id)),
            Change::Replace { old, new } => {
                self.members.remove(&old);
                promote(&mut self.members, new);
            }
            Change::AddLearner { .. } => {}
        }
        let names: BTreeSet<_> = self
            .group()
            .voters()
            .map(|id| self.members[&id].0.clone())
            .collect();
        assert_eq!(
            names.len(),
            self.group().voters().count(),
            "an instance votes with two disks"
        );
    }

    pub(crate) fn advance(&mut self) {
        self.now += STEP;
        self.send_hellos();
        if !self.elect() {
            return;
        }
        if let Some(pending) = &self.pending {
            if self.now < pending.until {
                return;
            }
            let pending = self.pending.take().expect("it is set");
            if pending.is_confirmed {
                self.complete(&pending.change);
            }
        }
        self.observe_members();
        let group = self.group();
        let synced: BTreeSet<_> = group
            .iter()
            .map(|(id, _)| id)
            .filter(|id| self.is_synced(*id))
            .collect();
        let change = self.stores[self.leader].manager.next_change(
            &group,
            &self.retiring,
            |id| synced.contains(&id),
            self.now,
        );
        if let Some(change) = change {
            self.propose(change);
        }
    }
}
