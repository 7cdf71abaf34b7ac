//! Runs the items of jobs at the targets that this daemon owns.
//!
//! Each owned target has a thread with its [`yuccaseam_batch::Runner`], a thread for its calls to
//! the store, and a thread for each running item. One more thread polls which targets are owned,
//! and one maintains the leases: it renews them, polls for cancelled jobs and returns leases whose
//! reply was lost.

mod item;
mod lease_maintainer;
mod owned;
mod payload;
mod slots;
mod store_worker;
mod target;
mod validity;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        mpsc::Sender, //
    },
    thread::{
        self,
        JoinHandle, //
    },
};

use anyhow::Context as _;
use yuccaseam_admit::RunId;
use yuccaseam_base::TargetName;
use yuccaseam_batch::Event;
use yuccaseam_state::{
    JobId,
    Lease,
    LeaseRef, //
};

use crate::{
    context::Context,
    fleet::Announcement, //
};

use item::RunEnd;
use payload::Payload;
use validity::LeaseValidity;

/// Input of a target's thread.
enum Input {
    /// An event that is passed to the runner as it is.
    Runner(Event),
    /// Leased chunks with their items. Empty if no chunk was leased.
    Leased(Vec<LeasedChunk>),
    /// An action of the gate.
    Gate(yuccaseam_admit::Action),
    /// A run received its first token.
    FirstToken(RunId),
    /// Time between two tokens of a run, in microseconds.
    TokenInterval(u32),
    /// A run ended.
    Ended(RunId, RunEnd),
    /// The announcement of the target has changed.
    Announced(Announcement),
    /// The thread drains: it starts no items, and ends when the runner is idle.
    Drain,
}

/// A lease with the items of its chunk.
struct LeasedChunk {
    lease: Lease,
    payload: Arc<Payload>,
}

/// State that the threads of all targets share.
#[derive(Default)]
struct Shared {
    targets: BTreeMap<TargetName, Handle>,
    validity: Arc<LeaseValidity>,
}

/// Handle of the thread of one target.
struct Handle {
    announcement: Announcement,
    tx: Sender<Input>,
    thread: JoinHandle<()>,
    held: Arc<Mutex<HeldLeases>>,
}

/// Leases of a target's thread, as the lease maintainer reads them.
#[derive(Default)]
struct HeldLeases {
    leases: BTreeSet<LeaseRef>,
    /// Whether a request for leases is in progress.
    is_requesting: bool,
}

type Registry = Arc<Mutex<Shared>>;

/// Starts the threads that run items for the life of the process.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub(crate) fn start(cx: &Arc<Context>) -> anyhow::Result<()> {
    let registry = Registry::default();
    spawn(cx, &registry, "batch-owned", owned::run)?;
    spawn(cx, &registry, "batch-leases", lease_maintainer::run)
}

fn spawn(
    cx: &Arc<Context>,
    registry: &Registry,
    name: &str,
    run: fn(&Arc<Context>, &Registry),
) -> anyhow::Result<()> {
    let cx = Arc::clone(cx);
    let registry = Arc::clone(registry);
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run(&cx, &registry))
        .with_context(|| format!("cannot start the thread {name}"))?;
    Ok(())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}

impl Shared {
    /// Leases that the threads of all targets hold.
    fn leases(&self) -> BTreeSet<LeaseRef> {
        let targets = self.targets.values();
        targets
            .flat_map(|handle| lock(&handle.held).leases.clone())
            .collect()
    }

    /// Whether any target's thread has a request for leases in progress.
    fn is_requesting_leases(&self) -> bool {
        self.targets
            .values()
            .any(|handle| lock(&handle.held).is_requesting)
    }

    /// Notifies every target's thread of a cancelled job.
    fn notify_cancelled(&self, job: JobId) {
        for handle in self.targets.values() {
            // A thread that has ended holds no leases.
            let _ = handle.tx.send(Input::Runner(Event::JobCancelled(job)));
        }
    }
}
