//! Listing and changing the members of the replication group.

use yuccaseam_base::{
    InstanceName,
    Refusal, //
};
use yuccaseam_wire::store::{
    self as wire,
    MemberChange,
    change_members_reply,
    members_reply, //
};

use crate::{
    context::Context,
    replica::{
        MemberRequest,
        MemberStatus, //
    },
    store::{
        CallOutcome,
        Store,
        Voter,
        remote::{
            client,
            refusal_of,
            with_timeout, //
        }, //
    }, //
};

impl Store {
    /// Status of every replica in the leader's view.
    ///
    /// # Errors
    ///
    /// Fails if no leader replies before the time-out.
    pub(crate) fn members(&self, cx: &Context) -> Result<Vec<MemberStatus>, Refusal> {
        self.call_voters(cx, |voter| match voter {
            Voter::Local(replica) => replica.members(),
            Voter::Remote(name) => remote_members(cx, name),
        })
    }

    /// Changes the members of the group and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the change, or fails if no leader replies before the
    /// time-out.
    pub(crate) fn change_members(
        &self,
        cx: &Context,
        request: &MemberRequest,
    ) -> Result<(), Refusal> {
        self.call_voters(cx, |voter| match voter {
            Voter::Local(replica) => replica.change_members(request.clone()),
            Voter::Remote(name) => remote_change(cx, name, request),
        })
    }
}

fn remote_members(cx: &Context, name: &InstanceName) -> CallOutcome<Vec<MemberStatus>> {
    let Some(mut client) = client(cx, name) else {
        return CallOutcome::NotRun("unknown instance".to_owned());
    };
    let reply = match cx
        .links
        .block_on(client.members(with_timeout(wire::MembersRequest {})))
    {
        Ok(reply) => reply.into_inner(),
        Err(status) => return CallOutcome::NotRun(status.message().to_owned()),
    };
    match reply.result {
        Some(members_reply::Result::Members(list)) => {
            CallOutcome::Reply(list.members.into_iter().map(MemberStatus::from).collect())
        }
        Some(members_reply::Result::LeaderHint(hint)) => CallOutcome::not_leader(hint),
        None => CallOutcome::NotRun("empty reply".to_owned()),
    }
}

fn remote_change(cx: &Context, name: &InstanceName, request: &MemberRequest) -> CallOutcome<()> {
    let Some(mut client) = client(cx, name) else {
        return CallOutcome::NotRun("unknown instance".to_owned());
    };
    let req = with_timeout(wire::ChangeMembersRequest::from(request));
    let reply = match cx.links.block_on(client.change_members(req)) {
        Ok(reply) => reply.into_inner(),
        Err(status) => return CallOutcome::from_write_error(&status),
    };
    match reply.result {
        Some(change_members_reply::Result::Committed(_)) => CallOutcome::Reply(()),
        Some(change_members_reply::Result::LeaderHint(hint)) => CallOutcome::not_leader(hint),
        Some(change_members_reply::Result::Refused(refused)) => {
            CallOutcome::Refused(refusal_of(refused))
        }
        Some(change_members_reply::Result::Unknown(why)) => CallOutcome::Unknown(why),
        None => CallOutcome::Unknown("empty reply".to_owned()),
    }
}

impl From<&MemberRequest> for wire::ChangeMembersRequest {
    fn from(request: &MemberRequest) -> Self {
        let (instance, change) = match request {
            MemberRequest::Add(name) => (name, MemberChange::Add),
            MemberRequest::Promote(name) => (name, MemberChange::Promote),
            MemberRequest::Remove(name) => (name, MemberChange::Remove),
        };
        Self {
            instance: instance.to_string(),
            change: change.into(),
        }
    }
}

impl TryFrom<wire::ChangeMembersRequest> for MemberRequest {
    type Error = &'static str;

    fn try_from(request: wire::ChangeMembersRequest) -> Result<Self, &'static str> {
        let change = request.change();
        let name = InstanceName(request.instance);
        match change {
            MemberChange::Add => Ok(Self::Add(name)),
            MemberChange::Promote => Ok(Self::Promote(name)),
            MemberChange::Remove => Ok(Self::Remove(name)),
            MemberChange::Unspecified => Err("no membership change specified"),
        }
    }
}

impl From<MemberStatus> for wire::Member {
    fn from(member: MemberStatus) -> Self {
        Self {
            instance: member.instance.to_string(),
            disk: member.disk,
            role: member.role,
            leads: member.leads,
            synced: member.synced,
        }
    }
}

impl From<wire::Member> for MemberStatus {
    fn from(member: wire::Member) -> Self {
        Self {
            instance: InstanceName(member.instance),
            disk: member.disk,
            role: member.role,
            leads: member.leads,
            synced: member.synced,
        }
    }
}
