//! Admission when every engine is full.

use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_serving::{
    admission::{
        Decision,
        RetryDetector,
        SlotRequest,
        decide,
        retry_after,
        retry_after_startup, //
    },
    balance::Choice,
};

use super::support::{
    balancer,
    target, //
};

const NOW: Millis = Millis(1_000);

/// The best target when it runs this many requests of callers.
fn best_choice(online: usize) -> Option<Choice> {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    for _ in 0..online {
        entry.begin_request(record.key());
    }
    entry.choose("llm", &[], 1, NOW)
}

fn request(waited: u64, caller_timeout: u64) -> SlotRequest {
    SlotRequest {
        waited: Millis(waited),
        objective: Millis(300),
        timeout: Millis(5_000),
        caller_timeout: Millis(caller_timeout),
    }
}

fn check_decision(online: usize, waited: u64, caller_timeout: u64, expected: Decision) {
    let decision = decide(
        &request(waited, caller_timeout),
        best_choice(online).as_ref(),
    );
    assert_eq!(decision, expected);
}

cases! { check_decision:
    free_slot_is_taken_at_once(3, 0, 5_000, Decision::Send);
    first_attempt_joins_short_queue(9, 0, 5_000, Decision::Send);
    first_attempt_waits_when_queue_is_long(10, 0, 5_000, Decision::Wait);
    first_attempt_is_refused_early(10, 60, 5_000, Decision::Refuse);
    retry_waits_longer(14, 60, 3_000, Decision::Wait);
    retry_joins_longer_queue(10, 0, 3_000, Decision::Send);
    retry_is_refused_after_its_longest_wait(14, 450, 3_000, Decision::Refuse);
}

#[test]
fn request_without_target_waits_and_is_refused() {
    assert_eq!(decide(&request(0, 5_000), None), Decision::Wait);
    assert_eq!(decide(&request(60, 5_000), None), Decision::Refuse);
}

/// A refusal counts as early within a quarter of the objective.
#[test]
fn first_attempt_waits_less_than_a_quarter_of_its_objective() {
    let request = request(0, 5_000);
    assert!(request.max_wait().0 * 4 < request.objective.0);
}

/// Callers that were refused together must not retry together.
#[test]
fn retry_delays_are_jittered() {
    let mut delays: Vec<_> = (0..100)
        .map(|draw| retry_after(draw * 7_919).0 / 100)
        .collect();
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() >= 8, "{delays:?}");
    assert!(delays.iter().all(|delay| (4..14).contains(delay)));
}

/// After a power loss, every instance starts without a manifest. Callers that found no connection
/// before have no further attempt: they must wait, while all others are refused with a retry time.
#[test]
fn retries_are_detected_without_a_manifest() {
    let mut detector = RetryDetector::default();
    assert!(!detector.is_retry("drafts", Millis(5_000)));
    assert!(detector.is_retry("drafts", Millis(3_998)));
    assert!(!detector.is_retry("drafts", Millis(5_000)));
    assert!(!detector.is_retry("sheets", Millis(2_000)));
    assert!(detector.is_retry("sheets", Millis(900)));
}

/// All instances start at the same moment. The callers of their first second must not all retry at
/// one moment, nor long after the manifest is known.
#[test]
fn retry_delays_after_a_start_are_jittered() {
    let retry_at =
        |uptime, draw: u64| Millis(uptime) + retry_after_startup(Millis(uptime), draw * 7_919);
    let mut delays_in_tenths: Vec<_> = (0..100).map(|draw| retry_at(0, draw).0 / 100).collect();
    delays_in_tenths.sort_unstable();
    delays_in_tenths.dedup();
    assert_eq!(delays_in_tenths, [11, 12, 13, 14]);
    assert!((0..100).all(|draw| retry_after_startup(Millis(1_600), draw) >= Millis(400)));
}
