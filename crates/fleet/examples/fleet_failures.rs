//! Measures what failures cost at the design size: a restart, a lost failure domain, a cut region.
//!
//! Run `cargo run --release -p yuccaseam-fleet --example fleet_failures [DAEMONS TARGETS]`. All
//! daemons' cores run in one loop on a simulated clock. Each figure is one JSON line.

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

const SETTLE: Millis = Millis::from_secs(120);
const BOUND: Millis = Millis::from_secs(300);

/// How long a region is cut off here. A longer cut changes nothing more.
const CUT: Millis = Millis::from_secs(300);

fn main() {
    let mut args = env::args()
        .skip(1)
        .map(|arg| arg.parse().expect("a number"));
    let daemons = args.next().unwrap_or(320);
    let targets = args.next().unwrap_or(2_200);
    let mut net = Net::new(daemons, targets);
    net.run(SETTLE);
    restart(&mut net);
    lost_domain(&mut net);
    cut_region(&mut net);
}

/// One daemon stops and comes back at once.
fn restart(net: &mut Net) {
    let number = net.nodes.len() / 2;
    net.reset();
    net.restart(number);
    let joined = net.run_until(BOUND, |net| net.nodes[number].is_joined());
    net.say("restart_joined", joined.0 as f64, "ms");
    let received = net.sent.received.get(&number).copied().unwrap_or_default();
    net.say("restart_received", received as f64, "bytes");
    net.run(SETTLE);
}

/// All daemons of one failure domain stop, and come back.
fn lost_domain(net: &mut Net) {
    let lost: Vec<_> = (0..net.nodes.len()).filter(|n| n % DOMAINS == 4).collect();
    let names: Vec<_> = lost
        .iter()
        .map(|&n| net.nodes[n].me().name.clone())
        .collect();
    let owned = net.nodes[0]
        .targets()
        .filter(|target| {
            net.nodes[0]
                .owner_of(target.name())
                .is_some_and(|o| names.contains(&o.name))
        })
        .count();
    net.say("domain_targets_with_new_owner", owned as f64, "1");
    net.down.extend(&lost);
    net.reset();
    let time = net.run_until(BOUND, |net| all_see(net, &names, Status::Dead));
    net.say("domain_known_dead_by_all", time.0 as f64, "ms");
    let live = net.run_until(BOUND, all_live);
    net.say(
        "domain_targets_live_again_after",
        (time + live).0 as f64,
        "ms",
    );
    net.say_sent("domain", time + live);
    lost.iter().for_each(|&number| net.restart(number));
    net.reset();
    let time = net.run_until(BOUND, |net| all_see(net, &names, Status::Alive));
    net.say("domain_known_alive_by_all", time.0 as f64, "ms");
    net.run(SETTLE);
}

/// One region is cut off from all others, and comes back.
fn cut_region(net: &mut Net) {
    let region = net.nodes[1].me().region.clone();
    net.cut = Some(region.clone());
    net.reset();
    let time = net.run_until(BOUND, |net| sides_are_apart(net, &region));
    net.say("cut_known_by_all", time.0 as f64, "ms");
    net.say_sent("cut", time);
    net.run(CUT - time);
    net.cut = None;
    net.reset();
    let names: Vec<_> = net
        .nodes
        .iter()
        .map(|node| node.me().name.clone())
        .collect();
    let time = net.run_until(BOUND, |net| all_see(net, &names, Status::Alive));
    net.say("heal_instances", time.0 as f64, "ms");
    let live = net.run_until(BOUND, all_live);
    net.say("heal_targets", (time + live).0 as f64, "ms");
    net.say_sent("heal", time + live);
}

fn all_see(net: &Net, names: &[InstanceName], status: Status) -> bool {
    net.running().all(|node| {
        names
            .iter()
            .all(|name| node.instance(name).is_some_and(|r| r.status == status))
    })
}

/// Whether all targets are live everywhere.
fn all_live(net: &Net) -> bool {
    net.running().all(|node| {
        let live = node
            .targets()
            .filter(|target| target.state == TargetState::Live);
        live.count() == net.targets.len()
    })
}

/// Whether all daemons of each side hold those of the other one dead.
fn sides_are_apart(net: &Net, region: &Region) -> bool {
    net.running().all(|node| {
        let own_side = node.me().region == *region;
        node.instances()
            .all(|record| (record.region == *region) == own_side || record.status == Status::Dead)
    })
}
