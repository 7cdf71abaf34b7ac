//! Entries that reach some stores, but not the leader.

use yuccaseam_base::Millis;
use yuccaseam_serving::leader_search::{
    LeaderSearch,
    SearchOutcome,
    SearchTally,
    StoreAnswer, //
};

const NOW: Millis = Millis(10_000);

fn outcome(answers: &[StoreAnswer]) -> SearchOutcome {
    let mut tally = SearchTally::default();
    answers.iter().for_each(|answer| tally.record(*answer));
    tally.outcome()
}

/// One store of a minority knows of no leader, another still names the one that is cut off.
#[test]
fn named_leader_that_is_silent_outweighs_stores_without_a_leader() {
    let answers = [
        StoreAnswer::KnowsNoLeader,
        StoreAnswer::LeaderSilent,
        StoreAnswer::Silent,
    ];
    assert_eq!(outcome(&answers), SearchOutcome::Unreachable);
    assert_eq!(outcome(&answers[..1]), SearchOutcome::NoLeader);
    assert_eq!(outcome(&answers[2..]), SearchOutcome::Unreachable);
}

#[test]
fn entry_that_reaches_no_store_follows_through_another_at_once() {
    let mut search = LeaderSearch::default();
    assert!(search.wants_relay(SearchOutcome::Unreachable, NOW));
    assert!(!search.wants_relay(SearchOutcome::NoStoreKnown, NOW));
    assert!(!search.wants_relay(SearchOutcome::Followed, NOW));
}

/// An entry that reaches stores of a minority only: they know of no leader for as long as the partition
/// lasts, and other entries follow one.
#[test]
fn entry_beside_a_minority_follows_through_another_after_an_election() {
    let mut search = LeaderSearch::default();
    assert!(!search.wants_relay(SearchOutcome::NoLeader, NOW));
    assert!(!search.wants_relay(SearchOutcome::NoLeader, NOW + Millis(1_100)));
    assert!(search.wants_relay(SearchOutcome::NoLeader, NOW + Millis(1_200)));
    assert!(!search.wants_relay(SearchOutcome::Followed, NOW + Millis(5_000)));
    assert!(!search.wants_relay(SearchOutcome::NoLeader, NOW + Millis(9_000)));
}
