//! Bootstrap of a group, and replacement of lost stores.

use std::collections::BTreeSet;

use assert_matches::assert_matches;
use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Millis, //
};
use yuccaseam_quorum::{
    Change,
    DiskId,
    MemberRole,
    Membership, //
};
use yuccaseam_serving::{
    GroupManager,
    MemberStatus,
    StoreStatus, //
};

const NOW: Millis = Millis(20_000);

fn name(store: &str) -> InstanceName {
    InstanceName::from(store)
}

fn status(disk: u64, founder: &str, at: Millis) -> StoreStatus {
    StoreStatus {
        disk: DiskId(disk),
        domain: FailureDomain(format!("domain-{disk}")),
        has_group: false,
        founder: Some(name(founder)),
        received_at: at,
    }
}

/// The manager on store `a`, for a group that tolerates the loss of one store.
fn manager(is_first_start: bool) -> GroupManager {
    GroupManager::new(name("a"), is_first_start, 1, Millis::ZERO)
}

fn receive_hellos(manager: &mut GroupManager, stores: &[(&str, u64)], founder: &str, at: Millis) {
    for (store, disk) in stores {
        manager.record_hello(name(store), status(*disk, founder, at));
    }
}

const THREE: [(&str, u64); 3] = [("a", 1), ("b", 2), ("c", 3)];

fn group() -> Membership {
    Membership::of_voters(THREE.map(|(store, disk)| (DiskId(disk), name(store))))
}

#[test]
fn founder_bootstraps_once_all_stores_agree() {
    let mut manager = manager(true);
    receive_hellos(&mut manager, &THREE, "a", Millis(100));
    assert!(
        !manager.can_bootstrap(Millis(100)),
        "the set of stores must be stable"
    );
    assert!(manager.can_bootstrap(Millis(1_000)));
}

#[test]
fn disagreement_on_the_founder_prevents_bootstrap() {
    let mut manager = manager(true);
    receive_hellos(&mut manager, &THREE[..2], "a", Millis(100));
    receive_hellos(&mut manager, &THREE[2..], "0", Millis(100));
    manager.can_bootstrap(Millis(100));
    assert!(!manager.can_bootstrap(Millis(1_000)));
}

#[test]
fn empty_disk_bootstraps_only_at_the_first_start() {
    let mut manager = manager(false);
    receive_hellos(&mut manager, &THREE, "a", Millis(100));
    manager.can_bootstrap(Millis(100));
    assert!(!manager.can_bootstrap(Millis(1_000)));
}

#[test]
fn existing_group_prevents_bootstrap() {
    let mut manager = manager(true);
    receive_hellos(&mut manager, &THREE, "a", Millis(100));
    let member = StoreStatus {
        has_group: true,
        ..status(2, "a", Millis(100))
    };
    manager.record_hello(name("b"), member);
    manager.can_bootstrap(Millis(100));
    assert!(!manager.can_bootstrap(Millis(1_000)));
}

/// Guards against a store that is cut off at the first start and forms a group of its own: both groups accepted jobs, and
/// those of one were gone when the cut ended.
#[test]
fn store_that_hears_no_majority_forms_no_group() {
    let mut manager = manager(true);
    receive_hellos(&mut manager, &THREE[..1], "a", Millis(6_000));
    manager.can_bootstrap(Millis(6_000));
    let later = Millis(7_000);
    receive_hellos(&mut manager, &THREE[..1], "a", later);
    assert!(!manager.can_bootstrap(later));
    assert_eq!(manager.min_voters(later), 2);
    receive_hellos(&mut manager, &THREE[..2], "a", later);
    manager.can_bootstrap(later);
    let later = Millis(8_000);
    receive_hellos(&mut manager, &THREE[..2], "a", later);
    assert!(manager.can_bootstrap(later));
    // Others have told of more stores, among which two are no majority.
    manager.record_known_stores(4);
    assert!(!manager.can_bootstrap(later));
}

#[test]
fn lost_disk_is_replaced_under_its_name() {
    let mut manager = manager(false);
    receive_hellos(&mut manager, &[("a", 1), ("b", 22), ("c", 3)], "a", NOW);
    let none = BTreeSet::new();
    let change = manager.next_change(&group(), &none, |_| true, NOW);
    assert_matches!(change, Some(Change::AddLearner { id: DiskId(22), .. }));
}

/// A store that was added for a lost one became a voter later than the loss of a second disk is to be
/// expected, 4.9 s after its start: without a quorum, nothing was served after the next restart.
#[test]
fn unresponsive_voter_is_replaced_by_a_free_store() {
    let mut manager = manager(false);
    // No new store: it has run for longer than the voter is silent.
    receive_hellos(&mut manager, &[("d", 4)], "a", NOW - Millis(10_000));
    receive_hellos(&mut manager, &[("a", 1), ("c", 3), ("d", 4)], "a", NOW);
    manager.record_hello(name("b"), status(2, "a", NOW - Millis(2_500)));
    let none = BTreeSet::new();
    assert_eq!(
        manager.next_change(&group(), &none, |_| true, NOW),
        None,
        "it may restart"
    );
    manager.record_hello(name("b"), status(2, "a", NOW - Millis(3_500)));
    let change = manager.next_change(&group(), &none, |_| true, NOW);
    assert_matches!(change, Some(Change::AddLearner { id: DiskId(4), .. }));
    let mut group = group();
    group.insert(DiskId(4), name("d"), MemberRole::Learner);
    manager.record_hello(name("b"), status(2, "a", NOW - Millis(4_000)));
    assert_eq!(
        manager.next_change(&group, &none, |_| true, NOW),
        None,
        "it may restart"
    );
    manager.record_hello(name("b"), status(2, "a", NOW - Millis(4_200)));
    assert_eq!(manager.next_change(&group, &none, |_| false, NOW), None);
    let change = manager.next_change(&group, &none, |_| true, NOW);
    let expected = Change::Replace {
        old: DiskId(2),
        new: DiskId(4),
    };
    assert_eq!(change, Some(expected));
}

/// A learner is no voter that another store must replace first: a store that had become one while a
/// voter was silent could not be retired.
#[test]
fn retiring_learner_is_removed() {
    let mut manager = manager(false);
    let stores = [("a", 1), ("b", 2), ("c", 3), ("d", 4)];
    receive_hellos(&mut manager, &stores, "a", NOW);
    let mut group = group();
    group.insert(DiskId(4), name("d"), MemberRole::Learner);
    let none = BTreeSet::new();
    assert_eq!(manager.next_change(&group, &none, |_| true, NOW), None);
    let retiring = BTreeSet::from([name("d")]);
    let change = manager.next_change(&group, &retiring, |_| true, NOW);
    assert_eq!(change, Some(Change::Remove(DiskId(4))));
}

#[test]
fn unresponsive_voter_stays_without_a_replacement() {
    let mut manager = manager(false);
    receive_hellos(&mut manager, &[("a", 1), ("c", 3)], "a", NOW);
    assert_eq!(
        manager.next_change(&group(), &BTreeSet::new(), |_| true, NOW),
        None
    );
}

#[test]
fn retiring_voter_is_replaced() {
    let mut manager = manager(false);
    receive_hellos(
        &mut manager,
        &[("a", 1), ("b", 2), ("c", 3), ("d", 4)],
        "a",
        NOW,
    );
    let mut group = group();
    group.insert(DiskId(4), name("d"), MemberRole::Learner);
    let retiring = BTreeSet::from([name("c")]);
    let change = manager.next_change(&group, &retiring, |_| true, NOW);
    let expected = Change::Replace {
        old: DiskId(3),
        new: DiskId(4),
    };
    assert_eq!(change, Some(expected));
}

#[test]
fn store_retires_only_if_enough_remain() {
    let mut manager = manager(false);
    receive_hellos(&mut manager, &THREE, "a", NOW);
    let none = BTreeSet::new();
    assert_eq!(manager.can_retire(&name("c"), &none, NOW), Some(false));
    assert_eq!(manager.can_retire(&name("x"), &none, NOW), None);
    receive_hellos(&mut manager, &[("d", 4)], "a", NOW);
    assert_eq!(manager.can_retire(&name("c"), &none, NOW), Some(true));
}

/// Guards against a retirement that is refused because another voter has just been lost, though the store would stay
/// until that one is made good. A store that does not vote may be taken away at once, and is refused.
#[test]
fn voter_retires_beside_one_that_does_not_respond() {
    let mut manager = manager(false);
    let stores = [("a", 1), ("b", 2), ("c", 3), ("d", 4)];
    receive_hellos(&mut manager, &stores, "a", NOW);
    let none = BTreeSet::new();
    let observe = |manager: &mut GroupManager, now: Millis| {
        let status = |disk, contact| {
            let status = MemberStatus {
                votes: true,
                contact,
                position: 0,
            };
            (DiskId(disk), status)
        };
        manager.observe_members([status(2, None), status(3, Some(now))], now);
    };
    observe(&mut manager, NOW);
    let later = NOW + Millis(1_500);
    observe(&mut manager, later);
    assert_eq!(manager.can_retire(&name("c"), &none, later), Some(true));
    assert_eq!(manager.can_retire(&name("a"), &none, later), Some(true));
    assert_eq!(manager.can_retire(&name("d"), &none, later), Some(false));
}

/// Two lost disks must not wait for each other: both become learners at once, and the first one in
/// sync becomes a voter first.
#[test]
fn two_lost_disks_catch_up_at_the_same_time() {
    let mut manager = manager(false);
    receive_hellos(&mut manager, &[("a", 1), ("b", 22), ("c", 33)], "a", NOW);
    let none = BTreeSet::new();
    let mut group = group();
    group.insert(DiskId(22), name("b"), MemberRole::Learner);
    let change = manager.next_change(&group, &none, |_| false, NOW);
    assert_matches!(change, Some(Change::AddLearner { id: DiskId(33), .. }));
    group.insert(DiskId(33), name("c"), MemberRole::Learner);
    assert_eq!(manager.next_change(&group, &none, |_| false, NOW), None);
    let change = manager.next_change(&group, &none, |disk| disk == DiskId(33), NOW);
    let expected = Change::Replace {
        old: DiskId(3),
        new: DiskId(33),
    };
    assert_eq!(change, Some(expected));
}
