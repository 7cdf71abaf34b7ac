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

pub(crate) const HERE: usize = 0;
pub(crate) const THERE: usize = 1;
pub(crate) const NOW: Millis = Millis(100_000);

pub(crate) fn target(index: usize) -> Target {
    Target::from_index(index)
}

pub(crate) fn region(index: usize) -> RegionKey {
    RegionKey::from_index(index)
}

pub(crate) fn location(zone: usize, domain: usize) -> Location {
    Location {
        region: region(zone),
        domain: Domain::from_index(domain),
    }
}

pub(crate) fn candidate(index: usize, location: Location, busy: u32) -> Candidate {
    Candidate {
        target: target(index),
        model: Model::from_index(0),
        location,
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
        location: location(HERE, 0),
        max_choices: 3,
        prefix_capacity: 1_000,
        seed,
    })
}

/// Creates a router with one target of its own failure domain for each of these loads.
pub(crate) fn with_loads(seed: u64, loads: &[u32]) -> Router {
    let mut router = router(seed);
    for (index, busy) in loads.iter().enumerate() {
        router.update(candidate(index, location(HERE, 0), *busy), NOW);
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

pub(crate) fn batch(can_leave_region: bool) -> Request<'static> {
    Request {
        traffic: Traffic::Batch { can_leave_region },
        ..online(&[])
    }
}

pub(crate) fn targets(choices: &[Choice]) -> Vec<Target> {
    choices.iter().map(|choice| choice.target).collect()
}
