//! The items of one chunk, as the caller sent them.

use serde_json::{
    Value,
    json, //
};

/// The default path of an item for a plain service.
const SERVICE_PATH: &str = "/";
const CHAT_PATH: &str = "/v1/chat/completions";
const TEXT_PATH: &str = "/v1/completions";

/// The items of one chunk: a line of JSON each.
pub(super) struct Payload {
    lines: Vec<Value>,
}

impl Payload {
    /// Reads a payload blob. A line that is not JSON, which the entry does not accept, becomes
    /// `null` and fails at its target.
    pub(super) fn parse(blob: &[u8]) -> Self {
        let lines = blob.split(|&byte| byte == b'\n');
        let lines = lines.filter(|line| !line.trim_ascii().is_empty());
        Self {
            lines: lines
                .map(|line| serde_json::from_slice(line).unwrap_or_default())
                .collect(),
        }
    }

    /// One item.
    pub(super) fn item(&self, number: u16) -> Request {
        let line = self.lines.get(usize::from(number));
        Request {
            line: line.cloned().unwrap_or_default(),
        }
    }
}

/// One item as the caller wrote it: `custom_id`, `url`, `method` and `body`, all but the body
/// optional.
#[derive(Clone, Debug)]
pub(super) struct Request {
    line: Value,
}

impl Request {
    pub(super) fn custom_id(&self) -> &Value {
        &self.line["custom_id"]
    }

    /// The body for a model engine: streamed, and behind the tokens that are there already.
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

    /// The body for a plain service.
    pub(super) fn service_body(&self) -> String {
        match &self.line["body"] {
            Value::Null => String::new(),
            body => body.to_string(),
        }
    }

    pub(super) fn method(&self) -> &str {
        self.line["method"].as_str().unwrap_or("POST")
    }

    /// Whether the item is in the chat shape.
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
