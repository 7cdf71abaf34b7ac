//! Helpers that create targets, requests and a router.

use yuccaseam_base::{
    EntityKey,
    Millis, //
};
use yuccaseam_route::{
    Candidate,
    Choice,
    Circuit,
    Domain,
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

pub(crate) const HERE: usize = 0;
pub(crate) const THERE: usize = 1;
pub(crate) const NOW: Millis = Millis(100_000);

pub(crate) fn target(index: usize) -> Target {
    Target::from_index(index)
}

pub(crate) fn region(index: usize) -> Zone {
    Zone::from_index(index)
}

pub(crate) fn place(zone: usize, domain: usize) -> Place {
    Place {
        region: region(zone),
        domain: Domain::from_index(domain),
    }
}

pub(crate) fn candidate(index: usize, place: Place, busy: u32) -> Candidate {
    Candidate {
        target: target(index),
        model: Model::from_index(0),
        place,
        liveness: Liveness::Live,
        circuit: Circuit::Closed,
        slots: 10,
        load: Some(ReportedLoad {
            busy,
            age: Millis::ZERO,
        }),
    }
}

pub(crate) fn router(seed: u64) -> Router {
    Router::new(Settings {
        place: place(HERE, 0),
        fallbacks: 3,
        prefixes: 1_000,
        seed,
    })
}

/// Creates a router with one target of its own failure domain for each of these loads.
pub(crate) fn with_loads(seed: u64, loads: &[u32]) -> Router {
    let mut router = router(seed);
    for (index, busy) in loads.iter().enumerate() {
        router.update(candidate(index, place(HERE, 0), *busy), NOW);
    }
    router
}

pub(crate) fn online(prefix: &[u64]) -> Request<'_> {
    Request {
        model: Model::from_index(0),
        prefix,
        traffic: Traffic::Online,
        bytes: 1_000,
    }
}

pub(crate) fn batch(may_leave: bool) -> Request<'static> {
    Request {
        traffic: Traffic::Batch { may_leave },
        ..online(&[])
    }
}

pub(crate) fn targets(choices: &[Choice]) -> Vec<Target> {
    choices.iter().map(|choice| choice.target).collect()
}
