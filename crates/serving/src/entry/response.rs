//! Responses to callers, targets and operators.

use bytes::Bytes;
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt as _,
    Full,
    combinators::UnsyncBoxBody, //
};
use yuccaseam_base::{
    Millis,
    Verdict, //
};
use yuccaseam_platform::headers;

pub(super) type BodyError = Box<dyn std::error::Error + Send + Sync>;
pub(super) type Body = UnsyncBoxBody<Bytes, BodyError>;
pub(super) type HttpResponse = Response<Body>;

pub(super) fn full_body<T>(data: T) -> Body
where
    T: Into<Bytes>,
{
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

pub(super) fn empty(status: StatusCode) -> HttpResponse {
    text(status, "")
}

pub(super) fn text<T>(status: StatusCode, text: T) -> HttpResponse
where
    T: Into<Bytes>,
{
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

pub(super) fn json(status: StatusCode, data: Vec<u8>) -> HttpResponse {
    let mut response = text(status, data);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// 503 response with `Retry-After`, for a request that has not run and will not run.
pub(super) fn refusal(reason: &'static str, retry_after: Millis) -> HttpResponse {
    refusal_with_status(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after)
}

/// Response with `Retry-After`, for a request that has not run and will not run.
pub(super) fn refusal_with_status(
    status: StatusCode,
    reason: &'static str,
    retry_after: Millis,
) -> HttpResponse {
    let mut response = text(status, reason);
    let value = headers::retry_after_value(retry_after);
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}

/// Response to a failed request: 503 if it has not run, 504 if it timed out, 502 otherwise.
pub(super) fn error_response(
    verdict: Verdict,
    timed_out: bool,
    reason: &'static str,
) -> HttpResponse {
    match (verdict, timed_out) {
        (Verdict::NotRun, _) => text(StatusCode::SERVICE_UNAVAILABLE, reason),
        (_, true) => text(StatusCode::GATEWAY_TIMEOUT, reason),
        (_, false) => text(StatusCode::BAD_GATEWAY, reason),
    }
}
