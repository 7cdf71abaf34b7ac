//! Seeded random schedules: lost, duplicated, reordered and delayed messages, cuts, crashes that
//! lose unsynced writes, freezes, lost disks, snapshots and membership changes.

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
    MemberRole,
    Membership, //
};

use crate::group::{
    Group,
    Net, //
};

/// Simulated time with faults, after which all faults are cleared.
const FAULT_PERIOD: Millis = Millis::from_secs(60);

fn schedule(size: u64, seed: u64) {
    let mut group = Group::new(size, seed);
    group.snapshot_every = 40;
    group.sync_chance = group.rng.random_range(0.05..1.0);
    group.net = Net {
        loss: group.rng.random_range(0.0..0.15),
        duplication: 0.05,
        slow: group.rng.random_range(0.0..0.05),
        ..Net::default()
    };
    while group.now < FAULT_PERIOD {
        issue_requests(&mut group);
        if group.rng.random_bool(0.03) {
            inject_fault(&mut group);
        }
        if group.rng.random_bool(0.005) {
            clear_faults(&mut group);
        }
        if group.rng.random_bool(0.05) {
            repair(&mut group);
        }
        group.advance();
    }
    heal(&mut group);
}

fn random_replica(group: &mut Group) -> usize {
    group.rng.random_range(0..group.replicas.len())
}

/// Length of the alternating periods with and without writes. The pauses let replicas that are cut
/// off only from the leader have up-to-date logs.
const WRITE_PAUSE: Millis = Millis(3_000);

/// Issues writes and reads, mostly to the leader.
fn issue_requests(group: &mut Group) {
    let mut at = random_replica(group);
    if group.rng.random_bool(0.8) {
        at = group.leader().unwrap_or(at);
    }
    if group.replicas[at].frozen {
        return;
    }
    let is_paused = group.now.0 / WRITE_PAUSE.0 % 2 == 1;
    if !is_paused && group.rng.random_bool(0.3) {
        let count = group.rng.random_range(1..4);
        group.propose(at, count);
    }
    if group.rng.random_bool(0.2) {
        group.read(at);
    }
}

fn inject_fault(group: &mut Group) {
    let at = random_replica(group);
    let other = random_replica(group);
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
                group.step(leader, Event::TransferLeadership);
            }
        }
    }
}

/// Replaces a disk with an empty one if all replicas are committed voters, so that a majority keeps
/// its disks.
fn lose_disk(group: &mut Group, at: usize) {
    let initial: Membership = group.replicas[0].disk.synced.snapshot.membership.clone();
    let membership = group.checks.membership().unwrap_or(&initial);
    let has_all_voters = membership
        .voters()
        .all(|id| group.replicas.iter().any(|replica| replica.id == id));
    if has_all_voters && membership.voters().count() == group.replicas.len() {
        group.lose_disk(at);
    }
}

/// Adds, promotes or replaces a random disk that is not a voter, as an operator would.
fn repair(group: &mut Group) {
    let Some(leader) = group.leader() else {
        return;
    };
    let membership = group.core(leader).expect("it leads").membership().clone();
    let at = random_replica(group);
    let (id, name) = (group.replicas[at].id, group.replicas[at].name.clone());
    let change = match membership.get(id).map(|member| member.role) {
        None => Change::AddLearner { id, name },
        Some(MemberRole::Voter) => return,
        Some(MemberRole::Learner) => match membership.voter_named(&name) {
            Some(old) => Change::Replace { old, new: id },
            None => Change::Promote(id),
        },
    };
    group.change(leader, change);
}

/// Restarts, unfreezes and reconnects every replica.
fn clear_faults(group: &mut Group) {
    group.cuts.clear();
    for at in 0..group.replicas.len() {
        group.replicas[at].frozen = false;
        if group.core(at).is_none() {
            group.restart(at);
        }
    }
}

/// Ends all faults and waits until every replica is a voter and has applied one more write.
fn heal(group: &mut Group) {
    clear_faults(group);
    group.net = Net::default();
    let end = group.now + Millis::from_secs(60);
    while !all_vote(group) {
        assert!(group.now < end, "not every replica became a voter");
        repair(group);
        group.run(Millis(100));
    }
    group.write();
    let last = group.checks.last_acknowledged();
    group.run_until("every replica applied the last write", |group| {
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
