//! Commands on jobs, what becomes of them, and what callers read.

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

/// What runs the items of a job.
#[record]
#[derive(Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A model engine that serves this model. Every call may be repeated.
    Model(String),
    /// A plain service.
    Service(String),
}

/// A part of a job that is leased as a whole.
#[key]
#[derive(Serialize, Deserialize)]
pub struct ChunkSpec {
    /// The blob that holds the items' bodies.
    pub payload: BlobId,
    /// How many items it holds.
    pub items: u16,
}

/// Accepts a job. Its payloads are on a majority of replicas before this is proposed.
#[record]
pub struct CreateJob {
    /// The job: [`JobId::of_key`] if the caller gave a key.
    pub job: JobId,
    /// The fingerprint of the whole request.
    pub fingerprint: Fingerprint,
    /// The team that it counts for.
    pub team: String,
    /// The request class.
    pub class: String,
    /// What runs its items.
    pub work: Work,
    /// Whether an item may be run again after its outcome was lost.
    pub idempotent: bool,
    /// When it should be finished, in Unix time.
    pub deadline: Millis,
    /// Its items.
    pub chunks: Vec<ChunkSpec>,
}

/// What became of a [`CreateJob`].
#[record]
pub struct JobCreated {
    /// The job.
    pub job: JobId,
    /// Whether it existed already: this is a resend.
    pub existing: bool,
}

/// Leases chunks to an owner, and renews all leases that it holds.
#[record]
pub struct LeaseChunks {
    /// Who will run the items.
    pub owner: OwnerId,
    /// What its target serves.
    pub serves: Vec<Work>,
    /// The most chunks to lease now.
    pub max: u16,
}

/// An item that may have caused the death of its target.
#[key]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// The item. It runs alone.
    pub item: u16,
    /// How often its target died while it ran alone.
    pub died_alone: u8,
}

/// A chunk that an owner runs.
#[record]
pub struct Lease {
    /// The job.
    pub job: JobId,
    /// The chunk's number in the job.
    pub chunk: u32,
    /// The lease's epoch: a later lease of the chunk has a higher one.
    pub epoch: LogIndex,
    /// The chunk's items.
    pub spec: ChunkSpec,
    /// Items that are done or failed already.
    pub ended: ItemSet,
    /// Items that run alone.
    pub suspects: Vec<Suspect>,
    /// The job's team.
    pub team: String,
    /// The job's class.
    pub class: String,
    /// What runs the items.
    pub work: Work,
    /// Whether an item may be run again after its outcome was lost.
    pub idempotent: bool,
    /// When the job should be finished, in Unix time.
    pub deadline: Millis,
}

/// Names one lease.
#[key]
#[derive(Serialize, Deserialize)]
pub struct LeaseRef {
    /// The job.
    pub job: JobId,
    /// The chunk.
    pub chunk: u32,
    /// The lease's epoch.
    pub epoch: LogIndex,
}

/// Renews all chunk leases of an owner.
#[record]
pub struct RenewLeases {
    /// The owner.
    pub owner: OwnerId,
}

/// Marks items of a non-idempotent job as started, before any byte of their calls is sent.
#[record]
pub struct StartItems {
    /// The lease under which they run.
    pub lease: LeaseRef,
    /// The items.
    pub items: ItemSet,
}

/// Returns a chunk before all its items are done.
#[record]
pub struct ReleaseChunk {
    /// The lease that ends.
    pub lease: LeaseRef,
    /// Items that were marked as started and did not run after all.
    pub not_run: ItemSet,
}

/// Ends an owner's chunk leases: its instance is dead or was restarted.
#[record]
pub struct ExpireOwner {
    /// The owner.
    pub owner: OwnerId,
}

/// An item that will not be done.
#[key]
#[derive(Serialize, Deserialize)]
pub struct FailedItem {
    /// The item.
    pub item: u16,
    /// Why.
    pub reason: Reason,
}

/// Reports ended items. The result blob is on a majority of replicas before this is proposed.
///
/// The first completion of an item wins, whichever lease it comes from.
#[record]
pub struct CompleteItems {
    /// The lease under which the items ran.
    pub lease: LeaseRef,
    /// The blob that holds the results of `done` and the errors of `failed`.
    pub result: Option<BlobId>,
    /// Items whose result the blob holds.
    pub done: ItemSet,
    /// Items that failed for good.
    pub failed: Vec<FailedItem>,
}

/// What became of a [`CompleteItems`].
#[record]
#[derive(Default)]
pub struct Completion {
    /// Items done by this command.
    pub done: u32,
    /// Items failed by this command.
    pub failed: u32,
    /// Items dropped because they had ended before.
    pub duplicate: u32,
    /// Items dropped because the job is cancelled, expired or unknown.
    pub dropped: u32,
    /// Whether the lease named had been replaced or returned. Its items count all the same.
    pub late: bool,
    /// Whether every item of the chunk has ended.
    pub chunk_ended: bool,
    /// Whether every item of the job has ended.
    pub job_ended: bool,
}

/// Replaces the result blobs of an ended chunk by one that holds the same results.
#[record]
pub struct MergeResults {
    /// The job.
    pub job: JobId,
    /// The chunk.
    pub chunk: u32,
    /// The blobs that are replaced, in their order.
    pub replaces: Vec<BlobId>,
    /// The blob that holds the results of all of them.
    pub result: BlobId,
}

/// Reports that a target died with items of one chunk in flight.
#[record]
pub struct MarkSuspects {
    /// The lease under which they ran.
    pub lease: LeaseRef,
    /// The items in flight, of this chunk.
    pub items: ItemSet,
    /// Whether nothing else was in flight at the target, of any chunk.
    pub alone: bool,
    /// The owner's number of this death, so that a report proposed twice is one report. Numbers
    /// of one lease grow.
    pub death: u64,
}

/// What became of a [`MarkSuspects`].
#[record]
pub struct Marked {
    /// Items that run alone from now on.
    pub suspects: Vec<Suspect>,
    /// Items that failed for good.
    pub failed: Vec<FailedItem>,
    /// Whether every item of the chunk has ended.
    pub chunk_ended: bool,
}

/// Stops a job. Repeating it changes nothing.
#[record]
pub struct CancelJob {
    /// The job.
    pub job: JobId,
}

/// How far a job has come.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items are waiting or running.
    Running,
    /// The job was cancelled, and owners still hold leases of it.
    Cancelling,
    /// The job was cancelled and nothing of it runs.
    Cancelled,
    /// Every item is done or failed.
    Completed,
}

/// A job as callers see it.
#[record]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The team that it counts for.
    pub team: String,
    /// The request class.
    pub class: String,
    /// What runs its items.
    pub work: Work,
    /// How far it has come.
    pub state: JobState,
    /// How many items it has.
    pub items: u32,
    /// Items with a result.
    pub done: u32,
    /// Items that failed.
    pub failed: u32,
    /// How many chunks it has.
    pub chunks: u32,
    /// Chunks that owners hold.
    pub leased_chunks: u32,
    /// When it was accepted, in Unix time.
    pub created_at: Millis,
    /// When it should be finished, in Unix time.
    pub deadline: Millis,
    /// When it was completed or cancelled, in Unix time.
    pub ended_at: Option<Millis>,
}

/// The items of one chunk that one blob holds the results of.
#[record]
pub struct ResultPart {
    /// The blob.
    pub blob: BlobId,
    /// The items whose result counts. The blob may hold others, which are ignored.
    pub items: ItemSet,
}

/// What is known of one chunk's items.
#[record]
pub struct ChunkResults {
    /// The chunk's number in the job.
    pub chunk: u32,
    /// The number in the job of the chunk's first item.
    pub first_item: u32,
    /// How many items the chunk has.
    pub items: u16,
    /// Where the results are.
    pub parts: Vec<ResultPart>,
    /// Items that failed.
    pub failed: Vec<FailedItem>,
}
