//! A leader that nobody answers stops acting.

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

/// Cuts one direction between the leader and the others, and expects the next leader.
fn one_way_cut(cuts: fn(usize, usize) -> (usize, usize)) {
    let mut group = Group::new(3, 11);
    group.write();
    let old = group.settle();
    for other in (0..3).filter(|&other| other != old) {
        group.cuts.insert(cuts(old, other));
    }
    let cut_at = group.now;
    group.until("the lease ends", |group| !holds_lease(group, old));
    assert!(group.now <= cut_at + Timing::default().election);
    group.until("another leader has a lease", |group| {
        (0..3).any(|at| at != old && holds_lease(group, at))
    });
    assert!(group.now <= cut_at + Millis::from_secs(3));
    group.write();
}

cases! { one_way_cut:
    a_leader_that_cannot_be_heard_loses_its_lease(|old, other| (old, other));
    a_leader_that_cannot_hear_loses_its_lease(|old, other| (other, old));
}

#[test]
fn a_frozen_leader_wakes_without_a_lease() {
    let mut group = Group::new(3, 12);
    group.write();
    let old = group.settle();
    group.replicas[old].frozen = true;
    group.until("another leader has a lease", |group| {
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
fn a_cut_off_leader_answers_no_read() {
    let mut group = Group::new(3, 13);
    group.write();
    let old = group.settle();
    group.isolate(old);
    let read = group.read(old);
    group.until("it steps down", |group| {
        !group.core(old).is_some_and(Core::is_leader)
    });
    assert!(!group.answered_reads.contains(&read));
    assert_eq!(group.rejected.get(&read), Some(&Verdict::NotRun));
}

#[test]
fn a_cut_off_leader_cannot_say_what_became_of_a_write() {
    let mut group = Group::new(3, 14);
    group.write();
    let old = group.settle();
    group.isolate(old);
    let token = group.propose(old, 1)[0];
    group.until("it steps down", |group| {
        !group.core(old).is_some_and(Core::is_leader)
    });
    assert_eq!(group.rejected.get(&token), Some(&Verdict::MayHaveRun));
}

#[test]
fn a_lease_counts_from_the_sending_of_what_was_answered() {
    const ONE_WAY: Millis = Millis(200);
    let mut group = Group::new(3, 15);
    group.net.least = ONE_WAY.0;
    let leader = group.settle();
    let longest = Timing::default().lease - ONE_WAY * 2;
    for _ in 0..500 {
        group.pass();
        let until = group.core(leader).and_then(Core::lease_until);
        assert!(until.is_none_or(|until| until <= group.now + longest));
    }
    assert!(holds_lease(&group, leader));
}

#[test]
fn a_leader_that_handed_over_has_no_lease_even_if_it_hears_nothing() {
    let mut group = Group::new(3, 16);
    group.write();
    let old = group.settle();
    group.run(Millis(500));
    group.step(old, Event::HandOver);
    for other in (0..3).filter(|&other| other != old) {
        group.cuts.insert((other, old));
    }
    group.until("another leader has a lease", |group| {
        (0..3).any(|at| at != old && holds_lease(group, at))
    });
    group.run(Millis::from_secs(2));
}
