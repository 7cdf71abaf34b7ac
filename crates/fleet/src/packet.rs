//! Packets exchanged between daemons.

use std::{
    error,
    fmt, //
};

use yuccaseam_base::{
    InstanceName,
    TargetName,
    value, //
};

use crate::{
    digest::Digest,
    instance::{
        InstanceRecord,
        Status, //
    },
    target::{
        TargetClaim,
        TargetLoad,
        TargetRecord, //
    },
    wire::WirePacket, //
};

/// One packet.
#[value]
pub(crate) struct Packet {
    /// Sender of the packet.
    pub(crate) from: InstanceName,
    /// Address on which the sender listens.
    pub(crate) address: String,
    /// Request or reply.
    pub(crate) body: Body,
    /// Piggybacked changes.
    pub(crate) updates: Vec<Update>,
}

/// Request or reply carried by a packet.
#[value]
pub(crate) enum Body {
    /// Requests an [`Self::Ack`] from an instance.
    Ping {
        /// Name of the probed instance, because another one can have taken over its address.
        to: InstanceName,
        /// Probe number at the sender.
        probe: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// Number of the acknowledged probe.
        probe: u64,
    },
    /// Requests a ping of a third instance, with its acknowledgement relayed to the sender.
    PingRequest {
        /// Name of the third instance.
        to: InstanceName,
        /// Address on which the third instance listens.
        address: String,
        /// Probe number at the sender.
        probe: u64,
    },
    /// Carries only updates.
    Gossip,
    /// Requests the records of the buckets in which the receiver's digest differs.
    Digest(Digest),
    /// Reply to a digest, with all records of the listed buckets as updates.
    Records {
        /// Buckets whose records the packet carries.
        buckets: Vec<u8>,
        /// Whether more buckets differ.
        more: bool,
    },
    /// Load reports for the owner of the targets.
    Loads(Vec<(TargetName, TargetLoad)>),
    /// Renewals received elsewhere, for the holder of the targets.
    Renewals(Vec<Renewal>),
}

/// Renewal received by a daemon other than the target's holder.
#[value]
pub(crate) struct Renewal {
    pub(crate) name: TargetName,
    pub(crate) incarnation: u64,
}

/// Change carried by a packet.
#[value]
pub(crate) enum Update {
    /// Full record of an instance.
    Instance(InstanceRecord),
    /// Status of an instance that the receiver knows.
    Claim(Claim),
    /// Full record of a target.
    Target(TargetRecord),
    /// State of a target that the receiver knows.
    TargetClaim(TargetClaim),
}

/// Claim about the status of an instance.
#[value]
pub(crate) struct Claim {
    pub(crate) name: InstanceName,
    /// Incarnation that the status applies to.
    pub(crate) incarnation: u64,
    pub(crate) status: Status,
}

/// Error for bytes that are not a valid packet.
#[value]
pub struct PacketError(pub(crate) &'static str);

impl fmt::Display for PacketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed packet: {}", self.0)
    }
}

impl error::Error for PacketError {}

impl Packet {
    /// Serializes the packet.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&WirePacket::from(self)).expect("serialization to memory is infallible")
    }

    /// Deserializes a packet.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid packet.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, PacketError> {
        let wire: WirePacket =
            postcard::from_bytes(bytes).map_err(|_| PacketError("decoding failed"))?;
        wire.try_into()
    }
}
