//! Batch jobs, as a caller of the daemons sees them.

use serde_json::{
    Value,
    json, //
};

use crate::{
    caller::{
        Answer,
        Broken,
        Caller, //
    },
    text::answer,
};

/// One item of a batch job that asks a model.
#[derive(Clone, Debug)]
pub struct Item {
    /// The caller's name for it.
    pub id: String,
    /// What it asks.
    pub prompt: String,
    /// How many tokens it wants.
    pub tokens: u32,
}

impl Item {
    /// The line of the job's file.
    pub fn line(&self) -> String {
        let body = json!({"prompt": self.prompt, "max_tokens": self.tokens});
        json!({"custom_id": self.id, "body": body}).to_string()
    }

    /// The text of its answer.
    pub fn expected(&self) -> String {
        answer(&self.prompt, 0, self.tokens)
    }

    /// Whether a line of the results is this item's whole answer.
    pub fn is_answered_by(&self, result: &Value) -> bool {
        let text = &result["response"]["body"]["choices"][0]["text"];
        let is_own = result["custom_id"] == self.id.as_str();
        is_own && *text == self.expected()
    }
}

impl Caller {
    /// Creates a job, or finds the one that was created with the same key.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub fn create_job(&self, model: &str, key: &str, items: &[Item]) -> Result<Answer, Broken> {
        let lines: Vec<_> = items.iter().map(Item::line).collect();
        let caller = self.clone().with_header("Idempotency-Key", key);
        let path = format!("/v1/batches?model={model}");
        caller.call("POST", &path, &lines.join("\n"))
    }

    /// The state of a job, if the daemon answers.
    pub fn job(&self, id: &str) -> Option<Value> {
        self.get(&format!("/v1/batches/{id}"))
    }

    /// Every result of a job that is there, if the daemon answers.
    pub fn results(&self, id: &str) -> Option<Vec<Value>> {
        let path = format!("/v1/batches/{id}/results");
        let answer = self.call("GET", &path, "").ok()?;
        if answer.status != 200 {
            return None;
        }
        let lines = answer.text.lines().filter(|line| !line.is_empty());
        lines.map(|line| serde_json::from_str(line).ok()).collect()
    }
}
