//! Owner selection.

use std::collections::BTreeMap;

use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName, //
};
use yuccaseam_fleet::{
    Event,
    Status, //
};

use crate::net::{
    Net,
    target, //
};

type Owned = BTreeMap<TargetName, InstanceName>;

fn owned(net: &Net, number: usize) -> Owned {
    let node = net.node(number);
    let owner = |name: &TargetName| node.owner_of(name).map(|record| record.name.clone());
    let records = node.targets();
    records
        .filter_map(|record| Some((record.name().clone(), owner(record.name())?)))
        .collect()
}

fn with_targets(count: usize, regions: usize, targets: usize) -> Net {
    let mut net = Net::new(count, regions, 21);
    assert!(net.run_until(Millis::from_secs(60), Net::has_converged));
    for number in 0..targets {
        net.renew_at(number % count, target(number, number % regions));
    }
    net.run(Millis::from_secs(20));
    net
}

fn owners_agree(net: &Net) -> bool {
    let first = owned(net, 0);
    net.running().all(|(number, _)| owned(net, number) == first)
}

#[test]
fn owners_are_in_the_failure_domain_of_their_targets() {
    let net = with_targets(18, 2, 60);
    assert!(owners_agree(&net));
    let node = net.node(0);
    let mut owners = BTreeMap::new();
    for record in node.targets() {
        let owner = node.owner_of(record.name()).unwrap();
        assert_eq!(owner.domain, record.announcement.domain);
        *owners.entry(owner.name.clone()).or_insert(0) += 1;
    }
    assert!(owners.len() > 12, "{owners:?}");
}

#[test]
fn dead_daemon_moves_only_its_own_targets() {
    let mut net = with_targets(18, 2, 60);
    let before = owned(&net, 0);
    net.stop(7);
    assert!(net.run_until(Millis::from_secs(30), |net| {
        net.all_have_status(7, Status::Dead)
    }));
    let after = owned(&net, 0);
    let lost = InstanceName::from("instance-7");
    for (name, owner) in &after {
        assert_ne!(*owner, lost);
        assert!(before[name] == *owner || before[name] == lost);
    }
    assert_eq!(after.len(), 60);
}

#[test]
fn leaving_daemon_releases_its_targets_within_3_s() {
    let mut net = with_targets(18, 2, 60);
    net.handle(4, Event::Leave);
    let leaving = InstanceName::from("instance-4");
    assert!(net.run_until(Millis::from_secs(3), |net| {
        owners_agree(net) && owned(net, 0).values().all(|owner| *owner != leaving)
    }));
}

#[test]
fn targets_of_lost_failure_domain_are_owned_within_region() {
    let mut net = with_targets(18, 2, 60);
    let domain = target(0, 0).domain;
    let lost: Vec<_> = net
        .running()
        .filter(|(_, node)| node.local().domain == domain)
        .map(|(number, _)| number)
        .collect();
    lost.iter().for_each(|&number| net.stop(number));
    let seed = (0..18).find(|number| !lost.contains(number)).unwrap();
    net.run(Millis::from_secs(30));
    let node = net.node(seed);
    for record in node
        .targets()
        .filter(|record| record.announcement.domain == domain)
    {
        let owner = node.owner_of(record.name()).unwrap();
        assert_eq!(owner.region, record.announcement.region);
    }
}
