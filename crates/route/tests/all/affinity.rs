//! Prompts go where their prefix may be cached, as long as that target has room.

use yuccaseam_route::{
    BLOCK_TOKENS,
    Why,
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
fn a_prompt_follows_its_prefix() {
    let mut router = with_loads(3, &[2; 8]);
    let shared = [11, 12, 13];
    router.sent(target(5), &online(&shared), NOW);
    for tail in 100..120 {
        let prompt = [11, 12, 13, tail];
        let choice = router.choose(&online(&prompt), NOW)[0];
        assert_eq!((choice.target, choice.why), (target(5), Why::Affinity));
    }
}

#[test]
fn a_full_target_loses_its_prefix_to_others() {
    let mut router = with_loads(3, &[1, 1, 1, 9]);
    router.cached(target(3), 11);
    let choices = router.choose(&online(&[11]), NOW);
    assert_ne!(choices[0].target, target(3));
}

#[test]
fn the_longer_prefix_wins() {
    let mut router = with_loads(3, &[2; 8]);
    router.cached(target(1), 11);
    router.cached(target(2), 12);
    let choices = router.choose(&online(&[11, 12]), NOW);
    assert_eq!(choices[0].target, target(2));
}

#[test]
fn an_evicted_prefix_draws_no_prompt() {
    let mut router = with_loads(3, &[2; 8]);
    router.cached(target(1), 11);
    router.evicted(target(1), 11);
    let choices = router.choose(&online(&[11]), NOW);
    assert!(choices.iter().all(|choice| choice.why == Why::Load));
}

#[test]
fn a_restarted_target_holds_nothing() {
    let mut router = with_loads(3, &[2; 8]);
    router.cached(target(1), 11);
    router.restarted(target(1));
    let choices = router.choose(&online(&[11]), NOW);
    assert!(choices.iter().all(|choice| choice.why == Why::Load));
}

#[test]
fn the_memory_is_bounded() {
    let mut router = router(1);
    for prefix in 0..100_000 {
        router.cached(target(1), prefix);
    }
    assert!(router.prefixes() <= 1_000);
}

#[test]
fn a_chain_differs_from_the_block_that_differs() {
    let first = vec![1; 3 * BLOCK_TOKENS];
    let mut second = first.clone();
    second[BLOCK_TOKENS] = 2;
    let (first, second) = (prefix_chain(&first), prefix_chain(&second));
    assert_eq!(first[0], second[0]);
    assert_ne!(first[1], second[1]);
    assert_ne!(first[2], second[2]);
}
