//! Membership of the group: status for operators, requested changes and automatic ones.

use std::collections::BTreeMap;

use yuccaseam_base::{
    InstanceName,
    Millis,
    record, //
};
use yuccaseam_quorum::{
    Change,
    Core,
    DiskId,
    Index,
    MemberRole, //
    Membership,
};

use super::frame::Hello;

/// How long a replica counts as present after its last hello.
const HELLO_TIMEOUT: Millis = Millis::from_secs(5);

/// Status of a replica, for operators.
#[record]
pub(crate) struct MemberStatus {
    pub(crate) instance: InstanceName,
    /// The identity of its disk.
    pub(crate) disk: String,
    /// `voter`, `learner`, or `candidate` for a disk that is not a member.
    pub(crate) role: String,
    pub(crate) leads: bool,
    /// Index of the last entry synced on its disk, if known to this replica.
    pub(crate) synced: Option<u64>,
}

/// Membership change requested by an operator.
#[record]
pub(crate) enum MemberRequest {
    /// Add the disk of an instance as a learner.
    Add(InstanceName),
    /// Make the disk a voter, in place of a lost disk of the same instance if there is one.
    Promote(InstanceName),
    /// Remove the instance from the group.
    Remove(InstanceName),
}

/// Last hello of an instance.
#[derive(Debug)]
struct LastHello {
    hello: Hello,
    received_at: Millis,
}

impl LastHello {
    fn disk(&self) -> DiskId {
        DiskId(self.hello.disk)
    }
}

/// Hellos of all replicas, members or not, and the group changes derived from them. The disk of
/// an instance is the one in its last hello.
#[derive(Debug, Default)]
pub(crate) struct GroupManager {
    hellos: BTreeMap<InstanceName, LastHello>,
}

impl GroupManager {
    pub(crate) fn record_hello(&mut self, name: InstanceName, hello: Hello, now: Millis) {
        self.hellos.insert(
            name,
            LastHello {
                hello,
                received_at: now,
            },
        );
    }

    /// The instance that holds a disk.
    pub(crate) fn instance_of(&self, id: DiskId) -> Option<&InstanceName> {
        let mut hellos = self.hellos.iter();
        hellos
            .find(|(_, last)| last.disk() == id)
            .map(|(name, _)| name)
    }

    fn present(&self, now: Millis) -> impl Iterator<Item = (&InstanceName, &LastHello)> {
        self.hellos
            .iter()
            .filter(move |(_, last)| now < last.received_at + HELLO_TIMEOUT)
    }

    /// The disk of an instance, if the instance is present.
    fn disk_of(&self, name: &InstanceName, now: Millis) -> Option<DiskId> {
        let last = self.hellos.get(name)?;
        (now < last.received_at + HELLO_TIMEOUT).then(|| last.disk())
    }

    /// The change that an operator's request comes to, or why there is none.
    pub(crate) fn plan_change(
        &self,
        request: &MemberRequest,
        group: &Membership,
        now: Millis,
    ) -> Result<Change, String> {
        match request {
            MemberRequest::Add(name) => {
                let id = self
                    .disk_of(name, now)
                    .ok_or_else(|| no_recent_hello(name))?;
                let name = name.clone();
                Ok(Change::AddLearner { id, name })
            }
            MemberRequest::Promote(name) => {
                let id = self
                    .disk_of(name, now)
                    .ok_or_else(|| no_recent_hello(name))?;
                Ok(promotion_change(id, name, group))
            }
            MemberRequest::Remove(name) => {
                let mut members = group.iter();
                let member = members.find(|(_, member)| member.name == *name);
                match member {
                    Some((id, _)) => Ok(Change::Remove(id)),
                    None => Err(format!("{name} is not a member of the group")),
                }
            }
        }
    }

    /// Open automatic changes for the configured voters: a present disk that is not a member becomes
    /// a learner, and a learner becomes a voter once it holds the needed blobs. Instances that an
    /// operator removed are skipped.
    pub(crate) fn open_changes(
        &self,
        configured: &[InstanceName],
        group: &Membership,
        blobs_needed: Index,
        now: Millis,
    ) -> Vec<Change> {
        let expected = self
            .present(now)
            .filter(|(name, _)| configured.contains(name) && !group.has_departed(name));
        let changes = expected.filter_map(|(name, last)| {
            let id = last.disk();
            match group.get(id).map(|member| member.role) {
                None => Some(Change::AddLearner {
                    id,
                    name: name.clone(),
                }),
                Some(MemberRole::Learner) => {
                    let is_complete = last.hello.blobs_upto >= blobs_needed.0;
                    is_complete.then(|| promotion_change(id, name, group))
                }
                Some(MemberRole::Voter) => None,
            }
        });
        changes.collect()
    }

    /// Status of every member and of every other present replica.
    pub(crate) fn list(&self, core: &Core, now: Millis) -> Vec<MemberStatus> {
        let group = core.membership();
        let members = group.iter().map(|(id, member)| MemberStatus {
            instance: member.name.clone(),
            disk: id.to_string(),
            role: role_name(member.role).to_owned(),
            leads: core.leader() == Some(id),
            synced: core.synced_index_of(id).map(|index| index.0),
        });
        let others = self
            .present(now)
            .filter(|(_, last)| !group.contains(last.disk()))
            .map(|(name, last)| MemberStatus {
                instance: name.clone(),
                disk: last.disk().to_string(),
                role: "candidate".to_owned(),
                leads: false,
                synced: None,
            });
        members.chain(others).collect()
    }
}

fn promotion_change(id: DiskId, name: &InstanceName, group: &Membership) -> Change {
    match group.voter_named(name) {
        Some(old) => Change::Replace { old, new: id },
        None => Change::Promote(id),
    }
}

fn role_name(role: MemberRole) -> &'static str {
    match role {
        MemberRole::Voter => "voter",
        MemberRole::Learner => "learner",
    }
}

fn no_recent_hello(name: &InstanceName) -> String {
    format!("no recent hello from a replica on {name}")
}
