//! Circuit breaker of one target.

use yuccaseam_admit::{
    Breaker,
    BreakerSettings,
    BreakerState, //
};
use yuccaseam_base::Millis;

const CFG: BreakerSettings = BreakerSettings {
    failure_threshold: 3,
    initial_open_period: Millis(500),
    max_open_period: Millis(1_500),
};

fn opened(now: Millis) -> Breaker {
    let mut breaker = Breaker::new(CFG);
    for _ in 0..CFG.failure_threshold {
        breaker.record_failure(now);
    }
    breaker
}

#[test]
fn consecutive_failures_open_the_breaker() {
    let mut breaker = Breaker::new(CFG);
    breaker.record_failure(Millis(1));
    breaker.record_failure(Millis(2));
    breaker.record_success();
    breaker.record_failure(Millis(3));
    breaker.record_failure(Millis(4));
    assert!(breaker.try_call(Millis(5)));
    breaker.record_failure(Millis(5));
    assert_eq!(breaker.state(Millis(6)), BreakerState::Open);
    assert!(!breaker.try_call(Millis(6)));
}

#[test]
fn half_open_breaker_allows_one_trial() {
    let mut breaker = opened(Millis(0));
    assert_eq!(breaker.state(Millis(500)), BreakerState::HalfOpen);
    assert!(breaker.try_call(Millis(500)));
    assert!(breaker.is_trial_pending(Millis(501)));
    assert!(!breaker.try_call(Millis(501)));
    breaker.record_success();
    assert_eq!(breaker.state(Millis(502)), BreakerState::Closed);
}

#[test]
fn failed_trial_doubles_open_period_up_to_maximum() {
    let mut breaker = opened(Millis(0));
    let mut now = Millis(500);
    for period in [1_000, 1_500, 1_500] {
        assert!(breaker.try_call(now));
        breaker.record_failure(now);
        assert!(!breaker.try_call(now + Millis(period - 1)));
        now += Millis(period);
    }
    assert!(breaker.try_call(now));
}

#[test]
fn trial_without_outcome_times_out() {
    let mut breaker = opened(Millis(0));
    assert!(breaker.try_call(Millis(500)));
    assert!(!breaker.try_call(Millis(900)));
    assert!(breaker.try_call(Millis(1_000)));
}
