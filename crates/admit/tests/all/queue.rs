//! The bounded queue: deadlines, refusals and when to come back.

use yuccaseam_admit::{
    Event,
    PermitId,
    Settings,
    TargetState, //
};
use yuccaseam_base::{
    Millis,
    Reason, //
};

use crate::support::{
    Bench,
    granted,
    refused, //
};

/// A gate with one slot, whose calls take one second.
fn one_slot() -> Bench {
    let mut bench = Bench::new(Settings {
        queue_limit: 100,
        ..Settings::for_slots(1)
    });
    let (permit, _) = bench.arrive(0);
    bench.now += Millis(1_000);
    bench.send(Event::Finished(permit));
    bench
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_on_arrival() {
    let mut bench = one_slot();
    for _ in 0..3 {
        bench.arrive(0);
    }
    // Two wait, so the next would start in 3 s, and its deadline is in 2 s.
    let (permit, actions) = bench.arrive(0);
    assert_eq!(
        refused(&actions),
        [(permit, Reason::DeadlinePassed, Millis(1_000))]
    );
}

#[test]
fn the_retry_hint_is_when_the_same_request_would_be_taken() {
    let mut bench = one_slot();
    let (first, _) = bench.arrive(0);
    bench.arrive(0);
    bench.arrive(0);
    let (_, actions) = bench.arrive(0);
    let (_, _, retry_after) = refused(&actions)[0];
    bench.now += retry_after;
    bench.send(Event::Finished(first));
    let (_, actions) = bench.arrive(0);
    assert_eq!(refused(&actions), []);
}

#[test]
fn a_request_whose_deadline_passes_in_the_queue_never_starts() {
    let mut bench = Bench::new(Settings::for_slots(1));
    let (running, _) = bench.arrive(0);
    let (late, _) = bench.arrive(0);
    assert_eq!(bench.gate.next_deadline(), Some(bench.now + Millis(2_000)));
    bench.now += Millis(2_000);
    let actions = bench.send(Event::Finished(running));
    assert_eq!(granted(&actions), []);
    assert_eq!(refused(&actions)[0].0, late);
    assert_eq!(refused(&actions)[0].1, Reason::DeadlinePassed);
}

#[test]
fn a_refused_request_was_never_granted_and_a_granted_one_is_never_refused() {
    let mut bench = Bench::new(Settings {
        queue_limit: 3,
        ..Settings::for_slots(2)
    });
    let mut grants: Vec<PermitId> = Vec::new();
    let mut refusals = Vec::new();
    for step in 0..300 {
        let (_, mut actions) = bench.arrive(step % 5);
        bench.now += Millis(70);
        if step % 3 == 0 && !grants.is_empty() {
            let permit = grants[grants.len() / 2];
            actions.extend(bench.send(Event::Finished(permit)));
        }
        grants.extend(granted(&actions));
        refusals.extend(refused(&actions).into_iter().map(|refusal| refusal.0));
    }
    assert!(!refusals.is_empty());
    assert!(refusals.iter().all(|permit| !grants.contains(permit)));
}

#[test]
fn a_withdrawn_request_gives_its_place_up() {
    let mut bench = Bench::new(Settings::for_slots(1));
    let (running, _) = bench.arrive(0);
    let (gone, _) = bench.arrive(0);
    let (next, _) = bench.arrive(0);
    bench.send(Event::Withdrawn(gone));
    assert_eq!(granted(&bench.send(Event::Withdrawn(running))), [next]);
}

#[test]
fn a_leaving_target_refuses_what_waits() {
    let mut bench = Bench::new(Settings::for_slots(1));
    bench.arrive(0);
    let (waiting, _) = bench.arrive(0);
    let actions = bench.send(Event::Target(TargetState::Leaving));
    assert_eq!(refused(&actions)[0].0, waiting);
    assert_eq!(refused(&actions)[0].1, Reason::NoTarget);
    let (late, actions) = bench.arrive(0);
    assert_eq!(refused(&actions)[0].0, late);
}

#[test]
fn requests_leave_a_target_that_is_not_heard_of() {
    let mut bench = Bench::new(Settings::for_slots(2));
    bench.send(Event::Target(TargetState::Suspect));
    let (waiting, actions) = bench.arrive(0);
    assert_eq!(actions, []);
    bench.now += Millis(1_600);
    let actions = bench.send(Event::Tick);
    let elsewhere = Millis(100);
    assert_eq!(refused(&actions), [(waiting, Reason::NoTarget, elsewhere)]);
    let (next, actions) = bench.arrive(0);
    assert_eq!(refused(&actions), [(next, Reason::NoTarget, elsewhere)]);
}
