//! What replicas send one another.

use yuccaseam_base::record;
use yuccaseam_quorum::{
    Envelope,
    WireEnvelope, //
};

/// Says who a replica is. Sent to all replicas that are known, whether they answer or not.
#[record]
#[derive(Copy)]
pub(crate) struct Hello {
    /// The identity of its disk.
    pub(crate) disk: u64,
    /// Whether its disk belongs to a group. One that does not remembers nothing.
    pub(crate) has_group: bool,
    /// It holds every blob that the state refers to as of this entry.
    pub(crate) blobs_upto: u64,
}

/// One message between replicas.
#[record]
pub(crate) enum Frame {
    /// Of the replicated log.
    Quorum(WireEnvelope),
    /// Who the sender is.
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
