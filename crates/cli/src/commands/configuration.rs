//! Commands for the configuration and its exceptions.

use std::{
    env, fs,
    io::{
        self,
        Read, //
    },
};

use serde_json::{
    Value,
    json, //
};

use crate::{
    client::Client,
    commands::{
        Output,
        cell,
        heading,
        rows, //
    },
    exit::Failure,
    flags::{
        Apply,
        ConfigurationCmd,
        Diff, //
    },
    table,
};

const PATH: &str = "/admin/v1/configuration";

pub(crate) fn run(client: &Client, command: ConfigurationCmd, out: Output) -> Result<(), Failure> {
    match command {
        ConfigurationCmd::Show(_) => show(client),
        ConfigurationCmd::Apply(flags) => apply(client, flags, out),
        ConfigurationCmd::History(_) => history(client, out),
        ConfigurationCmd::Diff(flags) => diff(client, &flags, out),
    }
}

fn show(client: &Client) -> Result<(), Failure> {
    println!("{:#}", client.get(PATH)?);
    Ok(())
}

fn apply(client: &Client, flags: Apply, out: Output) -> Result<(), Failure> {
    let text = read_file(&flags.file)?;
    let changes: Value = serde_json::from_slice(&text)
        .map_err(|error| Failure::Refused(format!("{}: {error}", flags.file)))?;
    let expected = match flags.expect {
        Some(revision) => revision,
        None => client.get(PATH)?["revision"].as_u64().unwrap_or(0),
    };
    let author = flags
        .author
        .or_else(|| env::var("USER").ok())
        .unwrap_or_else(|| "unnamed".to_owned());
    let request = flags.request.unwrap_or_else(random_id);
    // Printed first, so that the operator can retry the same change if the response is lost.
    eprintln!("request {request} on revision {expected}");
    let value = client.post(
        PATH,
        &json!({
            "request": request,
            "expected": expected,
            "author": author,
            "changes": changes,
        }),
    )?;
    out.print(&value, |value| {
        format!("revision {} is accepted\n", value["revision"])
    });
    Ok(())
}

fn history(client: &Client, out: Output) -> Result<(), Failure> {
    let value = client.get(&format!("{PATH}/history"))?;
    out.print(&value, history_text);
    Ok(())
}

fn history_text(value: &Value) -> String {
    table::format(&rows(
        &["REVISION", "AUTHOR", "AT", "CHANGES"],
        &value["history"],
        &["revision", "author", "at", "changes"],
    ))
}

fn diff(client: &Client, flags: &Diff, out: Output) -> Result<(), Failure> {
    let mut value = client.get(&format!("{PATH}/history"))?;
    if let Some(history) = value["history"].as_array_mut() {
        history.retain(|change| {
            let revision = change["revision"].as_u64().unwrap_or(0);
            revision > flags.from && revision <= flags.to
        });
    }
    out.print(&value, history_text);
    Ok(())
}

pub(crate) fn exceptions(client: &Client, out: Output) -> Result<(), Failure> {
    let value = client.get("/admin/v1/exceptions")?;
    out.print(&value, exceptions_text);
    Ok(())
}

fn exceptions_text(value: &Value) -> String {
    let list = &value["exceptions"];
    if list.as_array().is_none_or(Vec::is_empty) {
        return "No exceptions: the defaults hold for the whole fleet.\n".to_owned();
    }
    let names = [
        "EXCEPTION",
        "WHERE",
        "SETTING",
        "REASON",
        "AUTHOR",
        "REVISION",
        "ENDS",
    ];
    let mut table = vec![heading(&names)];
    for exception in list.as_array().into_iter().flatten() {
        table.push(vec![
            cell(exception, "id"),
            scope_text(&exception["scope"]),
            format!(
                "{} = {}",
                cell(exception, "setting"),
                cell(exception, "value")
            ),
            cell(exception, "reason"),
            cell(exception, "author"),
            cell(exception, "revision"),
            cell(exception, "end"),
        ]);
    }
    table::format(&table)
}

/// Formats the scope of an exception, such as `region morava`.
fn scope_text(scope: &Value) -> String {
    match scope.as_object().and_then(|fields| fields.iter().next()) {
        Some((kind, name)) => {
            let kind = kind.replace('_', " ");
            format!("{kind} {}", name.as_str().unwrap_or_default())
        }
        None => "the whole fleet".to_owned(),
    }
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read_file(path: &str) -> Result<Vec<u8>, Failure> {
    let failed = |error: io::Error| Failure::Local(format!("{path}: {error}"));
    if path != "-" {
        return fs::read(path).map_err(failed);
    }
    let mut text = Vec::new();
    io::stdin().read_to_end(&mut text).map_err(failed)?;
    Ok(text)
}

/// Generates a random 128-bit ID.
pub(crate) fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
