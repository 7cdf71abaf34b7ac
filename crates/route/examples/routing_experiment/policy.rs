//! The policies that are compared.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_base::{
    EntityKey,
    Millis, //
};
use yuccaseam_route::{
    Candidate,
    Circuit,
    Domain,
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

use crate::fleet::{
    SLOTS,
    TARGETS, //
};

/// How an entry chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Any target.
    Random,
    /// The target with the least reported load.
    LeastLoaded,
    /// The router, without prefixes.
    Load,
    /// The router.
    Full,
}

impl Policy {
    pub(crate) const ALL: [Self; 4] = [Self::Random, Self::LeastLoaded, Self::Load, Self::Full];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastLoaded => "least loaded",
            Self::Load => "router without prefixes",
            Self::Full => "router",
        }
    }
}

/// One entry.
pub(crate) struct Chooser {
    policy: Policy,
    router: Router,
    reported: Vec<u32>,
    rng: ChaCha8Rng,
}

fn location(target: usize) -> Location {
    Location {
        region: RegionKey::from_index(0),
        domain: Domain::from_index(target % 2),
    }
}

fn request(prefix: &[u64]) -> Request<'_> {
    Request {
        model: Model::from_index(0),
        prefix,
        traffic: Traffic::Online,
        bytes: 0,
    }
}

impl Chooser {
    pub(crate) fn new(policy: Policy, seed: u64) -> Self {
        let cfg = Settings {
            location: location(seed as usize),
            max_choices: 3,
            prefix_capacity: 20_000,
            seed,
        };
        let mut chooser = Self {
            policy,
            router: Router::new(cfg),
            reported: vec![0; TARGETS],
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for target in 0..TARGETS {
            chooser.report(target, 0, Millis::ZERO, Millis::ZERO);
        }
        chooser
    }

    pub(crate) fn report(&mut self, target: usize, busy: u32, age: Millis, now: Millis) {
        self.reported[target] = busy;
        let candidate = Candidate {
            target: Target::from_index(target),
            model: Model::from_index(0),
            location: location(target),
            liveness: Liveness::Live,
            circuit: Circuit::Closed,
            slots: SLOTS,
            load: Some(ReportedLoad { busy, age }),
        };
        self.router.update(candidate, now);
    }

    pub(crate) fn choose(&mut self, prefix: &[u64], now: Millis) -> usize {
        let prefix = if self.policy == Policy::Full {
            prefix
        } else {
            &[]
        };
        match self.policy {
            Policy::Random => self.rng.random_range(0..TARGETS),
            Policy::LeastLoaded => {
                let least = |target: &usize| self.reported[*target];
                (0..TARGETS).min_by_key(least).expect("there are targets")
            }
            Policy::Load | Policy::Full => {
                let target = self.router.choose(&request(prefix), now)[0].target;
                self.router.record_sent(target, &request(prefix), now);
                target.index()
            }
        }
    }

    pub(crate) fn ended(&mut self, target: usize) {
        self.router.record_end(Target::from_index(target));
    }

    pub(crate) fn cache_event(&mut self, target: usize, prefix: u64, stored: bool) {
        let target = Target::from_index(target);
        if stored {
            self.router.record_cached(target, prefix);
        } else {
            self.router.record_evicted(target, prefix);
        }
    }
}
