//! Bootstrap and membership of the group of voters.
//!
//! A disk without a group cannot distinguish a new system from its own loss. A store with an empty
//! disk therefore bootstraps a group only at the first start of the whole system, and only if no
//! store that it knows of has a group, all of them agree on this founder, and it hears a majority of
//! the stores: two groups would both accept commands, and one would lose them. In every other case it
//! waits for a leader.
//!
//! Invariant of the membership changes: no change waits for another one that is refused or cannot be
//! confirmed. [`GroupManager::next_change`] takes all open changes in turn (see [`ChangeRotation`]);
//! each voter that must be replaced has a store of its own, and a store that does not catch up keeps no
//! other one from taking its place. A group with enough stores thus replaces a lost voter for as long as
//! a quorum responds, whatever its other voters and learners do. Lost voters come before those that
//! retire, also in the choice of stores.
//!
//! Invariant of retirements: a voter that retires does not come back, so that it is replaced only if a full group
//! remains of stores of which none can be the successor of another. A successor starts after the loss: a store that has
//! been heard of since the newest one came has none among them. A store that does not vote may be taken away at once,
//! and may retire only if as many remain, and each member among them responds to this leader.
//!
//! A store that is new to the group becomes a learner at once, before any voter is known to be lost: it may be the
//! successor of one, and the time until it votes counts from its start (see [`JoinBudget`]). If nothing
//! needs it by then, it leaves the group again.

mod plan;

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
    ChangeError,
    ChangeRotation,
    DiskId,
    Membership, //
};

use crate::capacity::JoinBudget;

use plan::Plan;

/// How long the set of known stores must be stable before one bootstraps a group.
const MIN_STABLE_TIME: Millis = Millis(800);
/// How long a founder waits for as many stores as a full group has.
const FULL_GROUP_TIMEOUT: Millis = Millis(5_000);
/// How long a store counts as present after its last hello.
const PRESENCE_TIMEOUT: Millis = Millis(3_000);
/// How long a learner may be unresponsive before it is removed.
const LEARNER_LOSS_TIMEOUT: Millis = Millis(4_000);
/// Time after the start of this process until it has heard of all stores that run. Those that it hears of later are
/// new.
const FIRST_HELLOS_TIME: Millis = Millis(1_500);
/// Budget of a group whose settings name none.
const DEFAULT_RECOVERY: Millis = Millis(4_900);
/// How long a member may be unresponsive before another store is added in place of a learner, and before
/// sound voters are not replaced any more.
const RESPONSE_TIMEOUT: Millis = Millis(1_000);
/// How long a learner may receive nothing before another store is added for the same voter. Longer than a
/// lost packet delays a chunk of a snapshot.
const CATCH_UP_STALL_TIMEOUT: Millis = Millis(1_500);
/// Time between two attempts to transfer leadership, during which commands are refused, from a store that
/// retires.
const TRANSFER_INTERVAL: Millis = Millis(5_000);

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

/// What the leader knows of another member.
#[derive(Clone, Copy, Debug)]
pub struct MemberStatus {
    /// Whether the member votes.
    pub votes: bool,
    /// Sending time of the last message that the member has acknowledged; `None` if there is none.
    pub contact: Option<Millis>,
    /// Position of the member, which changes while it catches up.
    pub position: u64,
}

/// Status of a member, and when it last changed.
#[derive(Debug)]
struct Observation {
    status: MemberStatus,
    contact_changed_at: Millis,
    position_changed_at: Millis,
}

/// Decides on the bootstrap and the membership changes of the group.
#[derive(Debug)]
pub struct GroupManager {
    instance: InstanceName,
    is_first_start: bool,
    /// Number of voters of a full group.
    full_size: usize,
    budget: JoinBudget,
    stores: BTreeMap<InstanceName, StoreStatus>,
    /// When each disk was first heard of.
    first_heard_at: BTreeMap<DiskId, Millis>,
    /// The known stores, and the time since which the set is unchanged.
    stable_view: (BTreeSet<InstanceName>, Millis),
    started_at: Millis,
    /// Number of stores that are known to run, heard or not.
    known_stores: usize,
    /// The other members, while this store leads.
    members: BTreeMap<DiskId, Observation>,
    rotation: ChangeRotation,
    /// Earliest time of the next leadership transfer.
    transfer_at: Millis,
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
            budget: JoinBudget::new(DEFAULT_RECOVERY),
            stores: BTreeMap::new(),
            first_heard_at: BTreeMap::new(),
            stable_view: (BTreeSet::new(), now),
            started_at: now,
            known_stores: 0,
            members: BTreeMap::new(),
            rotation: ChangeRotation::default(),
            transfer_at: Millis::ZERO,
        }
    }

    /// Sets the time in which a store with an empty disk must vote.
    pub fn with_budget(mut self, budget: JoinBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Records the status of a store, which may be this one. Returns whether its disk has changed.
    pub fn record_hello(&mut self, name: InstanceName, status: StoreStatus) -> bool {
        let disk = status.disk;
        let heard_at = self.first_heard_at.entry(disk);
        heard_at.or_insert(status.received_at);
        let before = self.stores.insert(name, status);
        let replaced = before.filter(|before| before.disk != disk);
        if let Some(replaced) = &replaced {
            self.first_heard_at.remove(&replaced.disk);
        }
        replaced.is_some()
    }

    /// When a disk that came after this process started was first heard of. `None` for a disk that may have been there.
    fn came_at(&self, disk: DiskId) -> Option<Millis> {
        let heard_at = self.first_heard_at.get(&disk).copied();
        heard_at.filter(|heard_at| *heard_at >= self.started_at + FIRST_HELLOS_TIME)
    }

    /// Whether a disk is new to this system, so that it may belong to the successor of a store that is lost.
    fn is_new(&self, disk: DiskId, now: Millis) -> bool {
        self.came_at(disk)
            .is_some_and(|came_at| now < came_at + self.budget.recovery())
    }

    /// Whether a disk was new, and nothing has needed it in the time that a store has to vote.
    fn was_new(&self, disk: DiskId, now: Millis) -> bool {
        self.came_at(disk)
            .is_some_and(|came_at| now >= came_at + self.budget.recovery())
    }

    /// Records the number of stores that are known to run, which others may have told.
    pub fn record_known_stores(&mut self, count: usize) {
        self.known_stores = count;
    }

    /// Number of stores without which no group is formed: a majority of all, and of a full group.
    fn bootstrap_quorum(&self) -> usize {
        self.known_stores.max(self.full_size) / 2 + 1
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
        let has_quorum = self.stores.len() >= self.bootstrap_quorum();
        self.is_first_start && is_stable && is_full && is_agreed && has_quorum
    }

    fn present(&self, now: Millis) -> impl Iterator<Item = (&InstanceName, &StoreStatus)> {
        let stores = self.stores.iter();
        stores.filter(move |(_, status)| now < status.received_at + PRESENCE_TIMEOUT)
    }

    /// Minimum number of voters before a new group accepts commands.
    pub fn min_voters(&self, now: Millis) -> usize {
        let present = self.present(now).count().min(self.full_size);
        present.max(self.full_size / 2 + 1)
    }

    /// Records the status of all other members, which the leader does before each choice of a change.
    pub fn observe_members<I>(&mut self, members: I, now: Millis)
    where
        I: IntoIterator<Item = (DiskId, MemberStatus)>,
    {
        let mut before = std::mem::take(&mut self.members);
        for (id, status) in members {
            let mut observation = before.remove(&id).unwrap_or(Observation {
                status,
                contact_changed_at: now,
                position_changed_at: now,
            });
            if observation.status.contact != status.contact {
                observation.contact_changed_at = now;
            }
            if observation.status.position != status.position {
                observation.position_changed_at = now;
            }
            observation.status = status;
            self.members.insert(id, observation);
        }
    }

    /// Forgets what this store knew as the leader.
    pub fn end_leadership(&mut self) {
        self.members.clear();
        self.rotation.clear();
    }

    /// Returns the next change by the leader, if any. All future voters become learners at the same
    /// time; then those that are synced are made voters one by one.
    ///
    /// `is_synced` tells whether a learner responds and keeps up with the log.
    pub fn next_change<F>(
        &mut self,
        group: &Membership,
        retiring: &BTreeSet<InstanceName>,
        is_synced: F,
        now: Millis,
    ) -> Option<Change>
    where
        F: Fn(DiskId) -> bool,
    {
        let plan = Plan {
            manager: self,
            group,
            retiring,
            is_synced: &is_synced,
            now,
        };
        let open = plan.open_changes();
        let change = self.rotation.next(open)?;
        if self.removes_own_disk(&change) {
            self.transfer_at = now + TRANSFER_INTERVAL;
        }
        Some(change)
    }

    /// Whether a change was refused in this leadership.
    pub fn was_refused(&self, change: &Change) -> bool {
        self.rotation.was_refused(change)
    }

    /// Records that the core refused a change. Returns whether this is the first time for this reason.
    pub fn record_refusal(&mut self, change: &Change, error: &ChangeError) -> bool {
        self.rotation.record_refusal(change, error)
    }

    fn removes_own_disk(&self, change: &Change) -> bool {
        let Change::Replace { old, .. } = change else {
            return false;
        };
        let own = self.stores.get(&self.instance);
        own.is_some_and(|status| status.disk == *old)
    }

    /// Whether a disk has not been heard of for `timeout`, or since the start of this process, or has not
    /// acknowledged anything for that time.
    fn is_silent(&self, disk: DiskId, name: &InstanceName, timeout: Millis, now: Millis) -> bool {
        let status = self.stores.get(name);
        let is_silent =
            status.is_none_or(|status| now > status.received_at + timeout || status.disk != disk);
        (is_silent && now > self.started_at + timeout) || self.is_unresponsive(disk, timeout, now)
    }

    /// Whether a member has not acknowledged anything for `timeout`.
    fn is_unresponsive(&self, disk: DiskId, timeout: Millis, now: Millis) -> bool {
        let observation = self.members.get(&disk);
        observation.is_some_and(|member| now > member.contact_changed_at + timeout)
    }

    /// Whether an instance that retires may be taken away at once: it is known not to vote.
    fn may_leave_at_once(&self, name: &InstanceName) -> bool {
        let disk = self.stores.get(name).map(|status| status.disk);
        let member = disk.and_then(|disk| self.members.get(&disk));
        let votes = member.is_some_and(|member| member.status.votes) || *name == self.instance;
        !self.members.is_empty() && !votes
    }

    /// Whether a member has acknowledged a message to this leader lately.
    fn responds(&self, disk: DiskId, now: Millis) -> bool {
        let observation = self.members.get(&disk);
        observation.is_none_or(|member| {
            let contact = member.status.contact;
            contact.is_some_and(|at| now < at + RESPONSE_TIMEOUT)
        })
    }

    /// Whether a store may be lost, and another one that is known be its successor: it has not been heard of since the
    /// newest store came.
    fn may_be_succeeded(&self, name: &InstanceName, status: &StoreStatus) -> bool {
        let heard_at = match self.members.get(&status.disk) {
            Some(member) => member.status.contact,
            None => Some(status.received_at),
        };
        *name != self.instance && heard_at < self.first_heard_at.values().max().copied()
    }

    /// Whether a learner does not respond or receives nothing, so that it might never catch up.
    fn is_stalled(&self, disk: DiskId, now: Millis) -> bool {
        let observation = self.members.get(&disk);
        let is_behind = observation
            .is_some_and(|member| now > member.position_changed_at + CATCH_UP_STALL_TIMEOUT);
        is_behind || self.is_unresponsive(disk, RESPONSE_TIMEOUT, now)
    }

    /// Whether a store was ever heard of.
    pub fn knows(&self, name: &InstanceName) -> bool {
        self.stores.contains_key(name)
    }

    /// Whether a store can be retired without leaving too few; `None` if it is unknown.
    pub fn can_retire(
        &self,
        name: &InstanceName,
        retiring: &BTreeSet<InstanceName>,
        now: Millis,
    ) -> Option<bool> {
        if !self.knows(name) {
            return None;
        }
        // A voter leaves once the others respond and a store has taken its place. Any other store may be taken
        // away at once, though a voter that does not respond may need it.
        let leaves_at_once = self.may_leave_at_once(name);
        let remaining = self.present(now).filter(|(other, status)| {
            *other != name
                && !retiring.contains(*other)
                && (!leaves_at_once
                    || (self.responds(status.disk, now) && !self.may_be_succeeded(other, status)))
        });
        Some(remaining.count() >= self.full_size)
    }
}
