//! The replicated state machine: configuration, jobs, request keys and orders to targets.
//!
//! [`State::apply`] is a pure function of the state, a position in the log and a [`Command`]. It
//! reads no clock: the time is inside the command. Every replica that applies the same commands
//! holds the same state.

mod codec;
mod command;
mod configuration;
mod ids;
mod items;
mod jobs;
mod keys;
mod machine;
mod orders;
mod outcome;
mod query;

pub use codec::DecodeError;
pub use command::{
    Command,
    Operation, //
};
pub use configuration::{
    ClassKind,
    Configuration,
    ConfigurationChange,
    ConfigurationOutcome,
    Defaults,
    Difference,
    Document,
    Exception,
    HistoryEntry,
    Model,
    NewException,
    Place,
    Problem,
    Reach,
    RequestClass,
    Scope,
    Service,
    SetConfiguration,
    Setting,
    Team, //
};
pub use ids::{
    BlobId,
    Fingerprint,
    JobId,
    KeyId,
    LogIndex,
    OwnerId,
    ParseIdError, //
};
pub use items::{
    ItemSet,
    MAX_CHUNK_ITEMS, //
};
pub use jobs::{
    CancelJob,
    ChunkResults,
    ChunkSpec,
    CompleteItems,
    Completion,
    CreateJob,
    ExpireOwner,
    FailedItem,
    JobCreated,
    JobState,
    JobStatus,
    Lease,
    LeaseChunks,
    LeaseRef,
    MarkSuspects,
    Marked,
    MergeResults,
    ReleaseChunk,
    RenewLeases,
    ResultPart,
    StartItems,
    Suspect,
    Work, //
};
pub use keys::{
    AnswerBody,
    CallEnd,
    ClaimKey,
    FinishKey,
    INLINE_LIMIT,
    KeptAnswer,
    KeyClaim,
    KeyFinished,
    OwnerLost, //
};
pub use machine::State;
pub use orders::{
    CompleteOrder,
    IssueOrder,
    ObserveTarget,
    Order,
    OrderEnd,
    OrderState,
    RemoveTarget, //
};
pub use outcome::{
    Expired,
    Outcome, //
};
pub use query::{
    Answer,
    Query,
    Summary, //
};
