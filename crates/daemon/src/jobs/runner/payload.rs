//! The items of one chunk, as the caller sent them.

use serde_json::{
    Value,
    json, //
};

/// Default path of an item for a plain service.
const SERVICE_PATH: &str = "/";
const CHAT_PATH: &str = "/v1/chat/completions";
const TEXT_PATH: &str = "/v1/completions";

/// Items of one chunk, each a JSON object.
pub(super) struct Payload {
    lines: Vec<Value>,
}

impl Payload {
    /// Parses a payload blob. A line that is not JSON becomes `null` and fails at its target; the
    /// entry accepts no such line.
    pub(super) fn parse(blob: &[u8]) -> Self {
        let lines = blob.split(|&byte| byte == b'\n');
        let lines = lines.filter(|line| !line.trim_ascii().is_empty());
        Self {
            lines: lines
                .map(|line| serde_json::from_slice(line).unwrap_or_default())
                .collect(),
        }
    }

    /// Returns the item with this number.
    pub(super) fn item(&self, number: u16) -> Request {
        let line = self.lines.get(usize::from(number));
        Request {
            line: line.cloned().unwrap_or_default(),
        }
    }
}

/// One item as the caller sent it: `custom_id`, `url`, `method` and `body`, of which only the
/// body is required.
#[derive(Clone, Debug)]
pub(super) struct Request {
    line: Value,
}

impl Request {
    pub(super) fn custom_id(&self) -> &Value {
        &self.line["custom_id"]
    }

    /// Body for a model engine: a streaming request that resumes after `resume_from` tokens.
    pub(super) fn model_body(&self, model: &str, resume_from: u32) -> Value {
        let mut body = match &self.line["body"] {
            body @ Value::Object(_) => body.clone(),
            _ => json!({}),
        };
        body["model"] = json!(model);
        body["stream"] = json!(true);
        if resume_from > 0 {
            body["yuccaseam"] = json!({ "resume_from": resume_from });
        }
        body
    }

    /// Body for a plain service.
    pub(super) fn service_body(&self) -> String {
        match &self.line["body"] {
            Value::Null => String::new(),
            body => body.to_string(),
        }
    }

    pub(super) fn method(&self) -> &str {
        self.line["method"].as_str().unwrap_or("POST")
    }

    /// Whether the item is a chat completion.
    pub(super) fn is_chat(&self) -> bool {
        self.line["body"].get("messages").is_some()
    }

    pub(super) fn model_path(&self) -> &'static str {
        match self.is_chat() {
            true => CHAT_PATH,
            false => TEXT_PATH,
        }
    }

    pub(super) fn service_path(&self) -> &str {
        let path = self.line["url"].as_str();
        path.filter(|path| path.starts_with('/'))
            .unwrap_or(SERVICE_PATH)
    }
}
