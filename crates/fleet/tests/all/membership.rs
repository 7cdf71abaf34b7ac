//! Joining, leaving, and being told to be dead.

use yuccaseam_base::{
    InstanceName,
    Millis,
    cases, //
};
use yuccaseam_fleet::{
    Action,
    Event,
    Fleet,
    FleetConfig,
    Status, //
};

use crate::net::{
    Net,
    instance, //
};

fn joins(count: usize, regions: usize, loss_permille: u32) {
    let mut net = Net::new(count, regions, 5);
    net.loss_permille = loss_permille;
    assert!(net.run_until(Millis::from_secs(60), Net::is_whole));
}

cases! { joins:
    nine_daemons_join_through_a_seed(9, 2, 0);
    nine_daemons_join_though_packets_are_lost(9, 2, 200);
    fifty_daemons_join_though_packets_are_lost(50, 5, 100);
}

#[test]
fn a_daemon_alone_is_joined_at_once() {
    let me = instance(0, 1, 1);
    let seeds = vec![me.address.clone()];
    let fleet = Fleet::new(FleetConfig::default(), me, seeds, 1, Millis::ZERO);
    assert!(fleet.is_joined());
}

#[test]
fn a_daemon_that_stops_is_found_dead_by_all() {
    let mut net = Net::new(20, 2, 6);
    assert!(net.run_until(Millis::from_secs(60), Net::is_whole));
    net.stop(7);
    assert!(net.run_until(Millis::from_secs(30), |net| net.all_see(7, Status::Dead)));
    let others_alive = (0..20).filter(|&number| number != 7);
    assert!(
        others_alive
            .clone()
            .all(|number| net.all_see(number, Status::Alive))
    );
}

#[test]
fn a_daemon_that_leaves_is_known_to_all_within_3_s() {
    let mut net = Net::new(20, 2, 7);
    assert!(net.run_until(Millis::from_secs(60), Net::is_whole));
    net.handle(3, Event::Leave);
    assert!(net.run_until(Millis::from_secs(3), |net| net.all_see(3, Status::Leaving)));
}

#[test]
fn a_daemon_that_starts_again_replaces_its_earlier_life() {
    let mut net = Net::new(9, 2, 8);
    assert!(net.run_until(Millis::from_secs(60), Net::is_whole));
    net.stop(4);
    net.start(4, 2);
    assert!(!net.node(4).is_joined());
    assert!(net.run_until(Millis::from_secs(30), |net| {
        let name = InstanceName::from("instance-4");
        let restarted = |node: &Fleet| node.instance(&name).is_some_and(|r| r.incarnation >= 2);
        net.is_whole() && net.running().all(|(_, node)| restarted(node))
    }));
}

#[test]
fn a_daemon_refutes_that_it_is_suspect() {
    let mut net = Net::new(9, 1, 9);
    assert!(net.run_until(Millis::from_secs(60), Net::is_whole));
    // A second network tells instance 2 what it has been told to be.
    let mut other = Net::new(9, 1, 9);
    assert!(other.run_until(Millis::from_secs(60), Net::is_whole));
    other.stop(2);
    assert!(other.run_until(Millis::from_secs(30), |net| net.all_see(2, Status::Suspect)));
    let before = net.node(2).me().incarnation;
    // One that probes it already does not probe it again.
    let name = InstanceName::from("instance-2");
    let now = other.now;
    let ping = other.nodes.iter_mut().flatten().find_map(|node| {
        let actions = node.handle(Event::PeerFailed(name.clone()), now);
        actions.into_iter().find_map(|action| match action {
            Action::Send { packet, .. } => Some(packet),
            _ => None,
        })
    });
    let now = net.now;
    let node = net.nodes[2].as_mut().unwrap();
    node.receive(&ping.unwrap(), now).unwrap();
    assert!(node.me().incarnation > before);
    assert_eq!(node.me().status, Status::Alive);
}

#[test]
fn bytes_that_are_no_packet_are_refused() {
    let mut net = Net::new(1, 1, 1);
    let node = net.nodes[0].as_mut().unwrap();
    for len in 0..40 {
        node.receive(&vec![0xff; len], Millis(1)).unwrap_err();
    }
}
