//! Seeded random schedules: lost, doubled, reordered and delayed messages, cuts, crashes with
//! unsynced loss, freezes, lost disks, snapshots and changes of the group.

use rand::Rng;
use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_quorum::{
    Change,
    Core,
    DiskId,
    Event,
    Membership,
    Standing, //
};

use crate::group::{
    Group,
    Net, //
};

/// The simulated time of one schedule before everything is mended.
const TROUBLE: Millis = Millis::from_secs(60);

fn schedule(size: u64, seed: u64) {
    let mut group = Group::new(size, seed);
    group.snapshot_every = 40;
    group.sync_chance = group.rng.random_range(0.05..1.0);
    group.net = Net {
        loss: group.rng.random_range(0.0..0.15),
        doubled: 0.05,
        slow: group.rng.random_range(0.0..0.05),
        ..Net::default()
    };
    while group.now < TROUBLE {
        load(&mut group);
        if group.rng.random_bool(0.03) {
            trouble(&mut group);
        }
        if group.rng.random_bool(0.005) {
            calm(&mut group);
        }
        if group.rng.random_bool(0.05) {
            repair(&mut group);
        }
        group.pass();
    }
    mend(&mut group);
}

fn any(group: &mut Group) -> usize {
    group.rng.random_range(0..group.replicas.len())
}

/// Writes pause for this long after each such time, so that replicas that are cut off from the
/// leader alone have logs that are up to date.
const QUIET: Millis = Millis(3_000);

/// A few writes and reads, mostly at the leader.
fn load(group: &mut Group) {
    let mut at = any(group);
    if group.rng.random_bool(0.8) {
        at = group.leader().unwrap_or(at);
    }
    if group.replicas[at].frozen {
        return;
    }
    let quiet = group.now.0 / QUIET.0 % 2 == 1;
    if !quiet && group.rng.random_bool(0.3) {
        let count = group.rng.random_range(1..4);
        group.propose(at, count);
    }
    if group.rng.random_bool(0.2) {
        group.read(at);
    }
}

fn trouble(group: &mut Group) {
    let at = any(group);
    let other = any(group);
    match group.rng.random_range(0..10) {
        0 => group.crash(at),
        1..=3 if group.core(at).is_none() => group.restart(at),
        1 => {
            group.crash(at);
            group.restart(at);
        }
        2 | 3 => group.replicas[at].frozen ^= true,
        4 if at != other => {
            group.cuts.insert((at, other));
        }
        5 => group.isolate(at),
        9 if at != other => group.cut_both(at, other),
        6 => group.cuts.clear(),
        7 | 8 => lose_disk(group, at),
        _ => {
            if let Some(leader) = group.leader() {
                group.step(leader, Event::HandOver);
            }
        }
    }
}

/// Loses a disk, unless that would leave fewer than a majority of the committed group.
fn lose_disk(group: &mut Group, at: usize) {
    let initial: Membership = group.replicas[0].disk.synced.snapshot.membership.clone();
    let membership = group.checks.membership().unwrap_or(&initial);
    let whole = membership
        .voters()
        .all(|id| group.replicas.iter().any(|replica| replica.id == id));
    if whole && membership.voters().count() == group.replicas.len() {
        group.lose_disk(at);
    }
}

/// What an operator does about disks that are no voters.
fn repair(group: &mut Group) {
    let Some(leader) = group.leader() else {
        return;
    };
    let membership = group.core(leader).expect("it leads").membership().clone();
    let at = any(group);
    let (id, name) = (group.replicas[at].id, group.replicas[at].name.clone());
    let change = match membership.get(id).map(|member| member.standing) {
        None => Change::AddLearner { id, name },
        Some(Standing::Voter) => return,
        Some(Standing::Learner) => match membership.voter_named(&name) {
            Some(old) => Change::Replace { old, new: id },
            None => Change::Promote(id),
        },
    };
    group.change(leader, change);
}

/// Starts, thaws and joins every replica.
fn calm(group: &mut Group) {
    group.cuts.clear();
    for at in 0..group.replicas.len() {
        group.replicas[at].frozen = false;
        if group.core(at).is_none() {
            group.restart(at);
        }
    }
}

/// Ends all trouble: every replica becomes a voter, and all agree on one more write.
fn mend(group: &mut Group) {
    calm(group);
    group.net = Net::default();
    let end = group.now + Millis::from_secs(60);
    while !all_vote(group) {
        assert!(group.now < end, "the group is not whole again");
        repair(group);
        group.run(Millis(100));
    }
    group.write();
    let last = group.checks.last_acknowledged();
    group.until("every replica applied the last write", |group| {
        group.replicas.iter().all(|replica| replica.applied >= last)
    });
    group.check_states();
}

fn all_vote(group: &Group) -> bool {
    let ids: Vec<DiskId> = group.replicas.iter().map(|replica| replica.id).collect();
    group
        .leader()
        .and_then(|at| group.core(at))
        .map(Core::membership)
        .is_some_and(|membership| ids.iter().all(|&id| membership.is_voter(id)))
}

fn schedules(size: u64, first: u64, last: u64) {
    for seed in first..=last {
        println!("size {size}, seed {seed}");
        schedule(size, seed);
    }
}

cases! { schedules:
    three_replicas_a(3, 1, 40);
    three_replicas_b(3, 41, 80);
    five_replicas_a(5, 1, 25);
    five_replicas_b(5, 26, 50);
}
