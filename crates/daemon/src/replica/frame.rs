//! Messages between replicas.

use yuccaseam_base::record;
use yuccaseam_quorum::{
    Envelope,
    WireEnvelope, //
};

/// Identifies a replica. Sent to all known replicas at regular intervals, reachable or not.
#[record]
#[derive(Copy)]
pub(crate) struct Hello {
    /// The identity of its disk.
    pub(crate) disk: u64,
    /// Whether its disk belongs to a group. A disk without a group stores no log.
    pub(crate) has_group: bool,
    /// Index of the entry as of which it holds every blob that the state refers to.
    pub(crate) blobs_upto: u64,
}

/// One message between replicas.
#[record]
pub(crate) enum Frame {
    /// A message of the replication protocol.
    Quorum(WireEnvelope),
    /// Identity of the sender.
    Hello(Hello),
}

impl Frame {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data encodes")
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

impl From<Envelope> for Frame {
    fn from(envelope: Envelope) -> Self {
        Self::Quorum(envelope.into())
    }
}
