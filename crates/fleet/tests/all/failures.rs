//! Slow and frozen daemons, packet loss and region partitions.

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

fn converged(count: usize, regions: usize, seed: u64) -> Net {
    let mut net = Net::new(count, regions, seed);
    assert!(net.run_until(Millis::from_secs(60), Net::has_converged));
    net.recorded.clear();
    net
}

/// Names of the instances that any daemon declared dead.
fn declared_dead(net: &Net) -> Vec<InstanceName> {
    let dead = net.recorded.iter().filter_map(|(_, action)| match action {
        Action::InstanceChanged(record) if record.status == Status::Dead => Some(&record.name),
        _ => None,
    });
    dead.cloned().collect()
}

#[test]
fn slow_daemon_is_suspected_but_not_declared_dead() {
    let mut net = converged(20, 2, 1);
    for _ in 0..10 {
        net.frozen.insert(5);
        net.run(Millis(2_500));
        net.frozen.remove(&5);
        net.run(Millis(1_500));
    }
    assert_eq!(declared_dead(&net), []);
    assert!(net.run_until(Millis::from_secs(10), Net::has_converged));
}

#[test]
fn frozen_daemon_declares_no_peer_dead_on_resume() {
    let mut net = converged(9, 1, 2);
    net.frozen.insert(5);
    net.run(Millis::from_secs(60));
    assert!(net.all_have_status(5, Status::Dead) || !net.has_converged());
    net.recorded.clear();
    net.frozen.remove(&5);
    assert!(net.run_until(Millis::from_secs(20), Net::has_converged));
    let falsely_dead = declared_dead(&net)
        .into_iter()
        .filter(|name| name.as_str() != "instance-5");
    assert_eq!(falsely_dead.count(), 0);
}

#[test]
fn paused_daemon_suspects_no_peer_or_target_on_resume() {
    let mut net = converged(9, 1, 2);
    let announcement = target(1, 0);
    net.renew_at(5, announcement);
    net.run(Millis::from_secs(5));
    net.recorded.clear();
    for _ in 0..20 {
        net.frozen.insert(5);
        net.run(Millis(3_300));
        net.frozen.remove(&5);
        net.run(Millis::from_secs(5));
    }
    let suspected = net.recorded.iter().filter(|(number, action)| match action {
        Action::InstanceChanged(record) => *number == 5 && record.status != Status::Alive,
        Action::TargetChanged(record) => record.state != TargetState::Live,
        _ => false,
    });
    assert_eq!(suspected.collect::<Vec<_>>(), [] as [&(usize, Action); 0]);
}

#[test]
fn moderate_packet_loss_declares_no_daemon_dead() {
    let mut net = converged(30, 3, 3);
    net.loss_permille = 50;
    net.run(Millis::from_secs(120));
    assert_eq!(declared_dead(&net), []);
}

#[test]
fn partitioned_region_recovers() {
    let mut net = converged(18, 3, 4);
    let near = target(1, 0);
    let far = target(2, 1);
    net.renew_at(0, near.clone());
    net.renew_at(1, far.clone());
    let live = |net: &Net, name: &TargetName| net.all_have_target_state(name, TargetState::Live);
    assert!(net.run_until(Millis::from_secs(5), |net| live(net, &far.name)));
    net.partitioned.insert(1);
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

    net.recorded.clear();
    net.partitioned.clear();
    assert!(net.run_until(Millis::from_secs(60), |net| {
        net.has_converged() && live(net, &near.name) && live(net, &far.name)
    }));
    // Neither side accepts the other side's claims about the daemons of its own region.
    let own_region_dead = net.recorded.iter().filter(|(number, action)| match action {
        Action::InstanceChanged(record) if record.status == Status::Dead => {
            record.region == net.node(*number).local().region
        }
        _ => false,
    });
    assert_eq!(own_region_dead.count(), 0);
}
