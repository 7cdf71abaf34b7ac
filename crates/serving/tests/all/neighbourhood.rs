//! Which entries tell each other of every request, in small and in large regions.

use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        Ipv4Addr, //
    },
};

use yuccaseam_base::{
    FailureDomain,
    Region,
    cases, //
};
use yuccaseam_serving::neighbourhood::Neighbourhoods;

/// Neighbours of the first entry of a1, where the failure domains a1 and a2 of one region and b1 of
/// another have this many entries each.
fn has_neighbours(of_each: u8, expected: usize, whole_region: bool) {
    let domains = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let regions: BTreeMap<_, _> = domains
        .iter()
        .map(|(domain, region)| (FailureDomain::from(*domain), Region::from(*region)))
        .collect();
    let entries: Vec<_> = (0..3)
        .flat_map(|domain| (0..of_each).map(move |number| (domain, number)))
        .map(|(domain, number)| {
            let ip = IpAddr::V4(Ipv4Addr::new(10, domain, 0, number));
            (ip, FailureDomain::from(domains[usize::from(domain)].0))
        })
        .collect();
    let (ip, domain) = &entries[0];
    let neighbourhood = Neighbourhoods::new(&entries, &regions).of(*ip, domain);
    assert_eq!(neighbourhood.ips.len(), expected);
    assert_eq!(neighbourhood.whole_region, whole_region);
    assert!(!neighbourhood.ips.contains(ip));
}

cases! { has_neighbours:
    entries_of_a_small_region_are_all_neighbours(3, 5, true);
    entries_of_a_grown_region_are_all_neighbours(16, 31, true);
    in_a_large_region_those_of_a_failure_domain_are(17, 16, false);
}
