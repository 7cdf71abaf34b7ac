//! Slow daemons, frozen ones, and regions that lose each other.

use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName, //
};
use yuccaseam_fleet::{
    Action,
    Status,
    TargetState, //
};

use crate::net::{
    Net,
    target, //
};

fn whole(count: usize, regions: usize, seed: u64) -> Net {
    let mut net = Net::new(count, regions, seed);
    assert!(net.run_until(Millis::from_secs(60), Net::is_whole));
    net.seen.clear();
    net
}

/// Who was held dead by somebody.
fn held_dead(net: &Net) -> Vec<InstanceName> {
    let dead = net.seen.iter().filter_map(|(_, action)| match action {
        Action::InstanceChanged(record) if record.status == Status::Dead => Some(&record.name),
        _ => None,
    });
    dead.cloned().collect()
}

#[test]
fn a_slow_daemon_is_suspect_but_not_held_dead() {
    let mut net = whole(20, 2, 1);
    for _ in 0..10 {
        net.frozen.insert(5);
        net.run(Millis(2_500));
        net.frozen.remove(&5);
        net.run(Millis(1_500));
    }
    assert_eq!(held_dead(&net), []);
    assert!(net.run_until(Millis::from_secs(10), Net::is_whole));
}

#[test]
fn a_frozen_daemon_accuses_nobody_when_it_wakes() {
    let mut net = whole(9, 1, 2);
    net.frozen.insert(5);
    net.run(Millis::from_secs(60));
    assert!(net.all_see(5, Status::Dead) || !net.is_whole());
    net.seen.clear();
    net.frozen.remove(&5);
    assert!(net.run_until(Millis::from_secs(20), Net::is_whole));
    let accused = held_dead(&net)
        .into_iter()
        .filter(|name| name.as_str() != "instance-5");
    assert_eq!(accused.count(), 0);
}

#[test]
fn a_daemon_that_was_stopped_for_a_while_blames_nobody_for_it() {
    let mut net = whole(9, 1, 2);
    let announcement = target(1, 0);
    net.renew_at(5, announcement);
    net.run(Millis::from_secs(5));
    net.seen.clear();
    for _ in 0..20 {
        net.frozen.insert(5);
        net.run(Millis(3_300));
        net.frozen.remove(&5);
        net.run(Millis::from_secs(5));
    }
    let blamed = net.seen.iter().filter(|(number, action)| match action {
        Action::InstanceChanged(record) => *number == 5 && record.status != Status::Alive,
        Action::TargetChanged(record) => record.state != TargetState::Live,
        _ => false,
    });
    assert_eq!(blamed.collect::<Vec<_>>(), [] as [&(usize, Action); 0]);
}

#[test]
fn a_few_lost_packets_hold_nobody_dead() {
    let mut net = whole(30, 3, 3);
    net.loss_permille = 50;
    net.run(Millis::from_secs(120));
    assert_eq!(held_dead(&net), []);
}

#[test]
fn a_region_that_was_cut_off_comes_back() {
    let mut net = whole(18, 3, 4);
    let near = target(1, 0);
    let far = target(2, 1);
    net.renew_at(0, near.clone());
    net.renew_at(1, far.clone());
    let live = |net: &Net, name: &TargetName| net.all_see_target(name, TargetState::Live);
    assert!(net.run_until(Millis::from_secs(5), |net| live(net, &far.name)));
    net.cut.insert(1);
    let cut_off = |net: &Net| {
        let (here, there) = (net.node(0), net.node(1));
        here.target(&far.name).is_none() && there.target(&near.name).is_none()
    };
    assert!(net.run_until(Millis::from_secs(240), cut_off));
    assert_eq!(
        net.node(0).target(&near.name).unwrap().state,
        TargetState::Live
    );
    assert_eq!(
        net.node(1).target(&far.name).unwrap().state,
        TargetState::Live
    );
    net.run(Millis::from_secs(600));

    net.seen.clear();
    net.cut.clear();
    assert!(net.run_until(Millis::from_secs(60), |net| {
        net.is_whole() && live(net, &near.name) && live(net, &far.name)
    }));
    // Neither side believes what the other one held of its own daemons.
    let own_region_dead = net.seen.iter().filter(|(number, action)| match action {
        Action::InstanceChanged(record) if record.status == Status::Dead => {
            record.region == net.node(*number).me().region
        }
        _ => false,
    });
    assert_eq!(own_region_dead.count(), 0);
}
