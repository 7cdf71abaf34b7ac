//! Admission gate of one target.

use yuccaseam_base::{
    Millis,
    Reason,
    value, //
};

use crate::{
    arrivals::Arrivals,
    backlog::{
        Backlog,
        EnqueueOutcome,
        RefusalTerms, //
    },
    batch::BatchRuns,
    event::{
        Action,
        Entry,
        Event,
        LoadReport,
        PermitId,
        Request,
        RunId,
        TargetState, //
    },
    occupancy::Occupancy,
    pace::PaceModel,
    permits::Permits,
    settings::Settings,
};

/// KV cache use from which no batch run starts, in thousandths.
const KV_START_LIMIT_PERMILLE: u32 = 850;

/// KV cache use from which a batch run is paused, in thousandths.
const KV_PAUSE_LIMIT_PERMILLE: u32 = 950;

/// Delay after a pause before batch runs start again, at a balance of 0.
const BATCH_RESUME_DELAY: Millis = Millis(250);

/// Slots that starting batch runs leave below the limit of the step-time model, so that an online
/// request that follows shortly after another one has ended causes no pause.
const BATCH_START_MARGIN_SLOTS: u32 = 2;

/// Maximum number of batch runs that wait for their first token, at a balance of 0 and of 100.
const MAX_PREFILLING_RUNS: [f64; 2] = [1.0, 4.0];

/// `retry_after` of refusals while the target accepts no requests. It is short because another
/// target may be available immediately.
const NO_TARGET_RETRY_AFTER: Millis = Millis(100);

/// Time for which requests wait at a suspect target. A target whose daemon failed announces itself
/// to another daemon within this time.
const SUSPECT_TIMEOUT: Millis = Millis(1_500);

/// Limits on the number of batch runs at the target.
#[derive(Clone, Copy, Debug)]
struct BatchLimits {
    /// Number of runs above which runs are paused.
    pause: u32,
    /// Number of runs below which runs start.
    start: u32,
}

/// Admission control for one target.
#[derive(Debug)]
pub struct Gate {
    cfg: Settings,
    state: TargetState,
    suspect_since: Option<Millis>,
    permits: Permits,
    backlog: Backlog,
    batch: BatchRuns,
    occupancy: Occupancy,
    arrivals: Arrivals,
    pace: PaceModel,
    kv_permille: u32,
    actions: Vec<Action>,
}

/// Occupancy of a gate.
#[value]
#[derive(Copy)]
pub struct Snapshot {
    /// Online requests that hold a permit.
    pub online: u32,
    /// Requests in slots without a permit of this gate.
    pub foreign: u32,
    /// Batch runs that hold a slot.
    pub batch: u32,
    /// Waiting online requests.
    pub waiting: usize,
    /// Flows (team and class) tracked by the queue.
    pub flows: usize,
}

impl Gate {
    /// Creates a gate for a live target without known running requests.
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            state: TargetState::Live,
            suspect_since: None,
            permits: Permits::default(),
            backlog: Backlog::default(),
            batch: BatchRuns::default(),
            occupancy: Occupancy::default(),
            arrivals: Arrivals::default(),
            pace: PaceModel::new(cfg.slots),
            kv_permille: 0,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        self.apply(event, now);
        self.expire(now);
        self.grant(now);
        self.pause_batch(now);
        self.start_batch(now);
        self.record_occupancy(now);
        std::mem::take(&mut self.actions)
    }

    /// Replaces the settings; they take effect with the next event.
    pub fn configure(&mut self, cfg: Settings) {
        if cfg.slots != self.cfg.slots {
            self.pace.resize(cfg.slots);
        }
        self.cfg = cfg;
    }

    /// Earliest deadline of a waiting request, by which the next [`Event::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.permits.next_deadline()
    }

    /// Returns the current occupancy.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            online: self.permits.running(),
            foreign: self.occupancy.foreign(),
            batch: self.batch.holding(),
            waiting: self.backlog.len(),
            flows: self.backlog.flows(),
        }
    }

    fn apply(&mut self, event: Event, now: Millis) {
        match event {
            Event::Arrived(request) => self.handle_arrival(request, now),
            Event::Withdrawn(permit) => self.handle_withdrawal(permit, now),
            Event::Finished(permit) => self.handle_finish(permit, now),
            Event::Renewed { entry, in_use } => self.handle_renewal(entry, &in_use, now),
            Event::EntryDisconnected(entry) => self.remove_entry(entry),
            Event::Load(report) => self.handle_load(report, now),
            Event::StepMeasured { step_micros } => self.observe_step_time(step_micros),
            Event::BatchOpened => self.batch.open(),
            Event::BatchClosing => self.batch.close(),
            Event::BatchReady(items) => self.batch.set_ready(items),
            Event::BatchFirstToken(run) => self.batch.first_token(run),
            Event::BatchPaused(run) | Event::BatchFinished(run) => self.end_batch_run(run),
            Event::Target(state) => self.set_target_state(state, now),
            Event::Tick => {}
        }
    }

    fn set_target_state(&mut self, state: TargetState, now: Millis) {
        if state != TargetState::Suspect {
            self.suspect_since = None;
        } else if self.suspect_since.is_none() {
            self.suspect_since = Some(now);
        }
        self.state = state;
    }

    /// Whether all requests are refused: the target is leaving, or has been suspect for longer than
    /// the failover to another daemon takes.
    fn refuses_all(&self, now: Millis) -> bool {
        let timed_out = |since| now - since >= SUSPECT_TIMEOUT;
        self.state == TargetState::Leaving || self.suspect_since.is_some_and(timed_out)
    }

    fn handle_arrival(&mut self, request: Request, now: Millis) {
        if self.permits.contains(request.permit) {
            return;
        }
        self.arrivals.observe(now);
        if self.refuses_all(now) {
            let terms = RefusalTerms {
                reason: Reason::NoTarget,
                retry_after: NO_TARGET_RETRY_AFTER,
            };
            return self.refuse(request.entry, request.permit, terms);
        }
        if self.can_grant() && self.backlog.len() == 0 {
            self.backlog.push(&request, &self.cfg);
            return self.permits.insert_waiting(request, now);
        }
        match self.backlog.enqueue(&request, &self.cfg, now) {
            EnqueueOutcome::Queued => self.permits.insert_waiting(request, now),
            EnqueueOutcome::Displaced(other, terms) => {
                self.permits.insert_waiting(request, now);
                if let Some(other) = self.permits.take_waiting(other) {
                    self.refuse(other.entry, other.permit, terms);
                }
            }
            EnqueueOutcome::Refused(terms) => self.refuse(request.entry, request.permit, terms),
        }
    }

    fn handle_withdrawal(&mut self, permit: PermitId, now: Millis) {
        if let Some(request) = self.permits.take_waiting(permit) {
            return self.backlog.remove(&request);
        }
        self.permits.finish(permit, now);
    }

    fn handle_finish(&mut self, permit: PermitId, now: Millis) {
        if let Some(duration) = self.permits.finish(permit, now) {
            self.backlog.observe_service(duration);
        }
    }

    fn handle_renewal(&mut self, entry: Entry, in_use: &[PermitId], now: Millis) {
        let adopted = self.permits.renew(entry, in_use, now);
        for _ in 0..adopted {
            self.occupancy.adopt();
        }
    }

    fn remove_entry(&mut self, entry: Entry) {
        for request in self.permits.remove_entry(entry) {
            self.backlog.remove(&request);
            let terms = RefusalTerms {
                reason: Reason::CallerGone,
                retry_after: Millis::ZERO,
            };
            self.refuse(entry, request.permit, terms);
        }
    }

    fn handle_load(&mut self, report: LoadReport, now: Millis) {
        self.kv_permille = report.kv_permille;
        self.occupancy.report(report, now);
    }

    fn observe_step_time(&mut self, step_micros: u32) {
        let running = self.online() + self.batch.holding();
        self.pace.observe_step(running, step_micros);
    }

    fn end_batch_run(&mut self, run: RunId) {
        self.batch.end(run);
    }

    /// Online requests in slots, including foreign ones.
    fn online(&self) -> u32 {
        self.permits.running() + self.occupancy.foreign()
    }

    /// Slots without an online request. Batch runs do not count because online requests preempt
    /// them.
    fn free_slots(&self) -> u32 {
        self.cfg.slots.saturating_sub(self.online())
    }

    fn can_grant(&self) -> bool {
        self.state == TargetState::Live && self.free_slots() > 0
    }

    fn expire(&mut self, now: Millis) {
        for entry in self.permits.unresponsive(self.cfg.permit_ttl, now) {
            self.remove_entry(entry);
        }
        while let Some(permit) = self.permits.next_expired(now) {
            let terms = self.backlog.late_refusal(&self.cfg);
            self.refuse_waiting(permit, terms);
        }
        if self.refuses_all(now) {
            for permit in self.permits.all_waiting() {
                let terms = RefusalTerms {
                    reason: Reason::NoTarget,
                    retry_after: NO_TARGET_RETRY_AFTER,
                };
                self.refuse_waiting(permit, terms);
            }
        }
    }

    fn refuse_waiting(&mut self, permit: PermitId, terms: RefusalTerms) {
        if let Some(request) = self.permits.take_waiting(permit) {
            self.backlog.remove(&request);
            self.refuse(request.entry, permit, terms);
        }
    }

    fn refuse(&mut self, entry: Entry, permit: PermitId, terms: RefusalTerms) {
        self.actions.push(Action::Refuse {
            entry,
            permit,
            reason: terms.reason,
            retry_after: terms.retry_after,
        });
    }

    /// Grants permits to waiting requests. A slot held by batch counts as free, because the pause
    /// is ordered in the same step and reaches the target before the call does.
    fn grant(&mut self, now: Millis) {
        while self.can_grant() {
            let Some(permit) = self.backlog.pop() else {
                return;
            };
            let Some(request) = self.permits.take_waiting(permit) else {
                continue;
            };
            self.permits.start(request, now);
            let entry = request.entry;
            self.actions.push(Action::Grant { entry, permit });
        }
    }

    /// Computes the limits on batch runs.
    fn batch_limits(&mut self, now: Millis) -> BatchLimits {
        if self.state == TargetState::Leaving || !self.batch.is_open() {
            return BatchLimits { pause: 0, start: 0 };
        }
        let balance = self.cfg.balance;
        let expected = self.arrivals.headroom(balance, now);
        let headroom = expected.max(self.cfg.headroom);
        let online = self.online();
        let bound = self.cfg.step_bound_micros;
        let cap = self.pace.cap(balance, bound, now);
        let within_cap = cap.saturating_sub(online);
        let margin = if online > 0 {
            BATCH_START_MARGIN_SLOTS
        } else {
            0
        };
        BatchLimits {
            pause: within_cap.min(self.free_slots()),
            start: within_cap
                .saturating_sub(margin)
                .min(self.free_slots().saturating_sub(headroom)),
        }
    }

    fn pause_batch(&mut self, now: Millis) {
        let limits = self.batch_limits(now);
        while self.batch.active() > limits.pause {
            self.pause_one(now);
        }
        if self.kv_permille >= KV_PAUSE_LIMIT_PERMILLE {
            self.pause_one(now);
            // Only one run is paused per load report: the next report shows the memory that it
            // released.
            self.kv_permille = KV_START_LIMIT_PERMILLE;
        }
    }

    fn pause_one(&mut self, now: Millis) {
        if let Some(run) = self.batch.pause_youngest(now) {
            self.actions.push(Action::PauseBatch(run));
        }
    }

    fn start_batch(&mut self, now: Millis) {
        let delay = self
            .cfg
            .balance
            .interpolate(BATCH_RESUME_DELAY.0 as f64, 0.0) as u64;
        let delay_passed = |paused: Millis| paused + Millis(delay) <= now;
        if self.state != TargetState::Live
            || self.kv_permille >= KV_START_LIMIT_PERMILLE
            || !self.batch.paused_at().is_none_or(delay_passed)
        {
            return;
        }
        let limits = self.batch_limits(now);
        let max_prefilling =
            self.cfg
                .balance
                .interpolate(MAX_PREFILLING_RUNS[0], MAX_PREFILLING_RUNS[1]) as u32;
        while self.batch.holding() < limits.start
            && self.batch.prefilling() < max_prefilling
            && self.batch.ready() > 0
        {
            let run = self.batch.start();
            self.actions.push(Action::StartBatch(run));
        }
    }

    fn record_occupancy(&mut self, now: Millis) {
        let known = self.permits.running() + self.batch.holding();
        self.occupancy.record(known, now);
        self.pace.observe_online(self.online(), now);
    }
}
