//! Joining, leaving, failure detection and refutation.

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

fn converges(count: usize, regions: usize, loss_permille: u32) {
    let mut net = Net::new(count, regions, 5);
    net.loss_permille = loss_permille;
    assert!(net.run_until(Millis::from_secs(60), Net::has_converged));
}

cases! { converges:
    nine_daemons_join_through_seed(9, 2, 0);
    nine_daemons_join_despite_packet_loss(9, 2, 200);
    fifty_daemons_join_despite_packet_loss(50, 5, 100);
}

#[test]
fn daemon_without_seeds_is_joined_immediately() {
    let local = instance(0, 1, 1);
    let seeds = vec![local.address.clone()];
    let fleet = Fleet::new(FleetConfig::default(), local, seeds, 1, Millis::ZERO);
    assert!(fleet.is_joined());
}

#[test]
fn stopped_daemon_is_declared_dead_by_all() {
    let mut net = Net::new(20, 2, 6);
    assert!(net.run_until(Millis::from_secs(60), Net::has_converged));
    net.stop(7);
    assert!(net.run_until(Millis::from_secs(30), |net| {
        net.all_have_status(7, Status::Dead)
    }));
    let others_alive = (0..20).filter(|&number| number != 7);
    assert!(
        others_alive
            .clone()
            .all(|number| net.all_have_status(number, Status::Alive))
    );
}

#[test]
fn leaving_status_reaches_all_within_3_s() {
    let mut net = Net::new(20, 2, 7);
    assert!(net.run_until(Millis::from_secs(60), Net::has_converged));
    net.handle(3, Event::Leave);
    assert!(net.run_until(Millis::from_secs(3), |net| {
        net.all_have_status(3, Status::Leaving)
    }));
}

#[test]
fn restarted_daemon_supersedes_its_previous_incarnation() {
    let mut net = Net::new(9, 2, 8);
    assert!(net.run_until(Millis::from_secs(60), Net::has_converged));
    net.stop(4);
    net.start(4, 2);
    assert!(!net.node(4).is_joined());
    assert!(net.run_until(Millis::from_secs(30), |net| {
        let name = InstanceName::from("instance-4");
        let restarted = |node: &Fleet| node.instance(&name).is_some_and(|r| r.incarnation >= 2);
        net.has_converged() && net.running().all(|(_, node)| restarted(node))
    }));
}

#[test]
fn daemon_refutes_suspicion_of_itself() {
    let mut net = Net::new(9, 1, 9);
    assert!(net.run_until(Millis::from_secs(60), Net::has_converged));
    // A second network produces the packet that claims instance 2 is suspect.
    let mut other = Net::new(9, 1, 9);
    assert!(other.run_until(Millis::from_secs(60), Net::has_converged));
    other.stop(2);
    assert!(other.run_until(Millis::from_secs(30), |net| {
        net.all_have_status(2, Status::Suspect)
    }));
    let before = net.node(2).local().incarnation;
    // A daemon that already probes instance 2 does not probe it again.
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
    assert!(node.local().incarnation > before);
    assert_eq!(node.local().status, Status::Alive);
}

#[test]
fn malformed_packets_are_rejected() {
    let mut net = Net::new(1, 1, 1);
    let node = net.nodes[0].as_mut().unwrap();
    for len in 0..40 {
        node.receive(&vec![0xff; len], Millis(1)).unwrap_err();
    }
}
