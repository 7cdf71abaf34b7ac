//! Compaction and chunked transfer of snapshots.

use yuccaseam_base::Millis;
use yuccaseam_quorum::Core;

use crate::{
    disk::CHUNK,
    group::Group, //
};

/// Group with a crashed follower that lacks `writes` writes, which only a snapshot covers.
fn lagging(seed: u64, writes: usize) -> (Group, usize) {
    let mut group = Group::new(3, seed);
    group.snapshot_every = 50;
    let leader = group.wait_for_leader();
    let lagging = (leader + 1) % 3;
    group.crash(lagging);
    for _ in 0..writes.div_ceil(50) {
        group.propose(leader, 50);
        group.run(Millis(500));
    }
    group.write();
    (group, lagging)
}

fn assert_catches_up(group: &mut Group, at: usize) {
    let last = group.checks.last_acknowledged();
    group.run_until("it has everything", |group| {
        group.replicas[at].applied >= last
    });
    group.check_states();
}

#[test]
fn log_in_memory_is_compacted_to_the_tail_after_the_snapshot() {
    let (group, _) = lagging(31, 500);
    let leader = group.leader().and_then(|at| group.core(at));
    let tail = leader.map(|core| core.last_index().0 - core.snapshot_index().0);
    assert!(tail.is_some_and(|tail| tail <= 101), "{tail:?}");
}

#[test]
fn lagging_follower_receives_the_snapshot_in_chunks() {
    let (mut group, at) = lagging(32, 500);
    group.restart(at);
    assert_catches_up(&mut group, at);
    assert!(group.replicas[at].disk.stored > 2 * CHUNK);
}

#[test]
fn snapshot_transfer_resumes_after_a_restart() {
    let (mut group, at) = lagging(33, 1_000);
    group.restart(at);
    group.run_until("half of it is there", |group| {
        group.replicas[at].disk.incoming.len() > 6 * CHUNK
    });
    group.crash(at);
    group.run(Millis::from_secs(5));
    group.restart(at);
    assert_catches_up(&mut group, at);
    let replica = &group.replicas[at];
    assert_eq!(replica.disk.stored, replica.disk.bytes.len());
}

#[test]
fn leader_keeps_its_term_during_a_snapshot_transfer() {
    let (mut group, at) = lagging(34, 1_000);
    let leader = group.wait_for_leader();
    let term = group.core(leader).map(Core::term);
    group.net.slow = 0.2;
    group.restart(at);
    assert_catches_up(&mut group, at);
    assert_eq!(group.core(leader).map(Core::term), term);
}
