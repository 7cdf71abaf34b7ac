//! Targets that fail some or all of their requests, by failure pattern.

use rand::{
    Rng as _,
    SeedableRng as _,
    rngs::StdRng, //
};
use yuccaseam_base::{
    Millis,
    TargetName, //
};
use yuccaseam_serving::health::Health;

/// Interval of requests to one target, over all entries of its neighbourhood.
const REQUEST_INTERVAL: Millis = Millis(25);
const ENTRIES: usize = 24;

fn engine() -> TargetName {
    TargetName("engine-1".to_owned())
}

/// How many of the requests that arrive within 6 s are sent to the target, and how many of these
/// fail. `fails` decides by the time of the request. Requests arrive at random entries, which
/// report failures to each other.
fn simulate<F>(mut fails: F) -> (u32, u32)
where
    F: FnMut(Millis) -> bool,
{
    let mut rng = StdRng::seed_from_u64(3);
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| Health::default()).collect();
    let (mut sent, mut failed) = (0, 0);
    for number in 0..6_000 / REQUEST_INTERVAL.0 {
        let at = REQUEST_INTERVAL * number;
        let now = Millis(1_000) + at;
        let from = rng.random_range(0..ENTRIES);
        if entries[from].is_avoided(&engine(), now) {
            continue;
        }
        sent += 1;
        if !fails(at) {
            entries[from].record_success(&engine());
            continue;
        }
        failed += 1;
        for (number, entry) in entries.iter_mut().enumerate() {
            if number == from {
                entry.record_failure(&engine(), now);
            } else {
                entry.record_neighbour_failure(&engine(), now);
            }
        }
    }
    (sent, failed)
}

/// A target that restarts every 0.8 s breaks its running requests each time. If health did not
/// outlast a restart, one request in two of 240 would fail.
#[test]
fn flapping_target_is_avoided_for_longer_each_time() {
    let (_, failed) = simulate(|at| at.0 % 800 < 400);
    assert!(failed <= 10, "{failed} requests failed");
}

/// Two requests in five fail while the health probe passes.
#[test]
fn partly_failing_target_is_mostly_avoided() {
    let mut rng = StdRng::seed_from_u64(5);
    let (sent, failed) = simulate(|_| rng.random_bool(0.4));
    assert!(failed <= 16, "{failed} of {sent} requests failed");
}

/// One request in twenty gets no response, at every other target of the fleet. Avoiding all of
/// these targets would cost more than it saves.
#[test]
fn rarely_failing_target_keeps_most_requests() {
    let mut rng = StdRng::seed_from_u64(6);
    let (sent, _) = simulate(|_| rng.random_bool(0.05));
    assert!(sent >= 120, "only {sent} of 240 requests sent");
}

/// A crash breaks eight streams at once. It must count as one failure, so that the target is soon
/// tried again.
#[test]
fn crash_opens_the_breaker_once() {
    let mut health = Health::default();
    let now = Millis(1_000);
    for _ in 0..8 {
        health.record_failure(&engine(), now);
    }
    assert!(health.is_avoided(&engine(), now + Millis(700)));
    assert!(!health.is_avoided(&engine(), now + Millis(900)));
}

/// Each entry sends few requests to a target. Failures at two neighbours within the same second
/// must open the breaker; one must not.
#[test]
fn failures_at_neighbours_open_the_breaker() {
    let mut health = Health::default();
    let now = Millis(1_000);
    health.record_neighbour_failure(&engine(), now);
    assert!(!health.is_avoided(&engine(), now));
    health.record_neighbour_failure(&engine(), now + Millis(300));
    assert!(health.is_avoided(&engine(), now + Millis(300)));
}

/// Failures of an hour ago must not count towards opening the breaker.
#[test]
fn old_failures_expire() {
    let mut health = Health::default();
    for at in [0, 1_000, 3_000, 6_000] {
        health.record_failure(&engine(), Millis(at));
        health.record_failure(&engine(), Millis(at));
    }
    let later = Millis(3_600_000);
    health.expire(later);
    health.record_failure(&engine(), later);
    assert!(!health.is_avoided(&engine(), later + Millis(600)));
}
