//! At-most-once execution of non-idempotent calls with an idempotency key.

use std::thread;

use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    Verdict, //
};
use yuccaseam_state::{
    AbandonClaims,
    CallOutcome,
    ClaimKey,
    Fingerprint,
    FinishKey,
    KeyClaim,
    KeyId,
    LogIndex,
    MAX_INLINE_BODY_BYTES,
    Outcome,
    OwnerId,
    Query,
    QueryResult,
    ResponseBody,
    StoredResponse, //
};

use crate::{
    admin,
    context::Context,
    entry::services::ServiceResponse,
    http::Call,
    instances, //
};

/// How long a resend waits for the response to the first call.
const RESEND_TIMEOUT: Millis = Millis::from_secs(30);
/// How long the owner of a claim may be unresponsive before its claims are abandoned.
const OWNER_TIMEOUT: Millis = Millis::from_secs(5);
/// How often a resend polls for the response to the first call.
const POLL_INTERVAL: Millis = Millis(100);

/// Runs a call unless its key was claimed before, and returns the response of the call that ran.
///
/// # Errors
///
/// Returns the refusal of the call itself, or one that states the status of the call that holds
/// the key.
pub(crate) fn run_once<F>(
    cx: &Context,
    call: &Call,
    service: &str,
    key: &str,
    run: F,
) -> Result<ServiceResponse, Refusal>
where
    F: Fn() -> Result<ServiceResponse, Refusal>,
{
    let key = KeyId::of(call.team(), service, key);
    let claim = ClaimKey {
        key,
        fingerprint: fingerprint(call),
        owner: cx.store.owner().clone(),
        request: rand::random(),
    };
    let deadline = cx.clock.now() + RESEND_TIMEOUT;
    loop {
        match propose_claim(cx, &claim)? {
            KeyClaim::Claimed { claim } => return run_claimed(cx, key, claim, &run),
            KeyClaim::InProgress { owner } if cx.clock.now() < deadline => {
                wait_for_end(cx, key, &owner, deadline)?;
            }
            status => return replay(cx, status),
        }
    }
}

fn propose_claim(cx: &Context, claim: &ClaimKey) -> Result<KeyClaim, Refusal> {
    match cx.store.propose(cx, claim.clone()) {
        Ok(Outcome::KeyClaim(status)) => Ok(status),
        Ok(other) => Err(admin::unexpected_result(&other)),
        // Nothing runs under a claim that was not acknowledged.
        Err(refusal) => {
            if refusal.verdict == Verdict::MayHaveRun {
                cx.unacknowledged_claims.add(claim.clone());
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
) -> Result<ServiceResponse, Refusal>
where
    F: Fn() -> Result<ServiceResponse, Refusal>,
{
    let result = run();
    let end = match &result {
        Ok(response) => match store_response(cx, response) {
            Ok(stored) => CallOutcome::Response(stored),
            Err(refusal) => {
                log::warn!("cannot store the response to a claimed call: {refusal}");
                CallOutcome::Unknown
            }
        },
        Err(refusal) if refusal.verdict == Verdict::NotRun => CallOutcome::NotRun,
        Err(_) => CallOutcome::Unknown,
    };
    // The caller gets its response even if the end cannot be recorded: the claim then stays, and a
    // resend is refused as "may have run".
    if let Err(refusal) = cx.store.propose(cx, FinishKey { key, claim, end }) {
        log::warn!("cannot record the end of a claimed call: {refusal}");
    }
    result
}

fn store_response(cx: &Context, response: &ServiceResponse) -> Result<StoredResponse, Refusal> {
    let body = if response.body.len() <= MAX_INLINE_BODY_BYTES {
        ResponseBody::Inline(response.body.clone())
    } else {
        let ids = cx.store.put_blobs(cx, vec![response.body.clone()])?;
        ResponseBody::Blob(ids[0])
    };
    Ok(StoredResponse {
        status: response.status,
        content_type: response.content_type.clone(),
        body,
    })
}

/// Waits until the call that holds the key has ended, or abandons the claims of its owner if that
/// is gone.
fn wait_for_end(
    cx: &Context,
    key: KeyId,
    owner: &OwnerId,
    deadline: Millis,
) -> Result<(), Refusal> {
    let mut unresponsive_since = None;
    while cx.clock.now() < deadline {
        let status = cx.store.query(cx, &Query::Key(key));
        match status.map_err(may_have_run)? {
            QueryResult::Key(Some(KeyClaim::InProgress { .. })) => {}
            _ => return Ok(()),
        }
        if is_owner_gone(cx, owner, &mut unresponsive_since) {
            let lost = AbandonClaims {
                owner: owner.clone(),
            };
            return cx.store.propose(cx, lost).map(drop).map_err(may_have_run);
        }
        thread::sleep(POLL_INTERVAL.duration());
    }
    Ok(())
}

/// Whether the daemon process that made a claim has ended, or was unresponsive for so long that its
/// claims are abandoned. An owner that is only slow can still record its response later.
fn is_owner_gone(cx: &Context, owner: &OwnerId, unresponsive_since: &mut Option<Millis>) -> bool {
    if owner == cx.store.owner() {
        return false;
    }
    match instances::query(cx, &owner.instance) {
        Some(reply) => {
            *unresponsive_since = None;
            reply.incarnation != owner.incarnation
        }
        None => {
            let now = cx.clock.now();
            now - *unresponsive_since.get_or_insert(now) >= OWNER_TIMEOUT
        }
    }
}

fn replay(cx: &Context, status: KeyClaim) -> Result<ServiceResponse, Refusal> {
    match status {
        KeyClaim::Finished(stored) => Ok(ServiceResponse {
            status: stored.status,
            content_type: stored.content_type,
            body: match stored.body {
                ResponseBody::Inline(body) => body,
                ResponseBody::Blob(id) => cx.store.get_blob(cx, &id).map_err(may_have_run)?,
            },
        }),
        KeyClaim::InProgress { owner } => Err(Refusal::may_have_run(
            Reason::KeyInProgress,
            format!("the call with this key is still running at {owner}"),
        )
        .with_retry_after(RESEND_TIMEOUT)),
        KeyClaim::OutcomeUnknown => Err(Refusal::may_have_run(
            Reason::OutcomeUnknown,
            "the call with this key started and its response was lost; it is not run again",
        )),
        KeyClaim::OtherBody => Err(Refusal::not_run(
            Reason::KeyReused,
            "the key was used before with another content",
        )),
        KeyClaim::Claimed { claim } => Err(Refusal::not_run(
            Reason::Internal,
            format!("unexpected new claim {claim}"),
        )),
    }
}

/// Turns a refusal into "may have run", because another call that holds the key may have run.
fn may_have_run(refusal: Refusal) -> Refusal {
    Refusal {
        verdict: Verdict::MayHaveRun,
        ..refusal
    }
}

/// Fingerprint of the parts of the request that the service receives.
fn fingerprint(call: &Call) -> Fingerprint {
    let mut content = format!("{} {}?{}\n", call.method, call.path, call.query).into_bytes();
    content.extend_from_slice(&call.body);
    Fingerprint::of(&content)
}
