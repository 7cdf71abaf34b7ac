//! A leader vanishes with items at every target, which run on.

use yuccaseam_base::Millis;
use yuccaseam_serving::{
    orphans::OrphanedItems,
    targets::TargetKey, //
};

const VANISHED_AT: Millis = Millis(1_000);

fn running(orphans: &OrphanedItems, after: u64) -> Vec<(TargetKey, u32)> {
    orphans.running(VANISHED_AT + Millis(after)).collect()
}

#[test]
fn items_of_a_vanished_leader_hold_slots_until_they_end() {
    let counts = [(TargetKey(1), 6), (TargetKey(2), 1)];
    let orphans = OrphanedItems::new(counts, VANISHED_AT);
    assert_eq!(running(&orphans, 0), counts);
    assert_eq!(
        running(&orphans, 2_000),
        [(TargetKey(1), 3), (TargetKey(2), 1)]
    );
    assert_eq!(running(&orphans, 4_000), []);
    assert_eq!(running(&orphans, 60_000), []);
}

#[test]
fn first_leader_has_no_orphans() {
    assert_eq!(running(&OrphanedItems::default(), 0), []);
}
