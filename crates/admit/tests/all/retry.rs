//! Retry budgets, backoff and retry decisions.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccaseam_admit::{
    Backoff,
    BackoffSettings,
    BudgetSettings,
    Retries,
    RetryBudget,
    RetryDecision, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    Verdict,
    cases, //
};

const SEED: u64 = 7;
const TIME_LEFT: Millis = Millis(60_000);

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(SEED)
}

fn backoff() -> Backoff {
    Backoff::new(BackoffSettings::default())
}

fn retry_decision(verdict: Verdict, idempotent: bool, allowed: bool) {
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let mut retries = Retries::new(idempotent, 3, backoff());
    let decision = retries.on_failure(verdict, TIME_LEFT, &mut budget, &mut rng());
    assert_eq!(matches!(decision, RetryDecision::After(_)), allowed);
}

cases! { retry_decision:
    call_not_run_is_retried(Verdict::NotRun, false, true);
    non_idempotent_call_that_may_have_run_is_not_retried(Verdict::MayHaveRun, false, false);
    idempotent_call_that_may_have_run_is_retried(Verdict::MayHaveRun, true, true);
    call_that_ran_is_not_retried(Verdict::Ran, true, false);
}

#[test]
fn no_retry_after_response_started() {
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let mut retries = Retries::new(true, 3, backoff());
    retries.response_started();
    let decision = retries.on_failure(Verdict::MayHaveRun, TIME_LEFT, &mut budget, &mut rng());
    assert_eq!(decision, RetryDecision::Abandon(None));
}

#[test]
fn retries_stop_at_the_attempt_limit() {
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let mut retries = Retries::new(true, 3, backoff());
    let mut rng = rng();
    let mut fail = || retries.on_failure(Verdict::NotRun, TIME_LEFT, &mut budget, &mut rng);
    assert!(matches!(fail(), RetryDecision::After(_)));
    assert!(matches!(fail(), RetryDecision::After(_)));
    assert_eq!(fail(), RetryDecision::Abandon(None));
}

#[test]
fn retries_stay_within_budget_when_all_calls_fail() {
    let mut budget = RetryBudget::new(BudgetSettings {
        percent: 10,
        burst: 20,
    });
    let mut rng = rng();
    let mut sent = 0;
    for _ in 0..10_000 {
        budget.record_request();
        let mut retries = Retries::new(true, 4, backoff());
        while let RetryDecision::After(_) =
            retries.on_failure(Verdict::NotRun, TIME_LEFT, &mut budget, &mut rng)
        {
            sent += 1;
        }
    }
    assert!((1_000..=1_020).contains(&sent), "{sent} retries");
}

#[test]
fn spent_budget_is_reported_as_reason() {
    let mut budget = RetryBudget::new(BudgetSettings {
        percent: 10,
        burst: 0,
    });
    let mut retries = Retries::new(true, 3, backoff());
    let decision = retries.on_failure(Verdict::NotRun, TIME_LEFT, &mut budget, &mut rng());
    assert_eq!(
        decision,
        RetryDecision::Abandon(Some(Reason::RetryBudgetSpent))
    );
}

#[test]
fn no_retry_starts_after_the_deadline() {
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let mut retries = Retries::new(true, 3, backoff());
    let decision = retries.on_failure(Verdict::NotRun, Millis::ZERO, &mut budget, &mut rng());
    assert_eq!(
        decision,
        RetryDecision::Abandon(Some(Reason::DeadlinePassed))
    );
}

#[test]
fn backoff_is_bounded_and_jittered() {
    let mut rng = rng();
    let cfg = BackoffSettings::default();
    let mut waits = Vec::new();
    for _ in 0..200 {
        let mut backoff = Backoff::new(cfg);
        assert!(backoff.next(&mut rng) <= cfg.initial);
        for _ in 0..40 {
            assert!(backoff.next(&mut rng) <= cfg.max);
        }
        waits.push(backoff.next(&mut rng));
    }
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 100);
}
