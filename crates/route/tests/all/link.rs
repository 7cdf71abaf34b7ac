//! Spilling to other regions, within the budget of the link.

use yuccaseam_base::Millis;
use yuccaseam_route::{
    ChoiceReason,
    LinkSettings,
    Router,
    Traffic, //
};

use crate::support::{
    HERE,
    NOW,
    THERE,
    batch,
    candidate,
    location,
    online,
    region,
    router,
    target, //
};

const REMOTE: usize = 9;

/// Creates a router with one local target under this load and an idle one in the other region.
fn two_regions(busy_here: u32, link: Option<LinkSettings>) -> Router {
    let mut router = router(1);
    router.update(candidate(0, location(HERE, 0), busy_here), NOW);
    router.update(candidate(REMOTE, location(THERE, 5), 0), NOW);
    if let Some(link) = link {
        router.set_link(region(THERE), link, NOW);
    }
    router
}

const LINK: LinkSettings = LinkSettings {
    bytes_per_sec: 1_000,
    burst_bytes: 4_000,
};

#[test]
fn request_stays_in_its_region_with_available_capacity() {
    let mut router = two_regions(9, Some(LINK));
    assert_eq!(router.choose(&online(&[]), NOW)[0].target, target(0));
}

#[test]
fn full_region_spills() {
    let mut router = two_regions(12, Some(LINK));
    let choices = router.choose(&online(&[]), NOW);
    assert_eq!(
        (choices[0].target, choices[0].reason),
        (target(REMOTE), ChoiceReason::Spill)
    );
    assert_eq!(choices[1].target, target(0));
}

#[test]
fn requests_do_not_spill_over_a_link_without_a_budget() {
    let mut router = two_regions(12, None);
    assert_eq!(router.choose(&online(&[]), NOW)[0].target, target(0));
}

#[test]
fn exhausted_link_budget_prevents_spilling_until_refilled() {
    let mut router = two_regions(12, Some(LINK));
    for _ in 0..4 {
        router.record_sent(target(REMOTE), &online(&[]), NOW);
    }
    assert_eq!(router.choose(&online(&[]), NOW)[0].target, target(0));
    let later = NOW + Millis(1_000);
    assert_eq!(router.choose(&online(&[]), later)[0].target, target(REMOTE));
}

#[test]
fn batch_spills_only_if_allowed_and_leaves_budget_for_online() {
    let mut router = two_regions(12, Some(LINK));
    assert_eq!(router.choose(&batch(false), NOW)[0].target, target(0));
    assert_eq!(router.choose(&batch(true), NOW)[0].target, target(REMOTE));
    for _ in 0..2 {
        router.record_sent(target(REMOTE), &batch(true), NOW);
    }
    assert_eq!(router.choose(&batch(true), NOW)[0].target, target(0));
    assert_eq!(online(&[]).traffic, Traffic::Online);
    assert_eq!(router.choose(&online(&[]), NOW)[0].target, target(REMOTE));
}

#[test]
fn region_without_a_live_target_spills() {
    let mut router = two_regions(0, Some(LINK));
    router.remove(target(0));
    assert_eq!(router.choose(&online(&[]), NOW)[0].target, target(REMOTE));
}
