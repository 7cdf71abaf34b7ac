//! Membership changes and lost disks.

use assert_matches::assert_matches;
use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_quorum::{
    Change,
    ChangeError,
    Core,
    DiskId,
    Event, //
};

use crate::group::Group;

fn others(leader: usize) -> (usize, usize) {
    ((leader + 1) % 3, (leader + 2) % 3)
}

fn add_learner(group: &mut Group, at: usize) -> DiskId {
    let (id, name) = (group.replicas[at].id, group.replicas[at].name.clone());
    group.change_and_wait(Change::AddLearner { id, name });
    id
}

fn refusal(group: &mut Group, change: Change) -> ChangeError {
    let leader = group.wait_for_leader();
    let token = group.change(leader, change);
    group.run_until("it is refused", |group| group.refused.contains_key(&token));
    group.refused[&token].clone()
}

/// Replaces a disk, then loses another replica for good: the remaining two hold every write.
fn second_failure(pick: fn(usize) -> usize) {
    let mut group = Group::new(3, 21);
    for _ in 0..20 {
        group.write();
    }
    let leader = group.wait_for_leader();
    let (lost, _) = others(leader);
    let old = group.replicas[lost].id;
    group.lose_disk(lost);
    let new = add_learner(&mut group, lost);
    group.change_and_wait(Change::Replace { old, new });
    group.crash(pick(leader));
    group.write();
    group.check_states();
}

cases! { second_failure:
    leader_fails_right_after_a_replacement(|leader| leader);
    other_follower_fails_right_after_a_replacement(|leader| others(leader).1);
}

/// The removal of a voter, which the last follower does not let commit.
struct Removal {
    leader: usize,
    lost: usize,
    other: usize,
    old: DiskId,
}

/// Replaces a lost disk up to the removal of the old voter, which is not committed.
fn begin_removal(group: &mut Group) -> Removal {
    let leader = group.wait_for_leader();
    let (lost, other) = others(leader);
    let old = group.replicas[lost].id;
    group.lose_disk(lost);
    let new = add_learner(group, lost);
    group.run(Millis::from_secs(1));
    group.replicas[other].sync_blocked = true;
    group.change(leader, Change::Replace { old, new });
    group.run_until("the old voter is removed", |group| {
        let core = group.core(leader).expect("it runs");
        !core.membership().contains(old)
    });
    Removal {
        leader,
        lost,
        other,
        old,
    }
}

/// Guards against a store that is reported as retired although another leader may still undo its removal.
#[test]
fn removal_that_is_not_committed_is_not_in_the_committed_membership() {
    let mut group = Group::new(3, 33);
    group.write();
    let Removal {
        leader, other, old, ..
    } = begin_removal(&mut group);
    let core = group.core(leader).expect("it runs");
    assert!(core.committed_membership().contains(old));
    group.replicas[other].sync_blocked = false;
    group.run_until("the removal is committed", |group| {
        let core = group.core(leader).expect("it runs");
        !core.committed_membership().contains(old)
    });
}

/// The learner of a replacement loses its disk after the removal of the old voter and before its own
/// promotion: the group could not be changed any more, and a second lost disk ended the service.
#[test]
fn replacement_ends_if_its_learner_is_lost() {
    let mut group = Group::new(3, 31);
    group.write();
    let Removal {
        leader,
        lost,
        other,
        ..
    } = begin_removal(&mut group);
    group.lose_disk(lost);
    group.run(Millis::from_secs(1));
    group.replicas[other].sync_blocked = false;
    group.run(Millis::from_secs(2));
    assert_eq!(group.leader(), Some(leader));
    let newest = add_learner(&mut group, lost);
    group.change_and_wait(Change::Promote(newest));
    group.crash(leader);
    group.write();
    group.check_states();
}

/// Guards against a sound voter, as one that retires, that is removed for a learner that has stopped: the
/// next failure left no quorum.
#[test]
fn voter_is_not_removed_for_a_learner_that_does_not_respond() {
    let mut group = Group::new(3, 33);
    group.write();
    let blank = group.add_blank("instance-4");
    let new = add_learner(&mut group, blank);
    group.run(Millis::from_secs(1));
    group.crash(blank);
    let leader = group.wait_for_leader();
    let (retiring, other) = others(leader);
    let old = group.replicas[retiring].id;
    let error = refusal(&mut group, Change::Replace { old, new });
    assert_eq!(error, ChangeError::Unresponsive(new));
    group.crash(other);
    group.write();
    group.check_states();
}

/// While a leader writes without a pause, a learner in another region never holds all committed entries
/// when it is looked at: a lost voter was replaced seconds late, and a second lost disk ended the service.
#[test]
fn learner_that_keeps_up_with_steady_writes_replaces_a_lost_voter() {
    let mut group = Group::new(3, 32);
    group.write();
    let leader = group.wait_for_leader();
    let (lost, _) = others(leader);
    let old = group.replicas[lost].id;
    group.lose_disk(lost);
    group.remote.insert(lost);
    let new = add_learner(&mut group, lost);
    let end = group.now + Millis::from_secs(2);
    let replace = Change::Replace { old, new };
    let mut token = group.change(leader, replace.clone());
    while !group.committed_tokens.contains(&token) {
        assert!(group.now < end, "the lost voter is not replaced");
        group.propose(leader, 1);
        group.advance();
        match group.refused.get(&token) {
            None => {}
            Some(ChangeError::NotSynced { .. }) => token = group.change(leader, replace.clone()),
            Some(error) => panic!("refused: {error}"),
        }
    }
    group.check_states();
}

#[test]
fn unsynced_learner_is_not_promoted() {
    let mut group = Group::new(3, 22);
    group.write();
    let blank = group.add_blank("instance-4");
    group.replicas[blank].sync_blocked = true;
    let id = add_learner(&mut group, blank);
    group.run(Millis::from_secs(5));
    assert_matches!(
        refusal(&mut group, Change::Promote(id)),
        ChangeError::NotSynced { .. }
    );
    group.replicas[blank].sync_blocked = false;
    group.run(Millis::from_secs(5));
    group.change_and_wait(Change::Promote(id));
}

#[test]
fn learner_does_not_count_in_a_quorum() {
    let mut group = Group::new(3, 23);
    let blank = group.add_blank("instance-4");
    add_learner(&mut group, blank);
    let leader = group.wait_for_leader();
    let (a, b) = others(leader);
    group.crash(a);
    group.crash(b);
    let token = group.propose(leader, 1)[0];
    group.run(Millis::from_secs(10));
    assert!(!group.committed_tokens.contains(&token));
    assert_eq!(group.leader(), None);
}

#[test]
fn new_leader_refuses_changes_before_it_committed_an_entry() {
    let mut group = Group::new(3, 24);
    group.write();
    let old = group.wait_for_leader();
    let (a, b) = others(old);
    group.crash(old);
    group.run_until("another leader", |group| group.leader().is_some());
    let leader = group.leader().expect("a leader");
    let follower = if leader == a { b } else { a };
    group.replicas[follower].sync_blocked = true;
    group.replicas[leader].sync_blocked = true;
    let change = Change::AddLearner {
        id: DiskId(77),
        name: "instance-4".into(),
    };
    assert_eq!(refusal(&mut group, change), ChangeError::TermNotCommitted);
}

#[test]
fn concurrent_change_is_refused() {
    let mut group = Group::new(3, 25);
    group.write();
    let leader = group.wait_for_leader();
    let change = |n| Change::AddLearner {
        id: DiskId(n),
        name: format!("instance-{n}").as_str().into(),
    };
    group.change(leader, change(77));
    assert_eq!(refusal(&mut group, change(78)), ChangeError::InProgress);
}

#[test]
fn removal_that_would_lose_the_quorum_is_refused() {
    let mut group = Group::new(3, 26);
    group.write();
    let leader = group.wait_for_leader();
    let (dead, alive) = others(leader);
    group.crash(dead);
    let alive = group.replicas[alive].id;
    assert_eq!(
        refusal(&mut group, Change::Remove(alive)),
        ChangeError::WouldLoseQuorum {
            active: 1,
            needed: 2,
        }
    );
    let leader = group.replicas[leader].id;
    assert_eq!(
        refusal(&mut group, Change::Remove(leader)),
        ChangeError::IsLeader
    );
}

/// Guards against a change that cannot be confirmed for as long as a voter is lost, and at each try keeps the leader
/// from any other change for an election timeout.
#[test]
fn change_that_silent_members_would_have_to_confirm_is_refused_at_once() {
    let mut group = Group::new(3, 34);
    group.write();
    let blank = group.add_blank("instance-4");
    let new = add_learner(&mut group, blank);
    group.run(Millis::from_secs(1));
    let leader = group.wait_for_leader();
    let (dead, alive) = others(leader);
    group.crash(dead);
    group.crash(blank);
    group.run(Millis::from_secs(2));
    let (dead, alive) = (group.replicas[dead].id, group.replicas[alive].id);
    let lost_quorum = ChangeError::WouldLoseQuorum {
        active: 1,
        needed: 2,
    };
    for (change, expected) in [
        (Change::Remove(alive), lost_quorum),
        (
            Change::Promote(new),
            ChangeError::WouldLoseQuorum {
                active: 2,
                needed: 3,
            },
        ),
        (
            Change::Replace { old: dead, new },
            ChangeError::Unresponsive(new),
        ),
    ] {
        let token = group.change(leader, change);
        assert_eq!(group.refused.get(&token), Some(&expected));
    }
}

#[test]
fn instance_does_not_vote_with_two_disks() {
    let mut group = Group::new(3, 27);
    group.write();
    let leader = group.wait_for_leader();
    let (lost, _) = others(leader);
    let old = group.replicas[lost].id;
    group.lose_disk(lost);
    let new = add_learner(&mut group, lost);
    group.run(Millis::from_secs(5));
    assert_eq!(
        refusal(&mut group, Change::Promote(new)),
        ChangeError::InstanceHasVoter(old)
    );
}

#[test]
fn removed_voter_does_not_depose_the_leader() {
    let mut group = Group::new(3, 28);
    group.write();
    let leader = group.wait_for_leader();
    let term = group.core(leader).map(Core::term);
    let (gone, _) = others(leader);
    let id = group.replicas[gone].id;
    group.change_and_wait(Change::Remove(id));
    group.run(Millis::from_secs(20));
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.core(leader).map(Core::term), term);
}

#[test]
fn leadership_is_not_transferred_to_a_learner() {
    let mut group = Group::new(1, 29);
    group.write();
    let blank = group.add_blank("instance-2");
    add_learner(&mut group, blank);
    group.run(Millis::from_secs(2));
    group.step(0, Event::TransferLeadership);
    group.run(Millis::from_secs(2));
    assert_eq!(group.leader(), Some(0));
    group.write();
}

#[test]
fn removed_instance_is_departed_until_it_is_added_again() {
    let mut group = Group::new(3, 30);
    let leader = group.wait_for_leader();
    let (gone, _) = others(leader);
    let (id, name) = (group.replicas[gone].id, group.replicas[gone].name.clone());
    let departed = |group: &Group| {
        let core = group.core(leader).expect("it runs");
        core.membership().has_departed(&name)
    };
    group.change_and_wait(Change::Remove(id));
    assert!(departed(&group));
    group.lose_disk(gone);
    add_learner(&mut group, gone);
    assert!(!departed(&group));
}
