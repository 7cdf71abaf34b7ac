//! Structured logs by `logforth`, as text or JSON, on standard error.

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

/// Lines that may wait to be written. More are dropped, so that logging never delays a request.
const WAITING_LINES: usize = 4_096;

/// Starts JSON logs on standard output, written by a thread of their own.
pub(crate) fn start_in_background() {
    let stdout = append::Stdout::default().with_layout(Fields);
    let background = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(WAITING_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(background))
        .apply();
    log::set_max_level(log::LevelFilter::Info);
}

/// One JSON object a line: time, level, message, and the fields of the event beside them.
#[derive(Debug)]
struct Fields;

impl Layout for Fields {
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
        let mut fields = Collector(&mut line);
        record.key_values().visit(&mut fields)?;
        serde_json::to_vec(&line).map_err(|error| {
            logforth::Error::new("a log line cannot be encoded").with_source(error)
        })
    }
}

/// Takes the fields of an event into a line.
struct Collector<'a>(&'a mut Map<String, Value>);

impl Visitor for Collector<'_> {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), logforth::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
