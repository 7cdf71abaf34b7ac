//! Who begins a group, and who takes the place of a lost store.

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
    Membership, //
};
use yuccaseam_serving::{
    GroupKeeper,
    Seen, //
};

const NOW: Millis = Millis(20_000);

fn name(store: &str) -> InstanceName {
    InstanceName::from(store)
}

fn seen(disk: u64, founder: &str, at: Millis) -> Seen {
    Seen {
        disk: DiskId(disk),
        domain: FailureDomain(format!("domain-{disk}")),
        has_group: false,
        founder: Some(name(founder)),
        at,
    }
}

/// A keeper on the store `a` that bears the loss of one store.
fn keeper(is_first_start: bool) -> GroupKeeper {
    GroupKeeper::new(name("a"), is_first_start, 1, Millis::ZERO)
}

fn hear(keeper: &mut GroupKeeper, stores: &[(&str, u64)], founder: &str, at: Millis) {
    for (store, disk) in stores {
        keeper.on_hello(name(store), seen(*disk, founder, at));
    }
}

const THREE: [(&str, u64); 3] = [("a", 1), ("b", 2), ("c", 3)];

fn group() -> Membership {
    Membership::of_voters(THREE.map(|(store, disk)| (DiskId(disk), name(store))))
}

#[test]
fn the_first_store_begins_once_all_agree() {
    let mut keeper = keeper(true);
    hear(&mut keeper, &THREE, "a", Millis(100));
    assert!(!keeper.may_found(Millis(100)), "the view must settle");
    assert!(keeper.may_found(Millis(1_000)));
}

#[test]
fn a_store_that_would_let_another_begin_prevents_it() {
    let mut keeper = keeper(true);
    hear(&mut keeper, &THREE[..2], "a", Millis(100));
    hear(&mut keeper, &THREE[2..], "0", Millis(100));
    keeper.may_found(Millis(100));
    assert!(!keeper.may_found(Millis(1_000)));
}

#[test]
fn an_empty_disk_never_begins_a_group_later() {
    let mut keeper = keeper(false);
    hear(&mut keeper, &THREE, "a", Millis(100));
    keeper.may_found(Millis(100));
    assert!(!keeper.may_found(Millis(1_000)));
}

#[test]
fn a_group_that_exists_prevents_another_one() {
    let mut keeper = keeper(true);
    hear(&mut keeper, &THREE, "a", Millis(100));
    let member = Seen {
        has_group: true,
        ..seen(2, "a", Millis(100))
    };
    keeper.on_hello(name("b"), member);
    keeper.may_found(Millis(100));
    assert!(!keeper.may_found(Millis(1_000)));
}

#[test]
fn a_lost_disk_is_replaced_under_its_name() {
    let mut keeper = keeper(false);
    hear(&mut keeper, &[("a", 1), ("b", 22), ("c", 3)], "a", NOW);
    let none = BTreeSet::new();
    let change = keeper.next_change(&group(), &none, |_| true, NOW);
    assert_matches!(change, Some(Change::AddLearner { id: DiskId(22), .. }));
}

#[test]
fn a_silent_voter_is_replaced_by_a_store_that_is_free() {
    let mut keeper = keeper(false);
    hear(&mut keeper, &[("a", 1), ("c", 3), ("d", 4)], "a", NOW);
    keeper.on_hello(name("b"), seen(2, "a", NOW - Millis(4_000)));
    let none = BTreeSet::new();
    assert_eq!(
        keeper.next_change(&group(), &none, |_| true, NOW),
        None,
        "it may restart"
    );
    keeper.on_hello(name("b"), seen(2, "a", NOW - Millis(8_000)));
    let change = keeper.next_change(&group(), &none, |_| true, NOW);
    assert_matches!(change, Some(Change::AddLearner { id: DiskId(4), .. }));
}

#[test]
fn a_silent_voter_stays_if_nobody_can_take_its_place() {
    let mut keeper = keeper(false);
    hear(&mut keeper, &[("a", 1), ("c", 3)], "a", NOW);
    assert_eq!(
        keeper.next_change(&group(), &BTreeSet::new(), |_| true, NOW),
        None
    );
}

#[test]
fn a_retiring_voter_hands_its_place_over() {
    let mut keeper = keeper(false);
    hear(
        &mut keeper,
        &[("a", 1), ("b", 2), ("c", 3), ("d", 4)],
        "a",
        NOW,
    );
    let mut group = group();
    group.insert(DiskId(4), name("d"), yuccaseam_quorum::Standing::Learner);
    let retiring = BTreeSet::from([name("c")]);
    let change = keeper.next_change(&group, &retiring, |_| true, NOW);
    let expected = Change::Replace {
        old: DiskId(3),
        new: DiskId(4),
    };
    assert_eq!(change, Some(expected));
}

#[test]
fn too_few_stores_cannot_retire_one() {
    let mut keeper = keeper(false);
    hear(&mut keeper, &THREE, "a", NOW);
    let none = BTreeSet::new();
    assert_eq!(keeper.can_retire(&name("c"), &none, NOW), Some(false));
    assert_eq!(keeper.can_retire(&name("x"), &none, NOW), None);
    hear(&mut keeper, &[("d", 4)], "a", NOW);
    assert_eq!(keeper.can_retire(&name("c"), &none, NOW), Some(true));
}

/// Two lost disks must not wait for each other: both follow the log at once, and the one that has it
/// votes first.
#[test]
fn two_lost_disks_catch_up_at_the_same_time() {
    let mut keeper = keeper(false);
    hear(&mut keeper, &[("a", 1), ("b", 22), ("c", 33)], "a", NOW);
    let none = BTreeSet::new();
    let mut group = group();
    group.insert(DiskId(22), name("b"), yuccaseam_quorum::Standing::Learner);
    let change = keeper.next_change(&group, &none, |_| false, NOW);
    assert_matches!(change, Some(Change::AddLearner { id: DiskId(33), .. }));
    group.insert(DiskId(33), name("c"), yuccaseam_quorum::Standing::Learner);
    assert_eq!(keeper.next_change(&group, &none, |_| false, NOW), None);
    let change = keeper.next_change(&group, &none, |disk| disk == DiskId(33), NOW);
    let expected = Change::Replace {
        old: DiskId(3),
        new: DiskId(33),
    };
    assert_eq!(change, Some(expected));
}
