//! Bounded queue: deadlines, refusals and `retry_after`.

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

/// Creates a gate with one slot, whose calls take one second.
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
fn request_that_cannot_start_before_its_deadline_is_refused_on_arrival() {
    let mut bench = one_slot();
    for _ in 0..3 {
        bench.arrive(0);
    }
    // Two requests wait, so the next would start in 3 s, but its deadline is in 2 s.
    let (permit, actions) = bench.arrive(0);
    assert_eq!(
        refused(&actions),
        [(permit, Reason::DeadlinePassed, Millis(1_000))]
    );
}

#[test]
fn request_is_accepted_after_retry_after() {
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
fn queued_request_past_its_deadline_never_starts() {
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
fn no_request_is_both_granted_and_refused() {
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
fn withdrawn_request_leaves_the_queue() {
    let mut bench = Bench::new(Settings::for_slots(1));
    let (running, _) = bench.arrive(0);
    let (gone, _) = bench.arrive(0);
    let (next, _) = bench.arrive(0);
    bench.send(Event::Withdrawn(gone));
    assert_eq!(granted(&bench.send(Event::Withdrawn(running))), [next]);
}

#[test]
fn leaving_target_refuses_waiting_requests() {
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
fn suspect_target_refuses_requests_after_timeout() {
    let mut bench = Bench::new(Settings::for_slots(2));
    bench.send(Event::Target(TargetState::Suspect));
    let (waiting, actions) = bench.arrive(0);
    assert_eq!(actions, []);
    bench.now += Millis(1_600);
    let actions = bench.send(Event::Tick);
    let retry_after = Millis(100);
    assert_eq!(
        refused(&actions),
        [(waiting, Reason::NoTarget, retry_after)]
    );
    let (next, actions) = bench.arrive(0);
    assert_eq!(refused(&actions), [(next, Reason::NoTarget, retry_after)]);
}
