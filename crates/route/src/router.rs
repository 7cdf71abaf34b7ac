//! The router of one entry.

use std::collections::HashMap;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_base::{
    Millis,
    value, //
};

use crate::{
    affinity::PrefixMemory,
    candidate::{
        Candidate,
        Circuit,
        Liveness,
        Model,
        Place,
        ReportedLoad,
        Target,
        Zone, //
    },
    link::{
        LinkBudget,
        LinkSettings, //
    },
    load::LoadEstimate,
    request::{
        Choice,
        Request,
        Why, //
    },
};

/// Random targets that are compared.
const CHOICES: usize = 2;

/// Draws for a random target that may get work, before all are looked at.
const DRAWS: usize = 8;

/// The load, in parts of a target's slots, that a whole cached prompt is worth.
const AFFINITY_WORTH: f64 = 0.5;

/// The load that another failure domain of the region costs.
const DOMAIN_COST: f64 = 0.03;

/// The load that a breaker which is half open costs.
const HALF_OPEN_COST: f64 = 0.5;

/// The load from which another region is considered, and by how much it must be better.
const SPILL_LOAD: f64 = 1.0;
const SPILL_GAIN: f64 = 0.25;

/// Settings of a router.
#[value]
#[derive(Copy)]
pub struct Settings {
    /// Where the entry stands.
    pub place: Place,
    /// The targets named for one request, in order.
    pub fallbacks: usize,
    /// The prefixes that are remembered.
    pub prefixes: usize,
    /// The seed of the random draws.
    pub seed: u64,
}

#[derive(Clone, Debug)]
struct Known {
    candidate: Candidate,
    load: LoadEstimate,
    refused_until: Millis,
}

/// Chooses targets for the requests of one entry.
#[derive(Debug)]
pub struct Router {
    cfg: Settings,
    known: HashMap<Target, Known>,
    groups: HashMap<(Model, Zone), Vec<Target>>,
    regions: Vec<Zone>,
    links: HashMap<Zone, LinkBudget>,
    prefixes: PrefixMemory,
    rng: ChaCha8Rng,
}

impl Router {
    /// A router that knows no targets.
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            known: HashMap::new(),
            groups: HashMap::new(),
            regions: Vec::new(),
            links: HashMap::new(),
            prefixes: PrefixMemory::new(cfg.prefixes),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
        }
    }

    /// Sets the budget of the link to a region. A region without a budget is never spilled to.
    pub fn set_link(&mut self, region: Zone, cfg: LinkSettings, now: Millis) {
        self.links.insert(region, LinkBudget::new(cfg, now));
    }

    /// Takes news of a target.
    pub fn update(&mut self, candidate: Candidate, now: Millis) {
        let target = candidate.target;
        let moved = self.known.get(&target).is_some_and(|known| {
            let old = known.candidate;
            (old.model, old.place) != (candidate.model, candidate.place)
        });
        if moved {
            self.remove(target);
        }
        let region = candidate.place.region;
        if !self.regions.contains(&region) {
            self.regions.push(region);
        }
        let known = self.known.entry(target).or_insert_with(|| {
            let group = self.groups.entry((candidate.model, region)).or_default();
            group.push(target);
            Known {
                candidate,
                load: LoadEstimate::default(),
                refused_until: Millis::ZERO,
            }
        });
        known.candidate = candidate;
        if let Some(load) = candidate.load {
            known.load.report(load, now);
        }
    }

    /// Takes news of a target's load alone.
    pub fn report(&mut self, target: Target, load: ReportedLoad, now: Millis) {
        if let Some(known) = self.known.get_mut(&target) {
            known.load.report(load, now);
        }
    }

    /// Takes news of the circuit breaker of a target alone.
    pub fn set_circuit(&mut self, target: Target, circuit: Circuit) {
        if let Some(known) = self.known.get_mut(&target) {
            known.candidate.circuit = circuit;
        }
    }

    /// A target is gone for good.
    pub fn remove(&mut self, target: Target) {
        let Some(known) = self.known.remove(&target) else {
            return;
        };
        let key = (known.candidate.model, known.candidate.place.region);
        if let Some(group) = self.groups.get_mut(&key) {
            group.retain(|other| *other != target);
        }
        self.prefixes.forget(target);
    }

    /// A target restarted: its cache is empty.
    pub fn restarted(&mut self, target: Target) {
        self.prefixes.forget(target);
    }

    /// A cache event says that a target holds a prefix.
    pub fn cached(&mut self, target: Target, prefix: u64) {
        self.prefixes.add(prefix, target);
    }

    /// A cache event says that a target dropped a prefix.
    pub fn evicted(&mut self, target: Target, prefix: u64) {
        self.prefixes.remove(prefix, target);
    }

    /// A request was sent to a target, or its owner was asked for a permit.
    pub fn sent(&mut self, target: Target, req: &Request<'_>, now: Millis) {
        let Some(known) = self.known.get_mut(&target) else {
            return;
        };
        known.load.sent(now);
        let region = known.candidate.place.region;
        if let Some(link) = self.links.get_mut(&region) {
            link.take(req.bytes, now);
        }
        for prefix in req.prefix {
            self.prefixes.add(*prefix, target);
        }
    }

    /// A request that was sent to a target has ended.
    pub fn ended(&mut self, target: Target) {
        if let Some(known) = self.known.get_mut(&target) {
            known.load.ended();
        }
    }

    /// The owner of a target refused: it is not asked again before it said.
    pub fn refused(&mut self, target: Target, retry_after: Millis, now: Millis) {
        if let Some(known) = self.known.get_mut(&target) {
            known.load.ended();
            known.refused_until = now + retry_after;
        }
    }

    /// The prefixes that are remembered now.
    pub fn prefixes(&self) -> usize {
        self.prefixes.len()
    }

    /// The targets to ask, best first; none if nothing serves the model.
    pub fn choose(&mut self, req: &Request<'_>, now: Millis) -> Vec<Choice> {
        let home = self.cfg.place.region;
        let mut ranked = self.rank(home, req, now);
        let full = |ranked: &[Ranked]| ranked.first().is_none_or(|best| best.load >= SPILL_LOAD);
        if full(&ranked) {
            self.spill(&mut ranked, req, now);
        }
        if ranked.is_empty() {
            self.last_resort(&mut ranked, req);
        }
        ranked.truncate(self.cfg.fallbacks);
        ranked.into_iter().map(|ranked| ranked.choice).collect()
    }

    /// Some targets of a region, best first: those that may hold the prompt, and random ones.
    fn rank(&mut self, region: Zone, req: &Request<'_>, now: Millis) -> Vec<Ranked> {
        let key = (req.model, region);
        let Some(group) = self.groups.get(&key).filter(|group| !group.is_empty()) else {
            return Vec::new();
        };
        let group = group.clone();
        let mean = self.mean_load(&group);
        let mut ranked: Vec<Ranked> = Vec::new();
        for (target, share) in self.prefixes.holders(req.prefix) {
            if group.contains(&target) && self.usable(target, now) {
                ranked.push(self.score(target, share, mean, now));
            }
        }
        let wanted = ranked.len() + CHOICES.max(self.cfg.fallbacks);
        self.draw(&group, wanted, mean, &mut ranked, now);
        ranked.sort_by(|a, b| a.score.total_cmp(&b.score));
        self.spread(&mut ranked);
        ranked
    }

    /// Adds random targets until there are `wanted`.
    fn draw(
        &mut self,
        group: &[Target],
        wanted: usize,
        mean: f64,
        ranked: &mut Vec<Ranked>,
        now: Millis,
    ) {
        let mut draws = 0;
        while ranked.len() < wanted && draws < DRAWS {
            draws += 1;
            let target = group[self.rng.random_range(0..group.len())];
            self.add(target, mean, ranked, now);
        }
        let start = self.rng.random_range(0..group.len());
        for target in group[start..].iter().chain(&group[..start]) {
            if ranked.len() >= wanted {
                return;
            }
            self.add(*target, mean, ranked, now);
        }
    }

    fn add(&self, target: Target, mean: f64, ranked: &mut Vec<Ranked>, now: Millis) {
        let known = ranked.iter().any(|other| other.choice.target == target);
        if !known && self.usable(target, now) {
            ranked.push(self.score(target, 0.0, mean, now));
        }
    }

    fn usable(&self, target: Target, now: Millis) -> bool {
        let known = &self.known[&target];
        known.candidate.liveness == Liveness::Live
            && known.candidate.circuit != Circuit::Open
            && known.refused_until <= now
    }

    fn score(&self, target: Target, share: f64, mean: f64, now: Millis) -> Ranked {
        let known = &self.known[&target];
        let candidate = known.candidate;
        let load = known.load.now(mean, now) / f64::from(candidate.slots.max(1));
        let mut score = load - AFFINITY_WORTH * share;
        if candidate.place.domain != self.cfg.place.domain {
            score += DOMAIN_COST;
        }
        if candidate.circuit == Circuit::HalfOpen {
            score += HALF_OPEN_COST;
        }
        let why = if share > 0.0 {
            Why::Affinity
        } else {
            Why::Load
        };
        Ranked {
            choice: Choice { target, why },
            place: candidate.place,
            load,
            score,
        }
    }

    fn mean_load(&self, group: &[Target]) -> f64 {
        let busy = |target: &Target| f64::from(self.known[target].load.busy());
        group.iter().map(busy).sum::<f64>() / group.len() as f64
    }

    /// Moves a target of another failure domain to the second place, so that the fall of one
    /// domain does not take both.
    fn spread(&self, ranked: &mut [Ranked]) {
        let Some(first) = ranked.first() else {
            return;
        };
        let domain = first.place.domain;
        let other = ranked.iter().position(|other| other.place.domain != domain);
        if let Some(other) = other.filter(|other| *other > 1) {
            ranked[1..=other].rotate_right(1);
        }
    }

    /// Puts targets of other regions first where they have room and the link allows.
    fn spill(&mut self, ranked: &mut Vec<Ranked>, req: &Request<'_>, now: Millis) {
        let here = ranked.first().map_or(f64::INFINITY, |best| best.load);
        let mut remote = Vec::new();
        for region in self.regions.clone() {
            let link = self.links.get_mut(&region);
            let allowed = link.is_some_and(|link| link.allows(req.traffic, now));
            if region != self.cfg.place.region && allowed {
                remote.extend(self.rank(region, req, now));
            }
        }
        remote.retain(|other| other.load + SPILL_GAIN < here);
        remote.sort_by(|a, b| a.score.total_cmp(&b.score));
        for other in &mut remote {
            other.choice.why = Why::Spill;
        }
        ranked.splice(0..0, remote);
    }

    /// Suspect targets of the entry's own region, when no other is left.
    fn last_resort(&mut self, ranked: &mut Vec<Ranked>, req: &Request<'_>) {
        let key = (req.model, self.cfg.place.region);
        let group = self.groups.get(&key).cloned().unwrap_or_default();
        let suspect = group
            .into_iter()
            .filter(|target| self.known[target].candidate.liveness == Liveness::Suspect);
        ranked.extend(suspect.map(|target| Ranked {
            choice: Choice {
                target,
                why: Why::LastResort,
            },
            place: self.known[&target].candidate.place,
            load: 0.0,
            score: 0.0,
        }));
        if ranked.len() > 1 {
            let first = self.rng.random_range(0..ranked.len());
            ranked.rotate_left(first);
        }
    }
}

/// A target with its rank.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    choice: Choice,
    place: Place,
    /// The estimated load, in parts of its slots.
    load: f64,
    /// The load with the gain of its cache and the cost of its place; the least is best.
    score: f64,
}
