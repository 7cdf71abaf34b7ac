//! Who waits and who is refused when every engine is full.

use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_serving::{
    admission::{
        Asking,
        Decision,
        Patience,
        come_back_after,
        come_back_after_start,
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

/// After a loss of power every instance starts without a manifest. Callers that found no connection
/// before have no attempt left: they wait, and all others are told when to come back.
#[test]
fn callers_that_came_back_are_known_before_a_manifest_is() {
    let mut patience = Patience::default();
    assert!(!patience.came_back("drafts", Millis(5_000)));
    assert!(patience.came_back("drafts", Millis(3_998)));
    assert!(!patience.came_back("drafts", Millis(5_000)));
    assert!(!patience.came_back("sheets", Millis(2_000)));
    assert!(patience.came_back("sheets", Millis(900)));
}

/// All instances start at the same moment: the callers of their first second must not return at one
/// moment, nor long after the manifest is known.
#[test]
fn returns_after_a_start_are_spread() {
    let after =
        |up_for, draw: u64| Millis(up_for) + come_back_after_start(Millis(up_for), draw * 7_919);
    let mut tenths: Vec<_> = (0..100).map(|draw| after(0, draw).0 / 100).collect();
    tenths.sort_unstable();
    tenths.dedup();
    assert_eq!(tenths, [11, 12, 13, 14]);
    assert!((0..100).all(|draw| come_back_after_start(Millis(1_600), draw) >= Millis(400)));
}
