//! Input and output of a runner.

use yuccaseam_admit::RunId;
use yuccaseam_base::{
    Reason,
    Verdict,
    key,
    value, //
};
use yuccaseam_state::{
    FailedItem,
    ItemSet,
    JobId,
    Lease,
    LeaseRef,
    Suspect, //
};

/// Reference to one item of one lease.
#[key]
pub struct ItemRef {
    /// Lease of the item's chunk.
    pub lease: LeaseRef,
    /// Index of the item in its chunk.
    pub item: u16,
}

/// Failure of a run.
#[value]
pub struct Failure {
    /// Whether the item may have run.
    pub verdict: Verdict,
    /// Reason that is reported if the item fails permanently.
    pub reason: Reason,
    /// Whether a retry may succeed.
    pub transient: bool,
}

/// Input to [`Runner::handle`](crate::Runner::handle). Each started run ends with one event of
/// `Finished`, `Failed`, `Cut` or `Stopped`, unless `TargetDied` ends it.
#[value]
pub enum Event {
    /// Reply to [`Action::LeaseMore`]; empty if no chunk was available.
    Leased(Vec<Lease>),
    /// Reply to [`Action::MarkStarted`].
    Started {
        /// Lease.
        lease: LeaseRef,
        /// Items that can run.
        items: ItemSet,
    },
    /// Reply to [`Action::MarkSuspects`].
    Marked {
        /// Lease.
        lease: LeaseRef,
        /// Items that have to run alone.
        suspects: Vec<Suspect>,
        /// Items that the replicated state recorded as failed permanently.
        failed: Vec<FailedItem>,
    },
    /// Reply to [`Action::Flush`].
    Flushed {
        /// Lease.
        lease: LeaseRef,
        /// Whether the chunk has been leased to another owner.
        late: bool,
        /// Whether every item of the chunk has ended, at any owner.
        chunk_ended: bool,
    },
    /// A lease is no longer valid.
    LeaseLost(LeaseRef),
    /// A job was cancelled.
    JobCancelled(JobId),
    /// The gate granted a slot for a run.
    SlotGranted(RunId),
    /// The gate reclaims the slot of a run.
    Pause(RunId),
    /// The run ended with a complete response.
    Finished {
        /// Run.
        run: RunId,
        /// Line for the result blob, with its line end.
        line: Vec<u8>,
    },
    /// The run ended without a complete response, at a target that is still alive.
    Failed {
        /// Run.
        run: RunId,
        /// Details of the failure.
        failure: Failure,
        /// Line for the result blob, with its line end, used if the item fails permanently.
        line: Vec<u8>,
    },
    /// The run's stream was cut, possibly by the death of the target.
    Cut {
        /// Run.
        run: RunId,
        /// Number of tokens received before.
        tokens: u32,
    },
    /// The run stopped after [`Action::Stop`].
    Stopped {
        /// Run.
        run: RunId,
        /// Number of tokens received before.
        tokens: u32,
    },
    /// The target's process died, which ended all its runs.
    TargetDied,
    /// The target is leaving or the daemon is stopping: no item starts, repeatable runs are
    /// stopped, and all leases are released.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// Output that the owner has to act on.
///
/// Actions on the store (`LeaseMore` to `Release`) are executed one after another, each repeated
/// until it has a reply.
#[value]
pub enum Action {
    /// Request leases on more chunks.
    LeaseMore {
        /// Maximum number of chunks.
        max: u16,
    },
    /// Mark items of a non-idempotent job as started.
    MarkStarted {
        /// Lease.
        lease: LeaseRef,
        /// Items to mark.
        items: ItemSet,
    },
    /// Report that the target died with these items in flight.
    MarkSuspects {
        /// Lease.
        lease: LeaseRef,
        /// Items to mark.
        items: ItemSet,
        /// Whether no other batch item was in flight.
        alone: bool,
        /// Sequence number of the death at this runner.
        death: u64,
    },
    /// Store results as a blob, then report the ended items.
    Flush {
        /// Lease.
        lease: LeaseRef,
        /// Content of the blob.
        results: Vec<u8>,
        /// Items with a result in the blob.
        done: ItemSet,
        /// Items that failed permanently.
        failed: Vec<FailedItem>,
    },
    /// Release a lease.
    Release {
        /// Lease.
        lease: LeaseRef,
        /// Items that were marked as started but not run.
        not_run: ItemSet,
    },
    /// Send an item to the target.
    Start {
        /// Run.
        run: RunId,
        /// Item.
        item: ItemRef,
        /// Number of tokens received by an earlier run, after which the answer resumes.
        resume_from: u32,
    },
    /// Close the stream of a run.
    Stop(RunId),
    /// Give back the slot of a run for which no item is ready.
    SlotUnused(RunId),
    /// Report the number of items that can start now to the gate.
    Ready(u32),
}
