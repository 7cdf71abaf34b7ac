//! Scheduling of batch items beside callers.

use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_serving::{
    schedule::{
        self,
        ItemKey,
        ItemTimes,
        Plan,
        RunningItem,
        TargetCapacity,
        WaitingItem,
        are_loads_known, //
    },
    targets::TargetKey,
};

const NOW: Millis = Millis(100_000);
/// Time that an item runs. One that is due in less is late in any case.
const RUN: Millis = Millis(3_000);
const DUE_LATE: Millis = Millis(118_000);
const DUE_PRESSING: Millis = Millis(112_000);
const DUE_URGENT: Millis = Millis(104_000);

fn item(item: u32) -> ItemKey {
    ItemKey { job: 1, item }
}

fn waiting(number: u32, due_at: Millis) -> WaitingItem {
    WaitingItem {
        key: item(number),
        due_at,
        started: false,
        remaining: RUN,
        is_refused: false,
        team: None,
    }
}

fn running(number: u32, due_at: Millis) -> RunningItem {
    RunningItem {
        key: item(number),
        target: TargetKey(1),
        due_at,
        remaining: Millis(1_000),
        team: None,
    }
}

fn engine(online: u32) -> TargetCapacity {
    TargetCapacity {
        target: TargetKey(1),
        slots: 8,
        online,
        accepts: true,
    }
}

fn plan(
    waiting: &[WaitingItem],
    running: &[RunningItem],
    capacities: &[TargetCapacity],
    now: Millis,
) -> Plan {
    schedule::plan(waiting, running, capacities, None, |_, _| false, now)
}

fn check_starts(online: u32, due_at: Millis, expected: usize) {
    let queue: Vec<_> = (0..10).map(|number| waiting(number, due_at)).collect();
    let plan = plan(&queue, &[], &[engine(online)], NOW);
    assert_eq!(plan.start.len(), expected);
    assert!(plan.pause.is_empty());
}

cases! { check_starts:
    items_leave_a_reserve_for_callers(0, DUE_LATE, 6);
    items_take_slots_that_callers_leave(4, DUE_LATE, 2);
    pressing_items_leave_one_slot(4, DUE_PRESSING, 3);
    no_item_starts_during_a_burst_of_callers(7, DUE_LATE, 0);
    urgent_items_use_the_reserve(4, DUE_URGENT, 4);
    late_items_leave_the_reserve(4, Millis(99_000), 2);
}

fn check_pauses(online: u32, due_at: Millis, expected: usize) {
    let runs: Vec<_> = (0..6).map(|number| running(number, due_at)).collect();
    let plan = plan(&[], &runs, &[engine(online)], NOW);
    assert_eq!(plan.pause.len(), expected);
}

cases! { check_pauses:
    few_callers_pause_no_item(1, DUE_LATE, 0);
    burst_of_callers_gets_its_slots_and_one_more(4, DUE_LATE, 3);
    engine_full_of_callers_runs_no_items(8, DUE_LATE, 6);
    urgent_items_yield_only_slots_taken_by_callers(4, DUE_URGENT, 2);
}

#[test]
fn item_due_last_is_preempted_first() {
    let runs = [
        running(1, DUE_URGENT),
        running(2, DUE_LATE),
        running(3, NOW + Millis(12_000)),
    ];
    let plan = plan(&[], &runs, &[engine(5)], NOW);
    assert_eq!(plan.pause, [item(2)]);
}

#[test]
fn items_that_can_be_on_time_start_before_late_ones() {
    let queue = [waiting(1, Millis(90_000)), waiting(2, DUE_LATE)];
    let plan = plan(&queue, &[], &[engine(5)], NOW);
    assert_eq!(plan.start, [(item(2), TargetKey(1))]);
}

/// More items wait than can be complete in time. Those that are due first and can no longer be on time
/// must not make the others late too.
#[test]
fn items_that_are_sure_to_be_late_yield_to_others() {
    let hopeless = waiting(1, NOW + Millis(2_000));
    let feasible = waiting(2, NOW + Millis(6_000));
    let plan_of = |queue: &[WaitingItem]| plan(queue, &[], &[engine(5)], NOW);
    assert_eq!(
        plan_of(&[hopeless, feasible]).start[0],
        (item(2), TargetKey(1))
    );
    // Nearly complete, the first one still can be.
    let nearly_complete = WaitingItem {
        remaining: Millis(500),
        ..hopeless
    };
    assert_eq!(
        plan_of(&[nearly_complete, feasible]).start[0],
        (item(1), TargetKey(1))
    );
}

#[test]
fn expected_run_follows_the_items_that_are_complete() {
    let mut times = ItemTimes::default();
    (0..100).for_each(|_| times.record(Millis(8_000)));
    assert_eq!(times.remaining(Millis::ZERO, false), Millis(8_000));
    assert_eq!(times.remaining(Millis(3_000), true), Millis(5_000));
    assert_eq!(times.remaining(Millis(9_000), true), Millis::ZERO);
}

/// After a loss of power, the new leader finds items that were nearly complete and are due soon.
#[test]
fn items_with_output_of_an_earlier_leader_do_not_yield() {
    let times = ItemTimes::default();
    assert_eq!(times.remaining(Millis::ZERO, true), Millis::ZERO);
}

#[test]
fn emptiest_engine_gets_the_next_item() {
    let other = TargetCapacity {
        target: TargetKey(2),
        ..engine(1)
    };
    let plan = plan(&[waiting(1, DUE_LATE)], &[], &[engine(3), other], NOW);
    assert_eq!(plan.start, [(item(1), TargetKey(2))]);
}

#[test]
fn draining_engine_starts_no_items_and_keeps_running_ones() {
    let draining = TargetCapacity {
        accepts: false,
        ..engine(0)
    };
    let plan = plan(
        &[waiting(1, DUE_LATE)],
        &[running(2, DUE_LATE)],
        &[draining],
        NOW,
    );
    assert!(plan.start.is_empty());
    assert!(plan.pause.is_empty());
}

/// A new leader sees every engine idle, because no entry has reported its requests yet: items that
/// started then would take the slots of callers. Entries detect the loss of the old leader after
/// 0.8 s without a message, and a new one leads after 0.45 s at the earliest.
#[test]
fn new_leader_waits_for_the_loads_of_entries() {
    assert!(!are_loads_known(Millis::ZERO));
    assert!(!are_loads_known(Millis(350 + 100)));
    assert!(are_loads_known(Millis(1_000)));
}

/// Guards against items that no target takes and that hold back the others: they were due first.
#[test]
fn items_that_all_targets_refuse_come_last() {
    let refused = WaitingItem {
        is_refused: true,
        ..waiting(1, DUE_URGENT)
    };
    let late = waiting(2, Millis(90_000));
    let plan = plan(&[refused, late], &[], &[engine(5)], NOW);
    assert_eq!(plan.start[0], (item(2), TargetKey(1)));
}

/// Guards against an item that only one target can run and that is tried at the emptiest one again and
/// again.
#[test]
fn item_is_tried_at_targets_that_have_not_refused_it() {
    let small = engine(0);
    let large = TargetCapacity {
        target: TargetKey(2),
        ..engine(5)
    };
    let refuses = |key, target| key == item(1) && target == TargetKey(1);
    let queue = [waiting(1, DUE_LATE), waiting(2, DUE_LATE)];
    let plan = schedule::plan(&queue, &[], &[small, large], None, refuses, NOW);
    let expected = [(item(1), TargetKey(2)), (item(2), TargetKey(1))];
    assert_eq!(plan.start, expected);
}

/// Guards against late items that never run: they left two slots free at their target, which a target with one
/// or two slots never has, nor one that callers use steadily.
fn late_item_runs(slots: u32, online: u32, targets: u32) {
    let capacities: Vec<_> = (1..=targets)
        .map(|number| TargetCapacity {
            target: TargetKey(number.into()),
            slots,
            online,
            accepts: true,
        })
        .collect();
    let queue: Vec<_> = (0..100)
        .map(|number| waiting(number, Millis(90_000)))
        .collect();
    let first = plan(&queue, &[], &capacities, NOW);
    assert!(!first.start.is_empty(), "no late item starts");
    if online == 0 {
        let started = u32::try_from(first.start.len()).expect("few items");
        assert!(started * 4 >= slots * targets * 3, "only {started} start");
    }
    let runs: Vec<_> = first
        .start
        .iter()
        .map(|(key, target)| RunningItem {
            target: *target,
            ..running(key.item, Millis(90_000))
        })
        .collect();
    let next = plan(&[], &runs, &capacities, NOW);
    assert!(next.pause.is_empty(), "a late item is paused at once");
}

cases! { late_item_runs:
    late_item_runs_at_a_target_with_one_slot(1, 0, 1);
    late_items_run_at_targets_with_one_slot(1, 0, 8);
    late_items_run_at_targets_with_two_slots(2, 0, 3);
    late_items_run_at_targets_with_two_slots_beside_callers(2, 1, 3);
    late_items_run_at_targets_with_three_slots(3, 0, 3);
    late_items_run_at_targets_with_three_slots_beside_callers(3, 2, 3);
    late_items_run_at_targets_with_five_slots_beside_callers(5, 3, 3);
    late_items_run_at_targets_with_eight_slots(8, 0, 3);
    late_items_run_beside_steady_callers(8, 6, 9);
}

/// Callers come first at a target with few slots, too.
fn callers_take_the_slots_of_items(slots: u32) {
    let full = TargetCapacity {
        slots,
        online: slots,
        ..engine(0)
    };
    let runs = [running(1, DUE_LATE), running(2, DUE_URGENT)];
    let plan = plan(&[waiting(3, DUE_URGENT)], &runs, &[full], NOW);
    assert_eq!(plan.pause.len(), 2);
    assert!(plan.start.is_empty());
}

cases! { callers_take_the_slots_of_items:
    callers_take_the_slot_of_a_target_with_one(1);
    callers_take_the_slots_of_a_target_with_two(2);
}
