//! Fixtures shared by several topics.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use yuccaseam_base::{
    FailureDomain,
    Region,
    TargetName, //
};
use yuccaseam_serving::{
    balance::{
        Balancer,
        Location, //
    },
    targets::TargetRecord,
};

/// An engine with 8 slots.
pub(crate) fn target(number: u16, domain: &str) -> TargetRecord {
    TargetRecord {
        name: TargetName(format!("engine-{number}")),
        service: "llm".to_owned(),
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 8_000)),
        domain: FailureDomain::from(domain),
        slots: 8,
        started_at: 1,
        number: 1,
        draining: false,
        left: false,
    }
}

/// The balancer of an entry in a failure domain of a system of two regions.
pub(crate) fn balancer(domain: &str) -> Balancer {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let regions: BTreeMap<_, _> = regions
        .into_iter()
        .map(|(domain, region)| (FailureDomain::from(domain), Region::from(region)))
        .collect();
    let domain = FailureDomain::from(domain);
    Balancer::new(Location {
        region: regions[&domain].clone(),
        domain,
        regions,
    })
}
