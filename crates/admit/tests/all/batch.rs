//! Batch is preempted by online requests and fills the slots that they leave free.

use yuccaseam_admit::{
    Balance,
    Event,
    LoadReport,
    Settings,
    TargetState, //
};
use yuccaseam_base::{
    Millis,
    cases, //
};

use crate::support::{
    Bench,
    granted,
    paused,
    started, //
};

fn settings(balance: u8) -> Settings {
    Settings {
        balance: Balance::percent(balance),
        ..Settings::for_slots(4)
    }
}

fn online_request_is_granted_on_arrival(balance: u8) {
    let mut bench = Bench::new(settings(balance));
    bench.fill_with_batch(100);
    for _ in 0..4 {
        let (permit, actions) = bench.arrive(0);
        assert_eq!(granted(&actions), [permit]);
        assert!(bench.gate.snapshot().online <= 4);
    }
}

cases! { online_request_is_granted_on_arrival:
    at_balance_0(0);
    at_balance_50(50);
    at_balance_100(100);
}

#[test]
fn full_target_pauses_youngest_run_for_online_arrival() {
    let mut bench = Bench::new(settings(100));
    let runs = bench.fill_with_batch(100);
    assert_eq!(runs.len(), 4);
    let (_, actions) = bench.arrive(0);
    assert_eq!(paused(&actions), [runs[3]]);
    let (_, actions) = bench.arrive(0);
    assert_eq!(paused(&actions), [runs[2]]);
}

#[test]
fn batch_fills_idle_target_and_refills_freed_slot_immediately() {
    let mut bench = Bench::new(settings(100));
    let runs = bench.fill_with_batch(100);
    let actions = bench.send(Event::BatchFinished(runs[0]));
    assert_eq!(started(&actions).len(), 1);
}

#[test]
fn pausing_run_holds_its_slot_until_it_ends() {
    let mut bench = Bench::new(settings(100));
    let runs = bench.fill_with_batch(100);
    let (permit, _) = bench.arrive(0);
    assert_eq!(started(&bench.send(Event::Finished(permit))), []);
    let actions = bench.send(Event::BatchPaused(runs[3]));
    assert_eq!(started(&actions).len(), 1);
}

#[test]
fn batch_beside_online_is_limited_by_step_bound() {
    let mut bench = Bench::new(Settings {
        balance: Balance::THROUGHPUT,
        step_bound_micros: 30_000,
        ..Settings::for_slots(10)
    });
    bench.arrive(0);
    // A step takes 20 ms plus 2 ms per request, so five requests stay within the bound.
    for _ in 0..200 {
        let snapshot = bench.gate.snapshot();
        let running = snapshot.online + snapshot.batch;
        let step_micros = 20_000 + 2_000 * running;
        let actions = bench.send(Event::StepMeasured { step_micros });
        for run in paused(&actions) {
            bench.send(Event::BatchPaused(run));
        }
        bench.fill_with_batch(100);
    }
    let snapshot = bench.gate.snapshot();
    assert_eq!(snapshot.online + snapshot.batch, 5);
}

#[test]
fn full_kv_cache_pauses_batch_and_blocks_new_runs() {
    let mut bench = Bench::new(settings(100));
    let runs = bench.fill_with_batch(100);
    let report = LoadReport {
        running: 4,
        waiting: 0,
        kv_permille: 980,
        age: Millis::ZERO,
    };
    let actions = bench.send(Event::Load(report));
    assert_eq!(paused(&actions), [runs[3]]);
    let actions = bench.send(Event::BatchPaused(runs[3]));
    assert_eq!(started(&actions), []);
}

#[test]
fn leaving_target_pauses_all_batch_runs() {
    let mut bench = Bench::new(settings(100));
    let mut runs = bench.fill_with_batch(100);
    runs.reverse();
    let actions = bench.send(Event::Target(TargetState::Leaving));
    assert_eq!(paused(&actions), runs);
}

/// Ends an online request and checks how many batch runs fill the target after `pause`.
fn batch_fills_after(balance: u8, pause: Millis, runs: u32) {
    let mut bench = Bench::new(settings(balance));
    let (permit, _) = bench.arrive(0);
    bench.now += Millis(1_000);
    bench.send(Event::Finished(permit));
    bench.now += pause;
    bench.fill_with_batch(100);
    assert_eq!(bench.gate.snapshot().batch, runs);
}

cases! { batch_fills_after:
    balance_100_fills_immediately(100, Millis::ZERO, 4);
    balance_0_stays_at_online_level_before_idle_delay(0, Millis(5_000), 1);
    balance_0_fills_after_idle_delay(0, Millis(10_000), 4);
}

#[test]
fn closing_batch_pauses_all_runs_and_keeps_online_running() {
    let mut bench = Bench::new(settings(100));
    let runs = bench.fill_with_batch(100);
    let actions = bench.send(Event::BatchClosing);
    assert_eq!(paused(&actions).len(), runs.len());
    assert_eq!(bench.fill_with_batch(100), []);
    let (permit, actions) = bench.arrive(0);
    assert_eq!(granted(&actions), [permit]);
}

#[test]
fn reopened_batch_discards_runs_of_previous_session() {
    let mut bench = Bench::new(settings(100));
    bench.fill_with_batch(100);
    bench.send(Event::BatchOpened);
    assert_eq!(bench.gate.snapshot().batch, 0);
    assert_eq!(bench.fill_with_batch(100).len(), 4);
}

#[test]
fn suspect_target_starts_nothing() {
    let mut bench = Bench::new(settings(100));
    bench.send(Event::Target(TargetState::Suspect));
    assert_eq!(bench.fill_with_batch(100), []);
    let (_, actions) = bench.arrive(0);
    assert_eq!(granted(&actions), []);
    let actions = bench.send(Event::Target(TargetState::Live));
    assert_eq!(granted(&actions).len(), 1);
}
