//! Calls to plain services.
//!
//! A call that is not idempotent runs at most once. With an `Idempotency-Key` its key is claimed in
//! the replicated state before the first byte is sent, so that a resend through any instance finds
//! the claim and gets the first answer. Without a key the call is sent to one target only.

use tiny_http::Method;
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    Verdict, //
};

use crate::{
    admission::{
        Ask,
        Needs, //
    },
    context::Context,
    entry::claim,
    http::{
        Call,
        Responder, //
    },
    measures,
    upstream::Outgoing,
};

/// How many targets a call is tried at.
const ATTEMPTS: u32 = 3;
/// The request class of calls to plain services.
const CLASS: &str = "online";
/// How long a call to a service that is not configured may take.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(30);
/// The header of the idempotency key.
const KEY: &str = "idempotency-key";
/// The longest idempotency key, in bytes.
const KEY_LIMIT: usize = 255;

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
}

/// Passes a call to a copy of the plain service `name`.
pub(crate) fn call_service(cx: &Context, call: &Call, name: &str, out: Responder) {
    let result = match call.header(KEY) {
        Some(key) if !is_idempotent(cx, call, name) => check_key(key)
            .and_then(|()| claim::run_once(cx, call, name, key, || run(cx, call, name))),
        _ => run(cx, call, name),
    };
    match result {
        Ok(answer) => {
            measures::count_answer("service");
            out.bytes(answer.status, &answer.content_type, answer.body);
        }
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Sends the call to one target after another, as far as the verdicts allow.
fn run(cx: &Context, call: &Call, name: &str) -> Result<ServiceAnswer, Refusal> {
    let idempotent = is_idempotent(cx, call, name);
    let mut ask = Ask {
        needs: Needs::Service(name.to_owned()),
        team: call.team().to_owned(),
        class: CLASS.to_owned(),
        prompt_tokens: 0,
        answer_tokens: 0,
        prefix: Vec::new(),
        avoid: Vec::new(),
    };
    let mut attempts = 0;
    let mut verdict = Verdict::NotRun;
    loop {
        attempts += 1;
        let permit = match cx.admission.acquire(cx, &ask) {
            Ok(permit) => permit,
            Err(refusal) => return Err(refusal.at_least(verdict)),
        };
        let result = send(cx, call, name, permit.target.address);
        cx.admission
            .note_result(&permit.target.name, result.as_ref().err());
        let refusal = match result {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal.at_least(verdict),
        };
        verdict = refusal.verdict;
        if attempts == ATTEMPTS || !refusal.verdict.allows_retry(idempotent) {
            return Err(refusal);
        }
        cx.admission.retry(cx, refusal)?;
        ask.avoid.push(permit.target.name.clone());
    }
}

fn send(
    cx: &Context,
    call: &Call,
    name: &str,
    address: std::net::SocketAddr,
) -> Result<ServiceAnswer, Refusal> {
    let prefix = format!("/services/{name}");
    let mut path = call
        .path
        .strip_prefix(&prefix)
        .unwrap_or_default()
        .to_owned();
    if path.is_empty() {
        path.push('/');
    }
    if !call.query.is_empty() {
        path.push('?');
        path.push_str(&call.query);
    }
    let mut headers = vec![("x-request-id", call.id.as_str())];
    for name in ["content-type", "accept", "traceparent", KEY] {
        if let Some(value) = call.header(name) {
            headers.push((name, value));
        }
    }
    let outgoing = Outgoing {
        address,
        method: call.method.as_str(),
        path: &path,
        headers,
        body: &call.body,
    };
    let answer = cx.upstream.send_within(&outgoing, timeout(cx, name))?;
    Ok(ServiceAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.read_whole()?,
    })
}

/// How long a call to a plain service may take.
fn timeout(cx: &Context, name: &str) -> Millis {
    let configuration = cx.store.configuration();
    configuration
        .services
        .get(name)
        .map_or(DEFAULT_TIMEOUT, |service| Millis(service.timeout_ms))
}

/// Whether running the call twice has the effect of running it once. A service that is not
/// configured counts as not idempotent.
fn is_idempotent(cx: &Context, call: &Call, name: &str) -> bool {
    let configuration = cx.store.configuration();
    let by_method = matches!(call.method, Method::Get | Method::Head);
    by_method
        || configuration
            .services
            .get(name)
            .is_some_and(|service| service.idempotent)
}

fn check_key(key: &str) -> Result<(), Refusal> {
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if printable && (1..=KEY_LIMIT).contains(&key.len()) {
        return Ok(());
    }
    let detail = format!("an idempotency key has 1 to {KEY_LIMIT} printable characters");
    Err(Refusal::not_run(Reason::BadKey, detail))
}
