//! Simulation of entries, owners and engines on one clock.

mod items;

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap, //
    },
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_admit::{
    Action,
    Balance,
    Class,
    Entry,
    Event,
    Gate,
    LoadReport,
    PermitId,
    Request,
    RunId,
    Settings,
    Team, //
};
use yuccaseam_base::{
    EntityKey,
    Millis, //
};

use crate::{
    engine::{
        Cost,
        Engine,
        Micros,
        Output,
        SLOTS,
        Stream, //
    },
    load::{
        Arrival,
        TARGETS, //
    },
    report::Figures,
};

/// One-way latency between two machines of a region.
const HOP_LATENCY: Micros = 500;
const REPORT_INTERVAL: Micros = 500_000;
const REPORT_LAG: Micros = 250_000;
const TICK_INTERVAL: Micros = 10_000;
const START_TIMEOUT: Millis = Millis(1_900);
const BATCH_PROMPT: u32 = 400;
const BATCH_ANSWER: u32 = 200;
const BATCH_READY: u32 = 1_000;
/// Batch streams that the round-robin baseline keeps at each engine.
const STATIC_BATCH: usize = SLOTS as usize / 2;
/// Set in the ids of batch streams, clear in those of online streams.
const BATCH_BIT: u64 = 1;

/// Admission mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Entries select targets round robin; batch keeps a fixed number of streams.
    RoundRobin,
    /// Each entry selects the target with the least load in the latest reports.
    Alone,
    /// All calls pass through the owner.
    OwnerPath,
    /// The owner grants permits, and entries stream directly.
    Permits,
}

impl Mode {
    fn owned(self) -> bool {
        matches!(self, Self::OwnerPath | Self::Permits)
    }

    /// Hops from the grant to the engine, and from the engine to the entry.
    fn data_hops(self) -> [Micros; 2] {
        match self {
            Self::RoundRobin | Self::Alone => [1, 1],
            Self::OwnerPath => [1, 2],
            Self::Permits => [2, 1],
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival(usize),
    AtOwner(usize, u64),
    Submit(usize, u64),
    Cancel(usize, u64),
    PermitReleased(usize, u64),
    StepEnd(usize, Micros),
    Sample,
    Reported(usize, u32, u32),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Online {
    arrival: Arrival,
    target: usize,
    attempts: u32,
    last_token: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct Item {
    prompt: u32,
    done: u32,
    first_token: bool,
    run: RunId,
}

struct TargetSim {
    engine: Engine,
    gate: Gate,
    /// Batch items by stream id.
    items: HashMap<u64, Item>,
    paused: Vec<Item>,
    /// Load estimate of the entries: the last report plus the requests sent since.
    view: u32,
    online: u32,
    changed_at: Micros,
}

pub(crate) struct Simulation {
    mode: Mode,
    batch: bool,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    arrivals: Vec<Arrival>,
    online: HashMap<u64, Online>,
    targets: Vec<TargetSim>,
    rng: ChaCha8Rng,
    next_batch: u64,
    next_target: usize,
    pub(crate) figures: Figures,
}

/// Settings of every gate at this balance.
pub(crate) fn settings(balance: Balance) -> Settings {
    Settings {
        balance,
        permit_ttl: Millis::MAX,
        ..Settings::for_slots(SLOTS)
    }
}

/// Engines and their load.
pub(crate) struct Scenario {
    pub(crate) cost: Cost,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) length: Micros,
}

/// Runs one simulation to its end, without batch if `batch` is `None`.
pub(crate) fn run(mode: Mode, batch: Option<Settings>, scenario: &Scenario) -> Figures {
    let cfg = batch.unwrap_or(settings(Balance::LATENCY));
    let mut simulation = Simulation::new(mode, batch.is_some(), cfg, scenario);
    simulation.start();
    while let Some(Reverse((at, _, event))) = simulation.queue.pop() {
        if at > scenario.length {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.now = scenario.length;
    for target in 0..TARGETS {
        simulation.count_online(target, 0);
    }
    simulation.figures
}

impl Simulation {
    fn new(mode: Mode, batch: bool, cfg: Settings, scenario: &Scenario) -> Self {
        let target_sim = |_| TargetSim {
            engine: Engine::new(scenario.cost),
            gate: Gate::new(cfg),
            items: HashMap::new(),
            paused: Vec::new(),
            view: 0,
            online: 0,
            changed_at: 0,
        };
        Self {
            mode,
            batch,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            arrivals: scenario.arrivals.clone(),
            online: HashMap::new(),
            targets: (0..TARGETS).map(target_sim).collect(),
            rng: ChaCha8Rng::seed_from_u64(1),
            next_batch: 0,
            next_target: 0,
            figures: Figures::new(),
        }
    }

    fn start(&mut self) {
        for index in 0..self.arrivals.len() {
            self.after(self.arrivals[index].at, SimEvent::Arrival(index));
        }
        self.after(REPORT_INTERVAL, SimEvent::Sample);
        self.after(TICK_INTERVAL, SimEvent::Tick);
        for target in 0..TARGETS {
            if self.batch && self.mode.owned() {
                self.gate(target, Event::BatchReady(BATCH_READY));
            }
            while self.batch
                && self.mode == Mode::RoundRobin
                && self.targets[target].items.len() < STATIC_BATCH
            {
                self.start_item(target, RunId(0));
            }
        }
    }

    fn after(&mut self, delay: Micros, event: SimEvent) {
        self.order += 1;
        self.queue
            .push(Reverse((self.now + delay, self.order, event)));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(index) => self.arrive(index),
            SimEvent::AtOwner(target, id) => self.request_permit(target, id),
            SimEvent::Submit(target, id) => self.submit(target, id),
            SimEvent::Cancel(target, id) => self.targets[target].engine.cancel(id),
            SimEvent::PermitReleased(target, id) => {
                self.gate(target, Event::Finished(PermitId(id)));
            }
            SimEvent::StepEnd(target, step) => self.end_step(target, step),
            SimEvent::Sample => self.sample(),
            SimEvent::Reported(target, running, waiting) => self.reported(target, running, waiting),
            SimEvent::Tick => {
                for target in 0..TARGETS {
                    self.gate(target, Event::Tick);
                }
                self.after(TICK_INTERVAL, SimEvent::Tick);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let id = (index as u64 + 1) << 1;
        let target = self.choose();
        let arrival = self.arrivals[index];
        let online = Online {
            arrival,
            target,
            attempts: 0,
            last_token: None,
        };
        self.online.insert(id, online);
        self.send(target, id);
    }

    fn send(&mut self, target: usize, id: u64) {
        self.targets[target].view += 1;
        if self.mode.owned() {
            self.figures.messages += 1;
            self.after(HOP_LATENCY, SimEvent::AtOwner(target, id));
        } else {
            self.after(HOP_LATENCY, SimEvent::Submit(target, id));
        }
    }

    fn choose(&mut self) -> usize {
        match self.mode {
            Mode::RoundRobin => {
                self.next_target += 1;
                self.next_target % TARGETS
            }
            // Entries do not see each other's requests, only load reports.
            Mode::Alone => {
                let view = |target: &usize| self.targets[*target].view;
                (0..TARGETS).min_by_key(view).expect("at least one target")
            }
            Mode::OwnerPath | Mode::Permits => {
                let one = self.rng.random_range(0..TARGETS);
                let other = self.rng.random_range(0..TARGETS);
                if self.targets[one].view <= self.targets[other].view {
                    one
                } else {
                    other
                }
            }
        }
    }

    fn request_permit(&mut self, target: usize, id: u64) {
        let arrival = self.online[&id].arrival;
        let request = Request {
            permit: PermitId(id),
            entry: Entry::from_index(arrival.entry),
            team: Team::from_index(arrival.team),
            class: Class::from_index(0),
            prompt_tokens: arrival.prompt,
            answer_tokens: arrival.answer,
            weight: 1,
            deadline: Millis(arrival.at / 1_000) + START_TIMEOUT,
        };
        self.gate(target, Event::Arrived(request));
    }

    fn gate(&mut self, target: usize, event: Event) {
        let now = Millis(self.now / 1_000);
        for action in self.targets[target].gate.handle(event, now) {
            self.execute(target, action);
        }
    }

    fn execute(&mut self, target: usize, action: Action) {
        match action {
            Action::Grant { permit, .. } => {
                self.figures.messages += 1;
                let [there, _] = self.mode.data_hops();
                self.after(HOP_LATENCY * there, SimEvent::Submit(target, permit.0));
            }
            Action::Refuse { permit, .. } => self.refused(permit.0),
            Action::StartBatch(run) => self.start_item(target, run),
            Action::PauseBatch(run) => {
                let items = &self.targets[target].items;
                let of_run = items.iter().find(|(_, item)| item.run == run);
                let id = *of_run.expect("paused run has an item").0;
                self.pause_item(target, id);
            }
        }
    }

    /// A refused request has not run, so the entry retries it once at another target.
    fn refused(&mut self, id: u64) {
        self.figures.messages += 1;
        let target = self.choose();
        let online = self.online.get_mut(&id).expect("refused request exists");
        online.attempts += 1;
        online.target = target;
        if online.attempts > 1 {
            self.figures.refused += 1;
            self.online.remove(&id);
            return;
        }
        self.figures.retried += 1;
        self.send(target, id);
    }

    fn submit(&mut self, target: usize, id: u64) {
        let stream = if id & BATCH_BIT == 0 {
            self.count_online(target, 1);
            let arrival = self.online[&id].arrival;
            self.figures.online_prompt_tokens += u64::from(arrival.prompt);
            Stream::new(id, arrival.prompt, arrival.answer)
        } else {
            let item = self.targets[target].items[&id];
            Stream::new(id, item.prompt + item.done, BATCH_ANSWER - item.done)
        };
        self.targets[target].engine.submit(stream);
        self.step(target);
    }

    fn count_online(&mut self, target: usize, change: i32) {
        let target_sim = &mut self.targets[target];
        let idle = u64::from(SLOTS.saturating_sub(target_sim.online));
        self.figures.idle_slot_micros += idle * (self.now - target_sim.changed_at);
        target_sim.changed_at = self.now;
        target_sim.online = target_sim.online.saturating_add_signed(change);
    }

    fn step(&mut self, target: usize) {
        let engine = &mut self.targets[target].engine;
        if engine.stepping {
            return;
        }
        if let Some(step) = engine.begin_step() {
            self.after(step, SimEvent::StepEnd(target, step));
        }
    }

    fn end_step(&mut self, target: usize, step: Micros) {
        let mut outputs = Vec::new();
        self.targets[target].engine.end_step(&mut outputs);
        self.step(target);
        let mut paced = false;
        for output in outputs {
            match output {
                Output::Token { id, last } if id & BATCH_BIT == 0 => self.online_token(id, last),
                Output::Token { id, last } => {
                    paced |= self.targets[target].items[&id].first_token;
                    self.batch_token(target, id, last);
                }
                Output::Cancelled { id } => self.handle_batch_left(target, id),
            }
        }
        if paced && self.mode.owned() {
            let step_micros = step as u32;
            self.gate(target, Event::StepMeasured { step_micros });
        }
    }

    fn online_token(&mut self, id: u64, last: bool) {
        let [_, back] = self.mode.data_hops();
        self.figures.online_tokens += 1;
        let online = self.online.get_mut(&id).expect("stream has a request");
        let previous = online.last_token.replace(self.now);
        let (target, arrival) = (online.target, online.arrival);
        for latency in self.figures.latency(arrival.burst) {
            match previous {
                Some(previous) => latency.between += self.now - previous,
                None => latency.first += self.now + HOP_LATENCY * back - arrival.at,
            }
        }
        if self.mode == Mode::OwnerPath {
            self.figures.relayed_tokens += 1;
        }
        if last {
            self.online.remove(&id);
            self.count_online(target, -1);
            if self.mode.owned() {
                self.figures.messages += 1;
                self.after(HOP_LATENCY * back, SimEvent::PermitReleased(target, id));
            }
        }
    }

    fn sample(&mut self) {
        for target in 0..TARGETS {
            let engine = &self.targets[target].engine;
            let (running, waiting) = (engine.running(), engine.waiting());
            let event = SimEvent::Reported(target, running, waiting);
            self.after(REPORT_LAG, event);
        }
        self.after(REPORT_INTERVAL, SimEvent::Sample);
    }

    fn reported(&mut self, target: usize, running: u32, waiting: u32) {
        if self.mode.owned() {
            let snapshot = self.targets[target].gate.snapshot();
            self.targets[target].view = snapshot.online + snapshot.waiting as u32;
            return self.gate(
                target,
                Event::Load(LoadReport {
                    running,
                    waiting,
                    kv_permille: 0,
                    age: Millis(REPORT_LAG / 1_000),
                }),
            );
        }
        self.targets[target].view = running + waiting;
        if self.mode == Mode::Alone && self.batch {
            self.dispatch_batch_by_reports(target, running, waiting);
        }
    }
}
