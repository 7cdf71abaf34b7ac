//! Measures the cost of failures at the design size: a restart, a lost failure domain, a region
//! partition.
//!
//! Run `cargo run --release -p yuccaseam-fleet --example fleet_failures [DAEMONS TARGETS]`. All
//! daemons run in one loop on a simulated clock. Each figure is one line of JSON.

mod net;

use std::env;

use net::{
    DOMAINS,
    Net, //
};
use yuccaseam_base::{
    InstanceName,
    Millis,
    Region, //
};
use yuccaseam_fleet::{
    Status,
    TargetState, //
};

const SETTLE_TIME: Millis = Millis::from_secs(120);
const TIMEOUT: Millis = Millis::from_secs(300);

/// Duration of the region partition. A longer one gives the same figures.
const PARTITION_TIME: Millis = Millis::from_secs(300);

fn main() {
    let mut args = env::args()
        .skip(1)
        .map(|arg| arg.parse().expect("arguments are numbers"));
    let daemons = args.next().unwrap_or(320);
    let targets = args.next().unwrap_or(2_200);
    let mut net = Net::new(daemons, targets);
    net.run(SETTLE_TIME);
    restart(&mut net);
    fail_domain(&mut net);
    partition_region(&mut net);
}

/// Restarts one daemon without delay.
fn restart(net: &mut Net) {
    let number = net.nodes.len() / 2;
    net.reset();
    net.restart(number);
    let joined = net.run_until(TIMEOUT, |net| net.nodes[number].is_joined());
    net.report_figure("restart_joined", joined.0 as f64, "ms");
    let received = net.sent.received.get(&number).copied().unwrap_or_default();
    net.report_figure("restart_received", received as f64, "bytes");
    net.run(SETTLE_TIME);
}

/// Stops and restarts all daemons of one failure domain.
fn fail_domain(net: &mut Net) {
    let lost: Vec<_> = (0..net.nodes.len()).filter(|n| n % DOMAINS == 4).collect();
    let names: Vec<_> = lost
        .iter()
        .map(|&n| net.nodes[n].local().name.clone())
        .collect();
    let owned = net.nodes[0]
        .targets()
        .filter(|target| {
            net.nodes[0]
                .owner_of(target.name())
                .is_some_and(|o| names.contains(&o.name))
        })
        .count();
    net.report_figure("domain_targets_with_new_owner", owned as f64, "1");
    net.down.extend(&lost);
    net.reset();
    let time = net.run_until(TIMEOUT, |net| all_have_status(net, &names, Status::Dead));
    net.report_figure("domain_known_dead_by_all", time.0 as f64, "ms");
    let live = net.run_until(TIMEOUT, all_live);
    net.report_figure(
        "domain_targets_live_again_after",
        (time + live).0 as f64,
        "ms",
    );
    net.report_traffic("domain", time + live);
    lost.iter().for_each(|&number| net.restart(number));
    net.reset();
    let time = net.run_until(TIMEOUT, |net| all_have_status(net, &names, Status::Alive));
    net.report_figure("domain_known_alive_by_all", time.0 as f64, "ms");
    net.run(SETTLE_TIME);
}

/// Partitions one region from all others, and heals the partition.
fn partition_region(net: &mut Net) {
    let region = net.nodes[1].local().region.clone();
    net.partitioned = Some(region.clone());
    net.reset();
    let time = net.run_until(TIMEOUT, |net| sides_are_partitioned(net, &region));
    net.report_figure("cut_known_by_all", time.0 as f64, "ms");
    net.report_traffic("cut", time);
    net.run(PARTITION_TIME - time);
    net.partitioned = None;
    net.reset();
    let names: Vec<_> = net
        .nodes
        .iter()
        .map(|node| node.local().name.clone())
        .collect();
    let time = net.run_until(TIMEOUT, |net| all_have_status(net, &names, Status::Alive));
    net.report_figure("heal_instances", time.0 as f64, "ms");
    let live = net.run_until(TIMEOUT, all_live);
    net.report_figure("heal_targets", (time + live).0 as f64, "ms");
    net.report_traffic("heal", time + live);
}

fn all_have_status(net: &Net, names: &[InstanceName], status: Status) -> bool {
    net.running().all(|node| {
        names
            .iter()
            .all(|name| node.instance(name).is_some_and(|r| r.status == status))
    })
}

/// Whether all targets are live in every running daemon's view.
fn all_live(net: &Net) -> bool {
    net.running().all(|node| {
        let live = node
            .targets()
            .filter(|target| target.state == TargetState::Live);
        live.count() == net.targets.len()
    })
}

/// Whether the daemons of each side consider all daemons of the other side dead.
fn sides_are_partitioned(net: &Net, region: &Region) -> bool {
    net.running().all(|node| {
        let own_side = node.local().region == *region;
        node.instances()
            .all(|record| (record.region == *region) == own_side || record.status == Status::Dead)
    })
}
