//! One line of a log.

use serde_json::{
    Map,
    Value, //
};

/// Messages about the life of a process and what it depends on. The last three are texts of older
/// processes, whose logs are read beside those of current ones.
const PROCESS_EVENTS: [&str; 13] = [
    "starting",
    "started",
    "stopping",
    "stopped",
    "settings reloaded",
    "manifest in force",
    "following the leader",
    "leader connection lost",
    "became leader; state is current",
    "leadership lost",
    "the leader is followed no more",
    "this instance leads, and its state is current",
    "this instance does not lead any more",
];
/// Fields that are shown apart from the others.
const SHOWN_APART: [&str; 5] = ["time_ms", "level", "message", "request", "job"];

/// One event that a process logged.
#[derive(Debug)]
pub(super) struct Line {
    /// The file that it stands in, or what stands before it in the line.
    pub(super) source: String,
    /// When it was written, in ms since the Unix epoch, by the clock of its process.
    pub(super) time_ms: u64,
    pub(super) message: String,
    fields: Map<String, Value>,
}

/// Adds the lines of a text, and returns how many are no event.
pub(super) fn read_lines(name: &str, text: &str, lines: &mut Vec<Line>) -> usize {
    let mut foreign = 0;
    for text in text.lines().filter(|line| !line.trim().is_empty()) {
        match parse(name, text) {
            Some(line) => lines.push(line),
            None => foreign += 1,
        }
    }
    foreign
}

/// Collectors of logs put a time and a name before each line.
fn parse(name: &str, text: &str) -> Option<Line> {
    let (before, json) = text.split_at(text.find('{')?);
    let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
        return None;
    };
    let source = before.split_whitespace().last().unwrap_or(name);
    Some(Line {
        source: source.to_owned(),
        time_ms: fields.get("time_ms")?.as_u64()?,
        message: fields.get("message")?.as_str()?.to_owned(),
        fields,
    })
}

impl Line {
    /// Whether it is about a request or a job.
    pub(super) fn is_about(&self, id: &str) -> bool {
        self.text("request") == Some(id) || self.text("job") == Some(id)
    }

    /// Whether it is about the life of its process or what that depends on.
    pub(super) fn is_process_event(&self) -> bool {
        PROCESS_EVENTS.contains(&self.message.as_str())
    }

    /// A field that is text.
    pub(super) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// A field that is a number.
    pub(super) fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// When what it tells of began, if it says how long that took.
    pub(super) fn began_at(&self) -> u64 {
        self.time_ms
            .saturating_sub(self.number("took_ms").unwrap_or(0))
    }

    /// The line for people, with its time counted from the beginning.
    pub(super) fn render(&self, began_at: u64) -> String {
        let after = i128::from(self.time_ms) - i128::from(began_at);
        let mut text = format!("  {after:>+7} ms  {}  {}", self.source, self.message);
        for (name, value) in &self.fields {
            if SHOWN_APART.contains(&name.as_str()) || value.is_null() {
                continue;
            }
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!("  {name}={value}"));
        }
        text
    }
}
