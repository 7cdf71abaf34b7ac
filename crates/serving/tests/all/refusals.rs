//! Batch items that targets refuse.

use yuccaseam_base::Millis;
use yuccaseam_serving::{
    refusals::{
        FIRST_ROUND_BACKOFF,
        MAX_ROUND_BACKOFF,
        RETRY_BACKOFF,
        Refusals, //
    },
    targets::TargetKey,
};

const TARGETS: [TargetKey; 3] = [TargetKey(1), TargetKey(2), TargetKey(3)];

#[test]
fn item_is_tried_at_every_target_before_it_counts_as_refused() {
    let mut refusals = Refusals::default();
    for target in [TARGETS[0], TARGETS[1]] {
        assert_eq!(refusals.record(target, TARGETS), RETRY_BACKOFF);
        assert!(refusals.is_refused_by(target));
        assert!(!refusals.is_refused_by_all());
    }
    assert_eq!(refusals.record(TARGETS[2], TARGETS), FIRST_ROUND_BACKOFF);
    assert!(refusals.is_refused_by_all());
    // The next round tries every target again: one may have been full.
    assert!(
        !TARGETS
            .into_iter()
            .any(|target| refusals.is_refused_by(target))
    );
}

#[test]
fn item_that_no_target_takes_is_tried_ever_less_often_but_still_tried() {
    let mut refusals = Refusals::default();
    let mut before = Millis::ZERO;
    for _ in 0..100 {
        let backoff = refusals.record_by_all();
        assert!(
            backoff >= before && backoff <= MAX_ROUND_BACKOFF,
            "{backoff}"
        );
        before = backoff;
    }
    assert_eq!(before, MAX_ROUND_BACKOFF);
}

#[test]
fn only_the_first_refusal_of_an_item_counts_against_its_target() {
    let mut refusals = Refusals::default();
    refusals.record(TARGETS[0], TARGETS);
    assert!(refusals.is_first());
    refusals.record(TARGETS[1], TARGETS);
    assert!(!refusals.is_first());
    refusals.record(TARGETS[2], TARGETS);
    refusals.record(TARGETS[0], TARGETS);
    assert!(!refusals.is_first());
}

#[test]
fn targets_that_have_left_do_not_delay_a_round() {
    let mut refusals = Refusals::default();
    assert_eq!(
        refusals.record(TARGETS[0], [TARGETS[0]]),
        FIRST_ROUND_BACKOFF
    );
}
