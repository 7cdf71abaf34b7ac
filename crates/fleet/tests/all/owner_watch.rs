//! Owners of claims during and after a partition.

use yuccaseam_base::{
    InstanceName,
    Millis, //
};
use yuccaseam_fleet::OwnerWatch;

const RUNNING: u64 = 7;

fn owner() -> InstanceName {
    InstanceName("brno-a-1".to_owned())
}

fn at(seconds: u64) -> Millis {
    Millis::from_secs(seconds)
}

/// The claim of a refused order is recorded when the partition heals. Membership still holds the owner
/// for dead, and the first query fails because its connection is not open again yet.
#[test]
fn owner_behind_a_healed_partition_has_not_ended() {
    let mut watch = OwnerWatch::default();
    assert!(!watch.has_ended(&owner(), RUNNING, None, true, at(100)));
    assert!(!watch.has_ended(&owner(), RUNNING, Some(RUNNING), true, at(101)));
    assert!(!watch.has_ended(&owner(), RUNNING, None, true, at(106)));
}

#[test]
fn dead_owner_has_ended_after_some_time() {
    let mut watch = OwnerWatch::default();
    assert!(!watch.has_ended(&owner(), RUNNING, None, true, at(100)));
    assert!(!watch.has_ended(&owner(), RUNNING, None, true, at(104)));
    assert!(watch.has_ended(&owner(), RUNNING, None, true, at(105)));
}

#[test]
fn restarted_owner_has_ended_at_once() {
    let mut watch = OwnerWatch::default();
    assert!(watch.has_ended(&owner(), RUNNING, Some(RUNNING + 1), false, at(100)));
}

#[test]
fn unresponsive_owner_that_membership_knows_has_not_ended() {
    let mut watch = OwnerWatch::default();
    for seconds in 100..200 {
        assert!(!watch.has_ended(&owner(), RUNNING, None, false, at(seconds)));
    }
}

/// An earlier claim of the daemon ended long ago. The time since then must not count.
#[test]
fn owner_of_a_new_claim_is_observed_anew() {
    let mut watch = OwnerWatch::default();
    assert!(!watch.has_ended(&owner(), RUNNING, None, true, at(100)));
    watch.retain(|_| false);
    assert!(!watch.has_ended(&owner(), RUNNING, None, true, at(200)));
}
