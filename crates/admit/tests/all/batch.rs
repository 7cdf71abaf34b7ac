//! Batch gives way to online requests and fills what they leave.

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

fn online_starts_in_the_step_of_its_arrival(balance: u8) {
    let mut bench = Bench::new(settings(balance));
    bench.fill_with_batch(100);
    for _ in 0..4 {
        let (permit, actions) = bench.arrive(0);
        assert_eq!(granted(&actions), [permit]);
        assert!(bench.gate.snapshot().online <= 4);
    }
}

cases! { online_starts_in_the_step_of_its_arrival:
    on_the_side_of_latency(0);
    in_the_middle(50);
    on_the_side_of_throughput(100);
}

#[test]
fn a_full_target_pauses_its_youngest_run_for_an_arrival() {
    let mut bench = Bench::new(settings(100));
    let runs = bench.fill_with_batch(100);
    assert_eq!(runs.len(), 4);
    let (_, actions) = bench.arrive(0);
    assert_eq!(paused(&actions), [runs[3]]);
    let (_, actions) = bench.arrive(0);
    assert_eq!(paused(&actions), [runs[2]]);
}

#[test]
fn batch_fills_an_idle_target_and_refills_a_slot_at_once() {
    let mut bench = Bench::new(settings(100));
    let runs = bench.fill_with_batch(100);
    let actions = bench.send(Event::BatchFinished(runs[0]));
    assert_eq!(started(&actions).len(), 1);
}

#[test]
fn a_paused_run_holds_its_slot_until_it_has_left() {
    let mut bench = Bench::new(settings(100));
    let runs = bench.fill_with_batch(100);
    let (permit, _) = bench.arrive(0);
    assert_eq!(started(&bench.send(Event::Finished(permit))), []);
    let actions = bench.send(Event::BatchPaused(runs[3]));
    assert_eq!(started(&actions).len(), 1);
}

#[test]
fn batch_is_held_to_the_bound_between_tokens_beside_online() {
    let mut bench = Bench::new(Settings {
        balance: Balance::THROUGHPUT,
        step_bound_micros: 30_000,
        ..Settings::for_slots(10)
    });
    bench.arrive(0);
    // A step takes 20 ms and 2 ms for each request, so that five requests keep the bound.
    for _ in 0..200 {
        let snapshot = bench.gate.snapshot();
        let running = snapshot.online + snapshot.batch;
        let step_micros = 20_000 + 2_000 * running;
        let actions = bench.send(Event::Paced { step_micros });
        for run in paused(&actions) {
            bench.send(Event::BatchPaused(run));
        }
        bench.fill_with_batch(100);
    }
    let snapshot = bench.gate.snapshot();
    assert_eq!(snapshot.online + snapshot.batch, 5);
}

#[test]
fn full_cache_memory_pauses_batch_and_starts_none() {
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
fn a_leaving_target_gives_up_its_batch() {
    let mut bench = Bench::new(settings(100));
    let mut runs = bench.fill_with_batch(100);
    runs.reverse();
    let actions = bench.send(Event::Target(TargetState::Leaving));
    assert_eq!(paused(&actions), runs);
}

/// An online request ends, and batch may fill the target at once or after a pause.
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
    throughput_fills_at_once(100, Millis::ZERO, 4);
    latency_keeps_to_what_online_met(0, Millis(5_000), 1);
    latency_fills_what_stays_idle(0, Millis(10_000), 4);
}

#[test]
fn a_side_that_ends_gives_up_its_runs_and_online_goes_on() {
    let mut bench = Bench::new(settings(100));
    let runs = bench.fill_with_batch(100);
    let actions = bench.send(Event::BatchClosing);
    assert_eq!(paused(&actions).len(), runs.len());
    assert_eq!(bench.fill_with_batch(100), []);
    let (permit, actions) = bench.arrive(0);
    assert_eq!(granted(&actions), [permit]);
}

#[test]
fn runs_of_an_earlier_session_hold_no_slot() {
    let mut bench = Bench::new(settings(100));
    bench.fill_with_batch(100);
    bench.send(Event::BatchOpened);
    assert_eq!(bench.gate.snapshot().batch, 0);
    assert_eq!(bench.fill_with_batch(100).len(), 4);
}

#[test]
fn a_suspect_target_starts_nothing() {
    let mut bench = Bench::new(settings(100));
    bench.send(Event::Target(TargetState::Suspect));
    assert_eq!(bench.fill_with_batch(100), []);
    let (_, actions) = bench.arrive(0);
    assert_eq!(granted(&actions), []);
    let actions = bench.send(Event::Target(TargetState::Live));
    assert_eq!(granted(&actions).len(), 1);
}
