//! Calls to plain services.
//!
//! A non-idempotent call runs at most once. If it has an `Idempotency-Key`, the key is claimed in
//! the replicated state before the first byte is sent, so that a resend through any instance finds
//! the claim and gets the first response. Without a key the call is sent to one target only.

use tiny_http::Method;
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    Verdict, //
};

use crate::{
    admission::{
        RequiredKind,
        TargetRequirements, //
    },
    context::Context,
    entry::claim,
    http::{
        Call,
        Responder, //
    },
    telemetry,
    upstream::TargetRequest,
};

/// Maximum number of targets tried for one call.
const MAX_ATTEMPTS: u32 = 3;
/// Request class of calls to plain services.
const REQUEST_CLASS: &str = "online";
/// Time-out of a call to a service that is not configured.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(30);
/// Header that carries the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// The response of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceResponse {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
}

/// Forwards a call to a copy of the plain service `name`.
pub(crate) fn call_service(cx: &Context, call: &Call, name: &str, out: Responder) {
    let result = match call.header(KEY_HEADER) {
        Some(key) if !is_idempotent(cx, call, name) => check_key(key)
            .and_then(|()| claim::run_once(cx, call, name, key, || run(cx, call, name))),
        _ => run(cx, call, name),
    };
    match result {
        Ok(response) => {
            telemetry::count_response("service");
            out.bytes(response.status, &response.content_type, response.body);
        }
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Sends the call to one target after another, as long as the verdicts allow a retry.
fn run(cx: &Context, call: &Call, name: &str) -> Result<ServiceResponse, Refusal> {
    let idempotent = is_idempotent(cx, call, name);
    let mut requirements = TargetRequirements {
        kind: RequiredKind::Service(name.to_owned()),
        team: call.team().to_owned(),
        class: REQUEST_CLASS.to_owned(),
        prompt_tokens: 0,
        answer_tokens: 0,
        prefix_hashes: Vec::new(),
        failed_targets: Vec::new(),
    };
    let mut attempts = 0;
    let mut verdict = Verdict::NotRun;
    loop {
        attempts += 1;
        let permit = match cx.admission.acquire(cx, &requirements) {
            Ok(permit) => permit,
            Err(refusal) => return Err(refusal.with_verdict_at_least(verdict)),
        };
        let result = send(cx, call, name, permit.target.address);
        cx.admission
            .record_result(&permit.target.name, result.as_ref().err());
        let refusal = match result {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal.with_verdict_at_least(verdict),
        };
        verdict = refusal.verdict;
        if attempts == MAX_ATTEMPTS || !refusal.verdict.allows_retry(idempotent) {
            return Err(refusal);
        }
        cx.admission.spend_retry(cx, refusal)?;
        requirements.failed_targets.push(permit.target.name.clone());
    }
}

fn send(
    cx: &Context,
    call: &Call,
    name: &str,
    address: std::net::SocketAddr,
) -> Result<ServiceResponse, Refusal> {
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
    for name in ["content-type", "accept", "traceparent", KEY_HEADER] {
        if let Some(value) = call.header(name) {
            headers.push((name, value));
        }
    }
    let outgoing = TargetRequest {
        address,
        method: call.method.as_str(),
        path: &path,
        headers,
        body: &call.body,
    };
    let response = cx
        .upstream
        .send_with_timeout(&outgoing, timeout(cx, name))?;
    Ok(ServiceResponse {
        status: response.status,
        content_type: response.content_type.clone(),
        body: response.read_body()?,
    })
}

/// Time-out of a call to a plain service, from the configuration.
fn timeout(cx: &Context, name: &str) -> Millis {
    let configuration = cx.store.configuration();
    configuration
        .services
        .get(name)
        .map_or(DEFAULT_TIMEOUT, |service| Millis(service.timeout_ms))
}

/// Whether the call is idempotent, by its method or by the configuration of its service. A service
/// that is not configured counts as not idempotent.
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
    if printable && (1..=MAX_KEY_BYTES).contains(&key.len()) {
        return Ok(());
    }
    let detail =
        format!("an idempotency key must have 1 to {MAX_KEY_BYTES} printable ASCII characters");
    Err(Refusal::not_run(Reason::BadKey, detail))
}
