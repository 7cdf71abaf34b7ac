//! Online calls to model engines: chat and text completions, streamed or buffered.

use std::borrow::Cow;

use serde_json::{
    Value,
    json, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    TargetName,
    Verdict, //
};

use crate::{
    admission::{
        RequiredKind,
        TargetRequirements,
        prompt_prefix_hashes, //
    },
    context::Context,
    entry::events::{
        Event,
        EventReader, //
    },
    fleet::Announcement,
    http::{
        Call,
        ChunkWriter,
        Responder, //
    },
    telemetry,
    upstream::{
        self,
        TargetRequest,
        TargetResponse, //
    },
};

/// Maximum number of targets tried for one call.
const MAX_ATTEMPTS: u32 = 3;
/// Assumed maximum answer length of a call that states none.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Approximate number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Content type of a streamed response.
const EVENT_STREAM_CONTENT_TYPE: &str = "text/event-stream";
/// Request class of a call that names none.
const DEFAULT_CLASS: &str = "online";

/// Serves one call to a model engine.
pub(crate) fn generate(cx: &Context, call: &Call, out: Responder) {
    let body: Value = match call.json() {
        Ok(body) => body,
        Err(refusal) => return out.refuse(&refusal),
    };
    let requirements = match requirements_of(cx, call, &body) {
        Ok(requirements) => requirements,
        Err(refusal) => return out.refuse(&refusal),
    };
    let mut generation = Generation {
        cx,
        call,
        requirements,
        body,
        verdict: Verdict::NotRun,
    };
    if generation.body["stream"] == json!(true) {
        generation.run_stream(out);
    } else {
        generation.run_buffered(out);
    }
}

/// One call, which is tried at one target after another.
struct Generation<'a> {
    cx: &'a Context,
    call: &'a Call,
    requirements: TargetRequirements,
    body: Value,
    /// The strongest verdict of the attempts so far.
    verdict: Verdict,
}

impl Generation<'_> {
    fn run_buffered(&mut self, out: Responder) {
        let mut attempts = 0;
        let refusal = loop {
            attempts += 1;
            match self.try_buffered() {
                Ok((response, body)) => {
                    telemetry::count_response("whole");
                    return out.bytes(response.status, &response.content_type, body);
                }
                Err(refusal) if attempts == MAX_ATTEMPTS || !is_retryable(&refusal) => {
                    break refusal;
                }
                Err(refusal) => {
                    if let Err(refusal) = self.cx.admission.spend_retry(self.cx, refusal) {
                        break refusal;
                    }
                }
            }
        };
        out.refuse(&refusal.with_verdict_at_least(self.verdict));
    }

    fn try_buffered(&mut self) -> Result<(ResponseHead, Vec<u8>), Refusal> {
        let permit = self.cx.admission.acquire(self.cx, &self.requirements)?;
        let result = self
            .send(&permit.target, 0)
            .and_then(|response| {
                let head = ResponseHead {
                    status: response.status,
                    content_type: response.content_type.clone(),
                };
                response.read_body().map(|body| (head, body))
            })
            .and_then(|(head, body)| match head.status {
                500.. => Err(failed_status(&permit.target.name, head.status)),
                _ => Ok((head, body)),
            });
        self.record_result(&permit.target.name, &result);
        result
    }

    fn run_stream(&mut self, out: Responder) {
        let mut out = Some(out);
        let mut stream: Option<CallerStream> = None;
        let mut attempts = 0;
        let refusal = loop {
            attempts += 1;
            match self.try_stream(&mut out, &mut stream) {
                Ok(()) => return,
                Err(refusal) if attempts == MAX_ATTEMPTS || !is_retryable(&refusal) => {
                    break refusal;
                }
                Err(refusal) => {
                    if let Err(refusal) = self.cx.admission.spend_retry(self.cx, refusal) {
                        break refusal;
                    }
                }
            }
        };
        let refusal = refusal.with_verdict_at_least(self.verdict);
        match (stream, out) {
            (Some(stream), _) => stream.writer.abort(&refusal),
            (None, Some(out)) => out.refuse(&refusal),
            (None, None) => telemetry::count_refusal(refusal.reason, refusal.verdict),
        }
    }

    /// Streams from one target, starting after the tokens already sent to the caller. The first
    /// event turns `out` into `stream`.
    fn try_stream(
        &mut self,
        out: &mut Option<Responder>,
        stream: &mut Option<CallerStream>,
    ) -> Result<(), Refusal> {
        let permit = self.cx.admission.acquire(self.cx, &self.requirements)?;
        let resume_from = stream.as_ref().map_or(0, |stream| stream.tokens);
        let result = self.send(&permit.target, resume_from).and_then(|response| {
            if response.status >= 500 {
                return Err(failed_status(&permit.target.name, response.status));
            }
            if response.status != 200 {
                return Self::forward_error(out, response);
            }
            self.forward_events(response, out, stream)
        });
        self.record_result(&permit.target.name, &result);
        result
    }

    /// Forwards a target's error response to the caller.
    fn forward_error(out: &mut Option<Responder>, response: TargetResponse) -> Result<(), Refusal> {
        let status = response.status;
        let content_type = response.content_type.clone();
        let body = response.read_body()?;
        let Some(out) = out.take() else {
            let detail = format!("target rejected the resumed stream with status {status}");
            return Err(Refusal::may_have_run(Reason::TargetFailed, detail));
        };
        out.bytes(status, &content_type, body);
        Ok(())
    }

    fn forward_events(
        &self,
        response: TargetResponse,
        out: &mut Option<Responder>,
        stream: &mut Option<CallerStream>,
    ) -> Result<(), Refusal> {
        let mut events = EventReader::new(response.body);
        loop {
            let event = events
                .next()
                .map_err(|error| upstream::response_truncated(&error))?;
            if stream.is_none() {
                let out = out
                    .take()
                    .expect("the responder is present until the stream starts");
                let writer = out
                    .stream(EVENT_STREAM_CONTENT_TYPE)
                    .map_err(|_| caller_gone())?;
                *stream = Some(CallerStream::new(writer, self.cx.clock.now()));
            }
            let current = stream.as_mut().expect("set above");
            match event {
                Event::Data { bytes, has_text } => {
                    current.send(&bytes)?;
                    if has_text {
                        current.count_token(self.cx, self.call);
                    }
                }
                Event::Done(bytes) => {
                    current.writer.send(&bytes).map_err(|_| caller_gone())?;
                    let finished = stream.take().expect("set above");
                    finished.writer.finish().map_err(|_| caller_gone())?;
                    telemetry::count_response("stream");
                    return Ok(());
                }
            }
        }
    }

    fn send(&self, target: &Announcement, resume_from: u64) -> Result<TargetResponse, Refusal> {
        let mut body = Cow::Borrowed(&self.body);
        if resume_from > 0 {
            body.to_mut()["yuccaseam"] = json!({ "resume_from": resume_from });
        }
        let mut headers = vec![("content-type", "application/json")];
        headers.push(("x-request-id", self.call.id.as_str()));
        if let Some(trace) = self.call.header("traceparent") {
            headers.push(("traceparent", trace));
        }
        self.cx.upstream.send(&TargetRequest {
            address: target.address,
            method: "POST",
            path: &self.call.path,
            headers,
            body: body.to_string().as_bytes(),
        })
    }

    /// Records the outcome of an attempt. A failure makes the next attempt avoid the target and
    /// raises the verdict if the call may have run.
    fn record_result<T>(&mut self, target: &TargetName, result: &Result<T, Refusal>) {
        self.cx
            .admission
            .record_result(target, result.as_ref().err());
        if let Err(refusal) = result {
            self.requirements.failed_targets.push(target.clone());
            self.verdict = self.verdict.max(refusal.verdict);
        }
    }
}

/// The parts of a response that precede its body.
struct ResponseHead {
    status: u16,
    content_type: String,
}

/// A stream to the caller that has started.
struct CallerStream {
    writer: ChunkWriter,
    /// Number of tokens sent to the caller.
    tokens: u64,
    last_token_at: Millis,
}

impl CallerStream {
    fn new(writer: ChunkWriter, now: Millis) -> Self {
        Self {
            writer,
            tokens: 0,
            last_token_at: now,
        }
    }

    fn send(&mut self, event: &[u8]) -> Result<(), Refusal> {
        self.writer.send(event).map_err(|_| caller_gone())
    }

    fn count_token(&mut self, cx: &Context, call: &Call) {
        let now = cx.clock.now();
        if self.tokens == 0 {
            telemetry::record_first_token(now - call.arrived_at);
        } else {
            telemetry::record_between_tokens(now - self.last_token_at);
        }
        self.tokens += 1;
        self.last_token_at = now;
    }
}

fn requirements_of(cx: &Context, call: &Call, body: &Value) -> Result<TargetRequirements, Refusal> {
    let bad_request = |detail| Refusal::not_run(Reason::BadRequest, detail);
    let model = body["model"]
        .as_str()
        .ok_or_else(|| bad_request("the field `model` is missing"))?;
    if body.get("prompt").is_none() && body.get("messages").is_none() {
        return Err(bad_request("the field `messages` or `prompt` is missing"));
    }
    cx.check_model(model)?;
    let answer_tokens = body["max_tokens"]
        .as_u64()
        .map_or(DEFAULT_ANSWER_TOKENS, |tokens| {
            u32::try_from(tokens).unwrap_or(u32::MAX)
        });
    let prompt_tokens = u32::try_from(call.body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    Ok(TargetRequirements {
        kind: RequiredKind::Model(model.to_owned()),
        team: call.team().to_owned(),
        class: call.class().unwrap_or(DEFAULT_CLASS).to_owned(),
        prompt_tokens,
        answer_tokens,
        prefix_hashes: prompt_prefix_hashes(body),
        failed_targets: Vec::new(),
    })
}

/// Whether the call may be retried at another target. A generation is idempotent, because only the
/// caller sees its result.
fn is_retryable(refusal: &Refusal) -> bool {
    refusal.verdict.allows_retry(true)
        && matches!(refusal.reason, Reason::TargetFailed | Reason::AnswerCut)
}

fn failed_status(target: &TargetName, status: u16) -> Refusal {
    let detail = format!("{target} returned status {status}");
    Refusal::may_have_run(Reason::TargetFailed, detail)
}

fn caller_gone() -> Refusal {
    Refusal::may_have_run(Reason::CallerGone, "the caller closed its connection")
}
