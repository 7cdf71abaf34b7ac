//! A small model of targets with slots, a queue, and a prefix cache in limited memory.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
};

use hdrhistogram::Histogram;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_base::Millis;

use crate::policy::{
    Chooser,
    Policy, //
};

pub(crate) const TARGETS: usize = 18;
pub(crate) const SLOTS: u32 = 16;

/// The share of all slots that the load needs, without a cached prefix.
const LOAD: f64 = 0.75;
const REPORT_EVERY: u64 = 500;
const REPORT_LAG: u64 = 250;
const EVENT_LAG: u64 = 800;
/// The share of cache events that never arrive.
const EVENTS_LOST: f64 = 0.2;
const CACHE_BLOCKS: usize = 600;
const TEAMS: usize = 300;
const TEAM_BLOCKS: u64 = 12;
const OWN_BLOCKS: u64 = 2;
const BLOCK_MS: u64 = 15;
const ANSWER_MS: (u64, u64) = (1_000, 4_000);

#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) length: u64,
    pub(crate) entries: usize,
}

pub(crate) struct Figures {
    pub(crate) first: Histogram<u64>,
    pub(crate) queued: u64,
    pub(crate) blocks: u64,
    pub(crate) blocks_hit: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    Ended(usize, usize),
    Sample,
    Reported(Vec<u32>),
    CacheEvent(usize, u64, bool),
}

#[derive(Clone, Debug)]
struct Job {
    entry: usize,
    arrived: u64,
    prefix: Vec<u64>,
    answer: u64,
}

#[derive(Default)]
struct Site {
    running: u32,
    waiting: VecDeque<Job>,
    /// Cached blocks, least recently used first.
    cache: VecDeque<u64>,
}

pub(crate) struct Fleet {
    load: Load,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    entries: Vec<Chooser>,
    sites: Vec<Site>,
    rng: ChaCha8Rng,
    losses: ChaCha8Rng,
    gap: f64,
    figures: Figures,
}

impl Fleet {
    pub(crate) fn run(load: Load, policy: Policy) -> Figures {
        let prompt = (TEAM_BLOCKS + OWN_BLOCKS) * BLOCK_MS;
        let service = (prompt + (ANSWER_MS.0 + ANSWER_MS.1) / 2) as f64;
        let chooser = |entry| Chooser::new(policy, load.seed * 1_000 + entry as u64);
        let mut fleet = Self {
            load,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            entries: (0..load.entries).map(chooser).collect(),
            sites: (0..TARGETS).map(|_| Site::default()).collect(),
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            losses: ChaCha8Rng::seed_from_u64(load.seed),
            gap: service / (LOAD * TARGETS as f64 * f64::from(SLOTS)),
            figures: Figures {
                first: Histogram::new(3).expect("three digits are allowed"),
                queued: 0,
                blocks: 0,
                blocks_hit: 0,
            },
        };
        fleet.after(0, Happening::Arrival);
        fleet.after(REPORT_EVERY, Happening::Sample);
        while let Some(Reverse((at, _, happening))) = fleet.queue.pop() {
            if at > load.length {
                break;
            }
            fleet.now = at;
            fleet.happen(happening);
        }
        fleet.figures
    }

    fn after(&mut self, delay: u64, happening: Happening) {
        self.order += 1;
        let event = (self.now + delay, self.order, happening);
        self.queue.push(Reverse(event));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival => self.arrive(),
            Happening::Ended(target, entry) => self.ended(target, entry),
            Happening::Sample => {
                let busy = |site: &Site| site.running + site.waiting.len() as u32;
                let loads = self.sites.iter().map(busy).collect();
                self.after(REPORT_LAG, Happening::Reported(loads));
                self.after(REPORT_EVERY, Happening::Sample);
            }
            Happening::Reported(loads) => {
                for entry in &mut self.entries {
                    for (target, busy) in loads.iter().enumerate() {
                        entry.report(target, *busy, Millis(REPORT_LAG), Millis(self.now));
                    }
                }
            }
            Happening::CacheEvent(target, prefix, stored) => {
                for entry in &mut self.entries {
                    entry.cache_event(target, prefix, stored);
                }
            }
        }
    }

    fn arrive(&mut self) {
        // Few teams send most prompts.
        let skew: f64 = self.rng.random::<f64>().powi(3);
        let team = (skew * TEAMS as f64) as u64;
        let own = self.rng.random::<u64>();
        let team_prefix = (0..TEAM_BLOCKS).map(|block| (team + 1) * 1_000 + block);
        let job = Job {
            entry: self.rng.random_range(0..self.load.entries),
            arrived: self.now,
            prefix: team_prefix
                .chain((0..OWN_BLOCKS).map(|block| own.wrapping_add(block)))
                .collect(),
            answer: self.rng.random_range(ANSWER_MS.0..ANSWER_MS.1),
        };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * self.gap;
        self.after(gap.round() as u64, Happening::Arrival);
        let target = self.entries[job.entry].choose(&job.prefix, Millis(self.now));
        if self.sites[target].running < SLOTS {
            self.begin(target, job);
        } else {
            self.figures.queued += 1;
            self.sites[target].waiting.push_back(job);
        }
    }

    fn begin(&mut self, target: usize, job: Job) {
        let cached = |prefix: &&u64| self.sites[target].cache.contains(prefix);
        let hit = job.prefix.iter().take_while(cached).count() as u64;
        let blocks = job.prefix.len() as u64;
        self.figures.blocks += blocks;
        self.figures.blocks_hit += hit;
        self.store(target, &job.prefix);
        let prefill = (blocks - hit) * BLOCK_MS;
        let first = self.now + prefill - job.arrived;
        self.figures.first += first;
        self.sites[target].running += 1;
        self.after(prefill + job.answer, Happening::Ended(target, job.entry));
    }

    fn store(&mut self, target: usize, prefix: &[u64]) {
        let mut events = Vec::new();
        let cache = &mut self.sites[target].cache;
        for block in prefix {
            match cache.iter().position(|cached| cached == block) {
                Some(at) => {
                    cache.remove(at);
                }
                None => events.push((*block, true)),
            }
            cache.push_back(*block);
        }
        while cache.len() > CACHE_BLOCKS {
            events.extend(cache.pop_front().map(|block| (block, false)));
        }
        for (block, stored) in events {
            if !self.losses.random_bool(EVENTS_LOST) {
                self.after(EVENT_LAG, Happening::CacheEvent(target, block, stored));
            }
        }
    }

    fn ended(&mut self, target: usize, entry: usize) {
        self.entries[entry].ended(target);
        self.sites[target].running -= 1;
        if let Some(job) = self.sites[target].waiting.pop_front() {
            self.begin(target, job);
        }
    }
}
