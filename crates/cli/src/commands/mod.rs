//! Commands that call an instance.

mod configuration;
mod jobs;
mod members;
mod orders;
mod show;

use serde_json::Value;

use crate::{
    client::Client,
    exit::Failure,
    explain,
    flags::YuccaseamCmd, //
};

/// Runs one command.
///
/// # Errors
///
/// Fails if a call or a local file fails, or if the instance refuses the command.
pub(crate) fn run(client: &Client, command: YuccaseamCmd, json: bool) -> Result<(), Failure> {
    let out = Output { json };
    match command {
        YuccaseamCmd::Status(_) => show::status(client, out),
        YuccaseamCmd::Targets(_) => show::targets(client, out),
        YuccaseamCmd::Models(_) => show::models(client, out),
        YuccaseamCmd::Export(_) => show::export(client),
        YuccaseamCmd::Exceptions(_) => configuration::exceptions(client, out),
        YuccaseamCmd::Configuration(flags) => configuration::run(client, flags.subcommand, out),
        YuccaseamCmd::Jobs(_) => jobs::list(client, out),
        YuccaseamCmd::Job(flags) => jobs::run(client, flags.subcommand, out),
        YuccaseamCmd::Orders(_) => orders::list(client, out),
        YuccaseamCmd::Order(flags) => orders::run(client, flags.subcommand, out),
        YuccaseamCmd::Members(_) => members::list(client, out),
        // Needs no client: `main` runs it.
        YuccaseamCmd::Explain(flags) => explain::run(&flags.id, &flags.file),
        YuccaseamCmd::Member(flags) => members::run(client, flags.subcommand, out),
    }
}

/// Output format of a command.
#[derive(Clone, Copy)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    /// Prints a response as JSON with `--json`, else as formatted by `text`.
    pub(crate) fn print<F>(self, value: &Value, text: F)
    where
        F: FnOnce(&Value) -> String,
    {
        if self.json {
            println!("{value}");
        } else {
            print!("{}", text(value));
        }
    }
}

/// Formats a field of a response as a table cell.
pub(crate) fn cell(value: &Value, field: &str) -> String {
    match &value[field] {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Makes the heading row of a table.
pub(crate) fn heading(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Makes the rows of a table: a heading, then the given fields of each list element.
pub(crate) fn rows(names: &[&str], list: &Value, fields: &[&str]) -> Vec<Vec<String>> {
    let mut rows = vec![heading(names)];
    for entry in list.as_array().into_iter().flatten() {
        rows.push(fields.iter().map(|field| cell(entry, field)).collect());
    }
    rows
}
