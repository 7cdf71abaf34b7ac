//! Batching and pipelining of writes, batching of reads.

use yuccaseam_base::Millis;
use yuccaseam_quorum::{
    Action,
    Body,
    Core,
    Event,
    Proposal,
    Token, //
};

use crate::group::Group;

fn proposals(from: u64, count: u64) -> Event {
    let proposal = |n: u64| Proposal {
        token: Token(n),
        data: n.to_le_bytes().as_slice().into(),
    };
    Event::Propose((from..from + count).map(proposal).collect())
}

fn leader_of_three() -> (Group, usize) {
    let mut group = Group::new(3, 41);
    group.write();
    let leader = group.wait_for_leader();
    (group, leader)
}

fn step(group: &mut Group, at: usize, event: Event) -> Vec<Action> {
    let core = group.replicas[at].core.as_mut().expect("it runs");
    core.step(group.now, event)
}

fn appended(actions: &[Action]) -> Vec<usize> {
    let entries = actions.iter().filter_map(|action| match action {
        Action::Send(envelope) => match &envelope.body {
            Body::Append(append) => Some(append.entries.len()),
            _ => None,
        },
        _ => None,
    });
    entries.collect()
}

#[test]
fn batched_proposals_share_one_write_and_one_message_per_follower() {
    let (mut group, leader) = leader_of_three();
    let actions = step(&mut group, leader, proposals(1_000, 100));
    let writes = actions
        .iter()
        .filter(|action| matches!(action, Action::Persist(_)));
    assert_eq!(writes.count(), 1);
    assert_eq!(appended(&actions), [100, 100]);
}

#[test]
fn append_messages_are_pipelined() {
    let (mut group, leader) = leader_of_three();
    for n in 0..5 {
        let actions = step(&mut group, leader, proposals(1_000 + n * 10, 10));
        assert_eq!(appended(&actions), [10, 10]);
    }
}

#[test]
fn queued_reads_share_one_round() {
    let (mut group, leader) = leader_of_three();
    let reads: Vec<Token> = (0..50).map(|_| group.read(leader)).collect();
    group.run_until("all reads are confirmed", |group| {
        reads
            .iter()
            .all(|read| group.confirmed_reads.contains(read))
    });
    let core = group.core(leader).expect("it runs");
    assert_eq!(core.rounds_started(), 2);
}

#[test]
fn acknowledged_writes_survive_the_loss_of_unsynced_writes() {
    let (mut group, leader) = leader_of_three();
    for at in 0..3 {
        group.replicas[at].sync_blocked = true;
    }
    let token = group.propose(leader, 1)[0];
    group.run(Millis(300));
    assert!(!group.committed_tokens.contains(&token));
    for at in 0..3 {
        group.crash(at);
        group.restart(at);
        group.replicas[at].sync_blocked = false;
    }
    group.write();
    group.check_states();
    assert!(
        group
            .leader()
            .and_then(|at| group.core(at))
            .is_some_and(Core::is_leader)
    );
}
