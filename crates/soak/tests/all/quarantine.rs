//! Requests with a part that crashes targets, as the soak counts them.

use std::time::{
    Duration,
    Instant, //
};

use yuccaseam_soak::{
    InstanceFault,
    late_requests, //
};
use yuccaseam_testing::platform::{
    Crash,
    Run, //
};

const PART: &str = "d00d";

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Crashes under the part, one a second.
fn crashes(start: Instant, count: u64) -> Vec<Crash> {
    let at = |second| start + seconds(second);
    let crash = |second| Crash {
        at: at(second),
        cause: PART,
    };
    (0..count).map(crash).collect()
}

fn runs_at(at: Instant, count: usize) -> Vec<Run> {
    let run = |number| Run {
        id: format!("{PART}-{number}"),
        path: String::new(),
        after: None,
        time_left: None,
        at,
        team: None,
        credentials: None,
    };
    (0..count).map(run).collect()
}

fn is_violated(crashes: &[Crash], runs: &[Run], faults: &[InstanceFault]) -> bool {
    let runs: Vec<_> = runs.iter().collect();
    late_requests(PART, crashes, &runs, faults).is_some()
}

#[test]
fn fourth_request_after_the_reaction_time_is_a_violation() {
    let start = Instant::now();
    let late = start + seconds(9);
    assert!(!is_violated(&crashes(start, 5), &runs_at(late, 3), &[]));
    assert!(is_violated(&crashes(start, 5), &runs_at(late, 4), &[]));
}

#[test]
fn requests_within_the_reaction_time_do_not_count() {
    let start = Instant::now();
    let in_time = start + seconds(8);
    assert!(!is_violated(&crashes(start, 9), &runs_at(in_time, 20), &[]));
}

#[test]
fn crashes_under_another_part_do_not_count() {
    let start = Instant::now();
    let mut crashes = crashes(start, 5);
    crashes[0].cause = "dead";
    assert!(!is_violated(
        &crashes,
        &runs_at(start + seconds(20), 4),
        &[]
    ));
}

#[test]
fn requests_soon_after_a_fault_of_an_instance_do_not_count() {
    let start = Instant::now();
    let crashes = crashes(start, 5);
    let fault = InstanceFault {
        from: start + seconds(10),
        until: start + seconds(11),
    };
    let is_violated =
        |second| is_violated(&crashes, &runs_at(start + seconds(second), 4), &[fault]);
    assert!(is_violated(9));
    assert!(!is_violated(10));
    assert!(!is_violated(14));
    assert!(is_violated(15));
}
