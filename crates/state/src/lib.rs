//! The replicated state machine: configuration, batch jobs, idempotency keys and target orders.
//!
//! [`State::apply`] is deterministic: it depends only on the state, a log index and a [`Command`],
//! and takes the time from the command, not from a clock. Replicas that apply the same commands
//! reach the same state.

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
    AllowedScopes,
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
    Problem,
    RequestClass,
    Scope,
    Service,
    SetConfiguration,
    Setting,
    SettingContext,
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
    AbandonClaims,
    CallOutcome,
    ClaimKey,
    FinishKey,
    KeyClaim,
    KeyFinished,
    MAX_INLINE_BODY_BYTES,
    ResponseBody,
    StoredResponse, //
};
pub use machine::State;
pub use orders::{
    CompleteOrder,
    IssueOrder,
    ObserveTarget,
    Order,
    OrderOutcome,
    OrderState,
    RemoveTarget, //
};
pub use outcome::{
    Expired,
    Outcome, //
};
pub use query::{
    Query,
    QueryResult,
    Summary, //
};
