//! Order in which open changes are proposed.

use proptest::prelude::*;
use yuccaseam_quorum::{
    Change,
    ChangeError,
    ChangeRotation,
    DiskId, //
};

fn change(number: u64) -> Change {
    Change::Promote(DiskId(number))
}

fn changes(numbers: &[u64]) -> Vec<Change> {
    numbers.iter().copied().map(change).collect()
}

/// Guards against a change that is refused for as long as its reason lasts, and keeps all others from being proposed.
#[test]
fn refused_change_comes_after_all_others() {
    let mut rotation = ChangeRotation::default();
    let open = changes(&[3, 1, 2]);
    let proposed: Vec<_> = (0..6).map(|_| rotation.next(open.clone())).collect();
    let expected = [3, 1, 2, 3, 1, 2].map(|number| Some(change(number)));
    assert_eq!(proposed, expected);
}

#[test]
fn new_change_comes_before_those_that_were_proposed() {
    let mut rotation = ChangeRotation::default();
    assert_eq!(rotation.next(changes(&[1, 2])), Some(change(1)));
    assert_eq!(rotation.next(changes(&[1, 2, 3])), Some(change(2)));
    assert_eq!(rotation.next(changes(&[1, 2, 3])), Some(change(3)));
    assert_eq!(rotation.next(changes(&[1, 2, 3])), Some(change(1)));
    assert_eq!(rotation.next(Vec::new()), None);
}

#[test]
fn each_reason_of_a_refusal_is_new_once() {
    let mut rotation = ChangeRotation::default();
    let proposed = rotation.next(changes(&[1])).expect("a change is open");
    let lost_quorum = |active| ChangeError::WouldLoseQuorum { active, needed: 3 };
    assert!(!rotation.was_refused(&proposed));
    assert!(rotation.record_refusal(&proposed, &lost_quorum(1)));
    assert!(rotation.was_refused(&proposed));
    assert!(!rotation.record_refusal(&proposed, &lost_quorum(2)));
    assert!(rotation.record_refusal(&proposed, &ChangeError::IsLeader));
    assert!(!rotation.record_refusal(&proposed, &ChangeError::IsLeader));
    rotation.clear();
    assert!(!rotation.was_refused(&proposed));
}

/// Numbers of the changes that are open at one time.
fn open_sets() -> impl Strategy<Value = Vec<Vec<u64>>> {
    let open = proptest::collection::btree_set(0_u64..6, 0..6);
    let open = open.prop_map(|set| set.into_iter().collect::<Vec<_>>());
    proptest::collection::vec(open.prop_shuffle(), 1..60)
}

proptest! {
    /// The invariant of the module: between two proposals of one change, every other one that is open all the while is
    /// proposed. Changes come and go in any order.
    #[test]
    fn no_open_change_is_passed_over_twice(sets in open_sets()) {
        let mut rotation = ChangeRotation::default();
        let mut proposed = Vec::new();
        for set in &sets {
            proposed.push(rotation.next(changes(set)));
        }
        for first in 0..sets.len() {
            let Some(again) = &proposed[first] else {
                continue;
            };
            let later = (first + 1..sets.len()).find(|at| proposed[*at].as_ref() == Some(again));
            let Some(later) = later else {
                continue;
            };
            for number in 0..6 {
                let is_open = sets[first..=later].iter().all(|set| set.contains(&number));
                let was_proposed = proposed[first..=later].contains(&Some(change(number)));
                prop_assert!(!is_open || was_proposed, "{number} from {first} to {later}");
            }
        }
    }
}
