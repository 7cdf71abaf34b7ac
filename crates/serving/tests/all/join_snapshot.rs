//! Snapshots that stores wait for before they join.

use yuccaseam_serving::{
    JoinSnapshot,
    JoinStep, //
};

const SHORT: u64 = 1 << 10;
const LONG: u64 = 1 << 20;

#[test]
fn store_joins_at_once_with_a_short_log() {
    let mut snapshots = JoinSnapshot::default();
    assert_eq!(snapshots.next_step(SHORT, false), JoinStep::Join);
}

#[test]
fn store_waits_for_a_snapshot_of_a_long_log() {
    let mut snapshots = JoinSnapshot::default();
    assert_eq!(snapshots.next_step(LONG, false), JoinStep::WaitForNew);
    assert_eq!(snapshots.next_step(SHORT, true), JoinStep::Wait);
    snapshots.record_end();
    assert_eq!(snapshots.next_step(SHORT, false), JoinStep::Join);
}

/// Guards against a store that never joins because the log grows as fast as snapshots are written, and with it against
/// a lost voter that is not replaced under load.
#[test]
fn store_waits_for_one_snapshot_under_load() {
    let mut snapshots = JoinSnapshot::default();
    assert_eq!(snapshots.next_step(LONG, false), JoinStep::WaitForNew);
    snapshots.record_end();
    // The next snapshot is due at once.
    assert_eq!(snapshots.next_step(LONG, true), JoinStep::Join);
}

#[test]
fn each_join_waits_for_a_snapshot_of_its_own() {
    let mut snapshots = JoinSnapshot::default();
    for _ in 0..2 {
        assert_eq!(snapshots.next_step(LONG, true), JoinStep::Wait);
        snapshots.record_end();
        assert_eq!(snapshots.next_step(LONG, false), JoinStep::Join);
    }
}

/// A snapshot that cannot be written, as on a full disk, does not delay the join any longer.
#[test]
fn store_joins_after_a_snapshot_was_given_up() {
    let mut snapshots = JoinSnapshot::default();
    assert_eq!(snapshots.next_step(LONG, false), JoinStep::WaitForNew);
    assert_eq!(snapshots.next_step(LONG, false), JoinStep::WaitForNew);
    snapshots.record_end();
    assert_eq!(snapshots.next_step(LONG, false), JoinStep::Join);
}
