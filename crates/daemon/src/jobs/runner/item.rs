//! One item in flight.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
        mpsc::Sender,
    },
    thread,
};

use serde_json::{
    Value,
    json, //
};
use yuccaseam_admit::RunId;
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    Verdict, //
};
use yuccaseam_batch::{
    Failure,
    ItemRef, //
};
use yuccaseam_state::Work;

use crate::{
    context::Context,
    entry::events::{
        Event,
        EventReader, //
    },
    fleet::Announcement,
    telemetry,
    upstream::{
        TargetRequest, //
        TargetResponse,
    },
};

use super::{
    Input,
    payload::Request, //
};

/// One in so many times between tokens is told to the gate.
const TOKENS_PER_SAMPLE: u32 = 4;

/// The part of an answer that came before its stream stopped.
#[derive(Clone, Debug, Default)]
pub(super) struct Partial {
    pub(super) text: String,
    pub(super) tokens: u32,
    finish_reason: Option<String>,
}

/// How a run ended.
pub(super) enum End {
    /// With a whole answer: the line for the result blob.
    Finished(Vec<u8>),
    /// Without, and the target is well.
    Failed(Failure, Vec<u8>),
    /// The stream was cut.
    Cut(Partial),
    /// As it was ordered to.
    Stopped(Partial),
}

/// One run of one item, on a thread of its own.
pub(super) struct ItemRun {
    pub(super) cx: Arc<Context>,
    pub(super) run: RunId,
    pub(super) item: ItemRef,
    pub(super) target: Announcement,
    pub(super) work: Work,
    pub(super) idempotent: bool,
    pub(super) request: Request,
    pub(super) partial: Partial,
    /// When the last token of this run came.
    pub(super) last_token: Option<Millis>,
    pub(super) stop: Arc<AtomicBool>,
    pub(super) tx: Sender<Input>,
}

/// Tells an engine to cancel a call, which ends its stream at once.
pub(super) fn cancel(cx: &Arc<Context>, target: &Announcement, id: String) {
    let cx = Arc::clone(cx);
    let address = target.address;
    thread::spawn(move || {
        let body = json!({ "id": id }).to_string();
        let call = TargetRequest {
            address,
            method: "POST",
            path: "/cancel",
            headers: vec![("content-type", "application/json")],
            body: body.as_bytes(),
        };
        // The stream is closed anyway at its next token.
        if let Err(refusal) = cx.upstream.send(&call) {
            log::debug!("not cancelled by request: {refusal}");
        }
    });
}

/// The name of a run at its target.
pub(super) fn call_id(cx: &Context, item: &ItemRef, run: RunId) -> String {
    let ItemRef { lease, item } = item;
    let instance = &cx.settings.instance;
    format!("{}-{}-{item}-{instance}-{}", lease.job, lease.chunk, run.0)
}

impl ItemRun {
    /// Runs the item and reports its end.
    pub(super) fn start(mut self) {
        thread::spawn(move || {
            // A planned stop waits for calls that cannot be run again.
            let running = (!self.idempotent).then(telemetry::RunningRequest::start);
            let end = match self.work.clone() {
                Work::Model(model) => self.generate(&model),
                Work::Service(_) => self.call(),
            };
            // The thread of a target that is gone needs no report.
            let _ = self.tx.send(Input::Ended(self.run, end));
            drop(running);
        });
    }

    fn generate(&mut self, model: &str) -> End {
        let id = call_id(&self.cx, &self.item, self.run);
        let body = self.request.model_body(model, self.partial.tokens);
        let answer = self.cx.upstream.send(&TargetRequest {
            address: self.target.address,
            method: "POST",
            path: self.request.model_path(),
            headers: vec![("content-type", "application/json"), ("x-request-id", &id)],
            body: body.to_string().as_bytes(),
        });
        match answer {
            Ok(answer) if answer.status == 200 => self.read(answer),
            Ok(answer) => self.refused(answer),
            Err(refusal) => self.unsent(&refusal),
        }
    }

    /// Reads a stream until its end mark, its cut or the order to stop.
    fn read(&mut self, answer: TargetResponse) -> End {
        let mut events = EventReader::new(answer.body);
        loop {
            let event = events.next();
            if self.stop.load(Ordering::SeqCst) && !matches!(event, Ok(Event::Done(_))) {
                return End::Stopped(std::mem::take(&mut self.partial));
            }
            match event {
                Ok(Event::Data { bytes, has_text }) => self.take_piece(&bytes, has_text),
                Ok(Event::Done(_)) => return End::Finished(self.whole()),
                Err(error) => {
                    log::debug!("the stream of an item was cut: {error}");
                    return End::Cut(std::mem::take(&mut self.partial));
                }
            }
        }
    }

    fn take_piece(&mut self, bytes: &[u8], has_text: bool) {
        let data = bytes.strip_prefix(b"data:").unwrap_or_default();
        let Ok(value) = serde_json::from_slice::<Value>(data.trim_ascii()) else {
            return;
        };
        let choice = &value["choices"][0];
        let text = choice["text"].as_str();
        if let Some(text) = text.or_else(|| choice["delta"]["content"].as_str()) {
            self.partial.text.push_str(text);
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.partial.finish_reason = Some(reason.to_owned());
        }
        if has_text {
            self.partial.tokens += 1;
            self.note_token();
        }
    }

    /// Tells the gate of the first token of this run, and of some times between tokens.
    fn note_token(&mut self) {
        let now = self.cx.clock.now();
        let input = match self.last_token.replace(now) {
            None => Input::FirstToken(self.run),
            Some(last) if self.partial.tokens.is_multiple_of(TOKENS_PER_SAMPLE) => {
                let micros = (now - last).0.saturating_mul(1_000);
                Input::Paced(u32::try_from(micros).unwrap_or(u32::MAX))
            }
            Some(_) => return,
        };
        // The thread of a target that is gone needs no news.
        let _ = self.tx.send(input);
    }

    /// The result line of an answer that has come to its end mark.
    fn whole(&self) -> Vec<u8> {
        let Partial {
            text,
            tokens,
            finish_reason,
        } = &self.partial;
        let mut choice = json!({ "index": 0, "finish_reason": finish_reason });
        let object = if self.request.is_chat() {
            choice["message"] = json!({ "role": "assistant", "content": text });
            "chat.completion"
        } else {
            choice["text"] = json!(text);
            "text_completion"
        };
        let body = json!({
            "object": object,
            "choices": [choice],
            "usage": { "completion_tokens": tokens },
        });
        self.line(200, &body)
    }

    fn call(&self) -> End {
        // A plain service reads no prompt: its call counts as under way from its start.
        let _ = self.tx.send(Input::FirstToken(self.run));
        let id = call_id(&self.cx, &self.item, self.run);
        let body = self.request.service_body();
        let answer = self.cx.upstream.send(&TargetRequest {
            address: self.target.address,
            method: self.request.method(),
            path: self.request.service_path(),
            headers: vec![("content-type", "application/json"), ("x-request-id", &id)],
            body: body.as_bytes(),
        });
        match answer {
            Ok(answer) if answer.status < 400 => self.read_whole(answer),
            Ok(answer) => self.refused(answer),
            Err(refusal) => self.unsent(&refusal),
        }
    }

    fn read_whole(&self, answer: TargetResponse) -> End {
        let status = answer.status;
        match answer.read_body() {
            Ok(body) => End::Finished(self.line(status, &readable(&body))),
            Err(refusal) => self.unsent(&refusal),
        }
    }

    /// The target answered with an error. A faulty engine may do better next time; an engine that
    /// refuses the item, and any answer of a plain service, is final.
    fn refused(&self, answer: TargetResponse) -> End {
        let status = answer.status;
        let body = answer.read_body().unwrap_or_default();
        let faulty = status >= 500 || status == 429;
        let is_model = matches!(self.work, Work::Model(_));
        let failure = Failure {
            verdict: if faulty && is_model {
                Verdict::MayHaveRun
            } else {
                Verdict::Ran
            },
            reason: if faulty {
                Reason::TargetFailed
            } else {
                Reason::BadRequest
            },
            transient: faulty,
        };
        End::Failed(failure, self.line(status, &readable(&body)))
    }

    /// The call failed before its answer began.
    fn unsent(&self, refusal: &Refusal) -> End {
        if refusal.verdict == Verdict::MayHaveRun && self.idempotent {
            if self.stop.load(Ordering::SeqCst) {
                return End::Stopped(self.partial.clone());
            }
            return End::Cut(self.partial.clone());
        }
        let failure = Failure {
            verdict: refusal.verdict,
            reason: refusal.reason,
            transient: true,
        };
        End::Failed(failure, self.line(0, &Value::Null))
    }

    fn line(&self, status: u16, body: &Value) -> Vec<u8> {
        let line = json!({
            "item": self.item.item,
            "custom_id": self.request.custom_id(),
            "response": { "status_code": status, "body": body },
            "error": null,
        });
        let mut line = line.to_string().into_bytes();
        line.push(b'\n');
        line
    }
}

/// A body as JSON, or as text where it is none.
fn readable(body: &[u8]) -> Value {
    serde_json::from_slice(body).unwrap_or_else(|_| json!(String::from_utf8_lossy(body)))
}
