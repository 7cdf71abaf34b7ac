//! Who waits and who is refused when every engine is full.

use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_serving::{
    admission::{
        Asking,
        Decision,
        come_back_after,
        decide, //
    },
    balance::Choice,
};

use super::support::{
    balancer,
    target, //
};

const NOW: Millis = Millis(1_000);

/// The best target when it has this many requests of callers.
fn best(online: usize) -> Option<Choice> {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    for _ in 0..online {
        entry.begin(record.key());
    }
    entry.choose("llm", &[], 1, NOW)
}

fn asking(waited: u64, patience: u64) -> Asking {
    Asking {
        waited: Millis(waited),
        objective: Millis(300),
        timeout: Millis(5_000),
        patience: Millis(patience),
    }
}

fn decides(online: usize, waited: u64, patience: u64, expected: Decision) {
    let decision = decide(&asking(waited, patience), best(online).as_ref());
    assert_eq!(decision, expected);
}

cases! { decides:
    a_free_slot_is_taken_at_once(3, 0, 5_000, Decision::Send);
    a_short_queue_at_the_engine_is_joined(9, 0, 5_000, Decision::Send);
    a_longer_one_is_waited_for(10, 0, 5_000, Decision::Wait);
    a_first_attempt_is_refused_early(10, 60, 5_000, Decision::Refuse);
    a_caller_that_came_back_waits_longer(14, 60, 3_000, Decision::Wait);
    a_caller_that_came_back_joins_a_longer_queue(10, 0, 3_000, Decision::Send);
    nobody_waits_for_ever(14, 450, 3_000, Decision::Refuse);
}

#[test]
fn without_a_target_a_caller_waits_and_is_refused() {
    assert_eq!(decide(&asking(0, 5_000), None), Decision::Wait);
    assert_eq!(decide(&asking(60, 5_000), None), Decision::Refuse);
}

/// A refusal counts as early within a quarter of the objective.
#[test]
fn a_first_attempt_waits_less_than_a_quarter_of_its_objective() {
    let asking = asking(0, 5_000);
    assert!(asking.max_wait().0 * 4 < asking.objective.0);
}

/// Callers that were refused together must not come back together.
#[test]
fn returns_are_spread() {
    let mut returns: Vec<_> = (0..100)
        .map(|draw| come_back_after(draw * 7_919).0 / 100)
        .collect();
    returns.sort_unstable();
    returns.dedup();
    assert!(returns.len() >= 8, "{returns:?}");
    assert!(returns.iter().all(|tenths| (4..14).contains(tenths)));
}
