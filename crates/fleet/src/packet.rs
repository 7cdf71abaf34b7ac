//! Packets between daemons.

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
    /// The sender.
    pub(crate) from: InstanceName,
    /// Where the sender listens.
    pub(crate) address: String,
    /// What it asks or answers.
    pub(crate) body: Body,
    /// What it tells.
    pub(crate) updates: Vec<Update>,
}

/// What a packet asks or answers.
#[value]
pub(crate) enum Body {
    /// Asks an instance to answer.
    Ping {
        /// The instance, because another one may have taken over its address.
        to: InstanceName,
        /// The number of the probe at the sender.
        probe: u64,
    },
    /// Answers a ping.
    Ack {
        /// The number of the probe.
        probe: u64,
    },
    /// Asks to ping a third instance and to pass on its answer.
    PingRequest {
        /// The third instance.
        to: InstanceName,
        /// Where it listens.
        address: String,
        /// The number of the probe at the sender.
        probe: u64,
    },
    /// Only tells.
    Gossip,
    /// Asks for the records in which the receiver differs.
    Digest(Digest),
    /// Answers a digest with all records of these buckets.
    Records {
        /// The buckets.
        buckets: Vec<u8>,
        /// Whether more buckets differ.
        more: bool,
    },
    /// Tells the owner of targets their load.
    Loads(Vec<(TargetName, TargetLoad)>),
    /// Tells the holder of targets that they renewed elsewhere.
    Renewals(Vec<Renewal>),
}

/// A target that renewed at another daemon than the one that holds it.
#[value]
pub(crate) struct Renewal {
    /// The target.
    pub(crate) name: TargetName,
    /// Its incarnation.
    pub(crate) incarnation: u64,
}

/// What a packet tells.
#[value]
pub(crate) enum Update {
    /// All of an instance.
    Instance(InstanceRecord),
    /// The status of an instance that the receiver knows.
    Claim(Claim),
    /// All of a target.
    Target(TargetRecord),
    /// The state of a target that the receiver knows.
    TargetClaim(TargetClaim),
}

/// The status of an instance.
#[value]
pub(crate) struct Claim {
    /// The instance.
    pub(crate) name: InstanceName,
    /// The incarnation that the status is of.
    pub(crate) incarnation: u64,
    /// The status.
    pub(crate) status: Status,
}

/// A packet that is not one.
#[value]
pub struct PacketError(pub(crate) &'static str);

impl fmt::Display for PacketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad packet: {}", self.0)
    }
}

impl error::Error for PacketError {}

impl Packet {
    /// The bytes to send.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&WirePacket::from(self)).expect("writing to memory does not fail")
    }

    /// The packet that some bytes are.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not those of a packet.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, PacketError> {
        let wire: WirePacket =
            postcard::from_bytes(bytes).map_err(|_| PacketError("not decodable"))?;
        wire.try_into()
    }
}
