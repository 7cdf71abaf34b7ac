//! Running the items of jobs at the targets that this daemon owns.
//!
//! Each owned target has a thread with its [`yuccaseam_batch::Runner`], a thread that talks to the
//! store on its behalf, and a thread for each item in flight. One more thread finds out which
//! targets are owned, and one keeps the leases: it renews them, learns of cancelled jobs and
//! returns leases whose answer was lost.

mod item;
mod keeper;
mod owned;
mod payload;
mod slots;
mod storing;
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

use item::End;
use payload::Payload;
use validity::Validity;

/// What reaches the thread of a target.
enum Input {
    /// An event that needs nothing more than the runner.
    Runner(Event),
    /// Chunks with their items.
    Leased(Vec<LeasedChunk>),
    /// What the gate orders.
    Gate(yuccaseam_admit::Action),
    /// A run received its first token.
    FirstToken(RunId),
    /// A run had this time between two tokens, in microseconds.
    Paced(u32),
    /// A run ended.
    Ended(RunId, End),
    /// The target announced itself otherwise than before.
    Announced(Announcement),
    /// Nothing starts any more.
    Leave,
}

/// A lease with the items of its chunk.
struct LeasedChunk {
    lease: Lease,
    payload: Arc<Payload>,
}

/// What the threads of all targets share.
#[derive(Default)]
struct Shared {
    targets: BTreeMap<TargetName, Handle>,
    validity: Arc<Validity>,
}

/// The thread of one target, as others see it.
struct Handle {
    announcement: Announcement,
    tx: Sender<Input>,
    thread: JoinHandle<()>,
    held: Arc<Mutex<Held>>,
}

/// What a target's thread holds, for the keeper.
#[derive(Default)]
struct Held {
    leases: BTreeSet<LeaseRef>,
    /// Whether a request for leases is under way.
    asking: bool,
}

type Registry = Arc<Mutex<Shared>>;

/// Starts the threads that run items for the life of the process.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub(crate) fn start(cx: &Arc<Context>) -> anyhow::Result<()> {
    let registry = Registry::default();
    spawn(cx, &registry, "batch-owned", owned::watch)?;
    spawn(cx, &registry, "batch-leases", keeper::keep)
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
    /// Every lease that a target's thread holds.
    fn leases(&self) -> BTreeSet<LeaseRef> {
        let targets = self.targets.values();
        targets
            .flat_map(|handle| lock(&handle.held).leases.clone())
            .collect()
    }

    /// Whether a target's thread waits for the answer to a request for leases.
    fn is_asking(&self) -> bool {
        self.targets
            .values()
            .any(|handle| lock(&handle.held).asking)
    }

    /// Tells every target's thread of a cancelled job.
    fn cancel(&self, job: JobId) {
        for handle in self.targets.values() {
            // A thread that has ended holds nothing.
            let _ = handle.tx.send(Input::Runner(Event::JobCancelled(job)));
        }
    }
}
