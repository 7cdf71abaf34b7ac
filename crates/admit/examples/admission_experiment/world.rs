//! Entries, owners and engines on one clock.

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

/// One way between two machines of a region.
const HOP: Micros = 500;
const REPORT_EVERY: Micros = 500_000;
const REPORT_LAG: Micros = 250_000;
const TICK: Micros = 10_000;
const START_WITHIN: Millis = Millis(1_900);
const BATCH_PROMPT: u32 = 400;
const BATCH_ANSWER: u32 = 200;
const BATCH_READY: u32 = 1_000;
/// Batch streams that the round-robin baseline keeps at each engine.
const STATIC_BATCH: usize = SLOTS as usize / 2;
/// Batch streams have odd numbers, online streams even ones.
const BATCH_BIT: u64 = 1;

/// Who admits work at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Entries go round robin; batch keeps a fixed number of streams.
    RoundRobin,
    /// Every entry goes to the target that its last load report shows as least loaded.
    Alone,
    /// All calls pass through the owner.
    OwnerPath,
    /// The owner gives permits, and entries stream directly.
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
enum Happening {
    Arrival(usize),
    AtOwner(usize, u64),
    Submit(usize, u64),
    Cancel(usize, u64),
    Returned(usize, u64),
    StepEnd(usize, Micros),
    Sample,
    Reported(usize, u32, u32),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct Online {
    arrival: Arrival,
    target: usize,
    tries: u32,
    last_token: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct Item {
    prompt: u32,
    done: u32,
    first_token: bool,
    run: RunId,
}

struct Site {
    engine: Engine,
    gate: Gate,
    /// Streams of batch items, by their number.
    items: HashMap<u64, Item>,
    paused: Vec<Item>,
    /// What entries believe of the load, and what they sent since they heard.
    view: u32,
    online: u32,
    changed_at: Micros,
}

pub(crate) struct World {
    mode: Mode,
    batch: bool,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Happening)>>,
    arrivals: Vec<Arrival>,
    online: HashMap<u64, Online>,
    sites: Vec<Site>,
    rng: ChaCha8Rng,
    next_batch: u64,
    next_target: usize,
    pub(crate) figures: Figures,
}

/// The settings of every gate at this balance.
pub(crate) fn settings(balance: Balance) -> Settings {
    Settings {
        balance,
        permit_ttl: Millis::MAX,
        ..Settings::for_slots(SLOTS)
    }
}

/// Engines and their load.
pub(crate) struct Scene {
    pub(crate) cost: Cost,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) length: Micros,
}

/// Runs one world to its end; without batch if there are no settings.
pub(crate) fn run(mode: Mode, batch: Option<Settings>, scene: &Scene) -> Figures {
    let cfg = batch.unwrap_or(settings(Balance::LATENCY));
    let mut world = World::new(mode, batch.is_some(), cfg, scene);
    world.start();
    while let Some(Reverse((at, _, happening))) = world.queue.pop() {
        if at > scene.length {
            break;
        }
        world.now = at;
        world.happen(happening);
    }
    world.now = scene.length;
    for target in 0..TARGETS {
        world.count_online(target, 0);
    }
    world.figures
}

impl World {
    fn new(mode: Mode, batch: bool, cfg: Settings, scene: &Scene) -> Self {
        let site = |_| Site {
            engine: Engine::new(scene.cost),
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
            arrivals: scene.arrivals.clone(),
            online: HashMap::new(),
            sites: (0..TARGETS).map(site).collect(),
            rng: ChaCha8Rng::seed_from_u64(1),
            next_batch: 0,
            next_target: 0,
            figures: Figures::new(),
        }
    }

    fn start(&mut self) {
        for index in 0..self.arrivals.len() {
            self.after(self.arrivals[index].at, Happening::Arrival(index));
        }
        self.after(REPORT_EVERY, Happening::Sample);
        self.after(TICK, Happening::Tick);
        for target in 0..TARGETS {
            if self.batch && self.mode.owned() {
                self.gate(target, Event::BatchReady(BATCH_READY));
            }
            while self.batch
                && self.mode == Mode::RoundRobin
                && self.sites[target].items.len() < STATIC_BATCH
            {
                self.start_item(target, RunId(0));
            }
        }
    }

    fn after(&mut self, delay: Micros, happening: Happening) {
        self.order += 1;
        self.queue
            .push(Reverse((self.now + delay, self.order, happening)));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival(index) => self.arrive(index),
            Happening::AtOwner(target, id) => self.ask(target, id),
            Happening::Submit(target, id) => self.submit(target, id),
            Happening::Cancel(target, id) => self.sites[target].engine.cancel(id),
            Happening::Returned(target, id) => {
                self.gate(target, Event::Finished(PermitId(id)));
            }
            Happening::StepEnd(target, step) => self.end_step(target, step),
            Happening::Sample => self.sample(),
            Happening::Reported(target, running, waiting) => {
                self.reported(target, running, waiting)
            }
            Happening::Tick => {
                for target in 0..TARGETS {
                    self.gate(target, Event::Tick);
                }
                self.after(TICK, Happening::Tick);
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
            tries: 0,
            last_token: None,
        };
        self.online.insert(id, online);
        self.send(target, id);
    }

    fn send(&mut self, target: usize, id: u64) {
        self.sites[target].view += 1;
        if self.mode.owned() {
            self.figures.messages += 1;
            self.after(HOP, Happening::AtOwner(target, id));
        } else {
            self.after(HOP, Happening::Submit(target, id));
        }
    }

    fn choose(&mut self) -> usize {
        match self.mode {
            Mode::RoundRobin => {
                self.next_target += 1;
                self.next_target % TARGETS
            }
            // Entries do not see what others send: only reports count.
            Mode::Alone => {
                let least = |target: &usize| self.sites[*target].view;
                (0..TARGETS).min_by_key(least).expect("there are targets")
            }
            Mode::OwnerPath | Mode::Permits => {
                let one = self.rng.random_range(0..TARGETS);
                let other = self.rng.random_range(0..TARGETS);
                if self.sites[one].view <= self.sites[other].view {
                    one
                } else {
                    other
                }
            }
        }
    }

    fn ask(&mut self, target: usize, id: u64) {
        let arrival = self.online[&id].arrival;
        let request = Request {
            permit: PermitId(id),
            entry: Entry::from_index(arrival.entry),
            team: Team::from_index(arrival.team),
            class: Class::from_index(0),
            prompt_tokens: arrival.prompt,
            answer_tokens: arrival.answer,
            weight: 1,
            deadline: Millis(arrival.at / 1_000) + START_WITHIN,
        };
        self.gate(target, Event::Arrived(request));
    }

    fn gate(&mut self, target: usize, event: Event) {
        let now = Millis(self.now / 1_000);
        for action in self.sites[target].gate.handle(event, now) {
            self.act(target, action);
        }
    }

    fn act(&mut self, target: usize, action: Action) {
        match action {
            Action::Grant { permit, .. } => {
                self.figures.messages += 1;
                let [there, _] = self.mode.data_hops();
                self.after(HOP * there, Happening::Submit(target, permit.0));
            }
            Action::Refuse { permit, .. } => self.refused(permit.0),
            Action::StartBatch(run) => self.start_item(target, run),
            Action::PauseBatch(run) => {
                let items = &self.sites[target].items;
                let of_run = items.iter().find(|(_, item)| item.run == run);
                let id = *of_run.expect("a paused run is there").0;
                self.pause_item(target, id);
            }
        }
    }

    /// A refusal says "not run", so the entry asks another target once.
    fn refused(&mut self, id: u64) {
        self.figures.messages += 1;
        let target = self.choose();
        let online = self
            .online
            .get_mut(&id)
            .expect("a refused request is there");
        online.tries += 1;
        online.target = target;
        if online.tries > 1 {
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
            let item = self.sites[target].items[&id];
            Stream::new(id, item.prompt + item.done, BATCH_ANSWER - item.done)
        };
        self.sites[target].engine.submit(stream);
        self.step(target);
    }

    fn count_online(&mut self, target: usize, change: i32) {
        let site = &mut self.sites[target];
        let idle = u64::from(SLOTS.saturating_sub(site.online));
        self.figures.idle_slot_micros += idle * (self.now - site.changed_at);
        site.changed_at = self.now;
        site.online = site.online.saturating_add_signed(change);
    }

    fn step(&mut self, target: usize) {
        let engine = &mut self.sites[target].engine;
        if engine.stepping {
            return;
        }
        if let Some(step) = engine.begin_step() {
            self.after(step, Happening::StepEnd(target, step));
        }
    }

    fn end_step(&mut self, target: usize, step: Micros) {
        let mut outputs = Vec::new();
        self.sites[target].engine.end_step(&mut outputs);
        self.step(target);
        let mut paced = false;
        for output in outputs {
            match output {
                Output::Token { id, last } if id & BATCH_BIT == 0 => self.online_token(id, last),
                Output::Token { id, last } => {
                    paced |= self.sites[target].items[&id].first_token;
                    self.batch_token(target, id, last);
                }
                Output::Left { id } => self.batch_left(target, id),
            }
        }
        if paced && self.mode.owned() {
            let step_micros = step as u32;
            self.gate(target, Event::Paced { step_micros });
        }
    }

    fn online_token(&mut self, id: u64, last: bool) {
        let [_, back] = self.mode.data_hops();
        self.figures.online_tokens += 1;
        let online = self.online.get_mut(&id).expect("a stream has its request");
        let previous = online.last_token.replace(self.now);
        let (target, arrival) = (online.target, online.arrival);
        for latency in self.figures.latency(arrival.burst) {
            match previous {
                Some(previous) => latency.between += self.now - previous,
                None => latency.first += self.now + HOP * back - arrival.at,
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
                self.after(HOP * back, Happening::Returned(target, id));
            }
        }
    }

    fn sample(&mut self) {
        for target in 0..TARGETS {
            let engine = &self.sites[target].engine;
            let (running, waiting) = (engine.running(), engine.waiting());
            let happening = Happening::Reported(target, running, waiting);
            self.after(REPORT_LAG, happening);
        }
        self.after(REPORT_EVERY, Happening::Sample);
    }

    fn reported(&mut self, target: usize, running: u32, waiting: u32) {
        if self.mode.owned() {
            let snapshot = self.sites[target].gate.snapshot();
            self.sites[target].view = snapshot.online + snapshot.waiting as u32;
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
        self.sites[target].view = running + waiting;
        if self.mode == Mode::Alone && self.batch {
            self.balance_alone(target, running, waiting);
        }
    }
}
