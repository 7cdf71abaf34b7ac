//! Runs one item at a target.

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
        TargetRequest,
        TargetResponse, //
    },
};

use super::{
    Input,
    payload::Request, //
};

/// The gate receives one token interval per this many tokens.
const TOKENS_PER_SAMPLE: u32 = 4;

/// Part of an answer that was received before its stream ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Partial {
    pub(super) text: String,
    pub(super) tokens: u32,
    finish_reason: Option<String>,
}

/// How a run ended.
pub(super) enum RunEnd {
    /// The response is complete: the line for the result blob.
    Finished(Vec<u8>),
    /// The run failed: the failure and the line for the result blob.
    Failed(Failure, Vec<u8>),
    /// The connection broke off.
    Cut(Partial),
    /// The run was stopped on request.
    Stopped(Partial),
}

/// One run of one item, on its own thread.
pub(super) struct ItemRun {
    pub(super) cx: Arc<Context>,
    pub(super) run: RunId,
    pub(super) item: ItemRef,
    pub(super) target: Announcement,
    pub(super) work: Work,
    pub(super) idempotent: bool,
    pub(super) request: Request,
    pub(super) partial: Partial,
    /// When the last token of this run was received.
    pub(super) last_token: Option<Millis>,
    pub(super) stop: Arc<AtomicBool>,
    pub(super) tx: Sender<Input>,
}

/// Requests an engine to cancel a call, which ends its stream at once.
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
        // If this fails, the stream is closed at its next token.
        if let Err(refusal) = cx.upstream.send(&call) {
            log::debug!("cancel request failed: {refusal}");
        }
    });
}

/// Identifier of a run at its target.
pub(super) fn call_id(cx: &Context, item: &ItemRef, run: RunId) -> String {
    let ItemRef { lease, item } = item;
    let instance = &cx.settings.instance;
    format!("{}-{}-{item}-{instance}-{}", lease.job, lease.chunk, run.0)
}

impl ItemRun {
    /// Runs the item and reports its end to the thread of the target.
    pub(super) fn start(mut self) {
        thread::spawn(move || {
            // A planned stop waits for calls that cannot be run again.
            let running = (!self.idempotent).then(telemetry::RunningRequest::start);
            let end = match self.work.clone() {
                Work::Model(model) => self.generate(&model),
                Work::Service(_) => self.call_service(),
            };
            // Fails only if the thread of the target has ended.
            let _ = self.tx.send(Input::Ended(self.run, end));
            drop(running);
        });
    }

    fn generate(&mut self, model: &str) -> RunEnd {
        let id = call_id(&self.cx, &self.item, self.run);
        let body = self.request.model_body(model, self.partial.tokens);
        let response = self.cx.upstream.send(&TargetRequest {
            address: self.target.address,
            method: "POST",
            path: self.request.model_path(),
            headers: vec![("content-type", "application/json"), ("x-request-id", &id)],
            body: body.to_string().as_bytes(),
        });
        match response {
            Ok(response) if response.status == 200 => self.read_stream(response),
            Ok(response) => self.handle_error_response(response),
            Err(refusal) => self.handle_call_failure(&refusal),
        }
    }

    /// Reads a stream until its end mark, a broken connection or the request to stop.
    fn read_stream(&mut self, response: TargetResponse) -> RunEnd {
        let mut events = EventReader::new(response.body);
        loop {
            let event = events.next();
            if self.stop.load(Ordering::SeqCst) && !matches!(event, Ok(Event::Done(_))) {
                return RunEnd::Stopped(std::mem::take(&mut self.partial));
            }
            match event {
                Ok(Event::Data { bytes, has_text }) => self.handle_data(&bytes, has_text),
                Ok(Event::Done(_)) => return RunEnd::Finished(self.completed_line()),
                Err(error) => {
                    log::debug!("stream of a batch item broke off: {error}");
                    return RunEnd::Cut(std::mem::take(&mut self.partial));
                }
            }
        }
    }

    fn handle_data(&mut self, bytes: &[u8], has_text: bool) {
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
            self.report_token();
        }
    }

    /// Reports the first token of this run and a sample of its token intervals, for the gate.
    fn report_token(&mut self) {
        let now = self.cx.clock.now();
        let input = match self.last_token.replace(now) {
            None => Input::FirstToken(self.run),
            Some(last) if self.partial.tokens.is_multiple_of(TOKENS_PER_SAMPLE) => {
                let micros = (now - last).0.saturating_mul(1_000);
                Input::TokenInterval(u32::try_from(micros).unwrap_or(u32::MAX))
            }
            Some(_) => return,
        };
        // Fails only if the thread of the target has ended.
        let _ = self.tx.send(input);
    }

    /// Result line of a stream that has reached its end mark.
    fn completed_line(&self) -> Vec<u8> {
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
        self.result_line(200, &body)
    }

    fn call_service(&self) -> RunEnd {
        // A plain service has no prefill: its call counts as past the first token from its start.
        let _ = self.tx.send(Input::FirstToken(self.run));
        let id = call_id(&self.cx, &self.item, self.run);
        let body = self.request.service_body();
        let response = self.cx.upstream.send(&TargetRequest {
            address: self.target.address,
            method: self.request.method(),
            path: self.request.service_path(),
            headers: vec![("content-type", "application/json"), ("x-request-id", &id)],
            body: body.as_bytes(),
        });
        match response {
            Ok(response) if response.status < 400 => self.read_response(response),
            Ok(response) => self.handle_error_response(response),
            Err(refusal) => self.handle_call_failure(&refusal),
        }
    }

    fn read_response(&self, response: TargetResponse) -> RunEnd {
        let status = response.status;
        match response.read_body() {
            Ok(body) => RunEnd::Finished(self.result_line(status, &body_to_json(&body))),
            Err(refusal) => self.handle_call_failure(&refusal),
        }
    }

    /// Handles an error response. An engine's server error (5xx) or 429 is transient and the item
    /// may be retried. An engine's other errors, and any error of a plain service, are final.
    fn handle_error_response(&self, response: TargetResponse) -> RunEnd {
        let status = response.status;
        let body = response.read_body().unwrap_or_default();
        let is_transient = status >= 500 || status == 429;
        let is_model = matches!(self.work, Work::Model(_));
        let failure = Failure {
            verdict: if is_transient && is_model {
                Verdict::MayHaveRun
            } else {
                Verdict::Ran
            },
            reason: if is_transient {
                Reason::TargetFailed
            } else {
                Reason::BadRequest
            },
            transient: is_transient,
        };
        RunEnd::Failed(failure, self.result_line(status, &body_to_json(&body)))
    }

    /// Handles a call without a complete response: it could not be sent or broke off.
    fn handle_call_failure(&self, refusal: &Refusal) -> RunEnd {
        if refusal.verdict == Verdict::MayHaveRun && self.idempotent {
            if self.stop.load(Ordering::SeqCst) {
                return RunEnd::Stopped(self.partial.clone());
            }
            return RunEnd::Cut(self.partial.clone());
        }
        let failure = Failure {
            verdict: refusal.verdict,
            reason: refusal.reason,
            transient: true,
        };
        RunEnd::Failed(failure, self.result_line(0, &Value::Null))
    }

    fn result_line(&self, status: u16, body: &Value) -> Vec<u8> {
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

/// Converts a body to JSON; a body that is not JSON becomes a string.
fn body_to_json(body: &[u8]) -> Value {
    serde_json::from_slice(body).unwrap_or_else(|_| json!(String::from_utf8_lossy(body)))
}
