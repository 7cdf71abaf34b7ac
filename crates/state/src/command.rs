//! Commands of the replicated log.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    Millis,
    record, //
};

use crate::{
    AbandonClaims,
    CancelJob,
    ClaimKey,
    CompleteItems,
    CompleteOrder,
    CreateJob,
    DecodeError,
    ExpireOwner,
    FinishKey,
    IssueOrder,
    LeaseChunks,
    MAX_CHUNK_ITEMS,
    MarkSuspects,
    MergeResults,
    ObserveTarget,
    ReleaseChunk,
    RemoveTarget,
    RenewLeases,
    SetConfiguration,
    StartItems,
    codec, //
};

/// Largest number of failed items in one [`CompleteItems`].
const MAX_FAILED_ITEMS: usize = MAX_CHUNK_ITEMS as usize;

macro_rules! operations {
    ($($(#[$doc:meta])+ $name:ident,)+) => {
        /// The operation of a [`Command`].
        #[record]
        pub enum Operation {
            $($(#[$doc])+ $name($name),)+
            /// Removes data past its retention, expires leases that were not renewed and fails
            /// orders that exceeded their time limit.
            ExpireOld,
        }

        $(
            impl From<$name> for Operation {
                fn from(operation: $name) -> Self {
                    Self::$name(operation)
                }
            }
        )+
    };
}

operations! {
    /// Changes the configuration.
    SetConfiguration,
    /// Creates a job.
    CreateJob,
    /// Cancels a job.
    CancelJob,
    /// Leases chunks to an owner.
    LeaseChunks,
    /// Renews an owner's leases.
    RenewLeases,
    /// Marks items of a non-idempotent job as started.
    StartItems,
    /// Records ended items.
    CompleteItems,
    /// Records a target crash with items in flight.
    MarkSuspects,
    /// Releases the lease of a chunk.
    ReleaseChunk,
    /// Expires an owner's leases.
    ExpireOwner,
    /// Replaces the result blobs of an ended chunk with one.
    MergeResults,
    /// Claims an idempotency key.
    ClaimKey,
    /// Records the outcome of a claimed call.
    FinishKey,
    /// Abandons an owner's claims.
    AbandonClaims,
    /// Orders a target to serve a model.
    IssueOrder,
    /// Records the model that a target serves.
    ObserveTarget,
    /// Completes an order.
    CompleteOrder,
    /// Removes a target and its order.
    RemoveTarget,
}

/// A command, as stored in one log entry.
#[record]
#[serde(try_from = "WireCommand", into = "WireCommand")]
pub struct Command {
    /// Unix time of the proposal, by the proposer's clock.
    pub at: Millis,
    /// Operation to apply.
    pub operation: Operation,
}

impl Command {
    /// Creates a command proposed at the Unix time `at`.
    pub fn new<T>(at: Millis, operation: T) -> Self
    where
        T: Into<Operation>,
    {
        Self {
            at,
            operation: operation.into(),
        }
    }

    /// Encodes the command for the log.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not exactly one valid command.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let wire: WireCommand = codec::decode(bytes)?;
        wire.try_into()
    }
}

/// Encoded form of [`Command`].
#[derive(Serialize, Deserialize)]
struct WireCommand {
    at_ms: u64,
    operation: Operation,
}

impl From<Command> for WireCommand {
    fn from(command: Command) -> Self {
        Self {
            at_ms: command.at.0,
            operation: command.operation,
        }
    }
}

impl TryFrom<WireCommand> for Command {
    type Error = DecodeError;

    fn try_from(wire: WireCommand) -> Result<Self, DecodeError> {
        if let Operation::CompleteItems(report) = &wire.operation
            && report.failed.len() > MAX_FAILED_ITEMS
        {
            return Err(DecodeError::Invalid(
                "more than 4096 failed items in one report",
            ));
        }
        Ok(Self {
            at: Millis(wire.at_ms),
            operation: wire.operation,
        })
    }
}
