//! Structured logs by `logforth`: as text or JSON on standard error, or as JSON on standard output.

use logforth::{
    Diagnostic,
    Layout,
    append::{
        self,
        asynchronous::AsyncBuilder, //
    },
    kv::{
        KeyView,
        ValueView,
        Visitor, //
    },
    layout::JsonLayout,
    record::Record, //
};
use serde_json::{
    Map,
    Value, //
};
use yuccaseam_base::Millis;

use crate::settings::{
    LogFormat,
    Settings, //
};

/// Starts logging in the format and at the level of the settings.
pub(crate) fn start(settings: &Settings) {
    let builder = logforth::starter_log::builder();
    let stderr = append::Stderr::default();
    let builder = match settings.log_format {
        LogFormat::Text => builder.dispatch(|dispatch| dispatch.append(stderr)),
        LogFormat::Json => {
            let stderr = stderr.with_layout(JsonLayout::default());
            builder.dispatch(|dispatch| dispatch.append(stderr))
        }
    };
    builder.apply();
    log::set_max_level(settings.log_level);
}

/// Capacity of the queue of the logging thread, in lines. When it is full, new lines are dropped,
/// so that logging never delays a request.
const QUEUE_LINES: usize = 4_096;

/// Starts JSON logs on standard output, written by a background thread.
pub(crate) fn start_in_background() {
    let stdout = append::Stdout::default().with_layout(FlatJsonLayout);
    let background = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(QUEUE_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(background))
        .apply();
    log::set_max_level(log::LevelFilter::Info);
}

/// Layout of one JSON object per line: time, level and message, with the fields of the event at
/// the same level.
#[derive(Debug)]
struct FlatJsonLayout;

impl Layout for FlatJsonLayout {
    fn format(
        &self,
        record: &Record<'_>,
        _diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, logforth::Error> {
        let mut line = Map::new();
        let time = Millis::unix_now();
        line.insert("time_ms".to_owned(), time.0.into());
        line.insert("level".to_owned(), record.level().name().into());
        line.insert("message".to_owned(), record.payload().to_string().into());
        let mut fields = FieldCollector(&mut line);
        record.key_values().visit(&mut fields)?;
        serde_json::to_vec(&line)
            .map_err(|error| logforth::Error::new("cannot encode a log line").with_source(error))
    }
}

/// Visitor that inserts the fields of an event into a line.
struct FieldCollector<'a>(&'a mut Map<String, Value>);

impl Visitor for FieldCollector<'_> {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), logforth::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
