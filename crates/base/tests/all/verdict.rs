//! Retries allowed by each verdict, and reason codes.

use yuccaseam_base::{
    Reason,
    Verdict,
    cases, //
};

fn allows_retry(verdict: Verdict, idempotent: bool, allowed: bool) {
    assert_eq!(verdict.allows_retry(idempotent), allowed);
}

cases! { allows_retry:
    not_run_is_safe_for_any_call(Verdict::NotRun, false, true);
    may_have_run_is_unsafe_for_a_non_idempotent_call(Verdict::MayHaveRun, false, false);
    may_have_run_is_safe_for_an_idempotent_call(Verdict::MayHaveRun, true, true);
    ran_is_never_retried(Verdict::Ran, true, false);
}

#[test]
fn reason_codes_are_unique() {
    let mut codes: Vec<_> = Reason::ALL.iter().map(|reason| reason.code()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), Reason::ALL.len());
}
