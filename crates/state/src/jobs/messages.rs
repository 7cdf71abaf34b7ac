//! Job commands, their outcomes and the job status.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    key,
    record, //
};

use crate::{
    BlobId,
    Fingerprint,
    ItemSet,
    JobId,
    LogIndex,
    OwnerId, //
};

/// The kind of work of a job: the model or service that runs its items.
#[record]
#[derive(Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A model engine that serves this model. Calls are idempotent.
    Model(String),
    /// A plain service of this name.
    Service(String),
}

/// A part of a job, which is the unit of leasing.
#[key]
#[derive(Serialize, Deserialize)]
pub struct ChunkSpec {
    /// Blob with the bodies of the items.
    pub payload: BlobId,
    /// Number of items.
    pub items: u16,
}

/// Creates a job. Its payloads are stored on a majority of replicas before this is proposed.
#[record]
pub struct CreateJob {
    /// Identifier of the job: [`JobId::of_key`] if the caller gave a key.
    pub job: JobId,
    /// Fingerprint of the complete request.
    pub fingerprint: Fingerprint,
    /// Team that the job is accounted to.
    pub team: String,
    /// Request class.
    pub class: String,
    /// Kind of work.
    pub work: Work,
    /// Whether an item whose outcome was lost may be run again.
    pub idempotent: bool,
    /// Unix time by which the job should end.
    pub deadline: Millis,
    /// Chunks with the items of the job.
    pub chunks: Vec<ChunkSpec>,
}

/// Outcome of a [`CreateJob`].
#[record]
pub struct JobCreated {
    /// Identifier of the job.
    pub job: JobId,
    /// Whether the job existed already, because this is a retry.
    pub existing: bool,
}

/// Leases chunks to an owner, and renews all leases that it holds.
#[record]
pub struct LeaseChunks {
    /// Owner that will run the items.
    pub owner: OwnerId,
    /// Kinds of work that the owner's target serves.
    pub serves: Vec<Work>,
    /// Largest number of chunks to lease.
    pub max: u16,
}

/// An item that may have caused its target to die. It runs alone.
#[key]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// Number of the item in its chunk.
    pub item: u16,
    /// How often its target died while the item ran alone.
    pub died_alone: u8,
}

/// A chunk leased to an owner, with what the owner needs to run it.
#[record]
pub struct Lease {
    /// Identifier of the job.
    pub job: JobId,
    /// Number of the chunk in the job.
    pub chunk: u32,
    /// Epoch of the lease. Later leases of the chunk have higher epochs.
    pub epoch: LogIndex,
    /// Payload and number of items.
    pub spec: ChunkSpec,
    /// Items that are already done or failed.
    pub ended: ItemSet,
    /// Items that must run alone.
    pub suspects: Vec<Suspect>,
    /// Team of the job.
    pub team: String,
    /// Request class of the job.
    pub class: String,
    /// Kind of work.
    pub work: Work,
    /// Whether an item whose outcome was lost may be run again.
    pub idempotent: bool,
    /// Unix time by which the job should end.
    pub deadline: Millis,
}

/// Reference to a chunk lease.
#[key]
#[derive(Serialize, Deserialize)]
pub struct LeaseRef {
    /// Identifier of the job.
    pub job: JobId,
    /// Number of the chunk in the job.
    pub chunk: u32,
    /// Epoch of the lease.
    pub epoch: LogIndex,
}

/// Renews all chunk leases of an owner.
#[record]
pub struct RenewLeases {
    /// Owner of the leases.
    pub owner: OwnerId,
}

/// Marks items of a non-idempotent job as started, before any byte of their calls is sent.
#[record]
pub struct StartItems {
    /// Lease under which the items run.
    pub lease: LeaseRef,
    /// Items to start.
    pub items: ItemSet,
}

/// Releases the lease of a chunk before all its items have ended.
#[record]
pub struct ReleaseChunk {
    /// Lease to release.
    pub lease: LeaseRef,
    /// Items that were marked as started but did not run.
    pub not_run: ItemSet,
}

/// Expires the chunk leases of an owner whose instance has died or was restarted.
#[record]
pub struct ExpireOwner {
    /// Owner of the leases.
    pub owner: OwnerId,
}

/// An item that has failed.
#[key]
#[derive(Serialize, Deserialize)]
pub struct FailedItem {
    /// Number of the item in its chunk.
    pub item: u16,
    /// Reason for the failure.
    pub reason: Reason,
}

/// Records ended items. The result blob is stored on a majority of replicas before this is
/// proposed.
///
/// The first completion of an item wins, whichever lease it comes from.
#[record]
pub struct CompleteItems {
    /// Lease under which the items ran.
    pub lease: LeaseRef,
    /// Blob with the results of `done` and the errors of `failed`.
    pub result: Option<BlobId>,
    /// Number of items with a result.
    pub done: ItemSet,
    /// Items that failed and are not retried.
    pub failed: Vec<FailedItem>,
}

/// Outcome of a [`CompleteItems`].
#[record]
#[derive(Default)]
pub struct Completion {
    /// Number of items newly done.
    pub done: u32,
    /// Number of items newly failed.
    pub failed: u32,
    /// Number of items ignored because they had already ended.
    pub duplicate: u32,
    /// Number of items ignored because the job is cancelled, expired or unknown.
    pub dropped: u32,
    /// Whether the lease was no longer current. Its items count nevertheless.
    pub late: bool,
    /// Whether every item of the chunk has ended.
    pub chunk_ended: bool,
    /// Whether every item of the job has ended.
    pub job_ended: bool,
}

/// Replaces the result blobs of an ended chunk with one that holds the same results.
#[record]
pub struct MergeResults {
    /// Identifier of the job.
    pub job: JobId,
    /// Number of the chunk in the job.
    pub chunk: u32,
    /// Blobs to replace, in their present order.
    pub replaces: Vec<BlobId>,
    /// Blob with all their results.
    pub result: BlobId,
}

/// Reports that a target died with items of one chunk in flight.
#[record]
pub struct MarkSuspects {
    /// Lease under which the items ran.
    pub lease: LeaseRef,
    /// Items of the chunk that were in flight.
    pub items: ItemSet,
    /// Whether nothing else was in flight at the target, of any chunk.
    pub alone: bool,
    /// Number of the death, increasing within a lease, which makes a report proposed twice one
    /// report.
    pub death: u64,
}

/// Outcome of a [`MarkSuspects`].
#[record]
pub struct Marked {
    /// Items that must run alone from now on.
    pub suspects: Vec<Suspect>,
    /// Items that failed and are not retried.
    pub failed: Vec<FailedItem>,
    /// Whether every item of the chunk has ended.
    pub chunk_ended: bool,
}

/// Cancels a job. Repeating it has no effect.
#[record]
pub struct CancelJob {
    /// Identifier of the job.
    pub job: JobId,
}

/// State of a job.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items are waiting or running.
    Running,
    /// The job was cancelled, and owners still hold leases of its chunks.
    Cancelling,
    /// The job was cancelled, and no chunk is leased.
    Cancelled,
    /// Every item is done or failed.
    Completed,
}

/// Status of a job, as returned to callers.
#[record]
pub struct JobStatus {
    /// Identifier of the job.
    pub job: JobId,
    /// Team that the job is accounted to.
    pub team: String,
    /// Request class.
    pub class: String,
    /// Kind of work.
    pub work: Work,
    /// State of the job.
    pub state: JobState,
    /// Number of items.
    pub items: u32,
    /// Number of items with a result.
    pub done: u32,
    /// Number of failed items.
    pub failed: u32,
    /// Number of chunks.
    pub chunks: u32,
    /// Number of leased chunks.
    pub leased_chunks: u32,
    /// Unix time at which the job was created.
    pub created_at: Millis,
    /// Unix time by which the job should end.
    pub deadline: Millis,
    /// Unix time at which the job was completed or cancelled.
    pub ended_at: Option<Millis>,
}

/// Items of a chunk whose results are in one blob.
#[record]
pub struct ResultPart {
    /// Blob with the results.
    pub blob: BlobId,
    /// Items whose result counts. Other results in the blob are ignored.
    pub items: ItemSet,
}

/// Results of one chunk.
#[record]
pub struct ChunkResults {
    /// Number of the chunk in the job.
    pub chunk: u32,
    /// Number, within the job, of the chunk's first item.
    pub first_item: u32,
    /// Number of items in the chunk.
    pub items: u16,
    /// Locations of the results.
    pub parts: Vec<ResultPart>,
    /// Failed items.
    pub failed: Vec<FailedItem>,
}
