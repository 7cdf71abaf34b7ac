//! The circuit breaker of one target.

use yuccaseam_admit::{
    Breaker,
    BreakerSettings,
    BreakerState, //
};
use yuccaseam_base::Millis;

const CFG: BreakerSettings = BreakerSettings {
    failures: 3,
    open_for: Millis(500),
    open_at_most: Millis(1_500),
};

fn opened(now: Millis) -> Breaker {
    let mut breaker = Breaker::new(CFG);
    for _ in 0..CFG.failures {
        breaker.failed(now);
    }
    breaker
}

#[test]
fn failures_in_a_row_open_it() {
    let mut breaker = Breaker::new(CFG);
    breaker.failed(Millis(1));
    breaker.failed(Millis(2));
    breaker.succeeded();
    breaker.failed(Millis(3));
    breaker.failed(Millis(4));
    assert!(breaker.try_call(Millis(5)));
    breaker.failed(Millis(5));
    assert_eq!(breaker.state(Millis(6)), BreakerState::Open);
    assert!(!breaker.try_call(Millis(6)));
}

#[test]
fn one_trial_passes_when_it_is_half_open() {
    let mut breaker = opened(Millis(0));
    assert_eq!(breaker.state(Millis(500)), BreakerState::HalfOpen);
    assert!(breaker.try_call(Millis(500)));
    assert!(breaker.is_trial_out(Millis(501)));
    assert!(!breaker.try_call(Millis(501)));
    breaker.succeeded();
    assert_eq!(breaker.state(Millis(502)), BreakerState::Closed);
}

#[test]
fn a_failed_trial_doubles_the_wait_up_to_a_bound() {
    let mut breaker = opened(Millis(0));
    let mut now = Millis(500);
    for period in [1_000, 1_500, 1_500] {
        assert!(breaker.try_call(now));
        breaker.failed(now);
        assert!(!breaker.try_call(now + Millis(period - 1)));
        now += Millis(period);
    }
    assert!(breaker.try_call(now));
}

#[test]
fn a_trial_whose_outcome_is_lost_does_not_block_for_ever() {
    let mut breaker = opened(Millis(0));
    assert!(breaker.try_call(Millis(500)));
    assert!(!breaker.try_call(Millis(900)));
    assert!(breaker.try_call(Millis(1_000)));
}
