//! Running a non-idempotent call at most once.

use std::thread;

use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    Verdict, //
};
use yuccaseam_state::{
    Answer,
    AnswerBody,
    CallEnd,
    ClaimKey,
    Fingerprint,
    FinishKey,
    INLINE_LIMIT,
    KeptAnswer,
    KeyClaim,
    KeyId,
    LogIndex,
    Outcome,
    OwnerId,
    OwnerLost,
    Query, //
};

use crate::{
    admin,
    context::Context,
    entry::services::ServiceAnswer,
    http::Call,
    instances, //
};

/// How long a resend waits for the first call's answer.
const WAIT: Millis = Millis::from_secs(30);
/// How long the owner of a claim may be silent before its claims are given up.
const SILENCE: Millis = Millis::from_secs(5);
/// How often a resend looks for the first call's answer.
const POLL: Millis = Millis(100);

/// Runs a call unless its key was claimed before, and returns the answer of the call that ran.
///
/// # Errors
///
/// Returns the call's own refusal, or says what is known of the call that has the key.
pub(crate) fn run_once<F>(
    cx: &Context,
    call: &Call,
    service: &str,
    key: &str,
    run: F,
) -> Result<ServiceAnswer, Refusal>
where
    F: Fn() -> Result<ServiceAnswer, Refusal>,
{
    let key = KeyId::of(call.team(), service, key);
    let claim = ClaimKey {
        key,
        fingerprint: fingerprint(call),
        owner: cx.store.owner().clone(),
        request: rand::random(),
    };
    let deadline = cx.clock.now() + WAIT;
    loop {
        match propose_claim(cx, &claim)? {
            KeyClaim::Claimed { claim } => return run_claimed(cx, key, claim, &run),
            KeyClaim::InProgress { owner } if cx.clock.now() < deadline => {
                wait_for_end(cx, key, &owner, deadline)?;
            }
            found => return replay(cx, found),
        }
    }
}

fn propose_claim(cx: &Context, claim: &ClaimKey) -> Result<KeyClaim, Refusal> {
    match cx.store.propose(cx, claim.clone()) {
        Ok(Outcome::KeyClaim(found)) => Ok(found),
        Ok(other) => Err(admin::unexpected(&other)),
        // A claim that was made and not answered ran nothing.
        Err(refusal) => {
            if refusal.verdict == Verdict::MayHaveRun {
                cx.unanswered.add(claim.clone());
            }
            Err(Refusal {
                verdict: Verdict::NotRun,
                ..refusal
            })
        }
    }
}

fn run_claimed<F>(
    cx: &Context,
    key: KeyId,
    claim: LogIndex,
    run: F,
) -> Result<ServiceAnswer, Refusal>
where
    F: Fn() -> Result<ServiceAnswer, Refusal>,
{
    let result = run();
    let end = match &result {
        Ok(answer) => match keep(cx, answer) {
            Ok(kept) => CallEnd::Answer(kept),
            Err(refusal) => {
                log::warn!("the answer to a claimed call cannot be kept: {refusal}");
                CallEnd::Unknown
            }
        },
        Err(refusal) if refusal.verdict == Verdict::NotRun => CallEnd::NotRun,
        Err(_) => CallEnd::Unknown,
    };
    // The caller gets its answer also if the end cannot be recorded: the claim then stays, and a
    // resend is told that the call may have run.
    if let Err(refusal) = cx.store.propose(cx, FinishKey { key, claim, end }) {
        log::warn!("the end of a claimed call is not recorded: {refusal}");
    }
    result
}

fn keep(cx: &Context, answer: &ServiceAnswer) -> Result<KeptAnswer, Refusal> {
    let body = if answer.body.len() <= INLINE_LIMIT {
        AnswerBody::Inline(answer.body.clone())
    } else {
        let ids = cx.store.put_blobs(cx, vec![answer.body.clone()])?;
        AnswerBody::Blob(ids[0])
    };
    Ok(KeptAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body,
    })
}

/// Waits until the call that holds the key has ended, or gives it up if its owner is gone.
fn wait_for_end(
    cx: &Context,
    key: KeyId,
    owner: &OwnerId,
    deadline: Millis,
) -> Result<(), Refusal> {
    let mut silent_since = None;
    while cx.clock.now() < deadline {
        let found = cx.store.query(cx, &Query::Key(key));
        match found.map_err(may_have_run)? {
            Answer::Key(Some(KeyClaim::InProgress { .. })) => {}
            _ => return Ok(()),
        }
        if is_gone(cx, owner, &mut silent_since) {
            let lost = OwnerLost {
                owner: owner.clone(),
            };
            return cx.store.propose(cx, lost).map(drop).map_err(may_have_run);
        }
        thread::sleep(POLL.duration());
    }
    Ok(())
}

/// Whether the run of the daemon that made a claim is over, or was silent for so long that its
/// claims are given up. An owner that is only slow still records its answer later.
fn is_gone(cx: &Context, owner: &OwnerId, silent_since: &mut Option<Millis>) -> bool {
    if owner == cx.store.owner() {
        return false;
    }
    match instances::ask(cx, &owner.instance) {
        Some(reply) => {
            *silent_since = None;
            reply.incarnation != owner.incarnation
        }
        None => {
            let now = cx.clock.now();
            now - *silent_since.get_or_insert(now) >= SILENCE
        }
    }
}

fn replay(cx: &Context, found: KeyClaim) -> Result<ServiceAnswer, Refusal> {
    match found {
        KeyClaim::Finished(kept) => Ok(ServiceAnswer {
            status: kept.status,
            content_type: kept.content_type,
            body: match kept.body {
                AnswerBody::Inline(body) => body,
                AnswerBody::Blob(id) => cx.store.get_blob(cx, &id).map_err(may_have_run)?,
            },
        }),
        KeyClaim::InProgress { owner } => Err(Refusal::may_have_run(
            Reason::KeyInProgress,
            format!("the call with this key is still running at {owner}"),
        )
        .with_retry_after(WAIT)),
        KeyClaim::OutcomeUnknown => Err(Refusal::may_have_run(
            Reason::OutcomeUnknown,
            "the call with this key started and its answer is lost: it is not run again",
        )),
        KeyClaim::OtherBody => Err(Refusal::not_run(
            Reason::KeyReused,
            "the key was used before with another content",
        )),
        KeyClaim::Claimed { claim } => Err(Refusal::not_run(
            Reason::Internal,
            format!("claim {claim} was not expected here"),
        )),
    }
}

/// The refusal of a request whose key another call holds, which may have run.
fn may_have_run(refusal: Refusal) -> Refusal {
    Refusal {
        verdict: Verdict::MayHaveRun,
        ..refusal
    }
}

/// The fingerprint of what the service would see.
fn fingerprint(call: &Call) -> Fingerprint {
    let mut content = format!("{} {}?{}\n", call.method, call.path, call.query).into_bytes();
    content.extend_from_slice(&call.body);
    Fingerprint::of(&content)
}
