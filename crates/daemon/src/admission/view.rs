//! What this entry knows of targets, for the choice among them.

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
    Model,
    Place,
    ReportedLoad,
    Request,
    Router,
    Settings,
    Target,
    Traffic,
    Zone, //
};

use super::{
    ask::{
        Ask,
        Needs, //
    },
    names::Names,
};
use crate::{
    context::Context,
    fleet::{
        Announcement,
        State, //
    },
};

/// How often the router hears of the targets.
const FEED_EVERY: Millis = Millis(200);
/// Targets named for one request.
const FALLBACKS: usize = 3;
/// Prefixes of prompts that are remembered.
const PREFIXES: usize = 20_000;
/// Bytes of an answer for each of its tokens, as a stream of events.
const BYTES_PER_TOKEN: u32 = 200;
/// What this entry may send and receive over the link to each other region.
const LINK: LinkSettings = LinkSettings {
    bytes_per_sec: 400_000,
    burst: 1_600_000,
};

/// What this entry knows of targets.
#[derive(Debug)]
pub(crate) struct View {
    router: Router,
    targets: Names<TargetName, Target>,
    models: Names<Needs, Model>,
    regions: Names<Region, Zone>,
    domains: Names<FailureDomain, Domain>,
    known: HashSet<Target>,
    /// The breakers of targets that failed lately.
    breakers: HashMap<Target, Breaker>,
    linked: HashSet<Zone>,
    fed_at: Option<Millis>,
}

impl View {
    pub(crate) fn new(region: &Region, domain: &FailureDomain, seed: u64) -> Self {
        let mut regions = Names::default();
        let mut domains = Names::default();
        let place = Place {
            region: regions.key(region),
            domain: domains.key(domain),
        };
        let router = Router::new(Settings {
            place,
            fallbacks: FALLBACKS,
            prefixes: PREFIXES,
            seed,
        });
        Self {
            router,
            targets: Names::default(),
            models: Names::default(),
            linked: HashSet::from([place.region]),
            regions,
            domains,
            known: HashSet::new(),
            breakers: HashMap::new(),
            fed_at: None,
        }
    }

    /// The targets to ask for a request, best first.
    pub(crate) fn choose(&mut self, cx: &Context, ask: &Ask, now: Millis) -> Vec<TargetName> {
        if self.fed_at.is_none_or(|fed| fed + FEED_EVERY <= now) {
            self.feed(cx, now);
        }
        let request = request(ask, self.models.key(&ask.needs));
        let choices = self.router.choose(&request, now);
        let names = choices.into_iter().map(|choice| choice.target);
        names
            .map(|target| self.targets.name(target).clone())
            .collect()
    }

    /// The owner of this target is asked for a permit for a request.
    pub(crate) fn sent(&mut self, target: &TargetName, ask: &Ask, now: Millis) {
        let model = self.models.key(&ask.needs);
        let target = self.targets.key(target);
        if let Some(breaker) = self.breakers.get_mut(&target)
            && breaker.state(now) == BreakerState::HalfOpen
        {
            // The trial is out: others pass the target over until it ends.
            breaker.try_call(now);
            self.router.set_circuit(target, Circuit::Open);
        }
        self.router.sent(target, &request(ask, model), now);
    }

    /// Notes whether a call to a target failed. A target that serves has no breaker.
    pub(crate) fn note_result(&mut self, target: &TargetName, failed: bool, now: Millis) {
        let target = self.targets.key(target);
        if !failed {
            if self.breakers.remove(&target).is_some() {
                self.router.set_circuit(target, Circuit::Closed);
            }
            return;
        }
        let new = || Breaker::new(BreakerSettings::default());
        let breaker = self.breakers.entry(target).or_insert_with(new);
        breaker.record_failure(now);
        self.router.set_circuit(target, circuit(breaker, now));
    }

    pub(crate) fn ended(&mut self, target: &TargetName) {
        let target = self.targets.key(target);
        self.router.ended(target);
    }

    pub(crate) fn refused(&mut self, target: &TargetName, retry_after: Millis, now: Millis) {
        let target = self.targets.key(target);
        self.router.refused(target, retry_after, now);
    }

    pub(crate) fn report(&mut self, target: &TargetName, busy: u32, now: Millis) {
        let target = self.targets.key(target);
        let age = Millis::ZERO;
        self.router.report(target, ReportedLoad { busy, age }, now);
    }

    fn feed(&mut self, cx: &Context, now: Millis) {
        self.fed_at = Some(now);
        let mut gone = std::mem::take(&mut self.known);
        for announcement in cx.targets.all().values() {
            if let Some(candidate) = self.candidate(announcement, now) {
                self.link(candidate.place.region, now);
                self.router.update(candidate, now);
                gone.remove(&candidate.target);
                self.known.insert(candidate.target);
            }
        }
        for target in gone {
            self.breakers.remove(&target);
            self.router.remove(target);
        }
    }

    fn link(&mut self, region: Zone, now: Millis) {
        if self.linked.insert(region) {
            self.router.set_link(region, LINK, now);
        }
    }

    fn candidate(&mut self, announcement: &Announcement, now: Millis) -> Option<Candidate> {
        let model = announcement.model.clone().map(Needs::Model);
        let service = announcement.service.clone().map(Needs::Service);
        let liveness = match announcement.state {
            State::Live => Liveness::Live,
            State::Suspect => Liveness::Suspect,
            State::Leaving => Liveness::Leaving,
        };
        let target = self.targets.key(&announcement.name);
        let breaker = self.breakers.get(&target);
        Some(Candidate {
            target,
            model: self.models.key(&model.or(service)?),
            place: Place {
                region: self.regions.key(&announcement.region),
                domain: self.domains.key(&announcement.failure_domain),
            },
            liveness,
            circuit: breaker.map_or(Circuit::Closed, |breaker| circuit(breaker, now)),
            slots: announcement.slots,
            load: None,
        })
    }
}

fn circuit(breaker: &Breaker, now: Millis) -> Circuit {
    match breaker.state(now) {
        BreakerState::Closed => Circuit::Closed,
        BreakerState::HalfOpen if breaker.is_trial_pending(now) => Circuit::Open,
        BreakerState::HalfOpen => Circuit::HalfOpen,
        BreakerState::Open => Circuit::Open,
    }
}

fn request(ask: &Ask, model: Model) -> Request<'_> {
    let tokens = ask.prompt_tokens.saturating_add(ask.answer_tokens);
    Request {
        model,
        prefix: &ask.prefix,
        traffic: Traffic::Online,
        bytes: tokens.saturating_mul(BYTES_PER_TOKEN),
    }
}
