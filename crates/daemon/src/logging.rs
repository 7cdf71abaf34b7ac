//! Structured logs by `logforth`, as text or JSON, on standard error.

use logforth::{
    append,
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
