//! Wire format of packets. It is encoded by position: variants and fields are only added at the
//! end.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Region,
    TargetName, //
};

use crate::{
    digest::BUCKET_COUNT,
    instance::{
        InstanceRecord,
        Status, //
    },
    packet::{
        Body,
        Claim,
        Packet,
        PacketError,
        Renewal,
        Update, //
    },
    target::{
        Announcement,
        TargetClaim,
        TargetKind,
        TargetLoad,
        TargetRecord,
        TargetState, //
    }, //
};

/// Wire format of [`Packet`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WirePacket {
    from: String,
    address: String,
    body: WireBody,
    updates: Vec<WireUpdate>,
}

#[derive(Serialize, Deserialize)]
enum WireBody {
    Ping {
        to: String,
        probe: u64,
    },
    Ack {
        probe: u64,
    },
    PingRequest {
        to: String,
        address: String,
        probe: u64,
    },
    Gossip,
    Digest(Vec<u32>),
    Records {
        buckets: Vec<u8>,
        more: bool,
    },
    Loads(Vec<WireLoad>),
    Renewals(Vec<WireRenewal>),
}

#[derive(Serialize, Deserialize)]
struct WireLoad {
    name: String,
    running: u32,
    waiting: u32,
    cache_permille: u32,
}

#[derive(Serialize, Deserialize)]
struct WireRenewal {
    name: String,
    incarnation: u64,
}

/// Wire format of [`Update`].
#[derive(Serialize, Deserialize)]
pub(crate) enum WireUpdate {
    Instance(WireInstance),
    Claim(WireClaim),
    Target(WireTarget),
    TargetClaim(WireTargetClaim),
}

#[derive(Serialize, Deserialize)]
pub(crate) struct WireTargetClaim {
    name: String,
    incarnation: u64,
    state: u8,
    leaving: bool,
    version: u64,
    holder: String,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct WireInstance {
    name: String,
    address: String,
    domain: String,
    region: String,
    incarnation: u64,
    status: u8,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct WireClaim {
    name: String,
    incarnation: u64,
    status: u8,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct WireTarget {
    name: String,
    address: String,
    kind: u8,
    serves: String,
    domain: String,
    region: String,
    slots: u32,
    incarnation: u64,
    state: u8,
    leaving: bool,
    version: u64,
    holder: String,
}

impl From<&Packet> for WirePacket {
    fn from(packet: &Packet) -> Self {
        Self {
            from: packet.from.0.clone(),
            address: packet.address.clone(),
            body: (&packet.body).into(),
            updates: packet.updates.iter().map(WireUpdate::from).collect(),
        }
    }
}

impl TryFrom<WirePacket> for Packet {
    type Error = PacketError;

    fn try_from(wire: WirePacket) -> Result<Self, PacketError> {
        let updates = wire.updates.into_iter().map(Update::try_from);
        Ok(Self {
            from: InstanceName(wire.from),
            address: wire.address,
            body: wire.body.try_into()?,
            updates: updates.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&Body> for WireBody {
    fn from(body: &Body) -> Self {
        match body {
            Body::Ping { to, probe } => Self::Ping {
                to: to.0.clone(),
                probe: *probe,
            },
            Body::Ack { probe } => Self::Ack { probe: *probe },
            Body::PingRequest { to, address, probe } => Self::PingRequest {
                to: to.0.clone(),
                address: address.clone(),
                probe: *probe,
            },
            Body::Gossip => Self::Gossip,
            Body::Digest(digest) => Self::Digest(digest.clone()),
            Body::Records { buckets, more } => Self::Records {
                buckets: buckets.clone(),
                more: *more,
            },
            Body::Loads(loads) => Self::Loads(loads.iter().map(WireLoad::from).collect()),
            Body::Renewals(renewals) => {
                Self::Renewals(renewals.iter().map(WireRenewal::from).collect())
            }
        }
    }
}

impl TryFrom<WireBody> for Body {
    type Error = PacketError;

    fn try_from(wire: WireBody) -> Result<Self, PacketError> {
        Ok(match wire {
            WireBody::Ping { to, probe } => Self::Ping {
                to: InstanceName(to),
                probe,
            },
            WireBody::Ack { probe } => Self::Ack { probe },
            WireBody::PingRequest { to, address, probe } => Self::PingRequest {
                to: InstanceName(to),
                address,
                probe,
            },
            WireBody::Gossip => Self::Gossip,
            WireBody::Digest(digest) if digest.len() == BUCKET_COUNT => Self::Digest(digest),
            WireBody::Digest(_) => return Err(PacketError("wrong digest length")),
            WireBody::Records { buckets, more } => Self::Records { buckets, more },
            WireBody::Loads(loads) => Self::Loads(loads.into_iter().map(Into::into).collect()),
            WireBody::Renewals(renewals) => {
                Self::Renewals(renewals.into_iter().map(Into::into).collect())
            }
        })
    }
}

impl From<&(TargetName, TargetLoad)> for WireLoad {
    fn from((name, load): &(TargetName, TargetLoad)) -> Self {
        Self {
            name: name.0.clone(),
            running: load.running,
            waiting: load.waiting,
            cache_permille: load.cache_permille,
        }
    }
}

impl From<WireLoad> for (TargetName, TargetLoad) {
    fn from(wire: WireLoad) -> Self {
        let load = TargetLoad {
            running: wire.running,
            waiting: wire.waiting,
            cache_permille: wire.cache_permille,
        };
        (TargetName(wire.name), load)
    }
}

impl From<&Renewal> for WireRenewal {
    fn from(renewal: &Renewal) -> Self {
        Self {
            name: renewal.name.0.clone(),
            incarnation: renewal.incarnation,
        }
    }
}

impl From<WireRenewal> for Renewal {
    fn from(wire: WireRenewal) -> Self {
        Self {
            name: TargetName(wire.name),
            incarnation: wire.incarnation,
        }
    }
}

impl From<&Update> for WireUpdate {
    fn from(update: &Update) -> Self {
        match update {
            Update::Instance(record) => Self::Instance(record.into()),
            Update::Claim(claim) => Self::Claim(claim.into()),
            Update::Target(record) => Self::Target(record.into()),
            Update::TargetClaim(claim) => Self::TargetClaim(claim.into()),
        }
    }
}

impl TryFrom<WireUpdate> for Update {
    type Error = PacketError;

    fn try_from(wire: WireUpdate) -> Result<Self, PacketError> {
        Ok(match wire {
            WireUpdate::Instance(wire) => Self::Instance(wire.try_into()?),
            WireUpdate::Claim(wire) => Self::Claim(wire.try_into()?),
            WireUpdate::Target(wire) => Self::Target(wire.try_into()?),
            WireUpdate::TargetClaim(wire) => Self::TargetClaim(wire.try_into()?),
        })
    }
}

impl From<&InstanceRecord> for WireInstance {
    fn from(record: &InstanceRecord) -> Self {
        Self {
            name: record.name.0.clone(),
            address: record.address.clone(),
            domain: record.domain.0.clone(),
            region: record.region.0.clone(),
            incarnation: record.incarnation,
            status: record.status as u8,
        }
    }
}

impl TryFrom<WireInstance> for InstanceRecord {
    type Error = PacketError;

    fn try_from(wire: WireInstance) -> Result<Self, PacketError> {
        Ok(Self {
            name: InstanceName(wire.name),
            address: wire.address,
            domain: FailureDomain(wire.domain),
            region: Region(wire.region),
            incarnation: wire.incarnation,
            status: status(wire.status)?,
        })
    }
}

impl From<&Claim> for WireClaim {
    fn from(claim: &Claim) -> Self {
        Self {
            name: claim.name.0.clone(),
            incarnation: claim.incarnation,
            status: claim.status as u8,
        }
    }
}

impl TryFrom<WireClaim> for Claim {
    type Error = PacketError;

    fn try_from(wire: WireClaim) -> Result<Self, PacketError> {
        Ok(Self {
            name: InstanceName(wire.name),
            incarnation: wire.incarnation,
            status: status(wire.status)?,
        })
    }
}

impl From<&TargetRecord> for WireTarget {
    fn from(record: &TargetRecord) -> Self {
        let announcement = &record.announcement;
        Self {
            name: announcement.name.0.clone(),
            address: announcement.address.clone(),
            kind: announcement.kind as u8,
            serves: announcement.serves.clone(),
            domain: announcement.domain.0.clone(),
            region: announcement.region.0.clone(),
            slots: announcement.slots,
            incarnation: announcement.incarnation,
            state: record.state as u8,
            leaving: record.leaving,
            version: record.version,
            holder: record.holder.0.clone(),
        }
    }
}

impl TryFrom<WireTarget> for TargetRecord {
    type Error = PacketError;

    fn try_from(wire: WireTarget) -> Result<Self, PacketError> {
        let announcement = Announcement {
            name: TargetName(wire.name),
            address: wire.address,
            kind: kind(wire.kind)?,
            serves: wire.serves,
            domain: FailureDomain(wire.domain),
            region: Region(wire.region),
            slots: wire.slots,
            incarnation: wire.incarnation,
        };
        Ok(Self {
            announcement,
            state: state(wire.state)?,
            leaving: wire.leaving,
            version: wire.version,
            holder: InstanceName(wire.holder),
        })
    }
}

impl From<&TargetClaim> for WireTargetClaim {
    fn from(claim: &TargetClaim) -> Self {
        Self {
            name: claim.name.0.clone(),
            incarnation: claim.incarnation,
            state: claim.state as u8,
            leaving: claim.leaving,
            version: claim.version,
            holder: claim.holder.0.clone(),
        }
    }
}

impl TryFrom<WireTargetClaim> for TargetClaim {
    type Error = PacketError;

    fn try_from(wire: WireTargetClaim) -> Result<Self, PacketError> {
        Ok(Self {
            name: TargetName(wire.name),
            incarnation: wire.incarnation,
            state: state(wire.state)?,
            leaving: wire.leaving,
            version: wire.version,
            holder: InstanceName(wire.holder),
        })
    }
}

fn status(number: u8) -> Result<Status, PacketError> {
    let all = [
        Status::Alive,
        Status::Suspect,
        Status::Leaving,
        Status::Dead,
    ];
    let status = all.into_iter().find(|status| *status as u8 == number);
    status.ok_or(PacketError("unknown instance status"))
}

fn kind(number: u8) -> Result<TargetKind, PacketError> {
    let all = [TargetKind::Engine, TargetKind::Service];
    let kind = all.into_iter().find(|kind| *kind as u8 == number);
    kind.ok_or(PacketError("unknown target kind"))
}

fn state(number: u8) -> Result<TargetState, PacketError> {
    let all = [
        TargetState::Live,
        TargetState::Suspect,
        TargetState::Leaving,
        TargetState::Gone,
    ];
    let state = all.into_iter().find(|state| *state as u8 == number);
    state.ok_or(PacketError("unknown target state"))
}
