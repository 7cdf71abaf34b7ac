//! What the leader of a large fleet sends while the loads of all targets change.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::{
        IpAddr,
        Ipv4Addr, //
    },
};

use yuccaseam_base::{
    FailureDomain,
    Millis,
    cases, //
};
use yuccaseam_serving::{
    balance::Load,
    load_fanout::{
        CurrentLoads, //
        LoadFanout,
        LoadGroup,
    },
    targets::TargetKey,
};

const DOMAINS: usize = 6;
const TICK: Millis = Millis(40);

fn domain(number: usize) -> FailureDomain {
    FailureDomain(format!("domain-{}", number % DOMAINS))
}

fn group(number: usize) -> LoadGroup {
    vec![IpAddr::V4(Ipv4Addr::new(10, 0, 0, number as u8))]
}

fn online(count: u32) -> Load {
    Load {
        online: count,
        batch: 0,
    }
}

struct Leader {
    fanout: LoadFanout,
    all: BTreeMap<TargetKey, Load>,
    domains: HashMap<TargetKey, FailureDomain>,
    followers: usize,
    now: Millis,
}

impl Leader {
    fn new(followers: usize, targets: usize) -> Self {
        let keys = (0..targets).map(|number| TargetKey(number as u64));
        Self {
            fanout: LoadFanout::default(),
            all: BTreeMap::new(),
            domains: keys
                .enumerate()
                .map(|(number, key)| (key, domain(number)))
                .collect(),
            followers,
            now: Millis(1_000),
        }
    }

    fn changes(&mut self, of: usize, known: &[(TargetKey, u32)]) -> Vec<(TargetKey, Load)> {
        let current = CurrentLoads {
            all: &self.all,
            domains: &self.domains,
            followers: self.followers,
            now: self.now,
        };
        let own = domain(of);
        self.fanout.changes(&group(of), known, Some(&own), &current)
    }
}

/// For one second, the load of each target changes at each tick. Returns the loads sent to one entry, per
/// target.
fn sent_per_target(followers: usize, targets: usize) -> usize {
    let mut leader = Leader::new(followers, targets);
    let mut sent = 0;
    for tick in 0..25 {
        for target in 0..targets {
            let load = online(1 + (tick + target as u32) % 4);
            leader.all.insert(TargetKey(target as u64), load);
        }
        sent += leader.changes(0, &[]).len();
        leader.now += TICK;
    }
    sent / targets
}

fn sends_at_most(followers: usize, targets: usize, most: usize) {
    let sent = sent_per_target(followers, targets);
    assert!(sent <= most, "{sent} loads a second and target");
}

cases! { sends_at_most:
    thirty_entries_get_every_change(30, 60, 25);
    hundred_entries_get_a_third(100, 1_000, 8);
    three_hundred_entries_get_a_third(300, 3_000, 8);
}

/// However rarely they are sent, loads of other failure domains arrive in the end, and so does their end.
#[test]
fn far_loads_arrive_late_and_in_steps() {
    let mut leader = Leader::new(300, 12);
    let (near, far) = (TargetKey(0), TargetKey(1));
    leader.changes(0, &[]);
    leader.now += TICK;
    leader.all = [(near, online(3)), (far, online(3))].into();
    assert_eq!(leader.changes(0, &[]), [(near, online(3))]);
    leader.now += Millis(200);
    assert_eq!(leader.changes(0, &[]), [(far, online(4))]);
    leader.now += Millis(200);
    leader.all.insert(far, online(4));
    assert_eq!(leader.changes(0, &[]), []);
    leader.all.clear();
    leader.now += TICK;
    assert_eq!(leader.changes(0, &[]), [(near, Load::default())]);
    leader.now += Millis(200);
    assert_eq!(leader.changes(0, &[]), [(far, Load::default())]);
}

#[test]
fn requests_that_neighbours_know_are_left_out() {
    let mut leader = Leader::new(9, 2);
    leader.all = [(TargetKey(0), online(5)), (TargetKey(1), online(2))].into();
    let known = [(TargetKey(0), 4), (TargetKey(1), 2)];
    assert_eq!(leader.changes(0, &known), [(TargetKey(0), online(1))]);
}

/// An entry that comes later, or from another group, ends up with what the others have.
#[test]
fn follower_that_joins_a_group_gets_its_loads() {
    let mut leader = Leader::new(9, 4);
    leader.all = [(TargetKey(0), online(5)), (TargetKey(1), online(2))].into();
    leader.changes(0, &[]);
    leader.changes(1, &[(TargetKey(0), 5)]);
    let joined = leader.fanout.joined(&group(0), None);
    assert_eq!(
        joined,
        [(TargetKey(0), online(5)), (TargetKey(1), online(2))]
    );
    let moved = leader.fanout.joined(&group(1), Some(&group(0)));
    assert_eq!(
        moved,
        [(TargetKey(0), Load::default()), (TargetKey(1), online(2))]
    );
}
