//! Router of one entry.

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
    affinity::PrefixIndex,
    candidate::{
        Candidate,
        Circuit,
        Liveness,
        Location,
        Model,
        RegionKey,
        ReportedLoad,
        Target, //
    },
    link::{
        LinkBudget,
        LinkSettings, //
    },
    load::LoadEstimate,
    request::{
        Choice,
        ChoiceReason,
        Request, //
    },
};

/// Number of random targets that are compared.
const RANDOM_CANDIDATES: usize = 2;

/// Number of random draws for an eligible target before the whole group is scanned.
const MAX_DRAWS: usize = 8;

/// Reduction of the score for a completely cached prompt, as a share of the target's slots.
const AFFINITY_BONUS: f64 = 0.5;

/// Increase of the score for a target in another failure domain of the region.
const OTHER_DOMAIN_PENALTY: f64 = 0.03;

/// Increase of the score for a half-open circuit breaker.
const HALF_OPEN_PENALTY: f64 = 0.5;

/// Load of the best local target from which other regions are considered.
const SPILL_LOAD: f64 = 1.0;

/// Difference in load by which a target of another region has to be better.
const MIN_SPILL_GAIN: f64 = 0.25;

/// Configuration of a [`Router`].
#[value]
#[derive(Copy)]
pub struct Settings {
    /// Location of the entry.
    pub location: Location,
    /// Maximum number of targets returned for one request.
    pub max_choices: usize,
    /// Maximum number of prefixes in the index.
    pub prefix_capacity: usize,
    /// Seed of the random generator.
    pub seed: u64,
}

/// State of one target.
#[derive(Clone, Debug)]
struct TargetState {
    candidate: Candidate,
    load: LoadEstimate,
    refused_until: Millis,
}

/// Chooses targets for the requests of one entry.
#[derive(Debug)]
pub struct Router {
    cfg: Settings,
    targets: HashMap<Target, TargetState>,
    /// Targets by model and region.
    groups: HashMap<(Model, RegionKey), Vec<Target>>,
    regions: Vec<RegionKey>,
    links: HashMap<RegionKey, LinkBudget>,
    prefixes: PrefixIndex,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router without targets.
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            targets: HashMap::new(),
            groups: HashMap::new(),
            regions: Vec::new(),
            links: HashMap::new(),
            prefixes: PrefixIndex::new(cfg.prefix_capacity),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
        }
    }

    /// Sets the budget of the link to a region. Requests never spill to a region without a budget.
    pub fn set_link(&mut self, region: RegionKey, cfg: LinkSettings, now: Millis) {
        self.links.insert(region, LinkBudget::new(cfg, now));
    }

    /// Adds a target or updates its state.
    pub fn update(&mut self, candidate: Candidate, now: Millis) {
        let target = candidate.target;
        let moved = self.targets.get(&target).is_some_and(|state| {
            let old = state.candidate;
            (old.model, old.location) != (candidate.model, candidate.location)
        });
        if moved {
            self.remove(target);
        }
        let region = candidate.location.region;
        if !self.regions.contains(&region) {
            self.regions.push(region);
        }
        let state = self.targets.entry(target).or_insert_with(|| {
            let group = self.groups.entry((candidate.model, region)).or_default();
            group.push(target);
            TargetState {
                candidate,
                load: LoadEstimate::default(),
                refused_until: Millis::ZERO,
            }
        });
        state.candidate = candidate;
        if let Some(load) = candidate.load {
            state.load.apply_report(load, now);
        }
    }

    /// Updates only the load of a target.
    pub fn update_load(&mut self, target: Target, load: ReportedLoad, now: Millis) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.load.apply_report(load, now);
        }
    }

    /// Updates only the circuit breaker state of a target.
    pub fn set_circuit(&mut self, target: Target, circuit: Circuit) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.candidate.circuit = circuit;
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: Target) {
        let Some(state) = self.targets.remove(&target) else {
            return;
        };
        let key = (state.candidate.model, state.candidate.location.region);
        if let Some(group) = self.groups.get_mut(&key) {
            group.retain(|other| *other != target);
        }
        self.prefixes.remove_target(target);
    }

    /// Records that a target restarted, which empties its cache.
    pub fn record_restart(&mut self, target: Target) {
        self.prefixes.remove_target(target);
    }

    /// Records a cache event: the target has cached a prefix.
    pub fn record_cached(&mut self, target: Target, prefix: u64) {
        self.prefixes.add(prefix, target);
    }

    /// Records a cache event: the target has evicted a prefix.
    pub fn record_evicted(&mut self, target: Target, prefix: u64) {
        self.prefixes.remove(prefix, target);
    }

    /// Records that a request was sent to a target, or that a permit was requested from its owner.
    pub fn record_sent(&mut self, target: Target, req: &Request<'_>, now: Millis) {
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        state.load.record_sent(now);
        let region = state.candidate.location.region;
        if let Some(link) = self.links.get_mut(&region) {
            link.charge(req.bytes, now);
        }
        for prefix in req.prefix {
            self.prefixes.add(*prefix, target);
        }
    }

    /// Records the end of a request that was sent to a target.
    pub fn record_end(&mut self, target: Target) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.load.record_end();
        }
    }

    /// Records that the owner of a target refused a request. The target is not chosen again until
    /// `retry_after` has passed.
    pub fn record_refusal(&mut self, target: Target, retry_after: Millis, now: Millis) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.load.record_end();
            state.refused_until = now + retry_after;
        }
    }

    /// Number of prefixes in the index.
    pub fn prefix_count(&self) -> usize {
        self.prefixes.len()
    }

    /// Chooses targets for a request, best first. The list is empty if no target serves the model.
    pub fn choose(&mut self, req: &Request<'_>, now: Millis) -> Vec<Choice> {
        let home = self.cfg.location.region;
        let mut ranked = self.rank(home, req, now);
        let full = |ranked: &[Ranked]| ranked.first().is_none_or(|best| best.load >= SPILL_LOAD);
        if full(&ranked) {
            self.spill(&mut ranked, req, now);
        }
        if ranked.is_empty() {
            self.add_suspects(&mut ranked, req);
        }
        ranked.truncate(self.cfg.max_choices);
        ranked.into_iter().map(|ranked| ranked.choice).collect()
    }

    /// Ranks some targets of a region, best first: those that may have a prefix of the prompt
    /// cached, and random ones.
    fn rank(&mut self, region: RegionKey, req: &Request<'_>, now: Millis) -> Vec<Ranked> {
        let key = (req.model, region);
        let Some(group) = self.groups.get(&key).filter(|group| !group.is_empty()) else {
            return Vec::new();
        };
        let group = group.clone();
        let mean = self.mean_load(&group);
        let mut ranked: Vec<Ranked> = Vec::new();
        for (target, share) in self.prefixes.holders(req.prefix) {
            if group.contains(&target) && self.is_eligible(target, now) {
                ranked.push(self.score(target, share, mean, now));
            }
        }
        let wanted = ranked.len() + RANDOM_CANDIDATES.max(self.cfg.max_choices);
        self.add_random(&group, wanted, mean, &mut ranked, now);
        ranked.sort_by(|a, b| a.score.total_cmp(&b.score));
        self.diversify_domains(&mut ranked);
        ranked
    }

    /// Adds random eligible targets until `ranked` has `wanted` entries.
    fn add_random(
        &mut self,
        group: &[Target],
        wanted: usize,
        mean: f64,
        ranked: &mut Vec<Ranked>,
        now: Millis,
    ) {
        let mut draws = 0;
        while ranked.len() < wanted && draws < MAX_DRAWS {
            draws += 1;
            let target = group[self.rng.random_range(0..group.len())];
            self.add_candidate(target, mean, ranked, now);
        }
        let start = self.rng.random_range(0..group.len());
        for target in group[start..].iter().chain(&group[..start]) {
            if ranked.len() >= wanted {
                return;
            }
            self.add_candidate(*target, mean, ranked, now);
        }
    }

    fn add_candidate(&self, target: Target, mean: f64, ranked: &mut Vec<Ranked>, now: Millis) {
        let present = ranked.iter().any(|other| other.choice.target == target);
        if !present && self.is_eligible(target, now) {
            ranked.push(self.score(target, 0.0, mean, now));
        }
    }

    fn is_eligible(&self, target: Target, now: Millis) -> bool {
        let state = &self.targets[&target];
        state.candidate.liveness == Liveness::Live
            && state.candidate.circuit != Circuit::Open
            && state.refused_until <= now
    }

    fn score(&self, target: Target, share: f64, mean: f64, now: Millis) -> Ranked {
        let state = &self.targets[&target];
        let candidate = state.candidate;
        let load = state.load.estimate(mean, now) / f64::from(candidate.slots.max(1));
        let mut score = load - AFFINITY_BONUS * share;
        if candidate.location.domain != self.cfg.location.domain {
            score += OTHER_DOMAIN_PENALTY;
        }
        if candidate.circuit == Circuit::HalfOpen {
            score += HALF_OPEN_PENALTY;
        }
        let reason = if share > 0.0 {
            ChoiceReason::Affinity
        } else {
            ChoiceReason::Load
        };
        Ranked {
            choice: Choice { target, reason },
            location: candidate.location,
            load,
            score,
        }
    }

    fn mean_load(&self, group: &[Target]) -> f64 {
        let busy = |target: &Target| f64::from(self.targets[target].load.reported_busy());
        group.iter().map(busy).sum::<f64>() / group.len() as f64
    }

    /// Moves a target of another failure domain to the second position, so that the failure of one
    /// domain does not affect both.
    fn diversify_domains(&self, ranked: &mut [Ranked]) {
        let Some(first) = ranked.first() else {
            return;
        };
        let domain = first.location.domain;
        let other = ranked
            .iter()
            .position(|other| other.location.domain != domain);
        if let Some(other) = other.filter(|other| *other > 1) {
            ranked[1..=other].rotate_right(1);
        }
    }

    /// Puts targets of other regions first if they are less loaded by the minimum gain and the
    /// link's budget allows it.
    fn spill(&mut self, ranked: &mut Vec<Ranked>, req: &Request<'_>, now: Millis) {
        let local_load = ranked.first().map_or(f64::INFINITY, |best| best.load);
        let mut remote = Vec::new();
        for region in self.regions.clone() {
            let link = self.links.get_mut(&region);
            let allowed = link.is_some_and(|link| link.allows(req.traffic, now));
            if region != self.cfg.location.region && allowed {
                remote.extend(self.rank(region, req, now));
            }
        }
        remote.retain(|other| other.load + MIN_SPILL_GAIN < local_load);
        remote.sort_by(|a, b| a.score.total_cmp(&b.score));
        for other in &mut remote {
            other.choice.reason = ChoiceReason::Spill;
        }
        ranked.splice(0..0, remote);
    }

    /// Adds the suspect targets of the entry's region, starting with a random one.
    fn add_suspects(&mut self, ranked: &mut Vec<Ranked>, req: &Request<'_>) {
        let key = (req.model, self.cfg.location.region);
        let group = self.groups.get(&key).cloned().unwrap_or_default();
        let suspect = group
            .into_iter()
            .filter(|target| self.targets[target].candidate.liveness == Liveness::Suspect);
        ranked.extend(suspect.map(|target| Ranked {
            choice: Choice {
                target,
                reason: ChoiceReason::LastResort,
            },
            location: self.targets[&target].candidate.location,
            load: 0.0,
            score: 0.0,
        }));
        if ranked.len() > 1 {
            let first = self.rng.random_range(0..ranked.len());
            ranked.rotate_left(first);
        }
    }
}

/// Target with its score.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    choice: Choice,
    location: Location,
    /// Estimated load, as a share of the target's slots.
    load: f64,
    /// Load with bonus and penalties applied; the lowest is best.
    score: f64,
}
