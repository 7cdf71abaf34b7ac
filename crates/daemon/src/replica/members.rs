//! The replicas as an operator sees them, and what an operator asks of the group.

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

/// How long a replica counts as present after its last sign of life.
const PRESENT: Millis = Millis::from_secs(5);

/// One replica as an operator sees it.
#[record]
pub(crate) struct MemberStatus {
    pub(crate) instance: InstanceName,
    /// The identity of its disk.
    pub(crate) disk: String,
    /// `voter`, `learner`, or `candidate` for a disk that is no member.
    pub(crate) role: String,
    pub(crate) leads: bool,
    /// The last entry that is synced there, if the leader answers.
    pub(crate) synced: Option<u64>,
}

/// What an operator asks of the group.
#[record]
pub(crate) enum MemberRequest {
    /// Let the disk of an instance follow the log.
    Add(InstanceName),
    /// Let it vote, in place of a lost disk of the same instance if there is one.
    Promote(InstanceName),
    /// Remove the instance from the group.
    Remove(InstanceName),
}

/// A replica that was heard.
#[derive(Debug)]
struct Seen {
    hello: Hello,
    at: Millis,
}

impl Seen {
    fn disk(&self) -> DiskId {
        DiskId(self.hello.disk)
    }
}

/// The replicas that were heard, members or not. An instance has the disk that it named last.
#[derive(Debug, Default)]
pub(crate) struct Presence {
    seen: BTreeMap<InstanceName, Seen>,
}

impl Presence {
    pub(crate) fn on_hello(&mut self, name: InstanceName, hello: Hello, now: Millis) {
        self.seen.insert(name, Seen { hello, at: now });
    }

    /// The instance that holds a disk.
    pub(crate) fn name(&self, id: DiskId) -> Option<&InstanceName> {
        let mut seen = self.seen.iter();
        seen.find(|(_, seen)| seen.disk() == id)
            .map(|(name, _)| name)
    }

    fn present(&self, now: Millis) -> impl Iterator<Item = (&InstanceName, &Seen)> {
        self.seen
            .iter()
            .filter(move |(_, seen)| now < seen.at + PRESENT)
    }

    /// The disk that an instance has now.
    fn disk_of(&self, name: &InstanceName, now: Millis) -> Option<DiskId> {
        let seen = self.seen.get(name)?;
        (now < seen.at + PRESENT).then(|| seen.disk())
    }

    /// The change that an operator's request comes to, or why there is none.
    pub(crate) fn change(
        &self,
        request: &MemberRequest,
        group: &Membership,
        now: Millis,
    ) -> Result<Change, String> {
        match request {
            MemberRequest::Add(name) => {
                let id = self.disk_of(name, now).ok_or_else(|| absent(name))?;
                let name = name.clone();
                Ok(Change::AddLearner { id, name })
            }
            MemberRequest::Promote(name) => {
                let id = self.disk_of(name, now).ok_or_else(|| absent(name))?;
                Ok(promotion(id, name, group))
            }
            MemberRequest::Remove(name) => {
                let mut members = group.iter();
                let member = members.find(|(_, member)| member.name == *name);
                match member {
                    Some((id, _)) => Ok(Change::Remove(id)),
                    None => Err(format!("{name} is no member")),
                }
            }
        }
    }

    /// What the leader does about the configured voters without being asked: an empty disk of
    /// one follows the log, and once it holds every entry and blob it votes. An instance that an
    /// operator removed stays out.
    pub(crate) fn upkeep(
        &self,
        configured: &[InstanceName],
        group: &Membership,
        blobs_needed: Index,
        now: Millis,
    ) -> Option<Change> {
        let mut expected = self
            .present(now)
            .filter(|(name, _)| configured.contains(name) && !group.has_departed(name));
        expected.find_map(|(name, seen)| {
            let id = seen.disk();
            match group.get(id).map(|member| member.role) {
                None => Some(Change::AddLearner {
                    id,
                    name: name.clone(),
                }),
                Some(MemberRole::Learner) => {
                    let whole = seen.hello.blobs_upto >= blobs_needed.0;
                    whole.then(|| promotion(id, name, group))
                }
                Some(MemberRole::Voter) => None,
            }
        })
    }

    /// Every member, and every other replica that is present.
    pub(crate) fn list(&self, core: &Core, now: Millis) -> Vec<MemberStatus> {
        let group = core.membership();
        let members = group.iter().map(|(id, member)| MemberStatus {
            instance: member.name.clone(),
            disk: id.to_string(),
            role: role(member.role).to_owned(),
            leads: core.leader() == Some(id),
            synced: core.synced_index_of(id).map(|index| index.0),
        });
        let others = self
            .present(now)
            .filter(|(_, seen)| !group.contains(seen.disk()))
            .map(|(name, seen)| MemberStatus {
                instance: name.clone(),
                disk: seen.disk().to_string(),
                role: "candidate".to_owned(),
                leads: false,
                synced: None,
            });
        members.chain(others).collect()
    }
}

fn promotion(id: DiskId, name: &InstanceName, group: &Membership) -> Change {
    match group.voter_named(name) {
        Some(old) => Change::Replace { old, new: id },
        None => Change::Promote(id),
    }
}

fn role(role: MemberRole) -> &'static str {
    match role {
        MemberRole::Voter => "voter",
        MemberRole::Learner => "learner",
    }
}

fn absent(name: &InstanceName) -> String {
    format!("no replica on {name} has been heard of late")
}
