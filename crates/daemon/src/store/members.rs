//! The group of replicas, as operators see and change it.

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
        Replied,
        Store,
        Voter,
        remote::{
            client,
            refusal_of,
            timed, //
        }, //
    }, //
};

impl Store {
    /// Every replica, as the leader sees it.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers in time.
    pub(crate) fn members(&self, cx: &Context) -> Result<Vec<MemberStatus>, Refusal> {
        self.ask(cx, |voter| match voter {
            Voter::Here(replica) => replica.members(),
            Voter::There(name) => remote_members(cx, name),
        })
    }

    /// Changes the group and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// Says why the change is refused, or that no leader answers in time.
    pub(crate) fn change_members(
        &self,
        cx: &Context,
        request: &MemberRequest,
    ) -> Result<(), Refusal> {
        self.ask(cx, |voter| match voter {
            Voter::Here(replica) => replica.change(request.clone()),
            Voter::There(name) => remote_change(cx, name, request),
        })
    }
}

fn remote_members(cx: &Context, name: &InstanceName) -> Replied<Vec<MemberStatus>> {
    let Some(mut client) = client(cx, name) else {
        return Replied::NotSent("unknown instance".to_owned());
    };
    let reply = match cx
        .links
        .block_on(client.members(timed(wire::MembersRequest {})))
    {
        Ok(reply) => reply.into_inner(),
        Err(status) => return Replied::NotSent(status.message().to_owned()),
    };
    match reply.result {
        Some(members_reply::Result::Members(list)) => {
            Replied::Answer(list.members.into_iter().map(MemberStatus::from).collect())
        }
        Some(members_reply::Result::LeaderHint(hint)) => Replied::hint(hint),
        None => Replied::NotSent("an empty reply".to_owned()),
    }
}

fn remote_change(cx: &Context, name: &InstanceName, request: &MemberRequest) -> Replied<()> {
    let Some(mut client) = client(cx, name) else {
        return Replied::NotSent("unknown instance".to_owned());
    };
    let req = timed(wire::ChangeMembersRequest::from(request));
    let reply = match cx.links.block_on(client.change_members(req)) {
        Ok(reply) => reply.into_inner(),
        Err(status) => return Replied::broken(&status),
    };
    match reply.result {
        Some(change_members_reply::Result::Committed(_)) => Replied::Answer(()),
        Some(change_members_reply::Result::LeaderHint(hint)) => Replied::hint(hint),
        Some(change_members_reply::Result::Refused(refused)) => {
            Replied::Refused(refusal_of(refused))
        }
        Some(change_members_reply::Result::Unknown(why)) => Replied::Lost(why),
        None => Replied::Lost("an empty reply".to_owned()),
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
            MemberChange::Unspecified => Err("no change is specified"),
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
