//! Idempotency keys: at most one call per key within the retention.

use assert_matches::assert_matches;
use yuccaseam_base::{
    Millis,
    Reason,
    cases, //
};
use yuccaseam_state::{
    AbandonClaims,
    CallOutcome,
    ClaimKey,
    Fingerprint,
    FinishKey,
    KeyClaim,
    KeyFinished,
    KeyId,
    LogIndex,
    MAX_INLINE_BODY_BYTES,
    Outcome,
    ResponseBody,
    Setting,
    StoredResponse, //
};

use crate::common::{
    HOUR,
    Machine,
    owner,
    refusal, //
};

fn key() -> KeyId {
    KeyId::of("clerks", "order-desk", "order 7")
}

fn claim(instance: &str, incarnation: u64, request: u64) -> ClaimKey {
    ClaimKey {
        key: key(),
        fingerprint: Fingerprint::of(b"two rolls"),
        owner: owner(instance, incarnation),
        request,
    }
}

fn claimed(outcome: &Outcome) -> LogIndex {
    match outcome {
        Outcome::KeyClaim(KeyClaim::Claimed { claim }) => *claim,
        other => panic!("not claimed: {other:?}"),
    }
}

fn response(body: &[u8]) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: "application/json".to_owned(),
        body: ResponseBody::Inline(body.to_vec()),
    }
}

fn finish(claim: LogIndex, end: CallOutcome) -> FinishKey {
    FinishKey {
        key: key(),
        claim,
        end,
    }
}

fn finished() -> CallOutcome {
    CallOutcome::Response(response(b"ordered"))
}

#[test]
fn retry_finds_call_in_progress_then_its_response() {
    let mut machine = Machine::new();
    let first = claimed(&machine.apply(claim("a", 1, 1)));
    let waiting = KeyClaim::InProgress {
        owner: owner("a", 1),
    };
    assert_eq!(machine.apply(claim("b", 1, 9)), Outcome::KeyClaim(waiting));
    machine.apply(finish(first, finished()));
    let outcome = machine.apply(claim("b", 1, 9));
    assert_eq!(
        outcome,
        Outcome::KeyClaim(KeyClaim::Finished(response(b"ordered")))
    );
}

#[test]
fn claim_proposed_twice_is_one_claim_and_another_request_is_not() {
    let mut machine = Machine::new();
    let first = claimed(&machine.apply(claim("a", 1, 1)));
    assert_eq!(claimed(&machine.apply(claim("a", 1, 1))), first);
    let outcome = machine.apply(claim("a", 1, 2));
    assert_matches!(outcome, Outcome::KeyClaim(KeyClaim::InProgress { .. }));
}

#[test]
fn different_body_is_reported_in_every_state() {
    let mut machine = Machine::new();
    let first = claimed(&machine.apply(claim("a", 1, 1)));
    let mut other = claim("b", 1, 1);
    other.fingerprint = Fingerprint::of(b"three rolls");
    assert_eq!(
        machine.apply(other.clone()),
        Outcome::KeyClaim(KeyClaim::OtherBody)
    );
    machine.apply(finish(first, finished()));
    assert_eq!(machine.apply(other), Outcome::KeyClaim(KeyClaim::OtherBody));
}

#[test]
fn call_that_did_not_run_frees_its_key() {
    let mut machine = Machine::new();
    let first = claimed(&machine.apply(claim("a", 1, 1)));
    machine.apply(finish(first, CallOutcome::NotRun));
    let second = claimed(&machine.apply(claim("b", 1, 1)));
    assert!(second > first);
    let late = machine.apply(finish(first, finished()));
    assert_eq!(late, Outcome::KeyFinished(KeyFinished::UnknownClaim));
}

fn interrupted_call(interrupt: fn(&mut Machine)) {
    let mut machine = Machine::new();
    let first = claimed(&machine.apply(claim("a", 1, 1)));
    interrupt(&mut machine);
    let outcome = machine.apply(claim("b", 1, 1));
    assert_eq!(outcome, Outcome::KeyClaim(KeyClaim::OutcomeUnknown));
    let late = machine.apply(finish(first, finished()));
    assert_eq!(late, Outcome::KeyFinished(KeyFinished::Recorded));
    let outcome = machine.apply(claim("b", 1, 1));
    assert_matches!(outcome, Outcome::KeyClaim(KeyClaim::Finished(_)));
}

fn abandon_claims(machine: &mut Machine) {
    machine.apply(AbandonClaims {
        owner: owner("a", 1),
    });
}

fn restart(machine: &mut Machine) {
    let mut other = claim("a", 2, 1);
    other.key = KeyId::of("clerks", "order-desk", "order 8");
    claimed(&machine.apply(other));
}

fn report_unknown(machine: &mut Machine) {
    let claim = LogIndex(machine.index);
    machine.apply(finish(claim, CallOutcome::Unknown));
}

cases! { interrupted_call:
    abandoned_claim_leaves_the_outcome_unknown(abandon_claims);
    restarted_owner_leaves_the_outcome_unknown(restart);
    broken_connection_leaves_the_outcome_unknown(report_unknown);
}

fn first_outcome_is_kept(second: CallOutcome) {
    let mut machine = Machine::new();
    let first = claimed(&machine.apply(claim("a", 1, 1)));
    machine.apply(finish(first, finished()));
    let outcome = machine.apply(finish(first, second));
    assert_eq!(outcome, Outcome::KeyFinished(KeyFinished::AlreadyEnded));
    let outcome = machine.apply(claim("b", 1, 1));
    assert_eq!(
        outcome,
        Outcome::KeyClaim(KeyClaim::Finished(response(b"ordered")))
    );
}

cases! { first_outcome_is_kept:
    against_another_response(CallOutcome::Response(response(b"other")));
    against_not_run(CallOutcome::NotRun);
    against_unknown(CallOutcome::Unknown);
}

#[test]
fn key_is_kept_while_claimed_and_for_its_retention_after_the_call() {
    let mut machine = Machine::new();
    machine.set_default(Setting::KeyRetentionMs, HOUR.0);
    let first = claimed(&machine.apply(claim("a", 1, 1)));
    machine.wait(HOUR * 3);
    let outcome = machine.apply(claim("b", 1, 1));
    assert_matches!(outcome, Outcome::KeyClaim(KeyClaim::InProgress { .. }));
    machine.apply(finish(first, finished()));
    machine.wait(HOUR - Millis(1));
    let outcome = machine.apply(claim("b", 1, 1));
    assert_matches!(outcome, Outcome::KeyClaim(KeyClaim::Finished(_)));
    machine.wait(Millis(1));
    claimed(&machine.apply(claim("b", 1, 1)));
}

#[test]
fn large_response_is_not_stored_inline() {
    let mut machine = Machine::new();
    let first = claimed(&machine.apply(claim("a", 1, 1)));
    let large = CallOutcome::Response(response(&vec![0; MAX_INLINE_BODY_BYTES + 1]));
    assert_eq!(
        refusal(machine.apply(finish(first, large))),
        Reason::BadRequest
    );
}
