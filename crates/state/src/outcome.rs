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

/// Counts of what [`crate::Operation::ExpireOld`] removed or ended.
#[record]
#[derive(Default)]
pub struct Expired {
    /// Jobs past their retention.
    pub jobs: u32,
    /// Idempotency keys past their retention.
    pub keys: u32,
    /// Operator requests past their retention.
    pub requests: u32,
    /// Owners whose leases were not renewed.
    pub owners: u32,
    /// Orders that exceeded their time limit.
    pub orders: u32,
}

/// The outcome of a command.
#[record]
pub enum Outcome {
    /// Outcome of [`crate::SetConfiguration`].
    Configuration(ConfigurationOutcome),
    /// Outcome of [`crate::CreateJob`].
    JobCreated(JobCreated),
    /// Job status after [`crate::CancelJob`].
    JobCancelled(JobStatus),
    /// Leases granted by [`crate::LeaseChunks`].
    Leased(Vec<Lease>),
    /// Outcome of [`crate::RenewLeases`].
    Renewed {
        /// Number of chunks that the owner holds.
        chunks: u32,
    },
    /// Items that may run after [`crate::StartItems`].
    Started(ItemSet),
    /// Outcome of [`crate::CompleteItems`].
    Completed(Completion),
    /// Outcome of [`crate::MarkSuspects`].
    Marked(Marked),
    /// Outcome of [`crate::ReleaseChunk`].
    Released {
        /// Whether the lease was current.
        stood: bool,
    },
    /// Outcome of [`crate::ExpireOwner`] or [`crate::AbandonClaims`].
    OwnerEnded {
        /// Number of leases or claims that the owner held.
        count: u32,
    },
    /// Outcome of [`crate::MergeResults`].
    Merged,
    /// Outcome of [`crate::ClaimKey`].
    KeyClaim(KeyClaim),
    /// Outcome of [`crate::FinishKey`].
    KeyFinished(KeyFinished),
    /// Order after [`crate::IssueOrder`].
    Ordered(Order),
    /// Outcome of [`crate::CompleteOrder`].
    OrderCompleted {
        /// Whether an order with this number was loading.
        stood: bool,
    },
    /// Outcome of [`crate::ObserveTarget`] or [`crate::RemoveTarget`].
    TargetRecorded,
    /// Outcome of [`crate::Operation::ExpireOld`].
    Expired(Expired),
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

impl Outcome {
    /// Encodes the outcome.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes an outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not exactly one outcome.
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
