//! Answers to callers.

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
pub(super) type Answer = Response<Body>;

pub(super) fn whole<T>(data: T) -> Body
where
    T: Into<Bytes>,
{
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

pub(super) fn empty(status: StatusCode) -> Answer {
    text(status, "")
}

pub(super) fn text<T>(status: StatusCode, text: T) -> Answer
where
    T: Into<Bytes>,
{
    let mut answer = Response::new(whole(text));
    *answer.status_mut() = status;
    answer
}

pub(super) fn json(status: StatusCode, data: Vec<u8>) -> Answer {
    let mut answer = text(status, data);
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// The refusal of a request that has not run and will not run.
pub(super) fn refused(why: &'static str, retry_after: Millis) -> Answer {
    let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, why);
    let value = headers::retry_after_value(retry_after);
    answer.headers_mut().insert(header::RETRY_AFTER, value);
    answer
}

/// The end of a request that was given up.
pub(super) fn given_up(verdict: Verdict, timed_out: bool, why: &'static str) -> Answer {
    match (verdict, timed_out) {
        (Verdict::NotRun, _) => text(StatusCode::SERVICE_UNAVAILABLE, why),
        (_, true) => text(StatusCode::GATEWAY_TIMEOUT, why),
        (_, false) => text(StatusCode::BAD_GATEWAY, why),
    }
}
