//! Outcomes of commands.

use yuccaseam_base::{
    Refusal,
    record, //
};

use crate::{
    Completion,
    ConfigurationOutcome,
    DecodeError,
    ItemSet,
    JobCreated,
    JobStatus,
    KeyClaim,
    KeyFinished,
    Lease,
    Marked,
    Order,
    codec, //
};

/// What [`crate::Operation::ExpireOld`] removed.
#[record]
#[derive(Default)]
pub struct Expired {
    /// Jobs past their retention.
    pub jobs: u32,
    /// Idempotency keys past their retention.
    pub keys: u32,
    /// Operators' requests past their retention.
    pub requests: u32,
    /// Owners whose leases were not renewed.
    pub owners: u32,
    /// Orders that took too long.
    pub orders: u32,
}

/// What became of a command.
#[record]
pub enum Outcome {
    /// Of a change of configuration.
    Configuration(ConfigurationOutcome),
    /// Of a new job.
    JobCreated(JobCreated),
    /// Of a cancel: the job as it stands.
    JobCancelled(JobStatus),
    /// Of a request for leases.
    Leased(Vec<Lease>),
    /// Of a renewal.
    Renewed {
        /// How many chunks the owner holds.
        chunks: u32,
    },
    /// Of a start of non-idempotent items: those that may run now.
    Started(ItemSet),
    /// Of a report of ended items.
    Completed(Completion),
    /// Of a report of a target's death.
    Marked(Marked),
    /// Of a return of a chunk.
    Released {
        /// Whether the lease still stood.
        stood: bool,
    },
    /// Of the end of an owner.
    OwnerEnded {
        /// How many leases or claims it had.
        count: u32,
    },
    /// Of a merge of result blobs.
    Merged,
    /// Of a claim of a key.
    KeyClaim(KeyClaim),
    /// Of the end of a claimed call.
    KeyFinished(KeyFinished),
    /// Of an order: as it stands.
    Ordered(Order),
    /// Of the end of an order.
    OrderCompleted {
        /// Whether an order of this number was loading.
        stood: bool,
    },
    /// Of a report of what a target serves, or of its leaving.
    TargetRecorded,
    /// Of the removal of what is old.
    Expired(Expired),
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

impl Outcome {
    /// The bytes for the wire.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Reads the bytes of the wire.
    ///
    /// # Errors
    ///
    /// If the bytes are not one outcome.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        codec::decode(bytes)
    }
}

impl<T> From<Result<T, Refusal>> for Outcome
where
    T: Into<Self>,
{
    fn from(result: Result<T, Refusal>) -> Self {
        result.map_or_else(Self::Refused, Into::into)
    }
}

macro_rules! outcomes {
    ($($variant:ident($kind:ty),)+) => {
        $(
            impl From<$kind> for Outcome {
                fn from(outcome: $kind) -> Self {
                    Self::$variant(outcome)
                }
            }
        )+
    };
}

outcomes! {
    Configuration(ConfigurationOutcome),
    JobCreated(JobCreated),
    JobCancelled(JobStatus),
    Leased(Vec<Lease>),
    Started(ItemSet),
    Completed(Completion),
    Marked(Marked),
    KeyClaim(KeyClaim),
    KeyFinished(KeyFinished),
    Ordered(Order),
    Expired(Expired),
}
