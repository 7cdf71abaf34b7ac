//! Online calls to model engines: chat and completions, streamed or whole.

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
        Ask,
        Needs,
        prefix_of, //
    },
    context::Context,
    entry::events::{
        Event,
        Events, //
    },
    fleet::Announcement,
    http::{
        Call,
        ChunkWriter,
        Responder, //
    },
    measures,
    upstream::{
        self,
        Answer,
        Outgoing, //
    },
};

/// How many targets a call is tried at.
const ATTEMPTS: u32 = 3;
/// The longest answer of a call that states none, in tokens.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Bytes of text that make about one token.
const BYTES_PER_TOKEN: usize = 4;
/// The content type of a stream.
const EVENTS: &str = "text/event-stream";
/// The class of a call that names none.
const DEFAULT_CLASS: &str = "online";

/// Serves one call to a model.
pub(crate) fn generate(cx: &Context, call: &Call, out: Responder) {
    let body: Value = match call.json() {
        Ok(body) => body,
        Err(refusal) => return out.refuse(&refusal),
    };
    let ask = match ask_of(cx, call, &body) {
        Ok(ask) => ask,
        Err(refusal) => return out.refuse(&refusal),
    };
    let mut generation = Generation {
        cx,
        call,
        ask,
        body,
        verdict: Verdict::NotRun,
    };
    if generation.body["stream"] == json!(true) {
        generation.run_stream(out);
    } else {
        generation.run_whole(out);
    }
}

/// One call that is tried at one target after another.
struct Generation<'a> {
    cx: &'a Context,
    call: &'a Call,
    ask: Ask,
    body: Value,
    /// The strongest verdict of the attempts so far.
    verdict: Verdict,
}

impl Generation<'_> {
    fn run_whole(&mut self, out: Responder) {
        let mut attempts = 0;
        let refusal = loop {
            attempts += 1;
            match self.try_whole() {
                Ok((answer, body)) => {
                    measures::count_answer("whole");
                    return out.bytes(answer.status, &answer.content_type, body);
                }
                Err(refusal) if attempts == ATTEMPTS || !is_worth_retrying(&refusal) => {
                    break refusal;
                }
                Err(refusal) => {
                    if let Err(refusal) = self.cx.admission.retry(self.cx, refusal) {
                        break refusal;
                    }
                }
            }
        };
        out.refuse(&refusal.at_least(self.verdict));
    }

    fn try_whole(&mut self) -> Result<(AnswerHead, Vec<u8>), Refusal> {
        let permit = self.cx.admission.acquire(self.cx, &self.ask)?;
        let result = self
            .send(&permit.target, 0)
            .and_then(|answer| {
                let head = AnswerHead {
                    status: answer.status,
                    content_type: answer.content_type.clone(),
                };
                answer.read_whole().map(|body| (head, body))
            })
            .and_then(|(head, body)| match head.status {
                500.. => Err(failed_status(&permit.target.name, head.status)),
                _ => Ok((head, body)),
            });
        self.note(&permit.target.name, &result);
        result
    }

    fn run_stream(&mut self, out: Responder) {
        let mut out = Some(out);
        let mut stream: Option<Stream> = None;
        let mut attempts = 0;
        let refusal = loop {
            attempts += 1;
            match self.try_stream(&mut out, &mut stream) {
                Ok(()) => return,
                Err(refusal) if attempts == ATTEMPTS || !is_worth_retrying(&refusal) => {
                    break refusal;
                }
                Err(refusal) => {
                    if let Err(refusal) = self.cx.admission.retry(self.cx, refusal) {
                        break refusal;
                    }
                }
            }
        };
        let refusal = refusal.at_least(self.verdict);
        match (stream, out) {
            (Some(stream), _) => stream.writer.cut(&refusal),
            (None, Some(out)) => out.refuse(&refusal),
            (None, None) => measures::count_refusal(refusal.reason, refusal.verdict),
        }
    }

    /// Streams from one target, from the token where the last one stopped. `out` becomes `stream`
    /// once the first event is there.
    fn try_stream(
        &mut self,
        out: &mut Option<Responder>,
        stream: &mut Option<Stream>,
    ) -> Result<(), Refusal> {
        let permit = self.cx.admission.acquire(self.cx, &self.ask)?;
        let resume_from = stream.as_ref().map_or(0, |stream| stream.tokens);
        let result = self.send(&permit.target, resume_from).and_then(|answer| {
            if answer.status >= 500 {
                return Err(failed_status(&permit.target.name, answer.status));
            }
            if answer.status != 200 {
                return Self::pass_on(out, answer);
            }
            self.copy(answer, out, stream)
        });
        self.note(&permit.target.name, &result);
        result
    }

    /// Passes a target's own refusal of the call to the caller.
    fn pass_on(out: &mut Option<Responder>, answer: Answer) -> Result<(), Refusal> {
        let status = answer.status;
        let content_type = answer.content_type.clone();
        let body = answer.read_whole()?;
        let Some(out) = out.take() else {
            let detail = format!("a target refused to resume with status {status}");
            return Err(Refusal::may_have_run(Reason::TargetFailed, detail));
        };
        out.bytes(status, &content_type, body);
        Ok(())
    }

    fn copy(
        &self,
        answer: Answer,
        out: &mut Option<Responder>,
        stream: &mut Option<Stream>,
    ) -> Result<(), Refusal> {
        let mut events = Events::new(answer.body);
        loop {
            let event = events.next().map_err(|error| upstream::cut(&error))?;
            if stream.is_none() {
                let out = out.take().expect("the responder is there until the stream");
                let writer = out.chunks(EVENTS).map_err(|_| caller_gone())?;
                *stream = Some(Stream::new(writer, self.cx.clock.now()));
            }
            let current = stream.as_mut().expect("set above");
            match event {
                Event::Piece { bytes, has_text } => {
                    current.send(&bytes)?;
                    if has_text {
                        current.count_token(self.cx, self.call);
                    }
                }
                Event::Done(bytes) => {
                    current.writer.send(&bytes).map_err(|_| caller_gone())?;
                    let finished = stream.take().expect("set above");
                    finished.writer.finish().map_err(|_| caller_gone())?;
                    measures::count_answer("stream");
                    return Ok(());
                }
            }
        }
    }

    fn send(&self, target: &Announcement, resume_from: u64) -> Result<Answer, Refusal> {
        let mut body = Cow::Borrowed(&self.body);
        if resume_from > 0 {
            body.to_mut()["yuccaseam"] = json!({ "resume_from": resume_from });
        }
        let mut headers = vec![("content-type", "application/json")];
        headers.push(("x-request-id", self.call.id.as_str()));
        if let Some(trace) = self.call.header("traceparent") {
            headers.push(("traceparent", trace));
        }
        self.cx.upstream.send(&Outgoing {
            address: target.address,
            method: "POST",
            path: &self.call.path,
            headers,
            body: body.to_string().as_bytes(),
        })
    }

    /// Remembers a target that failed, so that the next attempt goes elsewhere, and whether it may
    /// have run the call.
    fn note<T>(&mut self, target: &TargetName, result: &Result<T, Refusal>) {
        self.cx.admission.note_result(target, result.as_ref().err());
        if let Err(refusal) = result {
            self.ask.avoid.push(target.clone());
            self.verdict = self.verdict.max(refusal.verdict);
        }
    }
}

/// What a caller reads of an answer before its body.
struct AnswerHead {
    status: u16,
    content_type: String,
}

/// A stream to the caller that has begun.
struct Stream {
    writer: ChunkWriter,
    /// Tokens that the caller has got.
    tokens: u64,
    last_at: Millis,
}

impl Stream {
    fn new(writer: ChunkWriter, now: Millis) -> Self {
        Self {
            writer,
            tokens: 0,
            last_at: now,
        }
    }

    fn send(&mut self, event: &[u8]) -> Result<(), Refusal> {
        self.writer.send(event).map_err(|_| caller_gone())
    }

    fn count_token(&mut self, cx: &Context, call: &Call) {
        let now = cx.clock.now();
        if self.tokens == 0 {
            measures::record_first_token(now - call.arrived_at);
        } else {
            measures::record_between_tokens(now - self.last_at);
        }
        self.tokens += 1;
        self.last_at = now;
    }
}

fn ask_of(cx: &Context, call: &Call, body: &Value) -> Result<Ask, Refusal> {
    let bad = |detail| Refusal::not_run(Reason::BadRequest, detail);
    let model = body["model"]
        .as_str()
        .ok_or_else(|| bad("the field `model` is missing"))?;
    if body.get("prompt").is_none() && body.get("messages").is_none() {
        return Err(bad("the field `messages` or `prompt` is missing"));
    }
    cx.check_model(model)?;
    let answer_tokens = body["max_tokens"]
        .as_u64()
        .map_or(DEFAULT_ANSWER_TOKENS, |tokens| {
            u32::try_from(tokens).unwrap_or(u32::MAX)
        });
    let prompt_tokens = u32::try_from(call.body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    Ok(Ask {
        needs: Needs::Model(model.to_owned()),
        team: call.team().to_owned(),
        class: call.class().unwrap_or(DEFAULT_CLASS).to_owned(),
        prompt_tokens,
        answer_tokens,
        prefix: prefix_of(body),
        avoid: Vec::new(),
    })
}

/// Whether another target may do better. A generation is idempotent: only the caller sees it.
fn is_worth_retrying(refusal: &Refusal) -> bool {
    refusal.verdict.allows_retry(true)
        && matches!(refusal.reason, Reason::TargetFailed | Reason::AnswerCut)
}

fn failed_status(target: &TargetName, status: u16) -> Refusal {
    let detail = format!("{target} answered with status {status}");
    Refusal::may_have_run(Reason::TargetFailed, detail)
}

fn caller_gone() -> Refusal {
    Refusal::may_have_run(Reason::CallerGone, "the caller closed its connection")
}
