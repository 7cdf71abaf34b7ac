//! Commands for the members of the replicated log.

use serde_json::{
    Value,
    json, //
};

use crate::{
    client::Client,
    commands::{
        Output,
        rows, //
    },
    exit::Failure,
    flags::MemberCmd,
    table,
};

const PATH: &str = "/admin/v1/members";

pub(crate) fn run(client: &Client, command: MemberCmd, out: Output) -> Result<(), Failure> {
    let value = match command {
        MemberCmd::Add(flags) => {
            let body = json!({ "instance": flags.instance, "peer": flags.peer });
            client.post(&format!("{PATH}/add"), &body)?
        }
        MemberCmd::Promote(flags) => change(client, "promote", &flags.instance)?,
        MemberCmd::Remove(flags) => change(client, "remove", &flags.instance)?,
    };
    print(&value, out);
    Ok(())
}

pub(crate) fn list(client: &Client, out: Output) -> Result<(), Failure> {
    print(&client.get(PATH)?, out);
    Ok(())
}

fn print(value: &Value, out: Output) {
    out.print(value, |value| {
        table::format(&rows(
            &["INSTANCE", "ROLE", "LEADS", "SYNCED", "DISK"],
            &value["members"],
            &["instance", "role", "leads", "synced", "disk"],
        ))
    });
}

fn change(client: &Client, verb: &str, instance: &str) -> Result<Value, Failure> {
    client.post(&format!("{PATH}/{verb}"), &json!({ "instance": instance }))
}
