//! The gate of one target.

use yuccaseam_base::{
    Millis,
    Reason,
    value, //
};

use crate::{
    arrivals::Arrivals,
    backlog::{
        Backlog,
        Entered,
        Turned, //
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
    pace::Pace,
    permits::Permits,
    settings::Settings,
};

/// The share of KV cache memory above which no batch run starts, from 0 to 1,000.
const KV_HIGH_PERMILLE: u32 = 850;

/// The share of KV cache memory above which a batch run is paused, from 0 to 1,000.
const KV_FULL_PERMILLE: u32 = 950;

/// How long batch stays paused before more of it starts, at a balance of 0.
const SETTLE: Millis = Millis(250);

/// How far below the pace's cap batch stops to start, so that an online request that comes soon
/// after another one has ended pauses nothing.
const SLACK: u32 = 2;

/// Batch runs that may wait for their first token together, at a balance of 0 and of 100.
const PREFILLS: [f64; 2] = [1.0, 4.0];

/// The retry hint for a target that takes no requests any more: another one may serve at once.
const ELSEWHERE: Millis = Millis(100);

/// How long requests wait at a target that is not heard of. A target whose daemon failed announces
/// itself to the next one within this time.
const SUSPECT_PATIENCE: Millis = Millis(1_500);

/// Limits on the batch runs at the target.
#[derive(Clone, Copy, Debug)]
struct BatchLimits {
    /// Above this, runs are paused.
    pause: u32,
    /// Below this, runs start.
    start: u32,
}

/// Decides what starts, waits, pauses or is refused at one target.
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
    pace: Pace,
    kv_permille: u32,
    actions: Vec<Action>,
}

/// How full a gate is.
#[value]
#[derive(Copy)]
pub struct Snapshot {
    /// Online requests that hold a permit.
    pub online: u32,
    /// Requests in slots that no permit stands for.
    pub foreign: u32,
    /// Batch runs that hold a slot.
    pub batch: u32,
    /// Online requests that wait.
    pub waiting: usize,
    /// Teams, by class, that the queue remembers.
    pub flows: usize,
}

impl Gate {
    /// A gate of a live target of which nothing is known to run.
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
            pace: Pace::new(cfg.slots),
            kv_permille: 0,
            actions: Vec::new(),
        }
    }

    /// Takes one event and returns what to do about it, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        self.apply(event, now);
        self.expire(now);
        self.grant(now);
        self.pause(now);
        self.start(now);
        self.observe(now);
        std::mem::take(&mut self.actions)
    }

    /// Changes the settings; the next event acts on them.
    pub fn configure(&mut self, cfg: Settings) {
        if cfg.slots != self.cfg.slots {
            self.pace.resize(cfg.slots);
        }
        self.cfg = cfg;
    }

    /// When to send the next [`Event::Tick`] at the latest, if a request waits.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.permits.next_deadline()
    }

    /// How full the gate is.
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
            Event::Arrived(request) => self.arrived(request, now),
            Event::Withdrawn(permit) => self.withdrawn(permit, now),
            Event::Finished(permit) => self.finished(permit, now),
            Event::Renewed { entry, in_use } => self.renewed(entry, &in_use, now),
            Event::EntryLost(entry) => self.entry_lost(entry),
            Event::Load(report) => self.load(report, now),
            Event::Paced { step_micros } => self.paced(step_micros),
            Event::BatchOpened => self.batch.open(),
            Event::BatchClosing => self.batch.close(),
            Event::BatchReady(items) => self.batch.set_ready(items),
            Event::BatchFirstToken(run) => self.batch.first_token(run),
            Event::BatchPaused(run) | Event::BatchFinished(run) => self.batch_ended(run),
            Event::Target(state) => self.target(state, now),
            Event::Tick => {}
        }
    }

    fn target(&mut self, state: TargetState, now: Millis) {
        if state != TargetState::Suspect {
            self.suspect_since = None;
        } else if self.suspect_since.is_none() {
            self.suspect_since = Some(now);
        }
        self.state = state;
    }

    /// Whether requests had better go elsewhere: the target leaves, or was not heard of for longer
    /// than the moment that a change of its daemon takes.
    fn turns_away(&self, now: Millis) -> bool {
        let is_lost = |since| now - since >= SUSPECT_PATIENCE;
        self.state == TargetState::Leaving || self.suspect_since.is_some_and(is_lost)
    }

    fn arrived(&mut self, request: Request, now: Millis) {
        if self.permits.knows(request.permit) {
            return;
        }
        self.arrivals.observe(now);
        if self.turns_away(now) {
            let turned = Turned {
                reason: Reason::NoTarget,
                retry_after: ELSEWHERE,
            };
            return self.refuse(request.entry, request.permit, turned);
        }
        if self.can_grant() && self.backlog.len() == 0 {
            self.backlog.push(&request, &self.cfg);
            return self.permits.wait(request, now);
        }
        match self.backlog.enter(&request, &self.cfg, now) {
            Entered::Queued => self.permits.wait(request, now),
            Entered::Displaced(other, turned) => {
                self.permits.wait(request, now);
                if let Some(other) = self.permits.take_waiting(other) {
                    self.refuse(other.entry, other.permit, turned);
                }
            }
            Entered::Turned(turned) => self.refuse(request.entry, request.permit, turned),
        }
    }

    fn withdrawn(&mut self, permit: PermitId, now: Millis) {
        if let Some(request) = self.permits.take_waiting(permit) {
            return self.backlog.remove(&request);
        }
        self.permits.finish(permit, now);
    }

    fn finished(&mut self, permit: PermitId, now: Millis) {
        if let Some(duration) = self.permits.finish(permit, now) {
            self.backlog.observe_service(duration);
        }
    }

    fn renewed(&mut self, entry: Entry, in_use: &[PermitId], now: Millis) {
        let adopted = self.permits.renew(entry, in_use, now);
        for _ in 0..adopted {
            self.occupancy.adopt();
        }
    }

    fn entry_lost(&mut self, entry: Entry) {
        for request in self.permits.lose(entry) {
            self.backlog.remove(&request);
            let turned = Turned {
                reason: Reason::CallerGone,
                retry_after: Millis::ZERO,
            };
            self.refuse(entry, request.permit, turned);
        }
    }

    fn load(&mut self, report: LoadReport, now: Millis) {
        self.kv_permille = report.kv_permille;
        self.occupancy.report(report, now);
    }

    fn paced(&mut self, step_micros: u32) {
        let running = self.online() + self.batch.holding();
        self.pace.observe_step(running, step_micros);
    }

    fn batch_ended(&mut self, run: RunId) {
        self.batch.end(run);
    }

    /// Online requests in slots, known or foreign.
    fn online(&self) -> u32 {
        self.permits.running() + self.occupancy.foreign()
    }

    /// Slots that online requests leave free. Batch does not count: it gives way.
    fn free(&self) -> u32 {
        self.cfg.slots.saturating_sub(self.online())
    }

    fn can_grant(&self) -> bool {
        self.state == TargetState::Live && self.free() > 0
    }

    fn expire(&mut self, now: Millis) {
        for entry in self.permits.silent(self.cfg.permit_ttl, now) {
            self.entry_lost(entry);
        }
        while let Some(permit) = self.permits.expired(now) {
            let turned = self.backlog.turned_late(&self.cfg);
            self.turn_away(permit, turned);
        }
        if self.turns_away(now) {
            for permit in self.permits.all_waiting() {
                let turned = Turned {
                    reason: Reason::NoTarget,
                    retry_after: ELSEWHERE,
                };
                self.turn_away(permit, turned);
            }
        }
    }

    fn turn_away(&mut self, permit: PermitId, turned: Turned) {
        if let Some(request) = self.permits.take_waiting(permit) {
            self.backlog.remove(&request);
            self.refuse(request.entry, permit, turned);
        }
    }

    fn refuse(&mut self, entry: Entry, permit: PermitId, turned: Turned) {
        self.actions.push(Action::Refuse {
            entry,
            permit,
            reason: turned.reason,
            retry_after: turned.retry_after,
        });
    }

    /// Starts what waits. A slot that batch holds counts as free, because the pause is ordered in
    /// the same step and reaches the target before the call does.
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

    /// How many batch runs may go on, and up to how many may start.
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
        let paced = cap.saturating_sub(online);
        let slack = if online > 0 { SLACK } else { 0 };
        BatchLimits {
            pause: paced.min(self.free()),
            start: paced
                .saturating_sub(slack)
                .min(self.free().saturating_sub(headroom)),
        }
    }

    fn pause(&mut self, now: Millis) {
        let limits = self.batch_limits(now);
        while self.batch.active() > limits.pause {
            self.pause_one(now);
        }
        if self.kv_permille >= KV_FULL_PERMILLE {
            self.pause_one(now);
            // One pause for each report: the next report shows what it gave back.
            self.kv_permille = KV_HIGH_PERMILLE;
        }
    }

    fn pause_one(&mut self, now: Millis) {
        if let Some(run) = self.batch.pause_youngest(now) {
            self.actions.push(Action::PauseBatch(run));
        }
    }

    fn start(&mut self, now: Millis) {
        let settle = self.cfg.balance.between(SETTLE.0 as f64, 0.0) as u64;
        let settled = |paused: Millis| paused + Millis(settle) <= now;
        if self.state != TargetState::Live
            || self.kv_permille >= KV_HIGH_PERMILLE
            || !self.batch.paused_at().is_none_or(settled)
        {
            return;
        }
        let limits = self.batch_limits(now);
        let prefills = self.cfg.balance.between(PREFILLS[0], PREFILLS[1]) as u32;
        while self.batch.holding() < limits.start
            && self.batch.prefilling() < prefills
            && self.batch.ready() > 0
        {
            let run = self.batch.start();
            self.actions.push(Action::StartBatch(run));
        }
    }

    fn observe(&mut self, now: Millis) {
        let known = self.permits.running() + self.batch.holding();
        self.occupancy.record(known, now);
        self.pace.observe_online(self.online(), now);
    }
}
