//! This entry's view of the targets, from which it chooses.

use std::collections::{
    HashMap,
    HashSet, //
};

use yuccaseam_admit::{
    Breaker,
    BreakerSettings,
    BreakerState, //
};
use yuccaseam_base::{
    FailureDomain,
    Millis,
    Region,
    TargetName, //
};
use yuccaseam_route::{
    Candidate,
    Circuit,
    Domain,
    LinkSettings,
    Liveness,
    Location,
    Model,
    RegionKey,
    ReportedLoad,
    Request,
    Router,
    Settings,
    Target,
    Traffic, //
};

use super::{
    interner::Interner,
    requirements::{
        RequiredKind,
        TargetRequirements, //
    },
};
use crate::{
    context::Context,
    fleet::{
        Announcement,
        State, //
    },
};

/// How often the router is updated with the known targets.
const REFRESH_INTERVAL: Millis = Millis(200);
/// Number of targets that the router returns for one request.
const TARGETS_PER_REQUEST: usize = 3;
/// Number of prompt prefixes that the router remembers.
const PREFIX_CAPACITY: usize = 20_000;
/// Size of one answer token in a stream of events, in bytes.
const BYTES_PER_TOKEN: u32 = 200;
/// Budget of this entry for the link to each other region, both directions together.
const REGION_LINK: LinkSettings = LinkSettings {
    bytes_per_sec: 400_000,
    burst_bytes: 1_600_000,
};

/// The router of this entry and the targets that it knows.
#[derive(Debug)]
pub(crate) struct View {
    router: Router,
    targets: Interner<TargetName, Target>,
    models: Interner<RequiredKind, Model>,
    regions: Interner<Region, RegionKey>,
    domains: Interner<FailureDomain, Domain>,
    known_targets: HashSet<Target>,
    /// Circuit breakers of targets that failed since their last success.
    breakers: HashMap<Target, Breaker>,
    linked_regions: HashSet<RegionKey>,
    refreshed_at: Option<Millis>,
}

impl View {
    pub(crate) fn new(region: &Region, domain: &FailureDomain, seed: u64) -> Self {
        let mut regions = Interner::default();
        let mut domains = Interner::default();
        let location = Location {
            region: regions.intern(region),
            domain: domains.intern(domain),
        };
        let router = Router::new(Settings {
            location,
            max_choices: TARGETS_PER_REQUEST,
            prefix_capacity: PREFIX_CAPACITY,
            seed,
        });
        Self {
            router,
            targets: Interner::default(),
            models: Interner::default(),
            linked_regions: HashSet::from([location.region]),
            regions,
            domains,
            known_targets: HashSet::new(),
            breakers: HashMap::new(),
            refreshed_at: None,
        }
    }

    /// Chooses the targets to try for a request, best first.
    pub(crate) fn choose(
        &mut self,
        cx: &Context,
        requirements: &TargetRequirements,
        now: Millis,
    ) -> Vec<TargetName> {
        if self
            .refreshed_at
            .is_none_or(|at| at + REFRESH_INTERVAL <= now)
        {
            self.refresh(cx, now);
        }
        let request = request(requirements, self.models.intern(&requirements.kind));
        let choices = self.router.choose(&request, now);
        let names = choices.into_iter().map(|choice| choice.target);
        names
            .map(|target| self.targets.name(target).clone())
            .collect()
    }

    /// Records that a permit is requested from the owner of a target.
    pub(crate) fn record_request(
        &mut self,
        target: &TargetName,
        requirements: &TargetRequirements,
        now: Millis,
    ) {
        let model = self.models.intern(&requirements.kind);
        let target = self.targets.intern(target);
        if let Some(breaker) = self.breakers.get_mut(&target)
            && breaker.state(now) == BreakerState::HalfOpen
        {
            // The trial call is in flight: other requests skip the target until it ends.
            breaker.try_call(now);
            self.router.set_circuit(target, Circuit::Open);
        }
        self.router
            .record_sent(target, &request(requirements, model), now);
    }

    /// Records whether a call to a target failed. A success removes the target's breaker.
    pub(crate) fn record_result(&mut self, target: &TargetName, failed: bool, now: Millis) {
        let target = self.targets.intern(target);
        if !failed {
            if self.breakers.remove(&target).is_some() {
                self.router.set_circuit(target, Circuit::Closed);
            }
            return;
        }
        let new = || Breaker::new(BreakerSettings::default());
        let breaker = self.breakers.entry(target).or_insert_with(new);
        breaker.record_failure(now);
        self.router.set_circuit(target, circuit_state(breaker, now));
    }

    pub(crate) fn record_end(&mut self, target: &TargetName) {
        let target = self.targets.intern(target);
        self.router.record_end(target);
    }

    pub(crate) fn record_refusal(&mut self, target: &TargetName, retry_after: Millis, now: Millis) {
        let target = self.targets.intern(target);
        self.router.record_refusal(target, retry_after, now);
    }

    pub(crate) fn update_load(&mut self, target: &TargetName, busy: u32, now: Millis) {
        let target = self.targets.intern(target);
        let age = Millis::ZERO;
        self.router
            .update_load(target, ReportedLoad { busy, age }, now);
    }

    fn refresh(&mut self, cx: &Context, now: Millis) {
        self.refreshed_at = Some(now);
        let mut removed = std::mem::take(&mut self.known_targets);
        for announcement in cx.targets.all().values() {
            if let Some(candidate) = self.candidate(announcement, now) {
                self.add_link(candidate.location.region, now);
                self.router.update(candidate, now);
                removed.remove(&candidate.target);
                self.known_targets.insert(candidate.target);
            }
        }
        for target in removed {
            self.breakers.remove(&target);
            self.router.remove(target);
        }
    }

    fn add_link(&mut self, region: RegionKey, now: Millis) {
        if self.linked_regions.insert(region) {
            self.router.set_link(region, REGION_LINK, now);
        }
    }

    fn candidate(&mut self, announcement: &Announcement, now: Millis) -> Option<Candidate> {
        let model = announcement.model.clone().map(RequiredKind::Model);
        let service = announcement.service.clone().map(RequiredKind::Service);
        let liveness = match announcement.state {
            State::Live => Liveness::Live,
            State::Suspect => Liveness::Suspect,
            State::Leaving => Liveness::Leaving,
        };
        let target = self.targets.intern(&announcement.name);
        let breaker = self.breakers.get(&target);
        Some(Candidate {
            target,
            model: self.models.intern(&model.or(service)?),
            location: Location {
                region: self.regions.intern(&announcement.region),
                domain: self.domains.intern(&announcement.failure_domain),
            },
            liveness,
            circuit: breaker.map_or(Circuit::Closed, |breaker| circuit_state(breaker, now)),
            slots: announcement.slots,
            load: None,
        })
    }
}

fn circuit_state(breaker: &Breaker, now: Millis) -> Circuit {
    match breaker.state(now) {
        BreakerState::Closed => Circuit::Closed,
        BreakerState::HalfOpen if breaker.is_trial_pending(now) => Circuit::Open,
        BreakerState::HalfOpen => Circuit::HalfOpen,
        BreakerState::Open => Circuit::Open,
    }
}

fn request(requirements: &TargetRequirements, model: Model) -> Request<'_> {
    let tokens = requirements
        .prompt_tokens
        .saturating_add(requirements.answer_tokens);
    Request {
        model,
        prefix: &requirements.prefix_hashes,
        traffic: Traffic::Online,
        bytes: tokens.saturating_mul(BYTES_PER_TOKEN),
    }
}
