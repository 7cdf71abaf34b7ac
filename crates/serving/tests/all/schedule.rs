//! Batch items beside callers: who gets a slot, and who makes way.

use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_serving::{
    schedule::{
        Capacity,
        ItemKey,
        Running,
        Waiting,
        are_loads_known,
        plan, //
    },
    targets::TargetKey,
};

const NOW: Millis = Millis(100_000);
const FAR: Millis = Millis(118_000);
const PRESSING: Millis = Millis(112_000);
const SOON: Millis = Millis(104_000);

fn item(item: u32) -> ItemKey {
    ItemKey { job: 1, item }
}

fn waiting(number: u32, due_at: Millis) -> Waiting {
    Waiting {
        key: item(number),
        due_at,
        begun: false,
    }
}

fn running(number: u32, due_at: Millis) -> Running {
    Running {
        key: item(number),
        target: TargetKey(1),
        due_at,
    }
}

fn engine(online: u32) -> Capacity {
    Capacity {
        target: TargetKey(1),
        slots: 8,
        online,
        accepts: true,
    }
}

fn starts(online: u32, due_at: Millis, expected: usize) {
    let queue: Vec<_> = (0..10).map(|number| waiting(number, due_at)).collect();
    let plan = plan(&queue, &[], &[engine(online)], NOW);
    assert_eq!(plan.start.len(), expected);
    assert!(plan.pause.is_empty());
}

cases! { starts:
    items_leave_a_reserve_for_callers(0, FAR, 6);
    items_take_what_callers_leave(4, FAR, 2);
    items_that_are_due_soon_leave_one_slot(4, PRESSING, 3);
    a_burst_of_callers_keeps_items_out(7, FAR, 0);
    items_that_run_out_of_time_use_the_reserve(4, SOON, 4);
    items_that_are_late_already_do_not(4, Millis(99_000), 2);
}

fn pauses(online: u32, due_at: Millis, expected: usize) {
    let runs: Vec<_> = (0..6).map(|number| running(number, due_at)).collect();
    let plan = plan(&[], &runs, &[engine(online)], NOW);
    assert_eq!(plan.pause.len(), expected);
}

cases! { pauses:
    quiet_callers_pause_nobody(1, FAR, 0);
    a_burst_of_callers_gets_its_slots_and_one_more(4, FAR, 3);
    a_full_engine_runs_no_items(8, FAR, 6);
    items_that_run_out_of_time_give_only_what_callers_take(4, SOON, 2);
}

#[test]
fn the_last_due_makes_way_first() {
    let runs = [
        running(1, SOON),
        running(2, FAR),
        running(3, NOW + Millis(12_000)),
    ];
    let plan = plan(&[], &runs, &[engine(5)], NOW);
    assert_eq!(plan.pause, [item(2)]);
}

#[test]
fn what_can_be_on_time_goes_before_what_is_late() {
    let queue = [waiting(1, Millis(90_000)), waiting(2, FAR)];
    let plan = plan(&queue, &[], &[engine(5)], NOW);
    assert_eq!(plan.start, [(item(2), TargetKey(1))]);
}

#[test]
fn the_emptiest_engine_gets_the_next_item() {
    let other = Capacity {
        target: TargetKey(2),
        ..engine(1)
    };
    let plan = plan(&[waiting(1, FAR)], &[], &[engine(3), other], NOW);
    assert_eq!(plan.start, [(item(1), TargetKey(2))]);
}

#[test]
fn an_engine_that_drains_starts_nothing_and_keeps_what_runs() {
    let draining = Capacity {
        accepts: false,
        ..engine(0)
    };
    let plan = plan(&[waiting(1, FAR)], &[running(2, FAR)], &[draining], NOW);
    assert!(plan.start.is_empty());
    assert!(plan.pause.is_empty());
}

/// A leader that has just begun sees every engine idle, because no entry has told it of its requests:
/// items that started then would take the slots of callers. Entries notice after 0.8 s of silence that
/// the old leader is gone, and a new one leads after 0.45 s at the earliest.
#[test]
fn a_leader_that_begins_waits_for_the_loads_of_entries() {
    assert!(!are_loads_known(Millis::ZERO));
    assert!(!are_loads_known(Millis(350 + 100)));
    assert!(are_loads_known(Millis(1_000)));
}
