//! The operators' client.
//!
//! Every command but `explain`, which reads logs, is one or a few HTTP calls to any instance. Tables go to standard output, errors
//! to standard error, and `--json` prints what the instance answered. The exit code tells a
//! refusal from a failure: see [`exit`].

mod client;
mod commands;
mod exit;
mod explain;
mod flags;
mod table;

use std::process::ExitCode;

use crate::{
    client::Client,
    exit::Failure,
    flags::{
        Yuccaseam,
        YuccaseamCmd, //
    },
};

fn main() -> ExitCode {
    let flags = Yuccaseam::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("error: {failure}");
            failure.exit_code()
        }
    }
}

fn run(flags: Yuccaseam) -> Result<(), Failure> {
    if let YuccaseamCmd::Explain(explain) = &flags.subcommand {
        return explain::run(&explain.id, &explain.file);
    }
    let client = Client::new(flags.server.as_deref(), flags.team.as_deref())?;
    commands::run(&client, flags.subcommand, flags.json)
}
