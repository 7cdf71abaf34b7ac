//! Trials of quarantined features, by requests of callers and by batch items.

use assert_matches::assert_matches;
use yuccaseam_base::Millis;
use yuccaseam_serving::quarantine::{
    QuarantineManager,
    QuarantinedFeature, //
};

use crate::quarantine::{
    DEADLY,
    Leader,
    PROMPT,
    RUN, //
};

/// Guards against a sound part that is refused for ever after a coincidence.
#[test]
fn successful_trial_releases_a_part() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&PROMPT);
    }
    assert_eq!(leader.manager.grant_trial(DEADLY, leader.now), None);
    leader.now += Millis::from_secs(10);
    let list = leader.manager.list(leader.now);
    assert_matches!(
        &list.quarantined[..],
        [QuarantinedFeature {
            trial_due: true,
            ..
        }]
    );
    assert_eq!(leader.manager.grant_trial(DEADLY, leader.now), Some(1));
    assert_eq!(leader.manager.grant_trial(DEADLY, leader.now), None);
    assert_eq!(leader.answer(&PROMPT), [DEADLY]);
    assert!(leader.quarantined().is_empty());
}

/// Guards against trials that crash target after target: at most three reach one within an hour, also if
/// the leader changes after each.
#[test]
fn failed_trials_become_rare() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&PROMPT);
    }
    let ends_at = leader.now + Millis::from_secs(3_600);
    let mut trials = 0;
    while leader.now < ends_at {
        leader.now += Millis(500);
        if let Some(granted) = leader.manager.grant_trial(DEADLY, leader.now) {
            trials += 1;
            leader.crash(&PROMPT);
            leader.manager = QuarantineManager::restore([(DEADLY, granted)], leader.now);
        }
    }
    assert_eq!(trials, 3);
}

/// Guards against items that are left lying because a sound part of their prompts was quarantined, and against
/// items that crash target after target: two are tried soon, the next one with the part's own trial.
#[test]
fn two_items_are_tried_soon_after_the_quarantine() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&PROMPT);
    }
    assert!(!leader.manager.grant_item_trial(DEADLY, leader.now));
    let quarantined_at = leader.now;
    let mut granted_after = Vec::new();
    while leader.now < quarantined_at + Millis::from_secs(9) {
        leader.now += Millis(100);
        if leader.manager.grant_item_trial(DEADLY, leader.now) {
            granted_after.push(leader.now - quarantined_at);
            let report = leader.report(10, &PROMPT, RUN);
            assert!(leader.manager.record_crash(report, leader.now).is_empty());
        }
    }
    assert_eq!(granted_after, [Millis(500), Millis(2_500)]);
    leader.now += Millis::from_secs(2);
    assert_eq!(leader.manager.grant_trial(DEADLY, leader.now), Some(1));
    leader.now += Millis::from_secs(5);
    assert!(!leader.manager.grant_item_trial(DEADLY, leader.now));
}

/// Guards against an item that waits for the part's own trial because a target rejected it.
#[test]
fn trial_that_no_target_ran_is_granted_to_another_item() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&PROMPT);
    }
    for _ in 0..4 {
        leader.now += Millis(600);
        assert!(leader.manager.grant_item_trial(DEADLY, leader.now));
        leader.manager.return_item_trial(DEADLY, leader.now);
    }
}

/// Guards against items that wait for the part's own trial after a change of leader, and against more than one
/// that crashes a target after it.
#[test]
fn new_leader_tries_one_item() {
    let mut manager = QuarantineManager::restore([(DEADLY, 0)], Millis::ZERO);
    assert!(!manager.grant_item_trial(DEADLY, Millis::from_secs(1)));
    assert!(manager.grant_item_trial(DEADLY, Millis::from_secs(2)));
    assert!(!manager.grant_item_trial(DEADLY, Millis::from_secs(9)));
    assert_eq!(manager.grant_trial(DEADLY, Millis::from_secs(10)), Some(1));
}
