//! Commands: what the log carries.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    Millis,
    record, //
};

use crate::{
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
    OwnerLost,
    ReleaseChunk,
    RemoveTarget,
    RenewLeases,
    SetConfiguration,
    StartItems,
    codec, //
};

/// The most failed items that one command may report.
const FAILED_LIMIT: usize = MAX_CHUNK_ITEMS as usize;

macro_rules! operations {
    ($($(#[$doc:meta])+ $name:ident,)+) => {
        /// What a command does.
        #[record]
        pub enum Operation {
            $($(#[$doc])+ $name($name),)+
            /// Forgets what is older than the settings say, ends leases that were not renewed and
            /// fails orders that took too long.
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
    /// Accepts a job.
    CreateJob,
    /// Stops a job.
    CancelJob,
    /// Leases chunks to an owner.
    LeaseChunks,
    /// Renews an owner's leases.
    RenewLeases,
    /// Marks items of a non-idempotent job as started.
    StartItems,
    /// Reports ended items.
    CompleteItems,
    /// Reports a target's death with items in flight.
    MarkSuspects,
    /// Returns a chunk.
    ReleaseChunk,
    /// Ends an owner's leases.
    ExpireOwner,
    /// Replaces the result blobs of an ended chunk by one.
    MergeResults,
    /// Claims an idempotency key.
    ClaimKey,
    /// Ends a claimed call.
    FinishKey,
    /// Gives up an owner's claims.
    OwnerLost,
    /// Wants a target to serve a model.
    IssueOrder,
    /// Records what a target serves.
    ObserveTarget,
    /// Ends an order.
    CompleteOrder,
    /// Forgets a target.
    RemoveTarget,
}

/// One entry of the log.
#[record]
#[serde(try_from = "WireCommand", into = "WireCommand")]
pub struct Command {
    /// When it was proposed, in Unix time, by the clock of the proposer.
    pub at: Millis,
    /// What it does.
    pub operation: Operation,
}

impl Command {
    /// A command proposed at a point in Unix time.
    pub fn new<T>(at: Millis, operation: T) -> Self
    where
        T: Into<Operation>,
    {
        Self {
            at,
            operation: operation.into(),
        }
    }

    /// The bytes for the log.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Reads the bytes of the log.
    ///
    /// # Errors
    ///
    /// If the bytes are not one command that keeps its rules.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let wire: WireCommand = codec::decode(bytes)?;
        wire.try_into()
    }
}

/// A command on the wire.
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
            && report.failed.len() > FAILED_LIMIT
        {
            return Err(DecodeError::Invalid("too many failed items in one report"));
        }
        Ok(Self {
            at: Millis(wire.at_ms),
            operation: wire.operation,
        })
    }
}
