//! Admission when every engine is full.

use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_serving::{
    admission::{
        Decision,
        QueueCredits,
        RetryDetector,
        ServiceTimes,
        SlotRequest,
        decide,
        retry_after,
        retry_after_startup, //
    },
    balance::{
        Choice,
        Load, //
    },
    targets::TargetRecord,
};

use super::support::{
    balancer,
    target, //
};

const NOW: Millis = Millis(1_000);
const OBJECTIVE: Millis = Millis(300);

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
        objective: OBJECTIVE,
        timeout: Millis(5_000),
        caller_timeout: Millis(caller_timeout),
    }
}

fn check_decision(online: usize, waited: u64, caller_timeout: u64, expected: Decision) {
    let decision = decide(
        &request(waited, caller_timeout),
        best_choice(online).as_ref(),
        &ServiceTimes::assumed(OBJECTIVE),
        true,
    );
    assert_eq!(decision, expected);
}

cases! { check_decision:
    free_slot_is_taken_at_once(3, 0, 5_000, Decision::Send);
    first_attempt_joins_queue_that_leaves_it_on_time(8, 0, 5_000, Decision::Send);
    first_attempt_joins_no_queue_late_in_its_objective(8, 50, 5_000, Decision::Wait);
    first_attempt_waits_when_queue_is_long(9, 0, 5_000, Decision::Wait);
    first_attempt_is_refused_early(9, 60, 5_000, Decision::Refuse);
    retry_joins_queue_that_leaves_it_on_time(8, 0, 3_000, Decision::Send);
    retry_joins_no_queue_that_makes_it_late(9, 0, 3_000, Decision::Wait);
    retry_waits_longer(14, 60, 3_000, Decision::Wait);
    late_retry_takes_a_slot_of_several_free_ones(6, 500, 3_000, Decision::Send);
    late_retry_leaves_the_last_slot_to_others(7, 500, 3_000, Decision::Wait);
    late_retry_joins_no_queue(8, 500, 3_000, Decision::Wait);
    retry_is_refused_after_its_longest_wait(14, 1_500, 3_000, Decision::Refuse);
}

/// The slots of a service with short requests become free so often that a queue does no harm.
#[test]
fn queue_of_fast_service_may_be_longer() {
    let mut times = ServiceTimes::assumed(OBJECTIVE);
    for _ in 0..100 {
        times.record(Millis(30), Millis(30));
    }
    let best = best_choice(19);
    assert_eq!(
        decide(&request(0, 5_000), best.as_ref(), &times, true),
        Decision::Send
    );
    // The target would reject more.
    let best = best_choice(20);
    assert_eq!(
        decide(&request(0, 5_000), best.as_ref(), &times, true),
        Decision::Wait
    );
}

/// A service that is slower than its objective cannot be on time, and is served all the same.
#[test]
fn slow_service_gets_every_free_slot() {
    let mut times = ServiceTimes::assumed(OBJECTIVE);
    (0..100).for_each(|_| times.record(Millis(2_000), Millis(2_000)));
    let last_slot = best_choice(7);
    for waited in [0, 500] {
        let retry = request(waited, 3_000);
        assert_eq!(
            decide(&retry, last_slot.as_ref(), &times, false),
            Decision::Send
        );
    }
}

/// The only slot of a target is free: there are never several.
#[test]
fn late_retry_takes_the_slot_of_a_target_with_one() {
    let mut entry = balancer("a1");
    entry.set_target(&TargetRecord {
        slots: 1,
        ..target(1, "a1")
    });
    let best = entry.choose("llm", &[], 1, NOW);
    let times = ServiceTimes::assumed(OBJECTIVE);
    assert_eq!(
        decide(&request(500, 3_000), best.as_ref(), &times, false),
        Decision::Send
    );
}

/// Batch items hold every slot: however late a request is, they yield.
#[test]
fn late_retry_is_not_held_up_by_items() {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    let items = Load {
        online: 0,
        batch: 8,
    };
    entry.apply_loads(&[(record.key(), items)]);
    entry.record_loads_received(NOW);
    let best = entry.choose("llm", &[], 1, NOW);
    let times = ServiceTimes::assumed(OBJECTIVE);
    assert_eq!(
        decide(&request(500, 3_000), best.as_ref(), &times, false),
        Decision::Send
    );
}

/// All instances see the same place in a queue. Each queues only as many requests as have ended there.
#[test]
fn request_joins_a_queue_only_with_a_credit() {
    let times = ServiceTimes::assumed(OBJECTIVE);
    let full = best_choice(8);
    assert_eq!(
        decide(&request(0, 5_000), full.as_ref(), &times, false),
        Decision::Wait
    );
    let free = best_choice(7);
    assert_eq!(
        decide(&request(0, 5_000), free.as_ref(), &times, false),
        Decision::Send
    );
    let mut credits = QueueCredits::default();
    assert!(!credits.is_available());
    (0..100).for_each(|_| credits.add());
    assert!(credits.is_available());
    (0..2).for_each(|_| credits.spend());
    assert!(!credits.is_available());
}

#[test]
fn request_without_target_waits_and_is_refused() {
    assert_eq!(
        decide(
            &request(0, 5_000),
            None,
            &ServiceTimes::assumed(OBJECTIVE),
            true
        ),
        Decision::Wait
    );
    assert_eq!(
        decide(
            &request(60, 5_000),
            None,
            &ServiceTimes::assumed(OBJECTIVE),
            true
        ),
        Decision::Refuse
    );
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
    assert_eq!(delays_in_tenths, [8, 9, 10, 11]);
    assert!((0..100).all(|draw| retry_after_startup(Millis(1_600), draw) >= Millis(400)));
}

/// Guards against a process that answers no one after times at the edge of their type, which callers
/// and manifests may state.
fn largest_times_are_decided_on(objective: Millis, timeout: Millis, caller_timeout: Millis) {
    let request = SlotRequest {
        waited: Millis(1),
        objective,
        timeout,
        caller_timeout,
    };
    let mut times = ServiceTimes::assumed(objective);
    times.record(Millis::MAX, Millis::MAX);
    for online in [0, 8, 12] {
        decide(&request, best_choice(online).as_ref(), &times, true);
    }
    assert!(request.max_wait() <= caller_timeout);
    let mut detector = RetryDetector::default();
    assert!(!detector.is_retry("drafts", caller_timeout));
}

cases! { largest_times_are_decided_on:
    largest_deadline_of_a_caller(OBJECTIVE, Millis(5_000), Millis::MAX);
    largest_timeout_of_a_route(OBJECTIVE, Millis::MAX, Millis(5_000));
    largest_objective_of_a_route(Millis::MAX, Millis::MAX, Millis(5_000));
    largest_of_all(Millis::MAX, Millis::MAX, Millis::MAX);
}
