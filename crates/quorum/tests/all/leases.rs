//! Leases: a leader without replies from a quorum loses its lease and steps down.

use yuccaseam_base::{
    Millis,
    Verdict,
    cases, //
};
use yuccaseam_quorum::{
    Core,
    Event,
    Timing, //
};

use crate::group::Group;

fn holds_lease(group: &Group, at: usize) -> bool {
    group
        .core(at)
        .is_some_and(|core| core.holds_lease(group.now))
}

/// Cuts one direction between the leader and the others and expects a new leader.
fn one_way_cut(cuts: fn(usize, usize) -> (usize, usize)) {
    let mut group = Group::new(3, 11);
    group.write();
    let old = group.wait_for_leader();
    for other in (0..3).filter(|&other| other != old) {
        group.cuts.insert(cuts(old, other));
    }
    let cut_at = group.now;
    group.run_until("the lease ends", |group| !holds_lease(group, old));
    assert!(group.now <= cut_at + Timing::default().election_timeout);
    group.run_until("another leader has a lease", |group| {
        (0..3).any(|at| at != old && holds_lease(group, at))
    });
    assert!(group.now <= cut_at + Millis::from_secs(3));
    group.write();
}

cases! { one_way_cut:
    leader_that_cannot_send_loses_its_lease(|old, other| (old, other));
    leader_that_cannot_receive_loses_its_lease(|old, other| (other, old));
}

#[test]
fn frozen_leader_resumes_without_a_lease() {
    let mut group = Group::new(3, 12);
    group.write();
    let old = group.wait_for_leader();
    group.replicas[old].frozen = true;
    group.run_until("another leader has a lease", |group| {
        (0..3).any(|at| at != old && holds_lease(group, at))
    });
    group.write();
    group.replicas[old].frozen = false;
    assert!(group.core(old).is_some_and(Core::is_leader));
    assert!(!holds_lease(&group, old));
    let token = group.propose(old, 1)[0];
    assert_eq!(group.rejected.get(&token), Some(&Verdict::NotRun));
}

#[test]
fn isolated_leader_confirms_no_read() {
    let mut group = Group::new(3, 13);
    group.write();
    let old = group.wait_for_leader();
    group.isolate(old);
    let read = group.read(old);
    group.run_until("it steps down", |group| {
        !group.core(old).is_some_and(Core::is_leader)
    });
    assert!(!group.confirmed_reads.contains(&read));
    assert_eq!(group.rejected.get(&read), Some(&Verdict::NotRun));
}

#[test]
fn isolated_leader_reports_unknown_outcome_of_a_write() {
    let mut group = Group::new(3, 14);
    group.write();
    let old = group.wait_for_leader();
    group.isolate(old);
    let token = group.propose(old, 1)[0];
    group.run_until("it steps down", |group| {
        !group.core(old).is_some_and(Core::is_leader)
    });
    assert_eq!(group.rejected.get(&token), Some(&Verdict::MayHaveRun));
}

#[test]
fn lease_starts_when_the_acknowledged_message_was_sent() {
    const ONE_WAY: Millis = Millis(200);
    let mut group = Group::new(3, 15);
    group.net.min_delay_ms = ONE_WAY.0;
    let leader = group.wait_for_leader();
    let longest = Timing::default().lease_duration - ONE_WAY * 2;
    for _ in 0..500 {
        group.advance();
        let until = group.core(leader).and_then(Core::lease_until);
        assert!(until.is_none_or(|until| until <= group.now + longest));
    }
    assert!(holds_lease(&group, leader));
}

#[test]
fn leader_holds_no_lease_after_leadership_transfer() {
    let mut group = Group::new(3, 16);
    group.write();
    let old = group.wait_for_leader();
    group.run(Millis(500));
    group.step(old, Event::TransferLeadership);
    for other in (0..3).filter(|&other| other != old) {
        group.cuts.insert((other, old));
    }
    group.run_until("another leader has a lease", |group| {
        (0..3).any(|at| at != old && holds_lease(group, at))
    });
    group.run(Millis::from_secs(2));
}
