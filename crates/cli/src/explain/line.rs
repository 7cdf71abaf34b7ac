//! Parsing and rendering of log lines.

use serde_json::{
    Map,
    Value, //
};

/// Messages about the lifecycle of a process and its dependencies. Older processes log the last
/// three, and their logs are read together with those of current ones.
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
/// Fields that [`Line::render`] leaves out of its `name=value` list.
const UNLISTED_FIELDS: [&str; 5] = ["time_ms", "level", "message", "request", "job"];

/// A log event of one process.
#[derive(Debug)]
pub(super) struct Line {
    /// The last word before the JSON object in the line, or else the name of the file.
    pub(super) source: String,
    /// Time of the event in ms since the Unix epoch, by the clock of its process.
    pub(super) time_ms: u64,
    pub(super) message: String,
    fields: Map<String, Value>,
}

/// Appends the events in `text` to `lines`. Returns the number of lines that are not events.
pub(super) fn read_lines(name: &str, text: &str, lines: &mut Vec<Line>) -> usize {
    let mut skipped = 0;
    for text in text.lines().filter(|line| !line.trim().is_empty()) {
        match parse(name, text) {
            Some(line) => lines.push(line),
            None => skipped += 1,
        }
    }
    skipped
}

/// Parses a line, which log collectors prefix with a time and a name.
fn parse(name: &str, text: &str) -> Option<Line> {
    let (prefix, json) = text.split_at(text.find('{')?);
    let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
        return None;
    };
    let source = prefix.split_whitespace().last().unwrap_or(name);
    Some(Line {
        source: source.to_owned(),
        time_ms: fields.get("time_ms")?.as_u64()?,
        message: fields.get("message")?.as_str()?.to_owned(),
        fields,
    })
}

impl Line {
    /// Whether the event concerns this request or job.
    pub(super) fn is_about(&self, id: &str) -> bool {
        self.text("request") == Some(id) || self.text("job") == Some(id)
    }

    /// Whether the event is one of [`PROCESS_EVENTS`].
    pub(super) fn is_process_event(&self) -> bool {
        PROCESS_EVENTS.contains(&self.message.as_str())
    }

    /// Returns a field if it is a string.
    pub(super) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns a field if it is an unsigned integer.
    pub(super) fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Start of the operation in ms since the Unix epoch: the time of the event less `took_ms`, if
    /// that is logged.
    pub(super) fn began_at(&self) -> u64 {
        self.time_ms
            .saturating_sub(self.number("took_ms").unwrap_or(0))
    }

    /// Formats the line for display, with its time relative to `began_at`.
    pub(super) fn render(&self, began_at: u64) -> String {
        let offset = i128::from(self.time_ms) - i128::from(began_at);
        let mut text = format!("  {offset:>+7} ms  {}  {}", self.source, self.message);
        for (name, value) in &self.fields {
            if UNLISTED_FIELDS.contains(&name.as_str()) || value.is_null() {
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
