//! The thread that runs batch items at one owned target.

mod liveness;

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
    Handle, HeldLeases, Input, LeasedChunk,
    item::{
        self,
        ItemRun,
        Partial,
        RunEnd, //
    },
    lock,
    payload::Payload,
    slots::Slots,
    store_worker::StoreWorker,
    validity::LeaseValidity,
};

/// Maximum interval between two ticks of the runner, each of which probes a suspect target.
const TICK_INTERVAL: Millis = Millis(200);
/// Leased items per slot of the target.
const ITEMS_PER_SLOT: u32 = 2;

/// Starts the threads of a target.
///
/// # Errors
///
/// Fails if a thread cannot be started, or if the target serves neither a model nor a service.
pub(super) fn start(
    cx: &Arc<Context>,
    target: &Announcement,
    validity: &Arc<LeaseValidity>,
    seed: u64,
) -> anyhow::Result<Handle> {
    let work = served_work(target).context("the target serves neither a model nor a service")?;
    let (tx, rx) = mpsc::channel();
    let (store_tx, store_rx) = mpsc::channel();
    let store_worker = StoreWorker {
        cx: Arc::clone(cx),
        work: work.clone(),
        validity: Arc::clone(validity),
        tx: tx.clone(),
    };
    let configuration = cx.store.configuration();
    let defaults = &configuration.defaults;
    let cfg = Settings {
        min_available_items: target.slots * ITEMS_PER_SLOT,
        max_marked_ahead: target.slots.div_ceil(2),
        max_attempts: defaults.max_retries as u32 + 1,
        ..Settings::default()
    };
    let held = Arc::<Mutex<HeldLeases>>::default();
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
        recorded_counts: Counts::default(),
        held: Arc::clone(&held),
        validity: Arc::clone(validity),
        store_worker: store_tx,
        tx: tx.clone(),
        draining: None,
    };
    thread::Builder::new()
        .name("batch-store".to_owned())
        .spawn(move || store_worker.run(&store_rx))?;
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

fn served_work(target: &Announcement) -> Option<Work> {
    let model = target.model.clone().map(Work::Model);
    model.or_else(|| target.service.clone().map(Work::Service))
}

/// A run in progress.
struct ActiveRun {
    item: ItemRef,
    stop: Arc<AtomicBool>,
    /// Whether the gate has paused the run to reclaim its slot.
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
    runs: BTreeMap<RunId, ActiveRun>,
    /// Whether a call has failed since the target last passed a probe.
    suspect: bool,
    recorded_counts: Counts,
    held: Arc<Mutex<HeldLeases>>,
    validity: Arc<LeaseValidity>,
    store_worker: Sender<Action>,
    tx: Sender<Input>,
    /// Set while this thread drains. Makes a planned stop wait for the thread.
    draining: Option<telemetry::RunningRequest>,
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
            let wait = TICK_INTERVAL.min(deadline - now);
            let received = rx.recv_timeout(wait.duration());
            self.check_leases();
            match received {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => self.tick(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.publish_held();
            if self.draining.is_some() && self.runner.is_idle() {
                return;
            }
        }
    }

    /// Stops the runs under leases that have expired by this daemon's clock.
    fn check_leases(&mut self) {
        let lease = Millis(self.cx.store.configuration().defaults.lease_ms);
        if !self.validity.is_expired(lease, self.cx.clock.now()) {
            return;
        }
        let leases = lock(&self.held).leases.clone();
        if !leases.is_empty() {
            let name = &self.target.name;
            log::warn!("chunk leases at target {name} expired; stopping their runs");
        }
        for lease in leases {
            self.handle(Event::LeaseLost(lease));
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Runner(event) => self.handle(event),
            Input::Leased(chunks) => self.add_leases(chunks),
            Input::Gate(yuccaseam_admit::Action::StartBatch(run)) => {
                self.handle(Event::SlotGranted(run))
            }
            Input::Gate(yuccaseam_admit::Action::PauseBatch(run)) => self.pause(run),
            Input::Gate(_) => (),
            Input::FirstToken(run) => self.notify_gate(GateEvent::BatchFirstToken(run)),
            Input::TokenInterval(step_micros) => {
                self.notify_gate(GateEvent::StepMeasured { step_micros })
            }
            Input::Ended(run, end) => self.handle_end(run, end),
            Input::Announced(target) => self.apply_announcement(target),
            Input::Drain => self.drain(),
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
            self.execute(action);
        }
        self.record_counts();
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start {
                run,
                item,
                resume_from,
            } => self.start(run, item, resume_from),
            Action::Stop(run) => self.stop(run),
            Action::SlotUnused(run) => self.notify_gate(GateEvent::BatchFinished(run)),
            Action::Ready(items) => self.notify_gate(GateEvent::BatchReady(items)),
            Action::LeaseMore { .. } => {
                lock(&self.held).is_requesting = true;
                self.send_to_store(action);
            }
            Action::MarkStarted { .. }
            | Action::MarkSuspects { .. }
            | Action::Flush { .. }
            | Action::Release { .. } => self.send_to_store(action),
        }
    }

    fn send_to_store(&self, action: Action) {
        // Cannot fail: the store worker lives as long as this thread.
        let _ = self.store_worker.send(action);
    }

    fn notify_gate(&self, event: GateEvent) {
        self.slots.handle(event);
    }

    fn add_leases(&mut self, chunks: Vec<LeasedChunk>) {
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
        lock(&self.held).is_requesting = false;
    }

    fn start(&mut self, run: RunId, item: ItemRef, resume_from: u32) {
        let Some(chunk) = self.payloads.get(&item.lease) else {
            return;
        };
        // A partial answer that ends before the token where the run resumes would leave a gap.
        let partial = self.partials.remove(&item);
        let partial = partial.filter(|partial| partial.tokens == resume_from);
        let partial = partial.unwrap_or_default();
        let stop = Arc::<AtomicBool>::default();
        let active = ActiveRun {
            item,
            stop: Arc::clone(&stop),
            paused: false,
        };
        self.runs.insert(run, active);
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
        if let Some(active) = self.runs.get_mut(&run) {
            active.paused = true;
        }
        self.handle(Event::Pause(run));
    }

    fn stop(&self, run: RunId) {
        let Some(active) = self.runs.get(&run) else {
            return;
        };
        active.stop.store(true, Ordering::SeqCst);
        let id = item::call_id(&self.cx, &active.item, run);
        item::cancel(&self.cx, &self.target, id);
    }

    fn handle_end(&mut self, run: RunId, end: RunEnd) {
        let Some(ActiveRun { item, paused, .. }) = self.runs.remove(&run) else {
            return;
        };
        self.notify_gate(match paused {
            true => GateEvent::BatchPaused(run),
            false => GateEvent::BatchFinished(run),
        });
        let event = match end {
            RunEnd::Finished(line) => Event::Finished { run, line },
            RunEnd::Failed(failure, line) => {
                self.suspect |= failure.transient;
                Event::Failed { run, failure, line }
            }
            RunEnd::Cut(partial) => {
                self.suspect = true;
                let tokens = self.store_partial(item, partial);
                Event::Cut { run, tokens }
            }
            RunEnd::Stopped(partial) => {
                let tokens = self.store_partial(item, partial);
                Event::Stopped { run, tokens }
            }
        };
        self.handle(event);
        if self.suspect {
            self.probe();
        }
    }

    fn store_partial(&mut self, item: ItemRef, partial: Partial) -> u32 {
        let tokens = partial.tokens;
        if tokens > 0 {
            self.partials.insert(item, partial);
        }
        tokens
    }

    fn drain(&mut self) {
        if self.draining.is_none() {
            self.draining = Some(telemetry::RunningRequest::start());
            self.notify_gate(GateEvent::BatchClosing);
            self.handle(Event::Shutdown);
        }
    }

    /// Publishes the held leases to the lease maintainer, and drops the items of all others.
    fn publish_held(&mut self) {
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

    fn record_counts(&mut self) {
        let counts = self.runner.counts();
        if counts != self.recorded_counts {
            telemetry::count_batch(&self.recorded_counts, &counts);
            self.recorded_counts = counts;
        }
    }
}
