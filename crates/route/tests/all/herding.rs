//! Entries with the same stale view do not all choose the same idle target.

use std::collections::HashMap;

use yuccaseam_base::Millis;
use yuccaseam_route::ReportedLoad;

use crate::support::{
    NOW,
    candidate,
    location,
    online,
    target,
    targets,
    with_loads, //
};

#[test]
fn entries_with_the_same_view_spread_over_targets() {
    let loads = [0, 4, 4, 4, 4, 4, 4, 4, 4, 4];
    let mut hits = HashMap::new();
    for seed in 0..300 {
        let first = with_loads(seed, &loads).choose(&online(&[]), NOW)[0].target;
        *hits.entry(first).or_insert(0) += 1;
    }
    // With three draws of ten targets, three entries in ten draw the idle one.
    assert!(hits[&target(0)] < 150, "{hits:?}");
    assert_eq!(hits.len(), loads.len());
}

#[test]
fn own_requests_count_towards_the_load() {
    let mut router = with_loads(1, &[0, 5]);
    let mut first = 0;
    for _ in 0..10 {
        let chosen = router.choose(&online(&[]), NOW)[0].target;
        router.record_sent(chosen, &online(&[]), NOW);
        first += u32::from(chosen == target(0));
    }
    assert!((5..=8).contains(&first), "{first} of 10 to the idle target");
}

#[test]
fn requests_included_in_a_report_are_not_counted_twice() {
    let mut router = with_loads(1, &[0, 2]);
    for _ in 0..3 {
        router.record_sent(target(0), &online(&[]), NOW);
    }
    assert_eq!(router.choose(&online(&[]), NOW)[0].target, target(1));
    let later = NOW + Millis(100);
    router.update(candidate(0, location(0, 0), 1), later);
    assert_eq!(router.choose(&online(&[]), later)[0].target, target(0));
}

#[test]
fn late_report_does_not_replace_a_newer_one() {
    let mut router = with_loads(1, &[9, 5]);
    let late = ReportedLoad {
        busy: 0,
        age: Millis(500),
    };
    router.update_load(target(0), late, NOW);
    assert_eq!(router.choose(&online(&[]), NOW)[0].target, target(1));
}

#[test]
fn weight_of_a_report_decays_with_its_age() {
    let mut router = with_loads(1, &[0, 5, 5, 5]);
    let later = NOW + Millis(20_000);
    let mut idle = 0;
    for _ in 0..40 {
        let chosen = router.choose(&online(&[]), later)[0].target;
        router.record_sent(chosen, &online(&[]), later);
        idle += u32::from(chosen == target(0));
    }
    assert!(idle <= 13, "{idle} of 40 to the target that looked idle");
}

#[test]
fn same_seed_gives_the_same_choices() {
    let run = || {
        let mut router = with_loads(9, &[1, 2, 3, 1, 2, 3, 1]);
        let choose = |_| {
            let choices = router.choose(&online(&[]), NOW);
            router.record_sent(choices[0].target, &online(&[]), NOW);
            targets(&choices)
        };
        (0..50).map(choose).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
