//! What a runner hears and what it orders.

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

/// One item of one lease.
#[key]
pub struct ItemRef {
    /// The lease.
    pub lease: LeaseRef,
    /// The item's number in the chunk.
    pub item: u16,
}

/// Why an item did not get its result.
#[value]
pub struct Failure {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// The reason.
    pub reason: Reason,
    /// Whether sending the item again may help.
    pub transient: bool,
}

/// What happened. Each run that started ends with one event of `Finished`, `Failed`, `Cut` or
/// `Stopped`, unless `TargetDied` ends it.
#[value]
pub enum Event {
    /// The answer to [`Action::LeaseMore`]; empty if there was no chunk.
    Leased(Vec<Lease>),
    /// The answer to [`Action::MarkStarted`].
    Started {
        /// The lease.
        lease: LeaseRef,
        /// The items that may run.
        items: ItemSet,
    },
    /// The answer to [`Action::MarkSuspects`].
    Marked {
        /// The lease.
        lease: LeaseRef,
        /// Items that run alone.
        suspects: Vec<Suspect>,
        /// Items that failed for good, as the replicated state knows.
        failed: Vec<FailedItem>,
    },
    /// The answer to [`Action::Flush`].
    Flushed {
        /// The lease.
        lease: LeaseRef,
        /// Whether the lease has been given to another owner.
        late: bool,
        /// Whether every item of the chunk has ended, by whichever owner.
        chunk_ended: bool,
    },
    /// A lease does not stand any more.
    LeaseLost(LeaseRef),
    /// A job was cancelled.
    JobCancelled(JobId),
    /// The gate has a free slot.
    Slot(RunId),
    /// The gate takes a slot back.
    Pause(RunId),
    /// The run ended with a whole answer.
    Finished {
        /// The run.
        run: RunId,
        /// The line for the result blob, with its line end.
        line: Vec<u8>,
    },
    /// The run ended without a whole answer, and the target is well.
    Failed {
        /// The run.
        run: RunId,
        /// Why.
        failure: Failure,
        /// The line for the result blob, with its line end, if the item fails for good.
        line: Vec<u8>,
    },
    /// The run's stream was cut, and the target may be dead.
    Cut {
        /// The run.
        run: RunId,
        /// Tokens that came before.
        tokens: u32,
    },
    /// The run stopped as ordered.
    Stopped {
        /// The run.
        run: RunId,
        /// Tokens that came before.
        tokens: u32,
    },
    /// The target's process died, with everything that ran there.
    TargetDied,
    /// The target is leaving, or the daemon stops: nothing starts any more.
    Leave,
    /// Time has passed.
    Tick,
}

/// What to do next.
///
/// Actions on the store (`LeaseMore` to `Release`) are carried out one after another and repeated
/// until they are answered.
#[value]
pub enum Action {
    /// Lease more chunks.
    LeaseMore {
        /// The most chunks.
        max: u16,
    },
    /// Mark items of a non-idempotent job as started.
    MarkStarted {
        /// The lease.
        lease: LeaseRef,
        /// The items.
        items: ItemSet,
    },
    /// Report that the target died with these items in flight.
    MarkSuspects {
        /// The lease.
        lease: LeaseRef,
        /// The items.
        items: ItemSet,
        /// Whether no other batch item was in flight.
        alone: bool,
        /// The number of the death at this runner.
        death: u64,
    },
    /// Store results as a blob, then report them.
    Flush {
        /// The lease.
        lease: LeaseRef,
        /// The content of the blob.
        results: Vec<u8>,
        /// Items whose result it holds.
        done: ItemSet,
        /// Items that failed for good.
        failed: Vec<FailedItem>,
    },
    /// Return a lease.
    Release {
        /// The lease.
        lease: LeaseRef,
        /// Items that were marked as started and did not run.
        not_run: ItemSet,
    },
    /// Send an item to the target.
    Start {
        /// The run.
        run: RunId,
        /// The item.
        item: ItemRef,
        /// Tokens that an earlier run received: the answer resumes behind them.
        resume_from: u32,
    },
    /// Close a run's stream.
    Stop(RunId),
    /// A slot was free and no item is at hand: the gate may use it otherwise.
    Unused(RunId),
    /// How many items could start now, for the gate.
    Ready(u32),
}
