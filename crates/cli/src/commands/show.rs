//! Read-only commands.

use serde_json::{
    Value,
    json, //
};

use crate::{
    client::Client,
    commands::{
        Output,
        cell,
        rows, //
    },
    exit::Failure,
    table,
};

pub(crate) fn status(client: &Client, out: Output) -> Result<(), Failure> {
    let mut value = client.get("/admin/v1/status")?;
    value["instances"] = client.get("/admin/v1/instances")?["instances"].take();
    out.print(&value, status_text);
    Ok(())
}

fn status_text(value: &Value) -> String {
    let mut rows = Vec::new();
    for (field, content) in value.as_object().into_iter().flatten() {
        if !content.is_array() && !content.is_object() {
            rows.push(vec![field.replace('_', " "), cell(value, field)]);
        }
    }
    let mut text = table::format(&rows);
    for (field, content) in value.as_object().into_iter().flatten() {
        let Some(list) = content.as_array() else {
            continue;
        };
        let names: Vec<_> = list
            .first()
            .and_then(Value::as_object)
            .map(|first| first.keys().map(String::as_str).collect())
            .unwrap_or_default();
        if !names.is_empty() {
            text.push_str(&format!("\n{}\n", field.replace('_', " ")));
            text.push_str(&table::format(&self::rows(&names, content, &names)));
        }
    }
    text
}

pub(crate) fn targets(client: &Client, out: Output) -> Result<(), Failure> {
    let value = client.get("/admin/v1/targets")?;
    out.print(&value, |value| {
        table::format(&rows(
            &[
                "TARGET", "STATE", "KIND", "MODEL", "SERVICE", "PLACE", "SLOTS", "ADDRESS",
            ],
            &value["targets"],
            &[
                "name",
                "state",
                "kind",
                "model",
                "service",
                "failure_domain",
                "slots",
                "address",
            ],
        ))
    });
    Ok(())
}

pub(crate) fn models(client: &Client, out: Output) -> Result<(), Failure> {
    let value = client.get("/v1/models")?;
    out.print(&value, |value| {
        table::format(&rows(&["MODEL"], &value["data"], &["id"]))
    });
    Ok(())
}

pub(crate) fn export(client: &Client) -> Result<(), Failure> {
    let value = json!({
        "status": client.get("/admin/v1/status")?,
        "targets": client.get("/admin/v1/targets")?["targets"],
        "configuration": client.get("/admin/v1/configuration")?,
        "history": client.get("/admin/v1/configuration/history")?,
        "members": client.get("/admin/v1/members")?,
        "jobs": client.get("/v1/batches")?,
    });
    println!("{value:#}");
    Ok(())
}
