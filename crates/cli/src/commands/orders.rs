//! Commands for orders to targets.

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
    flags::OrderCmd,
    table,
};

const PATH: &str = "/admin/v1/orders";

pub(crate) fn list(client: &Client, out: Output) -> Result<(), Failure> {
    let value = client.get(PATH)?;
    out.print(&value, |value| {
        table::format(&rows(
            &["TARGET", "MODEL", "STATE", "NUMBER", "STORE"],
            &value["orders"],
            &["target", "model", "state", "number", "store"],
        ))
    });
    Ok(())
}

pub(crate) fn run(client: &Client, command: OrderCmd, out: Output) -> Result<(), Failure> {
    let OrderCmd::Load(flags) = command;
    let mut body = json!({ "target": flags.target, "model": flags.model });
    if let Some(store) = flags.store {
        body["store"] = Value::String(store);
    }
    let value = client.post(PATH, &body)?;
    out.print(&value, |value| {
        format!(
            "order {} for {}: {}\n",
            cell(value, "number"),
            cell(value, "target"),
            cell(value, "state"),
        )
    });
    Ok(())
}
