//! Sizes of neighbourhoods in small and in large regions.

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

/// Checks the neighbours of the first entry of a1. The failure domains a1 and a2 of one region and
/// b1 of another have `of_each` entries each.
fn check_neighbourhood(entries_per_domain: u8, expected: usize, whole_region: bool) {
    let domains = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let regions: BTreeMap<_, _> = domains
        .iter()
        .map(|(domain, region)| (FailureDomain::from(*domain), Region::from(*region)))
        .collect();
    let entries: Vec<_> = (0..3)
        .flat_map(|domain| (0..entries_per_domain).map(move |number| (domain, number)))
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

cases! { check_neighbourhood:
    all_entries_of_a_small_region_are_neighbours(3, 5, true);
    all_entries_of_a_grown_region_are_neighbours(16, 31, true);
    only_entries_of_one_domain_are_neighbours_in_a_large_region(17, 16, false);
}
