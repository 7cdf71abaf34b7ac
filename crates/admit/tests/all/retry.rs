//! Retry budgets, backoff, and which failures are sent again.

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
const LEFT: Millis = Millis(60_000);

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(SEED)
}

fn backoff() -> Backoff {
    Backoff::new(BackoffSettings::default())
}

fn retried(verdict: Verdict, idempotent: bool, allowed: bool) {
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let mut retries = Retries::new(idempotent, 3, backoff());
    let decision = retries.failed(verdict, LEFT, &mut budget, &mut rng());
    assert_eq!(matches!(decision, RetryDecision::After(_)), allowed);
}

cases! { retried:
    what_was_not_run_is_sent_again(Verdict::NotRun, false, true);
    an_order_that_may_have_run_is_not(Verdict::MayHaveRun, false, false);
    an_idempotent_call_that_may_have_run_is(Verdict::MayHaveRun, true, true);
    what_ran_is_not(Verdict::Ran, true, false);
}

#[test]
fn nothing_is_sent_again_once_an_answer_has_started() {
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let mut retries = Retries::new(true, 3, backoff());
    retries.answer_started();
    let decision = retries.failed(Verdict::MayHaveRun, LEFT, &mut budget, &mut rng());
    assert_eq!(decision, RetryDecision::GiveUp(None));
}

#[test]
fn a_call_is_sent_as_often_as_allowed() {
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let mut retries = Retries::new(true, 3, backoff());
    let mut rng = rng();
    let mut fail = || retries.failed(Verdict::NotRun, LEFT, &mut budget, &mut rng);
    assert!(matches!(fail(), RetryDecision::After(_)));
    assert!(matches!(fail(), RetryDecision::After(_)));
    assert_eq!(fail(), RetryDecision::GiveUp(None));
}

#[test]
fn retries_stay_within_their_share_when_everything_fails() {
    let mut budget = RetryBudget::new(BudgetSettings {
        percent: 10,
        burst: 20,
    });
    let mut rng = rng();
    let mut sent = 0;
    for _ in 0..10_000 {
        budget.request();
        let mut retries = Retries::new(true, 4, backoff());
        while let RetryDecision::After(_) =
            retries.failed(Verdict::NotRun, LEFT, &mut budget, &mut rng)
        {
            sent += 1;
        }
    }
    assert!((1_000..=1_020).contains(&sent), "{sent} retries");
}

#[test]
fn a_spent_budget_is_named() {
    let mut budget = RetryBudget::new(BudgetSettings {
        percent: 10,
        burst: 0,
    });
    let mut retries = Retries::new(true, 3, backoff());
    let decision = retries.failed(Verdict::NotRun, LEFT, &mut budget, &mut rng());
    assert_eq!(
        decision,
        RetryDecision::GiveUp(Some(Reason::RetryBudgetSpent))
    );
}

#[test]
fn no_retry_starts_after_the_deadline() {
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let mut retries = Retries::new(true, 3, backoff());
    let decision = retries.failed(Verdict::NotRun, Millis::ZERO, &mut budget, &mut rng());
    assert_eq!(
        decision,
        RetryDecision::GiveUp(Some(Reason::DeadlinePassed))
    );
}

#[test]
fn backoff_grows_to_its_bound_and_is_spread() {
    let mut rng = rng();
    let cfg = BackoffSettings::default();
    let mut waits = Vec::new();
    for _ in 0..200 {
        let mut backoff = Backoff::new(cfg);
        assert!(backoff.next(&mut rng) <= cfg.first);
        for _ in 0..40 {
            assert!(backoff.next(&mut rng) <= cfg.most);
        }
        waits.push(backoff.next(&mut rng));
    }
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 100);
}
