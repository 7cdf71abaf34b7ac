//! Structured logs by `logforth`, as text or JSON, on standard error.

use logforth::{
    append::{
        self,
        asynchronous::AsyncBuilder, //
    },
    layout::JsonLayout, //
};

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
    let stdout = append::Stdout::default().with_layout(JsonLayout::default());
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
