//! Expected pace of targets, from their reports and their answers.

use yuccaseam_base::Millis;
use yuccaseam_serving::{
    admission::ServiceTimes,
    balance::Placement,
    pace::{
        PaceCost,
        PaceTimes,
        TargetPace, //
    },
};

use super::support::{
    balancer,
    target, //
};

const NOW: Millis = Millis(1_000);
const OBJECTIVE: Millis = Millis(300);

/// Times that grow by 2 ms a percent, of which half is spent until the first event.
fn times() -> PaceTimes {
    let mut times = PaceTimes::default();
    for pace in [55, 120, 120, 300, 120, 55, 120, 120] {
        let grown = u64::from(pace);
        times.record(pace, Millis(50 + grown), Millis(50 + 2 * grown));
    }
    times
}

fn target_of_usual_pace() -> TargetPace {
    let mut pace = TargetPace::default();
    for _ in 0..40 {
        pace.record_report(100, NOW);
    }
    pace
}

#[test]
fn times_follow_the_pace_in_part() {
    let response = times().response_at(200);
    assert!(response.0.abs_diff(250) <= 2, "{response:?}");
    let occupancy = times().occupancy_at(55);
    assert!(occupancy.0.abs_diff(160) <= 2, "{occupancy:?}");
}

/// A target that was slow 300 ms ago is avoided, and tried again within a second.
#[test]
fn report_of_a_slow_moment_fades() {
    let mut pace = target_of_usual_pace();
    pace.record_report(250, NOW);
    let expected = |age| pace.expected(100, NOW + Millis(age)).expect("known");
    assert!(expected(300) >= 240, "{}", expected(300));
    assert!(expected(600) < expected(300));
    assert!(expected(800) <= 110, "{}", expected(800));
}

/// A request that takes much longer than a slow moment is hardly slowed by it.
#[test]
fn slow_moment_counts_for_a_part_of_a_long_request() {
    let mut pace = target_of_usual_pace();
    pace.record_report(250, NOW);
    assert!(pace.expected(10, NOW).expect("known") <= 120);
}

#[test]
fn neighbours_learn_of_an_unusual_pace_once() {
    let mut pace = target_of_usual_pace();
    assert!(pace.record_report(250, NOW));
    assert!(!pace.record_report(250, NOW));
    // The return to the usual one is news for as long as the other one counts.
    assert!(pace.record_report(100, NOW));
    assert!(!pace.record_report(100, NOW));
}

#[test]
fn false_report_shifts_the_lasting_pace_by_half_at_most() {
    let mut pace = TargetPace::default();
    for _ in 0..40 {
        pace.record_report(10, NOW);
        pace.record_answer(200);
    }
    let lasting = pace.expected(0, NOW).expect("known");
    assert!((130..=140).contains(&lasting), "{lasting}");
}

/// Without reports, the times of a service stay what its answers show, whatever a target is asked for.
#[test]
fn service_without_paces_is_served_by_counts() {
    let mut times = ServiceTimes::assumed(OBJECTIVE);
    times.record(Millis(70), Millis(700));
    assert_eq!(times.at_pace(Some(300)), times);
    let cost = PaceCost::new(times.by_pace(), OBJECTIVE);
    let mut entry = balancer("a1");
    for number in 0..8 {
        entry.set_target(&target(number, "a1"));
    }
    for draw in 0..100 {
        let placement = Placement {
            service: "llm",
            tried: &[],
            draw,
            pace: cost,
        };
        let by_counts = entry.choose("llm", &[], draw, NOW);
        assert_eq!(entry.place(&placement, NOW), by_counts);
    }
}
