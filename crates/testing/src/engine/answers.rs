//! The answers of the emulated engine, streamed or whole.

use std::{
    io,
    sync::mpsc::Receiver, //
};

use serde_json::{
    Value,
    json, //
};
use tiny_http::Request;

use super::batching::Progress;
use crate::http::{
    self,
    EventStream, //
};

/// How the answers of one call look.
pub(crate) struct Shape {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) chat: bool,
}

impl Shape {
    fn chunk(&self, text: &str, finish: Option<&str>) -> String {
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
        } else {
            json!({"index": 0, "text": text, "finish_reason": finish})
        };
        self.body(&choice, "chunk").to_string()
    }

    fn whole(&self, text: &str, tokens: u32) -> Value {
        let choice = if self.chat {
            json!({"index": 0, "message": {"role": "assistant", "content": text},
                   "finish_reason": "length"})
        } else {
            json!({"index": 0, "text": text, "finish_reason": "length"})
        };
        let mut body = self.body(&choice, "whole");
        body["usage"] = json!({ "completion_tokens": tokens });
        body
    }

    fn body(&self, choice: &Value, form: &str) -> Value {
        let object = match (self.chat, form) {
            (true, "chunk") => "chat.completion.chunk",
            (true, _) => "chat.completion",
            (false, _) => "text_completion",
        };
        json!({"id": self.id, "object": object, "model": self.model, "choices": [choice]})
    }
}

/// Answers token by token, with the end mark if the call ran to its end.
pub(crate) fn stream(req: Request, shape: &Shape, rx: &Receiver<Progress>) -> io::Result<()> {
    let mut events = EventStream::start(req)?;
    for progress in rx {
        match progress {
            Progress::Token(text) => events.event(&shape.chunk(&text, None))?,
            Progress::Done => {
                events.event(&shape.chunk("", Some("length")))?;
                events.event("[DONE]")?;
                break;
            }
            Progress::Cancelled => {
                events.event(r#"{"error":"cancelled"}"#)?;
                break;
            }
        }
    }
    events.finish()
}

/// Answers once every token is there.
pub(crate) fn whole(req: Request, shape: &Shape, rx: &Receiver<Progress>) {
    let mut answer = String::new();
    let mut tokens = 0;
    for progress in rx {
        match progress {
            Progress::Token(text) => {
                answer.push_str(&text);
                tokens += 1;
            }
            Progress::Done => return http::respond_json(req, 200, &shape.whole(&answer, tokens)),
            Progress::Cancelled => break,
        }
    }
    http::respond_error(req, 499, "cancelled");
}
