//! Prefix affinity, as long as the target has available capacity.

use yuccaseam_route::{
    BLOCK_TOKENS,
    ChoiceReason,
    prefix_chain, //
};

use crate::support::{
    NOW,
    online,
    router,
    target,
    with_loads, //
};

#[test]
fn prompt_is_routed_to_the_target_with_its_prefix() {
    let mut router = with_loads(3, &[2; 8]);
    let shared = [11, 12, 13];
    router.record_sent(target(5), &online(&shared), NOW);
    for tail in 100..120 {
        let prompt = [11, 12, 13, tail];
        let choice = router.choose(&online(&prompt), NOW)[0];
        assert_eq!(
            (choice.target, choice.reason),
            (target(5), ChoiceReason::Affinity)
        );
    }
}

#[test]
fn full_target_is_not_chosen_for_its_prefix() {
    let mut router = with_loads(3, &[1, 1, 1, 9]);
    router.record_cached(target(3), 11);
    let choices = router.choose(&online(&[11]), NOW);
    assert_ne!(choices[0].target, target(3));
}

#[test]
fn longer_prefix_is_preferred() {
    let mut router = with_loads(3, &[2; 8]);
    router.record_cached(target(1), 11);
    router.record_cached(target(2), 12);
    let choices = router.choose(&online(&[11, 12]), NOW);
    assert_eq!(choices[0].target, target(2));
}

#[test]
fn evicted_prefix_gives_no_affinity() {
    let mut router = with_loads(3, &[2; 8]);
    router.record_cached(target(1), 11);
    router.record_evicted(target(1), 11);
    let choices = router.choose(&online(&[11]), NOW);
    assert!(
        choices
            .iter()
            .all(|choice| choice.reason == ChoiceReason::Load)
    );
}

#[test]
fn restarted_target_has_no_affinity() {
    let mut router = with_loads(3, &[2; 8]);
    router.record_cached(target(1), 11);
    router.record_restart(target(1));
    let choices = router.choose(&online(&[11]), NOW);
    assert!(
        choices
            .iter()
            .all(|choice| choice.reason == ChoiceReason::Load)
    );
}

#[test]
fn prefix_index_is_bounded() {
    let mut router = router(1);
    for prefix in 0..100_000 {
        router.record_cached(target(1), prefix);
    }
    assert!(router.prefix_count() <= 1_000);
}

#[test]
fn chains_differ_from_the_first_different_block() {
    let first = vec![1; 3 * BLOCK_TOKENS];
    let mut second = first.clone();
    second[BLOCK_TOKENS] = 2;
    let (first, second) = (prefix_chain(&first), prefix_chain(&second));
    assert_eq!(first[0], second[0]);
    assert_ne!(first[1], second[1]);
    assert_ne!(first[2], second[2]);
}
