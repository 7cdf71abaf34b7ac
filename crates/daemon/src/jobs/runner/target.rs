//! The thread of one owned target.

mod alive;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
        mpsc::{
            self,
            Receiver,
            RecvTimeoutError,
            Sender, //
        },
    },
    thread,
};

use anyhow::Context as _;
use yuccaseam_admit::{
    Event as GateEvent,
    RunId, //
};
use yuccaseam_base::Millis;
use yuccaseam_batch::{
    Action,
    Counts,
    Event,
    ItemRef,
    Runner,
    Settings, //
};
use yuccaseam_state::{
    LeaseRef,
    Work, //
};

use crate::{
    context::Context,
    fleet::Announcement, //
    telemetry,
};

use super::{
    Handle, Held, Input, LeasedChunk,
    item::{
        self,
        End,
        ItemRun,
        Partial, //
    },
    lock,
    payload::Payload,
    slots::Slots,
    storing::Storing,
    validity::Validity,
};

/// The longest time between two looks at the gate and at a target that seems dead.
const TICK: Millis = Millis(200);
/// Items at hand for each slot.
const AT_HAND: u32 = 2;

/// Starts the threads of a target.
///
/// # Errors
///
/// Fails if a thread cannot be started, or if the target serves nothing.
pub(super) fn start(
    cx: &Arc<Context>,
    target: &Announcement,
    validity: &Arc<Validity>,
    seed: u64,
) -> anyhow::Result<Handle> {
    let work = work_of(target).context("it serves neither a model nor a service")?;
    let (tx, rx) = mpsc::channel();
    let (storing_tx, storing_rx) = mpsc::channel();
    let storing = Storing {
        cx: Arc::clone(cx),
        work: work.clone(),
        validity: Arc::clone(validity),
        tx: tx.clone(),
    };
    let configuration = cx.store.configuration();
    let defaults = &configuration.defaults;
    let cfg = Settings {
        at_hand: target.slots * AT_HAND,
        marked_ahead: target.slots.div_ceil(2),
        attempts: defaults.max_retries as u32 + 1,
        ..Settings::default()
    };
    let held = Arc::<Mutex<Held>>::default();
    let target_thread = TargetThread {
        cx: Arc::clone(cx),
        target: target.clone(),
        work,
        runner: Runner::new(cfg, seed),
        slots: Slots::new(cx, target, tx.clone()),
        payloads: BTreeMap::new(),
        partials: BTreeMap::new(),
        runs: BTreeMap::new(),
        suspect: false,
        counted: Counts::default(),
        held: Arc::clone(&held),
        validity: Arc::clone(validity),
        storing: storing_tx,
        tx: tx.clone(),
        leaving: None,
    };
    thread::Builder::new()
        .name("batch-store".to_owned())
        .spawn(move || storing.run(&storing_rx))?;
    let thread = thread::Builder::new()
        .name("batch-target".to_owned())
        .spawn(move || target_thread.run(&rx))?;
    Ok(Handle {
        announcement: target.clone(),
        tx,
        thread,
        held,
    })
}

fn work_of(target: &Announcement) -> Option<Work> {
    let model = target.model.clone().map(Work::Model);
    model.or_else(|| target.service.clone().map(Work::Service))
}

/// A run in flight.
struct Flight {
    item: ItemRef,
    stop: Arc<AtomicBool>,
    /// Whether the gate took the slot back.
    paused: bool,
}

struct TargetThread {
    cx: Arc<Context>,
    target: Announcement,
    work: Work,
    runner: Runner,
    slots: Slots,
    payloads: BTreeMap<LeaseRef, LeasedPayload>,
    partials: BTreeMap<ItemRef, Partial>,
    runs: BTreeMap<RunId, Flight>,
    /// Whether a call failed since the target was last seen well.
    suspect: bool,
    counted: Counts,
    held: Arc<Mutex<Held>>,
    validity: Arc<Validity>,
    storing: Sender<Action>,
    tx: Sender<Input>,
    /// While set, a planned stop waits for this thread.
    leaving: Option<telemetry::RunningRequest>,
}

struct LeasedPayload {
    payload: Arc<Payload>,
    idempotent: bool,
}

impl TargetThread {
    fn run(mut self, rx: &Receiver<Input>) {
        self.handle(Event::Tick);
        loop {
            let now = self.cx.clock.now();
            let deadline = self.runner.next_deadline().unwrap_or(Millis::MAX);
            let wait = TICK.min(deadline - now);
            let received = rx.recv_timeout(wait.duration());
            self.check_leases();
            match received {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => self.tick(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.note_held();
            if self.leaving.is_some() && self.runner.is_idle() {
                return;
            }
        }
    }

    /// Ends what runs under leases that have ended by this daemon's clock.
    fn check_leases(&mut self) {
        let lease = Millis(self.cx.store.configuration().defaults.lease_ms);
        if !self.validity.is_over(lease, self.cx.clock.now()) {
            return;
        }
        let leases = lock(&self.held).leases.clone();
        if !leases.is_empty() {
            let name = &self.target.name;
            log::warn!("the chunk leases at {name} have ended: what runs is stopped");
        }
        for lease in leases {
            self.handle(Event::LeaseLost(lease));
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Runner(event) => self.handle(event),
            Input::Leased(chunks) => self.leased(chunks),
            Input::Gate(yuccaseam_admit::Action::StartBatch(run)) => self.handle(Event::Slot(run)),
            Input::Gate(yuccaseam_admit::Action::PauseBatch(run)) => self.pause(run),
            Input::Gate(_) => (),
            Input::FirstToken(run) => self.tell(GateEvent::BatchFirstToken(run)),
            Input::Paced(step_micros) => self.tell(GateEvent::StepMeasured { step_micros }),
            Input::Ended(run, end) => self.ended(run, end),
            Input::Announced(target) => self.announced(target),
            Input::Leave => self.leave(),
        }
    }

    fn tick(&mut self) {
        if self.suspect {
            self.probe();
        }
        self.handle(Event::Tick);
    }

    fn handle(&mut self, event: Event) {
        let now = self.cx.clock.now();
        for action in self.runner.handle(event, now) {
            self.act(action);
        }
        self.count();
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start {
                run,
                item,
                resume_from,
            } => self.start(run, item, resume_from),
            Action::Stop(run) => self.stop(run),
            Action::Unused(run) => self.tell(GateEvent::BatchFinished(run)),
            Action::Ready(items) => self.tell(GateEvent::BatchReady(items)),
            Action::LeaseMore { .. } => {
                lock(&self.held).asking = true;
                self.store(action);
            }
            Action::MarkStarted { .. }
            | Action::MarkSuspects { .. }
            | Action::Flush { .. }
            | Action::Release { .. } => self.store(action),
        }
    }

    fn store(&self, action: Action) {
        // The store's thread lives as long as this one.
        let _ = self.storing.send(action);
    }

    fn tell(&self, event: GateEvent) {
        self.slots.tell(event);
    }

    fn leased(&mut self, chunks: Vec<LeasedChunk>) {
        let mut leases = Vec::new();
        for LeasedChunk { lease, payload } in chunks {
            let at = LeaseRef {
                job: lease.job,
                chunk: lease.chunk,
                epoch: lease.epoch,
            };
            let idempotent = lease.idempotent;
            self.payloads.insert(
                at,
                LeasedPayload {
                    payload,
                    idempotent,
                },
            );
            leases.push(lease);
        }
        self.handle(Event::Leased(leases));
        lock(&self.held).asking = false;
    }

    fn start(&mut self, run: RunId, item: ItemRef, resume_from: u32) {
        let Some(chunk) = self.payloads.get(&item.lease) else {
            return;
        };
        // Text that does not reach to the token where the run resumes would leave a gap.
        let partial = self.partials.remove(&item);
        let partial = partial.filter(|partial| partial.tokens == resume_from);
        let partial = partial.unwrap_or_default();
        let stop = Arc::<AtomicBool>::default();
        let flight = Flight {
            item,
            stop: Arc::clone(&stop),
            paused: false,
        };
        self.runs.insert(run, flight);
        let item_run = ItemRun {
            cx: Arc::clone(&self.cx),
            run,
            item,
            target: self.target.clone(),
            work: self.work.clone(),
            idempotent: chunk.idempotent,
            request: chunk.payload.item(item.item),
            partial,
            last_token: None,
            stop,
            tx: self.tx.clone(),
        };
        item_run.start();
    }

    fn pause(&mut self, run: RunId) {
        if let Some(flight) = self.runs.get_mut(&run) {
            flight.paused = true;
        }
        self.handle(Event::Pause(run));
    }

    fn stop(&self, run: RunId) {
        let Some(flight) = self.runs.get(&run) else {
            return;
        };
        flight.stop.store(true, Ordering::SeqCst);
        let id = item::call_id(&self.cx, &flight.item, run);
        item::cancel(&self.cx, &self.target, id);
    }

    fn ended(&mut self, run: RunId, end: End) {
        let Some(Flight { item, paused, .. }) = self.runs.remove(&run) else {
            return;
        };
        self.tell(match paused {
            true => GateEvent::BatchPaused(run),
            false => GateEvent::BatchFinished(run),
        });
        let event = match end {
            End::Finished(line) => Event::Finished { run, line },
            End::Failed(failure, line) => {
                self.suspect |= failure.transient;
                Event::Failed { run, failure, line }
            }
            End::Cut(partial) => {
                self.suspect = true;
                let tokens = self.keep(item, partial);
                Event::Cut { run, tokens }
            }
            End::Stopped(partial) => {
                let tokens = self.keep(item, partial);
                Event::Stopped { run, tokens }
            }
        };
        self.handle(event);
        if self.suspect {
            self.probe();
        }
    }

    fn keep(&mut self, item: ItemRef, partial: Partial) -> u32 {
        let tokens = partial.tokens;
        if tokens > 0 {
            self.partials.insert(item, partial);
        }
        tokens
    }

    fn leave(&mut self) {
        if self.leaving.is_none() {
            self.leaving = Some(telemetry::RunningRequest::start());
            self.tell(GateEvent::BatchClosing);
            self.handle(Event::Leave);
        }
    }

    /// Shows the keeper what is held, and drops the items of leases that are not.
    fn note_held(&mut self) {
        let leases = self.runner.leases().map(|lease| LeaseRef {
            job: lease.job,
            chunk: lease.chunk,
            epoch: lease.epoch,
        });
        let leases = leases.collect();
        let mut held = lock(&self.held);
        if held.leases != leases {
            self.payloads.retain(|at, _| leases.contains(at));
            self.partials.retain(|item, _| leases.contains(&item.lease));
            held.leases = leases;
        }
    }

    fn count(&mut self) {
        let counts = self.runner.counts();
        if counts != self.counted {
            telemetry::count_batch(&self.counted, &counts);
            self.counted = counts;
        }
    }
}
