//! Announcements that are late or repeated, or come from departed targets.

use std::net::SocketAddr;

use assert_matches::assert_matches;
use yuccaseam_base::{
    Millis,
    TargetName, //
};
use yuccaseam_serving::targets::{
    AnnouncementOutcome,
    TargetRecord,
    Targets, //
};

use super::support::target;

const NOW: Millis = Millis(1_000);

fn numbered(number: u64) -> TargetRecord {
    TargetRecord {
        number,
        ..target(1, "a1")
    }
}

#[test]
fn renewal_changes_nothing() {
    let mut targets = Targets::default();
    assert_matches!(
        targets.apply_announcement(numbered(1), NOW),
        AnnouncementOutcome::Changed(_)
    );
    assert_eq!(
        targets.apply_announcement(numbered(2), NOW),
        AnnouncementOutcome::Renewed
    );
}

#[test]
fn late_announcement_does_not_undo_a_drain() {
    let mut targets = Targets::default();
    targets.apply_announcement(numbered(1), NOW);
    let mut draining = numbered(3);
    draining.draining = true;
    assert_matches!(
        targets.apply_announcement(draining, NOW),
        AnnouncementOutcome::Changed(_)
    );
    assert_eq!(
        targets.apply_announcement(numbered(2), NOW),
        AnnouncementOutcome::Stale
    );
    // Nor does a newer one of the same start.
    assert_eq!(
        targets.apply_announcement(numbered(4), NOW),
        AnnouncementOutcome::Renewed
    );
    assert!(targets.records().all(|record| record.draining));
}

/// Guards against a late report of a start that left, which departed the next start of the target for good.
#[test]
fn late_departure_of_an_earlier_start_does_not_concern_a_later_one() {
    let name = TargetName::from("engine-1");
    let mut targets = Targets::default();
    let start = |started_at| TargetRecord {
        started_at,
        ..numbered(1)
    };
    targets.apply_announcement(start(2), NOW);
    assert_eq!(targets.mark_start_left(&name, 1, NOW), None);
    assert!(targets.records().all(TargetRecord::takes_work));
    let left = targets.mark_start_left(&name, 2, NOW);
    assert_matches!(left, Some(record) if !record.takes_work());
    let late = TargetRecord {
        number: 7,
        ..start(2)
    };
    let late = targets.apply_announcement(late, NOW);
    assert_eq!(late, AnnouncementOutcome::Stale);
    let next = targets.apply_announcement(start(3), NOW);
    assert_matches!(next, AnnouncementOutcome::Changed(_));
}

#[test]
fn departed_target_returns_only_with_a_new_start() {
    let mut targets = Targets::default();
    targets.apply_announcement(numbered(1), NOW);
    let left = targets.mark_left(&TargetName::from("engine-1"), NOW);
    assert_matches!(left, Some(record) if record.draining);
    assert_eq!(
        targets.apply_announcement(numbered(2), NOW),
        AnnouncementOutcome::Stale
    );
    let restarted = TargetRecord {
        started_at: 2,
        ..numbered(1)
    };
    assert_matches!(
        targets.apply_announcement(restarted, NOW),
        AnnouncementOutcome::Changed(records) if records[0].takes_work()
    );
}

#[test]
fn later_start_owns_the_address() {
    let mut targets = Targets::default();
    let old = target(1, "a1");
    targets.apply_announcement(old.clone(), NOW);
    let new = TargetRecord {
        name: TargetName::from("engine-9"),
        service: "other".to_owned(),
        started_at: 2,
        ..old.clone()
    };
    // Followers and the log must be told that the old target is gone.
    assert_matches!(
        targets.apply_announcement(new, NOW),
        AnnouncementOutcome::Changed(records) if records.len() == 2 && !records[1].takes_work()
    );
    let late = TargetRecord { number: 7, ..old };
    assert_eq!(
        targets.apply_announcement(late, NOW),
        AnnouncementOutcome::Stale
    );
    let live: Vec<_> = targets.records().filter(|record| !record.left).collect();
    assert_eq!(live.len(), 1);
    assert_eq!(live[0].name, TargetName::from("engine-9"));
}

#[test]
fn unresponsive_target_expires_unless_timeouts_were_reset() {
    let mut targets = Targets::default();
    targets.apply_announcement(numbered(1), NOW);
    targets.reset_timeouts(NOW + Millis(5_000));
    assert!(
        targets
            .expire(Millis(6_000), NOW + Millis(8_000))
            .is_empty()
    );
    let expired = targets.expire(Millis(6_000), NOW + Millis(12_000));
    assert_matches!(expired.as_slice(), [record] if record.left);
}

#[test]
fn records_of_other_instances_are_merged_in_order() {
    let mut targets = Targets::default();
    let mut draining = numbered(2);
    draining.draining = true;
    assert_eq!(targets.merge(draining, NOW).len(), 1);
    assert!(
        targets.merge(numbered(5), NOW).is_empty(),
        "a drain is not undone"
    );
    let other: SocketAddr = "10.9.9.9:1".parse().expect("an address");
    let restarted = TargetRecord {
        started_at: 3,
        address: other,
        ..numbered(1)
    };
    assert_eq!(targets.merge(restarted, NOW).len(), 1);
}

/// A leader that starts after a power loss merges the recorded targets in the order of their names,
/// and some records are of targets whose address has been taken over since.
#[test]
fn records_merged_in_any_order_leave_the_address_to_the_later_start() {
    let old = target(1, "a1");
    let new = TargetRecord {
        name: TargetName::from("engine-0"),
        started_at: 2,
        ..old.clone()
    };
    for records in [[old.clone(), new.clone()], [new.clone(), old]] {
        let mut targets = Targets::default();
        for record in records {
            targets.merge(record, NOW);
        }
        let live: Vec<_> = targets.records().filter(|record| !record.left).collect();
        assert_matches!(live.as_slice(), [record] if record.name == new.name);
        let renewed = TargetRecord {
            number: 9,
            ..new.clone()
        };
        assert_eq!(
            targets.apply_announcement(renewed, NOW),
            AnnouncementOutcome::Renewed
        );
    }
}

/// The announcements of a sound target are lost for longer than its timeout, as when it is cut off.
#[test]
fn expired_target_that_announces_itself_again_takes_work() {
    let mut targets = Targets::default();
    targets.apply_announcement(numbered(1), NOW);
    let expired_at = NOW + Millis(7_000);
    assert_eq!(targets.expire(Millis(6_000), expired_at).len(), 1);
    assert_matches!(
        targets.apply_announcement(numbered(2), expired_at),
        AnnouncementOutcome::Changed(_)
    );
    assert!(
        targets
            .records()
            .all(|record| !record.left && !record.draining)
    );
}

/// Guards against new work for a target after its response said that it drains: an announcement, or an
/// instance that does not know, says later that the same start is ready.
#[test]
fn drain_from_a_response_is_undone_only_by_a_new_start() {
    let mut targets = Targets::default();
    targets.apply_announcement(numbered(1), NOW);
    let key = numbered(1).key();
    assert_matches!(targets.mark_draining(key), Some(record) if !record.takes_work());
    assert_eq!(targets.mark_draining(key), None, "known");
    assert_eq!(
        targets.apply_announcement(numbered(2), NOW),
        AnnouncementOutcome::Renewed
    );
    assert!(targets.merge(numbered(9), NOW).is_empty());
    let expired = TargetRecord {
        left: true,
        ..numbered(10)
    };
    assert!(targets.merge(expired, NOW).is_empty());
    assert!(targets.records().all(|record| !record.takes_work()));
    let restarted = TargetRecord {
        started_at: 2,
        ..numbered(1)
    };
    assert_matches!(
        targets.merge(restarted.clone(), NOW).as_slice(),
        [record] if record.takes_work()
    );
    // A late response of the start before says nothing of this one.
    assert_eq!(targets.mark_draining(key), None);
    assert!(targets.records().all(TargetRecord::takes_work));
    assert!(!targets.is_drain_unknown_to(&restarted));
}

#[test]
fn drain_is_told_to_instances_that_do_not_know_of_it() {
    let mut targets = Targets::default();
    targets.apply_announcement(numbered(1), NOW);
    assert!(!targets.is_drain_unknown_to(&numbered(5)));
    let drained = targets.mark_draining(numbered(1).key());
    assert!(targets.is_drain_unknown_to(&numbered(5)));
    let drained = drained.expect("the target took work");
    assert!(!targets.is_drain_unknown_to(&drained));
    assert!(!targets.is_drain_unknown_to(&target(2, "a1")));
}

/// Guards against the loss of a sound target for good, after an announcement of another writer with its
/// address: it goes on to announce itself, and the other one does not.
#[test]
fn address_returns_to_a_target_that_outlives_its_later_owner() {
    let sound = target(1, "a1");
    let other = TargetRecord {
        name: TargetName::from("odd"),
        started_at: 2,
        ..sound.clone()
    };
    let announced = |number| TargetRecord {
        number,
        ..sound.clone()
    };
    let mut leader = Targets::default();
    let mut follower = Targets::default();
    for record in [announced(1), other] {
        let outcome = leader.apply_announcement(record, NOW);
        assert_matches!(outcome, AnnouncementOutcome::Changed(records) => {
            follower.merge_all(records, NOW);
        });
    }
    assert_eq!(
        leader.apply_announcement(announced(2), NOW),
        AnnouncementOutcome::Stale
    );
    let expired_at = NOW + Millis(7_000);
    assert_eq!(leader.expire(Millis(6_000), expired_at).len(), 1);
    assert_matches!(
        leader.apply_announcement(announced(3), expired_at),
        AnnouncementOutcome::Changed(_)
    );
    // The follower was cut off meanwhile. It is sent all targets, in the order of their names.
    let all = leader.records().cloned().collect();
    follower.merge_all(all, expired_at);
    for targets in [leader, follower] {
        let live: Vec<_> = targets.records().filter(|record| !record.left).collect();
        assert_matches!(live.as_slice(), [record] if **record == announced(3));
    }
}

/// An announcement that was delayed by a partition arrives after its target has crashed, and after the
/// next owner of the address has left by itself.
#[test]
fn address_of_a_target_that_left_by_itself_returns_to_no_earlier_one() {
    let mut targets = Targets::default();
    let old = target(1, "a1");
    let new = TargetRecord {
        name: TargetName::from("engine-9"),
        started_at: 2,
        ..old.clone()
    };
    targets.apply_announcement(old.clone(), NOW);
    targets.apply_announcement(new.clone(), NOW);
    targets.mark_left(&new.name, NOW);
    let late = TargetRecord { number: 7, ..old };
    assert_eq!(
        targets.apply_announcement(late, NOW),
        AnnouncementOutcome::Stale
    );
}
