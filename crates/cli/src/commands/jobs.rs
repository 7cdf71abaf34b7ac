//! Commands for batch jobs.

use std::{
    thread,
    time::Duration, //
};

use indicatif::{
    ProgressBar,
    ProgressStyle, //
};
use serde_json::Value;

use crate::{
    client::{
        Call,
        Client, //
    },
    commands::{
        Output, cell,
        configuration::{
            random_id,
            read_file, //
        },
        rows,
    },
    exit::Failure,
    flags::{
        Create,
        JobCmd, //
    },
    table,
};

/// Interval at which a waiting command polls the state of a job.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

pub(crate) fn run(client: &Client, command: JobCmd, out: Output) -> Result<(), Failure> {
    match command {
        JobCmd::Create(flags) => create(client, &flags, out),
        JobCmd::Describe(flags) => {
            let value = client.get(&path(&flags.job))?;
            out.print(&value, job_text);
            Ok(())
        }
        JobCmd::Wait(flags) => wait(client, &flags.job, out),
        JobCmd::Cancel(flags) => cancel(client, &flags.job, out),
        JobCmd::Results(flags) => results(client, &flags.job),
    }
}

fn path(job: &str) -> String {
    format!("/v1/batches/{job}")
}

pub(crate) fn list(client: &Client, out: Output) -> Result<(), Failure> {
    let value = client.get("/v1/batches")?;
    out.print(&value, |value| {
        table::format(&rows(
            &[
                "JOB",
                "STATE",
                "TEAM",
                "TARGET",
                "ITEMS",
                "COMPLETED",
                "FAILED",
            ],
            &value["data"],
            &[
                "id",
                "status",
                "team",
                "target",
                "total",
                "completed",
                "failed",
            ],
        ))
    });
    Ok(())
}

fn create(client: &Client, flags: &Create, out: Output) -> Result<(), Failure> {
    let items = read_file(&flags.file)?;
    let key = flags.key.clone().unwrap_or_else(random_id);
    // Printed first, so that the operator can retry the same job if the response is lost.
    eprintln!("idempotency key {key}");
    let value = client.call_json(&Call {
        method: "POST",
        path: &format!("/v1/batches?model={}", flags.model),
        body: &items,
        headers: &[
            ("content-type", "application/jsonl"),
            ("idempotency-key", &key),
        ],
    })?;
    out.print(&value, job_text);
    if flags.wait {
        return wait(client, value["id"].as_str().unwrap_or_default(), out);
    }
    Ok(())
}

fn wait(client: &Client, job: &str, out: Output) -> Result<(), Failure> {
    let bar = ProgressBar::new(0);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} items {eta}")
        .expect("the template is valid");
    bar.set_style(style);
    loop {
        let value = client.get(&path(job))?;
        let ended =
            value["completed"].as_u64().unwrap_or(0) + value["failed"].as_u64().unwrap_or(0);
        bar.set_length(value["total"].as_u64().unwrap_or(0));
        bar.set_position(ended);
        match value["status"].as_str() {
            Some("completed" | "cancelled") => {
                bar.finish_and_clear();
                out.print(&value, job_text);
                return Ok(());
            }
            _ => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn cancel(client: &Client, job: &str, out: Output) -> Result<(), Failure> {
    let value = client.post(&format!("{}/cancel", path(job)), &Value::Null)?;
    out.print(&value, job_text);
    Ok(())
}

fn results(client: &Client, job: &str) -> Result<(), Failure> {
    let body = client.call(&Call {
        method: "GET",
        path: &format!("{}/results", path(job)),
        body: b"",
        headers: &[],
    })?;
    print!("{}", String::from_utf8_lossy(&body));
    Ok(())
}

fn job_text(value: &Value) -> String {
    format!(
        "job {}: {}, {} of {} items completed, {} failed\n",
        cell(value, "id"),
        cell(value, "status"),
        cell(value, "completed"),
        cell(value, "total"),
        cell(value, "failed"),
    )
}
